//! Shared access to the dispatcher of a service, and the signal channels of its requests.
//!
//! The dispatcher is protected by a mutex, which is held for one dispatcher operation and never
//! across an await point. Each request has a [`RequestGuard`], which cancels the request on drop if
//! it is still queued. Each attempt has an [`AttemptSlot`], which releases the slot on drop,
//! however the attempt ended.

use crate::metrics::{MetricSet, RankCounters};
use sniperelay_core::account::AccountId;
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ResponseDecision,
    ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::ids::{IncarnationId, InstanceName, RankId, RequestId, ServiceName, TargetKey};
use sniperelay_core::rate_limit::LimitChange;
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::{LoadReport, SharedReport, TargetSpec};
use sniperelay_wire::PeerMessage;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A message to another entry VM, with the incarnation of its recipient.
pub type OutgoingPeerMessage = (IncarnationId, PeerMessage);

/// Signal from the dispatcher to a request.
#[derive(Debug)]
pub enum DispatchSignal {
    /// Start an attempt.
    Start {
        /// Slot reserved for the attempt.
        slot: AttemptSlot,
        /// Address of the target.
        address: SocketAddr,
        /// Reason for the retry; `None` for the first attempt.
        retry: Option<RetryReason>,
    },
    /// Refuse the request.
    Refuse {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Cancel the attempt at a target.
    CancelAttempt {
        /// Target of the attempt.
        target: TargetKey,
    },
}

#[derive(Debug)]
struct LockedState {
    dispatcher: ServiceDispatcher,
    signals: HashMap<RequestId, UnboundedSender<DispatchSignal>>,
    /// Buffer for the actions of one operation, reused to avoid allocations.
    actions: Vec<DispatchAction>,
}

/// Handle through which threads share the dispatcher of one service.
#[derive(Debug)]
pub struct DispatcherHandle {
    service: ServiceName,
    inner: Mutex<LockedState>,
    /// Whether the dispatcher needs no tick. Stored outside the mutex, so that idle services can be
    /// skipped without locking.
    is_idle: AtomicBool,
    next_request_id: AtomicU64,
    peer_sender: UnboundedSender<OutgoingPeerMessage>,
    own_incarnation: IncarnationId,
}

impl DispatcherHandle {
    /// Creates a dispatcher without targets.
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

    /// Submits a request to the dispatcher. The returned guard receives the request's signals.
    pub fn submit(
        self: &Arc<Self>,
        rank: RankId,
        deadline: Instant,
        is_idempotent: bool,
        is_retry_forbidden: bool,
        account: AccountId,
    ) -> RequestGuard {
        let request = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (sender, signals) = unbounded_channel();
        let new_request = NewRequest { request, rank, deadline, is_idempotent, is_retry_forbidden, account };
        let mut inner = self.lock();
        inner.signals.insert(request, sender);
        self.run_operation_locked(inner, |dispatcher, now, actions| {
            dispatcher.submit(new_request, now, actions)
        });
        RequestGuard { handle: self.clone(), request, signals }
    }

    /// Runs an operation on the locked dispatcher and executes the resulting actions. The operation
    /// receives the dispatcher, the current time and the list to which it adds its actions.
    pub fn run_operation<R>(
        self: &Arc<Self>,
        operation: impl FnOnce(&mut ServiceDispatcher, Instant, &mut Vec<DispatchAction>) -> R,
    ) -> R {
        self.run_operation_locked(self.lock(), operation)
    }

    /// Calls `view` with the locked dispatcher and returns its result.
    pub fn read<R>(&self, view: impl FnOnce(&ServiceDispatcher) -> R) -> R {
        view(&self.lock().dispatcher)
    }

    /// Runs the periodic tick of the dispatcher, unless it is idle.
    pub fn tick_if_needed(self: &Arc<Self>) {
        if !self.is_idle.load(Ordering::Acquire) {
            self.run_operation(|dispatcher, now, actions| dispatcher.tick(now, actions));
        }
    }

    /// Replaces the targets of the service and the entry VMs that can lend slots.
    pub fn replace_targets(self: &Arc<Self>, specs: &[TargetSpec], lenders: &[IncarnationId]) {
        self.run_operation(|dispatcher, now, actions| {
            dispatcher.replace_lenders(lenders);
            dispatcher.replace_targets(specs, now, actions);
        });
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_operation_locked<R>(
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
        // An undelivered start signal, whose request no longer exists, releases its slot on drop, which
        // locks the mutex again.
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
        // The control thread ends last, so a closed channel means that the process is stopping.
        let _ = self.peer_sender.send((peer, message));
    }
}

/// A request submitted to the dispatcher. Dropping the guard cancels the request if it is still queued.
#[derive(Debug)]
pub struct RequestGuard {
    handle: Arc<DispatcherHandle>,
    request: RequestId,
    signals: UnboundedReceiver<DispatchSignal>,
}

impl RequestGuard {
    /// Waits for the next signal of the dispatcher. Returns `None` when the channel is closed.
    pub async fn next_signal(&mut self) -> Option<DispatchSignal> {
        self.signals.recv().await
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut inner = self.handle.lock();
        inner.signals.remove(&self.request);
        inner.dispatcher.cancel_queued(self.request);
    }
}

/// Slot held by one attempt; released on drop.
#[derive(Debug)]
pub struct AttemptSlot {
    handle: Arc<DispatcherHandle>,
    request: RequestId,
    target: TargetKey,
    address: SocketAddr,
    is_held: bool,
}

impl AttemptSlot {
    /// Returns the target of the attempt.
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the instance at the target's address, or `None` if the target has been removed.
    pub fn instance(&self) -> Option<InstanceName> {
        self.handle
            .read(|dispatcher| dispatcher.targets().get(self.target).map(|target| target.instance.clone()))
    }

    /// Records the load report in the target's response. `occupied` is the number of requests that
    /// the target was serving or had queued; `slowdown` is a factor, with 1.0 as the usual speed.
    pub fn record_report(&self, occupied: u32, slowdown: f64) {
        self.handle.run_operation(|dispatcher, now, actions| {
            let own = dispatcher.targets().get(self.target).map_or(0, |target| target.in_flight);
            // The target no longer counts the request to which it responded; the local count still
            // includes it.
            let report = SharedReport { occupied, own: own.saturating_sub(1), slowdown };
            dispatcher.record_report(self.target, report, now, actions);
        });
    }

    /// Records the size of the response body in bytes.
    pub fn record_response_size(&self, bytes: usize) {
        self.handle.run_operation(|dispatcher, _, _| dispatcher.record_response_size(self.request, bytes));
    }

    /// Records the sizes of the request body and of the complete response body, in bytes.
    pub fn record_transfer(&self, request_bytes: usize, response_bytes: usize) {
        self.handle.run_operation(|dispatcher, _, _| {
            dispatcher.record_transfer(self.request, self.target, request_bytes, response_bytes);
        });
    }

    /// Records the start of a response and returns whether to deliver it. The slot remains in use until
    /// it is dropped.
    pub fn record_response(&self, report: Option<LoadReport>, is_error: bool) -> ResponseDecision {
        let metadata = ResponseMetadata { report, is_error };
        self.handle.run_operation(|dispatcher, now, actions| {
            dispatcher.response_started(self.request, self.target, metadata, now, actions)
        })
    }

    /// Withholds requests and probes from the target for `pause`, because it has asked for that.
    pub fn hold_off(&self, pause: Duration) {
        self.handle.run_operation(|dispatcher, now, actions| {
            dispatcher.hold_off(self.target, pause, now, actions);
        });
    }

    /// Returns the limit that the target states, in requests per second, if it states one.
    pub fn limit(&self) -> Option<f64> {
        self.handle.read(|dispatcher| dispatcher.targets().stated_limit(self.target))
    }

    /// Records the limit that the target's response states, in requests per second, or that it states none.
    pub fn record_limit(&self, per_second: Option<f64>) -> LimitChange {
        self.handle.run_operation(|dispatcher, now, _| {
            dispatcher.record_limit(self.request, self.target, per_second, now)
        })
    }

    /// Records that the response body is complete, and releases the slot.
    pub fn record_complete_body(self) {
        self.handle.run_operation(|dispatcher, _, _| dispatcher.record_complete_body(self.target));
    }

    /// Records that the response body broke off or exceeded a limit after the response had started, and
    /// releases the slot.
    pub fn record_broken_body(self) {
        self.handle.run_operation(|dispatcher, now, _| dispatcher.record_broken_body(self.target, now));
    }

    /// Records that the attempt has failed, releases its slot, and returns whether the request is
    /// retried.
    pub fn record_failure(mut self, failure: AttemptFailure) -> FailureDecision {
        self.is_held = false;
        self.handle.run_operation(|dispatcher, now, actions| {
            dispatcher.attempt_failed(self.request, self.target, failure, now, actions)
        })
    }
}

impl Drop for AttemptSlot {
    fn drop(&mut self) {
        if self.is_held {
            self.handle.run_operation(|dispatcher, now, actions| {
                dispatcher.attempt_ended(self.request, self.target, now, actions);
            });
        }
    }
}

/// A service as seen by traffic threads.
#[derive(Debug)]
pub struct ServiceEntry {
    /// Active document of the service.
    pub document: Arc<ServiceDocument>,
    /// Dispatcher of the service.
    pub dispatcher_handle: Arc<DispatcherHandle>,
    /// Counters of each rank, indexed by rank.
    pub counters: Vec<Arc<RankCounters>>,
}

impl ServiceEntry {
    /// Creates an entry whose counters are registered in `metrics`.
    pub fn new(
        document: Arc<ServiceDocument>,
        dispatcher_handle: Arc<DispatcherHandle>,
        metrics: &MetricSet,
    ) -> Self {
        let ranks = document.ranks.iter();
        let counters = ranks.map(|rank| metrics.rank(&document.name, &rank.name)).collect();
        Self { document, dispatcher_handle, counters }
    }

    /// Returns the counters of a rank, or of the last one if an earlier document had more ranks.
    pub fn rank_counters(&self, rank: RankId) -> &RankCounters {
        &self.counters[rank.min(self.counters.len() - 1)]
    }
}
