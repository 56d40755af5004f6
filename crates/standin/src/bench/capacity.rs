//! Cost of an entry VM as a linear function of one quantity, for docs/CAPACITY.md. Each sweep varies
//! one quantity, on real entry VMs and sockets.

use crate::bench::report::BenchFigure;
use crate::caller::CallerStandin;
use crate::cluster::{ClusterOptions, ClusterStandin, put_document, register_vm};
use crate::demo::make_callers;
use crate::deployment::{DeploymentSpec, cooperative};
use crate::load::{RankLoad, generate_arrivals, send_arrivals};
use anyhow::{Result, ensure};
use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_node::metrics::ProcessCounters;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Duration of a measurement in steady state.
const MEASURE_WINDOW: Duration = Duration::from_secs(8);
/// Delay between the readiness of the cluster and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Names of the sweeps, as given on the command line.
const SWEEP_NAMES: &[&str] = &["entry-vms", "targets", "services", "changes", "calls"];
/// Timeout for all documents to reach every entry VM.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(60);
const ENTRY_VM_COUNTS: &[usize] = &[4, 16, 64, 128];
const TARGET_COUNTS: &[usize] = &[100, 400, 1600, 6400];
const SERVICE_COUNTS: &[usize] = &[6, 60, 180, 470];
/// Numbers of entry VMs on which services are swept.
const SERVICE_ENTRY_VM_COUNTS: &[usize] = &[2, 32];
/// Document changes per second.
const CHANGE_RATES: &[u64] = &[0, 1, 4, 8];
/// Calls per second.
const CALL_RATES: &[f64] = &[250.0, 500.0, 1000.0, 2000.0];
const SECONDS_PER_NANOSECOND: f64 = 1e-9;

/// Mean cost of one entry VM in steady state.
#[derive(Debug, Clone, Copy, Default)]
struct EntryVmCost {
    /// Processor time of the control threads, in percent of one core.
    cpu_percent: f64,
    message_bytes_per_s: f64,
    wire_bytes_per_s: f64,
    messages_per_s: f64,
    platform_calls_per_s: f64,
    /// Growth of the resident memory of the whole process since before the cluster was started, divided
    /// by the number of entry VMs.
    memory_mb: f64,
}

/// Sweeps one quantity, or every quantity if `quantity` is `all`.
///
/// # Errors
///
/// Returns an error if a component cannot be started or the quantity is unknown.
pub async fn bench_capacity(quantity: &str, seed: u64) -> Result<Vec<BenchFigure>> {
    let is_selected = |name: &str| quantity == "all" || quantity == name;
    ensure!(
        quantity == "all" || SWEEP_NAMES.contains(&quantity),
        "unknown sweep '{quantity}', must be all or one of {SWEEP_NAMES:?}"
    );
    let mut figures = Vec::new();
    if is_selected("entry-vms") {
        figures.extend(sweep_entry_vms(seed).await?);
    }
    if is_selected("targets") {
        figures.extend(sweep_targets(seed).await?);
    }
    if is_selected("services") {
        figures.extend(sweep_services(seed).await?);
    }
    if is_selected("changes") {
        figures.extend(sweep_changes(seed).await?);
    }
    if is_selected("calls") {
        figures.extend(sweep_calls(seed).await?);
        figures.extend(measure_lookups(seed).await?);
    }
    Ok(figures)
}

fn one_target_spec(entry_vms: usize) -> DeploymentSpec {
    let mut spec = cooperative();
    spec.entry_vm_count = entry_vms;
    spec.services.iter_mut().for_each(|service| service.target_count = 1);
    spec
}

fn slow_heartbeat_options() -> ClusterOptions {
    ClusterOptions { heartbeat: Duration::from_secs(1), ..ClusterOptions::default() }
}

async fn sweep_entry_vms(seed: u64) -> Result<Vec<BenchFigure>> {
    let mut rows = Vec::new();
    for size in ENTRY_VM_COUNTS {
        eprintln!("capacity: {size} entry VMs");
        let before = resident_mb();
        let cluster = ClusterStandin::start(one_target_spec(*size), slow_heartbeat_options()).await?;
        rows.push((*size as f64, measure_cluster(&cluster, before).await));
        cluster.shut_down();
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    // The number of neighbours of an entry VM grows with the logarithm of the number of entry VMs, so
    // the cost is fitted to the logarithm.
    let logs: Vec<(f64, EntryVmCost)> = rows.iter().map(|(size, cost)| (size.log2(), *cost)).collect();
    let mut figures = row_figures("entry-vms", &rows, seed);
    figures.extend(fit_figures("entry-vms-log2", &logs, seed));
    Ok(figures)
}

async fn sweep_targets(seed: u64) -> Result<Vec<BenchFigure>> {
    let mut rows = Vec::new();
    for size in TARGET_COUNTS {
        eprintln!("capacity: {size} targets");
        let before = resident_mb();
        let cluster = ClusterStandin::start(one_target_spec(2), slow_heartbeat_options()).await?;
        for index in 0..*size {
            let address = SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8 + 1], 9));
            let domain = &cluster.spec.domains[index % 4];
            register_vm(
                &cluster.platform,
                VmRole::Target("rota-board".to_owned()),
                address,
                domain,
                VmState::Live,
            );
        }
        rows.push((*size as f64, measure_cluster(&cluster, before).await));
        cluster.shut_down();
    }
    let mut figures = row_figures("targets", &rows, seed);
    figures.extend(fit_figures("targets", &rows, seed));
    Ok(figures)
}

/// Sweeps the number of services, once on two entry VMs, each of which is a home of every service, and
/// once on more entry VMs, each of which is a home of few services.
async fn sweep_services(seed: u64) -> Result<Vec<BenchFigure>> {
    let mut figures = Vec::new();
    for entry_vms in SERVICE_ENTRY_VM_COUNTS {
        let mut rows = Vec::new();
        let mut spread_times = Vec::new();
        for size in SERVICE_COUNTS {
            eprintln!("capacity: {size} services on {entry_vms} entry VMs");
            let before = resident_mb();
            let cluster =
                ClusterStandin::start(one_target_spec(*entry_vms), slow_heartbeat_options()).await?;
            let text = cluster.spec.services[0].text.clone();
            for index in 0..*size {
                let name = format!("service-{index}");
                let text = text.replace("name = rota-board", &format!("name = {name}"));
                put_document(&cluster.platform, &name, &text);
            }
            spread_times.push((*size as f64, wait_for_services(&cluster, *size).await?.as_secs_f64()));
            rows.push((*size as f64, measure_cluster(&cluster, before).await));
            cluster.shut_down();
        }
        let name = format!("services-on-{entry_vms}-entry-vms");
        figures.extend(row_figures(&name, &rows, seed));
        figures.extend(spread_times.iter().map(|(size, seconds)| {
            BenchFigure::plain(format!("{name}/{size}/spread-of-all"), *seconds, "s", seed)
        }));
        figures.extend(fit_figures(&name, &rows, seed));
    }
    Ok(figures)
}

/// Waits until every entry VM has received `count` documents in addition to the initial ones, and
/// returns the time taken.
async fn wait_for_services(cluster: &ClusterStandin, count: usize) -> Result<Duration> {
    let started = Instant::now();
    let expected_count = count + cluster.spec.services.len();
    while !cluster
        .entry_vms
        .iter()
        .all(|entry_vm| entry_vm.node_state().services.load().len() >= expected_count)
    {
        ensure!(
            started.elapsed() < SPREAD_TIMEOUT,
            "documents did not reach every entry VM within {SPREAD_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(started.elapsed())
}

async fn sweep_changes(seed: u64) -> Result<Vec<BenchFigure>> {
    let mut rows = Vec::new();
    for rate in CHANGE_RATES {
        eprintln!("capacity: {rate} changes per second");
        let before = resident_mb();
        let cluster = ClusterStandin::start(one_target_spec(16), slow_heartbeat_options()).await?;
        let service = cluster.spec.services[0].clone();
        let platform = cluster.platform.clone();
        let rate = *rate;
        let writer = tokio::spawn(async move {
            let pause = Duration::from_secs(1).checked_div(rate as u32).unwrap_or(Duration::MAX);
            for generation in 2.. {
                tokio::time::sleep(pause).await;
                put_generation(&platform, &service.document.name, &service.text, generation);
            }
        });
        rows.push((rate as f64, measure_cluster(&cluster, before).await));
        writer.abort();
        cluster.shut_down();
    }
    let mut figures = row_figures("changes-per-second", &rows, seed);
    figures.extend(fit_figures("changes-per-second", &rows, seed));
    Ok(figures)
}

fn put_generation(platform: &crate::platform::PlatformStandin, name: &str, text: &str, generation: u64) {
    let value = serde_json::json!({
        "service": name, "text": text, "history": [],
        "mark": {"edit_id": generation, "generation": generation, "author": "bench", "unix_millis": 0},
    });
    platform.put(&format!("config/{name}"), value.to_string());
}

/// Measures the processor time per call of the traffic threads of one entry VM, by call rate.
async fn sweep_calls(seed: u64) -> Result<Vec<BenchFigure>> {
    let spec = cooperative();
    let services = spec.services[..1].to_vec();
    let spec = DeploymentSpec { services, entry_vm_count: 1, ..spec };
    let documents = vec![spec.services[0].document.clone()];
    let cluster = ClusterStandin::start(spec, slow_heartbeat_options()).await?;
    let callers = make_callers(&cluster);
    let mut points = Vec::new();
    let mut figures = Vec::new();
    for rate in CALL_RATES {
        eprintln!("capacity: {rate} calls per second");
        let load = RankLoad {
            service: "rota-board".to_owned(),
            rank: 0,
            arrivals_per_second: *rate,
            service_time: Duration::from_millis(10),
            response_bytes: 1000,
            from: Duration::ZERO,
            until: MEASURE_WINDOW,
        };
        let arrivals = generate_arrivals(&[load], &documents, seed);
        let calls = arrivals.len() as f64;
        let before = thread_cpu("traffic");
        send_arrivals(arrivals, &callers).await;
        let cpu = (thread_cpu("traffic") - before).as_secs_f64();
        points.push((calls / MEASURE_WINDOW.as_secs_f64(), cpu / MEASURE_WINDOW.as_secs_f64() * 100.0));
        figures.push(BenchFigure::plain(format!("calls/{rate}/cpu-per-call"), cpu / calls * 1e6, "us", seed));
    }
    cluster.shut_down();
    figures.extend(fit_line("calls/cpu", &points, "%core", seed));
    Ok(figures)
}

/// Measures the processor time of the traffic threads per lookup. All lookups go to one entry VM, in
/// a closed loop with a new connection for each.
async fn measure_lookups(seed: u64) -> Result<Vec<BenchFigure>> {
    let cluster = ClusterStandin::start(one_target_spec(16), slow_heartbeat_options()).await?;
    let address = cluster.caller_addresses()[0];
    let before = thread_cpu("traffic");
    let end = Instant::now() + MEASURE_WINDOW / 2;
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..8 {
        workers.spawn(async move {
            let mut count = 0u64;
            while Instant::now() < end {
                let caller = CallerStandin::new(vec![address], None);
                count += u64::from(!caller.entry_vm_addresses("rota-board").await.is_empty());
            }
            count
        });
    }
    let lookups: u64 = workers.join_all().await.iter().sum();
    let cpu = (thread_cpu("traffic") - before).as_secs_f64();
    cluster.shut_down();
    let per_lookup = cpu / lookups.max(1) as f64 * 1e6;
    Ok(vec![BenchFigure::plain("lookups/cpu-per-lookup-with-connection", per_lookup, "us", seed)])
}

async fn measure_cluster(cluster: &ClusterStandin, memory_before: f64) -> EntryVmCost {
    tokio::time::sleep(SETTLE_TIME).await;
    let count = cluster.entry_vms.len() as f64;
    let before = read_counters(cluster);
    tokio::time::sleep(MEASURE_WINDOW).await;
    let after = read_counters(cluster);
    let per_vm = |index: usize| (after[index] - before[index]) / count / MEASURE_WINDOW.as_secs_f64();
    EntryVmCost {
        cpu_percent: per_vm(0) * 100.0,
        message_bytes_per_s: per_vm(1),
        wire_bytes_per_s: per_vm(2),
        messages_per_s: per_vm(3),
        platform_calls_per_s: per_vm(4),
        memory_mb: (resident_mb() - memory_before) / count,
    }
}

/// Returns sums over all entry VMs, in the order that [`measure_cluster`] reads them: processor time of
/// the control threads in seconds, peer message bytes, peer bytes on the wire, peer messages, platform
/// calls.
fn read_counters(cluster: &ClusterStandin) -> [f64; 5] {
    let sum = |value: &dyn Fn(&ProcessCounters) -> u64| {
        let values = cluster.entry_vms.iter().map(|entry_vm| value(entry_vm.node_state().metrics.process()));
        values.sum::<u64>() as f64
    };
    [
        thread_cpu("control").as_secs_f64(),
        sum(&|process| process.peer_bytes_sent.load(Ordering::Relaxed)),
        sum(&|process| process.peer_wire_bytes.load(Ordering::Relaxed)),
        sum(&|process| process.peer_messages_sent.load(Ordering::Relaxed)),
        sum(&|process| process.platform_calls.load(Ordering::Relaxed)),
    ]
}

/// Returns the processor time of all threads of this process named `name`.
fn thread_cpu(name: &str) -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let nanos = tasks.filter_map(Result::ok).filter_map(|task| {
        let comm = std::fs::read_to_string(task.path().join("comm")).ok()?;
        let schedstat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos: u64 = schedstat.split_whitespace().next()?.parse().ok()?;
        (comm.trim() == name).then_some(nanos)
    });
    Duration::from_secs_f64(nanos.sum::<u64>() as f64 * SECONDS_PER_NANOSECOND)
}

/// Returns the resident memory of this process in MiB.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

type CostField = (&'static str, &'static str, fn(&EntryVmCost) -> f64);

const COST_FIELDS: &[CostField] = &[
    ("control-cpu", "%core", |cost| cost.cpu_percent),
    ("message-bytes", "B/s", |cost| cost.message_bytes_per_s),
    ("wire-bytes", "B/s", |cost| cost.wire_bytes_per_s),
    ("messages", "1/s", |cost| cost.messages_per_s),
    ("platform-calls", "1/s", |cost| cost.platform_calls_per_s),
    ("memory", "MB", |cost| cost.memory_mb),
];

fn row_figures(name: &str, rows: &[(f64, EntryVmCost)], seed: u64) -> Vec<BenchFigure> {
    let figures = rows.iter().flat_map(|(size, cost)| {
        COST_FIELDS.iter().map(move |(field, unit, value)| {
            BenchFigure::plain(format!("{name}/{size}/{field}"), value(cost), unit, seed)
        })
    });
    figures.collect()
}

fn fit_figures(name: &str, rows: &[(f64, EntryVmCost)], seed: u64) -> Vec<BenchFigure> {
    let fits = COST_FIELDS.iter().flat_map(|(field, unit, value)| {
        let points: Vec<(f64, f64)> = rows.iter().map(|(size, cost)| (*size, value(cost))).collect();
        fit_line(&format!("{name}/{field}"), &points, unit, seed)
    });
    fits.collect()
}

/// Fits a line by least squares. Returns its slope, intercept and largest absolute residual.
fn fit_line(name: &str, points: &[(f64, f64)], unit: &'static str, seed: u64) -> Vec<BenchFigure> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - intercept - slope * x).abs()).fold(0.0, f64::max);
    vec![
        BenchFigure::plain(format!("fit/{name}/slope"), slope, unit, seed),
        BenchFigure::plain(format!("fit/{name}/intercept"), intercept, unit, seed),
        BenchFigure::plain(format!("fit/{name}/largest-residual"), residual, unit, seed),
    ]
}
