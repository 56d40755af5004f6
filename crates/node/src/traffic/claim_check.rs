//! Idempotency keys of requests: claims here, duplicates, and keys of other entry VMs.

use crate::shared::{HeldKey, NodeShared};
use crate::traffic::response::Refusal;
use sniperelay_core::claim::{ClaimKey, ClaimState, ClaimVerdict};
use sniperelay_core::reason::{Outcome, RefusalReason};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a caller may ask again for the outcome of a key in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What to do with a request that has a key.
#[derive(Debug)]
pub enum KeyAction {
    /// Run it here.
    Run(HeldKey),
    /// Pass it on to the entry VM that the key belongs to.
    Forward(SocketAddr),
}

/// Claims a key.
///
/// # Errors
///
/// A refusal with what is known of the key.
pub fn claim_key(shared: &Arc<NodeShared>, key: &ClaimKey, is_forwarded: bool) -> Result<KeyAction, Refusal> {
    let verdict = shared.claims().claim(key, Instant::now());
    match verdict {
        ClaimVerdict::Accepted => Ok(KeyAction::Run(HeldKey::new(shared.clone(), key.clone()))),
        ClaimVerdict::OtherIncarnation => find_peer(shared, key, is_forwarded),
        ClaimVerdict::Duplicate(state) => Err(duplicate_refusal(state)),
        ClaimVerdict::Expired => Err(Refusal::unknown(RefusalReason::KeyExpired)),
        ClaimVerdict::NeverIssued => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        ClaimVerdict::Full => {
            let retry_after = shared.settings.limits.claim_epoch;
            Err(Refusal::not_run(RefusalReason::ClaimTableFull).with_retry_after(retry_after))
        }
    }
}

/// Only the incarnation named by the key knows its outcome; nobody else may run it.
fn find_peer(shared: &NodeShared, key: &ClaimKey, is_forwarded: bool) -> Result<KeyAction, Refusal> {
    let members = shared.members.load();
    let member = members.members.get(&key.ticket.incarnation);
    match member {
        Some(record) if !is_forwarded => Ok(KeyAction::Forward(record.caller_address)),
        _ => Err(Refusal::unknown(RefusalReason::KeyElsewhere)),
    }
}

fn duplicate_refusal(state: ClaimState) -> Refusal {
    match state {
        ClaimState::Held | ClaimState::Sent => {
            Refusal::unknown(RefusalReason::DuplicateInFlight).with_retry_after(IN_FLIGHT_RETRY_AFTER)
        }
        ClaimState::Ran(status) => Refusal {
            outcome: Outcome::Ran,
            earlier_status: Some(status),
            ..Refusal::unknown(RefusalReason::DuplicateFinished)
        },
        ClaimState::Unknown => Refusal::unknown(RefusalReason::DuplicateFinished),
    }
}
