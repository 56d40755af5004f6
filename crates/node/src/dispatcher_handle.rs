//! A service's dispatcher behind a lock, and the channels of its requests.
//!
//! The lock is held for one pass of the dispatcher, never across an await. Each request has a
//! [`RequestGuard`]: dropping it withdraws a waiting request. Each attempt has an [`AttemptSlot`]:
//! dropping it releases the slot, however the attempt ended.

use crate::metrics::{MetricSet, RankCounters};
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ResponseDecision,
    ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::ids::{IncarnationId, InstanceName, RankId, RequestId, ServiceName, TargetKey};
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::{LoadReport, SharedReport, TargetSpec};
use sniperelay_wire::PeerMessage;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A message for another entry VM.
pub type OutgoingPeerMessage = (IncarnationId, PeerMessage);

/// What the dispatcher tells a request.
#[derive(Debug)]
pub enum DispatchSignal {
    /// Send an attempt.
    Start {
        /// Slot of the attempt.
        slot: AttemptSlot,
        /// Where to.
        address: SocketAddr,
        /// Why it is not the first.
        retry: Option<RetryReason>,
    },
    /// Answer with a refusal.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Cancel the attempt at this target.
    CancelAttempt {
        /// The target.
        target: TargetKey,
    },
}

#[derive(Debug)]
struct LockedState {
    dispatcher: ServiceDispatcher,
    signals: HashMap<RequestId, UnboundedSender<DispatchSignal>>,
    /// Scratch memory for the actions of one pass.
    actions: Vec<DispatchAction>,
}

/// Entrance to the targets of one service.
#[derive(Debug)]
pub struct DispatcherHandle {
    service: ServiceName,
    inner: Mutex<LockedState>,
    /// Whether a tick would do nothing; looked at without the lock.
    is_idle: AtomicBool,
    next_request_id: AtomicU64,
    peer_sender: UnboundedSender<OutgoingPeerMessage>,
    own_incarnation: IncarnationId,
}

impl DispatcherHandle {
    /// A gate without targets.
    pub fn new(
        document: Arc<ServiceDocument>,
        settings: DispatchSettings,
        own_incarnation: IncarnationId,
        peer_sender: UnboundedSender<OutgoingPeerMessage>,
    ) -> Arc<Self> {
        let service = document.name.clone();
        let dispatcher = ServiceDispatcher::new(document, settings);
        let inner = Mutex::new(LockedState { dispatcher, signals: HashMap::new(), actions: Vec::new() });
        Arc::new(Self {
            service,
            inner,
            is_idle: AtomicBool::new(true),
            next_request_id: AtomicU64::new(1),
            peer_sender,
            own_incarnation,
        })
    }

    /// Asks for admission of a request; signals follow through the pass.
    pub fn submit(
        self: &Arc<Self>,
        rank: RankId,
        deadline: Instant,
        is_idempotent: bool,
        is_retried: bool,
    ) -> RequestGuard {
        let request = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (sender, signals) = unbounded_channel();
        let new_request =
            NewRequest { request, rank, deadline, is_idempotent, is_retried_by_caller: is_retried };
        let mut inner = self.lock();
        inner.signals.insert(request, sender);
        self.run_locked(inner, |dispatcher, now, actions| dispatcher.submit(new_request, now, actions));
        RequestGuard { handle: self.clone(), request, signals }
    }

    /// Runs one pass of the dispatcher and carries out its actions.
    pub fn run<R>(
        self: &Arc<Self>,
        operation: impl FnOnce(&mut ServiceDispatcher, Instant, &mut Vec<DispatchAction>) -> R,
    ) -> R {
        self.run_locked(self.lock(), operation)
    }

    /// Reads from the dispatcher.
    pub fn read<R>(&self, view: impl FnOnce(&ServiceDispatcher) -> R) -> R {
        view(&self.lock().dispatcher)
    }

    /// Runs the periodic pass if it would do anything.
    pub fn tick_if_needed(self: &Arc<Self>) {
        if !self.is_idle.load(Ordering::Acquire) {
            self.run(|dispatcher, now, actions| dispatcher.tick(now, actions));
        }
    }

    /// Replaces targets and lenders.
    pub fn replace_targets(self: &Arc<Self>, specs: &[TargetSpec], lenders: &[IncarnationId]) {
        self.run(|dispatcher, now, actions| {
            dispatcher.replace_lenders(lenders);
            dispatcher.replace_targets(specs, now, actions);
        });
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_locked<R>(
        self: &Arc<Self>,
        mut guard: MutexGuard<'_, LockedState>,
        operation: impl FnOnce(&mut ServiceDispatcher, Instant, &mut Vec<DispatchAction>) -> R,
    ) -> R {
        let inner = &mut *guard;
        let result = operation(&mut inner.dispatcher, Instant::now(), &mut inner.actions);
        self.is_idle.store(inner.dispatcher.needs_no_tick(), Ordering::Release);
        let mut undelivered = Vec::new();
        for action in inner.actions.drain(..) {
            self.deliver(&inner.signals, action, &mut undelivered);
        }
        // A slot whose request is gone is released on drop, which takes the lock again.
        drop(guard);
        drop(undelivered);
        result
    }

    fn deliver(
        self: &Arc<Self>,
        signals: &HashMap<RequestId, UnboundedSender<DispatchSignal>>,
        action: DispatchAction,
        undelivered: &mut Vec<DispatchSignal>,
    ) {
        let (request, signal) = match action {
            DispatchAction::Start { request, target, address, retry } => {
                let slot = AttemptSlot { handle: self.clone(), request, target, address, is_held: true };
                (request, DispatchSignal::Start { slot, address, retry })
            }
            DispatchAction::Refuse { request, reason, retry_after } => {
                (request, DispatchSignal::Refuse { reason, retry_after })
            }
            DispatchAction::CancelAttempt { request, target } => {
                (request, DispatchSignal::CancelAttempt { target })
            }
            DispatchAction::RequestSlots { peer, count } => {
                let sender = self.own_incarnation;
                self.send_to_peer(
                    peer,
                    PeerMessage::SlotRequest { sender, service: self.service.clone(), count },
                );
                return;
            }
            DispatchAction::ReturnSlot { peer, address } => {
                self.send_to_peer(
                    peer,
                    PeerMessage::SlotReturn { service: self.service.clone(), target: address },
                );
                return;
            }
        };
        match signals.get(&request) {
            Some(sender) => {
                if let Err(rejected) = sender.send(signal) {
                    undelivered.push(rejected.0);
                }
            }
            None => undelivered.push(signal),
        }
    }

    fn send_to_peer(&self, peer: IncarnationId, message: PeerMessage) {
        // The control thread ends last; a closed channel means that the process stops.
        let _ = self.peer_sender.send((peer, message));
    }
}

/// A request's place in the gate.
#[derive(Debug)]
pub struct RequestGuard {
    handle: Arc<DispatcherHandle>,
    request: RequestId,
    signals: UnboundedReceiver<DispatchSignal>,
}

impl RequestGuard {
    /// The next signal.
    pub async fn next_signal(&mut self) -> Option<DispatchSignal> {
        self.signals.recv().await
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut inner = self.handle.lock();
        inner.signals.remove(&self.request);
        inner.dispatcher.cancel_waiting(self.request);
    }
}

/// The slot of one attempt.
#[derive(Debug)]
pub struct AttemptSlot {
    handle: Arc<DispatcherHandle>,
    request: RequestId,
    target: TargetKey,
    address: SocketAddr,
    is_held: bool,
}

impl AttemptSlot {
    /// The target.
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Instance behind the address; `None` when the target is gone.
    pub fn instance(&self) -> Option<InstanceName> {
        self.handle
            .read(|dispatcher| dispatcher.targets().get(self.target).map(|target| target.instance.clone()))
    }

    /// Takes in the report that came with the target's answer; `occupied` requests were being
    /// served or waiting there.
    pub fn record_report(&self, occupied: u32, slowdown: f64) {
        self.handle.run(|dispatcher, now, actions| {
            let own = dispatcher.targets().get(self.target).map_or(0, |target| target.in_flight);
            // The answered request is still counted here and no longer there.
            let report = SharedReport { occupied, own: own.saturating_sub(1), slowdown };
            dispatcher.record_report(self.target, report, now, actions);
        });
    }

    /// Takes in the size of the answer body, in bytes.
    pub fn record_response_size(&self, bytes: usize) {
        self.handle.run(|dispatcher, _, _| dispatcher.record_response_size(self.request, bytes));
    }

    /// Accounts for the beginning of an answer.
    pub fn record_response(&self, report: Option<LoadReport>, is_error: bool) -> ResponseDecision {
        let metadata = ResponseMetadata { report, is_error };
        self.handle.run(|dispatcher, now, actions| {
            dispatcher.response_started(self.request, self.target, metadata, now, actions)
        })
    }

    /// Ends the attempt as failed.
    pub fn fail(mut self, failure: AttemptFailure) -> FailureDecision {
        self.is_held = false;
        self.handle.run(|dispatcher, now, actions| {
            dispatcher.attempt_failed(self.request, self.target, failure, now, actions)
        })
    }
}

impl Drop for AttemptSlot {
    fn drop(&mut self) {
        if self.is_held {
            self.handle.run(|dispatcher, now, actions| {
                dispatcher.attempt_ended(self.request, self.target, now, actions);
            });
        }
    }
}

/// A service as traffic threads see it.
#[derive(Debug)]
pub struct ServiceEntry {
    /// Its document in force.
    pub document: Arc<ServiceDocument>,
    /// Entrance to its targets.
    pub dispatcher_handle: Arc<DispatcherHandle>,
    /// Counters by rank.
    pub counters: Vec<Arc<RankCounters>>,
}

impl ServiceEntry {
    /// An entry whose counters belong to `metrics`.
    pub fn new(
        document: Arc<ServiceDocument>,
        dispatcher_handle: Arc<DispatcherHandle>,
        metrics: &MetricSet,
    ) -> Self {
        let ranks = document.ranks.iter();
        let counters = ranks.map(|rank| metrics.rank(&document.name, &rank.name)).collect();
        Self { document, dispatcher_handle, counters }
    }
}
