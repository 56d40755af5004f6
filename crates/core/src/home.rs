//! The entry VMs responsible for a service (its homes), and the home that owns each target.
//!
//! Both are computed by rendezvous hashing over the live entry VMs. Entry VMs with the same view of
//! the membership therefore agree without exchanging messages, and a membership change moves few
//! assignments.

use crate::account::AccountId;
use crate::ids::{DomainName, IncarnationId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry VM that can become a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Incarnation of the entry VM.
    pub incarnation: IncarnationId,
    /// Failure domain of the entry VM.
    pub domain: DomainName,
}

/// Chooses up to `count` homes for a service, round-robin over the failure domains.
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

/// Returns the home that owns the slots of each target: the least loaded home in the target's
/// failure domain that owns less than its fair share of targets, or else the least loaded home
/// overall.
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

/// An entry VM that can become a home, and its capacity: the number of target slots whose traffic it
/// can handle.
pub type SizedCandidate = (HomeCandidate, u32);

/// Chooses homes until their total capacity reaches `slots` and there are at least `min_homes`.
/// Candidates with the highest capacity come first; those of equal capacity are spread over the
/// failure domains.
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

/// Number of homes that share the targets of one cell.
pub const HOMES_PER_CELL: usize = 2;

/// Returns the targets that the home `own` serves, or `None` if `own` is not a home.
///
/// Homes are grouped into cells of [`HOMES_PER_CELL`], and each target belongs to one cell. The
/// number of targets that a home tracks, probes and connects to therefore does not grow with the
/// fleet.
pub fn cell_targets(
    own: IncarnationId,
    homes: &[HomeCandidate],
    targets: &[(SocketAddr, DomainName)],
) -> Option<HashSet<SocketAddr>> {
    let sorted = sort_into_cells(homes);
    let cells: Vec<&[HomeCandidate]> = sorted.chunks(HOMES_PER_CELL).collect();
    let owner_of_cell = |cell: &&[HomeCandidate]| cell[0].clone();
    let cell_owners: Vec<HomeCandidate> = cells.iter().map(owner_of_cell).collect();
    let own_cell = cells.iter().find(|cell| cell.iter().any(|home| home.incarnation == own))?;
    let owner = own_cell[0].incarnation;
    let owners = assign_owners(&cell_owners, targets);
    Some(owners.into_iter().filter(|(_, home)| *home == owner).map(|(address, _)| address).collect())
}

/// The entry VMs that own the rate limits of a service's targets.
#[derive(Debug, Default)]
pub struct LimitOwners {
    homes: Vec<HomeCandidate>,
    by_target: HashMap<SocketAddr, IncarnationId>,
}

impl LimitOwners {
    /// Chooses the owners among the homes of a host with routes to the service: for each target one of the homes
    /// that share the target, by hash.
    pub fn choose(homes: &[HomeCandidate], targets: &[(SocketAddr, DomainName)]) -> Self {
        let sorted = sort_into_cells(homes);
        let cells: Vec<&[HomeCandidate]> = sorted.chunks(HOMES_PER_CELL).collect();
        let cell_owners: Vec<HomeCandidate> = cells.iter().map(|cell| cell[0].clone()).collect();
        let owners = assign_owners(&cell_owners, targets).into_iter();
        let choose_in_cell = |(address, owner): (SocketAddr, IncarnationId)| {
            let cell = cells.iter().find(|cell| cell[0].incarnation == owner)?;
            Some((address, choose_by_hash(cell, address)?))
        };
        Self { by_target: owners.filter_map(choose_in_cell).collect(), homes: homes.to_vec() }
    }

    /// Returns the owner of a target's limit, or `None` if there are no homes. The limit of a target that is not
    /// among the assigned ones, for example because it is leaving, is owned by any home.
    pub fn owner_of(&self, target: SocketAddr) -> Option<IncarnationId> {
        self.by_target.get(&target).copied().or_else(|| choose_by_hash(&self.homes, target))
    }
}

fn choose_by_hash(homes: &[HomeCandidate], target: SocketAddr) -> Option<IncarnationId> {
    let name = target.to_string();
    homes.iter().map(|home| home.incarnation).min_by_key(|home| hash_with_seed(&name, *home))
}

/// The entry VMs that keep the request limit of one client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountOwners {
    /// The owner.
    pub owner: IncarnationId,
    /// The entry VM that stands in for an owner that does not respond; `None` if there is no other one.
    pub stand_in: Option<IncarnationId>,
}

impl AccountOwners {
    /// Chooses the owner and the stand-in of an account, the first two of the candidates by hash. Returns `None` if there
    /// are no candidates.
    pub fn choose(account: AccountId, candidates: impl Iterator<Item = IncarnationId>) -> Option<Self> {
        let name = account.to_le_bytes();
        let mut first_two: [Option<(u64, IncarnationId)>; 2] = [None; 2];
        for home in candidates {
            let entry = Some((xxh3_64_with_seed(&name, home), home));
            if first_two[0].is_none_or(|first| entry < Some(first)) {
                first_two = [entry, first_two[0]];
            } else if first_two[1].is_none_or(|second| entry < Some(second)) {
                first_two[1] = entry;
            }
        }
        let [owner, stand_in] = first_two;
        Some(Self { owner: owner?.1, stand_in: stand_in.map(|(_, home)| home) })
    }
}

fn sort_into_cells(homes: &[HomeCandidate]) -> Vec<HomeCandidate> {
    let mut sorted = homes.to_vec();
    sorted.sort_by(|left, right| (&left.domain, left.incarnation).cmp(&(&right.domain, right.incarnation)));
    sorted
}

/// Sorts homes for one caller: homes in the caller's failure domain first, then by a hash that
/// spreads callers over the homes.
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

/// Returns a hash of a name, for candidates whose position must not change when they restart.
pub fn hash_name(name: &str) -> u64 {
    hash_with_seed(name, 0)
}

pub(crate) fn hash_with_seed(text: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
