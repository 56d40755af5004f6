//! Wall-clock time. Unlike the monotonic clock, it advances while the process or its VM is paused.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the number of milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    since_epoch().as_millis() as u64
}
