//! Benchmark of a routing policy, and of a baseline with the same arrivals, on real entry VMs and
//! sockets.

use crate::bench::bound::{Foresight, central_queue, nearest_rank_quantile, value_bound};
use crate::bench::report::{BenchFigure, BoundSide};
use crate::bench::scenario::{MEASURED_TIME, SERVICE_NAME, SLOT_COUNT, Scenario, TARGET_COUNT, WARM_UP_TIME};
use crate::cluster::{ClusterOptions, ClusterStandin};
use crate::demo::make_callers;
use crate::deployment::{DeployedService, DeploymentSpec, cooperative};
use crate::load::{Arrival, MAX_LAG, StatsTable, generate_arrivals, lag_quantile, send_arrivals, summarize};
use anyhow::Result;
use serde_json::json;
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::reason::RetryReason;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum time after the end of a flood until service is back to normal. Results of later arrivals are
/// summarized separately.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Results of one run of one policy.
#[derive(Debug)]
struct PolicyRun {
    policy: String,
    /// Results of the measured part.
    table: StatsTable,
    /// Results after the measured part and [`MAX_RECOVERY_TIME`].
    recovered: StatsTable,
    arrivals: Vec<Arrival>,
    /// Lag of the load generator at the 99th percentile.
    lag: Duration,
    probes: u64,
    peer_bytes: u64,
    peer_messages: u64,
    control_cpu: Duration,
    retries: u64,
    hedges: u64,
    /// Maximum number of connections open to one target at the same time.
    peak_connections: u64,
    duplicated_key_count: usize,
}

/// Runs a scenario with `policy` and then with `baseline`. The bounds on served value, on-time share and
/// latency apply to the policy `slot-credit` only.
///
/// # Errors
///
/// Returns an error if the scenario is unknown or a component cannot be started.
pub async fn bench_policy(
    scenario_name: &str,
    policy: &str,
    baseline: Option<&str>,
    seed: u64,
) -> Result<Vec<BenchFigure>> {
    let scenario = Scenario::find(scenario_name)?;
    let mut figures = Vec::new();
    for name in std::iter::once(policy).chain(baseline) {
        eprintln!("{scenario_name}, policy {name}, seed {seed}");
        let run = run_scenario(scenario, name, seed).await?;
        let is_evaluated = name == "slot-credit";
        figures.extend(make_figures(scenario, scenario_name, &run, seed, is_evaluated));
    }
    Ok(figures)
}

fn make_spec() -> DeploymentSpec {
    let spec = cooperative();
    let services: Vec<DeployedService> =
        spec.services.iter().filter(|service| service.document.name == SERVICE_NAME).cloned().collect();
    DeploymentSpec { services, ..spec }
}

async fn run_scenario(scenario: Scenario, policy: &str, seed: u64) -> Result<PolicyRun> {
    let spec = make_spec();
    debug_assert_eq!(spec.services[0].target_count, TARGET_COUNT);
    let documents: Vec<ServiceDocument> =
        spec.services.iter().map(|service| service.document.clone()).collect();
    let options = ClusterOptions { policy: policy.to_owned(), ..ClusterOptions::default() };
    let mut cluster = ClusterStandin::start(spec, options).await?;
    let callers = make_callers(&cluster);
    let arrivals = generate_arrivals(&scenario.loads(), &documents, seed);
    let load_arrivals = arrivals.clone();
    let load = tokio::spawn(async move { send_arrivals(load_arrivals, &callers).await });
    scenario.inject_faults(&mut cluster, seed).await?;
    let results = load.await?;
    let end = WARM_UP_TIME + MEASURED_TIME;
    let run = PolicyRun {
        policy: policy.to_owned(),
        table: summarize(&results, WARM_UP_TIME, end),
        recovered: summarize(&results, end + MAX_RECOVERY_TIME, Duration::MAX),
        arrivals,
        lag: lag_quantile(&results, 0.99),
        probes: sum_process(&cluster, |process| process.probe_calls.load(Ordering::Relaxed)),
        peer_bytes: sum_process(&cluster, |process| process.peer_bytes_sent.load(Ordering::Relaxed)),
        peer_messages: sum_process(&cluster, |process| process.peer_messages_sent.load(Ordering::Relaxed)),
        control_cpu: Duration::from_micros(sum_process(&cluster, |process| {
            process.control_cpu_micros.load(Ordering::Relaxed)
        })),
        retries: count_retries(&cluster, |reason| reason != RetryReason::Hedge),
        hedges: count_retries(&cluster, |reason| reason == RetryReason::Hedge),
        peak_connections: peak_connections(&cluster),
        duplicated_key_count: cluster.ledger.duplicated_key_count(),
    };
    cluster.shut_down();
    Ok(run)
}

fn sum_process(
    cluster: &ClusterStandin,
    value: impl Fn(&sniperelay_node::metrics::ProcessCounters) -> u64,
) -> u64 {
    cluster.entry_vms.iter().map(|entry_vm| value(entry_vm.node_state().metrics.process())).sum()
}

fn count_retries(cluster: &ClusterStandin, is_counted: impl Fn(RetryReason) -> bool) -> u64 {
    let ranks = cluster.entry_vms.iter().flat_map(|entry_vm| entry_vm.node_state().metrics.all_ranks());
    ranks
        .map(|(_, counters)| {
            let reasons = RetryReason::ALL.iter().filter(|reason| is_counted(**reason));
            reasons.map(|reason| counters.retries[reason.index()].load(Ordering::Relaxed)).sum::<u64>()
        })
        .sum()
}

fn peak_connections(cluster: &ClusterStandin) -> u64 {
    let targets = cluster.targets.values().flatten();
    targets.map(|target| target.control.peak_connections.load(Ordering::Relaxed)).max().unwrap_or(0)
}

fn make_figures(
    scenario: Scenario,
    scenario_name: &str,
    run: &PolicyRun,
    seed: u64,
    is_evaluated: bool,
) -> Vec<BenchFigure> {
    let spec = make_spec();
    let document = &spec.services[0].document;
    let prefix = format!("{scenario_name}/{}", run.policy);
    let mut figures = rank_figures(document, run, &prefix, seed);
    figures.push(value_figure(
        document,
        run,
        &prefix,
        seed,
        Foresight::All,
        scenario.is_flood() && is_evaluated,
    ));
    figures.push(value_figure(document, run, &prefix, seed, Foresight::MeanTimes, false));
    figures.extend(process_figures(document, run, &prefix, seed));
    if is_evaluated {
        figures.extend(evaluation_figures(scenario, document, run, &prefix, seed));
    }
    figures
}

fn measured_arrivals(run: &PolicyRun) -> Vec<Arrival> {
    let is_measured = |arrival: &&Arrival| (WARM_UP_TIME..WARM_UP_TIME + MEASURED_TIME).contains(&arrival.at);
    run.arrivals.iter().filter(is_measured).cloned().collect()
}

fn rank_figures(document: &ServiceDocument, run: &PolicyRun, prefix: &str, seed: u64) -> Vec<BenchFigure> {
    let mut figures = Vec::new();
    for ((_, rank), stats) in &run.table {
        let name = &document.ranks[*rank].name;
        let share = stats.on_time as f64 / stats.arrivals.max(1) as f64;
        let refusals: Vec<_> = stats
            .refusals
            .iter()
            .map(|((outcome, reason), count)| json!({"outcome": outcome, "reason": reason, "count": count}))
            .collect();
        let millis = |quantile| stats.latency_quantile(quantile).as_secs_f64() * 1000.0;
        let detail = json!({
            "arrivals": stats.arrivals, "on_time": stats.on_time, "late": stats.late,
            "refused": refusals, "target_errors": stats.target_errors, "unanswered": stats.no_response,
            "broken": stats.truncated, "mixed": stats.wrong_content,
            "p50_ms": millis(0.5), "p99_ms": millis(0.99), "p999_ms": millis(0.999),
        });
        figures.push(
            BenchFigure::plain(format!("{prefix}/{name}/on-time"), share, "share", seed).with_detail(detail),
        );
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            figures.push(BenchFigure::plain(
                format!("{prefix}/{name}/{label}"),
                millis(quantile),
                "ms",
                seed,
            ));
        }
    }
    figures
}

fn served_value(document: &ServiceDocument, table: &StatsTable) -> f64 {
    table.iter().map(|((_, rank), stats)| document.ranks[*rank].worth * stats.on_time as f64).sum()
}

fn value_figure(
    document: &ServiceDocument,
    run: &PolicyRun,
    prefix: &str,
    seed: u64,
    foresight: Foresight,
    is_bounded: bool,
) -> BenchFigure {
    let bound = value_bound(&measured_arrivals(run), document, SLOT_COUNT, MEASURED_TIME, foresight);
    let label = match foresight {
        Foresight::All => "value-of-all-knowing",
        Foresight::MeanTimes => "value-of-knowing-means",
    };
    let ratio = served_value(document, &run.table) / bound;
    let figure = BenchFigure::plain(format!("{prefix}/{label}"), ratio, "share", seed);
    if is_bounded { figure.with_bound(BoundSide::AtLeast, 0.95) } else { figure }
}

/// Returns figures of the load generator, the entry VMs and the targets. Figures per entry VM refer to
/// the 13 entry VMs at the start of the run.
fn process_figures(document: &ServiceDocument, run: &PolicyRun, prefix: &str, seed: u64) -> Vec<BenchFigure> {
    let span = run.arrivals.last().map_or(1.0, |arrival| arrival.at.as_secs_f64());
    let plain =
        |name: &str, value: f64, unit| BenchFigure::plain(format!("{prefix}/{name}"), value, unit, seed);
    let retry_share = run.retries as f64 / run.arrivals.len().max(1) as f64;
    let lag_millis = run.lag.as_secs_f64() * 1000.0;
    vec![
        plain("load-tool-lag-p99", lag_millis, "ms")
            .with_bound(BoundSide::AtMost, MAX_LAG.as_secs_f64() * 1000.0),
        plain("probes", run.probes as f64, "calls"),
        plain("peer-bytes-per-vm", run.peer_bytes as f64 / 13.0 / span, "B/s"),
        plain("peer-messages-per-vm", run.peer_messages as f64 / 13.0 / span, "1/s"),
        plain("control-cpu-per-vm", run.control_cpu.as_secs_f64() / 13.0 / span * 100.0, "%core"),
        plain("retries", retry_share, "share").with_bound(BoundSide::AtMost, document.retry.retry_share),
        plain("hedges", run.hedges as f64 / run.arrivals.len().max(1) as f64, "share")
            .with_bound(BoundSide::AtMost, document.retry.hedge_share),
        plain("doubled", run.duplicated_key_count as f64, "keys").with_bound(BoundSide::AtMost, 0.0),
        plain("peak-connections-per-target", run.peak_connections as f64, "count")
            .with_bound(BoundSide::AtMost, f64::from(document.connections_per_target)),
    ]
}

fn evaluation_figures(
    scenario: Scenario,
    document: &ServiceDocument,
    run: &PolicyRun,
    prefix: &str,
    seed: u64,
) -> Vec<BenchFigure> {
    let urgent = &run.table[&(SERVICE_NAME.to_owned(), 0)];
    let figure =
        |name: &str, value: f64, unit| BenchFigure::plain(format!("{prefix}/{name}"), value, unit, seed);
    let urgent_share = urgent.on_time as f64 / urgent.arrivals.max(1) as f64;
    let mut figures = Vec::new();
    match scenario {
        Scenario::FloodBulk => {
            figures
                .push(figure("urgent-on-time", urgent_share, "share").with_bound(BoundSide::AtLeast, 0.999));
            let middle = &run.table[&(SERVICE_NAME.to_owned(), 1)];
            let share = middle.on_time as f64 / middle.arrivals.max(1) as f64;
            figures.push(figure("middle-kept", share, "share").with_bound(BoundSide::AtLeast, 0.99));
        }
        Scenario::Steady70 | Scenario::Steady90 => figures.push(central_queue_figure(run, prefix, seed)),
        Scenario::Straggler | Scenario::Noisy | Scenario::FastFail => {
            // The bound is 1.5 times the latency of the central queue at the 99th percentile, for the same
            // arrivals without faults.
            let central = nearest_rank_quantile(central_queue(&measured_arrivals(run), 0, SLOT_COUNT), 0.99);
            let ratio = urgent.latency_quantile(0.99).as_secs_f64() / central.as_secs_f64();
            figures.push(figure("urgent-p99-of-steady", ratio, "ratio").with_bound(BoundSide::AtMost, 1.5));
        }
        _ => {}
    }
    if scenario.is_flood() {
        figures.extend(kept_share_figures(document, run, prefix, seed));
        let recovered = &run.recovered[&(SERVICE_NAME.to_owned(), 0)];
        let share = recovered.on_time as f64 / recovered.arrivals.max(1) as f64;
        figures.push(figure("urgent-on-time-1s-after", share, "share").with_bound(BoundSide::AtLeast, 0.999));
    }
    figures
}

fn central_queue_figure(run: &PolicyRun, prefix: &str, seed: u64) -> BenchFigure {
    let central = nearest_rank_quantile(central_queue(&measured_arrivals(run), 0, SLOT_COUNT), 0.99);
    let measured = run.table[&(SERVICE_NAME.to_owned(), 0)].latency_quantile(0.99);
    let ratio = measured.as_secs_f64() / central.as_secs_f64();
    let detail = json!({"central_p99_ms": central.as_secs_f64() * 1000.0});
    BenchFigure::plain(format!("{prefix}/urgent-p99-of-central-queue"), ratio, "ratio", seed)
        .with_bound(BoundSide::AtMost, 1.3)
        .with_detail(detail)
}

/// Returns the ratio of served to guaranteed slot time for each rank. A rank is guaranteed its kept
/// share of all slot time, or its whole demand if that is less. Only responses within the latency
/// target count as served.
fn kept_share_figures(
    document: &ServiceDocument,
    run: &PolicyRun,
    prefix: &str,
    seed: u64,
) -> Vec<BenchFigure> {
    let capacity = SLOT_COUNT as f64 * MEASURED_TIME.as_secs_f64();
    let arrivals = measured_arrivals(run);
    let ranks = document.ranks.iter().enumerate();
    ranks
        .map(|(rank, policy)| {
            let times = arrivals.iter().filter(|arrival| arrival.rank == rank);
            let demand: f64 = times.map(|arrival| arrival.spec.service_time.as_secs_f64()).sum();
            let guaranteed = demand.min(policy.kept_share * capacity);
            let stats = &run.table[&(SERVICE_NAME.to_owned(), rank)];
            let served = demand * stats.on_time as f64 / stats.arrivals.max(1) as f64;
            let name = format!("{prefix}/{}/kept-of-promised", policy.name);
            BenchFigure::plain(name, served / guaranteed, "ratio", seed).with_bound(BoundSide::AtLeast, 0.98)
        })
        .collect()
}
