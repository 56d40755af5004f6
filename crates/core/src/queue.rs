//! Bounded queue of the waiting requests of one rank.

use crate::ids::{QueuedKey, RequestId, TargetKey};
use slotmap::SlotMap;
use std::collections::VecDeque;
use std::time::Instant;

/// One waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Number of the request.
    pub request: RequestId,
    /// Time by which its answer must begin.
    pub deadline: Instant,
    /// Time at which it was queued.
    pub queued_at: Instant,
    /// Target that an earlier attempt used.
    pub avoid: Option<TargetKey>,
    /// Whether an earlier attempt is still in flight. Such a second attempt does not expire: its
    /// answer frees the slot that the first one holds, even when it is late.
    pub is_hedge: bool,
}

/// Waiting requests of one rank, first in first out; cancelled ones leave a gap that is skipped.
#[derive(Debug, Default)]
pub struct RankQueue {
    requests: SlotMap<QueuedKey, QueuedRequest>,
    order: VecDeque<QueuedKey>,
}

impl RankQueue {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Appends a request.
    pub fn push_back(&mut self, request: QueuedRequest) -> QueuedKey {
        let key = self.requests.insert(request);
        self.order.push_back(key);
        key
    }

    /// Puts a request in front of all others.
    pub fn push_front(&mut self, request: QueuedRequest) -> QueuedKey {
        let key = self.requests.insert(request);
        self.order.push_front(key);
        key
    }

    /// Takes the oldest request.
    pub fn pop_front(&mut self) -> Option<QueuedRequest> {
        loop {
            let key = self.order.pop_front()?;
            if let Some(request) = self.requests.remove(key) {
                return Some(request);
            }
        }
    }

    /// Takes a request that no longer waits for a slot.
    pub fn remove(&mut self, key: QueuedKey) -> Option<QueuedRequest> {
        let removed = self.requests.remove(key);
        if self.requests.is_empty() {
            self.order.clear();
        }
        removed
    }

    /// The oldest request.
    pub fn front(&self) -> Option<&QueuedRequest> {
        self.order.iter().find_map(|key| self.requests.get(*key))
    }

    /// A waiting request, to change it.
    pub fn get_mut(&mut self, key: QueuedKey) -> Option<&mut QueuedRequest> {
        self.requests.get_mut(key)
    }

    /// Takes the oldest request if `condition` holds for it.
    pub fn pop_front_if(&mut self, condition: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        loop {
            let key = *self.order.front()?;
            match self.requests.get(key) {
                None => drop(self.order.pop_front()),
                Some(request) if condition(request) => {
                    self.order.pop_front();
                    return self.requests.remove(key);
                }
                Some(_) => return None,
            }
        }
    }
}
