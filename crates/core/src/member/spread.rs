//! Sends heartbeats and rumours along the overlay, and tries to reach those that are missing.

use super::{MAX_RUMOURS, MemberHealth, MemberMessageKind, MemberRecord, MemberSend, MemberTable};
use crate::digest::BucketDigest;
use std::net::SocketAddr;
use std::time::Instant;

/// Heartbeat intervals between two attempts to reach a dead member or a seed.
const REJOIN_INTERVALS: u32 = 5;

impl MemberTable {
    pub(super) fn send_rumours(&mut self, editions: BucketDigest) -> Vec<MemberSend> {
        let news: Vec<MemberRecord> = self
            .entries
            .values_mut()
            .filter(|entry| entry.rumour_rounds > 0)
            .take(MAX_RUMOURS)
            .map(|entry| {
                entry.rumour_rounds -= 1;
                entry.record.clone()
            })
            .collect();
        if news.is_empty() {
            return Vec::new();
        }
        let mut message = self.compose(MemberMessageKind::Rumour, editions);
        message.rumours = news;
        self.to_neighbours(&message)
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant, editions: BucketDigest) -> Vec<MemberSend> {
        if self.next_heartbeat.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_heartbeat = Some(now + self.settings.interval);
        let message = self.compose(MemberMessageKind::Heartbeat, editions);
        self.to_neighbours(&message)
    }

    /// Now and then contacts one seed or dead member, so that partitions heal.
    pub(super) fn send_rejoin(&mut self, now: Instant, editions: BucketDigest) -> Vec<MemberSend> {
        if self.next_rejoin.is_some_and(|at| now < at) {
            return Vec::new();
        }
        let is_alone = self.neighbours.is_empty();
        let pause = if is_alone { self.settings.interval } else { self.settings.interval * REJOIN_INTERVALS };
        self.next_rejoin = Some(now + pause);
        let dead = self.others().filter(|record| record.health == MemberHealth::Dead && !record.is_leaving);
        let mut places: Vec<SocketAddr> = dead.map(|record| record.peer_address).collect();
        let unknown = self.settings.seeds.iter().filter(|seed| !self.by_peer_address.contains_key(seed));
        places.extend(unknown.filter(|seed| **seed != self.own.peer_address));
        if places.is_empty() {
            return Vec::new();
        }
        self.rejoin_turn = self.rejoin_turn.wrapping_add(1);
        let address = places[self.rejoin_turn % places.len()];
        let message = self.compose(MemberMessageKind::Heartbeat, editions);
        vec![MemberSend { address, message }]
    }
}
