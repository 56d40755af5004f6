//! Request limits of client accounts over a fleet: ledgers and quotas connected by a list of pending messages.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sniperelay_core::account::{AccountId, AccountLimit};
use sniperelay_core::account_ledger::{AccountLedger, LotClaim, LotGrant, OwnerRole};
use sniperelay_core::account_quota::{AccountQuota, AdmittedRequest, QuotaDecision};
use sniperelay_core::account_terms::{AccountTerms, LimitTolerance};
use sniperelay_core::home::AccountOwners;
use sniperelay_core::ids::IncarnationId;
use sniperelay_core::limit_ledger::MembershipView;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: LimitTolerance = LimitTolerance { window: WINDOW, overrun: 0.1, slack: 20.0 };
const STEP: Duration = Duration::from_millis(1);
/// Time after which an exchange has failed.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which the stand-in is asked after a failure.
const SILENCE: Duration = Duration::from_millis(500);
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time without the store after which an entry VM's view is outdated.
const VIEW_AGE: Duration = Duration::from_secs(2);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn limit(per_second: f64, burst: f64) -> AccountLimit {
    AccountLimit { per_second, burst }
}

fn allowed(limit: AccountLimit) -> usize {
    ((limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0).floor() as usize
}

struct Vm {
    ledger: AccountLedger,
    quotas: HashMap<AccountId, AccountQuota>,
    waiting: Vec<(AccountId, Duration)>,
    members: Vec<IncarnationId>,
    /// Entry VMs of one group reach each other.
    group: usize,
    last_contact: Duration,
    is_dead: bool,
    frozen_until: Duration,
    silent_until: HashMap<IncarnationId, Duration>,
    limits: BTreeMap<AccountId, AccountLimit>,
}

enum Message {
    Claim { from: usize, account: AccountId, claim: LotClaim, is_stand_in: bool, sent_at: Duration },
    Grant { account: AccountId, grant: Option<LotGrant>, sent_at: Duration },
    Failure { account: AccountId, owner: IncarnationId },
}

struct Fleet {
    now: Duration,
    vms: Vec<Vm>,
    /// Messages with their time and recipient.
    pending: Vec<(Duration, usize, Message)>,
    rng: StdRng,
    is_store_away: bool,
    /// Part of the admitted requests that are refused later without having run.
    refused_part: f64,
    /// Time after which they are refused.
    refused_after: Duration,
    refusals: Vec<(Duration, usize, AccountId, AdmittedRequest)>,
    served: HashMap<AccountId, Vec<Duration>>,
    offered: HashMap<AccountId, usize>,
    claims: HashMap<AccountId, usize>,
    slowest_wait: Duration,
    waits: HashMap<AccountId, usize>,
}

impl Fleet {
    fn new(vm_count: usize, limits: &[AccountLimit], seed: u64) -> Self {
        let limits: BTreeMap<AccountId, AccountLimit> = (1..).zip(limits.iter().copied()).collect();
        let members: Vec<IncarnationId> = (0..vm_count as u64).collect();
        let vm = |_| Vm {
            ledger: AccountLedger::new(TOLERANCE),
            quotas: HashMap::new(),
            waiting: Vec::new(),
            members: members.clone(),
            group: 0,
            last_contact: Duration::ZERO,
            is_dead: false,
            frozen_until: Duration::ZERO,
            silent_until: HashMap::new(),
            limits: limits.clone(),
        };
        let mut fleet = Self {
            now: secs(100),
            vms: (0..vm_count).map(vm).collect(),
            pending: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            is_store_away: false,
            refused_part: 0.0,
            refused_after: millis(50),
            refusals: Vec::new(),
            served: HashMap::new(),
            offered: HashMap::new(),
            claims: HashMap::new(),
            slowest_wait: Duration::ZERO,
            waits: HashMap::new(),
        };
        (0..vm_count).for_each(|vm| fleet.update_owned(vm));
        fleet
    }

    fn owner_of(&self, vm: usize, account: AccountId) -> AccountOwners {
        AccountOwners::choose(account, self.vms[vm].members.iter().copied()).unwrap()
    }

    fn update_owned(&mut self, vm: usize) {
        let is_owned = |account: &AccountId| self.owner_of(vm, *account).owner == vm as u64;
        let owned: Vec<(AccountId, AccountLimit)> =
            self.vms[vm].limits.clone().into_iter().filter(|(account, _)| is_owned(account)).collect();
        let now = self.now;
        self.vms[vm].ledger.set_owned(owned.into_iter(), now);
    }

    fn set_members(&mut self, vm: usize, members: &[u64]) {
        self.vms[vm].members = members.to_vec();
        self.update_owned(vm);
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm].ledger = AccountLedger::new(TOLERANCE);
        self.vms[vm].quotas.clear();
        self.vms[vm].waiting.clear();
        self.vms[vm].is_dead = false;
        self.pending.retain(|(_, to, _)| *to != vm);
        self.update_owned(vm);
    }

    fn set_limit(&mut self, vm: usize, account: AccountId, limit: AccountLimit) {
        self.vms[vm].limits.insert(account, limit);
        self.update_owned(vm);
    }

    /// Lets a time without requests pass.
    fn idle(&mut self, time: Duration) {
        self.now += time;
        for vm in &mut self.vms {
            vm.last_contact = self.now;
        }
    }

    /// Runs for a time in which `rate` returns the requests per second at an entry VM for an account.
    fn run(&mut self, time: Duration, rate: impl Fn(usize, AccountId, Duration) -> f64) {
        let start = self.now;
        while self.now < start + time {
            self.now += STEP;
            for vm in 0..self.vms.len() {
                if !self.is_store_away && self.vms[vm].group == 0 {
                    self.vms[vm].last_contact = self.now;
                }
            }
            self.deliver();
            for vm in 0..self.vms.len() {
                if self.vms[vm].is_dead || self.now < self.vms[vm].frozen_until {
                    continue;
                }
                for account in self.vms[vm].limits.keys().copied().collect::<Vec<_>>() {
                    let mut expected = rate(vm, account, self.now - start) * STEP.as_secs_f64();
                    while self.rng.random_bool(expected.min(1.0)) {
                        self.arrive(vm, account);
                        expected -= 1.0;
                        if expected <= 0.0 {
                            break;
                        }
                    }
                }
                self.finish_refusals(vm);
                self.decide_waiting(vm);
                self.send_claims(vm);
            }
        }
    }

    fn quota(&mut self, vm: usize, account: AccountId) -> &mut AccountQuota {
        let vm_state = &mut self.vms[vm];
        let (limit, count) = (vm_state.limits[&account], vm_state.members.len());
        let terms = AccountTerms::new(limit, &TOLERANCE);
        let quota = vm_state.quotas.entry(account).or_insert_with(|| AccountQuota::new(terms, count));
        quota.set_terms(terms, count);
        quota
    }

    fn arrive(&mut self, vm: usize, account: AccountId) {
        *self.offered.entry(account).or_default() += 1;
        let now = self.now;
        match self.quota(vm, account).admit(now) {
            QuotaDecision::Admit(admitted) => self.start(vm, account, admitted),
            QuotaDecision::Refuse { .. } => {}
            QuotaDecision::Wait => {
                *self.waits.entry(account).or_default() += 1;
                if self.quota(vm, account).begin_wait() {
                    self.vms[vm].waiting.push((account, now));
                }
            }
        }
    }

    fn start(&mut self, vm: usize, account: AccountId, admitted: AdmittedRequest) {
        if self.refused_part > 0.0 && self.rng.random_bool(self.refused_part) {
            self.refusals.push((self.now + self.refused_after, vm, account, admitted));
        } else {
            self.served.entry(account).or_default().push(self.now);
        }
    }

    fn finish_refusals(&mut self, vm: usize) {
        let now = self.now;
        let due: Vec<_> =
            self.refusals.extract_if(.., |(at, refused_at, ..)| *refused_at == vm && *at <= now).collect();
        for (_, vm, account, admitted) in due {
            self.quota(vm, account).give_back(admitted, now);
        }
    }

    fn decide_waiting(&mut self, vm: usize) {
        let now = self.now;
        for (account, since) in std::mem::take(&mut self.vms[vm].waiting) {
            match self.quota(vm, account).decide(now) {
                QuotaDecision::Wait if now < since + MAX_WAIT => {
                    self.vms[vm].waiting.push((account, since));
                    continue;
                }
                QuotaDecision::Admit(admitted) => {
                    self.slowest_wait = self.slowest_wait.max(now - since);
                    self.start(vm, account, admitted);
                }
                _ => {}
            }
            self.quota(vm, account).end_wait();
        }
    }

    fn send_claims(&mut self, vm: usize) {
        let now = self.now;
        for account in self.vms[vm].quotas.keys().copied().collect::<Vec<_>>() {
            let owners = self.owner_of(vm, account);
            let is_silent = self.vms[vm].silent_until.get(&owners.owner).is_some_and(|until| now < *until);
            let Some(recipient) = (if is_silent { owners.stand_in } else { Some(owners.owner) }) else {
                continue;
            };
            let Some(claim) = self.quota(vm, account).take_claim(vm as u64, now) else { continue };
            *self.claims.entry(account).or_default() += 1;
            let to = recipient as usize;
            let message = Message::Claim { from: vm, account, claim, is_stand_in: is_silent, sent_at: now };
            if !self.send(vm, to, message) {
                let failure = Message::Failure { account, owner: recipient };
                self.pending.push((now + CLAIM_TIMEOUT, vm, failure));
            }
        }
    }

    /// Sends a message. Returns whether it will arrive.
    fn send(&mut self, from: usize, to: usize, message: Message) -> bool {
        let reaches = self.vms[from].group == self.vms[to].group && !self.vms[to].is_dead;
        if reaches {
            let delay = if from == to { Duration::ZERO } else { millis(self.rng.random_range(1..4)) };
            self.pending.push((self.now + delay, to, message));
        }
        reaches
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen: Vec<bool> = self.vms.iter().map(|vm| now < vm.frozen_until).collect();
        let due: Vec<_> = self.pending.extract_if(.., |(at, to, _)| *at <= now && !frozen[*to]).collect();
        for (_, to, message) in due {
            match message {
                Message::Claim { from, account, claim, is_stand_in, sent_at } => {
                    let grant = self.handle_claim(to, account, &claim, is_stand_in);
                    let answer = Message::Grant { account, grant, sent_at };
                    self.send(to, from, answer);
                }
                Message::Grant { account, grant, sent_at } => match grant {
                    Some(grant) => self.quota(to, account).apply_grant(grant, sent_at, now),
                    None => self.quota(to, account).fail_claim(),
                },
                Message::Failure { account, owner } => {
                    let owners = self.owner_of(to, account);
                    self.vms[to].silent_until.insert(owner, now + SILENCE);
                    self.quota(to, account).fail_claim();
                    if owners.owner != owner {
                        self.quota(to, account).pause(now);
                    }
                }
            }
        }
    }

    fn handle_claim(
        &mut self,
        vm: usize,
        account: AccountId,
        claim: &LotClaim,
        is_stand_in: bool,
    ) -> Option<LotGrant> {
        let owners = self.owner_of(vm, account);
        let now = self.now;
        let vm_state = &mut self.vms[vm];
        let is_current = now - vm_state.last_contact < VIEW_AGE;
        let view = if is_current { MembershipView::Current } else { MembershipView::Outdated };
        let role = match (is_stand_in, owners.owner == vm as u64) {
            (false, true) => OwnerRole::Owner(view),
            (true, false) => OwnerRole::StandIn,
            _ => return None,
        };
        let own_limit = vm_state.limits.get(&account).copied();
        Some(vm_state.ledger.grant(account, claim, own_limit, role, now))
    }

    fn served(&self, account: AccountId) -> &[Duration] {
        self.served.get(&account).map_or(&[], Vec::as_slice)
    }

    fn served_between(&self, account: AccountId, from: Duration, to: Duration) -> usize {
        self.served(account).iter().filter(|at| (from..to).contains(at)).count()
    }

    /// Returns the largest number of requests in a window that begins after `from`.
    fn peak(&self, account: AccountId, from: Duration) -> usize {
        let times: Vec<Duration> = self.served(account).iter().copied().filter(|at| *at >= from).collect();
        let count =
            |(index, start): (usize, &Duration)| times.partition_point(|at| *at < *start + WINDOW) - index;
        times.iter().enumerate().map(count).max().unwrap_or(0)
    }

    fn assert_windows(&self, account: AccountId, limit: AccountLimit, context: &str) {
        let (peak, allowed) = (self.peak(account, Duration::ZERO), allowed(limit));
        assert!(peak <= allowed, "{context}: {peak} requests in a window, {allowed} allowed by {limit:?}");
    }
}

/// Limits of a large account, a medium one, a small one, and one without a burst.
const LIMITS: [AccountLimit; 4] = [
    AccountLimit { per_second: 480.0, burst: 300.0 },
    AccountLimit { per_second: 30.0, burst: 20.0 },
    AccountLimit { per_second: 3.0, burst: 2.0 },
    AccountLimit { per_second: 60.0, burst: 0.0 },
];

/// Guards against limits that are exceeded, or not used up, however callers are spread over the entry VMs: evenly, nearly
/// all at one, or at one after the other.
#[test]
fn limits_are_kept_and_used_up_however_callers_are_spread() {
    for (seed, spread) in [(1, "even"), (2, "uneven"), (3, "moving")] {
        let mut fleet = Fleet::new(6, &LIMITS, seed);
        fleet.idle(secs(30));
        let share = |vm: usize, time: Duration| match spread {
            "even" => 1.0 / 6.0,
            "uneven" if vm == 0 => 0.9,
            "uneven" => 0.02,
            _ => f64::from(u8::from(time.as_millis() as usize / 700 % 6 == vm)),
        };
        fleet.run(secs(12), |vm, account, time| {
            4.0 * LIMITS[account as usize - 1].per_second * share(vm, time)
        });
        let since = fleet.now - secs(8);
        for (account, limit) in (1..).zip(LIMITS) {
            let context = format!("{spread}, account {account}");
            fleet.assert_windows(account, limit, &context);
            let used = fleet.served_between(account, since, fleet.now);
            let wanted = 0.9 * limit.per_second * 8.0;
            assert!(used as f64 >= wanted - 1.0, "{context}: {used} requests in 8 s, {wanted} wanted");
        }
    }
}

/// Guards against requests that are refused although the account is below its limit, and against a message between entry
/// VMs for each request of a large account.
#[test]
fn accounts_below_their_limits_are_served() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(8, &LIMITS, seed);
        fleet.idle(secs(5));
        fleet.run(secs(20), |vm, account, _| {
            let share = [0.4, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05][vm];
            LIMITS[account as usize - 1].per_second / 1.6 * share
        });
        for account in 1..=4 {
            let (served, offered) = (fleet.served(account).len(), fleet.offered[&account]);
            let is_served = served as f64 >= 0.98 * offered as f64 - 2.0;
            assert!(is_served, "seed {seed}, account {account}: {served} of {offered} requests");
        }
        assert!(fleet.slowest_wait < millis(20), "a request waited {:?}", fleet.slowest_wait);
        let (waits, offered) = (fleet.waits[&1], fleet.offered[&1]);
        assert!(waits * 10 <= offered, "{waits} of {offered} requests of a large account waited");
    }
}

/// Guards against a burst that is granted again after all entry VMs have restarted.
#[test]
fn burst_is_not_granted_again_after_a_restart_of_all() {
    let large_burst = limit(20.0, 400.0);
    let mut fleet = Fleet::new(4, &[large_burst], 1);
    fleet.idle(secs(25));
    for _ in 0..3 {
        fleet.run(secs(1), |_, _, _| 500.0);
        (0..4).for_each(|vm| fleet.restart(vm));
    }
    fleet.run(secs(8), |_, _, _| 500.0);
    fleet.assert_windows(1, large_burst, "restarts of all entry VMs");
    let used = fleet.served_between(1, fleet.now - secs(5), fleet.now);
    assert!(used >= 90, "{used} of 100 requests after the restarts");
}

/// Guards against owners that grant the burst again, or the rate twice, while the owner changes and entry VMs learn of it
/// one after the other.
#[test]
fn limit_is_kept_while_the_owner_changes() {
    for limit in [limit(100.0, 300.0), limit(480.0, 300.0)] {
        let mut fleet = Fleet::new(6, &[limit], 2);
        let demand = move |_: usize, _: AccountId, _: Duration| limit.per_second;
        let owner = fleet.owner_of(0, 1).owner;
        let others: Vec<u64> = (0..6).filter(|vm| *vm != owner).collect();
        let all: Vec<u64> = (0..6).collect();
        for members in [&others, &all, &others, &all] {
            // The burst is used up just before the change.
            fleet.idle(secs(8));
            fleet.run(millis(200), demand);
            // The owner is the last one to learn of the change.
            for vm in others.iter().chain([&owner]) {
                fleet.set_members(*vm as usize, members);
                fleet.run(millis(250), demand);
            }
            fleet.run(secs(6), demand);
        }
        fleet.assert_windows(1, limit, "changes of the owner");
        let used = fleet.served_between(1, fleet.now - secs(5), fleet.now);
        assert!(used as f64 >= 4.5 * limit.per_second, "{used} requests after the changes");
    }
}

/// Guards against two owners at the full rate on both sides of a partition, with callers beyond the limit on each side.
#[test]
fn limit_is_kept_in_a_partition_by_both_sides_together() {
    for seed in 0..2 {
        let limits = [limit(480.0, 300.0), limit(30.0, 20.0), limit(3.0, 2.0)];
        let mut fleet = Fleet::new(9, &limits, seed);
        let demand =
            |_: usize, account: AccountId, _: Duration| limits[account as usize - 1].per_second * 0.6;
        fleet.run(secs(6), demand);
        // Each account's owner is on the smaller side.
        let mut cut: Vec<u64> = (1..=3).map(|account| fleet.owner_of(0, account).owner).collect();
        cut.sort();
        cut.dedup();
        cut.iter().for_each(|vm| fleet.vms[*vm as usize].group = 1);
        fleet.run(millis(2500), demand);
        let others: Vec<u64> = (0..9).filter(|vm| !cut.contains(vm)).collect();
        others.iter().for_each(|vm| fleet.set_members(*vm as usize, &others));
        fleet.run(secs(12), demand);
        for (account, limit) in (1..).zip(limits) {
            fleet.assert_windows(account, limit, &format!("seed {seed}, partition, account {account}"));
            let used = fleet.served_between(account, fleet.now - secs(5), fleet.now);
            assert!(used as f64 >= 4.5 * limit.per_second - 1.0, "account {account}: {used} requests in 5 s");
        }
    }
}

/// Guards against limits that cannot be used up while only the store is away.
#[test]
fn limits_are_used_up_while_the_store_is_away() {
    let large = limit(200.0, 100.0);
    let mut fleet = Fleet::new(6, &[large], 3);
    fleet.run(secs(4), |_, _, _| 60.0);
    fleet.is_store_away = true;
    fleet.run(secs(15), |_, _, _| 60.0);
    fleet.assert_windows(1, large, "store away");
    let used = fleet.served_between(1, fleet.now - secs(10), fleet.now);
    assert!(used >= 1800, "{used} of 2000 requests in 10 s");
}

/// Guards against a bucket or lots that survive when a limit is lowered far below the demand, with entry VMs that read the
/// configuration one after the other.
#[test]
fn limit_lowered_far_below_demand_binds_within_a_window() {
    let (high, low) = (limit(300.0, 600.0), limit(3.0, 2.0));
    let mut fleet = Fleet::new(6, &[high], 4);
    fleet.run(secs(6), |_, _, _| 5.0);
    for vm in 0..6 {
        fleet.run(millis(200), |_, _, _| 50.0);
        fleet.set_limit(vm, 1, low);
    }
    let lowered_at = fleet.now;
    fleet.run(secs(10), |_, _, _| 200.0);
    let peak = fleet.peak(1, lowered_at);
    assert!(peak <= allowed(low), "{peak} requests in a window, {} allowed", allowed(low));
}

/// Guards against a limit that is used up by requests that were refused and did not run.
#[test]
fn requests_that_did_not_run_do_not_use_up_the_limit() {
    // Within the lifetime of a lot, and after it.
    for (limit, refused_after, wanted) in [
        (limit(200.0, 100.0), millis(50), 0.9),
        (limit(10.0, 10.0), millis(50), 0.9),
        (limit(200.0, 100.0), millis(200), 0.8),
    ] {
        let mut fleet = Fleet::new(4, &[limit], 5);
        (fleet.refused_part, fleet.refused_after) = (0.5, refused_after);
        fleet.run(secs(20), |_, _, _| limit.per_second);
        fleet.assert_windows(1, limit, "half of the requests refused");
        let used = fleet.served_between(1, fleet.now - secs(10), fleet.now);
        let context = format!("{limit:?}, refused after {refused_after:?}");
        assert!(used as f64 >= wanted * 10.0 * limit.per_second, "{context}: {used} requests in 10 s");
    }
}

/// Guards against messages and refusals of others that grow with the requests of an account far beyond its limit.
#[test]
fn account_at_seven_times_its_limit_costs_the_others_nothing() {
    let limits = [limit(100.0, 100.0), limit(20.0, 20.0), limit(3.0, 3.0)];
    let run = |factor: f64| {
        let mut fleet = Fleet::new(6, &limits, 6);
        fleet.idle(secs(3));
        fleet.run(secs(10), |_, account, _| match account {
            1 => factor * 100.0 / 6.0,
            2 => 12.0 / 6.0,
            _ => 2.0 / 6.0,
        });
        fleet.assert_windows(1, limits[0], "hot account");
        fleet
    };
    let (hot, hotter) = (run(7.0), run(28.0));
    for account in [2, 3] {
        let (served, offered) = (hot.served(account).len(), hot.offered[&account]);
        assert!(served + 1 >= offered, "account {account}: {served} of {offered} requests");
    }
    // One claim per entry VM in 100 ms.
    for fleet in [&hot, &hotter] {
        let claims = fleet.claims[&1];
        assert!(claims <= 6 * 110, "{claims} claims of 6 entry VMs in 10 s");
    }
}

/// Guards against a limit that is not the lower one of claimant and owner, whichever has read the later configuration.
#[test]
fn lower_limit_of_claimant_and_owner_counts() {
    let (high, low) = (limit(300.0, 600.0), limit(3.0, 2.0));
    for (own, claimed) in [(high, low), (low, high)] {
        let mut ledger = AccountLedger::new(TOLERANCE);
        ledger.set_owned([(1, own)].into_iter(), secs(10));
        let claim = LotClaim { claimant: 1, wanted: 1000, returned: 0, limit: claimed };
        let role = OwnerRole::Owner(MembershipView::Current);
        let granted: u32 = (0..25)
            .map(|step| ledger.grant(1, &claim, Some(own), role, secs(40) + millis(step * 200)).tokens)
            .sum();
        assert!(granted as usize <= allowed(low), "{granted} requests in 5 s of {own:?} and {claimed:?}");
    }
}

/// Guards against tokens that an entry VM uses after it was frozen, when their window is over.
#[test]
fn frozen_entry_vm_does_not_use_its_lot_later() {
    let large = limit(200.0, 200.0);
    let mut quota = AccountQuota::new(AccountTerms::new(large, &TOLERANCE), 94);
    let now = secs(10);
    assert_eq!(quota.admit(now), QuotaDecision::Wait);
    assert!(quota.begin_wait());
    let claim = quota.take_claim(1, now).unwrap();
    assert_eq!(claim.wanted, 1);
    quota.apply_grant(LotGrant { tokens: 20, pause: None }, now, now + millis(2));
    assert!(matches!(quota.decide(now + millis(3)), QuotaDecision::Admit(_)));
    quota.end_wait();
    assert_eq!(quota.admit(now + secs(3)), QuotaDecision::Wait);
}

/// Guards against accounts that get nothing, or more than the tolerance, while their owner does not respond and is still in
/// the list.
#[test]
fn stand_in_serves_small_accounts_and_keeps_the_tolerance() {
    for (seed, silent) in [(0, 1), (1, 1), (2, 2), (3, 2)] {
        let limits = [limit(480.0, 300.0), limit(3.0, 2.0)];
        let mut fleet = Fleet::new(8, &limits, seed);
        let demand = |_: usize, account: AccountId, _: Duration| match account {
            1 => 480.0,
            _ => 0.2,
        };
        fleet.run(secs(6), demand);
        let owner = fleet.owner_of(0, silent).owner as usize;
        fleet.vms[owner].is_dead = true;
        let dead_since = fleet.now;
        fleet.run(secs(10), demand);
        let served = fleet.served_between(2, dead_since, fleet.now);
        assert!(served >= 3, "seed {seed}: {served} requests of a small account without its owner");
        for (account, limit) in (1..).zip(limits) {
            fleet.assert_windows(account, limit, &format!("seed {seed}, owner silent, account {account}"));
        }
        if silent == 1 {
            let peak = fleet.peak(1, dead_since + secs(1));
            // The floats of eight entry VMs, 4 each, and the stand-in's part of the slack.
            assert!((1..=37).contains(&peak), "seed {seed}: {peak} requests in a window without the owner");
        }
        fleet.restart(owner);
        fleet.run(secs(8), demand);
        fleet.assert_windows(1, limits[0], "owner back");
        let used = fleet.served_between(1, fleet.now - secs(5), fleet.now);
        assert!(used >= 2100, "{used} requests in 5 s after the owner came back");
    }
}

/// Guards against floats that add up to more than the tolerance, or are granted again before they are paid back.
#[test]
fn floats_are_bounded_and_paid_back() {
    let small = limit(2.0, 2.0);
    let mut quota = AccountQuota::new(AccountTerms::new(small, &TOLERANCE), 2);
    let now = secs(10);
    let admit = |quota: &mut AccountQuota, now| matches!(quota.admit(now), QuotaDecision::Admit(_));
    let float = (0..10).filter(|_| admit(&mut quota, now)).count();
    assert_eq!(float, 1, "(0.1 x 2 + 0.1 x 20) / 2");
    assert_eq!(quota.admit(now + secs(1)), QuotaDecision::Wait);
    let claim = quota.take_claim(1, now + secs(1)).unwrap();
    assert!(claim.wanted >= 1, "the debt is claimed");
    quota.apply_grant(LotGrant { tokens: 1, pause: None }, now + secs(1), now + secs(1));
    assert_eq!(quota.admit(now + secs(1)), QuotaDecision::Wait, "the lot pays the debt");
    assert!(admit(&mut quota, now + secs(6)), "after a window");
}

/// Guards against callers that are invited to come back all at the same time.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let small = limit(2.0, 2.0);
    let mut quota = AccountQuota::new(AccountTerms::new(small, &TOLERANCE), 94);
    let now = secs(10);
    assert_eq!(quota.admit(now), QuotaDecision::Wait);
    let pause = Some(millis(300));
    assert!(quota.begin_wait());
    quota.take_claim(1, now).unwrap();
    quota.apply_grant(LotGrant { tokens: 0, pause }, now, now);
    let mut retries = Vec::new();
    for _ in 0..4 {
        let QuotaDecision::Refuse { retry_after } = quota.decide(now) else { panic!("not refused") };
        retries.push(retry_after.as_millis());
    }
    assert_eq!(retries, [800, 1300, 1800, 2300]);
}
