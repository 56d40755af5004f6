//! Tests of the room for caller connections.

use proptest::prelude::*;
use sniperelay_core::account::AccountId;
use sniperelay_core::connection_table::{
    Acceptance, ConnectionHolder, ConnectionKey, ConnectionLimits, ConnectionTable, RECENT_USE, RequestEntry,
};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const MILLISECOND: Duration = Duration::from_millis(1);

/// A table with a clock. All callers have the same address and differ by account.
struct TableModel {
    table: ConnectionTable,
    now: Instant,
}

impl TableModel {
    fn new(open: usize, reserve: usize) -> Self {
        let table = ConnectionTable::new(ConnectionLimits { open, reserve });
        Self { table, now: Instant::now() }
    }

    /// Opens a connection and begins a request on it. Returns `None` if the request is refused, or the connection not
    /// accepted.
    fn request(&mut self, account: AccountId) -> Option<(ConnectionKey, Option<ConnectionKey>)> {
        self.now += MILLISECOND;
        let key = match self.table.accept(ADDRESS) {
            Acceptance::Open(key) | Acceptance::Provisional(key) => key,
            Acceptance::NoRoom => return None,
        };
        match self.table.begin_request(key, ConnectionHolder::Account(account), self.now) {
            RequestEntry::Serve { ending } => Some((key, ending)),
            RequestEntry::Refuse => {
                self.table.remove(key);
                None
            }
        }
    }

    fn open_idle(&mut self, account: AccountId) -> ConnectionKey {
        let (key, ending) = self.request(account).expect("below the limit");
        assert_eq!((ending, self.table.set_idle(key, self.now)), (None, None));
        key
    }
}

#[test]
fn nothing_ends_below_the_limit() {
    let mut model = TableModel::new(100, 16);
    for account in 0..99 {
        model.open_idle(1 + account % 3);
    }
    assert!(matches!(model.table.accept(ADDRESS), Acceptance::Open(_)));
    assert!(matches!(model.table.accept(ADDRESS), Acceptance::Provisional(_)));
    assert_eq!(model.table.counts().ending, 0);
}

/// Load pattern: kept connections of two equal accounts fill the table, and a third one opens connections.
#[test]
fn longest_idle_connection_ends_first() {
    let mut model = TableModel::new(10, 8);
    let kept: Vec<ConnectionKey> = (0..10).map(|index| model.open_idle(1 + index % 2)).collect();
    // With three accounts a share is 3: both are beyond it, and equal until the first connection ends.
    let ended: Vec<ConnectionKey> = (0..4).map(|_| model.request(3).unwrap().1.unwrap()).collect();
    assert_eq!(ended.len(), 4);
    for (index, key) in ended.iter().enumerate() {
        assert!(kept[..5].contains(key), "connection {index} was not among the longest idle ones");
    }
    assert_eq!(model.table.counts().open, 10);
}

/// Load pattern: one account keeps ten times as many idle connections as the other, and a third one opens connections.
/// Those of the small account have been idle for longest.
#[test]
fn idle_connections_of_the_largest_account_end_first() {
    let mut model = TableModel::new(110, 20);
    let small: Vec<ConnectionKey> = (0..10).map(|_| model.open_idle(1)).collect();
    let large: Vec<ConnectionKey> = (0..100).map(|_| model.open_idle(2)).collect();
    for expected in &large[..10] {
        assert_eq!(model.request(3).unwrap().1, Some(*expected));
    }
    assert!(small.iter().all(|key| !model.table.is_ending(*key)));
}

/// Load pattern: one account opens ten times as many connections as the limit allows, and its requests take long. The others open
/// a few.
#[test]
fn account_with_ten_times_as_many_connections_hears_the_refusals() {
    let mut model = TableModel::new(100, 20);
    let large: Vec<_> = (0..1000).filter_map(|_| model.request(1)).collect();
    assert_eq!(large.len(), 100, "one account alone may use the whole limit, and no more");
    let small: Vec<_> = (0..10).map(|index| model.request(2 + index)).collect();
    assert!(small.iter().all(|entry| matches!(entry, Some((_, None)))), "{small:?}");
    assert_eq!(model.request(1), None, "the large account has no further room");
    // What the large account gives back brings the table to its limit, and none of it is given to its newcomers.
    let ended: Vec<_> =
        large.iter().filter_map(|(key, _)| model.table.set_idle(*key, model.now)).take(11).collect();
    assert_eq!((ended.len(), model.table.counts().open), (10, 100));
}

#[test]
fn all_busy_and_alone_is_refused_in_the_reserve() {
    let mut model = TableModel::new(10, 8);
    let busy: Vec<_> = (0..10).map(|_| model.request(1).unwrap().0).collect();
    assert_eq!(model.request(1), None);
    assert_eq!(model.table.counts().provisional, 0);
    // Its own idle connection makes room, however recently it was used.
    model.table.set_idle(busy[3], model.now);
    assert_eq!(model.request(1).unwrap().1, Some(busy[3]));
}

/// Load pattern: a large account floods while the connections of a small one are in use, a request each 100 ms.
#[test]
fn connections_in_use_are_not_ended_for_an_account_beyond_its_share() {
    let mut model = TableModel::new(20, 8);
    let large: Vec<_> = (0..15).map(|_| model.request(1).unwrap().0).collect();
    let small: Vec<_> = (0..5).map(|_| model.open_idle(2)).collect();
    assert_eq!(model.request(1), None);
    model.now += RECENT_USE;
    assert_eq!(model.request(1).unwrap().1, Some(small[0]), "unused connections are nobody's demand");
    drop(large);
}

#[test]
fn callers_that_do_not_close_bound_the_number_of_ends() {
    let mut model = TableModel::new(20, 8);
    for _ in 0..20 {
        model.open_idle(1);
    }
    let admitted: Vec<_> = (0..10).filter_map(|_| model.request(2)).collect();
    assert_eq!(admitted.len(), 4, "half of the reserve");
    let provisional = (0..10).filter(|_| model.table.accept(ADDRESS) != Acceptance::NoRoom).count();
    assert_eq!(provisional, 4, "the other half");
    // The caller of one closes.
    model.table.remove(admitted[0].1.unwrap());
    assert_eq!(model.table.accept(ADDRESS), Acceptance::NoRoom);
}

#[test]
fn ending_connection_with_a_request_is_served() {
    let mut model = TableModel::new(4, 4);
    let kept: Vec<_> = (0..4).map(|_| model.open_idle(1)).collect();
    assert_eq!(model.request(2).unwrap().1, Some(kept[0]));
    assert!(model.table.is_ending(kept[0]));
    model.table.resume(kept[0]);
    assert!(!model.table.is_ending(kept[0]));
    assert_eq!(model.table.counts().open, 5);
    // The excess is returned as soon as a connection of the account beyond its share is idle.
    assert_eq!(model.table.set_idle(kept[0], model.now), Some(kept[1]));
}

#[derive(Debug, Clone, Copy)]
enum ModelStep {
    Request(AccountId),
    Repeat(usize),
    Idle(usize),
    Resume(usize),
    Close(usize),
}

fn any_step() -> impl Strategy<Value = ModelStep> {
    prop_oneof![
        4 => (1u64..6).prop_map(ModelStep::Request),
        2 => any::<usize>().prop_map(ModelStep::Repeat),
        3 => any::<usize>().prop_map(ModelStep::Idle),
        1 => any::<usize>().prop_map(ModelStep::Resume),
        2 => any::<usize>().prop_map(ModelStep::Close),
    ]
}

proptest! {
    /// Load pattern: five accounts open, use and close connections at random around a limit of 12. The bounds hold, a
    /// busy connection never ends for another one, and nothing is left when all are closed.
    #[test]
    fn bounds_hold_and_no_place_is_lost(steps in prop::collection::vec(any_step(), 1..400)) {
        let mut model = TableModel::new(12, 6);
        let mut connections: Vec<(ConnectionKey, AccountId, bool)> = Vec::new();
        for step in steps {
            let at = |index: usize| (!connections.is_empty()).then(|| index % connections.len());
            let mut chosen = None;
            match step {
                ModelStep::Request(account) => {
                    if let Some((key, ending)) = model.request(account) {
                        connections.push((key, account, true));
                        chosen = ending;
                    }
                }
                ModelStep::Repeat(index) => if let Some(index) = at(index) {
                    let (key, account, is_busy) = &mut connections[index];
                    let entry = model.table.begin_request(*key, ConnectionHolder::Account(*account), model.now);
                    prop_assert_eq!(entry, RequestEntry::Serve { ending: None });
                    *is_busy = true;
                },
                ModelStep::Idle(index) => if let Some(index) = at(index) {
                    connections[index].2 = false;
                    chosen = model.table.set_idle(connections[index].0, model.now);
                },
                ModelStep::Resume(index) => if let Some(index) = at(index) {
                    connections[index].2 |= model.table.is_ending(connections[index].0);
                    model.table.resume(connections[index].0);
                },
                ModelStep::Close(index) => if let Some(index) = at(index) {
                    model.table.remove(connections.swap_remove(index).0);
                },
            }
            let is_busy = |key| connections.iter().any(|(other, _, is_busy)| *other == key && *is_busy);
            prop_assert!(!chosen.is_some_and(is_busy), "a busy connection was chosen to end");
            let counts = model.table.counts();
            prop_assert_eq!(counts.open + counts.ending, connections.len());
            prop_assert!(counts.open + counts.ending <= 12 + 3 && counts.provisional == 0);
            prop_assert!(counts.idle <= counts.open);
        }
        connections.iter().for_each(|(key, _, _)| model.table.remove(*key));
        prop_assert_eq!(model.table.counts(), Default::default());
        prop_assert!((0..12).all(|_| model.request(9).is_some()));
    }
}
