//! State owned by the control loop.

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

/// Flags that the control loop sets for the platform tasks.
#[derive(Debug, Default)]
pub struct SyncFlags {
    /// Whether this entry VM is among those chosen to watch the documents in the platform.
    pub is_watcher: AtomicBool,
    /// Whether this entry VM receives messages from others, or there are no others.
    pub is_connected: AtomicBool,
    /// Whether this entry VM has at least one document.
    pub has_editions: AtomicBool,
}

/// Active document of a service.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// Version of the document.
    pub generation: Generation,
    /// Parsed content.
    pub document: Arc<ServiceDocument>,
    /// Time at which this entry VM activated the document, in milliseconds since the Unix epoch.
    pub activated_unix_millis: u64,
}

/// State of the control loop.
#[derive(Debug)]
pub struct ControlState {
    /// State shared with traffic threads.
    pub node_state: Arc<NodeState>,
    /// Membership table.
    pub members: MemberTable,
    /// Latest known edition of each document.
    pub editions: EditionTable,
    /// Active documents by service.
    pub documents: HashMap<ServiceName, ActiveDocument>,
    /// The platform's list of VMs.
    pub vm_list: VmList,
    /// Targets reported to be leaving by themselves or by a peer, with the time of the report. The
    /// reports take precedence over the platform's list.
    pub leaving_reports: HashMap<(ServiceName, SocketAddr), Instant>,
    /// Connections to other entry VMs.
    pub link: PeerLink,
    /// Client of the platform.
    pub platform: Arc<HttpPlatform>,
    /// Flags for the platform tasks.
    pub flags: Arc<SyncFlags>,
    /// Sender of events to the loop itself.
    pub event_sender: UnboundedSender<ControlEvent>,
    /// Membership revision of the published snapshots.
    pub published_revision: Option<u64>,
    /// Time at which snapshots were last published.
    pub published_at: Option<Instant>,
    /// Whether documents or targets have changed since snapshots were published.
    pub has_stale_snapshots: bool,
}

impl ControlState {
    /// Returns the digest of the editions, which is part of every membership message.
    pub fn edition_digest(&self) -> BucketDigest {
        self.editions.digest()
    }

    /// Sends membership messages to their recipients.
    pub fn send_all(&self, messages: Vec<OutgoingMessage>) {
        for message in messages {
            self.link.send(message.address, &PeerMessage::Member(message.message));
        }
    }

    /// Sends a message to all neighbours.
    pub fn send_to_neighbours(&self, message: &PeerMessage) {
        self.members.neighbours().for_each(|record| self.link.send(record.peer_address, message));
    }

    /// Sends a message to a member; does nothing if the member is unknown.
    pub fn send_to_member(&self, incarnation: u64, message: &PeerMessage) {
        if let Some(record) = self.members.get(incarnation) {
            self.link.send(record.peer_address, message);
        }
    }
}
