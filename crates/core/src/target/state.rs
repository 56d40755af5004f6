//! One target as an entry VM sees it.

use crate::ids::{DomainName, InstanceName};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time in which a report of speed loses all but a third of its weight: speeds change several
/// times a second.
const SLOWDOWN_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Time in which a measured slowness loses all but a third of its weight.
const RELATIVE_LATENCY_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time that work takes at a target that still warms up, relative to usual.
const WARM_UP_SLOWDOWN: f64 = 2.0;

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

/// A target whose slots all entry VMs share, as its registration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedTarget {
    /// Address, domain, life; its owned slots are those that this entry VM may fill.
    pub spec: TargetSpec,
    /// Names the process run behind the address; another one is another target.
    pub instance: InstanceName,
    /// How much longer the target is slow after its start.
    pub warm_up: Duration,
}

/// Load that a target reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being served.
    pub busy: u32,
    /// Requests waiting at the target.
    pub queued: u32,
}

/// Load and speed that a target with shared slots reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedReport {
    /// Requests being served or waiting at the target.
    pub occupied: u32,
    /// Requests of this entry VM that may be among them.
    pub own: u32,
    /// Time that work takes relative to usual.
    pub slowdown: f64,
}

/// Work done by one slot since some start, as the time that it takes at usual speed. Differences
/// of two readings tell how much of a request's work is done, whatever speeds lay between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkReading {
    /// By the speed that was reported before.
    pub estimate: Duration,
    /// At least: a speed that was reported as less than before may have been so all the time.
    pub lower_bound: Duration,
}

/// Work done by one slot up to a point in time; it goes on by the speed last reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkMeter {
    /// In seconds.
    estimate: f64,
    /// In seconds.
    lower_bound: f64,
    updated_at: Instant,
}

impl WorkMeter {
    pub(super) fn new(now: Instant) -> Self {
        Self { estimate: 0.0, lower_bound: 0.0, updated_at: now }
    }

    /// Counts the time up to a report that tells another speed than the one before.
    pub(super) fn advance(&mut self, previous: f64, reported: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.estimate += elapsed / previous;
        self.lower_bound += elapsed / previous.max(reported);
        self.updated_at = now;
    }

    fn read(&self, slowdown: f64, now: Instant) -> WorkReading {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64() / slowdown;
        WorkReading {
            estimate: Duration::from_secs_f64(self.estimate + elapsed),
            lower_bound: Duration::from_secs_f64(self.lower_bound + elapsed),
        }
    }
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
    pub relative_latency: f64,
    /// Names the process run behind the address; empty when targets are known by address only.
    pub instance: InstanceName,
    /// Time that work takes relative to the target's usual speed, as it last reported, and when.
    pub(super) slowdown: Option<(f64, Instant)>,
    pub(super) work_meter: Option<WorkMeter>,
    pub(super) warm_up_until: Option<Instant>,
    /// When it was last asked for a report.
    pub(super) last_probe_at: Option<Instant>,
    pub(super) owned_slots: u32,
    pub(super) ramp_limit: f64,
    pub(super) is_on_trial: bool,
    pub(super) foreign_in_flight: u32,
    pub(super) foreign_reported_at: Option<Instant>,
    pub(super) lent: Vec<SlotLoan>,
    pub(super) borrowed: Vec<SlotLoan>,
    pub(super) last_response_at: Option<Instant>,
    pub(super) consecutive_failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) suspended_until: Option<Instant>,
    pub(super) free_list_index: Option<usize>,
    /// Whether the target stands in the table's list of running timers.
    pub(super) is_in_timer_list: bool,
}

impl TargetState {
    /// Requests that this entry VM may have in flight here.
    pub fn limit(&self) -> u32 {
        let granted = self.owned_slots + self.borrowed.len() as u32;
        let used = self.foreign_in_flight + self.lent.len() as u32;
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
    pub fn is_unresponsive_since(&self, since: Instant) -> bool {
        self.last_response_at.is_none_or(|at| at <= since)
    }

    /// Expected time of work relative to the target's usual speed: the last report, which loses
    /// weight with its age in favour of `average`, the mean over the service's reports.
    pub fn expected_slowdown(&self, average: f64, now: Instant) -> f64 {
        let warm_up =
            if self.warm_up_until.is_some_and(|until| now < until) { WARM_UP_SLOWDOWN } else { 1.0 };
        let Some((slowdown, reported)) = self.slowdown else { return average * warm_up };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        let weight = (-age / SLOWDOWN_TIME_CONSTANT.as_secs_f64()).exp();
        (weight * slowdown + (1.0 - weight) * average) * warm_up
    }

    /// Slowness as it was measured last, which loses weight with its age: a target that is left
    /// alone for being slow is tried again.
    pub fn current_relative_latency(&self, now: Instant) -> f64 {
        let age = self.last_response_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 + (self.relative_latency - 1.0)
            * (-age.as_secs_f64() / RELATIVE_LATENCY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Reading of the account of work, if the target reports its speed.
    pub fn progress(&self, now: Instant) -> Option<WorkReading> {
        let (meter, (slowdown, _)) = (self.work_meter?, self.slowdown?);
        Some(meter.read(slowdown, now))
    }

    /// Requests of others there, as last reported.
    pub fn foreign_in_flight(&self) -> u32 {
        self.foreign_in_flight
    }

    /// Part of the granted slots that is in use here or, as last reported, elsewhere.
    pub fn occupancy(&self) -> f64 {
        let granted = self.owned_slots + self.borrowed.len() as u32;
        f64::from(self.in_flight + self.foreign_in_flight) / f64::from(granted.max(1))
    }

    /// Whether the last report, or the last question for one, is older than `age`.
    pub fn needs_report(&self, age: Duration, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= age;
        let is_stale = self.slowdown.is_none_or(|(_, reported)| is_old(reported));
        is_stale && self.last_probe_at.is_none_or(is_old) && self.is_usable()
    }

    /// Age of the last report of speed.
    pub fn slowdown_age(&self, now: Instant) -> Option<Duration> {
        self.slowdown.map(|(_, reported)| now.saturating_duration_since(reported))
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
            || self.foreign_reported_at.is_some()
            || self.ejected_until.is_some()
            || self.suspended_until.is_some()
    }

    /// Whether another request may start here now.
    pub fn has_free_slot(&self) -> bool {
        self.is_usable() && self.in_flight < self.limit()
    }
}
