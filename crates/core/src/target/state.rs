//! State of one target, from the point of view of one entry VM.

use super::warm_up::{ColdLimit, WarmUpState};
use crate::ids::{DomainName, InstanceName};
use crate::rate_limit::{LimitObservation, TargetLimit};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time constant of the exponential decay of a reported slowdown's weight. Slowdowns change several
/// times a second.
const SLOWDOWN_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Time constant of the exponential decay of a measured relative latency's weight.
const RELATIVE_LATENCY_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Increase of a ramping target's limit, in requests, for each response with a normal latency.
const RAMP_STEP: f64 = 0.25;
/// Factor by which the expected slowdown of a target is raised while it warms up.
const WARM_UP_SLOWDOWN: f64 = 2.0;

/// Lifecycle state of a target, as reported by the platform, the target or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLifecycle {
    /// Accepts new requests.
    Live,
    /// Finishes its requests in flight and accepts no new ones.
    Leaving,
}

/// Description of a target from the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Whether the target accepts new requests.
    pub lifecycle: TargetLifecycle,
    /// Number of slots that this entry VM owns at the target.
    pub owned_slots: u32,
}

/// Description of a target whose slots all entry VMs share, taken from its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedTarget {
    /// Address, failure domain and lifecycle state. The owned slots are those that this entry VM may
    /// use.
    pub spec: TargetSpec,
    /// Identifies the process behind the address. A different process is a different target.
    pub instance: InstanceName,
    /// Remaining time for which the target is slow after its start.
    pub warm_up: Duration,
    /// How the target is treated while it is cold; `None` if its service has no warm-up policy.
    pub cold_limit: Option<ColdLimit>,
}

/// Load that a target reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests being served.
    pub busy: u32,
    /// Number of requests waiting at the target.
    pub queued: u32,
}

/// Load and slowdown that a target with shared slots reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedReport {
    /// Number of requests being served or waiting at the target.
    pub occupied: u32,
    /// Number of requests from this entry VM that may be included in `occupied`.
    pub own: u32,
    /// Service time relative to the target's usual service time; 1.0 is the usual speed.
    pub slowdown: f64,
}

/// Work done by one slot since some starting point, as the time that it takes at the usual speed.
/// The difference of two readings is the work done on a request between them, even if the slowdown
/// changed in the meantime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkReading {
    /// Estimate that applies each reported slowdown until the next report.
    pub estimate: Duration,
    /// Lower bound. If a report shows a higher slowdown than the previous one, the target may have
    /// been that slow since the previous report.
    pub lower_bound: Duration,
}

/// Work done by one slot up to `updated_at`. From then on, work proceeds at the last reported
/// slowdown.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkMeter {
    /// See [`WorkReading::estimate`]; in seconds.
    estimate: f64,
    /// See [`WorkReading::lower_bound`]; in seconds.
    lower_bound: f64,
    updated_at: Instant,
}

impl WorkMeter {
    pub(super) fn new(now: Instant) -> Self {
        Self { estimate: 0.0, lower_bound: 0.0, updated_at: now }
    }

    /// Adds the work done up to `now`, the time of a new report. `previous` is the slowdown that
    /// applied until then.
    pub(super) fn advance(&mut self, previous: f64, reported: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.estimate += elapsed / previous;
        self.lower_bound += elapsed / previous.max(reported);
        self.updated_at = now;
    }

    fn read(&self, slowdown: f64, now: Instant) -> WorkReading {
        let recent_work = now.saturating_duration_since(self.updated_at).as_secs_f64() / slowdown;
        WorkReading {
            estimate: Duration::from_secs_f64(self.estimate + recent_work),
            lower_bound: Duration::from_secs_f64(self.lower_bound + recent_work),
        }
    }
}

/// A loan of one slot, lent or borrowed.
#[derive(Debug, Clone, Copy)]
pub struct SlotLoan {
    /// Time at which the loan ends.
    pub expires: Instant,
}

/// State of one target.
#[derive(Debug)]
pub struct TargetState {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Whether the target accepts new requests.
    pub lifecycle: TargetLifecycle,
    /// Whether the target is in this entry VM's failure domain.
    pub is_local: bool,
    /// Whether the target is used only while leaving the failure domain pays.
    pub is_overflow: bool,
    /// Number of requests in flight from this entry VM.
    pub in_flight: u32,
    /// Moving average of the latency of responses relative to the usual latency of their rank; 1.0
    /// is usual.
    pub relative_latency: f64,
    /// Identifies the process behind the address; empty if targets are known by address only.
    pub instance: InstanceName,
    /// Last reported slowdown and the time of the report.
    pub(super) slowdown: Option<(f64, Instant)>,
    pub(super) work_meter: Option<WorkMeter>,
    pub(super) warm_up_until: Option<Instant>,
    /// Whether the target is cold, if its service has a warm-up policy.
    pub(super) warm_up: Option<WarmUpState>,
    /// Whether the target has joined a table that had targets before.
    pub(super) has_joined: bool,
    /// Time at which a report was last requested from the target.
    pub(super) last_probe_at: Option<Instant>,
    /// Number of slots of the target, of which each belongs to one entry VM; 0 if its slots are shared.
    pub(super) total_slots: u32,
    pub(super) owned_slots: u32,
    /// Number of requests, from all entry VMs, up to which the target is filled.
    pub(super) concurrency_limit: u32,
    /// Upper bound of the limit while the target ramps up.
    pub(super) ramp_limit: f64,
    /// Time of the first response since the ramp-up began.
    pub(super) ramp_since: Option<Instant>,
    pub(super) is_on_trial: bool,
    /// Number of requests from other entry VMs, as last reported.
    pub(super) foreign_in_flight: u32,
    pub(super) foreign_reported_at: Option<Instant>,
    pub(super) lent: Vec<SlotLoan>,
    pub(super) borrowed: Vec<SlotLoan>,
    pub(super) last_response_at: Option<Instant>,
    pub(super) consecutive_failures: u32,
    /// Number of responses since the last complete one whose bodies broke off.
    pub(super) consecutive_broken_bodies: u32,
    /// Number of ejections since the last response.
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) suspended_until: Option<Instant>,
    /// Time until which the target has asked for no requests.
    pub(super) held_until: Option<Instant>,
    /// Limit that the target has stated, if it has.
    pub(super) rate_limit: Option<TargetLimit>,
    pub(super) free_list_index: Option<usize>,
    /// Whether the target is in the table's timer list.
    pub(super) is_in_timer_list: bool,
}

impl TargetState {
    /// Returns the number of requests that this entry VM may have in flight at the target: the slots that
    /// it owns or has borrowed, without those that it has lent and those that other entry VMs use beyond
    /// their own share.
    pub fn limit(&self) -> u32 {
        let granted = self.owned_slots.saturating_add(self.borrowed.len() as u32).min(self.concurrency_limit);
        let foreign_share = self.total_slots.saturating_sub(granted);
        let foreign_excess = self.foreign_in_flight.saturating_sub(foreign_share);
        let used = foreign_excess.saturating_add(self.lent.len() as u32);
        granted.saturating_sub(used).min(self.ramp_limit as u32)
    }

    /// Begins the ramp-up again, with one request at a time.
    pub(super) fn restart_ramp(&mut self) {
        self.ramp_limit = 1.0;
        self.ramp_since = None;
    }

    /// Raises the limit after a response: by [`RAMP_STEP`], and no faster than linearly over `ramp`.
    pub(super) fn raise_ramp_limit(&mut self, full_limit: f64, ramp: Duration, now: Instant) {
        let since = *self.ramp_since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        let is_over = elapsed >= ramp;
        let share = if is_over { 1.0 } else { elapsed.as_secs_f64() / ramp.as_secs_f64() };
        let time_limit = 1.0 + (full_limit - 1.0) * share;
        let raised = (self.ramp_limit + RAMP_STEP).min(time_limit).min(full_limit);
        self.ramp_limit = self.ramp_limit.max(raised);
    }

    /// Returns whether the target is neither ejected nor suspended nor leaving, and has not asked for a
    /// pause.
    pub fn is_usable(&self) -> bool {
        self.lifecycle == TargetLifecycle::Live
            && self.ejected_until.is_none()
            && self.suspended_until.is_none()
            && self.held_until.is_none()
    }

    /// Returns the time until which the target has asked for no requests, if it has.
    pub fn held_until(&self) -> Option<Instant> {
        self.held_until
    }

    /// Returns what the target has stated last about its limit, if it has stated one.
    pub fn limit_observation(&self) -> Option<LimitObservation> {
        self.rate_limit.map(|limit| limit.observation())
    }

    /// Returns whether a limit applies to the target.
    pub fn is_limited(&self) -> bool {
        self.rate_limit.is_some_and(|limit| limit.is_active())
    }

    /// Returns whether the target is ejected because its responses kept failing.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the target receives no requests because it is slower than the others.
    pub fn is_suspended(&self) -> bool {
        self.suspended_until.is_some()
    }

    /// Returns whether a suspension of the target ended and it has not responded with normal latency
    /// since.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Returns whether the target has not responded after `since`.
    pub fn is_unresponsive_since(&self, since: Instant) -> bool {
        self.last_response_at.is_none_or(|at| at <= since)
    }

    /// Returns the expected slowdown: the weighted mean of the last report and `average`, the mean of
    /// the service's reports. The weight of the last report decays with its age.
    pub fn expected_slowdown(&self, average: f64, now: Instant) -> f64 {
        let warm_up = if self.is_cold() || self.warm_up_until.is_some_and(|until| now < until) {
            WARM_UP_SLOWDOWN
        } else {
            1.0
        };
        let Some((slowdown, reported)) = self.slowdown else { return average * warm_up };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        let weight = (-age / SLOWDOWN_TIME_CONSTANT.as_secs_f64()).exp();
        (weight * slowdown + (1.0 - weight) * average) * warm_up
    }

    /// Returns the last measured relative latency, decayed towards 1.0 with its age, so that a target
    /// that was avoided because it was slow is tried again.
    pub fn current_relative_latency(&self, now: Instant) -> f64 {
        let age = self.last_response_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 + (self.relative_latency - 1.0)
            * (-age.as_secs_f64() / RELATIVE_LATENCY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the work done by one slot, if the target reports its slowdown.
    pub fn work_reading(&self, now: Instant) -> Option<WorkReading> {
        let (meter, (slowdown, _)) = (self.work_meter?, self.slowdown?);
        Some(meter.read(slowdown, now))
    }

    /// Returns the number of requests from other entry VMs, as last reported.
    pub fn foreign_in_flight(&self) -> u32 {
        self.foreign_in_flight
    }

    /// Returns the fraction of this entry VM's owned and borrowed slots that is used by its own
    /// requests or, as last reported, by other entry VMs.
    pub fn occupancy(&self) -> f64 {
        let granted = self.owned_slots.saturating_add(self.borrowed.len() as u32);
        f64::from(self.in_flight + self.foreign_in_flight) / f64::from(granted.max(1))
    }

    /// Returns whether the target may be checked although no report is due: it accepts requests as far as is
    /// known, and it has asked for no pause and states no limit.
    pub fn may_be_checked(&self) -> bool {
        self.lifecycle == TargetLifecycle::Live && self.held_until.is_none() && !self.is_limited()
    }

    /// Returns whether a probe is due: the target is usable and states no limit, which probes would use up,
    /// and both its last report and its last probe are at least `age` old. A target that may be cold is also probed with a
    /// recent report.
    pub fn needs_report(&self, age: Duration, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= age;
        let is_stale = self.slowdown.is_none_or(|(_, reported)| is_old(reported));
        let warm_up = self.warm_up.as_ref().filter(|warm_up| warm_up.wants_reading(now));
        let is_wanted = is_stale || warm_up.is_some();
        let is_due = self.last_probe_at.is_none_or(is_old) || warm_up.is_some_and(WarmUpState::is_urgent);
        is_wanted && is_due && self.is_usable() && !self.is_limited()
    }

    /// Returns whether the target is slow after its start.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.warm_up_until.is_some_and(|until| now < until)
    }

    /// Returns the age of the last reported slowdown.
    pub fn slowdown_age(&self, now: Instant) -> Option<Duration> {
        self.slowdown.map(|(_, reported)| now.saturating_duration_since(reported))
    }

    /// Returns the number of slots that this entry VM owns at the target.
    pub fn owned_slots(&self) -> u32 {
        self.owned_slots
    }

    /// Returns the number of slots borrowed from the target's owner.
    pub fn borrowed_count(&self) -> usize {
        self.borrowed.len()
    }

    pub(super) fn has_timer(&self) -> bool {
        let has_loan = !self.lent.is_empty() || !self.borrowed.is_empty();
        has_loan
            || self.foreign_reported_at.is_some()
            || self.ejected_until.is_some()
            || self.suspended_until.is_some()
            || self.held_until.is_some()
            || self.is_limited()
            || self.is_cold()
    }

    /// Returns whether the target is cold, or counts as cold.
    pub fn is_cold(&self) -> bool {
        self.warm_up.as_ref().is_some_and(WarmUpState::is_cold)
    }

    /// Returns whether another request may be sent to the target now.
    pub fn has_free_slot(&self) -> bool {
        let may_send = self.rate_limit.is_none_or(|limit| limit.has_token());
        let may_send = may_send && self.warm_up.as_ref().is_none_or(WarmUpState::may_send);
        self.is_usable() && may_send && self.in_flight < self.limit()
    }
}
