//! Short loans of slots between the entry VMs of one service.
//!
//! Each target's slots belong to one entry VM. One that has waiting requests and no free slot asks
//! the others in turn; one that has a free slot and nothing waiting lends it until an expiry. A
//! loan that is neither used nor returned lapses at both ends by itself, so that a lost message
//! costs one slot for the length of a loan. An ask that cannot be met stands for a short time: a slot
//! that becomes free goes to it if it is more urgent than what waits at the lender, unless that is
//! owed slot time there. Asks are limited in rate, and a peer that had nothing
//! to lend is left alone for a while.

use crate::ids::{IncarnationId, RankId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of a loan.
pub const LOAN_TIME: Duration = Duration::from_millis(100);
/// Most slots asked for or lent with one message.
pub const MAX_LOAN: u32 = 4;
/// Shortest time between two asks of one service.
const ASK_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which a peer that had nothing to lend is not asked.
const EMPTY_TIME: Duration = Duration::from_millis(10);
/// Time after which an unanswered ask counts as refused.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Time for which an ask that could not be met at once stands.
const ASK_LIFETIME: Duration = Duration::from_millis(20);
/// Difference of waits from which the longer one goes first within a rank.
const WAIT_DIFFERENCE_MILLIS: u32 = 5;

#[derive(Debug)]
struct LenderState {
    peer: IncarnationId,
    ask_after: Option<Instant>,
}

/// How urgently slots are wanted. Ordered: the greater one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotNeed {
    /// Slots wanted.
    pub count: u32,
    /// Rank of the most urgent waiting request.
    pub rank: RankId,
    /// How long it has waited, in milliseconds.
    pub waited_millis: u32,
}

impl SlotNeed {
    /// Whether this need goes before `other`: a more urgent rank, or a clearly longer wait.
    pub fn goes_before(&self, other: &Self) -> bool {
        let is_longer = self.waited_millis > other.waited_millis + WAIT_DIFFERENCE_MILLIS;
        self.rank < other.rank || (self.rank == other.rank && is_longer)
    }
}

#[derive(Debug)]
struct StandingAsk {
    borrower: IncarnationId,
    need: SlotNeed,
    expires: Instant,
}

/// Asks that could not be met at once; they are met by slots that become free soon after.
#[derive(Debug, Default)]
pub struct AskBook {
    asks: Vec<StandingAsk>,
}

impl AskBook {
    /// Notes an ask; it replaces an earlier one of the same borrower.
    pub fn note(&mut self, borrower: IncarnationId, need: SlotNeed, now: Instant) {
        self.asks.retain(|ask| ask.borrower != borrower && ask.expires > now);
        if need.count > 0 {
            self.asks.push(StandingAsk { borrower, need, expires: now + ASK_LIFETIME });
        }
    }

    /// Takes one slot's worth of the first ask that goes before the own need, if there is one.
    pub fn take_before(&mut self, own: Option<SlotNeed>, now: Instant) -> Option<IncarnationId> {
        let is_first = |ask: &StandingAsk| own.is_none_or(|own| ask.need.goes_before(&own));
        let index = self.asks.iter().position(|ask| ask.expires > now && is_first(ask))?;
        let borrower = self.asks[index].borrower;
        self.asks[index].need.count -= 1;
        if self.asks[index].need.count == 0 {
            self.asks.swap_remove(index);
        }
        Some(borrower)
    }

    /// Whether no ask stands.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }
}

/// Whom to ask for slots, and when.
#[derive(Debug, Default)]
pub struct BorrowPlan {
    lenders: Vec<LenderState>,
    next: usize,
    last_ask: Option<Instant>,
    owners: HashMap<SocketAddr, IncarnationId>,
}

impl BorrowPlan {
    /// Replaces the entry VMs that may lend; known ones keep their state.
    pub fn replace_lenders(&mut self, peers: &[IncarnationId]) {
        self.lenders.retain(|lender| peers.contains(&lender.peer));
        for peer in peers {
            if !self.lenders.iter().any(|lender| lender.peer == *peer) {
                self.lenders.push(LenderState { peer: *peer, ask_after: None });
            }
        }
    }

    /// The peer to ask now, if any.
    pub fn next_ask(&mut self, now: Instant) -> Option<IncarnationId> {
        let is_early = self.last_ask.is_some_and(|at| now.saturating_duration_since(at) < ASK_INTERVAL);
        if is_early || self.lenders.is_empty() {
            return None;
        }
        let count = self.lenders.len();
        let start = self.next;
        let ready = |lender: &LenderState| lender.ask_after.is_none_or(|after| after <= now);
        let found =
            (0..count).map(|step| (start + step) % count).find(|index| ready(&self.lenders[*index]))?;
        self.next = found + 1;
        self.last_ask = Some(now);
        self.lenders[found].ask_after = Some(now + ANSWER_TIME);
        Some(self.lenders[found].peer)
    }

    /// Accounts for an answer to an ask.
    pub fn record_answer(&mut self, peer: IncarnationId, loans: &[SocketAddr], now: Instant) {
        if let Some(lender) = self.lenders.iter_mut().find(|lender| lender.peer == peer) {
            lender.ask_after = loans.is_empty().then(|| now + EMPTY_TIME);
        }
        for address in loans {
            self.owners.insert(*address, peer);
        }
    }

    /// Who lent a slot of this target.
    pub fn owner_of(&self, address: SocketAddr) -> Option<IncarnationId> {
        self.owners.get(&address).copied()
    }
}
