//! Cold targets, in the target table.

use super::warm_up::{WarmUpChange, WarmUpState};
use super::{SharedTarget, TargetState, TargetTable};
use crate::ids::TargetKey;
use std::time::{Duration, Instant};

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

impl TargetTable {
    /// Returns whether a target may be cold.
    pub fn has_cold(&self) -> bool {
        !self.cold_list.is_empty()
    }

    /// Returns whether a usable target is warm.
    pub fn has_warm(&self) -> bool {
        self.targets.values().any(|target| target.is_usable() && !target.is_cold())
    }

    /// Returns whether a usable target is withheld from requests because it is cold.
    pub fn withholds_cold(&self) -> bool {
        self.cold_list.iter().any(|key| {
            let target = self.targets.get(*key).filter(|target| target.is_usable());
            target.is_some_and(|target| target.warm_up.as_ref().is_some_and(|state| !state.may_send()))
        })
    }

    /// Applies what the registration of a target states about its warm-up.
    pub(super) fn apply_warm_up_entry(&mut self, key: TargetKey, target: &SharedTarget, now: Instant) {
        let state = &mut self.targets[key];
        let Some(limit) = target.cold_limit else {
            state.warm_up = None;
            state.warm_up_until = (!target.warm_up.is_zero()).then(|| now + target.warm_up);
            return;
        };
        state.warm_up_until = None;
        let left = target.warm_up;
        match &mut state.warm_up {
            Some(warm_up) => {
                let change = warm_up.apply_entry(limit, left, now);
                self.note_change(key, change);
            }
            None => {
                let warm_up = WarmUpState::new(limit, left, state.has_joined, now);
                let change = if left.is_zero() { WarmUpChange::Lost } else { WarmUpChange::Cold };
                let change = warm_up.is_cold().then_some(change);
                state.warm_up = Some(warm_up);
                self.note_change(key, change);
            }
        }
        self.update_lists(key);
    }

    /// Records that contact with a target was lost: it may have restarted.
    pub fn record_loss(&mut self, key: TargetKey, now: Instant) {
        self.change_warm_up(key, |warm_up| warm_up.lose(now));
    }

    /// Records a health response to a check sent at `sent_at`, with the time for which the target stays cold.
    pub fn record_warm_up(&mut self, key: TargetKey, left: Duration, sent_at: Instant, now: Instant) {
        self.change_warm_up(key, |warm_up| warm_up.record_reading(left, sent_at, now));
    }

    /// Records that a target is checked.
    pub(super) fn record_check(&mut self, key: TargetKey, now: Instant) {
        self.change_warm_up(key, |warm_up| warm_up.record_check(now));
    }

    /// Returns the changes since the last call.
    pub fn take_warm_up_changes(&mut self) -> Vec<(TargetKey, WarmUpChange)> {
        std::mem::take(&mut self.warm_up_changes)
    }

    pub(super) fn tick_warm_up(&mut self, key: TargetKey, now: Instant) {
        let change = self.targets[key].warm_up.as_mut().and_then(|warm_up| warm_up.tick(now));
        self.note_change(key, change);
    }

    /// Removes targets that are no longer cold from the list.
    pub(super) fn trim_cold_list(&mut self) {
        let targets = &self.targets;
        self.cold_list.retain(|key| targets.get(*key).is_some_and(TargetState::is_cold));
    }

    fn change_warm_up(
        &mut self,
        key: TargetKey,
        change: impl FnOnce(&mut WarmUpState) -> Option<WarmUpChange>,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(warm_up) = &mut target.warm_up else { return };
        let change = change(warm_up);
        self.note_change(key, change);
        self.update_lists(key);
    }

    fn note_change(&mut self, key: TargetKey, change: Option<WarmUpChange>) {
        let Some(change) = change else { return };
        if change != WarmUpChange::Warm && !self.cold_list.contains(&key) {
            self.cold_list.push(key);
        }
        if self.warm_up_changes.len() < MAX_CHANGES {
            self.warm_up_changes.push((key, change));
        }
    }
}
