//! Start and planned stop.
//!
//! A planned stop: not ready and not registered at once; requests of callers that still hold a
//! lookup answer are served, each with the word to close; then the connections that are idle are
//! closed, what is in flight is finished, and the process ends before its time is up.

use crate::listen::serve_callers;
use crate::neighbour::check_neighbours;
use crate::probe::ask_targets;
use crate::side::serve_side;
use crate::state::{RelayState, UPKEEP_INTERVAL};
use crate::sync::{deregister, follow_entry_vms, watch_config, watch_targets};
use anyhow::{Context, Result, anyhow};
use sniperelay_config::RelaySettings;
use sniperelay_hosted::bounds::read_bounds;
use sniperelay_node::life::ServingLife;
use sniperelay_node::logs::LogControl;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Part of the time to stop for which callers may still come.
const SERVE_SHARE: f64 = 0.75;
/// Part of the time to stop after which the process ends in any case.
const END_SHARE: f64 = 0.95;
/// Time between two looks at whether all connections have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time between two passes over unused connections to targets.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until SIGTERM or SIGINT. Returns whether all requests were finished.
///
/// # Errors
///
/// When the process cannot be started.
pub fn run_until_signal(settings: RelaySettings) -> Result<bool> {
    let _log_control = LogControl::start(&settings.log)?;
    let bounds = read_bounds(&settings.platform.bounds).map_err(|error| anyhow!(error))?;
    let (life, view) = ServingLife::begin();
    let state = Arc::new(RelayState::new(settings, bounds, view)?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let closing = start_tasks(&state)?;
        log::info!(incarnation = state.incarnation; "entry VM {} started", state.settings.entry.name);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!("settings are read at start only; reload ignored"),
            }
        }
        Ok(stop(state, life, closing).await)
    })
}

fn start_tasks(state: &Arc<RelayState>) -> Result<watch::Sender<bool>> {
    let entry = &state.settings.entry;
    let callers = bind(entry.caller_address, "caller-address")?;
    let sides = [
        bind(entry.ready_address, "ready-address")?,
        bind(entry.lookup_address, "lookup-address")?,
        bind(entry.metrics_address, "metrics-address")?,
    ];
    let (close, closing) = watch::channel(false);
    tokio::spawn(serve_callers(state.clone(), callers, closing));
    for listener in sides {
        tokio::spawn(serve_side(state.clone(), listener));
    }
    tokio::spawn(watch_config(state.clone()));
    tokio::spawn(watch_targets(state.clone()));
    tokio::spawn(follow_entry_vms(state.clone()));
    tokio::spawn(check_neighbours(state.clone()));
    tokio::spawn(ask_targets(state.clone()));
    tokio::spawn(keep_up(state.clone()));
    tokio::spawn(close_unused(state.clone()));
    Ok(close)
}

fn bind(address: SocketAddr, key: &str) -> Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().with_context(|| format!("cannot listen on {key} {address}"))
}

/// Runs the periodic pass of the dispatchers.
async fn keep_up(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        state.services.load().values().for_each(|entry| entry.gate.upkeep());
    }
}

async fn close_unused(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(IDLE_INTERVAL).await;
        state.pool.close_idle();
    }
}

async fn stop(state: Arc<RelayState>, life: ServingLife, closing: watch::Sender<bool>) -> bool {
    let began = tokio::time::Instant::now();
    let grace = state.bounds.stop_grace;
    log::info!("planned stop: not ready, leaving the lookup answers");
    let withdrawn = life.withdraw();
    let deregistering = tokio::spawn({
        let state = state.clone();
        async move { deregister(&state).await }
    });
    tokio::time::sleep_until(began + grace.mul_f64(SERVE_SHARE)).await;
    log::info!("planned stop: finishing requests in flight");
    let draining = withdrawn.drain();
    closing.send_replace(true);
    let end = began + grace.mul_f64(END_SHARE);
    while state.connections.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    let left = state.connections.load(Ordering::Relaxed);
    draining.stop();
    deregistering.abort();
    log::info!(left; "planned stop: done");
    left == 0
}
