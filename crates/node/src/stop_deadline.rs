//! The time at which the process ends in a graceful shutdown, for the requests that are in flight before it.
//!
//! A request that a target works on is waited for until the end. One that no target has been given yet is refused
//! while that can still be stated: from the time at which its response would no longer arrive before the end.
//!
//! Invariant: the end is set once, and only a shutdown sets it.

use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time before the end of the process by which a response must have arrived, to be passed on to the caller. Covers a
/// write on a slow link, and the time for which a VM that is short of processor time may stand still.
const DELIVERY_TIME: Duration = Duration::from_millis(250);

/// End of the process, if it is shutting down.
#[derive(Debug)]
pub struct StopDeadline {
    end: watch::Sender<Option<Instant>>,
}

impl Default for StopDeadline {
    fn default() -> Self {
        Self { end: watch::Sender::new(None) }
    }
}

impl StopDeadline {
    /// Records the end of the process.
    pub fn set(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Returns whether a request can no longer be answered before the end; `response_time` returns the time that it
    /// takes, and is called only in a shutdown.
    pub fn is_too_late(&self, response_time: impl FnOnce() -> Duration, now: Instant) -> bool {
        let end = *self.end.borrow();
        end.is_some_and(|end| now + response_time() + DELIVERY_TIME >= end)
    }

    /// Waits until a request can no longer be answered before the end; `response_time` returns the time that it takes.
    /// Does not return while the process is not shutting down.
    pub async fn wait_until_too_late(&self, response_time: impl Fn() -> Duration) {
        let mut receiver = self.end.subscribe();
        // The sender lives as long as `self`.
        let Ok(end) = receiver.wait_for(Option::is_some).await.map(|end| *end) else {
            return std::future::pending().await;
        };
        while let Some(end) = end
            && !self.is_too_late(&response_time, Instant::now())
        {
            let latest_start = end.checked_sub(response_time() + DELIVERY_TIME).unwrap_or(end);
            tokio::time::sleep_until(latest_start.into()).await;
        }
    }
}
