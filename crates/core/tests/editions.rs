//! The version of an active edition never decreases, and tables converge regardless of the order in
//! which editions are offered.

use proptest::prelude::*;
use sniperelay_core::edition::{ConfigEdition, EditMark, EditionTable, OfferOutcome, summary_of};

fn edition(service: u8, generation: u64, edit_id: u128) -> ConfigEdition {
    ConfigEdition {
        service: format!("s{service}"),
        mark: EditMark { edit_id, generation, author: "a".to_owned(), unix_millis: 0 },
        history: Vec::new(),
        text: String::new(),
    }
}

#[test]
fn only_newer_editions_are_adopted() {
    let mut table = EditionTable::default();
    let rows = [
        (edition(1, 5, 1), OfferOutcome::Adopted),
        (edition(1, 5, 1), OfferOutcome::Unchanged),
        (edition(1, 4, 9), OfferOutcome::Stale),
        (edition(1, 6, 2), OfferOutcome::Adopted),
        (edition(1, 1, 1), OfferOutcome::Stale),
        (edition(2, 1, 1), OfferOutcome::Adopted),
    ];
    for (offered, expected) in rows {
        assert_eq!(table.offer(offered.clone()), expected, "{offered:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn versions_never_fall_and_tables_converge(
        offers in prop::collection::vec((0u8..4, 1u64..6, 1u128..4), 1..40), seed in any::<u64>()
    ) {
        let mut left = EditionTable::default();
        for (service, generation, edit_id) in &offers {
            let name = format!("s{service}");
            let before = left.get(&name).map(ConfigEdition::precedence);
            left.offer(edition(*service, *generation, *edit_id));
            let after = left.get(&name).map(ConfigEdition::precedence);
            prop_assert!(after >= before);
        }
        let mut right = EditionTable::default();
        let mut shuffled = offers.clone();
        shuffled.sort_by_key(|offer| (u64::from(offer.0) * 31 + offer.1 * 7 + offer.2 as u64) ^ seed);
        shuffled.iter().for_each(|(service, generation, edit_id)| { right.offer(edition(*service, *generation, *edit_id)); });
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert_eq!(left.digest().difference(&right.digest()), 0);
        prop_assert!(right.iter().all(|edition| !left.is_newer(&summary_of(edition))));
    }
}
