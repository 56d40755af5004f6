//! Request queue of one rank; admission bounds its length.

use crate::ids::{QueuedKey, RequestId, TargetKey};
use slotmap::SlotMap;
use std::collections::VecDeque;
use std::time::Instant;

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Request ID.
    pub request: RequestId,
    /// Time by which the response must start.
    pub deadline: Instant,
    /// Time at which the request was queued.
    pub queued_at: Instant,
    /// Target of an earlier attempt, which a further attempt should avoid.
    pub avoid: Option<TargetKey>,
    /// Whether an earlier attempt is still in flight. A queued hedge does not expire: its response,
    /// even a late one, frees the slot that the first attempt holds.
    pub is_hedge: bool,
}

/// FIFO queue of the requests of one rank. Cancelled requests leave a stale key in the order, which
/// is skipped.
#[derive(Debug, Default)]
pub struct RankQueue {
    requests: SlotMap<QueuedKey, QueuedRequest>,
    order: VecDeque<QueuedKey>,
}

impl RankQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Appends a request to the back of the queue.
    pub fn push_back(&mut self, request: QueuedRequest) -> QueuedKey {
        let key = self.requests.insert(request);
        self.order.push_back(key);
        key
    }

    /// Inserts a request at the front of the queue.
    pub fn push_front(&mut self, request: QueuedRequest) -> QueuedKey {
        let key = self.requests.insert(request);
        self.order.push_front(key);
        key
    }

    /// Removes and returns the front request.
    pub fn pop_front(&mut self) -> Option<QueuedRequest> {
        loop {
            let key = self.order.pop_front()?;
            if let Some(request) = self.requests.remove(key) {
                return Some(request);
            }
        }
    }

    /// Removes and returns the request with the given key.
    pub fn remove(&mut self, key: QueuedKey) -> Option<QueuedRequest> {
        let removed = self.requests.remove(key);
        if self.requests.is_empty() {
            self.order.clear();
        }
        removed
    }

    /// Returns the front request.
    pub fn front(&self) -> Option<&QueuedRequest> {
        self.order.iter().find_map(|key| self.requests.get(*key))
    }

    /// Returns a mutable reference to the request with the given key.
    pub fn get_mut(&mut self, key: QueuedKey) -> Option<&mut QueuedRequest> {
        self.requests.get_mut(key)
    }

    /// Removes and returns the front request if `condition` holds for it.
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
