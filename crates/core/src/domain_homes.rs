//! Homes, cells and lookups of a deployment in which each failure domain has homes of its own.
//!
//! Traffic then stays inside a failure domain unless leaving it pays ([`crate::domain_overflow`]). All results are
//! computed from shared lists, like those of [`crate::home`].

use crate::home::{
    HOMES_PER_CELL, HomeCandidate, SizedCandidate, cell_targets, choose_homes_by_capacity, hash_name,
    hash_with_seed,
};
use crate::ids::{DomainName, IncarnationId};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// Maximum number of other failure domains for whose requests a target may be used.
const MAX_OVERFLOW_DOMAINS: usize = 2;
/// Ratio of a failure domain's slots to an even share below which its callers are spread over all homes.
const MIN_SLOT_RATIO: f64 = 0.5;

/// Number of slots of the targets in each failure domain.
pub type DomainSlots = BTreeMap<DomainName, u32>;

/// Chooses the homes of a host: in each failure domain the largest candidates, at least `min_homes` and as many as the
/// slots of the domain need. The slots of domains without candidates are divided among the others.
pub fn choose_domain_homes(
    host: &str,
    candidates: &[SizedCandidate],
    slots: &DomainSlots,
    min_homes: usize,
) -> Vec<HomeCandidate> {
    let mut by_domain: BTreeMap<&str, Vec<SizedCandidate>> = BTreeMap::new();
    for candidate in candidates {
        by_domain.entry(&candidate.0.domain).or_default().push(candidate.clone());
    }
    let outside = slots.iter().filter(|(domain, _)| !by_domain.contains_key(domain.as_str()));
    let outside: u32 = outside.map(|(_, slots)| *slots).sum();
    let outside_share = outside.div_ceil(by_domain.len().max(1) as u32);
    let choose = |(domain, members): (&str, Vec<SizedCandidate>)| {
        let own_slots = slots.get(domain).copied().unwrap_or(0);
        choose_homes_by_capacity(host, &members, own_slots.saturating_add(outside_share), min_homes)
    };
    by_domain.into_iter().flat_map(choose).collect()
}

/// Targets of one service that a home serves.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DomainCell {
    /// Targets of the home's cell.
    pub own: HashSet<SocketAddr>,
    /// Targets in other failure domains that may take requests of this home.
    pub overflow: HashSet<SocketAddr>,
    /// Maximum number of homes that may probe the same target.
    pub prober_count: usize,
}

/// Returns the targets that the home `own` serves, or `None` if `own` is not a home. The targets of a failure domain
/// with homes belong to cells of that domain, any others to all cells.
pub fn domain_cell(
    own: IncarnationId,
    homes: &[HomeCandidate],
    targets: &[(SocketAddr, DomainName)],
) -> Option<DomainCell> {
    let own_home = homes.iter().find(|home| home.incarnation == own)?;
    let domains: BTreeSet<&str> = homes.iter().map(|home| home.domain.as_str()).collect();
    let in_domain = |targets: &[(SocketAddr, DomainName)]| {
        targets.iter().filter(|(_, domain)| *domain == own_home.domain).cloned().collect::<Vec<_>>()
    };
    let own_homes: Vec<HomeCandidate> =
        homes.iter().filter(|home| home.domain == own_home.domain).cloned().collect();
    let mut cell = cell_targets(own, &own_homes, &in_domain(targets))?;
    let outside: Vec<(SocketAddr, DomainName)> =
        targets.iter().filter(|(_, domain)| !domains.contains(domain.as_str())).cloned().collect();
    cell.extend(cell_targets(own, homes, &outside)?);
    let supply = DomainSupply::count(homes, targets);
    let mut overflow = HashSet::new();
    let mut max_takers = 0;
    for (address, domain) in targets.iter().filter(|(_, domain)| domains.contains(domain.as_str())) {
        let takers = supply.overflow_homes(homes, *address, domain);
        max_takers = max_takers.max(takers.len());
        if takers.contains(&own) && !cell.contains(address) {
            overflow.insert(*address);
        }
    }
    Some(DomainCell { own: cell, overflow, prober_count: HOMES_PER_CELL + max_takers })
}

/// Which failure domains with homes have at least one target of a service for each cell.
struct DomainSupply<'a> {
    supplied: Vec<&'a str>,
    others: Vec<&'a str>,
}

impl<'a> DomainSupply<'a> {
    fn count(homes: &'a [HomeCandidate], targets: &[(SocketAddr, DomainName)]) -> Self {
        let mut cell_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for home in homes {
            *cell_counts.entry(&home.domain).or_default() += 1;
        }
        let mut target_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, domain) in targets {
            *target_counts.entry(domain).or_default() += 1;
        }
        let is_supplied = |domain: &&str| {
            let count = target_counts.get(domain).copied().unwrap_or(0);
            count >= cell_counts[domain].div_ceil(HOMES_PER_CELL)
        };
        let (supplied, others) = cell_counts.keys().copied().partition(is_supplied);
        Self { supplied, others }
    }

    /// Returns the homes that have a target of `domain` as an overflow target, unless it is in their cell: one home in
    /// each of some other domains, and all homes of domains with too few targets, which might have none otherwise.
    fn overflow_homes(
        &self,
        homes: &[HomeCandidate],
        address: SocketAddr,
        domain: &str,
    ) -> Vec<IncarnationId> {
        let name = address.to_string();
        let members = |domain: &str| {
            let members = homes.iter().filter(move |home| home.domain == domain);
            members.map(|home| home.incarnation).collect::<Vec<_>>()
        };
        let mut supplied: Vec<&str> =
            self.supplied.iter().copied().filter(|other| *other != domain).collect();
        supplied.sort_by_key(|other| hash_with_seed(&name, hash_name(other)));
        let one_home =
            |other: &str| members(other).into_iter().min_by_key(|member| hash_with_seed(&name, *member));
        let single = supplied.into_iter().take(MAX_OVERFLOW_DOMAINS).filter_map(one_home);
        single.chain(self.others.iter().flat_map(|other| members(other))).collect()
    }
}

/// Returns the homes that a lookup names: those of the caller's failure domain, and one home of each of the
/// `spare_domains` next domains, which the caller uses when its own domain fails. Callers are spread over the homes of a
/// next domain by `caller`, and always get the same one. Returns all homes if the caller's domain is unknown or has no
/// homes, or if it has too few slots for its callers.
pub fn homes_for_caller(
    homes: &[HomeCandidate],
    slots: &DomainSlots,
    domain: Option<&str>,
    caller: &str,
    spare_domains: usize,
) -> Vec<HomeCandidate> {
    let in_domain = |domain: &str| homes.iter().filter(|home| home.domain == domain).collect::<Vec<_>>();
    let own = domain.map(|domain| (domain, in_domain(domain)));
    let Some((domain, own)) = own.filter(|(domain, own)| !own.is_empty() && has_room(homes, slots, domain))
    else {
        return homes.to_vec();
    };
    let domains: BTreeSet<&str> = homes.iter().map(|home| home.domain.as_str()).collect();
    let (before, after): (Vec<&str>, Vec<&str>) =
        domains.into_iter().filter(|other| *other != domain).partition(|other| *other < domain);
    let next = after.into_iter().chain(before).take(spare_domains);
    let spare = |domain: &str| {
        in_domain(domain).into_iter().min_by_key(|home| hash_with_seed(caller, home.incarnation))
    };
    own.into_iter().chain(next.filter_map(spare)).cloned().collect()
}

/// Returns whether a failure domain has at least [`MIN_SLOT_RATIO`] of an even share of the slots.
fn has_room(homes: &[HomeCandidate], slots: &DomainSlots, domain: &str) -> bool {
    let domains: BTreeSet<&str> = homes.iter().map(|home| home.domain.as_str()).collect();
    let total: u32 = slots.values().sum();
    let even_share = f64::from(total) / domains.len() as f64;
    f64::from(slots.get(domain).copied().unwrap_or(0)) >= MIN_SLOT_RATIO * even_share
}
