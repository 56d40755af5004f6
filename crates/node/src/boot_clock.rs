//! Time since the machine started. It goes on while a process or its VM is suspended, unlike the
//! monotonic clock, and is not set by anyone, unlike the wall clock.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Point in time, as the time since the machine started.
pub type BootTime = Duration;

/// The time now.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
