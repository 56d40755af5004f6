//! Startup of the process, and the wait for a signal to stop.
//!
//! See [`crate::shutdown`] for what happens after the signal.

use crate::account_claims::claim_account_lots;
use crate::caller_connection::serve_callers;
use crate::copy_offers::offer_copies;
use crate::crash_reports::exchange_crash_reports;
use crate::evacuations::watch_evacuations;
use crate::failure_detector::check_neighbours;
use crate::http_api::{ApiAudience, serve_http_api};
use crate::isolation_reports::exchange_isolation_reports;
use crate::limit_claims::claim_limit_shares;
use crate::load_probe::probe_targets;
use crate::replication::maintain_source;
use crate::shared_state::{RelayState, UPKEEP_INTERVAL};
use crate::shutdown::GracefulShutdown;
use crate::store_sync::{watch_config, watch_entry_vms, watch_targets};
use crate::target_checks::check_target_links;
use anyhow::{Context, Result};
use sniperelay_config::RelaySettings;
use sniperelay_config::relay::RelayEntrySettings;
use sniperelay_hosted::bounds::decode_bounds;
use sniperelay_node::boot_clock;
use sniperelay_node::lifecycle::ServingState;
use sniperelay_node::logs::LogControl;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Interval between two checks whether a leaving target may no longer be used.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two scans for idle connections to targets.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry VM.
#[derive(Debug)]
pub struct RunningRelay {
    state: Arc<RelayState>,
    lifecycle: ServingState,
    drain_sender: watch::Sender<bool>,
}

impl RunningRelay {
    /// Binds the sockets and starts the tasks on the current runtime. Port 0 in the settings selects
    /// any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid or a socket cannot be bound.
    pub fn start(mut settings: RelaySettings) -> Result<Self> {
        let bounds = decode_bounds(&settings.platform.bounds).context("platform bounds")?;
        let (lifecycle, view) = ServingState::start();
        let listeners = RelayListeners::bind(&mut settings.entry)?;
        let state = Arc::new(RelayState::new(settings, bounds, view)?);
        let drain_sender = start_tasks(&state, listeners);
        log::info!(incarnation = state.incarnation; "entry VM {} started", state.settings.entry.name);
        Ok(Self { state, lifecycle, drain_sender })
    }

    /// Returns the shared state, for tests.
    pub fn state(&self) -> &Arc<RelayState> {
        &self.state
    }

    /// Begins a graceful shutdown: this entry VM reports that it is not ready and deregisters.
    pub fn begin_shutdown(self) -> GracefulShutdown {
        GracefulShutdown::begin(self.state, self.lifecycle, self.drain_sender)
    }

    /// Performs a graceful shutdown. Returns whether all connections ended in time.
    pub async fn shutdown(self) -> bool {
        self.begin_shutdown().run_remaining_phases().await
    }
}

/// Runs until SIGTERM or SIGINT. Returns whether all connections ended in time.
///
/// # Errors
///
/// Returns an error if the process cannot be started.
pub fn run_until_signal(settings: RelaySettings) -> Result<bool> {
    let _log_control = LogControl::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let relay = RunningRelay::start(settings)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!("SIGHUP ignored: settings are read only at startup"),
            }
        }
        Ok(relay.shutdown().await)
    })
}

/// Listening sockets of the process.
struct RelayListeners {
    callers: TcpListener,
    api: Vec<(TcpListener, ApiAudience)>,
}

impl RelayListeners {
    /// Binds all sockets and writes the bound addresses back to the settings.
    fn bind(entry: &mut RelayEntrySettings) -> Result<Self> {
        let callers = bind_listener(&mut entry.caller_address, "caller-address")?;
        let api = [
            (&mut entry.ready_address, "ready-address", ApiAudience::Public),
            (&mut entry.lookup_address, "lookup-address", ApiAudience::Public),
            (&mut entry.peer_address, "peer-address", ApiAudience::EntryVms),
            (&mut entry.control_address, "control-address", ApiAudience::Public),
            (&mut entry.metrics_address, "metrics-address", ApiAudience::Public),
        ];
        let bind = |(address, key, audience)| Ok((bind_listener(address, key)?, audience));
        let api = api.into_iter().map(bind).collect::<Result<_>>()?;
        Ok(Self { callers, api })
    }
}

fn start_tasks(state: &Arc<RelayState>, listeners: RelayListeners) -> watch::Sender<bool> {
    let (drain_sender, drain_receiver) = watch::channel(false);
    tokio::spawn(serve_callers(state.clone(), listeners.callers, drain_receiver));
    for (listener, audience) in listeners.api {
        tokio::spawn(serve_http_api(state.clone(), listener, audience));
    }
    tokio::spawn(watch_config(state.clone()));
    tokio::spawn(watch_targets(state.clone()));
    tokio::spawn(watch_entry_vms(state.clone()));
    tokio::spawn(watch_evacuations(state.clone()));
    tokio::spawn(exchange_crash_reports(state.clone()));
    tokio::spawn(exchange_isolation_reports(state.clone()));
    tokio::spawn(maintain_source(state.clone()));
    tokio::spawn(check_neighbours(state.clone()));
    tokio::spawn(offer_copies(state.clone()));
    tokio::spawn(probe_targets(state.clone()));
    tokio::spawn(check_target_links(state.clone()));
    tokio::spawn(claim_limit_shares(state.clone()));
    tokio::spawn(claim_account_lots(state.clone()));
    tokio::spawn(run_upkeep(state.clone()));
    tokio::spawn(close_idle_connections(state.clone()));
    tokio::spawn(expire_leaving_targets(state.clone()));
    drain_sender
}

fn bind_listener(address: &mut SocketAddr, key: &str) -> Result<TcpListener> {
    let listen = |address: SocketAddr| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = listen(*address).with_context(|| format!("cannot listen on {key} {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Runs the dispatchers' periodic work until the process ends.
async fn run_upkeep(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        state.for_each_service(|entry| entry.dispatcher_handle.tick_if_needed());
    }
}

/// Ends the use of targets that serve on because all targets of their service are leaving.
async fn expire_leaving_targets(state: Arc<RelayState>) {
    let mut next_expiry = None;
    loop {
        tokio::time::sleep(LEAVING_CHECK_INTERVAL).await;
        if next_expiry.is_some_and(|expiry| boot_clock::now() >= expiry) {
            state.assign_targets();
        }
        next_expiry = state.next_leaving_expiry();
    }
}

async fn close_idle_connections(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(IDLE_CLOSE_INTERVAL).await;
        state.pool.close_idle();
    }
}
