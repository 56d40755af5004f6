//! Wall-clock schedule that keeps probes within the measuring budget.
//!
//! Probe rights are numbered leases kept in the platform. Time is cut into windows; a window
//! belongs to exactly one right, and a probe may only start in the first part of it. The rest is a
//! guard against clock offset. Windows are longer than the budget's period by the guard, so that
//! no second ever holds more probes than the budget, whatever the membership looks like. A holder
//! whose lease may have lapsed probes nothing.

use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Probe rights per deployment.
pub const PROBE_RIGHT_COUNT: u64 = 16;
/// Part of a window, in percent, in which a probe may start.
const OPEN_WINDOW_PERCENT: u64 = 20;
/// Length of a window relative to the budget's period, in percent.
const WINDOW_LENGTH_PERCENT: u64 = 130;

/// Budget of probes to one target, over all entry VMs.
#[derive(Debug, Clone, Copy)]
pub struct ProbeBudget {
    /// Calls per second.
    pub calls_per_second: u32,
    /// Bytes per second, both ways.
    pub bytes_per_second: u32,
    /// Largest size of one probe and its answer.
    pub bytes_per_call: u32,
}

impl ProbeBudget {
    /// Calls per second that both limits allow.
    pub fn allowed_calls(self) -> u32 {
        let by_bytes = self.bytes_per_second / self.bytes_per_call.max(1);
        self.calls_per_second.min(by_bytes)
    }

    fn window_millis(self) -> Option<u64> {
        let calls = u64::from(self.allowed_calls());
        (calls > 0).then(|| 1000 * WINDOW_LENGTH_PERCENT / 100 / calls)
    }
}

/// Number of the window in which the holder of `right` may probe `target` at wall-clock time
/// `since_unix_epoch`, if it may now. A holder probes once per window number.
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
