//! Rate of events, measured over the current and the previous bucket of time.

use std::time::{Duration, Instant};

/// Counts events and returns their rate.
#[derive(Debug)]
pub struct EventRate {
    bucket_length: Duration,
    bucket_start: Option<Instant>,
    previous: u32,
    current: u32,
}

impl EventRate {
    /// Creates a rate without events.
    pub fn new(bucket_length: Duration) -> Self {
        Self { bucket_length, bucket_start: None, previous: 0, current: 0 }
    }

    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the rate of events per second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let elapsed = self.bucket_start.map_or(Duration::ZERO, |start| now.saturating_duration_since(start));
        f64::from(self.previous + self.current) / (self.bucket_length + elapsed).as_secs_f64()
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.bucket_start.get_or_insert(now);
        let buckets = now.saturating_duration_since(start).as_nanos() / self.bucket_length.as_nanos();
        if buckets > 0 {
            self.previous = if buckets == 1 { self.current } else { 0 };
            self.current = 0;
            self.bucket_start = Some(start + self.bucket_length * u32::try_from(buckets).unwrap_or(u32::MAX));
        }
    }
}
