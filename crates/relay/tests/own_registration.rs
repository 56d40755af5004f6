//! Tests of the registration of a process beside others of its name, without a network.

use sniperelay_relay::own_registration::{FoundRegistration, OwnRegistration};

fn found(version: u64, is_own: bool) -> Option<FoundRegistration> {
    Some(FoundRegistration { version, is_own, is_restored: false })
}

#[test]
fn started_process_replaces_its_predecessor_and_gives_way_to_its_successor() {
    let mut registration = OwnRegistration::default();
    assert!(registration.is_due(None));
    assert!(registration.is_due(found(5, false)), "the predecessor's");
    registration.record_written(6);
    assert!(!registration.is_due(found(6, true)));
    assert!(!registration.is_due(found(7, false)), "the successor's");
    assert!(registration.is_replaced(found(7, false)));
    // The successor has left or was found dead, and its registration removed.
    assert!(registration.is_due(None));
}

/// An old read, or a store that returns with older contents, shows a predecessor once more.
#[test]
fn older_registration_of_another_process_is_replaced_again() {
    let mut registration = OwnRegistration::default();
    registration.record_written(6);
    assert!(registration.is_due(found(5, false)));
    assert!(!registration.is_replaced(found(5, false)));
}

/// Load pattern: two processes of one name run side by side and see each change.
#[test]
fn two_processes_register_once_each() {
    let mut processes = [OwnRegistration::default(), OwnRegistration::default()];
    let (mut owner, mut version) = (None, 0);
    for round in 0..100 {
        let index = round % 2;
        let current = owner.and_then(|owner: usize| found(version, owner == index));
        if processes[index].is_due(current) {
            version += 1;
            owner = Some(index);
            processes[index].record_written(version);
        }
    }
    assert_eq!((version, owner), (2, Some(1)));
}

/// The store returns from a copy that holds the registration of an earlier process. Its version is higher than
/// all versions before, but it is no successor.
#[test]
fn restored_registration_of_a_predecessor_is_replaced() {
    let mut registration = OwnRegistration::default();
    registration.record_written(6);
    let restored = Some(FoundRegistration { version: 1 << 40 | 3, is_own: false, is_restored: true });
    assert!(registration.is_due(restored) && !registration.is_replaced(restored));
}

/// Guards against a fleet that is just starting, and knows a part of itself, being taken for one that was at work before.
#[test]
fn only_an_earlier_registration_of_the_own_name_shows_a_predecessor() {
    let found = |is_own| Some(FoundRegistration { version: 5, is_own, is_restored: false });
    let mut registration = OwnRegistration::default();
    assert!(!registration.is_predecessor(None), "others have registered, but not this entry VM");
    assert!(!registration.is_predecessor(found(true)));
    assert!(registration.is_predecessor(found(false)));
    registration.record_written(4);
    assert!(!registration.is_predecessor(found(false)), "a successor");
}
