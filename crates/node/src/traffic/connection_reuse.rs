//! For how long an idle connection may be reused.
//!
//! A request that is sent while its peer closes the connection may end without a known outcome. An idle
//! connection is therefore reused only for a part of the time for which its peer keeps it open.

use std::time::Duration;

/// Share of the idle timeout for which callers may reuse an idle connection, as the platform's callers do.
const STATED_IDLE_SHARE: f64 = 0.8;

/// Returns the time to state on a connection that is closed after `idle_timeout` without a request, in seconds,
/// the unit of the header. It is shorter, so that no request is sent while the close is on its way to the caller.
/// With 0 seconds, no time is stated.
pub fn stated_idle_seconds(idle_timeout: Duration) -> u64 {
    idle_timeout.mul_f64(STATED_IDLE_SHARE).as_secs()
}
