//! Idempotency keys of requests: claims here, duplicates, and keys of other entry VMs.

use crate::shared_state::{ClaimedKey, NodeState};
use crate::traffic::answer::Refusal;
use sniperelay_core::claim::{ClaimKey, ClaimState, ClaimVerdict};
use sniperelay_core::reason::{Outcome, RefusalReason};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a caller may ask again for the outcome of a key in flight.
const IN_FLIGHT_PAUSE: Duration = Duration::from_millis(200);

/// What to do with a request that has a key.
#[derive(Debug)]
pub enum KeyPlan {
    /// Run it here.
    RunHere(ClaimedKey),
    /// Pass it on to the entry VM that the key belongs to.
    PassOn(SocketAddr),
}

/// Claims a key.
///
/// # Errors
///
/// A refusal with what is known of the key.
pub fn claim_key(shared: &Arc<NodeState>, key: &ClaimKey, is_forwarded: bool) -> Result<KeyPlan, Refusal> {
    let verdict = shared.claims().claim(key, Instant::now());
    match verdict {
        ClaimVerdict::Accepted => Ok(KeyPlan::RunHere(ClaimedKey::new(shared.clone(), key.clone()))),
        ClaimVerdict::OtherIncarnation => find_holder(shared, key, is_forwarded),
        ClaimVerdict::Duplicate(state) => Err(describe_duplicate(state)),
        ClaimVerdict::Expired => Err(Refusal::unknown(RefusalReason::KeyExpired)),
        ClaimVerdict::NeverIssued => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        ClaimVerdict::Full => {
            let pause = shared.settings.limits.claim_epoch;
            Err(Refusal::not_run(RefusalReason::ClaimTableFull).with_retry_after(pause))
        }
    }
}

/// Only the incarnation named by the key knows its outcome; nobody else may run it.
fn find_holder(shared: &NodeState, key: &ClaimKey, is_forwarded: bool) -> Result<KeyPlan, Refusal> {
    let members = shared.members.load();
    let holder = members.members.get(&key.ticket.incarnation);
    match holder {
        Some(record) if !is_forwarded => Ok(KeyPlan::PassOn(record.caller_address)),
        _ => Err(Refusal::unknown(RefusalReason::KeyElsewhere)),
    }
}

fn describe_duplicate(state: ClaimState) -> Refusal {
    match state {
        ClaimState::Held | ClaimState::Sent => {
            Refusal::unknown(RefusalReason::DuplicateInFlight).with_retry_after(IN_FLIGHT_PAUSE)
        }
        ClaimState::Ran(status) => Refusal {
            outcome: Outcome::Ran,
            earlier_status: Some(status),
            ..Refusal::unknown(RefusalReason::DuplicateFinished)
        },
        ClaimState::Unknown => Refusal::unknown(RefusalReason::DuplicateFinished),
    }
}
