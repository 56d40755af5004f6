//! Time since the machine booted. Unlike the monotonic clock, it advances while the process or its VM
//! is suspended; unlike the wall clock, it cannot be set.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Point in time, expressed as the time since boot.
pub type BootTime = Duration;

/// Returns the current time.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
