//! Tests of requests that leave their failure domain, in virtual time and without a network: three domains with two
//! entry VMs and twelve targets each, all of which decide from their own queues and from the reports they get.

mod domain_fleet;

use domain_fleet::{DOMAINS, DomainFleet, Load, Totals};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sniperelay_core::domain_overflow::{
    LeaveDecision, LeaveReason, LeavingChange, LeavingCosts, LeavingRecord, TakingTarget, TransferEstimate,
    WaitingRequest,
};
use std::time::{Duration, Instant};

const COSTS: LeavingCosts = LeavingCosts { hop: Duration::from_millis(1), late_response_bytes: 30_000.0 };
/// Rate of requests that uses up 70 % of a domain's slots.
const USUAL: f64 = 0.7;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn waiting(slack: u64, own_wait: u64, bytes: f64) -> WaitingRequest {
    WaitingRequest {
        slack: millis(slack),
        waited: millis(10),
        own_wait: Some(millis(own_wait)),
        transfer_bytes: Some(bytes),
        is_late: false,
    }
}

const LEAVE: LeaveDecision = LeaveDecision::Leave(LeaveReason::Wait);

/// Guards against requests that leave although waiting at home is cheaper, and the reverse.
#[test]
fn wait_is_compared_with_hop_and_bytes() {
    // 3,000 bytes are a tenth of a response in time: 20 ms of a slack of 200 ms, and 2 ms for the way to and fro.
    assert_eq!(COSTS.cost(millis(200), 3000.0), millis(22));
    assert_eq!(COSTS.decide(&waiting(200, 34, 3000.0), false), LEAVE);
    assert_eq!(COSTS.decide(&waiting(200, 30, 3000.0), false), LeaveDecision::Prepare);
    assert_eq!(COSTS.decide(&waiting(200, 30, 3000.0), true), LEAVE, "less is enough once requests leave");
    assert_eq!(COSTS.decide(&waiting(200, 10, 3000.0), true), LeaveDecision::Stay);
}

/// Guards against uploads that cost more than the response is worth, and against large bodies that leave before small ones
/// or patient requests before urgent ones.
#[test]
fn large_bodies_stay_and_urgent_small_requests_leave_first() {
    let first_wait = |slack: u64, bytes: f64| {
        (0..10_000).find(|wait| COSTS.decide(&waiting(slack, *wait, bytes), false) == LEAVE)
    };
    assert_eq!(first_wait(200, 65_000.0), None);
    assert!(first_wait(200, 500.0) < first_wait(200, 5000.0));
    assert!(first_wait(60, 1500.0) < first_wait(200, 1500.0));
    let unmeasured = WaitingRequest { transfer_bytes: None, ..waiting(200, 10_000, 0.0) };
    assert_eq!(COSTS.decide(&unmeasured, false), LeaveDecision::Stay, "its size is unknown");
}

/// Guards against requests that leave at their first glimpse of a queue, and against late ones that pay for nothing.
#[test]
fn fresh_and_late_requests_stay_while_there_is_an_own_target() {
    let fresh = WaitingRequest { waited: millis(1), ..waiting(200, 100, 500.0) };
    assert_eq!(COSTS.decide(&fresh, false), LeaveDecision::Prepare);
    let late = WaitingRequest { is_late: true, ..waiting(200, 100, 500.0) };
    assert_eq!(COSTS.decide(&late, false), LeaveDecision::Stay);
    let homeless = WaitingRequest { own_wait: None, transfer_bytes: None, ..late };
    assert_eq!(COSTS.decide(&homeless, false), LeaveDecision::Leave(LeaveReason::NoOwnTarget));
}

/// Guards against targets whose own callers find no slot because of requests of other domains.
#[test]
fn target_takes_a_bounded_share_of_others_requests() {
    let target = TakingTarget {
        slots: 3,
        own_in_flight: 0,
        foreign_in_flight: 0,
        report_age: Some(millis(100)),
        is_restricted: false,
        may_turn_cold: false,
    };
    assert!(target.may_take(LeaveReason::Wait));
    assert!(TakingTarget { foreign_in_flight: 1, ..target }.may_take(LeaveReason::Wait));
    assert!(
        !TakingTarget { foreign_in_flight: 2, ..target }.may_take(LeaveReason::Wait),
        "one slot stays free"
    );
    assert!(
        !TakingTarget { own_in_flight: 1, ..target }.may_take(LeaveReason::Wait),
        "a third of the slots at most"
    );
    assert!(TakingTarget { own_in_flight: 3, slots: 12, ..target }.may_take(LeaveReason::Wait));
    assert!(!TakingTarget { own_in_flight: 4, slots: 12, ..target }.may_take(LeaveReason::Wait));
    assert!(TakingTarget { slots: 1, ..target }.may_take(LeaveReason::Wait));
    assert!(!TakingTarget { slots: 1, foreign_in_flight: 1, ..target }.may_take(LeaveReason::Wait));
    let is_taken_without_own = |in_flight: u32, others: u32| {
        let target = TakingTarget { own_in_flight: in_flight, foreign_in_flight: others, ..target };
        target.may_take(LeaveReason::NoOwnTarget)
    };
    assert!(is_taken_without_own(0, 2) && !is_taken_without_own(0, 3) && !is_taken_without_own(1, 0));
    assert!(
        !TakingTarget { report_age: Some(millis(400)), ..target }.may_take(LeaveReason::Wait),
        "the report is too old"
    );
    assert!(!TakingTarget { report_age: None, ..target }.may_take(LeaveReason::Wait));
    let unreported = TakingTarget { report_age: None, ..target };
    assert!(unreported.may_take(LeaveReason::NoOwnTarget), "any target is better than none");
    let unknown = TakingTarget { may_turn_cold: true, ..unreported };
    assert!(!unknown.may_take(LeaveReason::NoOwnTarget), "it may have turned cold");
    assert!(!TakingTarget { is_restricted: true, ..target }.may_take(LeaveReason::Wait), "cold or limited");
}

/// Guards against log lines for each request.
#[test]
fn begin_and_end_are_reported_once() {
    let mut record = LeavingRecord::default();
    let start = Instant::now();
    assert_eq!(record.take_change(start), None);
    for step in 0..3 {
        record.record_departure(LeaveReason::Wait, Some(millis(40)), start + millis(100 * step));
        record.record_start();
        record.record_start();
    }
    let began = LeavingChange::Began { reason: LeaveReason::Wait, own_wait: Some(millis(40)) };
    assert_eq!(record.take_change(start + millis(300)), Some(began));
    assert_eq!(record.take_change(start + millis(1100)), None);
    let ended = LeavingChange::Ended { left: 3, started: 6, duration: millis(200) };
    assert_eq!(record.take_change(start + millis(1200)), Some(ended));
    assert_eq!(record.take_change(start + millis(5000)), None);
}

#[test]
fn size_is_unknown_before_the_first_response() {
    let mut estimate = TransferEstimate::default();
    assert_eq!(estimate.bytes(), None);
    estimate.record(0);
    assert_eq!(estimate.bytes(), Some(0.0));
}

fn play(seed: u64, with_overflow: bool, load: Load) -> DomainFleet {
    let mut fleet = DomainFleet::new(seed, with_overflow.then_some(COSTS));
    fleet.run(millis(1500), &load);
    fleet
}

fn on_time(totals: &Totals) -> f64 {
    totals.on_time as f64 / totals.done.max(1) as f64
}

/// Guards against traffic between domains although each one has room for its callers.
#[test]
fn nothing_leaves_at_usual_load() {
    let fleet = play(1, true, Load::even(USUAL));
    let left: u64 = DOMAINS.iter().map(|domain| fleet.totals(domain).left).sum();
    let sent: u64 = DOMAINS.iter().map(|domain| fleet.totals(domain).sent).sum();
    assert!(left * 100 <= sent, "{left} of {sent} requests left");
    assert!(on_time(&fleet.totals("a")) > 0.99);
}

/// Load: the callers of one domain send 1.6 times their usual, more than its targets can serve.
/// Guards against callers that are refused while targets elsewhere are free, and against the callers of the other domains
/// paying for them.
#[test]
fn surplus_of_one_domain_is_served_elsewhere_and_the_others_keep_their_part() {
    let load = Load { a: USUAL * 1.6, ..Load::even(USUAL) };
    let (without, with) = (play(2, false, load), play(2, true, load));
    let (before, after) = (on_time(&without.totals("a")), on_time(&with.totals("a")));
    assert!(after > 0.99 && after > before + 0.03, "on time: {before:.3} without, {after:.3} with");
    for domain in ["b", "c"] {
        assert!(on_time(&with.totals(domain)) > 0.98, "{domain}: {:.3}", on_time(&with.totals(domain)));
        assert!(with.totals(domain).left * 100 <= with.totals(domain).sent);
    }
    let share = with.totals("a").left as f64 / with.totals("a").sent as f64;
    assert!((0.05..0.4).contains(&share), "the surplus leaves, no more: {share:.2}");
}

/// Load: half of what the targets can serve, which is three quarters of what is left when those of one domain are lost.
/// Guards against callers that wait for targets that are gone, and against the others' callers paying for them.
#[test]
fn requests_leave_when_the_targets_of_the_domain_are_lost() {
    let load = Load::even(0.5);
    let mut fleet = play(3, true, load);
    fleet.remove_targets("a");
    fleet.run(millis(200), &load);
    fleet.reset_totals();
    fleet.run(millis(1500), &load);
    let (lost, other) = (fleet.totals("a"), fleet.totals("b"));
    assert!(on_time(&lost) > 0.95, "on time: {:.3}", on_time(&lost));
    assert!(on_time(&other) > 0.98, "others on time: {:.3}", on_time(&other));
}

/// Load: less than half of the usual one; the targets of one domain are so slow that all their responses would be late.
/// Guards against requests that wait for a fast target at home although there are fast ones elsewhere.
#[test]
fn requests_leave_when_the_free_targets_at_home_are_too_slow() {
    let load = Load::even(0.3);
    let on_time_share = |with_overflow: bool| {
        let mut fleet = play(8, with_overflow, load);
        fleet.set_slowdown("a", 6.0);
        fleet.run(millis(300), &load);
        fleet.reset_totals();
        fleet.run(millis(1500), &load);
        (on_time(&fleet.totals("a")), on_time(&fleet.totals("b")))
    };
    let ((before, _), (after, other)) = (on_time_share(false), on_time_share(true));
    assert!(after > before + 0.5, "on time: {before:.3} without, {after:.3} with");
    assert!(other > 0.98, "others on time: {other:.3}");
}

/// Load: usual; a domain is evacuated, and its targets return.
/// Guards against requests that go on leaving after the return.
#[test]
fn requests_stay_again_after_an_evacuation() {
    let mut fleet = play(4, true, Load::even(USUAL));
    fleet.remove_targets("c");
    fleet.run(millis(1500), &Load::even(USUAL));
    assert!(fleet.totals("c").left > 0);
    fleet.restore_targets("c");
    fleet.run(millis(1500), &Load::even(USUAL));
    fleet.reset_totals();
    fleet.run(millis(1500), &Load::even(USUAL));
    let totals = fleet.totals("c");
    assert!(totals.left * 50 <= totals.sent, "{} of {} left", totals.left, totals.sent);
    assert!(on_time(&totals) > 0.97, "on time: {:.3}", on_time(&totals));
}

/// Load: half of what the targets can serve; those of one domain return cold after an evacuation.
/// Guards against requests that wait for cold targets at home, which count as usable.
#[test]
fn requests_leave_while_the_targets_at_home_are_cold() {
    let load = Load::even(0.5);
    let mut fleet = play(10, true, load);
    fleet.remove_targets("c");
    fleet.run(millis(500), &load);
    fleet.restore_targets_cold("c");
    fleet.reset_totals();
    fleet.run(millis(1500), &load);
    let (cold, other) = (fleet.totals("c"), fleet.totals("a"));
    assert!(on_time(&cold) > 0.95, "on time: {:.3}", on_time(&cold));
    assert!(on_time(&other) > 0.98, "others on time: {:.3}", on_time(&other));
}

/// Load: two thirds of the callers of one domain move to another, as when callers follow their own failover.
#[test]
fn callers_that_move_to_another_domain_are_served() {
    let load = Load { a: USUAL / 3.0, b: USUAL * 5.0 / 3.0, c: USUAL };
    let (without, with) = (play(5, false, load), play(5, true, load));
    assert!(with.all_on_time() > without.all_on_time());
    assert!(on_time(&with.totals("b")) > 0.97, "on time: {:.3}", on_time(&with.totals("b")));
    assert!(on_time(&with.totals("a")) > 0.98 && on_time(&with.totals("c")) > 0.98);
}

/// Guards against uploads that fill the links between the domains, also when their domain is overloaded.
#[test]
fn uploads_stay_while_small_requests_leave() {
    let load = Load { a: USUAL * 1.6, ..Load::even(USUAL) };
    let fleet = play(6, true, load);
    let totals = fleet.totals("a");
    assert!(totals.left > 50);
    assert_eq!(totals.uploads_left, 0);
}

/// Guards against departures that depend on a switch: with no costs set, no request leaves.
#[test]
fn nothing_leaves_without_costs() {
    let fleet = play(7, false, Load { a: USUAL * 1.6, ..Load::even(USUAL) });
    assert!(DOMAINS.iter().all(|domain| fleet.totals(domain).left == 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    /// The share that leaves an overloaded domain does not swing: in no tenth of a second it is more than twice the mean,
    /// and the queues at home do not run dry, which would show that too many have left.
    #[test]
    fn departures_do_not_swing(seed in any::<u64>()) {
        let load = Load { a: USUAL * 1.6, ..Load::even(USUAL) };
        let mut fleet = DomainFleet::new(seed, Some(COSTS));
        fleet.run(millis(400), &load);
        let mut shares = Vec::new();
        for _ in 0..10 {
            fleet.reset_totals();
            fleet.run(millis(100), &load);
            let totals = fleet.totals("a");
            shares.push(totals.left as f64 / totals.sent.max(1) as f64);
        }
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let highest = shares.iter().copied().fold(0.0, f64::max);
        prop_assert!(mean < 0.4 && highest <= 2.0 * mean + 0.1, "seed {seed}: mean {mean:.2}, highest {highest:.2}, {shares:?}");
        prop_assert!(fleet.free_slot_share("a") < 0.15, "seed {seed}: {:.2} free", fleet.free_slot_share("a"));
    }
}
