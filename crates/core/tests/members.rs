//! Membership: a few tables joined by a list of pending messages, in virtual time.

use sniperelay_core::digest::BucketDigest;
use sniperelay_core::member::{MemberHealth, MemberRecord, MemberSettings, MemberTable, OutgoingMessage};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(50);

/// Time from a crash until all have noticed: silence, suspicion and one step of slack.
const DETECTION_LIMIT: Duration = Duration::from_millis(9000);

struct TableGroup {
    now: Instant,
    tables: BTreeMap<SocketAddr, MemberTable>,
    pending: Vec<(SocketAddr, OutgoingMessage)>,
    paused: Vec<SocketAddr>,
    /// Group of each address; messages between groups are lost.
    side: BTreeMap<SocketAddr, u32>,
    sent: u64,
    /// Every n-th message is lost; 0 for none.
    lose_every: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 8081))
}

fn record(index: usize, run: u64) -> MemberRecord {
    MemberRecord {
        incarnation: index as u64 * 1000 + run + 1,
        started_millis: run,
        peer_address: address(index),
        caller_address: address(index),
        domain: format!("domain-{}", index % 4),
        epoch: 0,
        health: MemberHealth::Alive,
        is_leaving: false,
    }
}

impl TableGroup {
    fn new(count: usize) -> Self {
        let mut group = Self {
            now: Instant::now(),
            tables: BTreeMap::new(),
            pending: Vec::new(),
            paused: Vec::new(),
            side: BTreeMap::new(),
            sent: 0,
            lose_every: 0,
        };
        (0..count).for_each(|index| group.start(index, 0));
        group
    }

    fn start(&mut self, index: usize, run: u64) {
        let settings = MemberSettings { interval: INTERVAL, seeds: vec![address(0), address(1), address(2)] };
        self.tables.insert(address(index), MemberTable::new(record(index, run), settings));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let digest = BucketDigest::default();
        for (from, send) in std::mem::take(&mut self.pending) {
            self.sent += 1;
            let is_lost = self.lose_every > 0 && self.sent.is_multiple_of(self.lose_every);
            let is_cut = self.side.get(&from) != self.side.get(&send.address);
            if is_lost || is_cut || self.paused.contains(&send.address) {
                continue;
            }
            if let Some(table) = self.tables.get_mut(&send.address) {
                let answers = table.receive(send.message, self.now, digest);
                self.pending.extend(answers.into_iter().map(|answer| (send.address, answer)));
            }
        }
        for (own, table) in &mut self.tables {
            if !self.paused.contains(own) {
                let sends = table.tick(self.now, digest);
                self.pending.extend(sends.into_iter().map(|send| (*own, send)));
            }
        }
    }

    /// Steps until the condition holds; the time that took, if it is within the limit.
    fn time_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now - start <= limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    fn all_see(&self, available: usize) -> bool {
        let running = self.tables.iter().filter(|(own, _)| !self.paused.contains(own));
        running.map(|(_, table)| table.available().count()).all(|count| count == available)
    }
}

#[test]
fn all_join_and_agree() {
    for count in [1, 2, 3, 16, 64] {
        let mut group = TableGroup::new(count);
        assert!(group.time_until(INTERVAL * 20, |group| group.all_see(count)).is_some(), "{count} members");
    }
}

#[test]
fn crashes_are_noticed_by_all_in_time() {
    // Members that crash at once: one, a rack of four, a failure domain.
    for crashed in [vec![5], vec![4, 5, 6, 7], vec![1, 5, 9, 13]] {
        let mut group = TableGroup::new(16);
        assert!(group.time_until(INTERVAL * 20, |group| group.all_see(16)).is_some());
        crashed.iter().for_each(|index| drop(group.tables.remove(&address(*index))));
        let left = 16 - crashed.len();
        let time = group.time_until(DETECTION_LIMIT, |group| group.all_see(left));
        assert!(time.is_some(), "crash of {crashed:?}");
    }
}

#[test]
fn loss_of_messages_makes_nobody_dead() {
    let mut group = TableGroup::new(16);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(16)).is_some());
    group.lose_every = 5;
    let mut lowest = 16;
    for _ in 0..1200 {
        group.step();
        lowest = lowest.min(group.tables.values().map(|table| table.available().count()).min().unwrap_or(0));
    }
    assert_eq!(lowest, 16, "a member was declared dead at 20 % loss");
}

#[test]
fn a_paused_member_returns_and_refutes_its_death() {
    let mut group = TableGroup::new(8);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(8)).is_some());
    group.paused.push(address(3));
    assert!(group.time_until(DETECTION_LIMIT, |group| group.all_see(7)).is_some(), "pause not noticed");
    group.run_for(INTERVAL * 30);
    group.paused.clear();
    assert!(group.time_until(INTERVAL * 15, |group| group.all_see(8)).is_some(), "not readmitted");
}

#[test]
fn a_restart_at_the_same_address_replaces_the_earlier_run() {
    let mut group = TableGroup::new(8);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(8)).is_some());
    group.start(3, 1);
    let is_replaced = |group: &TableGroup| {
        group.tables.values().all(|table| {
            let available: Vec<u64> = table.available().map(|record| record.incarnation).collect();
            available.contains(&3002) && !available.contains(&3001)
        })
    };
    assert!(group.time_until(INTERVAL * 15, is_replaced).is_some());
}

#[test]
fn a_leaving_member_is_no_longer_available_within_a_second() {
    let mut group = TableGroup::new(16);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(16)).is_some());
    let now = group.now;
    let leaver = group.tables.get_mut(&address(5)).unwrap();
    let sends = leaver.announce_leaving(now, BucketDigest::default());
    group.pending.extend(sends.into_iter().map(|send| (address(5), send)));
    let time = group.time_until(Duration::from_secs(1), |group| group.all_see(15));
    assert!(time.is_some());
}

#[test]
fn partitions_heal() {
    let mut group = TableGroup::new(12);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(12)).is_some());
    group.side = (0..12).map(|index| (address(index), u32::from(index >= 5))).collect();
    group.run_for(INTERVAL * 60);
    let counts: Vec<usize> = group.tables.values().map(|table| table.available().count()).collect();
    assert_eq!(counts, [[5; 5].as_slice(), &[7; 7]].concat());
    group.side.clear();
    assert!(group.time_until(INTERVAL * 30, |group| group.all_see(12)).is_some(), "not healed");
}

#[test]
fn a_rolling_replacement_of_all_members_ends_in_agreement() {
    let mut group = TableGroup::new(8);
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(8)).is_some());
    for index in 0..8 {
        group.start(index, 1);
        group.run_for(INTERVAL * 3);
    }
    assert!(group.time_until(INTERVAL * 20, |group| group.all_see(8)).is_some());
}

#[test]
fn steady_cost_per_member_grows_with_the_logarithm_of_the_members() {
    let messages_per_second = |count: usize| {
        let mut group = TableGroup::new(count);
        assert!(group.time_until(INTERVAL * 40, |group| group.all_see(count)).is_some());
        group.run_for(INTERVAL * 10);
        group.sent = 0;
        group.run_for(INTERVAL * 10);
        group.sent as f64 / 10.0 / count as f64
    };
    let (few, many) = (messages_per_second(16), messages_per_second(128));
    // 16 members have 4 neighbours, 128 have 7.
    assert!(many <= few * 7.0 / 4.0 * 1.2, "{few:.1} messages/s at 16 members, {many:.1} at 128");
}
