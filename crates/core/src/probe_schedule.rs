//! Wall-clock schedule that keeps probes within the probe budget.
//!
//! Probe rights are numbered leases stored in the platform. Time is divided into windows. Each window
//! belongs to exactly one right, and a probe may start only in the first part of the window. The rest
//! of the window guards against clock offsets. The guard makes windows longer than the period of the
//! budget, so no second contains more probes than the budget allows, regardless of the membership. A
//! holder whose lease may have expired sends no probes.

use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of probe rights per deployment.
pub const PROBE_RIGHT_COUNT: u64 = 16;
/// Part of a window in which a probe may start, in percent.
const OPEN_WINDOW_PERCENT: u64 = 20;
/// Length of a window relative to the period of the budget, in percent.
const WINDOW_LENGTH_PERCENT: u64 = 130;

/// Budget for probes of one target, shared by all entry VMs.
#[derive(Debug, Clone, Copy)]
pub struct ProbeBudget {
    /// Maximum calls per second.
    pub calls_per_second: u32,
    /// Maximum bytes per second, in both directions together.
    pub bytes_per_second: u32,
    /// Maximum size of one probe and its response, in bytes.
    pub bytes_per_call: u32,
}

impl ProbeBudget {
    /// Returns the number of calls per second that both limits allow.
    pub fn allowed_calls(self) -> u32 {
        let by_bytes = self.bytes_per_second / self.bytes_per_call.max(1);
        self.calls_per_second.min(by_bytes)
    }

    fn window_millis(self) -> Option<u64> {
        let calls = u64::from(self.allowed_calls());
        (calls > 0).then(|| 1000 * WINDOW_LENGTH_PERCENT / 100 / calls)
    }
}

/// Returns the number of the current window if the holder of `right` may probe `target` at wall-clock
/// time `since_unix_epoch`. The holder must send at most one probe per window number. Returns `None`
/// outside the open part of a window of this right, and always if the budget allows no calls.
pub fn open_window(
    right: u64,
    target: SocketAddr,
    since_unix_epoch: Duration,
    budget: ProbeBudget,
) -> Option<u64> {
    let length = budget.window_millis()?;
    let millis = since_unix_epoch.as_millis() as u64;
    let window = millis / length;
    let is_open = (millis % length) * 100 < length * OPEN_WINDOW_PERCENT;
    let owner = window.wrapping_add(xxh3_64(target.to_string().as_bytes())) % PROBE_RIGHT_COUNT;
    (is_open && owner == right).then_some(window)
}
