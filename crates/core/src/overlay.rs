//! Fixed-degree neighbour graph over the live entry VMs.
//!
//! Members stand on a ring in hash order. Each one watches the members at distances 1, 2, 4, ...
//! and passes rumours on to them. The degree is the logarithm of the number of members, a rumour
//! reaches all in as many hops, and every member is watched by that many others, spread over
//! failure domains by the hash.

use crate::ids::IncarnationId;
use xxhash_rust::xxh3::xxh3_64;

/// The neighbours of `own` among `members`, nearest first; `own` may be listed or not.
pub fn neighbours(own: IncarnationId, members: &[IncarnationId]) -> Vec<IncarnationId> {
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
