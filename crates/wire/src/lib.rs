//! Messages between entry VMs, encoded as a version byte followed by a postcard body.
//!
//! Messages of another version or above the size limit are rejected before decoding.

use serde::{Deserialize, Serialize};
use sniperelay_core::edition::{ConfigEdition, EditionSummary};
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::member::MemberMessage;
use sniperelay_core::vm::VmList;
use std::net::SocketAddr;
use thiserror::Error;

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, WireError>;

/// Version of the message format.
pub const WIRE_VERSION: u8 = 1;
/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// Error in encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLarge(usize),
    /// The format version is not supported, or is missing because the message is empty. Holds the
    /// version found, if any.
    #[error("message has format version {0:?}, expected {WIRE_VERSION}")]
    Version(Option<u8>),
    /// The message cannot be encoded or decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Message of the membership protocol.
    Member(MemberMessage),
    /// Announces editions that are active at the sender.
    EditionSummaries {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Summaries of the editions; the receiver fetches those that are newer than its own.
        summaries: Vec<EditionSummary>,
    },
    /// Requests summaries of the receiver's active editions in the given digest buckets.
    EditionSummaryRequest {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Bit mask of digest buckets.
        mask: u8,
    },
    /// Requests complete editions.
    EditionFetch {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Services whose editions are requested.
        services: Vec<ServiceName>,
    },
    /// One complete edition.
    Edition(Box<ConfigEdition>),
    /// Requests the VM list if the receiver's list is newer than the given revision.
    VmListFetch {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Revision of the sender's list.
        revision: u64,
    },
    /// VM list of the sender.
    VmList(VmList),
    /// Requests loans of slots of a service.
    SlotRequest {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Service whose slots are requested.
        service: ServiceName,
        /// Number of slots requested.
        count: u32,
    },
    /// Lends slots; an empty list refuses the request.
    SlotLoan {
        /// Incarnation of the sender.
        sender: IncarnationId,
        /// Service whose slots are lent.
        service: ServiceName,
        /// Address of the target of each slot; one element per slot.
        targets: Vec<SocketAddr>,
    },
    /// Returns a borrowed slot to its owner.
    SlotReturn {
        /// Service of the target.
        service: ServiceName,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Announces that a target is leaving.
    TargetLeaving {
        /// Service of the target.
        service: ServiceName,
        /// Address of the target.
        target: SocketAddr,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`WireError::TooLarge`] if the encoded message exceeds [`MAX_MESSAGE_BYTES`], and
/// [`WireError::Malformed`] if encoding fails.
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
/// Returns an error if the bytes exceed the size limit, have another format version or are
/// malformed.
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
