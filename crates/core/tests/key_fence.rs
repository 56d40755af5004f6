//! Tests which requests with API keys are admitted, by the age of the proof that the configuration was current.

use sniperelay_core::key_fence::{KeyFence, KeyVerdict, retry_after_outdated};
use std::time::Duration;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn fence() -> KeyFence {
    KeyFence::new(millis(5000), millis(2500))
}

#[test]
fn known_key_is_admitted_until_the_bound_for_revoked_keys() {
    for (age, verdict) in [
        (Some(0), KeyVerdict::Admitted),
        (Some(4999), KeyVerdict::Admitted),
        (Some(5000), KeyVerdict::Outdated),
        (Some(3_600_000), KeyVerdict::Outdated),
        (None, KeyVerdict::Outdated),
    ] {
        assert_eq!(fence().judge(true, age.map(millis)), verdict, "{age:?}");
    }
}

/// Guards against keys that are denied although they were added since the proof.
#[test]
fn key_that_nobody_holds_is_unknown_only_while_the_proof_is_younger_than_the_bound_for_new_configurations() {
    for (age, verdict) in [
        (Some(0), KeyVerdict::Unknown),
        (Some(1999), KeyVerdict::Unknown),
        (Some(2500), KeyVerdict::Outdated),
        (Some(5000), KeyVerdict::Outdated),
        (None, KeyVerdict::Outdated),
    ] {
        assert_eq!(fence().judge(false, age.map(millis)), verdict, "{age:?}");
    }
}

/// The time within which a configuration takes effect may be longer than that within which keys are revoked.
#[test]
fn unknown_key_is_never_certain_for_longer_than_a_known_one_is_admitted() {
    let fence = KeyFence::new(millis(1000), millis(60_000));
    assert_eq!(fence.judge(false, Some(millis(999))), KeyVerdict::Unknown);
    assert_eq!(fence.judge(false, Some(millis(1000))), KeyVerdict::Outdated);
}

/// A proof must reach followers before the share of the bound after which requests are not owed any more, 0.6, and leave
/// them time to change their reader.
#[test]
fn proofs_are_renewed_well_within_the_bound() {
    let fence = fence();
    assert!(fence.proof_interval() <= millis(1000));
    assert!(fence.max_follower_age() > fence.proof_interval() && fence.max_follower_age() <= millis(2000));
}

#[test]
fn callers_are_sent_elsewhere_at_once_unless_the_store_is_away_for_all() {
    assert!(retry_after_outdated(false) <= millis(50));
    assert!(retry_after_outdated(true) >= 10 * retry_after_outdated(false));
}
