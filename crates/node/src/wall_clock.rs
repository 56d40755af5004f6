//! Wall-clock time. It goes on while a process or its VM is paused, unlike the monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    since_epoch().as_millis() as u64
}
