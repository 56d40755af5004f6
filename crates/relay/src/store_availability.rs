//! Whether the store is available to this entry VM, as far as all of its calls and the statements of readers show.
//!
//! Invariants:
//!
//! - Only a response proves that the store is available; a change of the source does not.
//! - The store is available again for all prefixes as soon as it responds to a call for any of them.
//! - A call that was sent before the latest response shows nothing by its failure: a connection that has gone silent fails
//!   seconds later, while the store responds on others.
//!
//! Time is passed in; see [`sniperelay_node::boot_clock`].

use sniperelay_node::boot_clock::BootTime;

/// What a failed call shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// An outage begins.
    OutageBegins,
    /// The outage that has begun before goes on.
    OutageContinues,
    /// Nothing: the store has responded to another call since this one was sent.
    Outdated,
}

/// Whether the store is available, and since when.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    /// Time of the latest response.
    responded_at: Option<BootTime>,
    /// Whether a call has failed that was sent after the latest response.
    is_lost: bool,
    available_since: Option<BootTime>,
    /// Latest history of the store that has been recorded by [`Self::record_return`].
    latest_history: u64,
}

impl StoreAvailability {
    /// Records that a call failed that was sent at `sent_at`.
    pub fn record_failure(&mut self, sent_at: BootTime) -> CallFailure {
        if self.responded_at.is_some_and(|at| at >= sent_at) {
            return CallFailure::Outdated;
        }
        match std::mem::replace(&mut self.is_lost, true) {
            true => CallFailure::OutageContinues,
            false => CallFailure::OutageBegins,
        }
    }

    /// Records a response of the store, or of a reader that states that the store is available. Returns whether an outage
    /// ends with it.
    pub fn record_response(&mut self, now: BootTime) -> bool {
        self.responded_at = Some(now);
        let is_regained = std::mem::take(&mut self.is_lost);
        if is_regained {
            self.available_since = Some(now);
        }
        is_regained
    }

    /// Records that the store has returned from a copy in a new history, which is an outage even if no call has failed.
    /// Each prefix finds it by itself; the first one counts.
    pub fn record_return(&mut self, history: u64, now: BootTime) {
        if history > self.latest_history {
            self.latest_history = history;
            self.available_since = Some(now);
        }
    }

    /// Returns the time at which the store last became available again after an outage.
    pub fn available_since(&self) -> Option<BootTime> {
        self.available_since
    }
}
