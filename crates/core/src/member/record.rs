//! Records of members and the messages that carry them.

use crate::digest::BucketDigest;
use crate::ids::{DomainName, IncarnationId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Health of a member as rumoured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberHealth {
    /// Answers heartbeats.
    Alive,
    /// Has not answered a neighbour for a while.
    Suspect,
    /// Counts as gone.
    Dead,
}

/// What is known of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Process run.
    pub incarnation: IncarnationId,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// Address for messages between entry VMs.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Raised by the member itself to refute a suspicion.
    pub epoch: u32,
    /// Health within the epoch.
    pub health: MemberHealth,
    /// Whether the member has announced its stop; never taken back.
    pub is_leaving: bool,
}

impl MemberRecord {
    /// Whether callers may be sent to the member.
    pub fn is_available(&self) -> bool {
        self.health != MemberHealth::Dead && !self.is_leaving
    }
}

/// Kind of a membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessageKind {
    /// Asks for an answer.
    Heartbeat,
    /// Answers a heartbeat.
    HeartbeatAck,
    /// Carries news only.
    Gossip,
    /// Asks for the records in the buckets of the mask.
    SyncRequest(u8),
    /// Carries records of a comparison.
    SyncResponse,
}

/// Message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// What the message is for.
    pub kind: MemberMessageKind,
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Records of others.
    pub records: Vec<MemberRecord>,
    /// Digest of the sender's table.
    pub digest: BucketDigest,
    /// Digest of the sender's configuration editions.
    pub editions: BucketDigest,
}
