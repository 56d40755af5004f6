//! End-to-end demo on real sockets. Runs the services of both users on several entry VMs under a
//! short load while one entry VM fails, one is stopped, a document is edited and the platform is
//! unavailable.

use crate::caller::{CallEnd, CallerStandin};
use crate::cluster::{ADMIN_TOKEN, ClusterOptions, ClusterStandin, send_operator_request};
use crate::deployment::{DeploymentSpec, cooperative, trust};
use crate::load::{ArrivalResult, RankLoad, StatsTable, generate_arrivals, send_arrivals, summarize};
use anyhow::Result;
use http::{Method, StatusCode};
use sniperelay_core::document::ServiceDocument;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Share of the slots that the load occupies on average.
const UTILIZATION: f64 = 0.4;
/// Mean service time.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Time, from sending an edit, for which the demo waits until it is in force on every entry VM.
const EDIT_TIMEOUT: Duration = Duration::from_secs(2);
const CALLER_COUNT: usize = 24;
const SEED: u64 = 1;

/// Result of one check of the demo.
#[derive(Debug, Clone)]
pub struct DemoCheck {
    /// Property that was checked.
    pub name: String,
    /// Whether the check passed.
    pub holds: bool,
    /// Observed value.
    pub observed: String,
}

/// Runs the demo for both deployments and prints a table for each. Returns whether every check
/// passed.
///
/// # Errors
///
/// Returns an error if a component cannot be started.
pub async fn run_demo() -> Result<bool> {
    let mut all_hold = true;
    for spec in [cooperative(), trust()] {
        let checks = run_deployment(spec).await?;
        for check in &checks {
            println!("  [{}] {}: {}", if check.holds { "ok" } else { "FAILED" }, check.name, check.observed);
        }
        println!();
        all_hold &= checks.iter().all(|check| check.holds);
    }
    println!("{}", if all_hold { "all checks passed" } else { "a check FAILED" });
    Ok(all_hold)
}

async fn run_deployment(spec: DeploymentSpec) -> Result<Vec<DemoCheck>> {
    println!("{}: {} entry VMs in {} failure domains", spec.name, spec.entry_vm_count, spec.domains.len());
    let documents: Vec<ServiceDocument> =
        spec.services.iter().map(|service| service.document.clone()).collect();
    let loads = make_loads(&spec);
    let mut cluster = ClusterStandin::start(spec, ClusterOptions::default()).await?;
    let callers = make_callers(&cluster);
    let arrivals = generate_arrivals(&loads, &documents, SEED);
    let load = tokio::spawn(async move { send_arrivals(arrivals, &callers).await });
    let mut checks = inject_faults(&mut cluster).await?;
    let results = load.await?;
    let table = summarize(&results, Duration::ZERO, LOAD_DURATION);
    print_table(&documents, &table);
    checks.extend(check_results(&cluster, &results));
    cluster.shut_down();
    Ok(checks)
}

fn make_loads(spec: &DeploymentSpec) -> Vec<RankLoad> {
    let shares = [0.5, 0.3, 0.2];
    let services = spec.services.iter().flat_map(|service| {
        let slots = service.target_count as f64 * f64::from(service.document.slots_per_target);
        let rate = slots * UTILIZATION / SERVICE_TIME.as_secs_f64();
        shares.iter().enumerate().map(move |(rank, share)| RankLoad {
            service: service.document.name.clone(),
            rank,
            arrivals_per_second: rate * share,
            service_time: SERVICE_TIME,
            response_bytes: if rank == 2 { 100_000 } else { 2_000 },
            from: Duration::ZERO,
            until: LOAD_DURATION,
        })
    });
    services.collect()
}

/// Creates callers distributed evenly over the failure domains of a cluster.
pub fn make_callers(cluster: &ClusterStandin) -> Vec<Arc<CallerStandin>> {
    let domains = &cluster.spec.domains;
    let caller = |index: usize| {
        let domain = domains[index % domains.len()].clone();
        Arc::new(CallerStandin::with_seed_list(cluster.caller_seeds.clone(), Some(domain)))
    };
    (0..CALLER_COUNT).map(caller).collect()
}

/// Edits a document, then kills an entry VM, then stops another one during a platform outage. The
/// load runs meanwhile. Returns the checks of the edit and of the stop.
async fn inject_faults(cluster: &mut ClusterStandin) -> Result<Vec<DemoCheck>> {
    tokio::time::sleep(LOAD_DURATION / 8).await;
    let edit = check_edit(cluster).await?;
    tokio::time::sleep(LOAD_DURATION / 8).await;
    cluster.entry_vms.remove(2).kill();
    tokio::time::sleep(LOAD_DURATION / 8).await;
    cluster.platform.control.is_down.store(true, Ordering::Relaxed);
    let stopped = cluster.entry_vms.remove(5).stop().await?;
    cluster.platform.control.is_down.store(false, Ordering::Relaxed);
    let stop = DemoCheck {
        name: "an entry VM stops cleanly during a platform outage".to_owned(),
        holds: stopped,
        observed: format!("clean: {stopped}"),
    };
    Ok(vec![edit, stop])
}

async fn check_edit(cluster: &ClusterStandin) -> Result<DemoCheck> {
    let service = &cluster.spec.services[0];
    let name = &service.document.name;
    let text = service.text.replace("hedge-percent = 10", "hedge-percent = 4");
    let started = Instant::now();
    // The write is applied, but its response is lost.
    cluster.platform.control.responses_to_lose.store(1, Ordering::Relaxed);
    let operator = cluster.entry_vms[1].operator_address();
    let path = format!("/config/{name}?base=1");
    let (status, body) =
        send_operator_request(operator, Method::PUT, &path, Some(ADMIN_TOKEN), &text).await?;
    let is_in_force = || {
        cluster.entry_vms.iter().all(|entry_vm| {
            let services = entry_vm.node_state().services.load();
            services.get(name).is_some_and(|entry| entry.document.retry.hedge_share == 0.04)
        })
    };
    while !is_in_force() && started.elapsed() < EDIT_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let holds = status == StatusCode::OK && is_in_force();
    Ok(DemoCheck {
        name: "an edit whose response was lost is accepted and in force on every entry VM within 2 s"
            .to_owned(),
        holds,
        observed: if holds { format!("{:.0?}", started.elapsed()) } else { format!("{status} {body}") },
    })
}

fn check_results(cluster: &ClusterStandin, results: &[ArrivalResult]) -> Vec<DemoCheck> {
    let count = |condition: &dyn Fn(&ArrivalResult) -> bool| {
        results.iter().filter(|result| condition(result)).count()
    };
    let wrong_content = count(&|result| result.call.end == CallEnd::WrongContent);
    let incomplete = count(&|result| matches!(result.call.end, CallEnd::Truncated | CallEnd::NoResponse));
    let duplicated = cluster.ledger.duplicated_key_count();
    let false_not_run = count(&|result| {
        let is_not_run = matches!(&result.call.end, CallEnd::Refused { outcome, .. } if outcome == "not-run");
        is_not_run && cluster.ledger.run_count(result.arrival.spec.id) > 0
    });
    let is_served = |result: &ArrivalResult| {
        result.call.end == CallEnd::Complete && result.call.head_latency <= result.arrival.latency_target
    };
    let urgent = count(&|result| result.arrival.rank == 0);
    let served = count(&|result| result.arrival.rank == 0 && is_served(result));
    let share = served as f64 / urgent.max(1) as f64;
    let check = |name: &str, holds, observed: String| DemoCheck { name: name.to_owned(), holds, observed };
    vec![
        check(
            "every response is complete and belongs to its request",
            wrong_content == 0,
            format!("{wrong_content} with wrong content of {}", results.len()),
        ),
        check("no response was truncated or missing", incomplete == 0, format!("{incomplete} lost")),
        check(
            "no idempotency key was executed twice",
            duplicated == 0,
            format!("{duplicated} doubled of {}", cluster.ledger.key_count()),
        ),
        check(
            "requests reported as not-run were not executed",
            false_not_run == 0,
            format!("{false_not_run} false"),
        ),
        check(
            "urgent requests meet their latency target while an entry VM fails",
            share >= 0.99,
            format!("{:.2} %", share * 100.0),
        ),
    ]
}

fn print_table(documents: &[ServiceDocument], table: &StatsTable) {
    println!(
        "  {:<14}{:<13}{:>9}{:>9}{:>7}{:>9}{:>8}{:>10}{:>10}{:>10}",
        "service", "rank", "arrivals", "on time", "late", "refused", "other", "p50 ms", "p99 ms", "p99.9 ms"
    );
    for ((service, rank), stats) in table {
        let document = documents.iter().find(|document| document.name == *service);
        let name = document.map_or("?", |document| document.ranks[*rank].name.as_str());
        let other = stats.truncated + stats.wrong_content + stats.target_errors + stats.no_response;
        let millis = |quantile| stats.latency_quantile(quantile).as_secs_f64() * 1000.0;
        println!(
            "  {service:<14}{name:<13}{:>9}{:>9}{:>7}{:>9}{other:>8}{:>10.1}{:>10.1}{:>10.1}",
            stats.arrivals,
            stats.on_time,
            stats.late,
            stats.refusal_count(),
            millis(0.5),
            millis(0.99),
            millis(0.999),
        );
        for ((outcome, reason), count) in &stats.refusals {
            println!("  {:<27}refused: {outcome}, {reason}: {count}", "");
        }
    }
}
