//! Overflow targets: targets in other failure domains that are used only while leaving the own one pays.
//!
//! They have the same state as the others, but are in none of the lists from which targets are chosen otherwise, and
//! they are counted neither as slots of this entry VM nor among the targets of which some may be excluded.

use super::{SharedTarget, TargetTable};
use crate::domain_overflow::TakingTarget;
use crate::ids::TargetKey;
use std::time::{Duration, Instant};

impl TargetTable {
    /// Replaces the set of targets with own targets and overflow targets, all of which have shared slots.
    pub fn replace_with_overflow(&mut self, own: &[SharedTarget], overflow: &[SharedTarget], now: Instant) {
        self.overflow_addresses = overflow.iter().map(|target| target.spec.address).collect();
        let all: Vec<SharedTarget> = own.iter().chain(overflow).cloned().collect();
        self.replace_shared_targets(&all, now);
    }

    /// Returns the overflow targets with a free slot.
    pub fn free_overflow(&self) -> &[TargetKey] {
        &self.free_overflow
    }

    /// Returns whether there are overflow targets.
    pub fn has_overflow(&self) -> bool {
        !self.overflow_addresses.is_empty()
    }

    /// Returns the number of targets that are not overflow targets.
    pub fn own_count(&self) -> usize {
        if !self.has_overflow() {
            return self.targets.len();
        }
        self.targets.len() - self.targets.values().filter(|target| target.is_overflow).count()
    }

    /// Returns the total number of slots that this entry VM may use at its own usable targets, except for cold ones.
    pub fn own_warm_slots(&self) -> u32 {
        let own = self.targets.values().filter(|target| !target.is_overflow && !target.is_cold());
        own.filter(|target| target.is_usable()).fold(0, |total, target| total.saturating_add(target.limit()))
    }

    /// Returns up to `count` usable overflow targets whose last report and last probe are both at least `age` old,
    /// those that were probed longest ago first, and marks them as probed at `now`.
    pub fn take_due_overflow_probes(&mut self, age: Duration, count: usize, now: Instant) -> Vec<TargetKey> {
        let overflow = self.targets.iter().filter(|(_, target)| target.is_overflow);
        let due = overflow.filter(|(_, target)| target.needs_report(age, now));
        let mut due: Vec<(Option<Instant>, TargetKey)> =
            due.map(|(key, target)| (target.last_probe_at, key)).collect();
        due.sort_unstable();
        let due: Vec<TargetKey> = due.into_iter().take(count).map(|(_, key)| key).collect();
        self.take_due_probes_of(&due, age, now)
    }

    /// Returns an overflow target as one that may take requests of this failure domain.
    pub fn taking_target(&self, key: TargetKey, now: Instant) -> Option<TakingTarget> {
        let target = self.targets.get(key)?;
        Some(TakingTarget {
            slots: target.owned_slots,
            own_in_flight: target.in_flight,
            foreign_in_flight: target.foreign_in_flight,
            report_age: target.slowdown_age(now),
            is_restricted: target.is_warming_up(now) || target.is_cold() || target.is_limited(),
            may_turn_cold: target.warm_up.is_some(),
        })
    }

    /// Moves a target between the lists if it has become an overflow target or is one no longer.
    pub(super) fn update_overflow(&mut self, key: TargetKey) {
        let target = &self.targets[key];
        let is_overflow = self.overflow_addresses.contains(&target.address);
        if target.is_overflow == is_overflow {
            return;
        }
        if let Some(index) = target.free_list_index {
            self.remove_from_free_list(key, index);
        }
        self.targets[key].is_overflow = is_overflow;
    }

    /// Returns the number of targets of which a part may be excluded.
    pub(super) fn excludable_count(&self) -> usize {
        let own_count = self.own_count();
        if own_count > 0 { own_count } else { self.targets.len() }
    }
}
