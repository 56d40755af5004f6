//! State shared by traffic threads and the control thread: snapshots, claims, connection pool and
//! metrics.

use crate::dispatcher_handle::{OutgoingPeerMessage, ServiceEntry};
use crate::lifecycle::LifecycleView;
use crate::metrics::MetricSet;
use crate::stop_deadline::StopDeadline;
use crate::traffic::pool::TargetPool;
use arc_swap::ArcSwap;
use sniperelay_config::NodeSettings;
use sniperelay_core::claim::{ClaimKey, ClaimLimits, ClaimTable, ClaimTicket, epoch_at};
use sniperelay_core::home::HomeCandidate;
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::member::MemberRecord;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Services by name.
pub type ServiceMap = HashMap<ServiceName, Arc<ServiceEntry>>;

/// Entry VMs and homes, used for lookups and for requests whose key belongs to another entry VM.
#[derive(Debug, Default)]
pub struct MemberSnapshot {
    /// Members that are not dead, by incarnation.
    pub members: BTreeMap<IncarnationId, MemberRecord>,
    /// Members that may be listed in lookup responses.
    pub candidates: Vec<HomeCandidate>,
    /// Homes by service.
    pub homes: HashMap<ServiceName, Vec<HomeCandidate>>,
    /// Whether this entry VM receives messages from others, or there are no others.
    pub is_connected: bool,
}

/// Event sent from a traffic thread to the control thread.
#[derive(Debug)]
pub enum TrafficEvent {
    /// A target has reported that it is leaving.
    TargetLeaving {
        /// Service of the target.
        service: ServiceName,
        /// Address of the target.
        target: SocketAddr,
    },
}

/// State shared by all threads of one entry VM.
#[derive(Debug)]
pub struct NodeState {
    /// Settings, fixed for the lifetime of the process.
    pub settings: NodeSettings,
    /// Random number that identifies this process run.
    pub incarnation: IncarnationId,
    /// Services with an active document.
    pub services: ArcSwap<ServiceMap>,
    /// Latest snapshot of the membership.
    pub members: ArcSwap<MemberSnapshot>,
    /// Latest status as JSON, for operators.
    pub status: ArcSwap<serde_json::Value>,
    /// Lifecycle phase of the process.
    pub lifecycle: LifecycleView,
    /// End of the process, if it is stopping.
    pub stop_deadline: StopDeadline,
    /// Metrics of this process.
    pub metrics: MetricSet,
    /// Connections to targets and other entry VMs.
    pub pool: TargetPool,
    /// Sender of events to the control thread.
    pub traffic_sender: UnboundedSender<TrafficEvent>,
    /// Sender of messages to other entry VMs.
    pub peer_sender: UnboundedSender<OutgoingPeerMessage>,
    claims: Mutex<ClaimTable>,
}

impl NodeState {
    /// Creates the shared state of a new process.
    pub fn new(
        settings: NodeSettings,
        incarnation: IncarnationId,
        lifecycle: LifecycleView,
        metrics: MetricSet,
        traffic_sender: UnboundedSender<TrafficEvent>,
        peer_sender: UnboundedSender<OutgoingPeerMessage>,
    ) -> Self {
        let limits = ClaimLimits {
            epoch_length: settings.limits.claim_epoch,
            retained_epochs: settings.limits.claim_epochs,
            max_keys: settings.limits.claim_keys,
        };
        Self {
            claims: Mutex::new(ClaimTable::new(incarnation, Instant::now(), limits)),
            settings,
            incarnation,
            services: ArcSwap::default(),
            members: ArcSwap::default(),
            status: ArcSwap::new(Arc::new(serde_json::Value::Null)),
            lifecycle,
            stop_deadline: StopDeadline::default(),
            metrics,
            pool: TargetPool::default(),
            traffic_sender,
            peer_sender,
        }
    }

    /// Locks the claim table.
    pub fn claims(&self) -> MutexGuard<'_, ClaimTable> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a ticket of the current epoch, for idempotency keys that belong to `member`. `now_millis`
    /// is the current time in milliseconds since the Unix epoch.
    pub fn ticket_for(&self, member: &MemberRecord, now_millis: u64) -> ClaimTicket {
        if member.incarnation == self.incarnation {
            return self.claims().issue_ticket(Instant::now());
        }
        let age = Duration::from_millis(now_millis.saturating_sub(member.started_millis));
        ClaimTicket {
            incarnation: member.incarnation,
            epoch: epoch_at(age, self.settings.limits.claim_epoch),
        }
    }
}

/// A claimed idempotency key. It is released on drop unless it has been sent.
#[derive(Debug)]
pub struct ClaimedKey {
    node_state: Arc<NodeState>,
    key: ClaimKey,
}

impl ClaimedKey {
    /// Wraps a key whose claim has just been accepted.
    pub fn new(node_state: Arc<NodeState>, key: ClaimKey) -> Self {
        Self { node_state, key }
    }

    /// Marks the key as sent. Returns `false` if the key must not be sent, for example because its epoch
    /// has expired.
    pub fn mark_sent(&self) -> bool {
        self.node_state.claims().mark_sent(&self.key, Instant::now())
    }

    /// Records that the request may be sent again, because the target refused it or no byte of it was
    /// written to a connection.
    pub fn mark_refused(&self) {
        self.node_state.claims().mark_refused(&self.key);
    }

    /// Records that a target executed the request and responded with `status`.
    pub fn mark_ran(&self, status: u16) {
        self.node_state.claims().mark_ran(&self.key, status);
    }
}

impl Drop for ClaimedKey {
    /// Releases a key that was never sent, so that it can be claimed again. Marks a key that was sent
    /// without a response as having an unknown outcome.
    fn drop(&mut self) {
        let mut claims = self.node_state.claims();
        claims.release(&self.key);
        claims.mark_unknown(&self.key);
    }
}
