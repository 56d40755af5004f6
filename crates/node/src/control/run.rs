//! The control loop and its ticks.

use crate::control::messages::{adopt_vm_list, handle_message, handle_news, offer_edition};
use crate::control::plan::publish_plan;
use crate::control::platform_sync::{follow_documents, follow_vm_list};
use crate::control::probe::follow_probes;
use crate::control::state::{ControlState, SyncFlags};
use crate::control::status::{STATUS_PREFIX, publish_status};
use crate::gate::PeerOutgoing;
use crate::operator;
use crate::peer::link::PeerLink;
use crate::peer::tls::load_configs;
use crate::shared::{NodeShared, TrafficNews};
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

/// Time between two upkeep passes of the dispatchers.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(5);
/// Upkeep passes between two passes over membership and the plan.
const MEMBER_TICKS: u64 = 10;
/// Upkeep passes between two status snapshots and other slow work.
const STATUS_TICKS: u64 = 100;
/// Shortest time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
/// Messages of other entry VMs that may wait for the loop.
const INBOX_SIZE: usize = 4096;
/// Time for which the last messages are given a chance to leave.
const FAREWELL_PAUSE: Duration = Duration::from_millis(100);

/// Stage of a planned stop that the control loop has to announce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStage {
    /// This entry VM leaves the lookup answers.
    Withdraw,
    /// It has finished; the loop ends.
    End,
}

/// Event for the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// A list of VMs from the platform.
    VmList(VmList),
    /// An edition from the platform or from an accepted edit.
    Edition(Box<ConfigEdition>),
    /// A stage of a planned stop; answered when it was announced.
    Stop(StopStage, oneshot::Sender<()>),
    /// Reads certificates and keys again.
    ReloadKeys,
    /// Ends the loop at once, without a word to anybody; for fault tests.
    Kill,
    /// Cuts the links to these peers; for fault tests.
    BlockPeers(HashSet<SocketAddr>),
}

/// Inputs of the control loop.
pub struct ControlInputs {
    /// Messages for other entry VMs.
    pub outgoing: UnboundedReceiver<PeerOutgoing>,
    /// News of traffic threads.
    pub news: UnboundedReceiver<TrafficNews>,
    /// Events.
    pub events: UnboundedReceiver<ControlEvent>,
    /// Sender of events, for the loop's own tasks.
    pub event_sender: UnboundedSender<ControlEvent>,
    /// Socket for messages between entry VMs.
    pub peer_socket: std::net::UdpSocket,
    /// Socket for operators.
    pub operator_listener: std::net::TcpListener,
    /// Own membership record.
    pub own_record: MemberRecord,
    /// Asked for by an operator: a planned stop.
    pub stop_request: Arc<tokio::sync::Notify>,
    /// Change of the log level, if logging is under this process's control.
    pub log_control: Option<Arc<crate::logs::LogControl>>,
}

/// Handle to the control loop.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    events: UnboundedSender<ControlEvent>,
}

impl ControlHandle {
    /// A handle that sends events through `events`.
    pub fn new(events: UnboundedSender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Sends an event; ignored when the loop has ended.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.events.send(event);
    }

    /// Announces a stage of a planned stop and waits until it was announced.
    pub async fn announce(&self, stage: StopStage) {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Stop(stage, sender));
        let _ = receiver.await;
    }
}

/// Runs the control loop until the last stage of a stop.
///
/// # Errors
///
/// When a socket cannot be bound or a certificate not be read.
pub async fn run_control(
    shared: Arc<NodeShared>,
    inputs: ControlInputs,
    ready: std::sync::mpsc::Sender<()>,
) -> Result<()> {
    let (inbox_sender, inbox) = channel(INBOX_SIZE);
    let settings = &shared.settings;
    let configs = load_configs(&settings.peers)?;
    let counters = shared.metrics.process().clone();
    let link = PeerLink::start(inputs.peer_socket, configs, inbox_sender, counters)?;
    let platform = Arc::new(HttpPlatform::new(settings.platform.address, settings.platform.calls_per_second));
    shared.metrics.export_calls(platform.counters());
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
        events: inputs.event_sender.clone(),
        planned_revision: None,
        planned_at: None,
        is_plan_stale: true,
        shared: shared.clone(),
    };
    let events = inputs.event_sender.clone();
    tokio::spawn(follow_vm_list(platform.clone(), events.clone(), settings.platform.list_interval));
    tokio::spawn(follow_documents(platform.clone(), events.clone(), flags));
    tokio::spawn(write_status(platform.clone(), shared.clone()));
    tokio::spawn(follow_probes(platform.clone(), shared.clone()));
    let listener = TcpListener::from_std(inputs.operator_listener).context("operator socket")?;
    let desk = operator::OperatorContext {
        shared: shared.clone(),
        platform,
        events,
        stop_request: inputs.stop_request.clone(),
        log_control: inputs.log_control.clone(),
    };
    tokio::spawn(operator::serve_operators(listener, Arc::new(desk)));
    let _ = ready.send(());
    run_loop(state, inbox, inputs.outgoing, inputs.news, inputs.events).await;
    Ok(())
}

async fn run_loop(
    mut state: ControlState,
    mut inbox: Receiver<PeerMessage>,
    mut outgoing: UnboundedReceiver<PeerOutgoing>,
    mut news: UnboundedReceiver<TrafficNews>,
    mut events: UnboundedReceiver<ControlEvent>,
) {
    let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0;
    publish_plan(&mut state, Instant::now());
    loop {
        tokio::select! {
            Some(message) = inbox.recv() => handle_message(&mut state, message, Instant::now()),
            Some((peer, message)) = outgoing.recv() => state.send_member(peer, &message),
            Some(news) = news.recv() => handle_news(&mut state, news, Instant::now()),
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
        publish_stale_plan(&mut state);
    }
}

/// Publishes a stale plan at once, unless one was published just before: many changes in a row, as
/// after a start, then share one plan.
fn publish_stale_plan(state: &mut ControlState) {
    let now = Instant::now();
    let is_recent = state.planned_at.is_some_and(|at| now.saturating_duration_since(at) < PLAN_INTERVAL);
    if state.is_plan_stale && !is_recent {
        publish_plan(state, now);
    }
}

fn run_tick(state: &mut ControlState, tick: u64) {
    let now = Instant::now();
    for entry in state.shared.services.load().values() {
        entry.gate.upkeep();
    }
    if tick.is_multiple_of(MEMBER_TICKS) {
        let editions = state.edition_digest();
        let sends = state.members.tick(now, editions);
        state.send_all(sends);
        publish_plan(state, now);
    }
    if tick.is_multiple_of(STATUS_TICKS) {
        publish_status(state);
        state.shared.pool.close_idle();
        record_cost(state);
    }
}

/// Handles an event. Returns whether the loop has to end.
async fn handle_event(state: &mut ControlState, event: ControlEvent) -> bool {
    match event {
        ControlEvent::VmList(list) => adopt_vm_list(state, list),
        ControlEvent::Edition(edition) => offer_edition(state, *edition),
        ControlEvent::Kill => return true,
        ControlEvent::ReloadKeys => reload_keys(state),
        ControlEvent::BlockPeers(addresses) => state.link.block(addresses),
        ControlEvent::Stop(StopStage::Withdraw, done) => {
            let editions = state.edition_digest();
            let sends = state.members.announce_leaving(Instant::now(), editions);
            state.send_all(sends);
            publish_plan(state, Instant::now());
            let _ = done.send(());
        }
        ControlEvent::Stop(StopStage::End, done) => {
            let editions = state.edition_digest();
            let sends = state.members.announce_stopped(Instant::now(), editions);
            state.send_all(sends);
            tokio::time::sleep(FAREWELL_PAUSE).await;
            state.link.close().await;
            let _ = done.send(());
            return true;
        }
    }
    false
}

fn reload_keys(state: &mut ControlState) {
    match load_configs(&state.shared.settings.peers) {
        Ok(configs) => {
            state.link.replace_configs(configs);
            log::info!("certificates and keys were reloaded");
        }
        Err(error) => log::error!("certificates and keys were not reloaded, the old ones stay: {error:#}"),
    }
}

fn record_cost(state: &ControlState) {
    let process = state.shared.metrics.process();
    let calls = state.platform.counters();
    process.platform_calls.store(calls.made(), Ordering::Relaxed);
    process.platform_failures.store(calls.failed(), Ordering::Relaxed);
    process.peer_wire_bytes.store(state.link.wire_bytes(), Ordering::Relaxed);
    if let Some(cpu) = thread_cpu() {
        process.control_cpu_micros.store(cpu.as_micros() as u64, Ordering::Relaxed);
    }
}

/// Processor time of the calling thread: the first field of Linux's `schedstat`, in nanoseconds.
fn thread_cpu() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Writes the status object from time to time.
async fn write_status(platform: Arc<HttpPlatform>, shared: Arc<NodeShared>) {
    let key = format!("{STATUS_PREFIX}{}", shared.settings.entry.caller_address);
    let mut version = 0;
    loop {
        tokio::time::sleep(shared.settings.platform.status_interval).await;
        let text = shared.status.load().to_string();
        match platform.put(&key, version, &text).await {
            Ok(written) => version = written,
            Err(PlatformError::Conflict { current }) => version = current,
            Err(error) => log::debug!("status not written: {error}"),
        }
    }
}
