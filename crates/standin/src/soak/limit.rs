//! Limits that some targets state, for soaks with `--stated-limits`.
//!
//! The first targets state a limit in all responses until the faults are cleared. From [`CONTACT`] after its first
//! statement on, a target must get no more requests and health checks in any [`WINDOW`] than one and a half times
//! what its limit allows, and [`TOLERATED`]. A window does not count if a process was signalled within
//! [`CONTACT`] before it or within it. After the limits have ended, the targets must be used again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limits of the first targets, in requests per second.
pub const STATED_LIMITS: [f64; 2] = [5.0, 0.5];
/// Number of faults after which there is a [`CALM_TIME`], so that some windows count.
pub const FAULTS_BETWEEN_CALMS: usize = 5;
/// Time without faults: the recovery from a signal, contact, and several windows.
pub const CALM_TIME: Duration = Duration::from_secs(16);
/// Time within which entry VMs must have adapted to a change.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the time in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Arrivals that are tolerated beyond any limit.
const TOLERATED: f64 = 5.0;
/// Time after a signal within which the process may not be back: a planned stop, and the next start.
const SIGNAL_RECOVERY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct LimitRecords {
    /// Arrivals of requests and health checks at each target with a limit.
    arrivals: [Vec<Instant>; STATED_LIMITS.len()],
    signals: Vec<Instant>,
    ended_at: Option<Instant>,
}

/// Arrivals at targets that state limits, and signals to entry VM processes.
#[derive(Debug, Clone, Default)]
pub struct LimitLog(Arc<Mutex<LimitRecords>>);

impl LimitLog {
    fn lock(&self) -> MutexGuard<'_, LimitRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an arrival at a target and returns the limit that the target states, if any.
    pub fn record_arrival(&self, target: usize) -> Option<f64> {
        let mut records = self.lock();
        records.arrivals.get_mut(target)?.push(Instant::now());
        records.ended_at.is_none().then(|| STATED_LIMITS[target])
    }

    /// Records a signal to an entry VM process.
    pub fn record_signal(&self) {
        self.lock().signals.push(Instant::now());
    }

    /// Ends all limits.
    pub fn end_limits(&self) {
        self.lock().ended_at.get_or_insert_with(Instant::now);
    }

    /// Returns the number of windows that count, for all targets together.
    pub fn window_count(&self) -> usize {
        let records = self.lock();
        (0..STATED_LIMITS.len()).map(|target| records.windows(target).count()).sum()
    }

    /// Returns descriptions of the violations.
    pub fn find_violations(&self) -> Vec<String> {
        let records = self.lock();
        (0..STATED_LIMITS.len()).flat_map(|target| records.find_violations(target)).collect()
    }
}

impl LimitRecords {
    fn find_violations(&self, target: usize) -> Vec<String> {
        let limit = STATED_LIMITS[target];
        let allowed = (1.5 * limit * WINDOW.as_secs_f64() + TOLERATED) as usize;
        let mut violations = Vec::new();
        let windows = self.windows(target).map(|start| (self.count(target, start, start + WINDOW), start));
        if let Some((peak, start)) = windows.max().filter(|(peak, _)| *peak > allowed) {
            let offset = start.saturating_duration_since(self.arrivals[target][0]);
            violations.push(format!(
                "target {target} with a limit of {limit} a second got {peak} requests in 4 s, {offset:.1?} after its first arrival"
            ));
        }
        if let Some(ended_at) = self.ended_at {
            let since = ended_at + CONTACT;
            let used = self.count(target, since, since + WINDOW);
            if used <= allowed {
                violations
                    .push(format!("target {target} got {used} requests in 4 s after its limit had ended"));
            }
        }
        violations
    }

    /// Returns the starts of the windows that count. Each begins with an arrival.
    fn windows(&self, target: usize) -> impl Iterator<Item = Instant> + '_ {
        let first = self.arrivals[target].first().copied();
        let counts = move |start: &Instant| {
            let is_bound = first.is_some_and(|first| *start >= first + CONTACT);
            let is_limited = self.ended_at.is_none_or(|ended_at| *start + WINDOW <= ended_at);
            let is_disturbed = |signal: &Instant| {
                *signal <= *start + WINDOW && *signal + SIGNAL_RECOVERY + CONTACT >= *start
            };
            is_bound && is_limited && !self.signals.iter().any(is_disturbed)
        };
        self.arrivals[target].iter().copied().filter(counts)
    }

    fn count(&self, target: usize, from: Instant, to: Instant) -> usize {
        self.arrivals[target].iter().filter(|arrival| (from..to).contains(*arrival)).count()
    }
}
