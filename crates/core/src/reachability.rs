//! Whether this entry VM reaches any target.
//!
//! A single target that does not respond is a matter of that target. An entry VM that hears from no target
//! although it sends to them has probably lost its own links. It then checks a few targets over new connections,
//! and is isolated if several rounds of checks fail. Checks go on while it is isolated, so that it notices the end of
//! the partition.
//!
//! Invariants:
//!
//! - a response of any target, to a request or to a check, ends every suspicion;
//! - without anything sent there is no suspicion; an idle entry VM checks one target now and then, so that it
//!   detects a partition before its next request;
//! - the number of checks per second is bounded, whatever the number of targets.

use std::time::{Duration, Instant};

/// Time without any response after a request was sent from which targets are checked: twice the usual latency
/// of the slowest service on the platform's pages (87 ms), with a margin.
pub const SUSPICION_TIME: Duration = Duration::from_millis(200);
/// Time without any response from which an entry VM may be isolated: the suspicion and two rounds of
/// checks.
pub const ISOLATION_TIME: Duration = Duration::from_millis(450);
/// Interval between two rounds of checks while there is a suspicion or a partition.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an entry VM without any response checks one target. With [`ISOLATION_TIME`] and a round of
/// checks, a partition is known within the 3 s that the platform's pages allow for it.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Number of failed rounds in a row from which an entry VM is isolated.
const ISOLATION_ROUNDS: u32 = 2;
/// Number of successful rounds in a row that end a partition.
const RETURN_ROUNDS: u32 = 2;
/// Upper bound of the rounds that end a partition. Each partition that follows the previous one within
/// [`FLAPPING_TIME`] doubles them.
const MAX_RETURN_ROUNDS: u32 = 16;
/// Time after a partition within which another one counts as flapping.
const FLAPPING_TIME: Duration = Duration::from_secs(10);

/// Change of the state of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The state is the same.
    Unchanged,
    /// The entry VM reaches no target any more.
    Isolated,
    /// The entry VM reaches targets again.
    Connected,
}

/// What is known about the links between this entry VM and all targets.
#[derive(Debug, Default)]
pub struct TargetReachability {
    /// Time at which something was sent to a target for the first time since the last response of any target.
    waiting_since: Option<Instant>,
    last_response_at: Option<Instant>,
    last_idle_check_at: Option<Instant>,
    is_isolated: bool,
    last_round_at: Option<Instant>,
    failed_rounds: u32,
    successful_rounds: u32,
    return_rounds: u32,
    connected_at: Option<Instant>,
}

impl TargetReachability {
    /// Records that something is being sent to a target, from the start of the connection on.
    pub fn record_send(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a response of a target to a request or a probe.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response_at = Some(now);
        if !self.is_isolated {
            self.waiting_since = None;
            self.failed_rounds = 0;
        }
    }

    /// Returns whether this entry VM reaches no target.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Returns whether no target has responded for a while, so that failures of single targets prove nothing
    /// about them.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.is_isolated || self.waits_for(SUSPICION_TIME, now)
    }

    /// Returns whether this entry VM is to check one target because it has been idle, and schedules the next such
    /// check.
    pub fn take_due_idle_check(&mut self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < IDLE_CHECK_INTERVAL)
        };
        let is_idle = self.waiting_since.is_none() && !self.is_isolated;
        let is_due = is_idle && !is_recent(self.last_response_at) && !is_recent(self.last_idle_check_at);
        if is_due {
            self.last_idle_check_at = Some(now);
        }
        is_due
    }

    /// Returns whether a round of checks is due, and schedules the next one.
    pub fn take_due_round(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        let is_due = self.is_suspect(now) && !self.last_round_at.is_some_and(is_recent);
        if is_due {
            self.last_round_at = Some(now);
        }
        is_due
    }

    /// Records the result of a round of checks. A round is successful if any target has responded to it.
    pub fn record_round(&mut self, is_successful: bool, now: Instant) -> ReachabilityChange {
        if self.is_isolated {
            self.successful_rounds = if is_successful { self.successful_rounds + 1 } else { 0 };
            if self.successful_rounds < self.return_rounds {
                return ReachabilityChange::Unchanged;
            }
            self.is_isolated = false;
            self.waiting_since = None;
            self.failed_rounds = 0;
            self.connected_at = Some(now);
            return ReachabilityChange::Connected;
        }
        if is_successful {
            self.record_response(now);
            return ReachabilityChange::Unchanged;
        }
        self.failed_rounds += 1;
        if self.failed_rounds < ISOLATION_ROUNDS || !self.waits_for(ISOLATION_TIME, now) {
            return ReachabilityChange::Unchanged;
        }
        self.is_isolated = true;
        self.successful_rounds = 0;
        let is_flapping =
            self.connected_at.is_some_and(|at| now.saturating_duration_since(at) < FLAPPING_TIME);
        let doubled = (self.return_rounds * 2).min(MAX_RETURN_ROUNDS);
        self.return_rounds = if is_flapping { doubled } else { RETURN_ROUNDS };
        ReachabilityChange::Isolated
    }

    fn waits_for(&self, time: Duration, now: Instant) -> bool {
        self.waiting_since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }
}
