//! Soak of client accounts, evacuations and cold targets, for soaks with `--accounts`.
//!
//! Callers send requests with current, removed and unknown API keys, and more than an account may send. Meanwhile versions
//! of the configuration replace a key, the failure domain of some targets is evacuated, targets restart cold, the store
//! stalls, and processes are killed and paused.
//!
//! Checked, from what callers and targets observe:
//!
//! - a target gets the name of the account that holds the caller's key, and never the key;
//! - a request sent later than [`REVOCATION`] after its key was removed never runs, whatever happens to the process;
//! - an account with a limit gets no more than its limit, with the tolerance of the settings, in any [`LIMIT_WINDOW`];
//! - a cold target gets no more than its limit, with the tolerance, in any second;
//! - an evacuated domain gets no request later than [`EVACUATION`], unless the store or a process was disturbed shortly before;
//! - a key that is always valid is never rejected as unknown, and its requests are served after all faults are cleared.

use super::arrivals::{ArrivalLog, DomainTarget, RequestKey};
use super::caller::{connect, exchange};
use super::fleet::SoakFleet;
use super::proxy::{ProxyMode, SoakProxy};
use crate::platform::PlatformStandin;
use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after which a removed key must not be accepted anywhere.
pub(super) const REVOCATION: Duration = Duration::from_secs(3);
/// Time after which an evacuated domain must get no more requests.
pub(super) const EVACUATION: Duration = Duration::from_secs(3);
/// Window in which the requests of an account are counted.
pub(super) const LIMIT_WINDOW: Duration = Duration::from_secs(5);
/// Limit of the account [`LIMITED`], in requests per second, and its burst.
pub(super) const LIMIT_PER_SECOND: f64 = 20.0;
/// Requests per second that a cold target tolerates.
pub(super) const COLD_PER_SECOND: f64 = 10.0;
/// Time for which a target is cold after a start.
pub(super) const COLD_TIME: Duration = Duration::from_secs(3);
/// Account with a limit, whose keys are replaced.
pub(super) const LIMITED: &str = "limited";
/// Account without a limit, whose key is always valid.
pub(super) const STEADY: &str = "steady";
/// Platform bounds of the processes besides the time to stop.
const BOUNDS: &str = "\"ConfigApply\":\"2s\",\"StrictRevoke\":true,\"Revoke\":\"3s\",\"Evacuate\":\"3s\",\
    \"QuotaWindow\":\"5s\",\"QuotaOverrun\":0.1,\"QuotaSlack\":20,\"WarmupOverrun\":1.5,\"WarmupSlack\":8";
/// Domains of the targets; the last one is evacuated at times.
const DOMAINS: [&str; 6] = ["z", "z", "z", "z", "y", "y"];
const CALLER_COUNT: usize = 16;
/// Time for which service may recover after all faults are cleared.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
const FINAL_READS: usize = 30;
const MIN_FINAL_READS_SERVED: usize = 27;

/// Parameters of a soak of accounts.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// Path of the `sniperelay` binary.
    pub binary: PathBuf,
    /// Seed of the faults and of the requests.
    pub seed: u64,
    /// Number of entry VM processes.
    pub entry_vm_count: usize,
    /// Number of faults.
    pub fault_count: usize,
}

/// Result of a soak of accounts.
#[derive(Debug, Default)]
pub struct AccountReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that ran.
    pub arrivals: usize,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

/// What the operator, the targets and the callers of the soak share.
struct SoakShared {
    store: Arc<PlatformStandin>,
    log: ArrivalLog,
    /// Index of the limited account's current key.
    key_index: AtomicU64,
    is_stopped: AtomicBool,
}

/// Runs one soak.
///
/// # Errors
///
/// Returns an error if the processes cannot be started.
pub async fn run_account_soak(plan: &AccountPlan) -> Result<AccountReport> {
    let store = PlatformStandin::start().await?;
    let proxy = SoakProxy::start(store.address()).await?;
    let log = ArrivalLog::default();
    let mut targets = Vec::new();
    for (index, domain) in DOMAINS.iter().enumerate() {
        targets.push(DomainTarget::start(index, domain, log.clone(), store.clone()).await?);
    }
    let shared =
        Arc::new(SoakShared { store, log, key_index: AtomicU64::new(1), is_stopped: AtomicBool::new(false) });
    shared.store.put("config/main", make_config(1).to_string());
    let fleet = SoakFleet::start_with_bounds(&plan.binary, plan.entry_vm_count, proxy.address(), BOUNDS)?;
    fleet.wait_ready().await;
    let start_caller = |index: usize| {
        tokio::spawn(run_caller(shared.clone(), fleet.clone(), plan.seed * 1000 + index as u64))
    };
    let callers: Vec<_> = (0..CALLER_COUNT).map(start_caller).collect();
    let mut report = AccountReport::default();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let started_at = Instant::now();
    for _ in 0..plan.fault_count {
        let fault = inject_fault(plan, &mut rng, &shared, &fleet, &proxy, &targets).await;
        report.faults.push(format!("{:.1?} {fault}", started_at.elapsed()));
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..1500))).await;
    }
    proxy.set_mode(ProxyMode::PassThrough);
    shared.log.set_store_disturbed(false);
    end_evacuation(&shared);
    tokio::time::sleep(RECOVERY_TIME).await;
    shared.is_stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    let served = count_served(&shared, &fleet).await;
    if served < MIN_FINAL_READS_SERVED {
        report
            .violations
            .push(format!("{served} of {FINAL_READS} requests served after all faults were cleared"));
    }
    report.violations.extend(fleet.violations());
    report.violations.extend(shared.log.find_violations());
    (report.requests, report.arrivals) = shared.log.counts();
    fleet.kill_all();
    Ok(report)
}

/// Returns a configuration in which the limited account holds the key with this index.
fn make_config(key_index: u64) -> Value {
    let mut config = super::make_config(key_index);
    config["Services"]["soak"]["Warmup"] = format!("{}ms", COLD_TIME.as_millis()).into();
    config["Services"]["soak"]["WarmupPerS"] = COLD_PER_SECOND.into();
    config["Tenants"] = json!({
        LIMITED: {"ApiKeys": [limited_key(key_index)], "RatePerS": LIMIT_PER_SECOND, "Burst": LIMIT_PER_SECOND},
        STEADY: {"ApiKeys": ["steady-key"], "Priority": 0},
    });
    config
}

fn limited_key(index: u64) -> String {
    format!("limited-key-{index}")
}

async fn inject_fault(
    plan: &AccountPlan,
    rng: &mut SmallRng,
    shared: &SoakShared,
    fleet: &SoakFleet,
    proxy: &SoakProxy,
    targets: &[Arc<DomainTarget>],
) -> String {
    let vm = rng.random_range(0..plan.entry_vm_count);
    match rng.random_range(0..10) {
        0..=2 => replace_key(shared),
        3 => {
            shared.log.set_store_disturbed(true);
            proxy.set_mode(ProxyMode::Stall);
            "store stalls".to_owned()
        }
        4 | 5 => {
            proxy.set_mode(ProxyMode::PassThrough);
            shared.log.set_store_disturbed(false);
            "store responds".to_owned()
        }
        6 => {
            shared.log.record_signal();
            if rng.random_bool(0.5) { fleet.kill(vm) } else { fleet.pause(vm, Duration::from_secs(4)) }
        }
        7 => {
            let target = &targets[rng.random_range(0..targets.len())];
            target.restart();
            format!("target {} restarts", target.index())
        }
        8 => {
            shared.store.put("evacuations/y", "{}");
            shared.log.begin_evacuation();
            "evacuation begins".to_owned()
        }
        _ => end_evacuation(shared),
    }
}

fn replace_key(shared: &SoakShared) -> String {
    let removed = shared.key_index.load(Ordering::Relaxed);
    shared.store.put("config/main", make_config(removed + 1).to_string());
    shared.log.record_removal(removed);
    shared.key_index.store(removed + 1, Ordering::Relaxed);
    format!("key {removed} removed")
}

fn end_evacuation(shared: &SoakShared) -> String {
    shared.log.end_evacuation();
    shared.store.delete("evacuations/y");
    "evacuation ends".to_owned()
}

/// Sends requests until the soak is stopped: most with the current key or one that was removed lately.
async fn run_caller(shared: Arc<SoakShared>, fleet: SoakFleet, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut number = 0_u64;
    while !shared.is_stopped.load(Ordering::Relaxed) {
        number += 1;
        let current = shared.key_index.load(Ordering::Relaxed);
        let key = match rng.random_range(0..10) {
            0..=5 => RequestKey::Limited(current.saturating_sub(rng.random_range(0..3)).max(1)),
            6..=8 => RequestKey::Steady,
            _ => RequestKey::Unknown,
        };
        send_request(&shared, &fleet, &format!("{seed:x}-{number:x}"), key, rng.random_range(0..usize::MAX))
            .await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..40))).await;
    }
}

/// Sends a read on a new connection. Returns the status of the response, 0 if there is none.
async fn send_request(shared: &SoakShared, fleet: &SoakFleet, id: &str, key: RequestKey, vm: usize) -> u16 {
    let Some(mut stream) = connect(fleet, vm).await else { return 0 };
    let text = match key {
        RequestKey::Limited(index) => limited_key(index),
        RequestKey::Steady => "steady-key".to_owned(),
        RequestKey::Unknown => "no-key".to_owned(),
    };
    shared.log.record_request(id, key);
    let request = format!(
        "GET /read/1 HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         X-Credential: {text}\r\nX-Tenant: forged\r\n\r\n"
    );
    let response = exchange(&mut stream, &request).await;
    let status = response.as_ref().map_or(0, |response| response.status());
    shared.log.record_status(id, status);
    status
}

async fn count_served(shared: &SoakShared, fleet: &SoakFleet) -> usize {
    let mut served = 0;
    for number in 0..FINAL_READS {
        let id = format!("final-{number}");
        served += usize::from(send_request(shared, fleet, &id, RequestKey::Steady, number).await == 200);
    }
    served
}
