//! Services all of whose targets are in evacuated failure domains.
//!
//! Nothing can be served until the operator takes an evacuation back, which takes longer than any request can wait. What
//! waits is therefore refused at once, like what comes and what would need another attempt.

use super::{DispatchAction, ServiceDispatcher};
use crate::reason::RefusalReason;
use std::time::{Duration, Instant};

/// Delay after which a refused caller may retry. An evacuation ends without notice.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ServiceDispatcher {
    /// Sets whether all targets are in evacuated failure domains. Refuses the queued requests if so.
    pub fn set_evacuated(&mut self, is_evacuated: bool, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.targets.ramp_after_refill();
            self.refuse_all_queued(now, actions);
        }
    }

    fn refuse_all_queued(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        for rank in 0..self.ranks.len() {
            while let Some(queued) = self.ranks[rank].queue.pop_front() {
                self.queued_keys.remove(&queued.request);
                self.refuse_dequeued_for(RefusalReason::NoTarget, rank, &queued, now, actions);
            }
        }
    }

    /// Returns the minimum delay after which a refused caller may retry.
    pub(super) fn evacuated_wait(&self) -> Duration {
        if self.is_evacuated { EVACUATED_RETRY_AFTER } else { Duration::ZERO }
    }
}
