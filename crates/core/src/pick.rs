//! Choice of a target among those with a free slot.
//!
//! The product's own policies are [`PickPolicy::SlotCredit`], implemented here, and
//! [`PickPolicy::SharedSlots`], implemented by the dispatcher. The cost of a choice by slot credit is
//! independent of the number of targets, because only a bounded sample of the free list is compared.
//! The other policies are baselines for comparison in benchmarks.

use crate::ids::TargetKey;
use crate::target::{TargetState, TargetTable};
use rand::Rng;
use rand::rngs::SmallRng;
use std::str::FromStr;

/// Number of targets compared for one choice. One more is sampled, because the sample may contain
/// the target to avoid.
const SAMPLE_SIZE: usize = 4;

/// Score penalty that ranks a target on trial after all others.
const TRIAL_PENALTY: f64 = 10.0;

/// Policy by which a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickPolicy {
    /// Late binding to slots owned by this entry VM.
    SlotCredit,
    /// Late binding to slots shared with the other entry VMs, by reported load and speed.
    SharedSlots,
    /// A target chosen uniformly at random.
    Random,
    /// All targets in turn.
    RoundRobin,
    /// The target with the fewest requests in flight from this entry VM.
    LeastOutstanding,
    /// The one of two random targets with fewer requests in flight.
    TwoChoices,
}

impl PickPolicy {
    /// All policies with their names.
    pub const ALL: &'static [(&'static str, Self)] = &[
        ("slot-credit", Self::SlotCredit),
        ("shared-slots", Self::SharedSlots),
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("least-outstanding", Self::LeastOutstanding),
        ("two-choices", Self::TwoChoices),
    ];

    /// Returns whether requests are sent at once, without ranks, queues or limits.
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::SlotCredit | Self::SharedSlots)
    }
}

impl FromStr for PickPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, policy)| *policy).ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
            format!("unknown policy '{text}', must be one of {}", names.join(", "))
        })
    }
}

/// Chooses a target with a free slot. The baseline policies ignore `avoid`; the others never choose
/// it.
pub fn pick_target(
    table: &TargetTable,
    policy: PickPolicy,
    avoid: Option<TargetKey>,
    round_robin_index: usize,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    match policy {
        PickPolicy::SlotCredit | PickPolicy::SharedSlots => pick_least_occupied(table, avoid, rng),
        PickPolicy::Random => pick_random(table, rng),
        PickPolicy::RoundRobin => pick_round_robin(table, round_robin_index),
        PickPolicy::LeastOutstanding => pick_least_outstanding(table),
        PickPolicy::TwoChoices => pick_two_choices(table, rng),
    }
}

fn pick_least_occupied(
    table: &TargetTable,
    avoid: Option<TargetKey>,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    table.free_lists().iter().find_map(|list| pick_from_sample(table, list, avoid, rng))
}

fn pick_from_sample(
    table: &TargetTable,
    list: &[TargetKey],
    avoid: Option<TargetKey>,
    rng: &mut SmallRng,
) -> Option<TargetKey> {
    let offset = if list.len() > SAMPLE_SIZE { rng.random_range(0..list.len()) } else { 0 };
    let sample = (0..list.len().min(SAMPLE_SIZE + 1)).map(|step| list[(offset + step) % list.len()]);
    let candidates = sample.filter_map(|key| table.get(key).map(|target| (key, target)));
    // A further attempt must not be sent to another straggler.
    let allowed =
        candidates.filter(|(key, target)| avoid.is_none_or(|avoid| *key != avoid && !target.is_on_trial()));
    let scored = allowed.map(|(key, target)| (key, occupancy_score(target)));
    scored.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(key, _)| key)
}

/// Returns a measure of the expected wait at a target, from its occupancy and its latency relative to
/// its peers; lower is better.
fn occupancy_score(target: &TargetState) -> f64 {
    let limit = f64::from(target.limit().max(1));
    let trial_penalty = if target.is_on_trial() { TRIAL_PENALTY } else { 0.0 };
    f64::from(target.in_flight) / limit + target.relative_latency * 0.5 + trial_penalty
}

fn pick_random(table: &TargetTable, rng: &mut SmallRng) -> Option<TargetKey> {
    let total: usize = table.free_lists().iter().map(Vec::len).sum();
    if total == 0 {
        return None;
    }
    nth_free(table, rng.random_range(0..total))
}

fn nth_free(table: &TargetTable, index: usize) -> Option<TargetKey> {
    let [local, remote] = table.free_lists();
    local.get(index).or_else(|| remote.get(index - local.len())).copied()
}

fn pick_round_robin(table: &TargetTable, round_robin_index: usize) -> Option<TargetKey> {
    let total: usize = table.free_lists().iter().map(Vec::len).sum();
    (total > 0).then(|| nth_free(table, round_robin_index % total)).flatten()
}

fn pick_least_outstanding(table: &TargetTable) -> Option<TargetKey> {
    let keys = table.free_lists().iter().flatten();
    keys.copied().min_by_key(|key| table.get(*key).map_or(u32::MAX, |target| target.in_flight))
}

fn pick_two_choices(table: &TargetTable, rng: &mut SmallRng) -> Option<TargetKey> {
    let first = pick_random(table, rng)?;
    let second = pick_random(table, rng)?;
    let in_flight = |key: TargetKey| table.get(key).map_or(u32::MAX, |target| target.in_flight);
    Some(if in_flight(second) < in_flight(first) { second } else { first })
}
