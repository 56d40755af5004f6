//! Verification of the guarantees under load and injected faults, over real sockets: claims are
//! executed at most once, `not-run` outcomes are true, and every response that ends normally is complete
//! and belongs to its request.

use crate::bench::report::{BenchFigure, BoundSide};
use crate::caller::{CallEnd, CallSpec, CallerResult, CallerStandin};
use crate::cluster::{ClusterOptions, ClusterStandin};
use crate::demo::make_callers;
use crate::deployment::{DeploymentSpec, cooperative};
use crate::target::TargetStandin;
use anyhow::Result;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_node::control::ControlEvent;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Number of concurrent calls.
const CONCURRENCY: u64 = 256;
/// Interval between faults in [`bench_claims`]; [`bench_whole`] injects four times as many.
const FAULT_INTERVAL: Duration = Duration::from_millis(400);
/// Share of truncated responses in [`bench_whole`], in thousandths. The truncation fault of
/// [`bench_claims`] uses five times this share.
const TRUNCATION_PERMILLE: u32 = 20;
/// Exclusive upper limit of the response size in [`bench_whole`].
const MAX_RESPONSE_BYTES: usize = 200_000;

/// Sends claims while faults are injected: entry VMs fail and are replaced, targets refuse requests
/// as draining, fail or truncate responses, the platform becomes unavailable at times, and entry VMs
/// are partitioned.
///
/// # Errors
///
/// Returns an error if a component cannot be started.
pub async fn bench_claims(requests: u64, seed: u64) -> Result<Vec<BenchFigure>> {
    let call = |id: u64| CallSpec {
        service: "claim-desk".to_owned(),
        method: Method::POST,
        path: "/claims".to_owned(),
        id,
        service_time: Duration::from_micros(id % 3000),
        response_bytes: 100,
        needs_key: true,
    };
    let run = run_with_faults("claim-desk", requests, seed, call, &inject_faults).await?;
    let mut figures = guarantee_figures("claims", &run, seed);
    let unknown = run.outcomes.iter().filter(|((outcome, _), _)| outcome == "unknown");
    let unknown = unknown.map(|(_, count)| *count).sum::<u64>() + run.count(CallKind::NoResponse);
    figures.push(BenchFigure::plain("claims/unknown", unknown as f64 / requests as f64, "share", seed));
    Ok(figures)
}

/// Sends reads of different sizes while targets truncate and delay responses, so that requests are
/// hedged and retried.
///
/// # Errors
///
/// Returns an error if a component cannot be started.
pub async fn bench_whole(requests: u64, seed: u64) -> Result<Vec<BenchFigure>> {
    let call = |id: u64| CallSpec {
        service: "rota-board".to_owned(),
        method: Method::GET,
        path: "/rota/item".to_owned(),
        id,
        service_time: Duration::from_micros(if id.is_multiple_of(50) { 60_000 } else { id % 2000 }),
        response_bytes: (id.wrapping_mul(0x9e37_79b9) % MAX_RESPONSE_BYTES as u64) as usize,
        needs_key: false,
    };
    let run = run_with_faults("rota-board", requests, seed, call, &inject_truncation).await?;
    Ok(guarantee_figures("whole", &run, seed))
}

/// [`CallEnd`] without details, for counting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallKind {
    Complete,
    WrongContent,
    Truncated,
    Refused,
    TargetError,
    NoResponse,
}

#[derive(Debug, Default)]
struct GuaranteeRun {
    requests: u64,
    kinds: BTreeMap<CallKind, u64>,
    /// Refusals by outcome and reason.
    outcomes: BTreeMap<(String, String), u64>,
    /// Number of idempotency keys executed more than once.
    duplicated_key_count: usize,
    /// Number of requests reported as `not-run` that were executed.
    false_not_run: u64,
    faults: u64,
}

impl GuaranteeRun {
    fn count(&self, kind: CallKind) -> u64 {
        self.kinds.get(&kind).copied().unwrap_or(0)
    }

    fn record(&mut self, result: &CallerResult) {
        let kind = match &result.end {
            CallEnd::Complete => CallKind::Complete,
            CallEnd::WrongContent => CallKind::WrongContent,
            CallEnd::Truncated => CallKind::Truncated,
            CallEnd::TargetError(_) => CallKind::TargetError,
            CallEnd::NoResponse => CallKind::NoResponse,
            CallEnd::Refused { outcome, reason } => {
                *self.outcomes.entry((outcome.clone(), reason.clone())).or_default() += 1;
                CallKind::Refused
            }
        };
        *self.kinds.entry(kind).or_default() += 1;
    }
}

type FaultScript = dyn InjectFaults;

/// Injects faults into a cluster until `is_finished` is set. Returns the number of faults.
trait InjectFaults: Sync {
    fn inject<'a>(
        &'a self,
        cluster: &'a mut ClusterStandin,
        rng: &'a mut SmallRng,
        is_finished: &'a AtomicBool,
    ) -> std::pin::Pin<Box<dyn Future<Output = Result<u64>> + Send + 'a>>;
}

impl<F> InjectFaults for F
where
    F: for<'a> Fn(
            &'a mut ClusterStandin,
            &'a mut SmallRng,
            &'a AtomicBool,
        ) -> std::pin::Pin<Box<dyn Future<Output = Result<u64>> + Send + 'a>>
        + Sync,
{
    fn inject<'a>(
        &'a self,
        cluster: &'a mut ClusterStandin,
        rng: &'a mut SmallRng,
        is_finished: &'a AtomicBool,
    ) -> std::pin::Pin<Box<dyn Future<Output = Result<u64>> + Send + 'a>> {
        self(cluster, rng, is_finished)
    }
}

async fn run_with_faults(
    service: &str,
    requests: u64,
    seed: u64,
    make_call: impl Fn(u64) -> CallSpec + Clone + Send + 'static,
    faults: &FaultScript,
) -> Result<GuaranteeRun> {
    let spec = cooperative();
    let services = spec.services.iter().filter(|known| known.document.name == service).cloned().collect();
    let spec = DeploymentSpec { services, entry_vm_count: 6, ..spec };
    let mut cluster = ClusterStandin::start(spec, ClusterOptions::default()).await?;
    let callers = make_callers(&cluster);
    let ledger = cluster.ledger.clone();
    let is_finished = Arc::new(AtomicBool::new(false));
    let finished = is_finished.clone();
    let load = tokio::spawn(async move {
        let results = run_calls(requests, callers, make_call).await;
        finished.store(true, Ordering::Relaxed);
        results
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let fault_count = faults.inject(&mut cluster, &mut rng, &is_finished).await?;
    let results = load.await?;
    let mut run = GuaranteeRun { requests, faults: fault_count, ..GuaranteeRun::default() };
    for (id, result) in &results {
        run.record(result);
        let is_not_run = matches!(&result.end, CallEnd::Refused { outcome, .. } if outcome == "not-run");
        run.false_not_run += u64::from(is_not_run && ledger.run_count(*id) > 0);
    }
    run.duplicated_key_count = ledger.duplicated_key_count();
    cluster.shut_down();
    Ok(run)
}

async fn run_calls(
    requests: u64,
    callers: Vec<Arc<CallerStandin>>,
    make_call: impl Fn(u64) -> CallSpec + Clone + Send + 'static,
) -> Vec<(u64, CallerResult)> {
    let next = Arc::new(AtomicU64::new(1));
    let mut workers = JoinSet::new();
    for worker in 0..CONCURRENCY {
        let caller = callers[worker as usize % callers.len()].clone();
        let (next, make_call) = (next.clone(), make_call.clone());
        workers.spawn(async move {
            let mut results = Vec::new();
            loop {
                let id = next.fetch_add(1, Ordering::Relaxed);
                if id > requests {
                    return results;
                }
                let result = caller.call(&make_call(id)).await;
                let is_refused = matches!(result.end, CallEnd::Refused { .. });
                results.push((id, result));
                if is_refused {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    workers.join_all().await.concat()
}

fn inject_faults<'a>(
    cluster: &'a mut ClusterStandin,
    rng: &'a mut SmallRng,
    is_finished: &'a AtomicBool,
) -> std::pin::Pin<Box<dyn Future<Output = Result<u64>> + Send + 'a>> {
    Box::pin(async move {
        let mut count = 0;
        while !is_finished.load(Ordering::Relaxed) {
            inject_fault(cluster, rng).await?;
            count += 1;
            tokio::time::sleep(FAULT_INTERVAL).await;
        }
        Ok(count)
    })
}

async fn inject_fault(cluster: &mut ClusterStandin, rng: &mut SmallRng) -> Result<()> {
    let targets: Vec<Arc<TargetStandin>> = cluster.targets.values().flatten().cloned().collect();
    let target = &targets[rng.random_range(0..targets.len())];
    let toggle = |flag: &AtomicBool| flag.fetch_xor(true, Ordering::Relaxed);
    match rng.random_range(0..7) {
        0 => {
            let index = rng.random_range(0..cluster.entry_vms.len());
            cluster.entry_vms.remove(index).kill();
            cluster.start_entry_vm()?;
        }
        1 => drop(toggle(&target.control.is_refusing)),
        2 => drop(toggle(&target.control.is_failing)),
        3 => target.control.truncation_permille.store(TRUNCATION_PERMILLE * 5, Ordering::Relaxed),
        4 => drop(toggle(&cluster.platform.control.is_down)),
        5 => isolate_entry_vm(cluster, rng),
        _ => targets.iter().for_each(|target| {
            target.control.is_refusing.store(false, Ordering::Relaxed);
            target.control.is_failing.store(false, Ordering::Relaxed);
            target.control.truncation_permille.store(0, Ordering::Relaxed);
        }),
    }
    Ok(())
}

/// Isolates a random entry VM from all others, or reconnects all entry VMs, with equal probability.
fn isolate_entry_vm(cluster: &ClusterStandin, rng: &mut SmallRng) {
    let candidate = rng.random_range(0..cluster.entry_vms.len() * 2);
    let isolated = cluster.entry_vms.get(candidate).map(|entry_vm| entry_vm.peer_address());
    for entry_vm in &cluster.entry_vms {
        let is_isolated = Some(entry_vm.peer_address()) == isolated;
        let all = cluster.entry_vms.iter().map(|other| other.peer_address());
        let blocked: HashSet<_> = if is_isolated { all.collect() } else { isolated.into_iter().collect() };
        entry_vm.control_handle().send(ControlEvent::BlockPeers(blocked));
    }
}

fn inject_truncation<'a>(
    cluster: &'a mut ClusterStandin,
    rng: &'a mut SmallRng,
    is_finished: &'a AtomicBool,
) -> std::pin::Pin<Box<dyn Future<Output = Result<u64>> + Send + 'a>> {
    Box::pin(async move {
        let targets: Vec<Arc<TargetStandin>> = cluster.targets.values().flatten().cloned().collect();
        targets.iter().for_each(|target| {
            target.control.truncation_permille.store(TRUNCATION_PERMILLE, Ordering::Relaxed)
        });
        let mut count = 0;
        while !is_finished.load(Ordering::Relaxed) {
            let target = &targets[rng.random_range(0..targets.len())];
            target.control.slowdown_permille.store(rng.random_range(500..8000), Ordering::Relaxed);
            count += 1;
            tokio::time::sleep(FAULT_INTERVAL / 4).await;
        }
        Ok(count)
    })
}

fn guarantee_figures(name: &str, run: &GuaranteeRun, seed: u64) -> Vec<BenchFigure> {
    let figure =
        |label: &str, value: f64, unit| BenchFigure::plain(format!("{name}/{label}"), value, unit, seed);
    let must_be_zero =
        |label: &str, value: f64| figure(label, value, "count").with_bound(BoundSide::AtMost, 0.0);
    let mut figures = vec![
        figure("requests", run.requests as f64, "count"),
        figure("faults", run.faults as f64, "count"),
        must_be_zero("doubled", run.duplicated_key_count as f64),
        must_be_zero("false-not-run", run.false_not_run as f64),
        must_be_zero("mixed-or-falsely-whole", run.count(CallKind::WrongContent) as f64),
        figure("whole", run.count(CallKind::Complete) as f64, "count"),
        figure("visibly-broken", run.count(CallKind::Truncated) as f64, "count"),
        figure("target-errors", run.count(CallKind::TargetError) as f64, "count"),
        figure("unanswered", run.count(CallKind::NoResponse) as f64, "count"),
    ];
    for ((outcome, reason), count) in &run.outcomes {
        figures.push(figure(&format!("refused/{outcome}/{reason}"), *count as f64, "count"));
    }
    figures
}
