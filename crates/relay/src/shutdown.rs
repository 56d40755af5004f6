//! Graceful shutdown, as a typestate. Log lines call it a planned stop.
//!
//! On the signal, this entry VM reports that it is not ready and deregisters. Callers that still
//! have its address from a lookup are served for a while, and responses tell them to close the
//! connection. After that, new requests are refused, because they might not finish before the process
//! ends: the maximum latency of a target is not known, and a request that is cut off is lost. Those that
//! still wait for a target are refused while they can be; see [`sniperelay_node::stop_deadline`].
//! Finally, idle connections are closed and requests in flight are finished. While the store is away, the
//! process does not end before another entry VM is known to hold its copies of the store's contents. It
//! ends before its grace period is over in any case.

use crate::copy_offers::must_keep_offering;
use crate::shared_state::RelayState;
use crate::store_sync::deregister;
use sniperelay_node::lifecycle::{RefusingState, ServingState, WithdrawnState};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum time after the signal for which new requests are sent to targets. The platform's rules
/// tolerate that a request is cut off at the end only if its caller sent it within this time.
const MAX_SERVE_TIME: Duration = Duration::from_secs(3);
/// Share of the grace period for which new requests are sent to targets, if that is shorter than
/// [`MAX_SERVE_TIME`].
const SERVE_SHARE: f64 = 0.5;
/// Share of the grace period for which connections are accepted. It is longer than the time for which
/// new requests are served, so that later callers get a refusal.
const ACCEPT_SHARE: f64 = 0.75;
/// Share of the grace period after which the process ends even if connections are still open.
const END_SHARE: f64 = 0.95;
/// Interval between two checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Times at which the phases of a graceful shutdown begin, counted from the signal.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// From this time on, new requests are refused.
    pub refuse_after: Duration,
    /// From this time on, no connections are accepted.
    pub drain_after: Duration,
    /// At this time, the process ends.
    pub end_after: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule for a grace period.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse_after: MAX_SERVE_TIME.min(grace.mul_f64(SERVE_SHARE)),
            drain_after: grace.mul_f64(ACCEPT_SHARE),
            end_after: grace.mul_f64(END_SHARE),
        }
    }
}

/// Data that all phases of a shutdown need.
#[derive(Debug)]
struct ShutdownContext {
    state: Arc<RelayState>,
    drain_sender: watch::Sender<bool>,
    deregister_task: JoinHandle<()>,
    started_at: Instant,
    schedule: ShutdownSchedule,
}

/// First phase of a shutdown, in which new requests are still served.
#[derive(Debug)]
pub struct GracefulShutdown {
    context: ShutdownContext,
    lifecycle: WithdrawnState,
}

/// Second phase of a shutdown, in which new requests are refused.
#[derive(Debug)]
pub struct RefusingShutdown {
    context: ShutdownContext,
    lifecycle: RefusingState,
}

impl GracefulShutdown {
    /// Begins a shutdown: the entry VM is no longer ready, and a task starts to deregister it.
    pub(crate) fn begin(
        state: Arc<RelayState>,
        lifecycle: ServingState,
        drain_sender: watch::Sender<bool>,
    ) -> Self {
        log::info!("planned stop: not ready, deregistering");
        let lifecycle = lifecycle.withdraw();
        let schedule = ShutdownSchedule::new(state.bounds.stop_grace);
        let deregister_task = tokio::spawn({
            let state = state.clone();
            async move { deregister(&state).await }
        });
        let started_at = Instant::now();
        state.stop_deadline.set((started_at + schedule.end_after).into_std());
        let context = ShutdownContext { state, drain_sender, deregister_task, started_at, schedule };
        Self { context, lifecycle }
    }

    /// Enters the phase in which new requests are refused.
    pub fn start_refusing(self) -> RefusingShutdown {
        log::info!("planned stop: refusing new requests");
        RefusingShutdown { context: self.context, lifecycle: self.lifecycle.refuse() }
    }

    /// Runs the remaining phases at their scheduled times. Returns whether all connections ended in
    /// time.
    pub async fn run_remaining_phases(self) -> bool {
        tokio::time::sleep_until(self.context.started_at + self.context.schedule.refuse_after).await;
        let refusing = self.start_refusing();
        tokio::time::sleep_until(refusing.context.started_at + refusing.context.schedule.drain_after).await;
        refusing.drain_connections().await
    }
}

impl RefusingShutdown {
    /// Stops accepting connections and waits until requests in flight are finished. Returns whether all
    /// connections ended in time.
    pub async fn drain_connections(self) -> bool {
        let Self { context, lifecycle } = self;
        log::info!("planned stop: finishing requests in flight");
        let lifecycle = lifecycle.drain();
        context.drain_sender.send_replace(true);
        let end = context.started_at + context.schedule.end_after;
        let connections = &context.state.connections;
        let is_busy = || connections.load(Ordering::Relaxed) > 0 || must_keep_offering(&context.state);
        while is_busy() && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let open_connections = connections.load(Ordering::Relaxed);
        lifecycle.stop();
        context.deregister_task.abort();
        log::info!(left = open_connections; "planned stop: done");
        open_connections == 0
    }
}
