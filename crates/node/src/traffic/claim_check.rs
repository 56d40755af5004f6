//! Idempotency keys of requests: claims, duplicates and keys that belong to other entry VMs.

use crate::shared_state::{ClaimedKey, NodeState};
use crate::traffic::response::Refusal;
use sniperelay_core::claim::{ClaimKey, ClaimState, ClaimVerdict};
use sniperelay_core::reason::{Outcome, RefusalReason};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a caller may retry a request if another request with the same key is in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Action for a request with a key.
#[derive(Debug)]
pub enum KeyAction {
    /// Execute the request through this entry VM.
    Run(ClaimedKey),
    /// Forward the request to the entry VM that the key belongs to, at this address.
    Forward(SocketAddr),
}

/// Claims a key for a request and returns how to process the request. `is_forwarded` states whether
/// another entry VM forwarded the request.
///
/// # Errors
///
/// Returns a refusal with the known outcome of the key if the request must not be executed.
pub fn claim_key(
    node_state: &Arc<NodeState>,
    key: &ClaimKey,
    is_forwarded: bool,
) -> Result<KeyAction, Refusal> {
    let verdict = node_state.claims().claim(key, Instant::now());
    match verdict {
        ClaimVerdict::Accepted => Ok(KeyAction::Run(ClaimedKey::new(node_state.clone(), key.clone()))),
        ClaimVerdict::OtherIncarnation => find_peer(node_state, key, is_forwarded),
        ClaimVerdict::Duplicate(state) => Err(duplicate_refusal(state)),
        ClaimVerdict::Expired => Err(Refusal::unknown(RefusalReason::KeyExpired)),
        ClaimVerdict::NeverIssued => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        ClaimVerdict::Full => {
            let retry_after = node_state.settings.limits.claim_epoch;
            Err(Refusal::not_run(RefusalReason::ClaimTableFull).with_retry_after(retry_after))
        }
    }
}

/// Finds the entry VM that a key belongs to. Only the incarnation named in the key can determine the
/// outcome of the key, and no other may execute the request. A request is forwarded at most once.
fn find_peer(node_state: &NodeState, key: &ClaimKey, is_forwarded: bool) -> Result<KeyAction, Refusal> {
    let members = node_state.members.load();
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
