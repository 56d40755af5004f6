//! Neighbour graph over the live entry VMs, in which all members have the same degree.
//!
//! Members are arranged on a ring in hash order. Each one monitors the members at distances 1, 2,
//! 4, ... and sends gossip to them. The degree is the logarithm of the number of members. An update
//! reaches all members in that many hops, and each member is monitored by that many others, which
//! the hash spreads over failure domains.

use crate::ids::IncarnationId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the neighbours of `own` among `members`, nearest first. `members` may or may not include
/// `own`.
pub fn choose_neighbours(own: IncarnationId, members: &[IncarnationId]) -> Vec<IncarnationId> {
    let mut ring: Vec<(u64, IncarnationId)> =
        members.iter().map(|member| (ring_position(*member), *member)).collect();
    if !members.contains(&own) {
        ring.push((ring_position(own), own));
    }
    ring.sort_unstable();
    ring.dedup();
    let count = ring.len();
    let start = ring.iter().position(|(_, member)| *member == own).unwrap_or(0);
    let distances = std::iter::successors(Some(1usize), |distance| distance.checked_mul(2));
    distances
        .take_while(|distance| *distance < count)
        .map(|distance| ring[(start + distance) % count].1)
        .collect()
}

fn ring_position(member: IncarnationId) -> u64 {
    xxh3_64(&member.to_le_bytes())
}
