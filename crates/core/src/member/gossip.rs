//! Heartbeats and gossip to the neighbours in the overlay, and attempts to rejoin lost members.

use super::{
    MAX_GOSSIP_RECORDS, MemberHealth, MemberMessageKind, MemberRecord, MemberTable, OutgoingMessage,
};
use crate::digest::BucketDigest;
use std::net::SocketAddr;
use std::time::Instant;

/// Interval between attempts to reach a dead member or a seed, in heartbeat intervals. A member
/// without neighbours tries at every heartbeat interval.
const REJOIN_INTERVALS: u32 = 5;

impl MemberTable {
    pub(super) fn send_gossip(&mut self, editions: BucketDigest) -> Vec<OutgoingMessage> {
        let records: Vec<MemberRecord> = self
            .entries
            .values_mut()
            .filter(|entry| entry.gossip_rounds > 0)
            .take(MAX_GOSSIP_RECORDS)
            .map(|entry| {
                entry.gossip_rounds -= 1;
                entry.record.clone()
            })
            .collect();
        if records.is_empty() {
            return Vec::new();
        }
        let mut message = self.new_message(MemberMessageKind::Gossip, editions);
        message.records = records;
        self.to_neighbours(&message)
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        if self.next_heartbeat.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_heartbeat = Some(now + self.settings.interval);
        let message = self.new_message(MemberMessageKind::Heartbeat, editions);
        self.to_neighbours(&message)
    }

    /// Contacts one unreached seed or dead member per rejoin interval, so that the membership
    /// recovers from partitions.
    pub(super) fn send_rejoin(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        if self.next_rejoin.is_some_and(|at| now < at) {
            return Vec::new();
        }
        let is_alone = self.neighbours.is_empty();
        let pause = if is_alone { self.settings.interval } else { self.settings.interval * REJOIN_INTERVALS };
        self.next_rejoin = Some(now + pause);
        let dead = self.others().filter(|record| record.health == MemberHealth::Dead && !record.is_leaving);
        let mut addresses: Vec<SocketAddr> = dead.map(|record| record.peer_address).collect();
        let unknown = self.settings.seeds.iter().filter(|seed| !self.by_peer_address.contains_key(seed));
        addresses.extend(unknown.filter(|seed| **seed != self.own.peer_address));
        if addresses.is_empty() {
            return Vec::new();
        }
        self.rejoin_cursor = self.rejoin_cursor.wrapping_add(1);
        let address = addresses[self.rejoin_cursor % addresses.len()];
        let message = self.new_message(MemberMessageKind::Heartbeat, editions);
        vec![OutgoingMessage { address, message }]
    }
}
