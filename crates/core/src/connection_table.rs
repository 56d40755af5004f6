//! Room for caller connections: which ones are admitted, and which ones end for others.
//!
//! Connections are counted by holder, which is a client account, or an address where no account is identified. The fair share
//! of a holder is the limit divided by the number of holders. At the limit, idle connections end first, and those of
//! holders beyond their shares before others. A new connection is decided on when the head of its first request has been read, since
//! its holder is identified only then.
//!
//! Invariants:
//!
//! - Below the limit each connection is admitted and none ends for another one, except while so many are ending that the reserve is
//!   used up.
//! - Connections that are open or ending exceed the limit by at most half of the reserve, and provisional ones are at most the
//!   other half.
//! - A busy connection never ends for another one.

mod idle_order;

use crate::account::AccountId;
use idle_order::{IdleLink, IdleOrder, OrderKind};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Identifies a caller connection of this process.
    pub struct ConnectionKey;
    struct HolderKey;
}

/// Time for which an idle connection counts as needed by its holder, and for which a new connection may be without a request.
pub const RECENT_USE: Duration = Duration::from_secs(1);

/// Whose connection it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionHolder {
    /// A client account.
    Account(AccountId),
    /// An address, for callers without an account.
    Address(IpAddr),
}

/// Limits of the number of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub open: usize,
    /// Number of further connections: those that are ending, and those that are read in order to refuse their requests.
    pub reserve: usize,
}

/// How a new connection is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It is open.
    Open(ConnectionKey),
    /// The limit is reached: its first request decides.
    Provisional(ConnectionKey),
    /// The reserve is used up, too.
    NoRoom,
}

/// Decision about a request that begins on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEntry {
    /// The request is served. An idle connection may have to end for it.
    Serve {
        /// The connection that has to end.
        ending: Option<ConnectionKey>,
    },
    /// The request is refused, and its connection ends.
    Refuse,
}

/// Numbers of connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections, the idle ones included.
    pub open: usize,
    /// Idle connections.
    pub idle: usize,
    /// Connections that end for others and are not closed yet.
    pub ending: usize,
    /// Connections accepted at the limit whose first request has not been read.
    pub provisional: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    Provisional,
    Busy,
    Idle { since: Instant },
    Ending,
}

impl ConnectionPhase {
    /// Returns 1 if the connection counts as open, otherwise 0.
    fn open_count(self) -> isize {
        isize::from(matches!(self, Self::Busy | Self::Idle { .. }))
    }
}

#[derive(Debug)]
struct ConnectionRecord {
    holder: HolderKey,
    phase: ConnectionPhase,
    links: [IdleLink; 2],
}

#[derive(Debug)]
struct HolderRecord {
    holder: ConnectionHolder,
    /// Number of open connections.
    open: usize,
    /// Number of connections in any phase; the record is removed with the last one.
    all: usize,
    idle: IdleOrder,
}

/// Caller connections of one process.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: SlotMap<ConnectionKey, ConnectionRecord>,
    holders: SlotMap<HolderKey, HolderRecord>,
    holder_keys: HashMap<ConnectionHolder, HolderKey>,
    /// Holders by their numbers of open connections, without those that have none.
    by_size: BTreeSet<(usize, HolderKey)>,
    idle: IdleOrder,
    counts: ConnectionCounts,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            holders: SlotMap::with_key(),
            holder_keys: HashMap::new(),
            by_size: BTreeSet::new(),
            idle: IdleOrder::new(OrderKind::All),
            counts: ConnectionCounts::default(),
        }
    }

    /// Returns the numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts
    }

    /// Returns whether so many connections are open that idle ones may soon have to end: three quarters of the limit.
    pub fn is_nearly_full(&self) -> bool {
        self.counts.open >= self.limits.open - self.limits.open / 4
    }

    /// Adds a new connection from `address`, as far as there is room.
    pub fn accept(&mut self, address: IpAddr) -> Acceptance {
        let holder = ConnectionHolder::Address(address);
        if self.has_free_place() {
            return Acceptance::Open(self.insert(holder, ConnectionPhase::Busy));
        }
        if self.counts.provisional < self.limits.reserve - self.half_reserve() {
            return Acceptance::Provisional(self.insert(holder, ConnectionPhase::Provisional));
        }
        Acceptance::NoRoom
    }

    /// Records that a request of `holder` begins on a connection, and decides on it if the connection is provisional.
    pub fn begin_request(
        &mut self,
        key: ConnectionKey,
        holder: ConnectionHolder,
        now: Instant,
    ) -> RequestEntry {
        self.set_holder(key, holder);
        let mut ending = None;
        if self.connections[key].phase == ConnectionPhase::Provisional {
            match self.find_place(self.connections[key].holder, now) {
                Some(chosen) => ending = chosen,
                None => return RequestEntry::Refuse,
            }
        }
        if let Some(chosen) = ending {
            self.set_phase(chosen, ConnectionPhase::Ending);
        }
        self.set_phase(key, ConnectionPhase::Busy);
        RequestEntry::Serve { ending }
    }

    /// Records that a connection waits for a request, and returns the connection that has to end if the limit is exceeded.
    pub fn set_idle(&mut self, key: ConnectionKey, now: Instant) -> Option<ConnectionKey> {
        if self.connections[key].phase != ConnectionPhase::Busy {
            return None;
        }
        self.set_phase(key, ConnectionPhase::Idle { since: now });
        let exceeds = self.counts.open > self.limits.open;
        let chosen = self.largest_idle().filter(|_| exceeds)?;
        self.set_phase(chosen, ConnectionPhase::Ending);
        Some(chosen)
    }

    /// Returns whether a connection has to end.
    pub fn is_ending(&self, key: ConnectionKey) -> bool {
        self.connections[key].phase == ConnectionPhase::Ending
    }

    /// Returns whether a connection is provisional.
    pub fn is_provisional(&self, key: ConnectionKey) -> bool {
        self.connections[key].phase == ConnectionPhase::Provisional
    }

    /// Records that a connection that had to end has received bytes of a request: it is served.
    pub fn resume(&mut self, key: ConnectionKey) {
        if self.is_ending(key) {
            self.set_phase(key, ConnectionPhase::Busy);
        }
    }

    /// Records that an open connection ends by itself.
    pub fn set_ending(&mut self, key: ConnectionKey) {
        if !self.is_provisional(key) {
            self.set_phase(key, ConnectionPhase::Ending);
        }
    }

    /// Removes a connection that has been closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        let ConnectionRecord { holder, phase, .. } = self.connections[key];
        self.leave_phase(key);
        self.resize_holder(holder, -phase.open_count());
        self.connections.remove(key);
        self.release_holder(holder);
    }

    /// Returns whether a connection is admitted without another one ending, whoever holds it.
    fn has_free_place(&self) -> bool {
        self.counts.open < self.limits.open && self.has_reserve()
    }

    /// Returns whether one more connection may be open or ending.
    fn has_reserve(&self) -> bool {
        self.counts.open + self.counts.ending < self.limits.open + self.half_reserve()
    }

    fn half_reserve(&self) -> usize {
        self.limits.reserve / 2
    }

    /// Finds a place for one more connection of a holder. Returns the connection that has to end for it, if any, or `None` if
    /// there is no place.
    fn find_place(&self, holder: HolderKey, now: Instant) -> Option<Option<ConnectionKey>> {
        if !self.has_reserve() {
            return None;
        }
        if self.has_free_place() {
            return Some(None);
        }
        let is_within_share = self.holders[holder].open < self.fair_share();
        let own_idle = || self.holders[holder].idle.first().filter(|_| !is_within_share);
        let longest_idle = || self.idle.first().filter(|key| is_within_share || self.is_unused(*key, now));
        match self.largest_idle().or_else(own_idle).or_else(longest_idle) {
            Some(chosen) => Some(Some(chosen)),
            None => is_within_share.then_some(None),
        }
    }

    /// Returns the longest idle connection of the largest holder that is beyond its share and has idle ones.
    fn largest_idle(&self) -> Option<ConnectionKey> {
        let share = self.fair_share();
        let beyond = self.by_size.iter().rev().take_while(|(open, _)| *open > share);
        beyond.filter_map(|(_, holder)| self.holders[*holder].idle.first()).next()
    }

    fn is_unused(&self, key: ConnectionKey, now: Instant) -> bool {
        match self.connections[key].phase {
            ConnectionPhase::Idle { since } => now.saturating_duration_since(since) >= RECENT_USE,
            _ => false,
        }
    }

    /// Returns the number of connections that each holder may have open at the limit.
    fn fair_share(&self) -> usize {
        self.limits.open / self.by_size.len().max(1)
    }

    fn insert(&mut self, holder: ConnectionHolder, phase: ConnectionPhase) -> ConnectionKey {
        let holder = self.retain_holder(holder);
        let key = self.connections.insert(ConnectionRecord { holder, phase, links: Default::default() });
        self.enter_phase(key, phase);
        self.resize_holder(holder, phase.open_count());
        key
    }

    fn set_holder(&mut self, key: ConnectionKey, holder: ConnectionHolder) {
        let ConnectionRecord { holder: previous, phase, .. } = self.connections[key];
        if self.holders[previous].holder == holder {
            return;
        }
        self.leave_phase(key);
        self.resize_holder(previous, -phase.open_count());
        let next = self.retain_holder(holder);
        self.connections[key].holder = next;
        self.enter_phase(key, phase);
        self.resize_holder(next, phase.open_count());
        self.release_holder(previous);
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: ConnectionPhase) {
        let ConnectionRecord { holder, phase: previous, .. } = self.connections[key];
        self.leave_phase(key);
        self.enter_phase(key, phase);
        self.resize_holder(holder, phase.open_count() - previous.open_count());
    }

    /// Counts a connection in a phase, without its being open.
    fn enter_phase(&mut self, key: ConnectionKey, phase: ConnectionPhase) {
        self.connections[key].phase = phase;
        match phase {
            ConnectionPhase::Provisional => self.counts.provisional += 1,
            ConnectionPhase::Ending => self.counts.ending += 1,
            ConnectionPhase::Busy => {}
            ConnectionPhase::Idle { .. } => {
                let holder = self.connections[key].holder;
                self.counts.idle += 1;
                self.idle.push(&mut self.connections, key);
                self.holders[holder].idle.push(&mut self.connections, key);
            }
        }
    }

    /// Reverses [`Self::enter_phase`].
    fn leave_phase(&mut self, key: ConnectionKey) {
        let ConnectionRecord { holder, phase, .. } = self.connections[key];
        match phase {
            ConnectionPhase::Provisional => self.counts.provisional -= 1,
            ConnectionPhase::Ending => self.counts.ending -= 1,
            ConnectionPhase::Busy => {}
            ConnectionPhase::Idle { .. } => {
                self.counts.idle -= 1;
                self.idle.remove(&mut self.connections, key);
                self.holders[holder].idle.remove(&mut self.connections, key);
            }
        }
    }

    fn resize_holder(&mut self, key: HolderKey, change: isize) {
        if change == 0 {
            return;
        }
        let record = &mut self.holders[key];
        self.by_size.remove(&(record.open, key));
        record.open = record.open.saturating_add_signed(change);
        self.counts.open = self.counts.open.saturating_add_signed(change);
        if record.open > 0 {
            self.by_size.insert((record.open, key));
        }
    }

    fn retain_holder(&mut self, holder: ConnectionHolder) -> HolderKey {
        let new_record = || HolderRecord { holder, open: 0, all: 0, idle: IdleOrder::new(OrderKind::Holder) };
        let holders = &mut self.holders;
        let key = *self.holder_keys.entry(holder).or_insert_with(|| holders.insert(new_record()));
        self.holders[key].all += 1;
        key
    }

    fn release_holder(&mut self, key: HolderKey) {
        let record = &mut self.holders[key];
        record.all -= 1;
        if record.all == 0 {
            self.holder_keys.remove(&record.holder);
            self.holders.remove(key);
        }
    }
}
