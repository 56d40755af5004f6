//! Failure detection: suspicion, death and expiry of tombstones.

use super::{MemberEntry, MemberHealth, MemberTable, toggle};
use crate::ids::IncarnationId;
use std::time::{Duration, Instant};

/// Timeout after which an unresponsive neighbour is suspected, in heartbeat intervals.
pub(super) const SUSPECT_INTERVALS: u32 = 3;
/// Timeout after which a suspected member is declared dead, in heartbeat intervals.
pub(super) const DEAD_INTERVALS: u32 = 4;
/// Time for which dead members are kept and contacted again, in heartbeat intervals.
const TOMBSTONE_INTERVALS: u32 = 600;

impl MemberTable {
    /// Restarts the suspicion and death timeouts after a pause of this process, because messages missed
    /// during the pause do not indicate a failure.
    pub(super) fn compensate_for_pause(&mut self, now: Instant) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_tick = Some(now);
        if gap > self.settings.interval * 2 {
            self.entries.values_mut().for_each(|entry| {
                entry.watched_since = entry.watched_since.map(|_| now);
                entry.heard_at = entry.heard_at.map(|_| now);
                if entry.record.health == MemberHealth::Suspect {
                    entry.changed_at = now;
                }
            });
        }
    }

    pub(super) fn detect_failures(&mut self, now: Instant) {
        let interval = self.settings.interval;
        let suspects: Vec<IncarnationId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_unresponsive(entry, now, interval * SUSPECT_INTERVALS))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        suspects.into_iter().for_each(|incarnation| self.downgrade(incarnation, MemberHealth::Suspect, now));
        let has_expired = |entry: &MemberEntry, health, limit| {
            entry.record.health == health && now.saturating_duration_since(entry.changed_at) > limit
        };
        let dead: Vec<IncarnationId> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry, MemberHealth::Suspect, interval * DEAD_INTERVALS))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        dead.into_iter().for_each(|incarnation| self.downgrade(incarnation, MemberHealth::Dead, now));
        let expired: Vec<IncarnationId> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry, MemberHealth::Dead, interval * TOMBSTONE_INTERVALS))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        expired.into_iter().for_each(|incarnation| self.remove_member(incarnation));
    }

    pub(super) fn downgrade(&mut self, incarnation: IncarnationId, health: MemberHealth, now: Instant) {
        let Some(entry) = self.entries.get(&incarnation) else { return };
        let mut record = entry.record.clone();
        record.health = health;
        self.merge(record, now);
    }

    pub(super) fn remove_member(&mut self, incarnation: IncarnationId) {
        let Some(entry) = self.entries.remove(&incarnation) else { return };
        toggle(&mut self.digest, &entry.record);
        if self.by_peer_address.get(&entry.record.peer_address) == Some(&incarnation) {
            self.by_peer_address.remove(&entry.record.peer_address);
        }
    }
}

fn is_unresponsive(entry: &MemberEntry, now: Instant, limit: Duration) -> bool {
    let Some(since) = entry.watched_since else { return false };
    let last = entry.heard_at.map_or(since, |heard_at| heard_at.max(since));
    entry.record.health == MemberHealth::Alive && now.saturating_duration_since(last) > limit
}
