//! For how long an idle connection may be reused.
//!
//! A request that is sent while its peer closes the connection may end without a known outcome. An idle
//! connection is therefore reused only for a part of the time for which its peer keeps it open.

use crate::traffic::headers::KEEP_ALIVE;
use http::HeaderMap;
use std::time::Duration;

/// Share of the idle timeout for which callers may reuse an idle connection, as the platform's callers do.
const STATED_IDLE_SHARE: f64 = 0.8;
/// Fraction of the keep-alive time stated by a target for which an idle connection is kept open.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Maximum idle time of a connection that is reused for a non-idempotent request. After a longer time
/// the target may have dropped the connection, and the request would be lost.
pub const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(1);

/// Returns the time to state on a connection that is closed after `idle_timeout` without a request, in seconds,
/// the unit of the header. It is shorter, so that no request is sent while the close is on its way to the caller.
/// With 0 seconds, no time is stated.
pub fn stated_idle_seconds(idle_timeout: Duration) -> u64 {
    idle_timeout.mul_f64(STATED_IDLE_SHARE).as_secs()
}

/// Returns the time for which an idle connection to a target is kept open, or `None` if the target does not
/// state a keep-alive time.
pub fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parts = text.split(',').filter_map(|part| part.trim().split_once('='));
    let seconds = parts
        .filter(|(name, _)| name.eq_ignore_ascii_case("timeout"))
        .find_map(|(_, value)| value.parse::<u32>().ok())?;
    Some(Duration::from_secs_f64(f64::from(seconds) * KEEP_ALIVE_SHARE))
}
