//! Tests of the claim table: each key is executed at most once.

use proptest::prelude::*;
use sniperelay_core::claim::{ClaimKey, ClaimLimits, ClaimState, ClaimTable, ClaimTicket, ClaimVerdict};
use std::time::{Duration, Instant};

const LIMITS: ClaimLimits =
    ClaimLimits { epoch_length: Duration::from_secs(10), retained_epochs: 3, max_keys: 4 };

fn key(incarnation: u64, epoch: u32, suffix: &str) -> ClaimKey {
    ClaimKey { ticket: ClaimTicket { incarnation, epoch }, suffix: suffix.to_owned() }
}

#[test]
fn claim_verdict_depends_on_epoch_incarnation_and_capacity() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut table = ClaimTable::new(7, start, LIMITS);
    let rows: &[(u64, ClaimKey, ClaimVerdict)] = &[
        (0, key(7, 0, "a"), ClaimVerdict::Accepted),
        (0, key(7, 0, "a"), ClaimVerdict::Duplicate(ClaimState::Held)),
        (1, key(8, 0, "a"), ClaimVerdict::OtherIncarnation),
        (1, key(7, 2, "a"), ClaimVerdict::NeverIssued),
        (1, key(7, 1, "early"), ClaimVerdict::Accepted),
        (35, key(7, 0, "a"), ClaimVerdict::Expired),
        (35, key(7, 1, "early"), ClaimVerdict::Duplicate(ClaimState::Held)),
        (36, key(7, 3, "b"), ClaimVerdict::Accepted),
        (36, key(7, 3, "c"), ClaimVerdict::Accepted),
        (36, key(7, 3, "d"), ClaimVerdict::Accepted),
        (36, key(7, 3, "e"), ClaimVerdict::Full),
        (36, key(7, 3, "b"), ClaimVerdict::Duplicate(ClaimState::Held)),
        (100_000, key(7, 3, "b"), ClaimVerdict::Expired),
        (100_000, key(7, 10_000, "b"), ClaimVerdict::Accepted),
    ];
    for (seconds, key, expected) in rows {
        assert_eq!(table.claim(key, at(*seconds)), *expected, "{key} at {seconds} s");
    }
}

#[test]
fn held_key_is_not_sent_after_its_epoch_expired_during_a_pause() {
    let start = Instant::now();
    let mut table = ClaimTable::new(7, start, LIMITS);
    let held = key(7, 0, "a");
    assert_eq!(table.claim(&held, start), ClaimVerdict::Accepted);
    assert!(!table.mark_sent(&held, start + Duration::from_secs(3600)));
}

#[test]
fn keys_round_trip_through_text_and_malformed_keys_are_rejected() {
    let valid = key(0xfe, 0x1f, "3-abc");
    assert_eq!(valid.to_string().parse::<ClaimKey>(), Ok(valid));
    for text in ["", "a", "a-b", "g-1-x", "1-1-", "1-1- ", "12345678901234567-1-x", "1-123456789-x", "-1-x"] {
        assert!(text.parse::<ClaimKey>().is_err(), "{text:?}");
    }
}

#[derive(Debug, Clone)]
enum ClaimStep {
    Claim(u8),
    Send(u8),
    Refused(u8),
    Ran(u8),
    Release(u8),
    Wait(u8),
}

fn claim_step() -> impl Strategy<Value = ClaimStep> {
    let key = 0u8..6;
    prop_oneof![
        key.clone().prop_map(ClaimStep::Claim),
        key.clone().prop_map(ClaimStep::Send),
        key.clone().prop_map(ClaimStep::Refused),
        key.clone().prop_map(ClaimStep::Ran),
        key.clone().prop_map(ClaimStep::Release),
        (0u8..40).prop_map(ClaimStep::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of steps, a key is sent again only after a target refused it.
    #[test]
    fn key_is_sent_at_most_once_unless_refused(steps in prop::collection::vec(claim_step(), 1..80)) {
        let mut now = Instant::now();
        let mut table = ClaimTable::new(7, now, LIMITS);
        let mut sent = [0u32; 6];
        let mut refused = [0u32; 6];
        let name = |index: u8| key(7, u32::from(index) % 3, &format!("k{index}"));
        for step in steps {
            match step {
                ClaimStep::Claim(index) => drop(table.claim(&name(index), now)),
                ClaimStep::Send(index) => sent[index as usize] += u32::from(table.mark_sent(&name(index), now)),
                ClaimStep::Refused(index) => {
                    if sent[index as usize] > refused[index as usize] {
                        refused[index as usize] += 1;
                        table.mark_refused(&name(index));
                    }
                }
                ClaimStep::Ran(index) => table.mark_ran(&name(index), 200),
                ClaimStep::Release(index) => table.release(&name(index)),
                ClaimStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
            }
            for (sent, refused) in sent.iter().zip(&refused) {
                prop_assert!(*sent <= refused + 1);
            }
        }
    }

    #[test]
    fn key_parser_never_panics(text in "\\PC{0,80}") {
        let _ = text.parse::<ClaimKey>();
    }
}
