//! Targets that have reported that they are leaving, before the platform's list shows it.
//!
//! A report concerns one instance: another instance at the same address is another target. A target that
//! has reported leaving gets no new requests, unless all targets of its service are leaving; then it still
//! serves for a while, since it completes what it gets within its drain time.

use crate::ids::InstanceName;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the drain time for which a target that has reported leaving may still be used. The rest is for
/// requests that are on their way.
const USABLE_DRAIN_SHARE: f64 = 0.5;

/// Reports of leaving, by instance. Times are on a clock that does not stop while the VM is suspended.
#[derive(Debug, Default)]
pub struct LeavingReports {
    reported_at: HashMap<InstanceName, Duration>,
}

impl LeavingReports {
    /// Records a report. Returns whether it is the first one of this instance; later ones change nothing.
    pub fn record(&mut self, instance: &InstanceName, now: Duration) -> bool {
        let is_new = !self.reported_at.contains_key(instance);
        if is_new {
            self.reported_at.insert(instance.clone(), now);
        }
        is_new
    }

    /// Removes the reports of instances that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&InstanceName) -> bool) {
        self.reported_at.retain(|instance, _| is_listed(instance));
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reported_at.is_empty()
    }

    /// Returns whether an instance has reported that it is leaving.
    pub fn has_reported(&self, instance: &InstanceName) -> bool {
        self.reported_at.contains_key(instance)
    }

    /// Returns whether a target gets no new requests because of its report. `has_staying_peer` states whether
    /// another target of the service is not leaving, `drain` is the time within which a leaving target may
    /// still receive requests.
    pub fn is_excluded(
        &self,
        instance: &InstanceName,
        has_staying_peer: bool,
        drain: Duration,
        now: Duration,
    ) -> bool {
        let Some(reported_at) = self.reported_at.get(instance) else { return false };
        has_staying_peer || now >= last_use(*reported_at, drain)
    }

    /// Returns the next time after `now` at which a target may no longer be used even without another one.
    pub fn next_expiry(&self, drain: Duration, now: Duration) -> Option<Duration> {
        let ends = self.reported_at.values().map(|reported_at| last_use(*reported_at, drain));
        ends.filter(|end| *end > now).min()
    }
}

fn last_use(reported_at: Duration, drain: Duration) -> Duration {
    reported_at + drain.mul_f64(USABLE_DRAIN_SHARE)
}
