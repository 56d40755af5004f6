//! Short loans of slots between the entry VMs of one service.
//!
//! Each target's slots belong to one entry VM. One that has waiting requests and no free slot asks
//! the others in turn; one that has a free slot and nothing waiting lends it until an expiry. A
//! loan that is neither used nor returned lapses at both ends by itself, so that a lost message
//! costs one slot for the length of a loan. Asks are limited in rate, and a peer that had nothing
//! to lend is left alone for a while.

use crate::ids::IncarnationId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of a loan.
pub const LOAN_DURATION: Duration = Duration::from_millis(100);
/// Most slots asked for or lent with one message.
pub const MAX_LOAN_SLOTS: u32 = 4;
/// Shortest time between two asks of one service.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which a peer that had nothing to lend is not asked.
const EMPTY_LENDER_BACKOFF: Duration = Duration::from_millis(10);
/// Time after which an unanswered ask counts as refused.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct LenderState {
    peer: IncarnationId,
    next_request_at: Option<Instant>,
}

/// Whom to ask for slots, and when.
#[derive(Debug, Default)]
pub struct BorrowScheduler {
    lenders: Vec<LenderState>,
    next_index: usize,
    last_request_at: Option<Instant>,
    /// First ask after the latest answer.
    unanswered_since: Option<Instant>,
    owners: HashMap<SocketAddr, IncarnationId>,
}

impl BorrowScheduler {
    /// Replaces the entry VMs that may lend; known ones keep their state.
    pub fn replace_lenders(&mut self, peers: &[IncarnationId]) {
        self.lenders.retain(|lender| peers.contains(&lender.peer));
        for peer in peers {
            if !self.lenders.iter().any(|lender| lender.peer == *peer) {
                self.lenders.push(LenderState { peer: *peer, next_request_at: None });
            }
        }
    }

    /// The peer to ask now, if any.
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
        self.unanswered_since.get_or_insert(now);
        self.lenders[found].next_request_at = Some(now + RESPONSE_TIMEOUT);
        Some(self.lenders[found].peer)
    }

    /// Accounts for an answer to an ask.
    pub fn record_response(&mut self, peer: IncarnationId, loans: &[SocketAddr], now: Instant) {
        self.unanswered_since = None;
        if let Some(lender) = self.lenders.iter_mut().find(|lender| lender.peer == peer) {
            lender.next_request_at = loans.is_empty().then(|| now + EMPTY_LENDER_BACKOFF);
        }
        for address in loans {
            self.owners.insert(*address, peer);
        }
    }

    /// For how long the lenders have answered nothing although they were asked; without lenders,
    /// for ever.
    pub fn unresponsive_for(&self, now: Instant) -> Duration {
        if self.lenders.is_empty() {
            return Duration::MAX;
        }
        self.unanswered_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Who lent a slot of this target.
    pub fn owner_of(&self, address: SocketAddr) -> Option<IncarnationId> {
        self.owners.get(&address).copied()
    }
}
