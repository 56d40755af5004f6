//! What traffic threads share with the control thread: snapshots, claims, pool and counters.

use crate::dispatcher_handle::{OutgoingPeerMessage, ServiceEntry};
use crate::lifecycle::LifecycleView;
use crate::metrics::MetricSet;
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

/// Services in force.
pub type ServiceMap = HashMap<ServiceName, Arc<ServiceEntry>>;

/// Entry VMs and homes, for lookups and for keys that belong to others.
#[derive(Debug, Default)]
pub struct MemberSnapshot {
    /// Members that are not dead, by incarnation.
    pub members: BTreeMap<IncarnationId, MemberRecord>,
    /// Members that callers may be sent to.
    pub candidates: Vec<HomeCandidate>,
    /// Homes of each service.
    pub homes: HashMap<ServiceName, Vec<HomeCandidate>>,
    /// Whether this entry VM hears others, or there are none.
    pub is_connected: bool,
}

/// News from traffic threads for the control thread.
#[derive(Debug)]
pub enum TrafficEvent {
    /// A target said that it is leaving.
    TargetLeaving {
        /// The service.
        service: ServiceName,
        /// The target.
        target: SocketAddr,
    },
}

/// State shared by all threads of one entry VM.
#[derive(Debug)]
pub struct NodeState {
    /// Settings, frozen.
    pub settings: NodeSettings,
    /// This process run.
    pub incarnation: IncarnationId,
    /// Services in force.
    pub services: ArcSwap<ServiceMap>,
    /// Membership.
    pub members: ArcSwap<MemberSnapshot>,
    /// Status as JSON, for operators.
    pub status: ArcSwap<serde_json::Value>,
    /// Phase of the process.
    pub lifecycle: LifecycleView,
    /// Metrics.
    pub metrics: MetricSet,
    /// Connections to targets and other entry VMs.
    pub pool: TargetPool,
    /// News for the control thread.
    pub traffic_sender: UnboundedSender<TrafficEvent>,
    /// Messages for other entry VMs.
    pub peer_sender: UnboundedSender<OutgoingPeerMessage>,
    claims: Mutex<ClaimTable>,
}

impl NodeState {
    /// Shared state of a new process.
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
            metrics,
            pool: TargetPool::default(),
            traffic_sender,
            peer_sender,
        }
    }

    /// The claim table.
    pub fn claims(&self) -> MutexGuard<'_, ClaimTable> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A ticket for keys that belong to `member`, issued now.
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

/// A claimed key: released when dropped unless it was sent.
#[derive(Debug)]
pub struct ClaimedKey {
    shared: Arc<NodeState>,
    key: ClaimKey,
}

impl ClaimedKey {
    /// Takes over a key that was just accepted.
    pub fn new(shared: Arc<NodeState>, key: ClaimKey) -> Self {
        Self { shared, key }
    }

    /// Marks the key as sent; false when it must not be sent.
    pub fn mark_sent(&self) -> bool {
        self.shared.claims().mark_sent(&self.key, Instant::now())
    }

    /// The target itself refused the request.
    pub fn mark_refused(&self) {
        self.shared.claims().mark_refused(&self.key);
    }

    /// A target answered with this status.
    pub fn mark_ran(&self, status: u16) {
        self.shared.claims().mark_ran(&self.key, status);
    }
}

impl Drop for ClaimedKey {
    /// A key that was never sent may be used again; one that was sent without an answer is lost.
    fn drop(&mut self) {
        let mut claims = self.shared.claims();
        claims.release(&self.key);
        claims.mark_unknown(&self.key);
    }
}
