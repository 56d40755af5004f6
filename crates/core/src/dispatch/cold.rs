//! Requests of a service with cold targets.
//!
//! First attempts go to a cold target whenever it may get one and is the best choice. Retries go there only if no target is
//! warm, and hedges never: they are meant to be faster.

use super::{DispatchAction, ServiceDispatcher};
use crate::ids::{InstanceName, TargetKey};
use crate::queue::QueuedRequest;
use crate::target::WarmUpChange;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What has happened to the cold targets of a service since the last report.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ColdTargetReport {
    /// Targets that have turned cold or warm.
    pub changes: Vec<(SocketAddr, InstanceName, WarmUpChange)>,
    /// Number of requests that had to wait, or were refused, while cold targets had free slots.
    pub withheld: u64,
}

impl ServiceDispatcher {
    /// Records a health response to a check sent at `sent_at`, with the time for which the target stays cold, and starts
    /// queued requests if possible.
    pub fn record_warm_up(
        &mut self,
        target: TargetKey,
        left: Duration,
        sent_at: Instant,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.targets.record_warm_up(target, left, sent_at, now);
        self.bind_queued(now, actions);
    }

    /// Records that contact with a target was lost outside of a request, so that it may have restarted.
    pub fn record_loss(&mut self, target: TargetKey, now: Instant) {
        self.targets.record_loss(target, now);
    }

    /// Returns what has happened to cold targets since the last call.
    pub fn take_cold_target_report(&mut self) -> ColdTargetReport {
        let changes = self.targets.take_warm_up_changes().into_iter();
        let named = changes.filter_map(|(key, change)| {
            let target = self.targets.get(key)?;
            Some((target.address, target.instance.clone(), change))
        });
        ColdTargetReport { changes: named.collect(), withheld: std::mem::take(&mut self.withheld_count) }
    }

    /// Counts a request that found no target because cold ones are withheld.
    pub(super) fn count_withheld(&mut self) {
        if self.targets.has_cold() && !self.has_free_target() && self.targets.withholds_cold() {
            self.withheld_count += 1;
        }
    }

    /// Returns whether a request must not go to cold targets: it has an attempt in flight, or had one and there are warm
    /// targets.
    pub(super) fn avoids_cold(&self, queued: &QueuedRequest) -> bool {
        if !self.targets.has_cold() {
            return false;
        }
        let Some(state) = self.requests.get(&queued.request) else { return false };
        !state.attempts.is_empty() || state.attempt_count > 0 && self.targets.has_warm()
    }
}
