//! Start, and running until a signal.
//!
//! The stop itself is in [`crate::shutdown`].

use crate::failure_detector::check_neighbours;
use crate::http_api::serve_side;
use crate::listen::serve_callers;
use crate::load_probe::ask_targets;
use crate::replication::choose_source;
use crate::shared_state::{RelayState, UPKEEP_INTERVAL};
use crate::shutdown::RelayStop;
use crate::store_sync::{follow_entry_vms, watch_config, watch_targets};
use anyhow::{Context, Result};
use sniperelay_config::RelaySettings;
use sniperelay_config::relay::RelayEntry;
use sniperelay_hosted::bounds::read_bounds;
use sniperelay_node::life::ServingLife;
use sniperelay_node::logs::LogControl;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time between two passes over unused connections to targets.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry VM.
#[derive(Debug)]
pub struct RunningRelay {
    state: Arc<RelayState>,
    life: ServingLife,
    closing: watch::Sender<bool>,
}

impl RunningRelay {
    /// Binds the sockets and starts the tasks on the current runtime. Port 0 in the settings means
    /// any free port.
    ///
    /// # Errors
    ///
    /// When a setting cannot be used or a socket not be bound.
    pub fn start(mut settings: RelaySettings) -> Result<Self> {
        let bounds = read_bounds(&settings.platform.bounds).context("platform bounds")?;
        let (life, view) = ServingLife::begin();
        let listeners = RelayListeners::bind(&mut settings.entry)?;
        let state = Arc::new(RelayState::new(settings, bounds, view)?);
        let closing = start_tasks(&state, listeners);
        log::info!(incarnation = state.incarnation; "entry VM {} started", state.settings.entry.name);
        Ok(Self { state, life, closing })
    }

    /// Shared state, for tests.
    pub fn state(&self) -> &Arc<RelayState> {
        &self.state
    }

    /// Begins a planned stop: not ready, not registered.
    pub fn begin_stop(self) -> RelayStop {
        RelayStop::begin(self.state, self.life, self.closing)
    }

    /// Performs a planned stop. Returns whether all connections ended in time.
    pub async fn stop(self) -> bool {
        self.begin_stop().run().await
    }
}

/// Runs until SIGTERM or SIGINT. Returns whether all requests were finished.
///
/// # Errors
///
/// When the process cannot be started.
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
                _ = hangup.recv() => log::info!("settings are read at start only; reload ignored"),
            }
        }
        Ok(relay.stop().await)
    })
}

/// The sockets of the process.
struct RelayListeners {
    callers: TcpListener,
    sides: Vec<TcpListener>,
}

impl RelayListeners {
    /// Binds all of them and enters the ports that were chosen.
    fn bind(entry: &mut RelayEntry) -> Result<Self> {
        let callers = bind(&mut entry.caller_address, "caller-address")?;
        let sides = [
            (&mut entry.ready_address, "ready-address"),
            (&mut entry.lookup_address, "lookup-address"),
            (&mut entry.peer_address, "peer-address"),
            (&mut entry.control_address, "control-address"),
            (&mut entry.metrics_address, "metrics-address"),
        ];
        let sides = sides.into_iter().map(|(address, key)| bind(address, key)).collect::<Result<_>>()?;
        Ok(Self { callers, sides })
    }
}

fn start_tasks(state: &Arc<RelayState>, listeners: RelayListeners) -> watch::Sender<bool> {
    let (close, closing) = watch::channel(false);
    tokio::spawn(serve_callers(state.clone(), listeners.callers, closing));
    for listener in listeners.sides {
        tokio::spawn(serve_side(state.clone(), listener));
    }
    tokio::spawn(watch_config(state.clone()));
    tokio::spawn(watch_targets(state.clone()));
    tokio::spawn(follow_entry_vms(state.clone()));
    tokio::spawn(choose_source(state.clone()));
    tokio::spawn(check_neighbours(state.clone()));
    tokio::spawn(ask_targets(state.clone()));
    tokio::spawn(keep_up(state.clone()));
    tokio::spawn(close_unused(state.clone()));
    close
}

fn bind(address: &mut SocketAddr, key: &str) -> Result<TcpListener> {
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
