//! Tests of the memory for responses under responses without end.

use proptest::prelude::*;
use sniperelay_core::memory_budget::{MemoryBudget, MemoryShare};

const LIMIT: usize = 32 * 1024 * 1024;
const FRAME: usize = 16 * 1024;

/// Load pattern: several targets send bodies without end at the same time, while sound responses of 90 KB
/// arrive, as the users' largest ones are.
#[test]
fn endless_responses_leave_memory_for_the_sound_ones() {
    for endless_count in [1, 4, 16, 64] {
        let budget = MemoryBudget::new(LIMIT);
        let mut endless: Vec<MemoryShare> = (0..endless_count).map(|_| budget.open_share()).collect();
        let mut is_growing = true;
        while is_growing {
            let grown = endless.iter_mut().filter_map(|share| share.try_grow(FRAME).then_some(()));
            is_growing = grown.count() > 0;
        }
        assert!(budget.used() <= LIMIT);
        // Nothing has been returned yet, and a sound response still finds room.
        let sound: Vec<MemoryShare> = (0..2).map(|_| budget.open_share()).collect();
        for mut share in sound {
            assert!((0..6).all(|_| share.try_grow(15 * 1024)), "{endless_count} endless responses");
        }
        drop(endless);
        assert_eq!(budget.used(), 0);
    }
}

#[test]
fn single_response_gets_half_of_the_budget_at_most() {
    let budget = MemoryBudget::new(1000);
    let mut share = budget.open_share();
    assert!(share.try_grow(500));
    assert!(!share.try_grow(1));
    assert!(!share.try_grow(usize::MAX));
    assert_eq!(budget.used(), 500);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_never_exceed_the_limit(
        steps in prop::collection::vec((0usize..8, 0usize..400, prop::bool::weighted(0.1)), 1..300),
    ) {
        let budget = MemoryBudget::new(1000);
        let mut shares: Vec<MemoryShare> = (0..8).map(|_| budget.open_share()).collect();
        let mut sizes = [0; 8];
        for (index, bytes, is_dropped) in steps {
            if is_dropped {
                shares[index] = budget.open_share();
                sizes[index] = 0;
            } else if shares[index].try_grow(bytes) {
                sizes[index] += bytes;
            }
            prop_assert_eq!(budget.used(), sizes.iter().sum::<usize>());
            prop_assert!(budget.used() <= 1000);
        }
    }
}

/// A share that does not fit leaves the budget as it is; large ones leave room to others.
#[test]
fn share_is_extended_as_a_whole_or_not_at_all() {
    let budget = MemoryBudget::new(100);
    let mut large = budget.open_share();
    assert!(!large.try_extend(81, 20));
    assert!(large.try_extend(80, 20));
    assert_eq!((large.bytes(), budget.used()), (80, 80));
    let mut small = budget.open_share();
    assert!(!small.try_extend(1, 20) && small.try_extend(20, 0) && !small.try_extend(1, 0));
    assert!(!small.try_extend(usize::MAX, 0));
    assert_eq!((small.bytes(), budget.used()), (20, 100));
    drop(large);
    assert_eq!(budget.used(), 20);
}
