//! Places of caller connections: counts, wake-ups and log lines around the decisions of
//! [`sniperelay_core::connection_table`].
//!
//! Each accepted connection has a [`ConnectionPlace`], which is returned on drop. A connection that has to end for another one is
//! woken; it ends only if it still waits for a request.

use crate::decision_log::{DecisionKind, DecisionLog};
use sniperelay_core::connection_table::{
    Acceptance, ConnectionCounts, ConnectionHolder, ConnectionKey, ConnectionLimits, ConnectionTable,
    RequestEntry,
};
use sniperelay_node::metrics::ProcessCounters;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

/// Room for the caller connections of this process.
#[derive(Debug)]
pub struct ConnectionRoom {
    places: Mutex<PlaceTable>,
    counters: Arc<ProcessCounters>,
}

#[derive(Debug)]
struct PlaceTable {
    table: ConnectionTable,
    /// Wakes the task of a connection that has to end.
    wakers: HashMap<ConnectionKey, Arc<Notify>>,
}

impl PlaceTable {
    fn wake(&self, ending: Option<ConnectionKey>) {
        if let Some(waker) = ending.and_then(|key| self.wakers.get(&key)) {
            waker.notify_one();
        }
    }
}

impl ConnectionRoom {
    /// Creates the room of a process without connections.
    pub fn new(limits: ConnectionLimits, counters: Arc<ProcessCounters>) -> Arc<Self> {
        let places = PlaceTable { table: ConnectionTable::new(limits), wakers: HashMap::new() };
        Arc::new(Self { places: Mutex::new(places), counters })
    }

    /// Returns the numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        self.lock().table.counts()
    }

    /// Returns whether idle connections may soon have to end.
    pub fn is_nearly_full(&self) -> bool {
        self.lock().table.is_nearly_full()
    }

    /// Returns a place for a new connection, or `None` if it has to be closed unread.
    pub fn accept(self: &Arc<Self>, address: IpAddr, decisions: &DecisionLog) -> Option<ConnectionPlace> {
        let mut places = self.lock();
        match places.table.accept(address) {
            Acceptance::Open(key) | Acceptance::Provisional(key) => {
                let waker = Arc::new(Notify::new());
                places.wakers.insert(key, waker.clone());
                Some(ConnectionPlace { room: self.clone(), key, waker })
            }
            Acceptance::NoRoom => {
                let counts = places.table.counts();
                drop(places);
                self.counters.connections_cut.fetch_add(1, Ordering::Relaxed);
                log_decision(decisions, "closed unread", counts);
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlaceTable> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of one connection.
#[derive(Debug)]
pub struct ConnectionPlace {
    room: Arc<ConnectionRoom>,
    key: ConnectionKey,
    waker: Arc<Notify>,
}

impl ConnectionPlace {
    /// Records that a request of `holder` begins. Returns false if it has to be refused.
    pub fn begin_request(&self, holder: ConnectionHolder, decisions: &DecisionLog) -> bool {
        let mut places = self.room.lock();
        let entry = places.table.begin_request(self.key, holder, Instant::now());
        if let RequestEntry::Serve { ending } = entry {
            places.wake(ending);
            return true;
        }
        let counts = places.table.counts();
        drop(places);
        self.room.counters.connections_refused.fetch_add(1, Ordering::Relaxed);
        log_decision(decisions, "refused", counts);
        false
    }

    /// Records that the connection waits for a request.
    pub fn set_idle(&self) {
        let mut places = self.room.lock();
        let ending = places.table.set_idle(self.key, Instant::now());
        places.wake(ending);
    }

    /// Returns whether the first request has yet to decide on the connection.
    pub fn is_provisional(&self) -> bool {
        self.room.lock().table.is_provisional(self.key)
    }

    /// Waits until the connection has to end. It may have received a request since.
    pub async fn wait_for_end(&self) {
        loop {
            self.waker.notified().await;
            if self.room.lock().table.is_ending(self.key) {
                return;
            }
        }
    }

    /// Records that the connection has received bytes although it had to end.
    pub fn resume(&self) {
        self.room.lock().table.resume(self.key);
    }

    /// Records that the connection ends.
    pub fn set_ending(&self) {
        self.room.lock().table.set_ending(self.key);
    }

    /// Counts and logs the end of the connection for another one.
    pub fn report_end(&self, decisions: &DecisionLog) {
        self.room.counters.connections_ended.fetch_add(1, Ordering::Relaxed);
        log_decision(decisions, "ended while idle", self.room.counts());
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut places = self.room.lock();
        places.table.remove(self.key);
        places.wakers.remove(&self.key);
    }
}

fn log_decision(decisions: &DecisionLog, decision: &'static str, counts: ConnectionCounts) {
    let kind = DecisionKind::ConnectionLimit;
    let Some(suppressed_lines) = decisions.admit(kind, decision, Instant::now()) else { return };
    log::warn!(
        decision = decision, left_out = suppressed_lines;
        "{}: a caller connection was {decision}; {} open, {} of them idle; {} ending, {} at their first request",
        kind.as_str(), counts.open, counts.idle, counts.ending, counts.provisional
    );
}
