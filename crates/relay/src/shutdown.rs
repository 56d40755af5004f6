//! Planned stop, as a typestate.
//!
//! Not ready and not registered at once. Callers that still hold a lookup answer are served for a
//! while, each with the word to close. From the time at which a new request might not end before
//! the process does, new ones are refused: a target's worst time is not known, and a request that
//! is cut off at the end is lost. Then idle connections are closed, what is in flight is finished,
//! and the process ends before its time is up.

use crate::shared_state::RelayState;
use crate::store_sync::deregister;
use sniperelay_node::life::{RefusingLife, ServingLife, WithdrawnLife};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time after the signal in which a new request may be sent to a target. The platform's rules
/// excuse a request that is cut off at the end only if its caller sent it within this time.
const START_TIME: Duration = Duration::from_secs(3);
/// Part of the time to stop in which a new request may be sent to a target, if that is less.
const START_SHARE: f64 = 0.5;
/// Part of the time to stop for which callers may still come, to be refused.
const ACCEPT_SHARE: f64 = 0.75;
/// Part of the time to stop after which the process ends in any case.
const END_SHARE: f64 = 0.95;
/// Time between two looks at whether all connections have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Points in time of a planned stop, counted from the signal.
#[derive(Debug, Clone, Copy)]
pub struct StopSchedule {
    /// From then on new requests are refused.
    pub refuse: Duration,
    /// From then on no connection is accepted.
    pub drain: Duration,
    /// The process ends.
    pub end: Duration,
}

impl StopSchedule {
    /// The schedule for a time to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse: START_TIME.min(grace.mul_f64(START_SHARE)),
            drain: grace.mul_f64(ACCEPT_SHARE),
            end: grace.mul_f64(END_SHARE),
        }
    }
}

/// What a stop holds in every phase.
#[derive(Debug)]
struct StopContext {
    state: Arc<RelayState>,
    closing: watch::Sender<bool>,
    deregistering: JoinHandle<()>,
    began: Instant,
    schedule: StopSchedule,
}

/// A stop that serves callers which still come.
#[derive(Debug)]
pub struct RelayStop {
    context: StopContext,
    life: WithdrawnLife,
}

/// A stop that refuses new requests.
#[derive(Debug)]
pub struct RefusingStop {
    context: StopContext,
    life: RefusingLife,
}

impl RelayStop {
    /// Leaves the lookup answers.
    pub(crate) fn begin(state: Arc<RelayState>, life: ServingLife, closing: watch::Sender<bool>) -> Self {
        log::info!("planned stop: not ready, leaving the lookup answers");
        let life = life.withdraw();
        let schedule = StopSchedule::new(state.bounds.stop_grace);
        let deregistering = tokio::spawn({
            let state = state.clone();
            async move { deregister(&state).await }
        });
        let context = StopContext { state, closing, deregistering, began: Instant::now(), schedule };
        Self { context, life }
    }

    /// Refuses new requests from now on.
    pub fn refuse(self) -> RefusingStop {
        log::info!("planned stop: new requests are refused");
        RefusingStop { context: self.context, life: self.life.refuse() }
    }

    /// Performs the rest by schedule. Returns whether all connections ended in time.
    pub async fn run(self) -> bool {
        tokio::time::sleep_until(self.context.began + self.context.schedule.refuse).await;
        let refusing = self.refuse();
        tokio::time::sleep_until(refusing.context.began + refusing.context.schedule.drain).await;
        refusing.finish().await
    }
}

impl RefusingStop {
    /// Accepts no more connections and finishes what is in flight. Returns whether all connections
    /// ended in time.
    pub async fn finish(self) -> bool {
        let Self { context, life } = self;
        log::info!("planned stop: finishing requests in flight");
        let life = life.drain();
        context.closing.send_replace(true);
        let end = context.began + context.schedule.end;
        let connections = &context.state.connections;
        while connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let left = connections.load(Ordering::Relaxed);
        life.stop();
        context.deregistering.abort();
        log::info!(left; "planned stop: done");
        left == 0
    }
}
