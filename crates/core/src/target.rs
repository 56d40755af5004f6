//! Targets of one service, as one entry VM sees them.
//!
//! A target's *limit* is the number of requests that this entry VM may have in flight there: the
//! slots that it owns or has borrowed, less those lent out and those that others are seen to use.
//! Targets with free slots stand in two index lists (own failure domain, others), kept up to date
//! on every change, so that picking one does not depend on the number of targets.

mod state;

use crate::ids::{DomainName, InstanceName, TargetKey};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use state::WorkMeter;
pub use state::{
    LoadReport, SharedReport, SharedTarget, SlotLoan, TargetLife, TargetSpec, TargetState, WorkReading,
};

/// Age beyond which a load report says nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_millis(100);
/// The same for targets with shared slots, which are asked for a report when none comes.
const SHARED_REPORT_LIFETIME: Duration = Duration::from_millis(300);
/// Successive failures after which a target is ejected.
const EJECT_FAILURES: u32 = 3;
/// First ejection time; doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Time for which a straggler gets no work.
const SUSPEND_TIME: Duration = Duration::from_millis(60);
/// Latency relative to peers above which a target is a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// Requests by which the limit of a new target grows with each answer in normal time.
const RAMP_STEP: f64 = 0.25;
/// Weight of a new latency sample.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Weight of a new report in the mean speed of a service's targets.
const AVERAGE_SLOWDOWN_WEIGHT: f64 = 0.02;

/// Settings of a target table.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Failure domain of this entry VM.
    pub local_domain: DomainName,
    /// Slots per target.
    pub slots: u32,
    /// Whether limits are ignored, as the baseline policies do.
    pub is_unlimited: bool,
}

/// All targets of one service.
#[derive(Debug)]
pub struct TargetTable {
    settings: TargetSettings,
    targets: SlotMap<TargetKey, TargetState>,
    by_address: HashMap<SocketAddr, TargetKey>,
    /// Targets with a free slot: index 0 for the own failure domain, 1 for the others.
    free_lists: [Vec<TargetKey>; 2],
    /// Targets with a report, loan, ejection or suspension that will expire.
    timer_list: Vec<TargetKey>,
    excluded_count: usize,
    /// Mean of the reported speeds, 1 being usual.
    average_slowdown: f64,
}

impl TargetTable {
    /// An empty table.
    pub fn new(settings: TargetSettings) -> Self {
        let free_lists = [Vec::new(), Vec::new()];
        Self {
            settings,
            targets: SlotMap::with_key(),
            by_address: HashMap::new(),
            free_lists,
            timer_list: Vec::new(),
            excluded_count: 0,
            average_slowdown: 1.0,
        }
    }

    /// Replaces the set of targets; known ones keep their state, and those that are gone are kept
    /// as leaving until their last request ends.
    pub fn replace_targets(&mut self, specs: &[TargetSpec]) {
        let is_initial_fill = self.targets.is_empty();
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

    /// Replaces the set of targets by shared ones. Another instance at a known address is another
    /// target: the earlier one keeps its requests in flight and gets no more.
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
            state.warm_up_until = (!target.warm_up.is_zero()).then(|| now + target.warm_up);
        }
    }

    fn detach_replaced_instance(&mut self, target: &SharedTarget) {
        let Some(key) = self.find(target.spec.address) else { return };
        if self.targets[key].instance != target.instance {
            self.by_address.remove(&target.spec.address);
            self.retire_target(key);
        }
    }

    /// Takes in a report of a target with shared slots. What is not this entry VM's own is taken
    /// for the others' until the next report, or until it is too old to say anything.
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

    /// Targets whose last report is older than `age`; they count as asked for one now.
    pub fn begin_probes(&mut self, age: Duration, now: Instant) -> Vec<TargetKey> {
        let all: Vec<TargetKey> = self.targets.keys().collect();
        self.begin_probes_of(&all, age, now)
    }

    /// Those of `keys` whose last report is older than `age`; they count as asked for one now.
    pub fn begin_probes_of(&mut self, keys: &[TargetKey], age: Duration, now: Instant) -> Vec<TargetKey> {
        let mut probed = Vec::new();
        for key in keys {
            let Some(target) = self.targets.get_mut(*key) else { continue };
            if target.needs_report(age, now) {
                target.last_probe_at = Some(now);
                probed.push(*key);
            }
        }
        probed
    }

    /// Mean of the reported speeds, 1 being usual.
    pub fn average_slowdown(&self) -> f64 {
        self.average_slowdown
    }

    fn add_target(&mut self, spec: &TargetSpec, starts_at_full_limit: bool) {
        let ramp_limit = if starts_at_full_limit { f64::from(self.settings.slots) } else { 1.0 };
        let state = TargetState {
            address: spec.address,
            life: spec.life,
            is_local: spec.domain == self.settings.local_domain,
            in_flight: 0,
            relative_latency: 1.0,
            instance: InstanceName::new(),
            slowdown: None,
            work_meter: None,
            warm_up_until: None,
            last_probe_at: None,
            owned_slots: spec.owned_slots,
            ramp_limit,
            is_on_trial: false,
            foreign_in_flight: 0,
            foreign_reported_at: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            last_response_at: None,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            suspended_until: None,
            free_list_index: None,
            is_in_timer_list: false,
        };
        let key = self.targets.insert(state);
        self.by_address.insert(spec.address, key);
        self.update_lists(key);
    }

    fn update_target(&mut self, key: TargetKey, spec: &TargetSpec) {
        let target = &mut self.targets[key];
        let has_returned = target.life == TargetLife::Leaving && spec.life == TargetLife::Live;
        target.life = spec.life;
        target.owned_slots = spec.owned_slots;
        if has_returned {
            target.ramp_limit = 1.0;
        }
        self.update_lists(key);
    }

    fn retire_target(&mut self, key: TargetKey) {
        self.targets[key].life = TargetLife::Leaving;
        self.update_lists(key);
        if self.targets[key].in_flight == 0 {
            self.remove_target(key);
        }
    }

    fn remove_target(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        if self.find(target.address) == Some(key) {
            self.by_address.remove(&target.address);
        }
        self.excluded_count -= usize::from(target.ejected_until.is_some());
        self.excluded_count -= usize::from(target.suspended_until.is_some());
    }

    /// Sets the number of slots per target; owned slots follow with the next target list.
    pub fn set_slots(&mut self, slots: u32) {
        let has_grown = slots > self.settings.slots;
        self.settings.slots = slots;
        if has_grown {
            let full_limit = f64::from(slots);
            self.targets.values_mut().for_each(|target| target.ramp_limit = full_limit);
        }
    }

    /// Marks a target as leaving at once, on its own word or a peer's.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.life = TargetLife::Leaving;
            self.update_lists(key);
        }
    }

    /// The target with this key, unless it is gone.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// Key of the target at an address.
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        self.by_address.get(&address).copied()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Targets with a free slot, those of the own failure domain first.
    pub fn free_lists(&self) -> &[Vec<TargetKey>; 2] {
        &self.free_lists
    }

    /// Slots over all usable targets that this entry VM may use.
    pub fn usable_slots(&self) -> u32 {
        self.targets.values().filter(|target| target.is_usable()).map(TargetState::limit).sum()
    }

    /// Accounts for a request sent to a target.
    pub fn start_request(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
            self.update_lists(key);
        }
    }

    /// Accounts for the end of a request at a target.
    pub fn end_request(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
            self.update_lists(key);
        }
    }

    /// Accounts for an answer: latency relative to the service's average, and a load report.
    pub fn record_response(&mut self, key: TargetKey, ratio: f64, report: Option<LoadReport>, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        if !target.instance.is_empty() {
            target.relative_latency = target.current_relative_latency(now);
        }
        target.last_response_at = Some(now);
        target.consecutive_failures = 0;
        target.ejections = 0;
        target.relative_latency += RELATIVE_LATENCY_WEIGHT * (ratio - target.relative_latency);
        if ratio < STRAGGLER_RATIO {
            let full_limit = f64::from(self.settings.slots);
            let step = if std::mem::take(&mut target.is_on_trial) { full_limit } else { RAMP_STEP };
            target.ramp_limit = (target.ramp_limit + step).min(full_limit);
        }
        if let Some(report) = report {
            let own_occupied = target.in_flight + target.lent.len() as u32;
            target.foreign_in_flight = (report.busy + report.queued).saturating_sub(own_occupied);
            target.foreign_reported_at = Some(now);
        }
        let is_slow = target.relative_latency > STRAGGLER_RATIO && target.suspended_until.is_none();
        self.update_lists(key);
        if is_slow {
            self.suspend(key, now);
        }
    }

    /// Accounts for a failed attempt; ejects the target when failures repeat.
    pub fn record_failure(&mut self, key: TargetKey, now: Instant) {
        let may_exclude = self.may_exclude();
        let Some(target) = self.targets.get_mut(key) else { return };
        target.consecutive_failures += 1;
        if target.consecutive_failures >= EJECT_FAILURES && target.ejected_until.is_none() && may_exclude {
            let duration = FIRST_EJECTION * 2u32.pow(target.ejections.min(8));
            target.ejected_until = Some(now + duration.min(MAX_EJECTION));
            target.ejections += 1;
            self.excluded_count += 1;
        }
        self.update_lists(key);
    }

    /// Ends the ejection of a target; it gets little work until answers succeed.
    pub fn readmit(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.ejected_until = target.ejected_until.map(|_| now);
        }
        if self.targets.contains_key(key) {
            self.tick_target(key, now);
        }
    }

    /// Gives a target no work for a short time because it is slower than its peers.
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

    /// Lends one free slot until `expires`; only slots that are owned here are lent.
    pub fn lend_slot(&mut self, expires: Instant) -> Option<SocketAddr> {
        let lists = self.free_lists.iter().rev().flatten();
        let key = lists.copied().find(|key| self.targets[*key].owned_slots > 0)?;
        let target = &mut self.targets[key];
        target.lent.push(SlotLoan { expires });
        let address = target.address;
        self.update_lists(key);
        Some(address)
    }

    /// Takes back one lent slot before its expiry.
    pub fn reclaim_slot(&mut self, address: SocketAddr) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].lent.pop();
        self.update_lists(key);
    }

    /// Adds one borrowed slot; ignored for unknown targets.
    pub fn borrow_slot(&mut self, address: SocketAddr, expires: Instant) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].borrowed.push(SlotLoan { expires });
        self.update_lists(key);
    }

    /// Gives up one borrowed slot that is not in use. Returns the target's address if there was one.
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

    /// Ends what has expired by `now`: reports, loans, ejections and suspensions; drops gone targets.
    pub fn tick(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.timer_list) {
            if let Some(target) = self.targets.get_mut(key) {
                target.is_in_timer_list = false;
                self.tick_target(key, now);
            }
        }
    }

    /// Whether something will expire.
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
            target.ramp_limit = 1.0;
            self.excluded_count -= 1;
        }
        if target.suspended_until.is_some_and(|until| until <= now) {
            target.suspended_until = None;
            target.relative_latency = 1.0;
            target.ramp_limit = 1.0;
            target.is_on_trial = true;
            self.excluded_count -= 1;
        }
        self.update_lists(key);
    }

    /// At most a third of the targets are ejected or suspended at once.
    fn may_exclude(&self) -> bool {
        (self.excluded_count + 1) * 3 <= self.targets.len()
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
            (false, Some(position)) => self.remove_from_free_list(key, position),
            _ => {}
        }
    }

    fn is_free(&self, target: &TargetState) -> bool {
        if self.settings.is_unlimited {
            return target.life == TargetLife::Live;
        }
        target.has_free_slot()
    }

    fn add_to_free_list(&mut self, key: TargetKey) {
        let list = &mut self.free_lists[usize::from(!self.targets[key].is_local)];
        self.targets[key].free_list_index = Some(list.len());
        list.push(key);
    }

    fn remove_from_free_list(&mut self, key: TargetKey, position: usize) {
        let list = &mut self.free_lists[usize::from(!self.targets[key].is_local)];
        list.swap_remove(position);
        if let Some(moved) = list.get(position) {
            self.targets[*moved].free_list_index = Some(position);
        }
        self.targets[key].free_list_index = None;
    }
}
