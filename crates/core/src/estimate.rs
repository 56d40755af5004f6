//! Estimates of durations and sizes from a stream of samples, in constant memory.

use std::time::Duration;

/// Weight of a new sample in a mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Minimum relative step of a quantile estimate.
const QUANTILE_STEP: f64 = 0.05;
/// Number of samples after which the step of a quantile estimate has halved.
const EARLY_SAMPLES: f64 = 4.0;
/// Expected number of samples beyond a quantile from which its estimate is taken for measured.
const MEASURED_TAIL_SAMPLES: f64 = 1.0;
/// Minimum estimate, in seconds.
const MIN_SECONDS: f64 = 1e-6;

/// Exponentially weighted moving average of a duration.
#[derive(Debug, Clone, Copy)]
pub struct MeanEstimate {
    seconds: f64,
}

impl MeanEstimate {
    /// Creates an estimate with the initial value `initial`.
    pub fn new(initial: Duration) -> Self {
        Self { seconds: initial.as_secs_f64().max(MIN_SECONDS) }
    }

    /// Records a sample.
    pub fn record(&mut self, sample: Duration) {
        self.seconds += MEAN_WEIGHT * (sample.as_secs_f64() - self.seconds);
        self.seconds = self.seconds.max(MIN_SECONDS);
    }

    /// Returns the current estimate.
    pub fn value(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

/// Exponentially weighted moving average of a size in bytes; 0 before the first sample.
#[derive(Debug, Clone, Copy, Default)]
pub struct SizeEstimate {
    bytes: f64,
}

impl SizeEstimate {
    /// Records a sample.
    pub fn record(&mut self, bytes: f64) {
        let weight = if self.bytes == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.bytes += weight * (bytes - self.bytes);
    }

    /// Returns the current estimate, in bytes.
    pub fn value(self) -> f64 {
        self.bytes
    }
}

/// Quantile of a duration, estimated by stochastic approximation. Each sample moves the estimate by
/// a small relative step whose size depends only on whether the sample lies above or below it. A
/// few very large samples therefore move it no more than slightly large ones do.
#[derive(Debug, Clone, Copy)]
pub struct QuantileEstimate {
    quantile: f64,
    seconds: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// Creates an estimate of `quantile` (0 to 1) with the initial value `initial`.
    pub fn new(quantile: f64, initial: Duration) -> Self {
        Self { quantile, seconds: initial.as_secs_f64().max(MIN_SECONDS), samples: 0 }
    }

    /// Records a sample. The first sample replaces the initial value, and early samples move the
    /// estimate more than later ones.
    pub fn record(&mut self, sample: Duration) {
        if self.samples == 0 {
            self.seconds = sample.as_secs_f64();
        }
        let step = (EARLY_SAMPLES / (EARLY_SAMPLES + f64::from(self.samples))).max(QUANTILE_STEP);
        self.samples = self.samples.saturating_add(1);
        let is_above = sample.as_secs_f64() > self.seconds;
        let direction = if is_above { self.quantile } else { self.quantile - 1.0 };
        self.seconds = (self.seconds * (1.0 + step * direction)).max(MIN_SECONDS);
    }

    /// Returns the current estimate.
    pub fn value(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns what the quantile may be as far as the samples show, or `None` before the first one. The largest of `n`
    /// samples is expected near the quantile `n / (n + 1)`; an exponential distribution is assumed beyond it. With
    /// enough samples, this is the estimate.
    pub fn upper_bound(&self) -> Option<Duration> {
        let reached = (f64::from(self.samples) + 1.0).ln();
        let ratio = -(1.0 - self.quantile).ln() / reached;
        (self.samples > 0).then(|| self.value().mul_f64(ratio.max(1.0)))
    }

    /// Returns whether there were enough samples for one of them to be expected beyond the quantile. An estimate from
    /// fewer depends on which ones came first.
    pub fn is_measured(self) -> bool {
        f64::from(self.samples) * (1.0 - self.quantile) >= MEASURED_TAIL_SAMPLES
    }
}
