//! Merging of member records.

use super::{MAX_MEMBERS, MemberEntry, MemberHealth, MemberRecord, MemberTable, toggle};
use std::time::Instant;

impl MemberTable {
    /// Merges a record into the table: a newer epoch takes precedence, then worse health. The leaving
    /// flag is never cleared.
    pub(super) fn merge(&mut self, record: MemberRecord, now: Instant) {
        if record.incarnation == self.own.incarnation {
            self.refute(&record);
            return;
        }
        let rounds = self.gossip_round_count();
        match self.entries.get_mut(&record.incarnation) {
            None => self.insert(record, rounds, now),
            Some(entry) => {
                let merged = merged_record(&entry.record, &record);
                if merged == entry.record {
                    return;
                }
                toggle(&mut self.digest, &entry.record);
                toggle(&mut self.digest, &merged);
                entry.record = merged;
                entry.changed_at = now;
                entry.gossip_rounds = rounds;
                self.mark_changed();
            }
        }
    }

    pub(super) fn insert(&mut self, record: MemberRecord, gossip_rounds: u32, now: Instant) {
        if self.entries.len() >= MAX_MEMBERS {
            return;
        }
        self.replace_predecessor(&record, now);
        toggle(&mut self.digest, &record);
        let incarnation = record.incarnation;
        let entry =
            MemberEntry { record, heard_at: None, watched_since: None, changed_at: now, gossip_rounds };
        self.entries.insert(incarnation, entry);
        self.mark_changed();
    }

    /// Marks an earlier member at the same address as dead: a later start proves that the earlier
    /// process has ended.
    pub(super) fn replace_predecessor(&mut self, record: &MemberRecord, now: Instant) {
        let previous = self.by_peer_address.get(&record.peer_address).copied();
        let earlier = previous.and_then(|incarnation| self.get(incarnation).cloned());
        match earlier {
            Some(old) if old.started_millis > record.started_millis => {}
            Some(old) => {
                self.by_peer_address.insert(record.peer_address, record.incarnation);
                self.downgrade(old.incarnation, MemberHealth::Dead, now);
            }
            None => {
                self.by_peer_address.insert(record.peer_address, record.incarnation);
            }
        }
    }

    /// Raises this member's epoch if another member reports worse health for it.
    pub(super) fn refute(&mut self, reported: &MemberRecord) {
        let is_wrong = reported.health > self.own.health && reported.epoch >= self.own.epoch;
        if is_wrong {
            let epoch = reported.epoch + 1;
            self.change_own(|own| own.epoch = epoch);
        }
    }
}

fn merged_record(current: &MemberRecord, incoming: &MemberRecord) -> MemberRecord {
    let current_order = (current.epoch, current.health);
    let incoming_order = (incoming.epoch, incoming.health);
    let mut merged = if incoming_order > current_order { incoming.clone() } else { current.clone() };
    merged.is_leaving = current.is_leaving || incoming.is_leaving;
    merged
}
