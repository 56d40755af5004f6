//! Short loans of slots between the entry VMs of one service.
//!
//! Each target's slots are owned by one entry VM. An entry VM with queued requests and no free slot
//! requests slots from the others in turn. An entry VM with a free slot and no queued requests
//! lends the slot until an expiry time. A loan that is neither used nor returned expires on both
//! sides independently, so that a lost message costs one slot for the duration of a loan. Loan
//! requests are rate limited, and a peer that had nothing to lend gets none for a short time.

use crate::ids::IncarnationId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Duration of a loan.
pub const LOAN_DURATION: Duration = Duration::from_millis(100);
/// Maximum number of slots requested or lent in one message.
pub const MAX_LOAN_SLOTS: u32 = 4;
/// Minimum interval between two loan requests for one service.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which no loan is requested from a peer that had nothing to lend.
const EMPTY_LENDER_BACKOFF: Duration = Duration::from_millis(10);
/// Time after which a loan request without a response counts as refused.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct LenderState {
    peer: IncarnationId,
    next_request_at: Option<Instant>,
}

/// Decides when to request a loan, and from which peer.
#[derive(Debug, Default)]
pub struct BorrowScheduler {
    lenders: Vec<LenderState>,
    next_index: usize,
    last_request_at: Option<Instant>,
    /// Time of the first loan request since the last response.
    no_response_since: Option<Instant>,
    owners: HashMap<SocketAddr, IncarnationId>,
}

impl BorrowScheduler {
    /// Replaces the entry VMs that may lend slots. Those that are already known keep their state.
    pub fn replace_lenders(&mut self, peers: &[IncarnationId]) {
        self.lenders.retain(|lender| peers.contains(&lender.peer));
        for peer in peers {
            if !self.lenders.iter().any(|lender| lender.peer == *peer) {
                self.lenders.push(LenderState { peer: *peer, next_request_at: None });
            }
        }
    }

    /// Returns the peer to request a loan from now, if any, and records the request.
    pub fn next_lender(&mut self, now: Instant) -> Option<IncarnationId> {
        let is_too_early =
            self.last_request_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_REQUEST_INTERVAL);
        if is_too_early || self.lenders.is_empty() {
            return None;
        }
        let count = self.lenders.len();
        let start = self.next_index;
        let ready = |lender: &LenderState| lender.next_request_at.is_none_or(|after| after <= now);
        let found =
            (0..count).map(|step| (start + step) % count).find(|index| ready(&self.lenders[*index]))?;
        self.next_index = found + 1;
        self.last_request_at = Some(now);
        self.no_response_since.get_or_insert(now);
        self.lenders[found].next_request_at = Some(now + RESPONSE_TIMEOUT);
        Some(self.lenders[found].peer)
    }

    /// Records the response to a loan request. `loans` holds the target address of each lent slot and
    /// is empty if the peer had nothing to lend.
    pub fn record_loan_response(&mut self, peer: IncarnationId, loans: &[SocketAddr], now: Instant) {
        self.no_response_since = None;
        if let Some(lender) = self.lenders.iter_mut().find(|lender| lender.peer == peer) {
            lender.next_request_at = loans.is_empty().then(|| now + EMPTY_LENDER_BACKOFF);
        }
        for address in loans {
            self.owners.insert(*address, peer);
        }
    }

    /// Returns the time for which loan requests have had no response. Without lenders, returns
    /// [`Duration::MAX`].
    pub fn unresponsive_for(&self, now: Instant) -> Duration {
        if self.lenders.is_empty() {
            return Duration::MAX;
        }
        self.no_response_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the entry VM that owns the target and has lent a slot of it, if any.
    pub fn owner_of(&self, address: SocketAddr) -> Option<IncarnationId> {
        self.owners.get(&address).copied()
    }
}
