//! Requests that this entry VM forwards to another one, because it reaches no target.

use super::{DEFAULT_RETRY_AFTER, RequestHandler, Result, indicates_not_run};
use crate::caller_response::{CallerResponse, RelayRefusal};
use crate::forwarding::{ForwardedRequest, forward_request};
use http::StatusCode;
use sniperelay_core::reason::{Outcome, RefusalReason};
use std::sync::atomic::Ordering;
use std::time::Instant;

impl RequestHandler {
    /// Handles the request here, or forwards it to another entry VM if this one reaches no target.
    pub(super) async fn run_or_forward(&mut self) -> Result<CallerResponse> {
        if self.state.links.is_isolated() {
            if let Some(result) = self.forward().await {
                return result;
            }
            self.is_bound_here = true;
        }
        let result = self.run_here().await;
        let Err(refusal) = result else { return result };
        if !self.needs_other_entry_vm(&refusal) {
            return result;
        }
        if let Some(forwarded) = self.forward().await {
            return forwarded;
        }
        if refusal.reason == RefusalReason::Isolated && Instant::now() < self.times.final_deadline {
            self.is_bound_here = true;
            return self.run_here().await;
        }
        result
    }

    /// Returns whether another entry VM may be able to serve a request that was refused here.
    fn needs_other_entry_vm(&self, refusal: &RelayRefusal) -> bool {
        match refusal.reason {
            RefusalReason::Isolated => true,
            RefusalReason::ConnectFailed => {
                refusal.outcome == Outcome::NotRun && self.state.peers_for_forwarding.may_fall_back()
            }
            _ => false,
        }
    }

    /// Forwards the request. Returns `None` if it may not be forwarded or no other entry VM takes it.
    async fn forward(&mut self) -> Option<Result<CallerResponse>> {
        let has_not_run = self.execution.outcome() == Outcome::NotRun;
        let attempts_made = if has_not_run { 0 } else { self.attempt_records.len() as u32 };
        let attempts_left = self.max_attempts.max(1).saturating_sub(attempts_made);
        if attempts_left == 0 || !(has_not_run || self.outbound.is_idempotent) || self.is_too_late_to_start()
        {
            return None;
        }
        let outbound = self.outbound.clone();
        let request = ForwardedRequest {
            outbound: &outbound,
            host: &self.host,
            attempts_left: if self.is_single_attempt { 1 } else { attempts_left },
            version: self.route.version,
            account_header: &self.route.account_header,
        };
        let deadline = self.times.final_deadline.into();
        let forwarded = tokio::time::timeout_at(deadline, forward_request(&self.state, &request)).await;
        let Ok(forwarded) = forwarded else {
            return Some(Err(RelayRefusal::unknown(RefusalReason::TargetTimeout)));
        };
        if forwarded.may_have_run {
            self.execution.record_lost_forward();
        }
        let result = match forwarded.response {
            Some((name, response)) => {
                self.forwarded_to = Some(name);
                self.accept_forwarded(response)
            }
            None if forwarded.may_have_run => Err(RelayRefusal::unknown(RefusalReason::ConnectionLost)),
            None => return None,
        };
        self.count_result(self.route.ranks.on_time, &result);
        Some(result)
    }

    /// Returns the response of another entry VM. It cannot know of attempts that were made elsewhere.
    fn accept_forwarded(&self, response: CallerResponse) -> Result<CallerResponse> {
        if !self.state.links.is_isolated() && response.status == StatusCode::SERVICE_UNAVAILABLE {
            self.state.peers_for_forwarding.pause_fallback();
        }
        let may_have_run = self.execution.outcome() != Outcome::NotRun;
        if may_have_run && indicates_not_run(response.status) {
            return Err(RelayRefusal::unknown(RefusalReason::ConnectionLost));
        }
        Ok(response)
    }

    /// Ends the attempts in flight, whose connections hang.
    fn cancel_attempts(&mut self) {
        for _ in 0..self.attempts.len() {
            self.execution.record_cancellation();
        }
        self.attempts.clear();
        self.abort_handles.clear();
    }

    /// Ends the only attempt in flight if it still waits for a connection.
    pub(super) fn cancel_unwritten_attempt(&mut self) {
        if self.attempts.len() == 1 && !self.is_last_written.load(Ordering::Relaxed) {
            self.attempts.clear();
            self.abort_handles.clear();
            self.execution.record_unsent();
        }
    }

    /// Returns the refusal of a request that waits here when this entry VM has lost its targets, or `None` if
    /// it has to wait for its attempts because it may be running.
    pub(super) fn isolation_refusal(&mut self) -> Option<RelayRefusal> {
        self.cancel_unwritten_attempt();
        if self.execution.outcome() == Outcome::NotRun {
            return Some(RelayRefusal::not_run(RefusalReason::Isolated, DEFAULT_RETRY_AFTER));
        }
        if !self.outbound.is_idempotent {
            return None;
        }
        self.cancel_attempts();
        Some(RelayRefusal::unknown(RefusalReason::Isolated))
    }
}
