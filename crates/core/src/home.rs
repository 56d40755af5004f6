//! Entry VMs responsible for a service (its homes), and the home that owns each target.
//!
//! Both follow from rendezvous hashing over the live entry VMs, so that all entry VMs with the
//! same membership agree without messages, and a change of membership moves little.

use crate::ids::{DomainName, IncarnationId};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry VM that can be a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Chooses up to `count` homes of a service, spread over failure domains in turn.
pub fn choose_homes(service: &str, candidates: &[HomeCandidate], count: usize) -> Vec<HomeCandidate> {
    let mut domains: BTreeMap<&str, Vec<&HomeCandidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    let mut members_by_domain: Vec<(u64, Vec<&HomeCandidate>)> = domains
        .into_iter()
        .map(|(domain, members)| {
            (hash_with_seed(service, hash_with_seed(domain, 0)), sort_members(service, members))
        })
        .collect();
    members_by_domain.sort_by_key(|(weight, _)| *weight);
    let max_members = members_by_domain.iter().map(|(_, members)| members.len()).max().unwrap_or(0);
    let rows = (0..max_members)
        .flat_map(|row| members_by_domain.iter().filter_map(move |(_, members)| members.get(row)));
    rows.take(count).map(|candidate| (*candidate).clone()).collect()
}

fn sort_members<'a>(service: &str, mut members: Vec<&'a HomeCandidate>) -> Vec<&'a HomeCandidate> {
    members.sort_by_key(|member| hash_with_seed(service, member.incarnation));
    members
}

/// The home that owns the slots of each target: one of the target's failure domain if there is
/// one, and the least loaded among equals.
pub fn assign_owners(
    homes: &[HomeCandidate],
    targets: &[(SocketAddr, DomainName)],
) -> BTreeMap<SocketAddr, IncarnationId> {
    let mut sorted: Vec<&(SocketAddr, DomainName)> = targets.iter().collect();
    sorted.sort();
    let mut loads: BTreeMap<IncarnationId, usize> = homes.iter().map(|home| (home.incarnation, 0)).collect();
    let fair_share = targets.len().div_ceil(homes.len().max(1));
    let mut owners = BTreeMap::new();
    let mut unassigned = Vec::new();
    for (address, domain) in sorted {
        let local =
            homes.iter().filter(|home| home.domain == *domain && loads[&home.incarnation] < fair_share);
        match least_loaded(local, &loads) {
            Some(owner) => record_owner(*address, owner, &mut loads, &mut owners),
            None => unassigned.push(*address),
        }
    }
    for address in unassigned {
        if let Some(owner) = least_loaded(homes.iter(), &loads) {
            record_owner(address, owner, &mut loads, &mut owners);
        }
    }
    owners
}

fn least_loaded<'a>(
    homes: impl Iterator<Item = &'a HomeCandidate>,
    loads: &BTreeMap<IncarnationId, usize>,
) -> Option<IncarnationId> {
    homes.map(|home| home.incarnation).min_by_key(|incarnation| (loads[incarnation], *incarnation))
}

fn record_owner(
    address: SocketAddr,
    owner: IncarnationId,
    loads: &mut BTreeMap<IncarnationId, usize>,
    owners: &mut BTreeMap<SocketAddr, IncarnationId>,
) {
    *loads.entry(owner).or_default() += 1;
    owners.insert(address, owner);
}

/// An entry VM that can be a home, and the slots of targets whose work it can carry.
pub type SizedCandidate = (HomeCandidate, u32);

/// Chooses homes until they carry `slots` and are at least `min_homes`: the largest first, and among
/// equals spread over failure domains.
pub fn choose_homes_by_capacity(
    host: &str,
    candidates: &[SizedCandidate],
    slots: u32,
    min_homes: usize,
) -> Vec<HomeCandidate> {
    let mut tiers: BTreeMap<u32, Vec<HomeCandidate>> = BTreeMap::new();
    for (candidate, capacity) in candidates {
        tiers.entry(*capacity).or_default().push(candidate.clone());
    }
    let mut homes = Vec::new();
    let mut total_capacity = 0u32;
    for (capacity, tier) in tiers.into_iter().rev() {
        for home in choose_homes(host, &tier, tier.len()) {
            if homes.len() >= min_homes && total_capacity >= slots {
                return homes;
            }
            total_capacity = total_capacity.saturating_add(capacity);
            homes.push(home);
        }
    }
    homes
}

/// Homes that share the targets of one cell.
pub const HOMES_PER_CELL: usize = 2;

/// The targets that one home serves. Homes stand in cells of [`HOMES_PER_CELL`], and each target belongs
/// to one cell, so that what a home knows, asks and connects to does not grow with the fleet.
/// `None` when `own` is no home.
pub fn cell_targets(
    own: IncarnationId,
    homes: &[HomeCandidate],
    targets: &[(SocketAddr, DomainName)],
) -> Option<HashSet<SocketAddr>> {
    let mut sorted: Vec<HomeCandidate> = homes.to_vec();
    sorted.sort_by(|left, right| (&left.domain, left.incarnation).cmp(&(&right.domain, right.incarnation)));
    let cells: Vec<&[HomeCandidate]> = sorted.chunks(HOMES_PER_CELL).collect();
    let owner_of_cell = |cell: &&[HomeCandidate]| cell[0].clone();
    let cell_owners: Vec<HomeCandidate> = cells.iter().map(owner_of_cell).collect();
    let own_cell = cells.iter().find(|cell| cell.iter().any(|home| home.incarnation == own))?;
    let owner = own_cell[0].incarnation;
    let owners = assign_owners(&cell_owners, targets);
    Some(owners.into_iter().filter(|(_, home)| *home == owner).map(|(address, _)| address).collect())
}

/// Orders homes for one caller: its own failure domain first, then by a hash that spreads callers.
pub fn order_for_caller(
    mut homes: Vec<HomeCandidate>,
    caller: &str,
    caller_domain: Option<&str>,
) -> Vec<HomeCandidate> {
    homes.sort_by_key(|home| {
        let is_remote = caller_domain.is_none_or(|domain| home.domain != domain);
        (is_remote, hash_with_seed(caller, home.incarnation))
    });
    homes
}

/// Number that stands for a name, for candidates that keep their place over restarts.
pub fn hash_name(name: &str) -> u64 {
    hash_with_seed(name, 0)
}

fn hash_with_seed(text: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
