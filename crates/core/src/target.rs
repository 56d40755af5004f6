//! Targets of one service, from the point of view of one entry VM.
//!
//! A target's *limit* is the number of requests that this entry VM may have in flight at the
//! target: the slots that it owns or has borrowed, minus the slots that it has lent out and the
//! slots that other entry VMs are reported to use beyond their own share.
//!
//! Targets with free slots are kept in two index lists, one for the local failure domain and one
//! for all others, so the cost of picking a target does not depend on the number of targets. The
//! entry of a target in the lists is updated on every change of that target. Overflow targets, which
//! are used only while leaving the failure domain pays, are in a list of their own.

mod cold;
mod limits;
mod overflow;
mod state;
mod warm_up;

use crate::ids::{DomainName, InstanceName, TargetKey};
use crate::rate_limit::TargetLimit;
use slotmap::SlotMap;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use limits::LimitedCapacity;
use state::WorkMeter;
pub use state::{
    LoadReport, SharedReport, SharedTarget, SlotLoan, TargetLifecycle, TargetSpec, TargetState, WorkReading,
};
pub use warm_up::{ColdLimit, WarmUpBudget, WarmUpChange};

/// Maximum age of a load report before it is discarded.
const REPORT_LIFETIME: Duration = Duration::from_millis(100);
/// Maximum age of a report from a target with shared slots. Such a target is probed when no report
/// arrives.
const SHARED_REPORT_LIFETIME: Duration = Duration::from_millis(300);
/// Number of consecutive failures after which a target is ejected.
const EJECT_FAILURES: u32 = 3;
/// Duration of the first ejection. Each further ejection doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Time for which a straggler receives no requests.
const SUSPEND_TIME: Duration = Duration::from_millis(60);
/// Relative latency above which a target is a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// Weight of a new sample in a target's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Weight of a new report in the mean slowdown of a service's targets.
const AVERAGE_SLOWDOWN_WEIGHT: f64 = 0.02;

/// Settings of a [`TargetTable`].
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Failure domain of this entry VM.
    pub local_domain: DomainName,
    /// Number of slots per target.
    pub slots: u32,
    /// Minimum time from a new target's first response until it is used at its full limit.
    pub ramp: Duration,
    /// Whether limits are ignored, as in the baseline policies.
    pub is_unlimited: bool,
}

/// All targets of one service.
#[derive(Debug)]
pub struct TargetTable {
    settings: TargetSettings,
    targets: SlotMap<TargetKey, TargetState>,
    by_address: HashMap<SocketAddr, TargetKey>,
    /// Targets with a free slot: index 0 for the local failure domain, index 1 for all others.
    free_lists: [Vec<TargetKey>; 2],
    /// Overflow targets with a free slot.
    free_overflow: Vec<TargetKey>,
    /// Addresses of the overflow targets.
    overflow_addresses: HashSet<SocketAddr>,
    /// Targets with a report, loan, ejection or suspension that will expire.
    timer_list: Vec<TargetKey>,
    /// Targets that state a limit, and some that no longer do.
    limited_list: Vec<TargetKey>,
    /// Cold targets, and some that no longer are.
    cold_list: Vec<TargetKey>,
    /// Changes of targets that turn cold or warm, until they are taken.
    warm_up_changes: Vec<(TargetKey, WarmUpChange)>,
    /// Limits of instances that are not in the table at present. They still apply if an instance returns.
    retained_limits: HashMap<InstanceName, TargetLimit>,
    /// Number of current ejections and suspensions.
    excluded_count: usize,
    /// Whether targets that fill an empty table begin with their ramp-up.
    must_ramp: bool,
    /// Number of requests, from all entry VMs, up to which each target is filled.
    concurrency_limit: u32,
    /// Mean of the reported slowdowns; 1.0 is the usual speed.
    average_slowdown: f64,
}

impl TargetTable {
    /// Creates an empty table.
    pub fn new(settings: TargetSettings) -> Self {
        let free_lists = [Vec::new(), Vec::new()];
        Self {
            settings,
            targets: SlotMap::with_key(),
            by_address: HashMap::new(),
            free_lists,
            free_overflow: Vec::new(),
            overflow_addresses: HashSet::new(),
            timer_list: Vec::new(),
            limited_list: Vec::new(),
            cold_list: Vec::new(),
            warm_up_changes: Vec::new(),
            retained_limits: HashMap::new(),
            excluded_count: 0,
            must_ramp: false,
            concurrency_limit: u32::MAX,
            average_slowdown: 1.0,
        }
    }

    /// Replaces the set of targets. Targets that are in both sets keep their state. A target that is
    /// no longer listed is removed, or, while it has requests in flight, marked as leaving and
    /// removed by a later call.
    pub fn replace_targets(&mut self, specs: &[TargetSpec]) {
        let is_initial_fill = self.targets.is_empty() && !self.must_ramp;
        let specs_by_address: HashMap<SocketAddr, &TargetSpec> =
            specs.iter().map(|spec| (spec.address, spec)).collect();
        let existing: Vec<TargetKey> = self.targets.keys().collect();
        for key in existing {
            let address = self.targets[key].address;
            let is_current = self.find(address) == Some(key);
            match specs_by_address.get(&address).filter(|_| is_current) {
                Some(spec) => self.update_target(key, spec),
                None => self.retire_target(key),
            }
        }
        for spec in specs {
            if !self.by_address.contains_key(&spec.address) {
                self.add_target(spec, is_initial_fill);
            }
        }
    }

    /// Replaces the set of targets with targets that have shared slots. A different instance at a
    /// known address is a different target: the previous one finishes its requests in flight and
    /// receives no new ones.
    pub fn replace_shared_targets(&mut self, targets: &[SharedTarget], now: Instant) {
        for target in targets {
            self.detach_replaced_instance(target);
        }
        let specs: Vec<TargetSpec> = targets.iter().map(|target| target.spec.clone()).collect();
        self.replace_targets(&specs);
        for target in targets {
            let Some(key) = self.find(target.spec.address) else { continue };
            let state = &mut self.targets[key];
            state.instance.clone_from(&target.instance);
            state.total_slots = 0;
            self.apply_warm_up_entry(key, target, now);
            self.restore_limit(key);
        }
        self.remove_old_limits(now);
    }

    fn detach_replaced_instance(&mut self, target: &SharedTarget) {
        let Some(key) = self.find(target.spec.address) else { return };
        if self.targets[key].instance != target.instance {
            self.by_address.remove(&target.spec.address);
            self.retire_target(key);
        }
    }

    /// Records a report of a target with shared slots. Requests in the report that are not from this
    /// entry VM are attributed to other entry VMs until the next report arrives or this one expires.
    pub fn record_report(&mut self, key: TargetKey, report: SharedReport, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let previous = target.slowdown.map_or(report.slowdown, |(slowdown, _)| slowdown);
        let meter = target.work_meter.get_or_insert_with(|| WorkMeter::new(now));
        meter.advance(previous, report.slowdown, now);
        target.slowdown = Some((report.slowdown, now));
        target.foreign_in_flight = report.occupied.saturating_sub(report.own);
        target.foreign_reported_at = Some(now);
        self.average_slowdown += AVERAGE_SLOWDOWN_WEIGHT * (report.slowdown - self.average_slowdown);
        self.update_lists(key);
    }

    /// Returns the usable targets, except for overflow targets, whose last report and last probe are both at least
    /// `age` old, and marks them as probed at `now`.
    pub fn take_due_probes(&mut self, age: Duration, now: Instant) -> Vec<TargetKey> {
        let own = self.targets.iter().filter(|(_, target)| !target.is_overflow).map(|(key, _)| key);
        let own: Vec<TargetKey> = own.collect();
        self.take_due_probes_of(&own, age, now)
    }

    /// Same as [`Self::take_due_probes`], restricted to the targets in `keys`.
    pub fn take_due_probes_of(&mut self, keys: &[TargetKey], age: Duration, now: Instant) -> Vec<TargetKey> {
        let mut probed = Vec::new();
        for key in keys {
            let Some(target) = self.targets.get_mut(*key) else { continue };
            if target.needs_report(age, now) {
                target.last_probe_at = Some(now);
                self.record_check(*key, now);
                probed.push(*key);
            }
        }
        probed
    }

    /// Returns the mean of the reported slowdowns; 1.0 is the usual speed.
    pub fn average_slowdown(&self) -> f64 {
        self.average_slowdown
    }

    fn add_target(&mut self, spec: &TargetSpec, starts_at_full_limit: bool) {
        let ramp_limit = if starts_at_full_limit { f64::from(self.settings.slots) } else { 1.0 };
        let state = TargetState {
            address: spec.address,
            lifecycle: spec.lifecycle,
            is_local: spec.domain == self.settings.local_domain,
            is_overflow: self.overflow_addresses.contains(&spec.address),
            in_flight: 0,
            relative_latency: 1.0,
            instance: InstanceName::new(),
            slowdown: None,
            work_meter: None,
            warm_up_until: None,
            warm_up: None,
            has_joined: !starts_at_full_limit,
            last_probe_at: None,
            total_slots: self.settings.slots,
            owned_slots: spec.owned_slots,
            concurrency_limit: self.concurrency_limit,
            ramp_limit,
            ramp_since: None,
            is_on_trial: false,
            foreign_in_flight: 0,
            foreign_reported_at: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            last_response_at: None,
            consecutive_failures: 0,
            consecutive_broken_bodies: 0,
            ejections: 0,
            ejected_until: None,
            suspended_until: None,
            held_until: None,
            rate_limit: None,
            free_list_index: None,
            is_in_timer_list: false,
        };
        let key = self.targets.insert(state);
        self.by_address.insert(spec.address, key);
        self.update_lists(key);
    }

    fn update_target(&mut self, key: TargetKey, spec: &TargetSpec) {
        self.update_overflow(key);
        let target = &mut self.targets[key];
        let has_returned =
            target.lifecycle == TargetLifecycle::Leaving && spec.lifecycle == TargetLifecycle::Live;
        target.lifecycle = spec.lifecycle;
        target.owned_slots = spec.owned_slots;
        if has_returned {
            target.restart_ramp();
        }
        self.update_lists(key);
    }

    fn retire_target(&mut self, key: TargetKey) {
        self.targets[key].lifecycle = TargetLifecycle::Leaving;
        self.update_lists(key);
        if self.targets[key].in_flight == 0 {
            self.remove_target(key);
        }
    }

    fn remove_target(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        self.retain_limit(&target);
        if self.find(target.address) == Some(key) {
            self.by_address.remove(&target.address);
        }
        self.excluded_count -= usize::from(target.ejected_until.is_some());
        self.excluded_count -= usize::from(target.suspended_until.is_some());
    }

    /// Lets the targets that fill an empty table begin with their ramp-up: they have been without requests.
    pub fn ramp_after_refill(&mut self) {
        self.must_ramp = true;
    }

    /// Sets the minimum time in which new targets reach their full limit.
    pub fn set_ramp(&mut self, ramp: Duration) {
        self.settings.ramp = ramp;
    }

    /// Sets the number of slots per target. Owned slots change with the next target list. A larger
    /// number also ends the ramp-up of all targets.
    pub fn set_slots(&mut self, slots: u32) {
        let has_grown = slots > self.settings.slots;
        self.settings.slots = slots;
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        for key in keys {
            let target = &mut self.targets[key];
            if target.instance.is_empty() {
                target.total_slots = slots;
            }
            if has_grown {
                target.ramp_limit = f64::from(slots);
            }
            self.update_lists(key);
        }
    }

    /// Marks a target as leaving immediately, because the target or a peer reported it.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.lifecycle = TargetLifecycle::Leaving;
            self.update_lists(key);
        }
    }

    /// Returns the target with this key, unless it has been removed.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// Returns the key of the target at `address`.
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        self.by_address.get(&address).copied()
    }

    /// Returns an iterator over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets with a free slot: those in the local failure domain, then all others.
    pub fn free_lists(&self) -> &[Vec<TargetKey>; 2] {
        &self.free_lists
    }

    /// Returns the total number of slots that this entry VM may use at all usable targets, except for overflow targets.
    pub fn usable_slots(&self) -> u32 {
        let usable = self.targets.values().filter(|target| target.is_usable() && !target.is_overflow);
        usable.fold(0, |total, target| total.saturating_add(target.limit()))
    }

    /// Returns whether this entry VM owns slots of any target.
    pub fn has_owned_slots(&self) -> bool {
        self.targets.values().any(|target| target.owned_slots > 0)
    }

    /// Returns the largest number of slots that this entry VM may use at one target.
    pub fn max_owned_slots(&self) -> u32 {
        self.targets.values().map(|target| target.owned_slots).max().unwrap_or(0)
    }

    /// Sets the number of requests, from all entry VMs, up to which each target is filled.
    pub fn set_concurrency_limit(&mut self, limit: u32) {
        self.concurrency_limit = limit;
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        for key in keys {
            self.targets[key].concurrency_limit = limit;
            self.update_lists(key);
        }
    }

    /// Records that a request was sent to a target.
    pub fn start_request(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
            if let Some(limit) = &mut target.rate_limit {
                limit.take_token();
            }
            if let Some(warm_up) = &mut target.warm_up {
                warm_up.record_send();
            }
            self.update_lists(key);
        }
    }

    /// Records that a request at a target ended.
    pub fn end_request(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
            self.update_lists(key);
        }
    }

    /// Records a response and the load report that it carried, if any. `latency_ratio` is the latency
    /// relative to the usual latency of the request's rank. Suspends the target if it has become a
    /// straggler.
    pub fn record_response(
        &mut self,
        key: TargetKey,
        latency_ratio: f64,
        report: Option<LoadReport>,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        if !target.instance.is_empty() {
            target.relative_latency = target.current_relative_latency(now);
        }
        target.last_response_at = Some(now);
        if let Some(warm_up) = &mut target.warm_up {
            warm_up.record_response(now);
        }
        target.consecutive_failures = 0;
        if target.consecutive_broken_bodies == 0 {
            target.ejections = 0;
        }
        target.relative_latency += RELATIVE_LATENCY_WEIGHT * (latency_ratio - target.relative_latency);
        if latency_ratio < STRAGGLER_RATIO {
            let full_limit = f64::from(self.settings.slots);
            if std::mem::take(&mut target.is_on_trial) {
                target.ramp_limit = full_limit;
            } else {
                target.raise_ramp_limit(full_limit, self.settings.ramp, now);
            }
        }
        if let Some(report) = report {
            let own_occupied = target.in_flight + target.lent.len() as u32;
            target.foreign_in_flight = (report.busy + report.queued).saturating_sub(own_occupied);
            target.foreign_reported_at = Some(now);
        }
        let is_straggler = target.relative_latency > STRAGGLER_RATIO && target.suspended_until.is_none();
        self.update_lists(key);
        if is_straggler {
            self.suspend(key, now);
        }
    }

    /// Records a failed attempt. Ejects the target after repeated failures.
    pub fn record_failure(&mut self, key: TargetKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.consecutive_failures += 1;
        if target.consecutive_failures >= EJECT_FAILURES {
            self.eject(key, now);
        }
        self.update_lists(key);
    }

    /// Records that the body of a response was complete.
    pub fn record_complete_body(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.consecutive_broken_bodies = 0;
        }
    }

    /// Records a response whose body broke off after a valid head. Ejects the target after repeated cases.
    /// They are counted apart from failures, because each valid head ends a series of failures.
    pub fn record_broken_body(&mut self, key: TargetKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.consecutive_broken_bodies += 1;
        if target.consecutive_broken_bodies >= EJECT_FAILURES {
            self.eject(key, now);
        }
        self.update_lists(key);
    }

    /// Ejects a target, unless it is ejected already or too many targets are excluded. The caller updates
    /// the free lists.
    fn eject(&mut self, key: TargetKey, now: Instant) {
        let may_exclude = self.may_exclude();
        let Some(target) = self.targets.get_mut(key) else { return };
        if target.ejected_until.is_none() && may_exclude {
            let duration = FIRST_EJECTION * 2u32.pow(target.ejections.min(8));
            target.ejected_until = Some(now + duration.min(MAX_EJECTION));
            target.ejections += 1;
            self.excluded_count += 1;
            self.record_loss(key, now);
        }
    }

    /// Ends the ejection of a target. Its limit restarts at one request and rises with its
    /// responses; a single failure may eject it again.
    pub fn readmit(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.ejected_until = target.ejected_until.map(|_| now);
        }
        if self.targets.contains_key(key) {
            self.tick_target(key, now);
        }
    }

    /// Withholds requests from a target for a short time because it is slower than the others. If
    /// the target is suspended already, extends the suspension. Otherwise does nothing if too many
    /// targets are excluded already.
    pub fn suspend(&mut self, key: TargetKey, now: Instant) {
        let may_exclude = self.may_exclude();
        let Some(target) = self.targets.get_mut(key) else { return };
        if target.suspended_until.is_none() {
            if !may_exclude {
                return;
            }
            self.excluded_count += 1;
        }
        target.suspended_until = Some(now + SUSPEND_TIME);
        self.update_lists(key);
    }

    /// Withholds requests and probes from a target until `until`, because it has asked for that. A shorter
    /// pause does not end a longer one. All targets may be held at the same time.
    pub fn hold_off(&mut self, key: TargetKey, until: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.held_until = target.held_until.max(Some(until));
            self.update_lists(key);
        }
    }

    /// Returns when the first target accepts requests again if all targets that are not leaving have asked
    /// for a pause.
    pub fn held_as_a_whole_until(&self) -> Option<Instant> {
        let live = self.targets.values().filter(|target| target.lifecycle == TargetLifecycle::Live);
        let mut ends = live.map(|target| target.held_until);
        let first = ends.next()??;
        ends.try_fold(first, |earliest, end| end.map(|end| end.min(earliest)))
    }

    /// Lends one free slot until `expires` and returns its target's address. Only slots that this
    /// entry VM owns are lent.
    pub fn lend_slot(&mut self, expires: Instant) -> Option<SocketAddr> {
        let lists = self.free_lists.iter().rev().flatten();
        let key = lists.copied().find(|key| self.targets[*key].owned_slots > 0)?;
        let target = &mut self.targets[key];
        target.lent.push(SlotLoan { expires });
        let address = target.address;
        self.update_lists(key);
        Some(address)
    }

    /// Reclaims one lent slot before its loan expires.
    pub fn reclaim_slot(&mut self, address: SocketAddr) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].lent.pop();
        self.update_lists(key);
    }

    /// Adds one borrowed slot. Does nothing if the target is unknown.
    pub fn borrow_slot(&mut self, address: SocketAddr, expires: Instant) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].borrowed.push(SlotLoan { expires });
        self.update_lists(key);
    }

    /// Gives one unused borrowed slot back to its owner. Returns the target's address if there was such
    /// a slot.
    pub fn return_slot(&mut self, key: TargetKey) -> Option<SocketAddr> {
        let target = self.targets.get_mut(key)?;
        if target.in_flight >= target.limit() {
            return None;
        }
        target.borrowed.pop()?;
        let address = target.address;
        self.update_lists(key);
        Some(address)
    }

    /// Ends the reports, loans, ejections, suspensions and pauses that have expired by `now`. Removed targets
    /// leave the timer list.
    pub fn tick(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.timer_list) {
            if let Some(target) = self.targets.get_mut(key) {
                target.is_in_timer_list = false;
                self.tick_target(key, now);
            }
        }
        self.trim_cold_list();
    }

    /// Returns whether any report, loan, ejection, suspension or pause will expire.
    pub fn has_timers(&self) -> bool {
        !self.timer_list.is_empty()
    }

    fn tick_target(&mut self, key: TargetKey, now: Instant) {
        let target = &mut self.targets[key];
        let lifetime = if target.instance.is_empty() { REPORT_LIFETIME } else { SHARED_REPORT_LIFETIME };
        if target.foreign_reported_at.is_some_and(|at| now.saturating_duration_since(at) > lifetime) {
            target.foreign_in_flight = 0;
            target.foreign_reported_at = None;
        }
        target.lent.retain(|loan| loan.expires > now);
        target.borrowed.retain(|loan| loan.expires > now);
        if target.ejected_until.is_some_and(|until| until <= now) {
            target.ejected_until = None;
            target.consecutive_failures = EJECT_FAILURES - 1;
            target.restart_ramp();
            self.excluded_count -= 1;
        }
        if target.suspended_until.is_some_and(|until| until <= now) {
            target.suspended_until = None;
            target.relative_latency = 1.0;
            target.ramp_limit = 1.0;
            target.is_on_trial = true;
            self.excluded_count -= 1;
        }
        if target.held_until.is_some_and(|until| until <= now) {
            target.held_until = None;
        }
        if let Some(limit) = &mut target.rate_limit {
            limit.refill(now);
        }
        self.tick_warm_up(key, now);
        self.update_lists(key);
    }

    /// Returns whether another target may be ejected or suspended. At most a third of the targets may
    /// be excluded in this way at the same time.
    fn may_exclude(&self) -> bool {
        (self.excluded_count + 1) * 3 <= self.excludable_count()
    }

    fn update_lists(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        if target.has_timer() && !target.is_in_timer_list {
            target.is_in_timer_list = true;
            self.timer_list.push(key);
        }
        let target = &self.targets[key];
        let is_free = self.is_free(target);
        match (is_free, target.free_list_index) {
            (true, None) => self.add_to_free_list(key),
            (false, Some(index)) => self.remove_from_free_list(key, index),
            _ => {}
        }
    }

    fn is_free(&self, target: &TargetState) -> bool {
        if self.settings.is_unlimited {
            return target.lifecycle == TargetLifecycle::Live;
        }
        target.has_free_slot()
    }

    fn add_to_free_list(&mut self, key: TargetKey) {
        let list = free_list_for(&mut self.free_lists, &mut self.free_overflow, &self.targets[key]);
        self.targets[key].free_list_index = Some(list.len());
        list.push(key);
    }

    fn remove_from_free_list(&mut self, key: TargetKey, index: usize) {
        let list = free_list_for(&mut self.free_lists, &mut self.free_overflow, &self.targets[key]);
        list.swap_remove(index);
        if let Some(moved) = list.get(index) {
            self.targets[*moved].free_list_index = Some(index);
        }
        self.targets[key].free_list_index = None;
    }
}

/// Returns the list in which a target is while it has a free slot.
fn free_list_for<'a>(
    free_lists: &'a mut [Vec<TargetKey>; 2],
    free_overflow: &'a mut Vec<TargetKey>,
    target: &TargetState,
) -> &'a mut Vec<TargetKey> {
    if target.is_overflow { free_overflow } else { &mut free_lists[usize::from(!target.is_local)] }
}
