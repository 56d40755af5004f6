//! One target as an entry VM sees it.

use crate::ids::DomainName;
use std::net::SocketAddr;
use std::time::Instant;

/// Life cycle of a target as reported by the platform, the target or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLife {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// A target as the control thread describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes new work.
    pub life: TargetLife,
    /// Slots that this entry VM owns there.
    pub owned_slots: u32,
}

/// Load that a target reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being served.
    pub busy: u32,
    /// Requests waiting at the target.
    pub queued: u32,
}

/// A loan of one slot, given or taken.
#[derive(Debug, Clone, Copy)]
pub struct SlotLoan {
    /// End of the loan.
    pub expires: Instant,
}

/// One target.
#[derive(Debug)]
pub struct TargetState {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub life: TargetLife,
    /// Whether it is in this entry VM's failure domain.
    pub is_local: bool,
    /// Requests in flight from this entry VM.
    pub in_flight: u32,
    /// Latency relative to all targets of the service; 1 is average.
    pub slowness: f64,
    pub(super) owned_slots: u32,
    pub(super) ramp_limit: f64,
    pub(super) is_on_trial: bool,
    pub(super) foreign: u32,
    pub(super) foreign_at: Option<Instant>,
    pub(super) lent: Vec<SlotLoan>,
    pub(super) borrowed: Vec<SlotLoan>,
    pub(super) answered_at: Option<Instant>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) suspended_until: Option<Instant>,
    pub(super) list_position: Option<usize>,
    /// Whether the target stands in the table's list of running timers.
    pub(super) is_timed: bool,
}

impl TargetState {
    /// Requests that this entry VM may have in flight here.
    pub fn limit(&self) -> u32 {
        let granted = self.owned_slots + self.borrowed.len() as u32;
        let used = self.foreign + self.lent.len() as u32;
        granted.saturating_sub(used).min(self.ramp_limit as u32)
    }

    /// Whether neither ejected, suspended nor leaving.
    pub fn is_usable(&self) -> bool {
        self.life == TargetLife::Live && self.ejected_until.is_none() && self.suspended_until.is_none()
    }

    /// Whether answers of this target keep failing.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether it gets no work because it is slower than its peers.
    pub fn is_suspended(&self) -> bool {
        self.suspended_until.is_some()
    }

    /// Whether it was slower than its peers and has not shown since that it no longer is.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Whether it has given no answer after `since`.
    pub fn is_silent_since(&self, since: Instant) -> bool {
        self.answered_at.is_none_or(|at| at <= since)
    }

    /// Slots that this entry VM owns here.
    pub fn owned_slots(&self) -> u32 {
        self.owned_slots
    }

    /// Slots borrowed from the owner.
    pub fn borrowed_count(&self) -> usize {
        self.borrowed.len()
    }

    pub(super) fn has_timer(&self) -> bool {
        let has_loan = !self.lent.is_empty() || !self.borrowed.is_empty();
        has_loan
            || self.foreign_at.is_some()
            || self.ejected_until.is_some()
            || self.suspended_until.is_some()
    }

    /// Whether another request may start here now.
    pub fn has_free_slot(&self) -> bool {
        self.is_usable() && self.in_flight < self.limit()
    }
}
