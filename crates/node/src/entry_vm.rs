//! Starts and stops the threads of one entry VM.

use crate::control::control_loop::ControlInputs;
use crate::control::{ControlEvent, ControlHandle, StopStage, control_loop::run_control_thread};
use crate::entry_threads::{ControlThread, TrafficThreads};
use crate::lifecycle::ServingState;
use crate::logs::LogControl;
use crate::metrics::MetricSet;
use crate::shared_state::NodeState;
use crate::traffic::caller_connection::serve_callers;
use crate::wall_clock;
use anyhow::{Context, Result, anyhow};
use sniperelay_config::NodeSettings;
use sniperelay_core::member::{MemberHealth, MemberRecord};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{Notify, watch};

/// Time for which other entry VMs may still list this one in lookup responses after it has announced
/// its shutdown.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);

/// A running entry VM.
#[derive(Debug)]
pub struct EntryVm {
    node_state: Arc<NodeState>,
    lifecycle: ServingState,
    traffic_threads: TrafficThreads,
    caller_task: tokio::task::JoinHandle<bool>,
    drain_sender: watch::Sender<bool>,
    control_thread: ControlThread,
    stop_request: Arc<Notify>,
    caller_address: SocketAddr,
}

impl EntryVm {
    /// Binds the sockets and starts the threads. Port 0 in the settings selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be bound, a certificate cannot be read or a thread cannot be
    /// started.
    pub fn start(mut settings: NodeSettings, log_control: Option<Arc<LogControl>>) -> Result<Self> {
        let caller_listener = bind_listener(settings.entry.caller_address, "caller-address")?;
        let operator_listener = bind_listener(settings.entry.operator_address, "operator-address")?;
        settings.entry.caller_address = caller_listener.local_addr()?;
        settings.entry.operator_address = operator_listener.local_addr()?;
        let peer_socket = bind_peer_socket(settings.entry.peer_address)?;
        settings.entry.peer_address = peer_socket.local_addr()?;
        let caller_address = settings.entry.caller_address;
        let traffic_threads = TrafficThreads::start(settings.entry.traffic_threads)?;
        let (lifecycle, lifecycle_view) = ServingState::start();
        let (traffic_sender, traffic_events) = unbounded_channel();
        let (peer_sender, outgoing) = unbounded_channel();
        let (event_sender, events) = unbounded_channel();
        let own_record = make_own_record(&settings);
        let metrics = MetricSet::new()?;
        let incarnation = own_record.incarnation;
        let node_state =
            NodeState::new(settings, incarnation, lifecycle_view, metrics, traffic_sender, peer_sender);
        let node_state = Arc::new(node_state);
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
        let control_thread = start_control_thread(node_state.clone(), inputs)?;
        let control_thread = ControlThread::new(ControlHandle::new(event_sender), control_thread);
        let (drain_sender, drain_receiver) = watch::channel(false);
        let listener = {
            let _context = traffic_threads.handle().enter();
            tokio::net::TcpListener::from_std(caller_listener)?
        };
        let serving = serve_callers(node_state.clone(), listener, drain_receiver);
        let caller_task = traffic_threads.handle().spawn(serving);
        Ok(Self {
            node_state,
            lifecycle,
            traffic_threads,
            caller_task,
            drain_sender,
            control_thread,
            stop_request,
            caller_address,
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for messages between entry VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.node_state.settings.entry.peer_address
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.node_state.settings.entry.operator_address
    }

    /// Returns the state shared by the threads, for tests and benchmarks.
    pub fn node_state(&self) -> &Arc<NodeState> {
        &self.node_state
    }

    /// Returns the handle to the control loop.
    pub fn control_handle(&self) -> &ControlHandle {
        self.control_thread.handle()
    }

    /// Completes when an operator requests a planned stop.
    pub async fn stop_requested(&self) {
        self.stop_request.notified().await;
    }

    /// Performs a planned stop. Requests in flight are completed within the drain limit. Returns whether
    /// all connections ended within the limit.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread has failed.
    pub async fn stop(self) -> Result<bool> {
        log::info!("planned stop: withdrawing from lookup responses");
        let withdrawn = self.lifecycle.withdraw();
        self.control_thread.handle().announce(StopStage::Withdraw).await;
        // Callers cache lookup responses for `lookup_ttl`, and peers list this address until they have
        // received the announcement.
        tokio::time::sleep(self.node_state.settings.entry.lookup_ttl + ANNOUNCEMENT_DELAY).await;
        log::info!("planned stop: finishing requests in flight");
        let draining = withdrawn.drain();
        let _ = self.drain_sender.send(true);
        let is_clean = self.caller_task.await.context("caller task failed")?;
        draining.stop();
        self.control_thread.handle().announce(StopStage::End).await;
        self.control_thread.join().await?;
        drop(self.traffic_threads);
        log::info!("planned stop: finished, all connections ended in time: {is_clean}");
        Ok(is_clean)
    }

    /// Ends all threads immediately, as a failure of the VM would. For fault tests.
    pub fn kill(self) {
        drop(self);
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

/// Starts the control thread and waits until it is ready.
fn start_control_thread(node_state: Arc<NodeState>, inputs: ControlInputs) -> Result<JoinHandle<Result<()>>> {
    let (ready_sender, ready_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(run_control_thread(node_state, inputs, ready_sender))
    })?;
    match ready_receiver.recv() {
        Ok(()) => Ok(thread),
        Err(_) => match thread.join() {
            Ok(result) => Err(result.err().unwrap_or_else(|| anyhow!("control thread ended during startup"))),
            Err(_) => Err(anyhow!("control thread panicked")),
        },
    }
}

/// Runs an entry VM until SIGTERM, SIGINT or a drain request of an operator stops it. SIGHUP reloads
/// certificates and keys. Returns whether all connections ended in time.
///
/// # Errors
///
/// Returns an error if the entry VM cannot be started or one of its threads fails.
pub fn run_until_signal(settings: NodeSettings) -> Result<bool> {
    let log_control = Arc::new(LogControl::start(&settings.log)?);
    let entry_vm = EntryVm::start(settings, Some(log_control))?;
    log::info!(
        "entry VM {:016x} listens on {} for callers and on {} for operators",
        entry_vm.node_state.incarnation,
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
            _ = hangup.recv() => entry_vm.control_handle().send(ControlEvent::ReloadKeys),
        }
    }
}
