//! The tables that the control loop owns.

use crate::control::ControlEvent;
use crate::peer::link::PeerLink;
use crate::shared_state::NodeState;
use sniperelay_core::digest::BucketDigest;
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::edition::EditionTable;
use sniperelay_core::ids::{Generation, ServiceName};
use sniperelay_core::member::{MemberTable, OutgoingMessage};
use sniperelay_core::vm::VmList;
use sniperelay_platform::HttpPlatform;
use sniperelay_wire::PeerMessage;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;

/// Flags that platform tasks read.
#[derive(Debug, Default)]
pub struct SyncFlags {
    /// Whether this entry VM is one of the few that watch the documents.
    pub is_watcher: AtomicBool,
    /// Whether it hears other entry VMs.
    pub is_connected: AtomicBool,
    /// Whether it has a document.
    pub has_editions: AtomicBool,
}

/// A document in force.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// Version.
    pub generation: Generation,
    /// Content.
    pub document: Arc<ServiceDocument>,
    /// When it came into force here, in milliseconds since the Unix epoch.
    pub since_millis: u64,
}

/// State of the control loop.
#[derive(Debug)]
pub struct ControlState {
    /// Shared with traffic threads.
    pub shared: Arc<NodeState>,
    /// Membership.
    pub members: MemberTable,
    /// Editions accepted, as far as known.
    pub editions: EditionTable,
    /// Documents in force, parsed.
    pub documents: HashMap<ServiceName, ActiveDocument>,
    /// The platform's list of VMs.
    pub vm_list: VmList,
    /// Targets said to be leaving by themselves or a peer, and when; they outweigh the list.
    pub leaving_reports: HashMap<(ServiceName, SocketAddr), Instant>,
    /// Messages to other entry VMs.
    pub link: PeerLink,
    /// The platform.
    pub platform: Arc<HttpPlatform>,
    /// Flags that platform tasks read.
    pub flags: Arc<SyncFlags>,
    /// Events for the loop itself.
    pub events: UnboundedSender<ControlEvent>,
    /// Membership revision of the published plan.
    pub published_revision: Option<u64>,
    /// When the last plan was published.
    pub published_at: Option<Instant>,
    /// Whether documents or targets have changed since the plan was published.
    pub has_stale_snapshots: bool,
}

impl ControlState {
    /// Digest of the editions, which every membership message carries.
    pub fn edition_digest(&self) -> BucketDigest {
        self.editions.digest()
    }

    /// Sends membership messages.
    pub fn send_all(&self, messages: Vec<OutgoingMessage>) {
        for message in messages {
            self.link.send(message.address, &PeerMessage::Member(message.message));
        }
    }

    /// Sends a message to all neighbours.
    pub fn send_to_neighbours(&self, message: &PeerMessage) {
        self.members.neighbours().for_each(|record| self.link.send(record.peer_address, message));
    }

    /// Sends a message to a member, if it is known.
    pub fn send_to_member(&self, incarnation: u64, message: &PeerMessage) {
        if let Some(record) = self.members.get(incarnation) {
            self.link.send(record.peer_address, message);
        }
    }
}
