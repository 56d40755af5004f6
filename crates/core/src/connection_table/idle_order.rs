//! Idle connections in the order in which they became idle: of all holders together, and of each one.
//!
//! The links between neighbours are part of the connections' records, so that a connection is added or removed in constant
//! time and without an allocation.

use super::{ConnectionKey, ConnectionRecord};
use slotmap::SlotMap;

/// Which order a link belongs to; index into [`ConnectionRecord::links`].
#[derive(Debug, Clone, Copy)]
pub(super) enum OrderKind {
    /// Idle connections of all holders.
    All,
    /// Idle connections of one holder.
    Holder,
}

/// Neighbours of an idle connection in one order.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct IdleLink {
    previous: Option<ConnectionKey>,
    next: Option<ConnectionKey>,
}

/// One order of idle connections, the longest idle one first.
#[derive(Debug, Clone, Copy)]
pub(super) struct IdleOrder {
    kind: OrderKind,
    first: Option<ConnectionKey>,
    last: Option<ConnectionKey>,
}

type Records = SlotMap<ConnectionKey, ConnectionRecord>;

impl IdleOrder {
    pub(super) fn new(kind: OrderKind) -> Self {
        Self { kind, first: None, last: None }
    }

    /// Returns the connection that has been idle for longest.
    pub(super) fn first(&self) -> Option<ConnectionKey> {
        self.first
    }

    pub(super) fn push(&mut self, records: &mut Records, key: ConnectionKey) {
        *self.link(records, key) = IdleLink { previous: self.last, next: None };
        match self.last {
            Some(last) => self.link(records, last).next = Some(key),
            None => self.first = Some(key),
        }
        self.last = Some(key);
    }

    pub(super) fn remove(&mut self, records: &mut Records, key: ConnectionKey) {
        let IdleLink { previous, next } = std::mem::take(self.link(records, key));
        match previous {
            Some(previous) => self.link(records, previous).next = next,
            None => self.first = next,
        }
        match next {
            Some(next) => self.link(records, next).previous = previous,
            None => self.last = previous,
        }
    }

    fn link<'a>(&self, records: &'a mut Records, key: ConnectionKey) -> &'a mut IdleLink {
        &mut records[key].links[self.kind as usize]
    }
}
