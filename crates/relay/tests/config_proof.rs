//! Tests of the proof that the configuration is current, in virtual time.

use sniperelay_core::key_fence::KeyFence;
use sniperelay_core::reason::RefusalReason;
use sniperelay_platform::api::{ObjectList, StoredObject};
use sniperelay_relay::config_proof::{ConfigProof, ConfigReading, ProofStatement};
use sniperelay_relay::copy_status::CopyTable;
use std::time::Duration;

const OUTDATED: Result<(), RefusalReason> = Err(RefusalReason::ConfigurationOutdated);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn new_proof() -> ConfigProof {
    ConfigProof::new(Some(KeyFence::new(at(5.0), at(2.5))))
}

fn reading(object_version: u64, read_at: f64) -> ConfigReading {
    ConfigReading { object_version, config_version: 0, read_at: at(read_at) }
}

/// Returns a proof of configuration 7, in an object of version 70, of 100 s after the boot.
fn proven() -> ConfigProof {
    let proof = new_proof();
    proof.record_in_force(70, 7);
    proof.record_reading(reading(70, 100.0));
    proof
}

/// Guards against a VM that was frozen, and accepts keys that were removed meanwhile.
#[test]
fn frozen_vm_finds_its_proof_outdated_when_it_wakes() {
    let proof = proven();
    assert_eq!(proof.begin_check(at(104.9)).judge(true), Ok(()));
    assert_eq!(proof.begin_check(at(105.0)).judge(true), OUTDATED);
    assert_eq!(proof.begin_check(at(105.0)).judge(false), OUTDATED);
    proof.record_reading(reading(70, 160.0));
    assert_eq!(proof.begin_check(at(160.1)).judge(true), Ok(()));
    assert_eq!(proof.begin_check(at(160.1)).judge(false), Err(RefusalReason::ApiKeyUnknown));
}

#[test]
fn nothing_is_admitted_before_the_first_proof() {
    let proof = new_proof();
    assert_eq!(proof.begin_check(at(1.0)).judge(true), OUTDATED);
    proof.record_in_force(70, 7);
    assert_eq!(proof.begin_check(at(1.0)).judge(true), OUTDATED, "a copy of a peer is no proof");
    assert_eq!(proof.state_proof(at(1.0)), None);
}

#[test]
fn without_a_fence_the_age_does_not_matter() {
    let proof = ConfigProof::new(None);
    assert_eq!(proof.begin_check(at(1.0)).judge(true), Ok(()));
    assert_eq!(proof.begin_check(at(1.0)).judge(false), Err(RefusalReason::ApiKeyUnknown));
    assert_eq!(proof.take_transition(at(1.0)), None);
}

/// Guards against a proof that is renewed by stale responses: those confirm a copy, by the time of the receipt.
#[test]
fn confirmation_of_the_copy_is_no_proof() {
    let (proof, copies) = (proven(), CopyTable::default());
    copies.confirm("config/", 70, at(100.0));
    copies.observe_store(70, at(110.0));
    assert!(copies.is_current("config/", at(110.0)));
    assert_eq!(proof.begin_check(at(110.0)).judge(true), OUTDATED);
}

/// Guards against a proof for a configuration that has arrived and is not in force, for example because it cannot be
/// decoded.
#[test]
fn reading_counts_once_its_configuration_is_in_force() {
    let proof = proven();
    proof.record_reading(reading(80, 104.0));
    proof.record_reading(reading(90, 105.0));
    assert_eq!(proof.age(at(105.0)), Some(at(5.0)));
    proof.record_in_force(80, 8);
    assert_eq!(proof.age(at(105.0)), Some(at(1.0)), "the earlier reading counts while the later one waits");
    proof.record_in_force(90, 9);
    assert_eq!(proof.age(at(105.0)), Some(at(0.0)));
}

#[test]
fn earlier_reading_does_not_make_the_proof_older() {
    let proof = proven();
    proof.record_reading(reading(70, 90.0));
    assert_eq!(proof.age(at(101.0)), Some(at(1.0)));
}

#[test]
fn waiting_readings_are_bounded_and_the_latest_ones_stay() {
    let proof = proven();
    for index in 0..1000 {
        proof.record_reading(reading(80, 101.0 + f64::from(index)));
    }
    proof.record_in_force(80, 8);
    assert_eq!(proof.age(at(1100.0)), Some(at(0.0)));
}

/// Passes the proof of a reader to a follower, as an item of a list.
fn hand_on(reader: &ConfigProof, received_at: f64, follower: &ConfigProof, sent_at: f64) {
    let statement = reader.state_proof(at(received_at)).unwrap().encode();
    let other = StoredObject { key: "config/".to_owned(), version: 1, value: String::new() };
    let list = ObjectList { revision: 90, items: vec![other, statement] };
    let text = serde_json::to_string(&list).unwrap();
    let list: ObjectList = serde_json::from_str(&text).unwrap();
    follower.record_reading(ProofStatement::find(&list.items).unwrap().to_reading(at(sent_at)));
}

/// Guards against a proof that becomes younger on its way. The boot times of two VMs have nothing in common.
#[test]
fn proof_only_grows_older_when_it_is_handed_on() {
    let (reader, follower) = (proven(), new_proof());
    follower.record_in_force(70, 7);
    // The check was sent at 2000 s by the follower's clock, arrived when the proof was 1 s old, and was held then.
    hand_on(&reader, 101.0, &follower, 2000.0);
    let age = follower.age(at(2000.3)).unwrap();
    assert!(age >= at(1.3) && age <= at(1.302), "{age:?}");
    // A proof that the reader got while it held the check counts from the time of the check.
    reader.record_reading(reading(70, 102.2));
    hand_on(&reader, 102.0, &follower, 2001.0);
    assert!(follower.age(at(2001.5)).unwrap() >= at(0.5));
    // A follower that was frozen between the check and its response.
    hand_on(&reader, 103.0, &follower, 2002.0);
    assert!(follower.age(at(2060.0)).unwrap() >= at(58.0));
    assert_eq!(follower.begin_check(at(2060.0)).judge(true), OUTDATED);
}

/// Guards against a proof of a reader for a configuration that the follower has not received.
#[test]
fn proof_of_a_reader_counts_once_the_follower_has_its_configuration() {
    let (reader, follower) = (proven(), new_proof());
    reader.record_in_force(80, 8);
    follower.record_in_force(70, 7);
    hand_on(&reader, 100.0, &follower, 2000.0);
    assert_eq!(follower.begin_check(at(2000.1)).judge(true), OUTDATED);
    follower.record_in_force(80, 8);
    assert_eq!(follower.begin_check(at(2000.1)).judge(true), Ok(()));
}

/// Guards against a VM that starts after the store has returned from an older copy, and accepts keys that a later version
/// has removed: its reader was there before.
#[test]
fn proof_of_a_reader_with_a_later_version_does_not_count_for_an_older_one() {
    let (reader, follower) = (proven(), new_proof());
    // The object is that of version 6; the reader keeps version 7.
    reader.record_in_force(170, 7);
    follower.record_in_force(170, 6);
    hand_on(&reader, 100.0, &follower, 2000.0);
    assert_eq!(follower.begin_check(at(2000.1)).judge(true), OUTDATED);
    follower.record_in_force(180, 8);
    assert_eq!(follower.begin_check(at(2000.1)).judge(true), Ok(()));
}

#[test]
fn list_of_an_earlier_build_or_a_malformed_item_states_nothing() {
    let item =
        |key: &str, value: &str| StoredObject { key: key.to_owned(), version: 1, value: value.to_owned() };
    assert_eq!(ProofStatement::find(&[item("config/", "")]), None);
    for value in ["", "{}", "7", r#"{"age_ms":-1,"config_version":1}"#, r#"{"config_version":1}"#] {
        assert_eq!(ProofStatement::find(&[item("sniperelay-config-proof", value)]), None, "{value}");
    }
    let later = item("sniperelay-config-proof", r#"{"age_ms":5,"config_version":1,"new":[]}"#);
    assert!(ProofStatement::find(&[later]).is_some());
}

#[test]
fn beginning_and_end_of_the_refusals_are_reported_once() {
    let proof = proven();
    assert_eq!([104.0, 106.0, 107.0].map(|time| proof.take_transition(at(time))), [None, Some(true), None]);
    proof.record_reading(reading(70, 107.0));
    assert_eq!([108.0, 109.0].map(|time| proof.take_transition(at(time))), [Some(false), None]);
}
