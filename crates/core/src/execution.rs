//! What is known about the execution of one request, over all of its attempts.
//!
//! Invariant: the outcome is [`Outcome::NotRun`] only if every attempt has ended with a proof that it did
//! not run. An attempt in flight and one that was cancelled may run, now or later.

use crate::dispatch::AttemptFailure;
use crate::reason::Outcome;

/// Execution state of one request.
#[derive(Debug, Default)]
pub struct ExecutionRecord {
    in_flight: u32,
    may_have_run: bool,
}

impl ExecutionRecord {
    /// Records the start of an attempt.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt has ended before anything was sent.
    pub fn record_unsent(&mut self) {
        self.end_attempt(true);
    }

    /// Records that an attempt has failed.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        self.end_attempt(failure.proves_not_run());
    }

    /// Records that a target has responded, other than with a proof that it did not run the request.
    pub fn record_response(&mut self) {
        self.end_attempt(false);
    }

    /// Records that an attempt was cancelled.
    pub fn record_cancellation(&mut self) {
        self.end_attempt(false);
    }

    /// Records that another entry VM has taken the request and was lost, so that it may have run there.
    pub fn record_lost_forward(&mut self) {
        self.may_have_run = true;
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns the outcome to report to the caller if there is no response to the request.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run || self.has_attempt_in_flight() { Outcome::Unknown } else { Outcome::NotRun }
    }

    fn end_attempt(&mut self, is_proved_not_run: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= !is_proved_not_run;
    }
}
