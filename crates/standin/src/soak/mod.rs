//! Fault soak: real entry VM processes on loopback, a store and targets that misbehave, proxies that
//! reset, silence and delay, signals that stop, kill and pause; callers that go on all the while.
//!
//! What is checked is what callers and targets see: own whole answers, non-idempotent requests at
//! most once, "not run" true, versions that never go back within one process run, planned stops
//! that end by themselves. A broken promise is reported with the seed and the requests' ids.
//!
//! | module | job |
//! |---|---|
//! | [`caller`] | callers, and what they were told |
//! | [`fleet`] | entry VM processes and signals |
//! | [`proxy`] | a loopback proxy with faults |
//! | [`target`] | targets that record what they ran |

pub mod caller;
pub mod fleet;
pub mod proxy;
pub mod target;

use crate::platform::PlatformStandin;
use anyhow::Result;
use caller::{CallerLedger, run_caller};
use fleet::SoakFleet;
use proxy::{ProxyMode, SoakProxy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use target::{SoakTarget, TargetLedger};

/// Entry VM processes.
const ENTRY_VMS: usize = 5;
/// Targets.
const TARGETS: usize = 6;
/// Callers.
const CALLERS: usize = 12;
/// Time after the last fault in which everything must work again.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Requests that must be served after that, of [`PROOF_REQUESTS`].
const PROOF_SERVED: usize = 27;
/// Requests sent after everything has settled.
const PROOF_REQUESTS: usize = 30;

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// The `sniperelay` binary.
    pub binary: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Faults, one after the other.
    pub faults: usize,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests sent.
    pub requests: usize,
    /// Answered by a target.
    pub served: usize,
    /// Faults in order.
    pub faults: Vec<String>,
    /// Broken promises, with ids.
    pub broken: Vec<String>,
}

/// The configuration at one version.
pub fn config(version: u64) -> Value {
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

/// Everything that a fault can touch.
struct SoakWorld {
    rng: SmallRng,
    store: Arc<PlatformStandin>,
    store_proxy: Arc<SoakProxy>,
    targets: Vec<(Arc<SoakTarget>, Arc<SoakProxy>)>,
    fleet: SoakFleet,
    version: u64,
}

/// Runs one soak.
///
/// # Errors
///
/// When the processes cannot be started.
pub async fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    let runs = TargetLedger::default();
    let mut world = SoakWorld::start(&plan.binary, plan.seed, &runs).await?;
    let ledger = CallerLedger::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            tokio::spawn(run_caller(world.fleet.clone(), ledger.clone(), plan.seed * 1000 + index as u64))
        })
        .collect();
    let mut report = SoakReport::default();
    for _ in 0..plan.faults {
        let fault = world.strike().await;
        report.faults.push(fault);
        let pause = world.rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    world.heal();
    tokio::time::sleep(SETTLE_TIME).await;
    ledger.stop();
    for caller in callers {
        caller.await?;
    }
    let served = caller::prove_service(&world.fleet, &ledger, PROOF_REQUESTS).await;
    if served < PROOF_SERVED {
        report
            .broken
            .push(format!("only {served} of {PROOF_REQUESTS} requests served after all faults have ended"));
    }
    report.broken.extend(world.fleet.broken());
    report.broken.extend(ledger.check(&runs));
    (report.requests, report.served) = ledger.counts();
    world.fleet.end();
    Ok(report)
}

impl SoakWorld {
    async fn start(binary: &Path, seed: u64, runs: &TargetLedger) -> Result<Self> {
        let store = PlatformStandin::start().await?;
        let store_proxy = SoakProxy::start(store.address()).await?;
        let mut targets = Vec::new();
        for index in 0..TARGETS {
            let target = SoakTarget::start(&format!("t{index}"), runs.clone(), seed + index as u64).await?;
            let proxy = SoakProxy::start(target.address()).await?;
            targets.push((target, proxy));
        }
        store.put("config/main", config(1).to_string());
        let fleet = SoakFleet::start(binary, ENTRY_VMS, store_proxy.address())?;
        let world =
            Self { rng: SmallRng::seed_from_u64(seed), store, store_proxy, targets, fleet, version: 1 };
        (0..TARGETS).for_each(|index| world.register(index, "ready"));
        world.fleet.wait_ready().await;
        Ok(world)
    }

    fn register(&self, index: usize, state: &str) {
        let (target, proxy) = &self.targets[index];
        let entry = json!({"Service": "soak", "Address": proxy.address(), "Zone": "z", "Slots": 4,
            "State": state, "WarmupLeft": "0ms"});
        self.store.put(&format!("servers/{}", target.name()), entry.to_string());
    }

    /// One fault, drawn by the seed.
    async fn strike(&mut self) -> String {
        let index = self.rng.random_range(0..TARGETS);
        let vm = self.rng.random_range(0..ENTRY_VMS);
        match self.rng.random_range(0..13) {
            0 => self.set_store(ProxyMode::Silent),
            1 => self.set_store(ProxyMode::Reset),
            2 => self.set_store(ProxyMode::Delayed(Duration::from_millis(400))),
            3 => self.set_store(ProxyMode::Through),
            4 => self.set_target(index, ProxyMode::Reset),
            5 => self.set_target(index, ProxyMode::OneWay),
            6 => self.set_target(index, ProxyMode::Through),
            7 => self.fleet.kill(vm),
            8 => self.fleet.stop(vm),
            9 => self.fleet.pause(vm, Duration::from_millis(1500)),
            10 => {
                self.store.discard_changes();
                "store forgets its history".to_owned()
            }
            11 => {
                let state = if self.rng.random_bool(0.5) { "draining" } else { "ready" };
                self.register(index, state);
                format!("target {index} {state}")
            }
            _ => {
                self.version += 1 + self.rng.random_range(0..3);
                self.store.put("config/main", config(self.version).to_string());
                format!("configuration {}", self.version)
            }
        }
    }

    fn set_store(&self, mode: ProxyMode) -> String {
        self.store_proxy.set(mode);
        format!("store {mode:?}")
    }

    fn set_target(&self, index: usize, mode: ProxyMode) -> String {
        self.targets[index].1.set(mode);
        format!("target {index} {mode:?}")
    }

    /// Ends all faults.
    fn heal(&mut self) {
        self.store_proxy.set(ProxyMode::Through);
        self.targets.iter().for_each(|(_, proxy)| proxy.set(ProxyMode::Through));
        (0..TARGETS).for_each(|index| self.register(index, "ready"));
        self.store.control.lose_responses.store(0, Ordering::Relaxed);
    }
}
