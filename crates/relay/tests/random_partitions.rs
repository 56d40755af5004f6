//! Random partitions of entry VMs from the targets, in series and overlapping, while callers use kept connections.
//!
//! `SNIPERELAY_PARTITION_SEEDS=FIRST-LAST` selects other seeds than the default one.

mod common;

use common::partition::{CLAIM, Outcome, PartitionedFleet};
use common::{Caller, ScriptedAction, body, config, request, sealed_response, status};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_standin::soak::proxy::ProxyMode;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const VM_COUNT: usize = 5;
const TARGET_COUNT: usize = 4;
const CALLER_COUNT: usize = 12;
const STEP_COUNT: usize = 30;
/// Time in which service recovers after the last partition.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// A request and the response that its caller got.
struct SentRequest {
    id: String,
    response: Option<String>,
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SNIPERELAY_PARTITION_SEEDS") else { return vec![1] };
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

/// Guards against requests that run twice, are falsely called not run, or get the response to another request, and
/// against entry VMs that do not recover, when partitions begin and end at any time.
#[tokio::test]
async fn random_partitions_violate_no_guarantee() {
    for seed in seeds() {
        let violations = run_partitions(seed).await;
        assert!(violations.is_empty(), "seed {seed}: {}", violations.join("; "));
    }
}

async fn run_partitions(seed: u64) -> Vec<String> {
    // Each response names its request in its body.
    let script = [ScriptedAction::RespondAfter(
        Duration::from_millis(40),
        sealed_response("{id}").replace("Content-Length: 4", "Content-Length: 9"),
    )];
    let fleet = PartitionedFleet::start(VM_COUNT, TARGET_COUNT, &script).await;
    let addresses: Vec<SocketAddr> =
        fleet.vms.iter().map(|vm| vm.relay.state().own_record().caller_address).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|index| {
            let rng = SmallRng::seed_from_u64(seed * 100 + index as u64);
            tokio::spawn(run_caller(addresses.clone(), rng, is_over.clone()))
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    for step in 0..STEP_COUNT {
        inject_fault(&fleet, &mut rng, step).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..600))).await;
    }
    (0..VM_COUNT).for_each(|vm| fleet.set_links(vm, ProxyMode::PassThrough));
    tokio::time::sleep(RECOVERY_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.unwrap());
    }
    let mut violations = find_violations(&fleet, &sent);
    for vm in 0..VM_COUNT {
        let outcomes = fleet.send_steadily(vm, 40, Duration::from_secs(1)).await;
        let failures = outcomes.iter().filter(|(_, status)| *status != Some(200)).count();
        if failures > 0 {
            violations.push(describe_failures(&fleet, vm, &outcomes));
        }
    }
    violations
}

fn describe_failures(fleet: &PartitionedFleet, vm: usize, outcomes: &[Outcome]) -> String {
    let mut counts: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    outcomes.iter().for_each(|(_, status)| *counts.entry(*status).or_default() += 1);
    let state = fleet.vms[vm].relay.state();
    let counters = state.metrics.process();
    format!(
        "entry VM {vm} at the end: statuses {counts:?}, isolated {}, {} crashes, {} quarantined, {} forwarded",
        state.links.is_isolated(),
        counters.target_crashes.load(Ordering::Relaxed),
        counters.requests_quarantined.load(Ordering::Relaxed),
        counters.requests_forwarded.load(Ordering::Relaxed),
    )
}

async fn inject_fault(fleet: &PartitionedFleet, rng: &mut SmallRng, step: usize) {
    let vm = rng.random_range(0..VM_COUNT);
    let mode = match rng.random_range(0..8) {
        0 | 1 => ProxyMode::Stall,
        2 => ProxyMode::Reset,
        3 => ProxyMode::RefuseNew,
        4 => ProxyMode::HoldResponses,
        5 => ProxyMode::Delay(Duration::from_millis(10)),
        6 => {
            return fleet.put_config(vm, &config(&format!("{:08x}", step + 2))).await;
        }
        _ => ProxyMode::PassThrough,
    };
    fleet.set_links(vm, mode);
}

/// Sends requests one after the other, most of them on the connection of the previous one.
async fn run_caller(
    addresses: Vec<SocketAddr>,
    mut rng: SmallRng,
    is_over: Arc<AtomicBool>,
) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    let mut open: Option<Caller> = None;
    while !is_over.load(Ordering::Relaxed) {
        let mut caller = match open.take() {
            Some(caller) => caller,
            None => Caller::open(addresses[rng.random_range(0..addresses.len())]).await,
        };
        let (kind, method, path, content) =
            if rng.random_bool(0.4) { (CLAIM, "POST", "/claim/1", "x") } else { ('r', "GET", "/read/1", "") };
        let id = format!("{kind}{:08x}", rng.random::<u32>());
        caller.send(&request(method, path, &id, content)).await;
        let response = tokio::time::timeout(Duration::from_secs(3), caller.receive()).await.ok().flatten();
        let is_reusable =
            response.as_ref().is_some_and(|text| !text.to_lowercase().contains("connection: close"));
        if is_reusable && rng.random_bool(0.9) {
            open = Some(caller);
        }
        sent.push(SentRequest { id, response });
    }
    sent
}

fn find_violations(fleet: &PartitionedFleet, sent: &[SentRequest]) -> Vec<String> {
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    for text in fleet.targets.iter().flat_map(|target| target.received()) {
        *arrivals.entry(common::header(&text, "x-request-id").unwrap_or_default()).or_default() += 1;
    }
    let mut violations = Vec::new();
    for SentRequest { id, response } in sent {
        let count = arrivals.get(id).copied().unwrap_or(0);
        let status_code = response.as_ref().map(|text| status(text));
        if id.starts_with(CLAIM) && count > 1 {
            violations.push(format!("claim {id} was sent {count} times"));
        }
        // The targets refuse nothing: a request that has arrived has run.
        if status_code == Some(503) && count > 0 {
            violations.push(format!("request {id} was called not run and has run"));
        }
        if status_code == Some(200) && response.as_deref().map(body) != Some(id) {
            violations.push(format!("request {id} got another response"));
        }
        if status_code.is_none() {
            violations.push(format!("request {id} got no response within 3 s"));
        }
    }
    violations
}
