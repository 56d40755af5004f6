//! Fault soak of `sniperelay relay` processes on loopback.
//!
//! Callers send requests throughout the soak. Meanwhile the store discards its change history or returns from an
//! older copy, targets
//! respond incorrectly (among others: cut and stalled bodies, late second copies, heads and bodies without
//! end), proxies reset, stall and delay connections, and signals stop, kill and pause the
//! processes.
//!
//! Throughout the soak, each page of a list that may be old shows a state of its own age.
//!
//! The soak checks the guarantees as callers and targets observe them:
//!
//! - a response with status 200 has the complete body that belongs to its request, and the request ran;
//! - a non-idempotent request runs at most once;
//! - a claim whose response status means that it was refused (408, 421, 429 or 503) has not run;
//! - a route that always exists is always found;
//! - a process exits only on a signal, and completes a planned stop within twice the time that its
//!   settings allow;
//! - service recovers after all faults are cleared;
//! - with crashing requests only: a request that crashes each target that begins to run it is hardly sent on once it
//!   has crashed three; see [`crash`].
//!
//! Not checked: that every request gets a complete response; that a process never returns to an older
//! configuration version, although the versions increase during the soak; and which signal ended a
//! process, so a crash by a signal is not reported.
//!
//! A violation names the request or the entry VM process that it concerns. The command prints the seed.
//!
//! | module | job |
//! |---|---|
//! | [`accounts`] | soak of client accounts, evacuations and cold targets |
//! | [`arrivals`] | its targets, its log and its checks |
//! | [`caller`] | callers, and the log of their requests |
//! | [`crash`] | a request that crashes targets, if the plan has it |
//! | [`fleet`] | entry VM processes and signals |
//! | [`limit`] | limits that targets state, if the plan has them |
//! | [`stops`] | soak of planned stops alone, in which each request must be answered |
//! | [`proxy`] | loopback proxy that injects faults |
//! | [`target`] | targets that count the runs of each request |

pub mod accounts;
mod arrivals;
pub mod caller;
pub mod crash;
pub mod fleet;
pub mod limit;
pub mod proxy;
pub mod stops;
pub mod target;

use crate::platform::{PlatformStandin, StoreCopy};
use anyhow::Result;
use caller::{RequestLog, run_caller};
use crash::{CrashLog, CrashingCaller};
use fleet::SoakFleet;
use limit::{CALM_TIME, FAULTS_BETWEEN_CALMS, LimitLog};
use proxy::{ProxyMode, SoakProxy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use target::{RunCounter, SoakTarget, TargetLogs};

/// Number of entry VM processes, unless the plan is to have another one.
pub const ENTRY_VM_COUNT: usize = 5;
const TARGET_COUNT: usize = 6;
const CALLER_COUNT: usize = 12;
/// Objects on one page of a list of the store, so that a list has several pages.
const PAGE_ITEMS: usize = 2;
/// Maximum age of the state from which the store answers a call that accepts old data: the most that the users' site files
/// have.
const MAX_STALENESS: Duration = Duration::from_secs(6);
/// Time for which service may recover after all faults are cleared, before the final reads are sent.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Minimum number of the [`FINAL_READS`] that must be served.
const MIN_FINAL_READS_SERVED: usize = 27;
/// Number of reads sent after the recovery time.
const FINAL_READS: usize = 30;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Path of the `sniperelay` binary.
    pub binary: PathBuf,
    /// Seed of the faults, of the requests and of the targets' responses.
    pub seed: u64,
    /// Number of faults, injected one after another.
    pub fault_count: usize,
    /// Number of entry VM processes.
    pub entry_vm_count: usize,
    /// Whether a caller also sends a request that crashes targets. The other faults stay the same.
    pub crashing_requests: bool,
    /// Whether some targets state limits. The other faults stay the same, with pauses between them.
    pub stated_limits: bool,
}

/// Result of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests served with status 200.
    pub served: usize,
    /// Number of targets that a request has crashed.
    pub crashes: usize,
    /// Number of sends of that request that count; see [`crash`].
    pub late_sends: usize,
    /// Number of windows in which a stated limit was checked; see [`limit`].
    pub limit_windows: usize,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

/// Returns a configuration with the given version. Its two routes are the same in all versions.
pub fn make_config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, priority: u32| {
        json!({"Host": "soak.example", "PathPrefix": prefix, "Kind": kind, "Timeout": "1500ms",
            "TargetLatency": "800ms", "Priority": priority, "MaxAttempts": 2, "Service": "soak"})
    };
    json!({
        "Version": format!("{version:08x}"),
        "Routes": {"read": route("/read/", "safe", 0), "claim": route("/claim/", "unsafe", 1)},
        "Services": {"soak": {"HealthPath": "/health", "MaxConnections": 500}},
        "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeout": "2s", "IdleTimeout": "5s"},
    })
}

/// The store, targets, proxies and processes into which faults are injected.
struct SoakEnvironment {
    rng: SmallRng,
    store: Arc<PlatformStandin>,
    store_proxy: Arc<SoakProxy>,
    targets: Vec<(Arc<SoakTarget>, Arc<SoakProxy>)>,
    fleet: SoakFleet,
    crash_log: CrashLog,
    limit_log: Option<LimitLog>,
    config_version: u64,
    entry_vm_count: usize,
    /// Copy from which the store returns with a later fault.
    store_copy: Option<StoreCopy>,
}

/// Runs one soak.
///
/// # Errors
///
/// Returns an error if the processes cannot be started.
pub async fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    let run_counter = RunCounter::default();
    let crash_log = CrashLog::default();
    let mut environment = SoakEnvironment::start(plan, &run_counter, &crash_log).await?;
    let request_log = RequestLog::default();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|index| {
            tokio::spawn(run_caller(
                environment.fleet.clone(),
                request_log.clone(),
                plan.seed * 1000 + index as u64,
            ))
        })
        .collect();
    let crashing_caller =
        plan.crashing_requests.then(|| CrashingCaller::start(environment.fleet.clone(), plan.seed));
    let mut report = SoakReport::default();
    let started_at = Instant::now();
    for number in 1..=plan.fault_count {
        let fault = environment.inject_fault().await;
        report.faults.push(format!("{:.1?} {fault}", started_at.elapsed()));
        let pause = environment.rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if plan.stated_limits && number.is_multiple_of(FAULTS_BETWEEN_CALMS) {
            tokio::time::sleep(CALM_TIME).await;
        }
    }
    environment.clear_faults();
    if let Some(caller) = crashing_caller {
        caller.finish().await;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    request_log.stop();
    for caller in callers {
        caller.await?;
    }
    let unserved = caller::send_final_reads(&environment.fleet, &request_log, FINAL_READS).await;
    if FINAL_READS - unserved.len() < MIN_FINAL_READS_SERVED {
        report.violations.push(format!(
            "{} of {FINAL_READS} requests not served after all faults were cleared: {}",
            unserved.len(),
            unserved.join(", ")
        ));
    }
    report.violations.extend(environment.fleet.violations());
    report.violations.extend(request_log.find_violations(&run_counter));
    report.violations.extend(crash_log.find_violation());
    if let Some(limit_log) = &environment.limit_log {
        report.limit_windows = limit_log.window_count();
        report.violations.extend(limit_log.find_violations());
    }
    (report.crashes, report.late_sends) = (crash_log.count(), crash_log.late_sends());
    (report.requests, report.served) = request_log.counts();
    environment.fleet.kill_all();
    Ok(report)
}

impl SoakEnvironment {
    async fn start(plan: &SoakPlan, run_counter: &RunCounter, crash_log: &CrashLog) -> Result<Self> {
        let limit_log = plan.stated_limits.then(LimitLog::default);
        let store = PlatformStandin::start().await?;
        store.set_page_items(PAGE_ITEMS);
        store.answer_stale_lists_from(MAX_STALENESS, plan.seed);
        let store_proxy = SoakProxy::start(store.address()).await?;
        let mut targets = Vec::new();
        for index in 0..TARGET_COUNT {
            let name = format!("t{index}");
            let logs = TargetLogs {
                run_counter: run_counter.clone(),
                crash_log: crash_log.clone(),
                limit_log: limit_log.clone().map(|log| (index, log)),
            };
            let target = SoakTarget::start(&name, logs, plan.seed + index as u64).await?;
            let proxy = SoakProxy::start(target.address()).await?;
            targets.push((target, proxy));
        }
        store.put("config/main", make_config(1).to_string());
        let fleet = SoakFleet::start(&plan.binary, plan.entry_vm_count, store_proxy.address())?;
        let environment = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            store,
            store_proxy,
            targets,
            fleet,
            crash_log: crash_log.clone(),
            limit_log,
            config_version: 1,
            entry_vm_count: plan.entry_vm_count,
            store_copy: None,
        };
        (0..TARGET_COUNT).for_each(|index| environment.register_target(index, "ready"));
        environment.fleet.wait_ready().await;
        Ok(environment)
    }

    /// Registers a target in the store with the given state.
    fn register_target(&self, index: usize, state: &str) {
        let (target, proxy) = &self.targets[index];
        let entry = json!({"Service": "soak", "Address": proxy.address(), "Zone": "z", "Slots": 4,
            "State": state, "WarmupLeft": "0ms"});
        self.store.put(&format!("servers/{}", target.name()), entry.to_string());
    }

    /// Injects one random fault and returns its description.
    async fn inject_fault(&mut self) -> String {
        let index = self.rng.random_range(0..TARGET_COUNT);
        let vm = self.rng.random_range(0..self.entry_vm_count);
        match self.rng.random_range(0..15) {
            0 => self.set_store_mode(ProxyMode::Stall),
            1 => self.set_store_mode(ProxyMode::Reset),
            2 => self.set_store_mode(ProxyMode::Delay(Duration::from_millis(400))),
            3 => self.set_store_mode(ProxyMode::PassThrough),
            4 => self.set_target_mode(index, ProxyMode::Reset),
            5 => self.set_target_mode(index, ProxyMode::HoldResponses),
            6 => self.set_target_mode(index, ProxyMode::PassThrough),
            kind @ 7..=9 => self.signal_entry_vm(kind, vm),
            10 => {
                self.crash_log.record_store_event();
                self.store.discard_changes();
                "store drops its change history".to_owned()
            }
            11 => {
                self.store_copy = Some(self.store.take_copy());
                "store is copied".to_owned()
            }
            12 => self.restore_store(),
            13 => {
                let state = if self.rng.random_bool(0.5) { "draining" } else { "ready" };
                self.register_target(index, state);
                format!("target {index} {state}")
            }
            _ => {
                self.config_version += 1 + self.rng.random_range(0..3);
                self.store.put("config/main", make_config(self.config_version).to_string());
                format!("configuration {}", self.config_version)
            }
        }
    }

    /// Sends the signal that belongs to a kind of fault.
    fn signal_entry_vm(&self, kind: u32, vm: usize) -> String {
        self.crash_log.record_signal();
        self.limit_log.iter().for_each(LimitLog::record_signal);
        match kind {
            7 => self.fleet.kill(vm),
            8 => self.fleet.stop(vm),
            _ => self.fleet.pause(vm, Duration::from_millis(1500)),
        }
    }

    /// Lets the store return from the last copy, if there is one. The operator and the targets write again what
    /// they have written, as they do on the platform.
    fn restore_store(&mut self) -> String {
        let Some(copy) = self.store_copy.take() else { return "store has no copy".to_owned() };
        self.crash_log.record_store_event();
        self.store.restore(&copy);
        self.store.put("config/main", make_config(self.config_version).to_string());
        (0..TARGET_COUNT).for_each(|index| self.register_target(index, "ready"));
        "store returns from a copy".to_owned()
    }

    fn set_store_mode(&self, mode: ProxyMode) -> String {
        match mode {
            ProxyMode::PassThrough => self.crash_log.record_store_cleared(),
            _ => self.crash_log.record_store_fault(),
        }
        self.store_proxy.set_mode(mode);
        format!("store {mode:?}")
    }

    fn set_target_mode(&self, index: usize, mode: ProxyMode) -> String {
        self.targets[index].1.set_mode(mode);
        format!("target {index} {mode:?}")
    }

    /// Clears the faults of the store, the proxies and the registrations. The fleet restarts and resumes
    /// processes by itself.
    fn clear_faults(&mut self) {
        self.limit_log.iter().for_each(LimitLog::end_limits);
        self.set_store_mode(ProxyMode::PassThrough);
        self.targets.iter().for_each(|(_, proxy)| proxy.set_mode(ProxyMode::PassThrough));
        (0..TARGET_COUNT).for_each(|index| self.register_target(index, "ready"));
        self.store.control.responses_to_lose.store(0, Ordering::Relaxed);
    }
}
