//! Planned stop, as a typestate.
//!
//! Not ready and not registered at once. Callers that still hold a lookup answer are served for a
//! while, each with the word to close. From the time at which a new request might not end before
//! the process does, new ones are refused: a target's worst time is not known, and a request that
//! is cut off at the end is lost. Then idle connections are closed, what is in flight is finished,
//! and the process ends before its time is up.

use crate::shared_state::RelayState;
use crate::store_sync::deregister;
use sniperelay_node::life::{RefusingLife, ServingLife, WithdrawnLife};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time after the signal in which a new request may be sent to a target. The platform's rules
/// excuse a request that is cut off at the end only if its caller sent it within this time.
const MAX_SERVE_TIME: Duration = Duration::from_secs(3);
/// Part of the time to stop in which a new request may be sent to a target, if that is less.
const SERVE_SHARE: f64 = 0.5;
/// Part of the time to stop for which callers may still come, to be refused.
const ACCEPT_SHARE: f64 = 0.75;
/// Part of the time to stop after which the process ends in any case.
const END_SHARE: f64 = 0.95;
/// Time between two looks at whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Points in time of a planned stop, counted from the signal.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// From then on new requests are refused.
    pub refuse: Duration,
    /// From then on no connection is accepted.
    pub drain: Duration,
    /// The process ends.
    pub end: Duration,
}

impl ShutdownSchedule {
    /// The schedule for a time to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse: MAX_SERVE_TIME.min(grace.mul_f64(SERVE_SHARE)),
            drain: grace.mul_f64(ACCEPT_SHARE),
            end: grace.mul_f64(END_SHARE),
        }
    }
}

/// What a stop holds in every phase.
#[derive(Debug)]
struct ShutdownContext {
    state: Arc<RelayState>,
    drain_sender: watch::Sender<bool>,
    deregister_task: JoinHandle<()>,
    started_at: Instant,
    schedule: ShutdownSchedule,
}

/// A stop that serves callers which still come.
#[derive(Debug)]
pub struct GracefulShutdown {
    context: ShutdownContext,
    life: WithdrawnLife,
}

/// A stop that refuses new requests.
#[derive(Debug)]
pub struct RefusingShutdown {
    context: ShutdownContext,
    life: RefusingLife,
}

impl GracefulShutdown {
    /// Leaves the lookup answers.
    pub(crate) fn begin(
        state: Arc<RelayState>,
        life: ServingLife,
        drain_sender: watch::Sender<bool>,
    ) -> Self {
        log::info!("planned stop: not ready, leaving the lookup answers");
        let life = life.withdraw();
        let schedule = ShutdownSchedule::new(state.bounds.stop_grace);
        let deregister_task = tokio::spawn({
            let state = state.clone();
            async move { deregister(&state).await }
        });
        let context =
            ShutdownContext { state, drain_sender, deregister_task, started_at: Instant::now(), schedule };
        Self { context, life }
    }

    /// Refuses new requests from now on.
    pub fn refuse(self) -> RefusingShutdown {
        log::info!("planned stop: new requests are refused");
        RefusingShutdown { context: self.context, life: self.life.refuse() }
    }

    /// Performs the rest by schedule. Returns whether all connections ended in time.
    pub async fn run(self) -> bool {
        tokio::time::sleep_until(self.context.started_at + self.context.schedule.refuse).await;
        let refusing = self.refuse();
        tokio::time::sleep_until(refusing.context.started_at + refusing.context.schedule.drain).await;
        refusing.finish().await
    }
}

impl RefusingShutdown {
    /// Accepts no more connections and finishes what is in flight. Returns whether all connections
    /// ended in time.
    pub async fn finish(self) -> bool {
        let Self { context, life } = self;
        log::info!("planned stop: finishing requests in flight");
        let life = life.drain();
        context.drain_sender.send_replace(true);
        let end = context.started_at + context.schedule.end;
        let connections = &context.state.connections;
        while connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let open_connections = connections.load(Ordering::Relaxed);
        life.stop();
        context.deregister_task.abort();
        log::info!(left = open_connections; "planned stop: done");
        open_connections == 0
    }
}
