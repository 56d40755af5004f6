//! Which entry VMs may send to a target while it is cold, and how often.
//!
//! The homes of a target's cells may, of as many hosts as the limit has room for; see [`sniperelay_core::target::WarmUpBudget`].
//! Entry VMs with the same lists agree without messages.

use super::placement::OwnCell;
use sniperelay_core::home::HOMES_PER_CELL;
use sniperelay_core::ids::ServiceName;
use sniperelay_core::route::{ServiceSpec, WarmUpPolicy};
use sniperelay_core::target::{ColdLimit, WarmUpBudget};
use sniperelay_hosted::bounds::WarmUpTolerance;
use sniperelay_hosted::registration::TargetRecord;
use std::collections::HashMap;
use std::time::Duration;

/// Warm-up policies of the services that have one.
#[derive(Debug)]
pub(super) struct ColdPolicies {
    by_service: HashMap<ServiceName, WarmUpPolicy>,
    tolerance: WarmUpTolerance,
}

impl ColdPolicies {
    pub(super) fn new(services: &[ServiceSpec], tolerance: WarmUpTolerance) -> Self {
        let by_service = services.iter().filter_map(|service| Some((service.name.clone(), service.warm_up?)));
        Self { by_service: by_service.collect(), tolerance }
    }

    /// Returns whether no service has a policy.
    pub(super) fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Returns the number of hosts whose homes may send to cold targets of a service.
    pub(super) fn max_hosts(&self, service: &ServiceName) -> usize {
        let budget = self.by_service.get(service).map(|policy| self.budget(policy));
        budget.map_or(0, |budget| (budget.max_senders() / HOMES_PER_CELL).max(1))
    }

    /// Returns how this entry VM treats a target while it is cold; `None` if its service has no policy. `cell` is that of
    /// this entry VM, if it may send to cold targets at all.
    /// `listed_for` returns the time for which the target has been listed and could get requests.
    pub(super) fn limit_of(
        &self,
        record: &TargetRecord,
        cell: Option<&OwnCell>,
        listed_for: impl FnOnce() -> Duration,
    ) -> Option<ColdLimit> {
        let policy = self.by_service.get(&record.service)?;
        let sender_cell = cell.filter(|cell| cell.cold_targets.contains(&record.address));
        let interval: Option<Duration> =
            sender_cell.map(|cell| self.budget(policy).interval(cell.cold_sender_count));
        Some(ColdLimit {
            started_millis: record.started_millis,
            duration: policy.duration,
            interval,
            is_established: listed_for() > policy.duration,
        })
    }

    fn budget(&self, policy: &WarmUpPolicy) -> WarmUpBudget {
        let WarmUpTolerance { overrun, slack } = self.tolerance;
        WarmUpBudget { per_second: policy.per_second, per_window: policy.per_second * overrun + slack }
    }
}
