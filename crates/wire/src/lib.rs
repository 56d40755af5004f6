//! Messages between entry VMs, encoded with postcard behind a version byte and a size limit.
//!
//! A message of another version or beyond the limit is refused before it is decoded.

use serde::{Deserialize, Serialize};
use sniperelay_core::edition::{ConfigEdition, EditionSummary};
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::member::MemberMessage;
use sniperelay_core::vm::VmList;
use std::net::SocketAddr;
use thiserror::Error;

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, WireError>;

/// Version of the message format.
pub const WIRE_VERSION: u8 = 1;
/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// Larger than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is larger than the limit")]
    TooLarge(usize),
    /// Another format version.
    #[error("message has version {0:?}, expected {WIRE_VERSION}")]
    Version(Option<u8>),
    /// Malformed content.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Membership.
    Member(MemberMessage),
    /// Editions in force at the sender.
    EditionSummaries {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// The editions; the receiver fetches those that are newer than its own.
        summaries: Vec<EditionSummary>,
    },
    /// Asks for the sender's newer editions in these digest buckets.
    EditionSummaryRequest {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Bit mask of buckets.
        mask: u8,
    },
    /// Asks for whole editions.
    EditionFetch {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Services wanted.
        services: Vec<ServiceName>,
    },
    /// One whole edition.
    Edition(Box<ConfigEdition>),
    /// Asks for the list of VMs if the receiver's is newer than this revision.
    VmListFetch {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Revision that the sender has.
        revision: u64,
    },
    /// The list of VMs.
    VmList(VmList),
    /// Asks for slots of a service.
    SlotRequest {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// The service.
        service: ServiceName,
        /// Slots wanted.
        count: u32,
    },
    /// Lends slots; an empty list is a refusal.
    SlotLoan {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// The service.
        service: ServiceName,
        /// One entry per slot.
        targets: Vec<SocketAddr>,
    },
    /// Gives a slot back.
    SlotReturn {
        /// The service.
        service: ServiceName,
        /// The target.
        target: SocketAddr,
    },
    /// A target is leaving.
    TargetLeaving {
        /// The service.
        service: ServiceName,
        /// The target.
        target: SocketAddr,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// [`WireError::TooLarge`] beyond the limit.
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![WIRE_VERSION]);
    let bytes = bytes.map_err(|error| WireError::Malformed(error.to_string()))?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Why the bytes are not a message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLarge(bytes.len()));
    }
    let (version, content) = bytes.split_first().ok_or(WireError::Version(None))?;
    if *version != WIRE_VERSION {
        return Err(WireError::Version(Some(*version)));
    }
    postcard::from_bytes(content).map_err(|error| WireError::Malformed(error.to_string()))
}
