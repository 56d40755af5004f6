//! Failure domains that the operator has evacuated: their targets get no requests.
//!
//! The store holds the operator's orders. An evacuation that is missing after the store has returned from an older copy
//! was not taken back by the operator, so it stays in force for [`LOSS_RETENTION`], in which it can be ordered again.

use crate::ids::DomainName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which an evacuation that the store has lost stays in force.
pub const LOSS_RETENTION: Duration = Duration::from_secs(120);

/// Evacuated failure domains. Times are on a clock that does not stop while the VM is suspended.
#[derive(Debug, Default)]
pub struct EvacuationSet {
    /// For each domain the end of its evacuation, if the store has lost it.
    domains: BTreeMap<DomainName, Option<Duration>>,
}

impl EvacuationSet {
    /// Begins an evacuation. Returns whether the domain was not evacuated before.
    pub fn begin(&mut self, domain: DomainName) -> bool {
        self.domains.insert(domain, None).is_none()
    }

    /// Ends an evacuation, as the operator has taken it back. Returns whether there was one.
    pub fn end(&mut self, domain: &str) -> bool {
        self.domains.remove(domain).is_some()
    }

    /// Records that the store has lost an evacuation. Returns whether there was one.
    pub fn lose(&mut self, domain: &str, now: Duration) -> bool {
        let Some(end) = self.domains.get_mut(domain) else { return false };
        end.get_or_insert(now + LOSS_RETENTION);
        true
    }

    /// Ends the evacuations that were lost and not ordered again in time, and returns their domains.
    pub fn end_lost(&mut self, now: Duration) -> Vec<DomainName> {
        let is_over = |end: &Option<Duration>| end.is_some_and(|end| end <= now);
        let over = self.domains.iter().filter(|(_, end)| is_over(end));
        let over: Vec<DomainName> = over.map(|(domain, _)| domain.clone()).collect();
        self.domains.retain(|_, end| !is_over(end));
        over
    }

    /// Returns the time at which the next lost evacuation ends.
    pub fn next_end(&self) -> Option<Duration> {
        self.domains.values().flatten().min().copied()
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        self.domains.keys().cloned().collect()
    }
}
