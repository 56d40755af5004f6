//! States of a store in the last moments, from which calls that accept old data are answered.
//!
//! Each call is answered from a state of its own, so that the pages of one list differ in age.

use crate::platform::StoreCopy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The states of a store, from that which held `max_age` ago to the present one.
#[derive(Debug)]
pub struct RecentStates {
    max_age: Duration,
    states: VecDeque<(Instant, StoreCopy)>,
    rng: SmallRng,
}

impl RecentStates {
    /// Creates a record that begins with the present state. `seed` decides which states are chosen.
    pub fn starting_with(state: StoreCopy, max_age: Duration, seed: u64) -> Self {
        let states = VecDeque::from([(Instant::now(), state)]);
        Self { max_age, states, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Records the state after a change.
    pub fn record(&mut self, state: StoreCopy) {
        self.states.push_back((Instant::now(), state));
        self.drop_old();
    }

    /// Begins anew with a state, as none before it may be returned any more.
    pub fn restart(&mut self, state: StoreCopy) {
        self.states.clear();
        self.record(state);
    }

    /// Returns one of the states at random.
    pub fn choose(&mut self) -> Option<StoreCopy> {
        self.drop_old();
        let index = self.rng.random_range(0..self.states.len().max(1));
        self.states.get(index).map(|(_, state)| state.clone())
    }

    /// Drops the states that were replaced more than `max_age` ago.
    fn drop_old(&mut self) {
        while self.states.get(1).is_some_and(|(since, _)| since.elapsed() > self.max_age) {
            self.states.pop_front();
        }
    }
}
