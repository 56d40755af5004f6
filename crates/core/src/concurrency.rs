//! Number of requests at which a target completes most work.
//!
//! Some targets slow down when they are nearly full: beyond some number of requests, each of them takes so much longer that
//! the target completes fewer of them per second. While requests wait, every target is filled; it then completes less than
//! it could, and the wait goes on after the burst that began it has ended. The load at which requests no longer wait can be
//! far below the one at which the wait began.
//!
//! [`WorkLevels`] measures how long the work on a request takes by the number of requests at its target (its level), and
//! [`ConcurrencyLimit`] is the level at which a target completes most.
//!
//! Invariant: a target is filled up to its slots, unless requests that were measured at its highest level and at a lower one
//! show that it completes more at the lower one. The levels above the limit are measured again from time to time, since
//! targets and their work change.

use std::time::{Duration, Instant};

/// Number of levels that are measured. Targets with more slots are filled up to them.
const MAX_LEVELS: usize = 16;
/// Number of requests at a level from which its duration counts as measured: the mean of as many durations that vary by a
/// third is known to about a twentieth.
const MIN_SAMPLES: u32 = 40;
/// Number of requests at a level from which its duration shows whether the level is worth measuring.
const FEW_SAMPLES: u32 = 5;
/// Weight of a new sample in the duration of a level.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum ratio of a sample to the duration of its level. A single request must not decide.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Minimum ratio of the requests per second at two levels that counts as a difference: the accuracy of a duration.
const MIN_GAIN: f64 = 1.05;
/// Interval at which the levels above the limit are measured again.
const MEASURE_INTERVAL: Duration = Duration::from_secs(10);

/// Mean duration of the work on requests that started as the last of a number of requests at their target.
#[derive(Debug, Default, Clone, Copy)]
struct LevelEstimate {
    seconds: f64,
    samples: u32,
}

impl LevelEstimate {
    fn record(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        let limited = if self.samples > 1 { seconds.min(MAX_SAMPLE_RATIO * self.seconds) } else { seconds };
        self.seconds += weight * (limited - self.seconds);
    }

    fn is_measured(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.seconds > 0.0
    }
}

/// Durations of the work on the requests of one rank, by level.
#[derive(Debug, Default, Clone)]
pub struct WorkLevels {
    levels: [LevelEstimate; MAX_LEVELS],
    /// Number of requests at all levels.
    samples: u64,
}

impl WorkLevels {
    /// Records the work on a request that started as the last of `level` requests at its target.
    pub fn record(&mut self, level: u32, work: Duration) {
        if let Some(estimate) = self.levels.get_mut((level as usize).wrapping_sub(1)) {
            estimate.record(work.as_secs_f64());
            self.samples += 1;
        }
    }

    /// Discards what is known about the levels from this one on.
    fn forget_from(&mut self, level: u32) {
        self.levels
            .iter_mut()
            .skip(level as usize - 1)
            .for_each(|estimate| *estimate = LevelEstimate::default());
    }

    /// Returns the level up to which a target with `slots` slots is filled: the one at which it completes most requests per
    /// second. While requests do not fill targets, that is the number of slots. A lower level that could be better and has
    /// not been measured is returned until it is.
    pub fn best_level(&self, slots: u32) -> u32 {
        let levels = self.levels.get(..slots as usize).unwrap_or_default();
        if !levels.last().is_some_and(LevelEstimate::is_measured) {
            return slots;
        }
        let measured = || (1..=slots).zip(levels).filter(|(_, estimate)| estimate.is_measured());
        let rate = |(level, estimate): (u32, &LevelEstimate)| f64::from(level) / estimate.seconds;
        let below = levels[..levels.len() - 1].iter().filter(|estimate| estimate.samples >= FEW_SAMPLES);
        // Without any requests at lower levels, the one below is tried.
        let shortest = below.map(|estimate| estimate.seconds).reduce(f64::min).unwrap_or(0.0);
        let best_rate = measured().map(rate).fold(0.0, f64::max);
        let could_be_better = |(level, estimate): &(u32, &LevelEstimate)| {
            !estimate.is_measured() && f64::from(*level) / shortest > best_rate * MIN_GAIN
        };
        let candidate = (1..=slots).zip(levels).filter(could_be_better).last();
        let best = || measured().filter(|level| rate(*level) * MIN_GAIN >= best_rate).last();
        candidate.or_else(best).map_or(slots, |(level, _)| level)
    }
}

/// The level up to which the targets of a service are filled.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    level: Option<u32>,
    measured_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Updates the limit of targets with `slots` slots from the durations of the rank with most requests. Returns the limit if
    /// it has changed.
    pub fn update<'a>(
        &mut self,
        ranks: impl Iterator<Item = &'a mut WorkLevels>,
        slots: u32,
        now: Instant,
    ) -> Option<u32> {
        let levels = ranks.max_by_key(|levels| levels.samples)?;
        let mut level = levels.best_level(slots);
        let measured_at = *self.measured_at.get_or_insert(now);
        if level < slots && now.saturating_duration_since(measured_at) >= MEASURE_INTERVAL {
            self.measured_at = Some(now);
            levels.forget_from(level + 1);
            level = levels.best_level(slots);
        }
        let has_changed = self.level.unwrap_or(slots) != level;
        self.level = Some(level);
        has_changed.then_some(level)
    }
}
