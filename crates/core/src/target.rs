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

use state::WorkAccount;
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
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Weight of a new report in the mean speed of a service's targets.
const AVERAGE_PACE_WEIGHT: f64 = 0.02;

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
    timed: Vec<TargetKey>,
    excluded: usize,
    /// Mean of the reported speeds, 1 being usual.
    average_pace: f64,
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
            timed: Vec::new(),
            excluded: 0,
            average_pace: 1.0,
        }
    }

    /// Replaces the set of targets; known ones keep their state, and those that are gone are kept
    /// as leaving until their last request ends.
    pub fn replace_targets(&mut self, specs: &[TargetSpec]) {
        let is_first_fill = self.targets.is_empty();
        let wanted: HashMap<SocketAddr, &TargetSpec> =
            specs.iter().map(|spec| (spec.address, spec)).collect();
        let known: Vec<TargetKey> = self.targets.keys().collect();
        for key in known {
            let address = self.targets[key].address;
            let is_current = self.find(address) == Some(key);
            match wanted.get(&address).filter(|_| is_current) {
                Some(spec) => self.update_target(key, spec),
                None => self.retire_target(key),
            }
        }
        for spec in specs {
            if !self.by_address.contains_key(&spec.address) {
                self.add_target(spec, is_first_fill);
            }
        }
    }

    /// Replaces the set of targets by shared ones. Another instance at a known address is another
    /// target: the earlier one keeps its requests in flight and gets no more.
    pub fn replace_shared(&mut self, targets: &[SharedTarget], now: Instant) {
        for target in targets {
            self.detach_other_instance(target);
        }
        let specs: Vec<TargetSpec> = targets.iter().map(|target| target.spec.clone()).collect();
        self.replace_targets(&specs);
        for target in targets {
            let Some(key) = self.find(target.spec.address) else { continue };
            let state = &mut self.targets[key];
            state.instance.clone_from(&target.instance);
            state.warm_until = (!target.warm_up.is_zero()).then(|| now + target.warm_up);
        }
    }

    fn detach_other_instance(&mut self, target: &SharedTarget) {
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
        let before = target.pace.map_or(report.pace, |(pace, _)| pace);
        let account = target.progress.get_or_insert_with(|| WorkAccount::begin(now));
        account.advance(before, report.pace, now);
        target.pace = Some((report.pace, now));
        target.foreign = report.occupied.saturating_sub(report.own);
        target.foreign_at = Some(now);
        self.average_pace += AVERAGE_PACE_WEIGHT * (report.pace - self.average_pace);
        self.refresh(key);
    }

    /// Targets whose last report is older than `age`; they count as asked for one now.
    pub fn ask_for_reports(&mut self, age: Duration, now: Instant) -> Vec<TargetKey> {
        let all: Vec<TargetKey> = self.targets.keys().collect();
        self.ask_these(&all, age, now)
    }

    /// Those of `keys` whose last report is older than `age`; they count as asked for one now.
    pub fn ask_these(&mut self, keys: &[TargetKey], age: Duration, now: Instant) -> Vec<TargetKey> {
        let mut asked = Vec::new();
        for key in keys {
            let Some(target) = self.targets.get_mut(*key) else { continue };
            if target.needs_report(age, now) {
                target.probed_at = Some(now);
                asked.push(*key);
            }
        }
        asked
    }

    /// Mean of the reported speeds, 1 being usual.
    pub fn average_pace(&self) -> f64 {
        self.average_pace
    }

    fn add_target(&mut self, spec: &TargetSpec, is_warm: bool) {
        let ramp_limit = if is_warm { f64::from(self.settings.slots) } else { 1.0 };
        let state = TargetState {
            address: spec.address,
            life: spec.life,
            is_local: spec.domain == self.settings.local_domain,
            in_flight: 0,
            slowness: 1.0,
            instance: InstanceName::new(),
            pace: None,
            progress: None,
            warm_until: None,
            probed_at: None,
            owned_slots: spec.owned_slots,
            ramp_limit,
            is_on_trial: false,
            foreign: 0,
            foreign_at: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            answered_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            suspended_until: None,
            list_position: None,
            is_timed: false,
        };
        let key = self.targets.insert(state);
        self.by_address.insert(spec.address, key);
        self.refresh(key);
    }

    fn update_target(&mut self, key: TargetKey, spec: &TargetSpec) {
        let target = &mut self.targets[key];
        let has_returned = target.life == TargetLife::Leaving && spec.life == TargetLife::Live;
        target.life = spec.life;
        target.owned_slots = spec.owned_slots;
        if has_returned {
            target.ramp_limit = 1.0;
        }
        self.refresh(key);
    }

    fn retire_target(&mut self, key: TargetKey) {
        self.targets[key].life = TargetLife::Leaving;
        self.refresh(key);
        if self.targets[key].in_flight == 0 {
            self.forget_target(key);
        }
    }

    fn forget_target(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        if self.find(target.address) == Some(key) {
            self.by_address.remove(&target.address);
        }
        self.excluded -= usize::from(target.ejected_until.is_some());
        self.excluded -= usize::from(target.suspended_until.is_some());
    }

    /// Sets the number of slots per target; owned slots follow with the next target list.
    pub fn set_slots(&mut self, slots: u32) {
        let is_grown = slots > self.settings.slots;
        self.settings.slots = slots;
        if is_grown {
            let full = f64::from(slots);
            self.targets.values_mut().for_each(|target| target.ramp_limit = full);
        }
    }

    /// Marks a target as leaving at once, on its own word or a peer's.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.life = TargetLife::Leaving;
            self.refresh(key);
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
    pub fn start(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
            self.refresh(key);
        }
    }

    /// Accounts for the end of a request at a target.
    pub fn end(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
            self.refresh(key);
        }
    }

    /// Accounts for an answer: latency relative to the service's average, and a load report.
    pub fn record_answer(&mut self, key: TargetKey, ratio: f64, report: Option<LoadReport>, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        if !target.instance.is_empty() {
            target.slowness = target.present_slowness(now);
        }
        target.answered_at = Some(now);
        target.failures = 0;
        target.ejections = 0;
        target.slowness += SLOWNESS_WEIGHT * (ratio - target.slowness);
        if ratio < STRAGGLER_RATIO {
            let full = f64::from(self.settings.slots);
            let step = if std::mem::take(&mut target.is_on_trial) { full } else { RAMP_STEP };
            target.ramp_limit = (target.ramp_limit + step).min(full);
        }
        if let Some(report) = report {
            let known = target.in_flight + target.lent.len() as u32;
            target.foreign = (report.busy + report.queued).saturating_sub(known);
            target.foreign_at = Some(now);
        }
        let is_slow = target.slowness > STRAGGLER_RATIO && target.suspended_until.is_none();
        self.refresh(key);
        if is_slow {
            self.suspend(key, now);
        }
    }

    /// Accounts for a failed attempt; ejects the target when failures repeat.
    pub fn record_failure(&mut self, key: TargetKey, now: Instant) {
        let may_exclude = self.may_exclude();
        let Some(target) = self.targets.get_mut(key) else { return };
        target.failures += 1;
        if target.failures >= EJECT_FAILURES && target.ejected_until.is_none() && may_exclude {
            let pause = FIRST_EJECTION * 2u32.pow(target.ejections.min(8));
            target.ejected_until = Some(now + pause.min(MAX_EJECTION));
            target.ejections += 1;
            self.excluded += 1;
        }
        self.refresh(key);
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
            self.excluded += 1;
        }
        target.suspended_until = Some(now + SUSPEND_TIME);
        self.refresh(key);
    }

    /// Lends one free slot until `expires`; only slots that are owned here are lent.
    pub fn lend_slot(&mut self, expires: Instant) -> Option<SocketAddr> {
        let lists = self.free_lists.iter().rev().flatten();
        let key = lists.copied().find(|key| self.targets[*key].owned_slots > 0)?;
        let target = &mut self.targets[key];
        target.lent.push(SlotLoan { expires });
        let address = target.address;
        self.refresh(key);
        Some(address)
    }

    /// Takes back one lent slot before its expiry.
    pub fn take_back(&mut self, address: SocketAddr) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].lent.pop();
        self.refresh(key);
    }

    /// Adds one borrowed slot; ignored for unknown targets.
    pub fn borrow_slot(&mut self, address: SocketAddr, expires: Instant) {
        let Some(key) = self.find(address) else { return };
        self.targets[key].borrowed.push(SlotLoan { expires });
        self.refresh(key);
    }

    /// Gives up one borrowed slot that is not in use. Returns the target's address if there was one.
    pub fn give_back(&mut self, key: TargetKey) -> Option<SocketAddr> {
        let target = self.targets.get_mut(key)?;
        if target.in_flight >= target.limit() {
            return None;
        }
        target.borrowed.pop()?;
        let address = target.address;
        self.refresh(key);
        Some(address)
    }

    /// Ends what has expired by `now`: reports, loans, ejections and suspensions; drops gone targets.
    pub fn tick(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.timed) {
            if let Some(target) = self.targets.get_mut(key) {
                target.is_timed = false;
                self.tick_target(key, now);
            }
        }
    }

    /// Whether something will expire.
    pub fn has_timers(&self) -> bool {
        !self.timed.is_empty()
    }

    fn tick_target(&mut self, key: TargetKey, now: Instant) {
        let target = &mut self.targets[key];
        let lifetime = if target.instance.is_empty() { REPORT_LIFETIME } else { SHARED_REPORT_LIFETIME };
        if target.foreign_at.is_some_and(|at| now.saturating_duration_since(at) > lifetime) {
            target.foreign = 0;
            target.foreign_at = None;
        }
        target.lent.retain(|loan| loan.expires > now);
        target.borrowed.retain(|loan| loan.expires > now);
        if target.ejected_until.is_some_and(|until| until <= now) {
            target.ejected_until = None;
            target.failures = EJECT_FAILURES - 1;
            target.ramp_limit = 1.0;
            self.excluded -= 1;
        }
        if target.suspended_until.is_some_and(|until| until <= now) {
            target.suspended_until = None;
            target.slowness = 1.0;
            target.ramp_limit = 1.0;
            target.is_on_trial = true;
            self.excluded -= 1;
        }
        self.refresh(key);
    }

    /// At most a third of the targets are ejected or suspended at once.
    fn may_exclude(&self) -> bool {
        (self.excluded + 1) * 3 <= self.targets.len()
    }

    fn refresh(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        if target.has_timer() && !target.is_timed {
            target.is_timed = true;
            self.timed.push(key);
        }
        let target = &self.targets[key];
        let is_free = self.is_free(target);
        match (is_free, target.list_position) {
            (true, None) => self.list_target(key),
            (false, Some(position)) => self.unlist_target(key, position),
            _ => {}
        }
    }

    fn is_free(&self, target: &TargetState) -> bool {
        if self.settings.is_unlimited {
            return target.life == TargetLife::Live;
        }
        target.has_free_slot()
    }

    fn list_target(&mut self, key: TargetKey) {
        let list = &mut self.free_lists[usize::from(!self.targets[key].is_local)];
        self.targets[key].list_position = Some(list.len());
        list.push(key);
    }

    fn unlist_target(&mut self, key: TargetKey, position: usize) {
        let list = &mut self.free_lists[usize::from(!self.targets[key].is_local)];
        list.swap_remove(position);
        if let Some(moved) = list.get(position) {
            self.targets[*moved].list_position = Some(position);
        }
        self.targets[key].list_position = None;
    }
}
