//! Starts and stops the threads of one entry VM.

use crate::control::control_loop::ControlInputs;
use crate::control::{ControlEvent, ControlHandle, StopStage, control_loop::run_control_thread};
use crate::lifecycle::ServingState;
use crate::logs::LogControl;
use crate::metrics::MetricSet;
use crate::shared_state::NodeState;
use crate::traffic::listen::serve_callers;
use crate::wall_clock;
use anyhow::{Context, Result, anyhow};
use sniperelay_config::NodeSettings;
use sniperelay_core::member::{MemberHealth, MemberRecord};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{Notify, watch};

/// Time for which other entry VMs may still name one that has announced its stop.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);

/// A running entry VM.
#[derive(Debug)]
pub struct EntryVm {
    shared: Arc<NodeState>,
    lifecycle: ServingState,
    traffic: Runtime,
    callers: tokio::task::JoinHandle<bool>,
    drain: watch::Sender<bool>,
    control: ControlHandle,
    control_thread: JoinHandle<Result<()>>,
    stop_request: Arc<Notify>,
    caller_address: SocketAddr,
}

impl EntryVm {
    /// Binds the sockets and starts the threads. Port 0 in the settings means any free port.
    ///
    /// # Errors
    ///
    /// When a socket cannot be bound, a certificate not be read, or a thread not be started.
    pub fn start(mut settings: NodeSettings, log_control: Option<Arc<LogControl>>) -> Result<Self> {
        let caller_listener = bind_listener(settings.entry.caller_address, "caller-address")?;
        let operator_listener = bind_listener(settings.entry.operator_address, "operator-address")?;
        settings.entry.caller_address = caller_listener.local_addr()?;
        settings.entry.operator_address = operator_listener.local_addr()?;
        let peer_socket = bind_peer_socket(settings.entry.peer_address)?;
        settings.entry.peer_address = peer_socket.local_addr()?;
        let caller_address = settings.entry.caller_address;
        let traffic = start_traffic_runtime(settings.entry.traffic_threads)?;
        let (lifecycle, lifecycle_view) = ServingState::start();
        let (traffic_sender, traffic_events) = unbounded_channel();
        let (peer_sender, outgoing) = unbounded_channel();
        let (event_sender, events) = unbounded_channel();
        let own_record = make_own_record(&settings);
        let metrics = MetricSet::new()?;
        let incarnation = own_record.incarnation;
        let shared =
            NodeState::new(settings, incarnation, lifecycle_view, metrics, traffic_sender, peer_sender);
        let shared = Arc::new(shared);
        let stop_request = Arc::new(Notify::new());
        let inputs = ControlInputs {
            outgoing,
            traffic_events,
            events,
            event_sender: event_sender.clone(),
            peer_socket,
            operator_listener,
            own_record,
            stop_request: stop_request.clone(),
            log_control,
        };
        let control_thread = start_control_thread(shared.clone(), inputs)?;
        let (drain, draining) = watch::channel(false);
        let listener = {
            let _context = traffic.enter();
            tokio::net::TcpListener::from_std(caller_listener)?
        };
        let callers = traffic.spawn(serve_callers(shared.clone(), listener, draining));
        let control = ControlHandle::new(event_sender);
        Ok(Self {
            shared,
            lifecycle,
            traffic,
            callers,
            drain,
            control,
            control_thread,
            stop_request,
            caller_address,
        })
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address for messages between entry VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.settings.entry.peer_address
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.shared.settings.entry.operator_address
    }

    /// Shared state, for tests and benches.
    pub fn shared(&self) -> &Arc<NodeState> {
        &self.shared
    }

    /// Handle to the control loop.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Resolves when an operator asks for a planned stop.
    pub async fn stop_requested(&self) {
        self.stop_request.notified().await;
    }

    /// Performs a planned stop; it cuts off no request in flight. Returns whether all connections
    /// ended within the limit.
    ///
    /// # Errors
    ///
    /// When a thread has failed.
    pub async fn stop(self) -> Result<bool> {
        log::info!("planned stop: leaving the lookup answers");
        let withdrawn = self.lifecycle.withdraw();
        self.control.announce(StopStage::Withdraw).await;
        // Callers keep a lookup answer for its time, and peers hand this address out until they have
        // heard the announcement.
        tokio::time::sleep(self.shared.settings.entry.lookup_ttl + ANNOUNCEMENT_DELAY).await;
        log::info!("planned stop: finishing requests in flight");
        let draining = withdrawn.drain();
        let _ = self.drain.send(true);
        let is_clean = self.callers.await.context("caller task failed")?;
        draining.stop();
        self.control.announce(StopStage::End).await;
        let control_thread = self.control_thread;
        tokio::task::spawn_blocking(move || control_thread.join())
            .await?
            .map_err(|_| anyhow!("control thread panicked"))??;
        self.traffic.shutdown_background();
        log::info!("planned stop: done, all requests finished: {is_clean}");
        Ok(is_clean)
    }

    /// Ends all threads at once, as a failure of the VM would; for fault tests.
    pub fn kill(self) {
        self.traffic.shutdown_background();
        self.control.send(ControlEvent::Kill);
    }
}

fn bind_listener(address: SocketAddr, key: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| format!("cannot bind {key} {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn bind_peer_socket(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).with_context(|| format!("cannot bind peer-address {address}"))
}

fn start_traffic_runtime(threads: usize) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("cannot start the traffic threads")
}

fn make_own_record(settings: &NodeSettings) -> MemberRecord {
    MemberRecord {
        incarnation: rand::random(),
        started_millis: wall_clock::unix_millis(),
        peer_address: settings.entry.peer_address,
        caller_address: settings.entry.caller_address,
        domain: settings.entry.failure_domain.clone(),
        epoch: 0,
        health: MemberHealth::Alive,
        is_leaving: false,
    }
}

/// Starts the control thread and waits until its sockets are bound.
fn start_control_thread(shared: Arc<NodeState>, inputs: ControlInputs) -> Result<JoinHandle<Result<()>>> {
    let (ready_sender, ready_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(run_control_thread(shared, inputs, ready_sender))
    })?;
    match ready_receiver.recv() {
        Ok(()) => Ok(thread),
        Err(_) => match thread.join() {
            Ok(result) => Err(result.err().unwrap_or_else(|| anyhow!("control thread ended at once"))),
            Err(_) => Err(anyhow!("control thread panicked")),
        },
    }
}

/// Runs an entry VM until SIGTERM, SIGINT or an operator's drain has stopped it. SIGHUP reloads
/// keys. Returns whether the stop was clean.
///
/// # Errors
///
/// When the entry VM cannot be started.
pub fn run_until_signal(settings: NodeSettings) -> Result<bool> {
    let log_control = Arc::new(LogControl::start(&settings.log)?);
    let entry_vm = EntryVm::start(settings, Some(log_control))?;
    log::info!(
        "entry VM {:016x} serves callers on {}, operators on {}",
        entry_vm.shared.incarnation,
        entry_vm.caller_address(),
        entry_vm.operator_address()
    );
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        wait_for_stop(&entry_vm).await?;
        entry_vm.stop().await
    })
}

async fn wait_for_stop(entry_vm: &EntryVm) -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            () = entry_vm.stop_requested() => return Ok(()),
            _ = hangup.recv() => entry_vm.control().send(ControlEvent::ReloadKeys),
        }
    }
}
