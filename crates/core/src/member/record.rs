//! Member records and the messages that carry them.

use crate::digest::BucketDigest;
use crate::ids::{DomainName, IncarnationId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Health of a member as reported by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberHealth {
    /// Responds to heartbeats.
    Alive,
    /// Has not responded to a neighbour within the suspicion timeout.
    Suspect,
    /// Is presumed failed, or has stopped.
    Dead,
}

/// Last known state of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Process run of the member.
    pub incarnation: IncarnationId,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// Address for messages between entry VMs.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain of the member.
    pub domain: DomainName,
    /// Refutation epoch, which the member itself raises to refute a suspicion or to announce its
    /// stop.
    pub epoch: u32,
    /// Health within `epoch`.
    pub health: MemberHealth,
    /// Whether the member has announced its stop; never cleared once set.
    pub is_leaving: bool,
}

impl MemberRecord {
    /// Returns whether callers may be sent to the member.
    pub fn is_available(&self) -> bool {
        self.health != MemberHealth::Dead && !self.is_leaving
    }
}

/// Kind of a membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessageKind {
    /// Requests a [`HeartbeatAck`](Self::HeartbeatAck).
    Heartbeat,
    /// Response to a heartbeat.
    HeartbeatAck,
    /// Carries changed records; needs no response.
    Gossip,
    /// Requests the records in the digest buckets of the bit mask.
    SyncRequest(u8),
    /// Response to a sync request.
    SyncResponse,
}

/// Message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Kind of the message.
    pub kind: MemberMessageKind,
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Records of other members.
    pub records: Vec<MemberRecord>,
    /// Digest of the sender's member table.
    pub digest: BucketDigest,
    /// Digest of the sender's configuration editions.
    pub editions: BucketDigest,
}
