//! Scenarios of the policy benchmark: loads and injected faults over time, on one service with 20
//! targets of 4 slots each.

use crate::cluster::ClusterStandin;
use crate::load::RankLoad;
use crate::target::NORMAL_SLOWDOWN;
use anyhow::{Result, bail};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_node::control::ControlEvent;
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Name of the service used by the scenarios.
pub const SERVICE_NAME: &str = "rota-board";
/// Number of targets.
pub const TARGET_COUNT: usize = 20;
/// Total number of slots of all targets.
pub const SLOT_COUNT: usize = 80;
/// Mean service time.
pub const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Duration of the load before the measured part.
pub const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Duration of the measured part. Floods last for all of it, and faults are injected during it.
pub const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Duration of the load after the measured part, in which the recovery is observed.
pub const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Share of the slots that each rank occupies on average at the steady load of 90 %.
const STEADY_SHARES: [f64; 3] = [0.4, 0.3, 0.2];

/// A load with injected faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Steady load of 70 % of the slots.
    Steady70,
    /// Steady load of 90 % of the slots.
    Steady90,
    /// Ten times the steady load of the least urgent rank.
    FloodBulk,
    /// Three times the steady load of the most urgent rank.
    FloodUrgent3,
    /// Ten times the steady load of the most urgent rank.
    FloodUrgent10,
    /// Ten times the steady load of the least urgent rank and three times that of the most urgent.
    FloodBoth,
    /// Three targets, chosen anew every 200 ms, run at a tenth of their speed.
    Straggler,
    /// Two targets respond with errors immediately.
    FastFail,
    /// Four targets leave, one after the other.
    Drain,
    /// Four targets join, one after the other, each slow at first.
    ColdStart,
    /// The speed of each target changes every 10 to 40 ms.
    Noisy,
    /// Two of 13 entry VMs fail.
    VmLoss,
    /// No entry VM receives messages from another entry VM.
    Partition,
}

impl Scenario {
    /// All scenarios with their names.
    pub const ALL: &'static [(&'static str, Self)] = &[
        ("steady-70", Self::Steady70),
        ("steady-90", Self::Steady90),
        ("flood-bulk", Self::FloodBulk),
        ("flood-urgent-3", Self::FloodUrgent3),
        ("flood-urgent-10", Self::FloodUrgent10),
        ("flood-both", Self::FloodBoth),
        ("straggler", Self::Straggler),
        ("fast-fail", Self::FastFail),
        ("drain", Self::Drain),
        ("cold-start", Self::ColdStart),
        ("noisy", Self::Noisy),
        ("vm-loss", Self::VmLoss),
        ("partition", Self::Partition),
    ];

    /// Returns the scenario named `name`.
    ///
    /// # Errors
    ///
    /// Returns an error that lists the known names if there is no such scenario.
    pub fn find(name: &str) -> Result<Self> {
        if let Some((_, scenario)) = Self::ALL.iter().find(|(known, _)| *known == name) {
            return Ok(*scenario);
        }
        let names: Vec<&str> = Self::ALL.iter().map(|(known, _)| *known).collect();
        bail!("unknown scenario '{name}', must be one of {}", names.join(", "))
    }

    /// Returns the loads of all ranks: the steady load, and the extra load of a flood.
    pub fn loads(self) -> Vec<RankLoad> {
        let total = match self {
            Self::Steady90 | Self::FloodBulk | Self::FloodUrgent3 | Self::FloodUrgent10 | Self::FloodBoth => {
                0.9
            }
            _ => 0.7,
        };
        let capacity = SLOT_COUNT as f64 / SERVICE_TIME.as_secs_f64();
        let steady = STEADY_SHARES.map(|share| share / 0.9 * total * capacity);
        let end = WARM_UP_TIME + MEASURED_TIME + RECOVERY_TIME;
        let mut loads: Vec<RankLoad> =
            (0..3).map(|rank| make_load(rank, steady[rank], Duration::ZERO, end)).collect();
        let factors = self.flood_factors();
        let floods = (0..3).filter(|rank| factors[*rank] > 1.0);
        loads.extend(floods.map(|rank| {
            let extra = steady[rank] * (factors[rank] - 1.0);
            make_load(rank, extra, WARM_UP_TIME, WARM_UP_TIME + MEASURED_TIME)
        }));
        loads
    }

    fn flood_factors(self) -> [f64; 3] {
        match self {
            Self::FloodBulk => [1.0, 1.0, 10.0],
            Self::FloodUrgent3 => [3.0, 1.0, 1.0],
            Self::FloodUrgent10 => [10.0, 1.0, 1.0],
            Self::FloodBoth => [3.0, 1.0, 10.0],
            _ => [1.0; 3],
        }
    }

    /// Returns whether the load of some rank exceeds its steady load.
    pub fn is_flood(self) -> bool {
        self.flood_factors() != [1.0; 3]
    }

    /// Injects the faults of the scenario, starting after [`WARM_UP_TIME`], and returns after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if a target cannot be started.
    pub async fn inject_faults(self, cluster: &mut ClusterStandin, seed: u64) -> Result<()> {
        tokio::time::sleep(WARM_UP_TIME).await;
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        match self {
            Self::Straggler => rotate_stragglers(cluster, &mut rng).await,
            Self::Noisy => vary_slowdowns(cluster, &mut rng).await,
            Self::FastFail => fail_fast(cluster).await,
            Self::Drain => drain_targets(cluster).await,
            Self::ColdStart => return add_targets(cluster).await,
            Self::VmLoss => {
                cluster.entry_vms.remove(4).kill();
                tokio::time::sleep(Duration::from_secs(2)).await;
                cluster.entry_vms.remove(8).kill();
            }
            Self::Partition => partition_entry_vms(cluster).await,
            _ => {}
        }
        Ok(())
    }
}

fn make_load(rank: usize, arrivals_per_second: f64, from: Duration, until: Duration) -> RankLoad {
    let service = SERVICE_NAME.to_owned();
    RankLoad {
        service,
        rank,
        arrivals_per_second,
        service_time: SERVICE_TIME,
        response_bytes: 1000,
        from,
        until,
    }
}

async fn rotate_stragglers(cluster: &ClusterStandin, rng: &mut SmallRng) {
    let targets = &cluster.targets[SERVICE_NAME];
    let end = Instant::now() + MEASURED_TIME;
    while Instant::now() < end {
        let slow: Vec<usize> = sample(rng, targets.len(), 3).into_vec();
        for (index, target) in targets.iter().enumerate() {
            let factor = if slow.contains(&index) { 10 } else { 1 };
            target.control.slowdown_permille.store(NORMAL_SLOWDOWN * factor, Ordering::Relaxed);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    targets
        .iter()
        .for_each(|target| target.control.slowdown_permille.store(NORMAL_SLOWDOWN, Ordering::Relaxed));
}

async fn vary_slowdowns(cluster: &ClusterStandin, rng: &mut SmallRng) {
    let targets = &cluster.targets[SERVICE_NAME];
    let end = Instant::now() + MEASURED_TIME;
    while Instant::now() < end {
        for target in targets {
            let permille = if rng.random_bool(0.1) { 2500 } else { rng.random_range(700..1200) };
            target.control.slowdown_permille.store(permille, Ordering::Relaxed);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(10..40))).await;
    }
    targets
        .iter()
        .for_each(|target| target.control.slowdown_permille.store(NORMAL_SLOWDOWN, Ordering::Relaxed));
}

async fn fail_fast(cluster: &ClusterStandin) {
    let failing = &cluster.targets[SERVICE_NAME][..2];
    failing.iter().for_each(|target| target.control.is_failing.store(true, Ordering::Relaxed));
    tokio::time::sleep(MEASURED_TIME).await;
    failing.iter().for_each(|target| target.control.is_failing.store(false, Ordering::Relaxed));
}

async fn drain_targets(cluster: &ClusterStandin) {
    for (index, target) in cluster.targets[SERVICE_NAME].iter().enumerate().take(4) {
        let domain = &cluster.spec.domains[index % cluster.spec.domains.len()];
        target.control.is_leaving.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let role = VmRole::Target(SERVICE_NAME.to_owned());
        crate::cluster::register_vm(&cluster.platform, role, target.address(), domain, VmState::Leaving);
    }
}

async fn add_targets(cluster: &mut ClusterStandin) -> Result<()> {
    for index in 0..4 {
        let target = cluster.add_target(SERVICE_NAME, 4, index).await?;
        target.control.slowdown_permille.store(NORMAL_SLOWDOWN * 4, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        target.control.slowdown_permille.store(NORMAL_SLOWDOWN, Ordering::Relaxed);
    }
    Ok(())
}

async fn partition_entry_vms(cluster: &ClusterStandin) {
    let addresses: HashSet<_> = cluster.entry_vms.iter().map(|entry_vm| entry_vm.peer_address()).collect();
    let block = |blocked: &HashSet<_>| {
        for entry_vm in &cluster.entry_vms {
            entry_vm.control_handle().send(ControlEvent::BlockPeers(blocked.clone()));
        }
    };
    block(&addresses);
    tokio::time::sleep(MEASURED_TIME).await;
    block(&HashSet::new());
}
