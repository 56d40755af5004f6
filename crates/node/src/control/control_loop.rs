//! The control loop and its periodic ticks.

use crate::control::control_state::{ControlState, SyncFlags};
use crate::control::messages::{adopt_vm_list, handle_message, handle_traffic_event, offer_edition};
use crate::control::platform_sync::{sync_documents, sync_vm_list};
use crate::control::probe::run_probes;
use crate::control::snapshots::publish_snapshots;
use crate::control::status::{STATUS_PREFIX, publish_status};
use crate::dispatcher_handle::OutgoingPeerMessage;
use crate::operator;
use crate::peer::link::PeerLink;
use crate::peer::tls::load_configs;
use crate::shared_state::{NodeState, TrafficEvent};
use anyhow::{Context, Result};
use sniperelay_core::edition::{ConfigEdition, EditionTable};
use sniperelay_core::member::{MemberRecord, MemberSettings, MemberTable};
use sniperelay_core::vm::VmList;
use sniperelay_platform::{HttpPlatform, PlatformApi, PlatformError};
use sniperelay_wire::PeerMessage;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender, channel};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

/// Interval between two ticks of the control loop and the dispatchers.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of ticks between two passes over the membership and the snapshots.
const TICKS_PER_MEMBERSHIP_PASS: u64 = 10;
/// Number of ticks between two updates of the status and of other slowly changing data.
const TICKS_PER_STATUS_UPDATE: u64 = 100;
/// Minimum interval between two publications of snapshots, except for those of the membership pass.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of messages from other entry VMs that wait for the loop. Further messages are dropped.
const INBOX_CAPACITY: usize = 4096;
/// Delay before the connections are closed, so that the last messages can be sent.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(100);

/// Stage of a planned stop that the control loop announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStage {
    /// This entry VM withdraws from lookup responses.
    Withdraw,
    /// All requests have finished; the loop ends.
    End,
}

/// Event for the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// A new list of VMs from the platform.
    VmList(VmList),
    /// An edition from the platform or from an accepted edit.
    Edition(Box<ConfigEdition>),
    /// A stage of a planned stop, acknowledged once it has been announced.
    Stop(StopStage, oneshot::Sender<()>),
    /// Reloads certificates and keys.
    ReloadKeys,
    /// Ends the loop immediately, without any announcement. For fault tests.
    Kill,
    /// Blocks the links to these peers, and to no others. For fault tests.
    BlockPeers(HashSet<SocketAddr>),
}

/// Inputs of the control loop.
pub struct ControlInputs {
    /// Receiver of messages to other entry VMs.
    pub outgoing: UnboundedReceiver<OutgoingPeerMessage>,
    /// Receiver of events from traffic threads.
    pub traffic_events: UnboundedReceiver<TrafficEvent>,
    /// Receiver of control events.
    pub events: UnboundedReceiver<ControlEvent>,
    /// Sender of control events, for the tasks of the control thread.
    pub event_sender: UnboundedSender<ControlEvent>,
    /// UDP socket for messages between entry VMs.
    pub peer_socket: std::net::UdpSocket,
    /// Listening socket for operators.
    pub operator_listener: std::net::TcpListener,
    /// Membership record of this entry VM.
    pub own_record: MemberRecord,
    /// Notified when an operator requests a planned stop.
    pub stop_request: Arc<tokio::sync::Notify>,
    /// Handle for changing the log level; `None` if this process did not set up its own logging.
    pub log_control: Option<Arc<crate::logs::LogControl>>,
}

/// Handle to the control loop.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    event_sender: UnboundedSender<ControlEvent>,
}

impl ControlHandle {
    /// Creates a handle that sends events through `event_sender`.
    pub fn new(event_sender: UnboundedSender<ControlEvent>) -> Self {
        Self { event_sender }
    }

    /// Sends an event. Does nothing if the loop has ended.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.event_sender.send(event);
    }

    /// Requests the announcement of a stage of a planned stop and waits until it has been announced.
    pub async fn announce(&self, stage: StopStage) {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Stop(stage, sender));
        let _ = receiver.await;
    }
}

/// Starts the tasks of the control thread and runs the control loop until the last stage of a stop.
/// Sends a message to `ready` once the sockets are in use.
///
/// # Errors
///
/// Returns an error if a socket cannot be used or a certificate cannot be read.
pub async fn run_control_thread(
    node_state: Arc<NodeState>,
    inputs: ControlInputs,
    ready: std::sync::mpsc::Sender<()>,
) -> Result<()> {
    let (inbox_sender, inbox) = channel(INBOX_CAPACITY);
    let settings = &node_state.settings;
    let configs = load_configs(&settings.peers)?;
    let counters = node_state.metrics.process().clone();
    let link = PeerLink::start(inputs.peer_socket, configs, inbox_sender, counters)?;
    let platform = Arc::new(HttpPlatform::new(settings.platform.address, settings.platform.calls_per_second));
    node_state.metrics.export_call_counters(platform.counters());
    let flags = Arc::new(SyncFlags::default());
    let member_settings =
        MemberSettings { interval: settings.peers.heartbeat, seeds: settings.peers.seeds.clone() };
    let state = ControlState {
        members: MemberTable::new(inputs.own_record.clone(), member_settings),
        editions: EditionTable::default(),
        documents: HashMap::new(),
        vm_list: VmList::default(),
        leaving_reports: HashMap::new(),
        link,
        platform: platform.clone(),
        flags: flags.clone(),
        event_sender: inputs.event_sender.clone(),
        published_revision: None,
        published_at: None,
        has_stale_snapshots: true,
        node_state: node_state.clone(),
    };
    let event_sender = inputs.event_sender.clone();
    tokio::spawn(sync_vm_list(platform.clone(), event_sender.clone(), settings.platform.list_interval));
    tokio::spawn(sync_documents(platform.clone(), event_sender.clone(), flags));
    tokio::spawn(write_status(platform.clone(), node_state.clone()));
    tokio::spawn(run_probes(platform.clone(), node_state.clone()));
    let listener =
        TcpListener::from_std(inputs.operator_listener).context("cannot use the operator socket")?;
    let operator_context = operator::OperatorContext {
        node_state: node_state.clone(),
        platform,
        event_sender,
        stop_request: inputs.stop_request.clone(),
        log_control: inputs.log_control.clone(),
    };
    tokio::spawn(operator::serve_operators(listener, Arc::new(operator_context)));
    let _ = ready.send(());
    run_loop(state, inbox, inputs.outgoing, inputs.traffic_events, inputs.events).await;
    Ok(())
}

async fn run_loop(
    mut state: ControlState,
    mut inbox: Receiver<PeerMessage>,
    mut outgoing: UnboundedReceiver<OutgoingPeerMessage>,
    mut traffic_events: UnboundedReceiver<TrafficEvent>,
    mut events: UnboundedReceiver<ControlEvent>,
) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0;
    publish_snapshots(&mut state, Instant::now());
    loop {
        tokio::select! {
            Some(message) = inbox.recv() => handle_message(&mut state, message, Instant::now()),
            Some((peer, message)) = outgoing.recv() => state.send_to_member(peer, &message),
            Some(event) = traffic_events.recv() => handle_traffic_event(&mut state, event, Instant::now()),
            Some(event) = events.recv() => {
                if handle_event(&mut state, event).await {
                    return;
                }
            }
            _ = interval.tick() => {
                tick += 1;
                run_tick(&mut state, tick);
            }
        }
        publish_if_stale(&mut state);
    }
}

/// Publishes new snapshots if the current ones are stale, unless some were published within
/// [`MIN_PUBLISH_INTERVAL`]. Many changes in quick succession, as after a start, are thus published
/// together.
fn publish_if_stale(state: &mut ControlState) {
    let now = Instant::now();
    let is_recent =
        state.published_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_PUBLISH_INTERVAL);
    if state.has_stale_snapshots && !is_recent {
        publish_snapshots(state, now);
    }
}

fn run_tick(state: &mut ControlState, tick: u64) {
    let now = Instant::now();
    for entry in state.node_state.services.load().values() {
        entry.dispatcher_handle.tick_if_needed();
    }
    if tick.is_multiple_of(TICKS_PER_MEMBERSHIP_PASS) {
        let editions = state.edition_digest();
        let outgoing = state.members.tick(now, editions);
        state.send_all(outgoing);
        publish_snapshots(state, now);
    }
    if tick.is_multiple_of(TICKS_PER_STATUS_UPDATE) {
        publish_status(state);
        state.node_state.pool.close_idle();
        update_resource_counters(state);
    }
}

/// Handles an event. Returns whether the loop must end.
async fn handle_event(state: &mut ControlState, event: ControlEvent) -> bool {
    match event {
        ControlEvent::VmList(list) => adopt_vm_list(state, list),
        ControlEvent::Edition(edition) => offer_edition(state, *edition),
        ControlEvent::Kill => return true,
        ControlEvent::ReloadKeys => reload_keys(state),
        ControlEvent::BlockPeers(addresses) => state.link.block(addresses),
        ControlEvent::Stop(StopStage::Withdraw, ack_sender) => {
            let editions = state.edition_digest();
            let outgoing = state.members.announce_leaving(Instant::now(), editions);
            state.send_all(outgoing);
            publish_snapshots(state, Instant::now());
            let _ = ack_sender.send(());
        }
        ControlEvent::Stop(StopStage::End, ack_sender) => {
            let editions = state.edition_digest();
            let outgoing = state.members.announce_stopped(Instant::now(), editions);
            state.send_all(outgoing);
            tokio::time::sleep(FINAL_SEND_DELAY).await;
            state.link.close().await;
            let _ = ack_sender.send(());
            return true;
        }
    }
    false
}

fn reload_keys(state: &mut ControlState) {
    match load_configs(&state.node_state.settings.peers) {
        Ok(configs) => {
            state.link.replace_configs(configs);
            log::info!("reloaded certificates and keys");
        }
        Err(error) => log::error!("cannot reload certificates and keys, the old ones are kept: {error:#}"),
    }
}

fn update_resource_counters(state: &ControlState) {
    let process = state.node_state.metrics.process();
    let calls = state.platform.counters();
    process.platform_calls.store(calls.attempted(), Ordering::Relaxed);
    process.platform_failures.store(calls.failed(), Ordering::Relaxed);
    process.peer_wire_bytes.store(state.link.wire_bytes(), Ordering::Relaxed);
    if let Some(cpu) = thread_cpu_time() {
        process.control_cpu_micros.store(cpu.as_micros() as u64, Ordering::Relaxed);
    }
}

/// Returns the CPU time of the calling thread: the first field of Linux's `schedstat`, in nanoseconds.
fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Writes the status object to the platform periodically.
async fn write_status(platform: Arc<HttpPlatform>, node_state: Arc<NodeState>) {
    let key = format!("{STATUS_PREFIX}{}", node_state.settings.entry.caller_address);
    let mut version = 0;
    loop {
        tokio::time::sleep(node_state.settings.platform.status_interval).await;
        let text = node_state.status.load().to_string();
        match platform.put(&key, version, &text).await {
            Ok(written) => version = written,
            Err(PlatformError::Conflict { current }) => version = current,
            Err(error) => log::debug!("cannot write the status: {error}"),
        }
    }
}
