//! Whether a queued request leaves the failure domain of its entry VM, and which targets elsewhere may take it.
//!
//! Traffic between failure domains takes longer and is charged by the byte. A request leaves only when no target in the
//! own domain can be given to it now and waiting for one is expected to cost more than leaving. Both are compared as
//! times: the bytes of a request cost the share of its slack that they are of the bytes that one response in time is
//! worth. Each departure shortens the queue from which the next decision is made, so that no more requests leave than
//! bring the wait down to the cost of leaving.
//!
//! The functions are pure; `dispatch::overflow` applies them.

use crate::estimate::SizeEstimate;
use std::time::{Duration, Instant};

/// Ratio of the expected wait to the cost of leaving above which requests begin to leave. Once they do, a ratio of 1 is
/// enough, so that noise in the wait does not start and end the departures again and again.
const BEGIN_RATIO: f64 = 1.5;
/// Ratio of the expected wait to the cost of leaving from which reports of overflow targets are requested, so that they
/// are there when requests begin to leave.
const PREPARE_RATIO: f64 = 0.5;
/// Time without departures after which a service is no longer leaving its failure domain.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Maximum share of an overflow target's slots that one entry VM of another domain uses.
const OVERFLOW_SLOT_SHARE: f64 = 1.0 / 3.0;
/// Number of slots of an overflow target that requests of other domains leave free, if it has more than one and they have
/// usable targets at home.
const SLOTS_LEFT_FREE: u32 = 1;
/// Maximum age of a report of an overflow target: reports of requests in flight expire after this time as well.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// What leaving the failure domain costs; settings of the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingCosts {
    /// Time of a message between two failure domains, one way.
    pub hop: Duration,
    /// Number of bytes between failure domains that are worth as much as one response in time.
    pub late_response_bytes: f64,
}

/// Mean number of bytes of a request and its response, unknown before the first response.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransferEstimate {
    bytes: SizeEstimate,
    is_measured: bool,
}

impl TransferEstimate {
    /// Records the size of a request body and of its response body.
    pub fn record(&mut self, bytes: usize) {
        self.bytes.record(bytes as f64);
        self.is_measured = true;
    }

    /// Returns the mean number of bytes, if there has been a response.
    pub fn bytes(self) -> Option<f64> {
        self.is_measured.then(|| self.bytes.value())
    }
}

/// The request at the front of a rank's queue.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Time that is left until its response would be late even if it started now.
    pub slack: Duration,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Expected wait of a request at the end of the queue for a target in the own domain; `None` if no such target is
    /// usable, or all that are tolerate few requests after a start.
    pub own_wait: Option<Duration>,
    /// Expected number of bytes of request and response.
    pub transfer_bytes: Option<f64>,
    /// Whether its response is late already, in the rank that is served last.
    pub is_late: bool,
}

/// Why a request leaves the failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// No target in the own domain is usable, or all that are tolerate few requests after a start.
    NoOwnTarget,
    /// Waiting for a target in the own domain costs more than leaving.
    Wait,
}

/// Decision about a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveDecision {
    /// It waits for a target in the own domain.
    Stay,
    /// It waits, but reports of overflow targets are requested.
    Prepare,
    /// It leaves if an overflow target may take it.
    Leave(LeaveReason),
}

impl LeavingCosts {
    /// Decides about a waiting request. `is_leaving` states whether requests of the service have left recently.
    pub fn decide(&self, request: &WaitingRequest, is_leaving: bool) -> LeaveDecision {
        let Some(own_wait) = request.own_wait else { return LeaveDecision::Leave(LeaveReason::NoOwnTarget) };
        let bytes = request.transfer_bytes.filter(|bytes| *bytes < self.late_response_bytes);
        let Some(bytes) = bytes.filter(|_| !request.is_late && !request.slack.is_zero()) else {
            return LeaveDecision::Stay;
        };
        let ratio = own_wait.as_secs_f64() / self.cost(request.slack, bytes).as_secs_f64().max(f64::EPSILON);
        let begin_ratio = if is_leaving { 1.0 } else { BEGIN_RATIO };
        if ratio > begin_ratio && request.waited >= self.hop * 2 {
            LeaveDecision::Leave(LeaveReason::Wait)
        } else if ratio > PREPARE_RATIO {
            LeaveDecision::Prepare
        } else {
            LeaveDecision::Stay
        }
    }

    /// Returns the wait that costs as much as leaving with `bytes` of request and response.
    pub fn cost(&self, slack: Duration, bytes: f64) -> Duration {
        self.hop * 2 + slack.mul_f64(bytes / self.late_response_bytes)
    }
}

/// An overflow target, from the point of view of one entry VM of another failure domain.
#[derive(Debug, Clone, Copy)]
pub struct TakingTarget {
    /// Number of its slots that may be filled.
    pub slots: u32,
    /// Number of requests in flight from this entry VM.
    pub own_in_flight: u32,
    /// Number of requests from other entry VMs, as last reported.
    pub foreign_in_flight: u32,
    /// Age of its last report.
    pub report_age: Option<Duration>,
    /// Whether it is slow after its start, or states a limit.
    pub is_restricted: bool,
    /// Whether it tolerates few requests after a start, so that its state has to be known.
    pub may_turn_cold: bool,
}

impl TakingTarget {
    /// Returns whether the target may take a request that leaves another failure domain for `reason`.
    pub fn may_take(&self, reason: LeaveReason) -> bool {
        let own_share = (f64::from(self.slots) * OVERFLOW_SLOT_SHARE) as u32;
        let room = match reason {
            LeaveReason::NoOwnTarget => self.slots,
            LeaveReason::Wait => self.slots.saturating_sub(SLOTS_LEFT_FREE).max(1),
        };
        let is_reported = self.report_age.is_some_and(|age| age <= MAX_REPORT_AGE);
        // Not all targets report their load. Without a usable target at home, any is better than none.
        let needs_report = reason != LeaveReason::NoOwnTarget || self.may_turn_cold;
        (is_reported || !needs_report)
            && !self.is_restricted
            && self.own_in_flight < own_share.max(1)
            && self.own_in_flight + self.foreign_in_flight < room
    }
}

/// A change of whether the requests of a service leave the failure domain, for log lines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeavingChange {
    /// Requests have begun to leave.
    Began {
        /// Why the first one has left.
        reason: LeaveReason,
        /// Wait for a target in the own domain that was expected then, if there was a usable one.
        own_wait: Option<Duration>,
    },
    /// No request has left for a while.
    Ended {
        /// Number of requests that have left.
        left: u64,
        /// Number of requests that were started in the meantime, those included.
        started: u64,
        /// Time from the first to the last one.
        duration: Duration,
    },
}

/// A time during which requests of a service leave the failure domain.
#[derive(Debug, Clone, Copy)]
struct LeavingEpisode {
    began: Instant,
    last: Instant,
    left: u64,
    started: u64,
}

/// Whether the requests of a service leave the failure domain, and how many have left.
#[derive(Debug, Default)]
pub struct LeavingRecord {
    episode: Option<LeavingEpisode>,
    change: Option<LeavingChange>,
    /// Number of requests that have left because of the expected wait.
    pub left_by_wait: u64,
    /// Number of requests that have left because no target in the own domain was usable.
    pub left_without_target: u64,
}

impl LeavingRecord {
    /// Returns whether a request has left within the last second.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.episode.is_some_and(|episode| now.saturating_duration_since(episode.last) < QUIET_TIME)
    }

    /// Records that a request was started at any target.
    pub fn record_start(&mut self) {
        if let Some(episode) = &mut self.episode {
            episode.started += 1;
        }
    }

    /// Records that a request leaves, before its start is recorded.
    pub fn record_departure(&mut self, reason: LeaveReason, own_wait: Option<Duration>, now: Instant) {
        match reason {
            LeaveReason::Wait => self.left_by_wait += 1,
            LeaveReason::NoOwnTarget => self.left_without_target += 1,
        }
        if self.episode.is_none() {
            self.change = Some(LeavingChange::Began { reason, own_wait });
        }
        let new_episode = LeavingEpisode { began: now, last: now, left: 0, started: 0 };
        let episode = self.episode.get_or_insert(new_episode);
        episode.last = now;
        episode.left += 1;
    }

    /// Returns a change that has not been returned yet.
    pub fn take_change(&mut self, now: Instant) -> Option<LeavingChange> {
        if let Some(change) = self.change.take() {
            return Some(change);
        }
        let is_over = !self.is_leaving(now);
        let episode = self.episode.take_if(|_| is_over)?;
        let duration = episode.last.saturating_duration_since(episode.began);
        Some(LeavingChange::Ended { left: episode.left, started: episode.started, duration })
    }
}
