//! Tests of request rate limits that targets state, with several entry VMs over real sockets.

mod common;

use common::limited_target::LimitedTarget;
use common::{Caller, config, header, registration, request, start_named_relay, status};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Length of the time in which arrivals at a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which an entry VM that has seen a limit must keep it.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// Returns how many requests may reach a target in [`WINDOW`] if it states this limit.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Entry VMs, of which two are homes of the only host, and targets `i0`, `i1`, …
struct LimitFleet {
    store: Arc<PlatformStandin>,
    relays: Vec<RunningRelay>,
    targets: Vec<Arc<LimitedTarget>>,
}

impl LimitFleet {
    /// Starts targets with these limits; a target without a limit has an empty one.
    async fn start(limits: &[&str]) -> Self {
        Self::start_with_vms(2, limits).await
    }

    async fn start_with_vms(vm_count: usize, limits: &[&str]) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let mut targets = Vec::new();
        for (index, limit) in limits.iter().enumerate() {
            let target = LimitedTarget::start(&format!("i{index}"), limit).await;
            store.put(&format!("servers/i{index}"), registration(target.address, "ready").to_string());
            targets.push(target);
        }
        store.put("config/main", config("00000001").to_string());
        let relays: Vec<RunningRelay> =
            (0..vm_count).map(|index| start_named_relay(&format!("vm{index}"), store.address())).collect();
        let fleet = Self { store, relays, targets };
        fleet.wait_until_ready().await;
        fleet
    }

    async fn wait_until_ready(&self) {
        let is_ready = |relay: &RunningRelay| {
            relay.state().is_ready() && relay.state().entry_vms.load().len() == self.relays.len()
        };
        while !self.relays.iter().all(is_ready) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends requests to one entry VM at a steady rate, each on a connection of its own, and returns their
    /// statuses.
    async fn send_steadily(&self, vm: usize, per_second: u32, time: Duration) -> Vec<u16> {
        let address = self.relays[vm].state().own_record().caller_address;
        let pause = Duration::from_secs(1) / per_second;
        let count = time.as_millis() / pause.as_millis();
        let mut tasks = Vec::new();
        for index in 0..count {
            tasks.push(tokio::spawn(async move {
                let mut caller = Caller::open(address).await;
                caller.send(&request("GET", "/read/1", &format!("{vm}-{index}"), "")).await;
                status(&caller.receive().await.unwrap())
            }));
            tokio::time::sleep(pause).await;
        }
        let mut statuses = Vec::new();
        for task in tasks {
            statuses.push(task.await.unwrap());
        }
        statuses
    }
}

/// Guards against a fleet that sends a target more requests than the limit that it states, because the header is
/// ignored or because each entry VM keeps the limit by itself.
#[tokio::test]
async fn limit_of_a_target_holds_for_all_entry_vms_together() {
    let fleet = LimitFleet::start(&["", ""]).await;
    let limited = fleet.targets[0].clone();
    let load = Duration::from_secs(6);
    let stated_at = Instant::now() + Duration::from_millis(500);
    let announce = async {
        tokio::time::sleep_until(stated_at.into()).await;
        limited.set_limit("5");
    };
    let (first, second, ()) =
        tokio::join!(fleet.send_steadily(0, 40, load), fleet.send_steadily(1, 20, load), announce);
    let peak = limited.peak_after(stated_at + REACTION_TIME, WINDOW);
    assert!(peak <= allowed(5.0), "{peak} requests and probes in 4 s, {} allowed", allowed(5.0));
    assert!(first.iter().chain(&second).all(|status| *status == 200), "the other target has room");
}

/// Guards against load probes that reach a target beyond the limit that it states.
#[tokio::test]
async fn target_that_accepts_nothing_gets_hardly_any_probes() {
    let fleet = LimitFleet::start(&["0", ""]).await;
    let limited = fleet.targets[0].clone();
    // Until both entry VMs have seen the limit.
    fleet.send_steadily(0, 40, Duration::from_millis(500)).await;
    fleet.send_steadily(1, 40, Duration::from_millis(500)).await;
    let since = Instant::now() + REACTION_TIME;
    let load = Duration::from_secs(5);
    let (first, second) = tokio::join!(fleet.send_steadily(0, 20, load), fleet.send_steadily(1, 20, load));
    let peak = limited.peak_after(since, WINDOW);
    assert!(peak <= allowed(0.0), "{peak} requests and probes in 4 s, {} allowed", allowed(0.0));
    assert!(first.iter().chain(&second).all(|status| *status == 200));
}

/// Guards against limits that are divided by the number of entry VMs, so that they are not used up where callers
/// are spread unevenly, and against requests that wait for a target although no limit has room for them.
#[tokio::test]
async fn limits_of_all_targets_are_used_up_and_the_rest_is_refused_at_once() {
    let fleet = LimitFleet::start(&["10", "6"]).await;
    let load = Duration::from_secs(7);
    let since = Instant::now() + Duration::from_millis(2500);
    let (first, second) = tokio::join!(fleet.send_steadily(0, 40, load), fleet.send_steadily(1, 2, load));
    for (target, limit) in fleet.targets.iter().zip([10.0, 6.0]) {
        let used = target.requests_between(since, since + WINDOW);
        let wanted = (0.8 * limit * WINDOW.as_secs_f64()) as usize;
        assert!(used >= wanted, "{used} requests in 4 s, {wanted} wanted of a limit of {limit}");
        let peak = target.peak_after(since, WINDOW);
        assert!(peak <= allowed(limit), "{peak} requests and probes in 4 s, {} allowed", allowed(limit));
    }
    let second_served = second.iter().filter(|status| **status == 200).count();
    assert!(second_served > 0, "the entry VM with few callers has no share");
    assert!(first.iter().chain(&second).all(|status| [200, 503].contains(status)));
}

/// Guards against refusals that come late or without a time to come back while all limits are used up.
#[tokio::test]
async fn refusals_for_lack_of_limits_come_at_once_with_a_time_to_come_back() {
    let fleet = LimitFleet::start(&["0.5"]).await;
    let address = fleet.relays[0].state().own_record().caller_address;
    let mut slowest = Duration::ZERO;
    let mut refused = 0;
    fleet.send_steadily(0, 20, Duration::from_secs(2)).await;
    for index in 0..40 {
        let mut caller = Caller::open(address).await;
        let sent_at = Instant::now();
        caller.send(&request("GET", "/read/1", &format!("r{index}"), "")).await;
        let response = caller.receive().await.unwrap();
        if status(&response) == 503 {
            refused += 1;
            slowest = slowest.max(sent_at.elapsed());
            let retry_after: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
            assert!((0.05..=60.0).contains(&retry_after), "{response}");
        }
    }
    assert!(refused >= 30, "{refused} of 40 requests refused");
    assert!(slowest < Duration::from_millis(500), "a refusal took {slowest:?}");
}

/// Guards against a limit that is exceeded or left unused while its owner changes: the owner stops, and an entry VM
/// that is no home gets requests as well.
#[tokio::test]
async fn limit_holds_while_its_owner_stops() {
    let mut fleet = LimitFleet::start_with_vms(3, &["10"]).await;
    let target = fleet.targets[0].clone();
    let owner = fleet.relays[0].state().limit_owners(&"s".to_owned()).owner_of(target.address);
    let is_owner = |relay: &RunningRelay| Some(relay.state().own_home_id()) == owner;
    let owner_index = fleet.relays.iter().position(is_owner).unwrap();
    let time = Duration::from_secs(5);
    let since = Instant::now() + REACTION_TIME + Duration::from_millis(500);
    tokio::join!(
        fleet.send_steadily(0, 20, time),
        fleet.send_steadily(1, 20, time),
        fleet.send_steadily(2, 20, time),
    );
    let stopping = tokio::spawn(fleet.relays.remove(owner_index).shutdown());
    let stopped_at = Instant::now();
    tokio::join!(fleet.send_steadily(0, 20, time), fleet.send_steadily(1, 20, time));
    let peak = target.peak_after(since, WINDOW);
    assert!(peak <= allowed(10.0), "{peak} requests and probes in 4 s, {} allowed", allowed(10.0));
    let from = stopped_at + Duration::from_secs(1);
    let used = target.requests_between(from, from + WINDOW);
    assert!(used >= 28, "{used} of 40 requests after the owner has stopped");
    stopping.await.unwrap();
}

/// Guards against two owners of one limit, each of whom grants all of it, while entry VMs differ in which of the others
/// respond, as during an outage of the store.
#[tokio::test]
async fn entry_vms_agree_on_the_owner_of_a_limit_although_they_differ_in_who_responds() {
    let fleet = LimitFleet::start_with_vms(5, &["5", "5", "5"]).await;
    let owners = |target: usize| -> Vec<Option<u64>> {
        let address = fleet.targets[target].address;
        let owner = |relay: &RunningRelay| relay.state().limit_owners(&"s".to_owned()).owner_of(address);
        fleet.relays.iter().map(owner).collect()
    };
    for (vm, relay) in fleet.relays.iter().enumerate() {
        let other = format!("vm{}", (vm + 1) % 5);
        relay.state().lock_unresponsive_vms().insert(other);
    }
    for target in 0..3 {
        let owners = owners(target);
        assert!(owners.iter().all(|owner| *owner == owners[0] && owner.is_some()), "{owners:?}");
    }
}

/// Guards against limits that are exceeded by entry VMs that have started during an outage of the store: each of them
/// may take itself for the only one.
#[tokio::test]
async fn entry_vm_without_a_settled_membership_uses_no_limit() {
    let fleet = LimitFleet::start_with_vms(1, &["20"]).await;
    fleet.send_steadily(0, 40, Duration::from_secs(2)).await;
    let is_settled = &fleet.relays[0].state().is_membership_settled;
    is_settled.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let since = Instant::now();
    fleet.send_steadily(0, 40, Duration::from_secs(2)).await;
    let used = fleet.targets[0].requests_between(since, Instant::now());
    assert!(used <= 3, "{used} requests without a settled membership");
    is_settled.store(true, Ordering::Relaxed);
    let since = Instant::now();
    fleet.send_steadily(0, 40, Duration::from_secs(3)).await;
    assert!(fleet.targets[0].requests_between(since, Instant::now()) >= 30);
}

/// Guards against two owners of one limit after a change of the fleet that has reached some entry VMs only.
#[tokio::test]
async fn half_of_a_limit_is_used_during_an_outage_of_the_store() {
    let fleet = LimitFleet::start(&["20"]).await;
    let time = Duration::from_secs(2);
    tokio::join!(fleet.send_steadily(0, 40, time), fleet.send_steadily(1, 40, time));
    fleet.store.control.is_down.store(true, Ordering::Relaxed);
    let time = Duration::from_secs(8);
    let since = Instant::now() + Duration::from_millis(3500);
    tokio::join!(fleet.send_steadily(0, 40, time), fleet.send_steadily(1, 40, time));
    let used = fleet.targets[0].count_between(since, since + WINDOW);
    assert!((20..=45).contains(&used), "{used} requests in 4 s with half of a limit of 20");
}
