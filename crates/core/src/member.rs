//! Entry VM membership: a gossip protocol with heartbeats to a few neighbours, suspicion and
//! refutation.
//!
//! Each process run has a random incarnation. A restart at the same address is a new member that
//! replaces the earlier one. Records of a member are ordered by their refutation epoch, which only
//! the member itself raises; within an epoch, worse health replaces better health. A member that
//! returns from a pause or a partition learns from the first heartbeat acknowledgement that it is
//! considered dead, and refutes this. The table only guides routing: no safety property depends on
//! it.

mod failure;
mod gossip;
mod merge;
mod record;

use crate::digest::{BucketDigest, is_in_mask};
use crate::ids::IncarnationId;
use crate::overlay;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use failure::{DEAD_INTERVALS, SUSPECT_INTERVALS};
pub use record::{MemberHealth, MemberMessage, MemberMessageKind, MemberRecord};

/// Maximum number of records in one gossip message.
pub const MAX_GOSSIP_RECORDS: usize = 12;
/// Maximum number of other members in a table; further ones are ignored.
pub const MAX_MEMBERS: usize = 4096;
/// Minimum interval between two sync requests, in heartbeat intervals.
const SYNC_INTERVALS: u32 = 2;

/// A message and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Peer address of the recipient.
    pub address: SocketAddr,
    /// Message to send.
    pub message: MemberMessage,
}

/// Settings of the membership protocol.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Interval between heartbeats to the same neighbour.
    pub interval: Duration,
    /// Peer addresses of the members that are contacted to join the others.
    pub seeds: Vec<SocketAddr>,
}

#[derive(Debug)]
struct MemberEntry {
    record: MemberRecord,
    /// Time of the last message received directly from the member.
    heard_at: Option<Instant>,
    /// Time at which the member became a neighbour; `None` if it is not one.
    watched_since: Option<Instant>,
    changed_at: Instant,
    /// Remaining gossip rounds in which to send the record.
    gossip_rounds: u32,
}

/// Membership as seen by one entry VM.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    own: MemberRecord,
    entries: BTreeMap<IncarnationId, MemberEntry>,
    by_peer_address: HashMap<SocketAddr, IncarnationId>,
    digest: BucketDigest,
    neighbours: Vec<IncarnationId>,
    /// Whether `neighbours` must be recomputed.
    is_overlay_stale: bool,
    last_tick: Option<Instant>,
    next_heartbeat: Option<Instant>,
    next_rejoin: Option<Instant>,
    next_sync: Option<Instant>,
    rejoin_cursor: usize,
    revision: u64,
}

impl MemberTable {
    /// Creates a table that contains only this member.
    pub fn new(own: MemberRecord, settings: MemberSettings) -> Self {
        let mut table = Self {
            settings,
            own,
            entries: BTreeMap::new(),
            by_peer_address: HashMap::new(),
            digest: BucketDigest::default(),
            neighbours: Vec::new(),
            is_overlay_stale: true,
            last_tick: None,
            next_heartbeat: None,
            next_rejoin: None,
            next_sync: None,
            rejoin_cursor: 0,
            revision: 0,
        };
        table.toggle_own();
        table
    }

    /// Returns this member's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the records of all other members, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the record of a member other than this one.
    pub fn get(&self, incarnation: IncarnationId) -> Option<&MemberRecord> {
        self.entries.get(&incarnation).map(|entry| &entry.record)
    }

    /// Returns the members that can accept callers, including this one.
    pub fn available(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.others()).filter(|record| record.is_available())
    }

    /// Returns the revision of the table, which increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the members to which this one sends heartbeats and gossip.
    pub fn neighbours(&self) -> impl Iterator<Item = &MemberRecord> {
        self.neighbours.iter().filter_map(|incarnation| self.get(*incarnation))
    }

    /// Returns whether a message from another member arrived recently, or no other member exists.
    pub fn is_connected(&self, now: Instant) -> bool {
        let limit = self.settings.interval * (SUSPECT_INTERVALS + DEAD_INTERVALS);
        let is_fresh =
            |entry: &MemberEntry| entry.heard_at.is_some_and(|at| now.saturating_duration_since(at) < limit);
        self.entries.is_empty() || self.entries.values().any(is_fresh)
    }

    /// Marks this member as leaving and returns the messages that announce it.
    pub fn announce_leaving(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        self.change_own(|own| {
            own.is_leaving = true;
            own.epoch += 1;
        });
        self.gossip_now(now, editions)
    }

    /// Marks this member as stopped and returns the messages that announce it; the other members
    /// consider it dead immediately.
    pub fn announce_stopped(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        self.change_own(|own| {
            own.is_leaving = true;
            own.epoch += 1;
            own.health = MemberHealth::Dead;
        });
        self.gossip_now(now, editions)
    }

    /// Adds the peer address of a member to contact, for example from the platform's VM list. Does
    /// nothing if the address is known already or there are [`MAX_MEMBERS`] of them.
    pub fn add_seed(&mut self, address: SocketAddr) {
        let is_known = self.settings.seeds.contains(&address) || address == self.own.peer_address;
        if !is_known && self.settings.seeds.len() < MAX_MEMBERS {
            self.settings.seeds.push(address);
        }
    }

    /// Processes a message and returns the responses.
    pub fn receive(
        &mut self,
        message: MemberMessage,
        now: Instant,
        editions: BucketDigest,
    ) -> Vec<OutgoingMessage> {
        let sender = message.sender.clone();
        let last_known = self.entries.get(&sender.incarnation).map(|entry| entry.record.clone());
        self.merge(sender.clone(), now);
        if let Some(entry) = self.entries.get_mut(&sender.incarnation) {
            entry.heard_at = Some(now);
        }
        message.records.into_iter().for_each(|record| self.merge(record, now));
        let mut outgoing = Vec::new();
        match message.kind {
            MemberMessageKind::Heartbeat => {
                let mut response = self.new_message(MemberMessageKind::HeartbeatAck, editions);
                // Tell the sender if it was considered suspect or dead, so that it can refute this.
                let worse =
                    last_known.filter(|record| record.epoch >= sender.epoch && record.health > sender.health);
                response.records.extend(worse);
                outgoing.push(OutgoingMessage { address: sender.peer_address, message: response });
            }
            MemberMessageKind::SyncRequest(mask) => {
                let mut response = self.new_message(MemberMessageKind::SyncResponse, editions);
                response.records = self.records_in_buckets(mask);
                outgoing.push(OutgoingMessage { address: sender.peer_address, message: response });
            }
            MemberMessageKind::HeartbeatAck | MemberMessageKind::Gossip | MemberMessageKind::SyncResponse => {
            }
        }
        outgoing.extend(self.request_sync(&sender, message.digest, message.kind, now, editions));
        outgoing
    }

    /// Runs the periodic pass: failure detection, gossip, heartbeats and rejoining.
    pub fn tick(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        self.compensate_for_pause(now);
        self.detect_failures(now);
        self.rebuild_overlay(now);
        let mut outgoing = self.send_gossip(editions);
        outgoing.extend(self.send_heartbeats(now, editions));
        outgoing.extend(self.send_rejoin(now, editions));
        outgoing
    }

    fn rebuild_overlay(&mut self, now: Instant) {
        if !std::mem::take(&mut self.is_overlay_stale) {
            return;
        }
        let live = self.others().filter(|record| record.health != MemberHealth::Dead);
        let members: Vec<IncarnationId> = live.map(|record| record.incarnation).collect();
        self.neighbours = overlay::choose_neighbours(self.own.incarnation, &members);
        for (incarnation, entry) in &mut self.entries {
            let is_watched = self.neighbours.contains(incarnation);
            entry.watched_since = is_watched.then(|| entry.watched_since.unwrap_or(now));
        }
    }

    fn request_sync(
        &mut self,
        sender: &MemberRecord,
        digest: BucketDigest,
        kind: MemberMessageKind,
        now: Instant,
        editions: BucketDigest,
    ) -> Option<OutgoingMessage> {
        let is_comparable = matches!(kind, MemberMessageKind::Heartbeat | MemberMessageKind::HeartbeatAck);
        let mask = self.digest.difference(&digest);
        let is_early = self.next_sync.is_some_and(|at| now < at);
        if !is_comparable || mask == 0 || is_early {
            return None;
        }
        self.next_sync = Some(now + self.settings.interval * SYNC_INTERVALS);
        let mut message = self.new_message(MemberMessageKind::SyncRequest(mask), editions);
        message.records = self.records_in_buckets(mask);
        Some(OutgoingMessage { address: sender.peer_address, message })
    }

    fn records_in_buckets(&self, mask: u8) -> Vec<MemberRecord> {
        let selected = self.others().filter(|record| is_in_mask(&record.incarnation.to_le_bytes(), mask));
        selected.cloned().collect()
    }

    fn change_own(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        self.toggle_own();
        change(&mut self.own);
        self.toggle_own();
        self.mark_changed();
    }

    fn toggle_own(&mut self) {
        toggle(&mut self.digest, &self.own);
    }

    fn mark_changed(&mut self) {
        self.is_overlay_stale = true;
        self.revision += 1;
    }

    fn gossip_now(&mut self, now: Instant, editions: BucketDigest) -> Vec<OutgoingMessage> {
        self.rebuild_overlay(now);
        let message = self.new_message(MemberMessageKind::Gossip, editions);
        self.to_neighbours(&message)
    }

    fn new_message(&self, kind: MemberMessageKind, editions: BucketDigest) -> MemberMessage {
        MemberMessage { kind, sender: self.own.clone(), records: Vec::new(), digest: self.digest, editions }
    }

    fn to_neighbours(&self, message: &MemberMessage) -> Vec<OutgoingMessage> {
        let addresses = self.neighbours().map(|record| record.peer_address);
        addresses.map(|address| OutgoingMessage { address, message: message.clone() }).collect()
    }

    /// Returns the number of rounds in which a changed record is sent: enough to reach all members
    /// with high probability.
    fn gossip_round_count(&self) -> u32 {
        let count = self.entries.len() as u32 + 2;
        2 + count.ilog2() / 4
    }
}

fn toggle(digest: &mut BucketDigest, record: &MemberRecord) {
    let mut content = record.epoch.to_le_bytes().to_vec();
    content.push(record.health as u8);
    content.push(u8::from(record.is_leaving));
    digest.toggle(&record.incarnation.to_le_bytes(), &content);
}
