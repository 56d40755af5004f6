//! Membership tests: several tables exchange messages through a simulated network in virtual time.

use sniperelay_core::digest::BucketDigest;
use sniperelay_core::member::{MemberHealth, MemberRecord, MemberSettings, MemberTable, OutgoingMessage};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(50);

/// Maximum time until all members detect a crash: the suspicion timeout, the death timeout and some
/// slack.
const DETECTION_LIMIT: Duration = Duration::from_millis(9000);

struct TestCluster {
    now: Instant,
    tables: BTreeMap<SocketAddr, MemberTable>,
    pending: Vec<(SocketAddr, OutgoingMessage)>,
    paused: Vec<SocketAddr>,
    /// Partition of each address; messages between partitions are lost.
    partitions: BTreeMap<SocketAddr, u32>,
    sent: u64,
    /// Drops every n-th message; 0 drops none.
    drop_every: u64,
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

impl TestCluster {
    fn new(count: usize) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            tables: BTreeMap::new(),
            pending: Vec::new(),
            paused: Vec::new(),
            partitions: BTreeMap::new(),
            sent: 0,
            drop_every: 0,
        };
        (0..count).for_each(|index| cluster.start(index, 0));
        cluster
    }

    fn start(&mut self, index: usize, run: u64) {
        let settings = MemberSettings { interval: INTERVAL, seeds: vec![address(0), address(1), address(2)] };
        self.tables.insert(address(index), MemberTable::new(record(index, run), settings));
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let digest = BucketDigest::default();
        for (from, send) in std::mem::take(&mut self.pending) {
            self.sent += 1;
            let is_lost = self.drop_every > 0 && self.sent.is_multiple_of(self.drop_every);
            let is_partitioned = self.partitions.get(&from) != self.partitions.get(&send.address);
            if is_lost || is_partitioned || self.paused.contains(&send.address) {
                continue;
            }
            if let Some(table) = self.tables.get_mut(&send.address) {
                let responses = table.receive(send.message, self.now, digest);
                self.pending.extend(responses.into_iter().map(|response| (send.address, response)));
            }
        }
        for (own, table) in &mut self.tables {
            if !self.paused.contains(own) {
                let outgoing = table.tick(self.now, digest);
                self.pending.extend(outgoing.into_iter().map(|send| (*own, send)));
            }
        }
    }

    /// Steps until the condition holds and returns the elapsed time, or `None` if it exceeds the limit.
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
fn all_members_join_and_agree() {
    for count in [1, 2, 3, 16, 64] {
        let mut cluster = TestCluster::new(count);
        assert!(
            cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(count)).is_some(),
            "{count} members"
        );
    }
}

#[test]
fn crashes_are_detected_by_all_members_in_time() {
    // Simultaneous crashes: one member, a rack of four, and one failure domain.
    for crashed in [vec![5], vec![4, 5, 6, 7], vec![1, 5, 9, 13]] {
        let mut cluster = TestCluster::new(16);
        assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(16)).is_some());
        crashed.iter().for_each(|index| drop(cluster.tables.remove(&address(*index))));
        let remaining = 16 - crashed.len();
        let elapsed = cluster.time_until(DETECTION_LIMIT, |cluster| cluster.all_see(remaining));
        assert!(elapsed.is_some(), "crash of {crashed:?}");
    }
}

#[test]
fn message_loss_causes_no_false_death() {
    let mut cluster = TestCluster::new(16);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(16)).is_some());
    cluster.drop_every = 5;
    let mut lowest = 16;
    for _ in 0..1200 {
        cluster.step();
        lowest =
            lowest.min(cluster.tables.values().map(|table| table.available().count()).min().unwrap_or(0));
    }
    assert_eq!(lowest, 16, "a member was declared dead at 20 % message loss");
}

#[test]
fn a_paused_member_returns_and_refutes_its_death() {
    let mut cluster = TestCluster::new(8);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(8)).is_some());
    cluster.paused.push(address(3));
    assert!(
        cluster.time_until(DETECTION_LIMIT, |cluster| cluster.all_see(7)).is_some(),
        "pause not detected"
    );
    cluster.run_for(INTERVAL * 30);
    cluster.paused.clear();
    assert!(
        cluster.time_until(INTERVAL * 15, |cluster| cluster.all_see(8)).is_some(),
        "paused member not available again"
    );
}

#[test]
fn a_restart_at_the_same_address_replaces_the_earlier_run() {
    let mut cluster = TestCluster::new(8);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(8)).is_some());
    cluster.start(3, 1);
    let is_replaced = |cluster: &TestCluster| {
        cluster.tables.values().all(|table| {
            let available: Vec<u64> = table.available().map(|record| record.incarnation).collect();
            available.contains(&3002) && !available.contains(&3001)
        })
    };
    assert!(cluster.time_until(INTERVAL * 15, is_replaced).is_some());
}

#[test]
fn a_leaving_member_is_no_longer_available_within_a_second() {
    let mut cluster = TestCluster::new(16);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(16)).is_some());
    let now = cluster.now;
    let leaver = cluster.tables.get_mut(&address(5)).unwrap();
    let outgoing = leaver.announce_leaving(now, BucketDigest::default());
    cluster.pending.extend(outgoing.into_iter().map(|send| (address(5), send)));
    let elapsed = cluster.time_until(Duration::from_secs(1), |cluster| cluster.all_see(15));
    assert!(elapsed.is_some());
}

#[test]
fn partitions_heal() {
    let mut cluster = TestCluster::new(12);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(12)).is_some());
    cluster.partitions = (0..12).map(|index| (address(index), u32::from(index >= 5))).collect();
    cluster.run_for(INTERVAL * 60);
    let counts: Vec<usize> = cluster.tables.values().map(|table| table.available().count()).collect();
    assert_eq!(counts, [[5; 5].as_slice(), &[7; 7]].concat());
    cluster.partitions.clear();
    assert!(
        cluster.time_until(INTERVAL * 30, |cluster| cluster.all_see(12)).is_some(),
        "partitions not healed"
    );
}

#[test]
fn members_agree_after_a_rolling_replacement() {
    let mut cluster = TestCluster::new(8);
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(8)).is_some());
    for index in 0..8 {
        cluster.start(index, 1);
        cluster.run_for(INTERVAL * 3);
    }
    assert!(cluster.time_until(INTERVAL * 20, |cluster| cluster.all_see(8)).is_some());
}

#[test]
fn message_rate_per_member_grows_with_the_logarithm_of_the_member_count() {
    let messages_per_second = |count: usize| {
        let mut cluster = TestCluster::new(count);
        assert!(cluster.time_until(INTERVAL * 40, |cluster| cluster.all_see(count)).is_some());
        cluster.run_for(INTERVAL * 10);
        cluster.sent = 0;
        cluster.run_for(INTERVAL * 10);
        cluster.sent as f64 / 10.0 / count as f64
    };
    let (few, many) = (messages_per_second(16), messages_per_second(128));
    // 16 members have 4 neighbours, 128 have 7.
    assert!(many <= few * 7.0 / 4.0 * 1.2, "{few:.1} messages/s at 16 members, {many:.1} at 128");
}

/// Messages missed during a pause indicate no failure: neither of a member that was healthy before it, nor
/// of one that was already suspected.
#[test]
fn a_pause_of_this_member_makes_no_suspected_member_dead() {
    // There is no third member, which would declare the suspected one dead in the meantime.
    let mut cluster = TestCluster::new(2);
    cluster.run_for(Duration::from_secs(10));
    cluster.paused.push(address(1));
    let incarnation = record(1, 0).incarnation;
    let health = |cluster: &TestCluster| cluster.tables[&address(0)].get(incarnation).unwrap().health;
    while health(&cluster) != MemberHealth::Suspect {
        cluster.step();
    }
    // Both are paused now. When they continue, the suspected member can refute the suspicion at once.
    cluster.paused.push(address(0));
    cluster.run_for(Duration::from_secs(30));
    cluster.paused.clear();
    for _ in 0..40 {
        cluster.step();
        assert_ne!(health(&cluster), MemberHealth::Dead, "declared dead right after the pause");
    }
    cluster.run_for(Duration::from_secs(5));
    assert_eq!(health(&cluster), MemberHealth::Alive);
}
