//! Slots lent to and borrowed from the other entry VMs of the service.

use super::{DispatchAction, ServiceDispatcher};
use crate::borrow::{LOAN_TIME, MAX_LOAN, SlotNeed};
use crate::ids::{IncarnationId, TargetKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of a loan that the borrower leaves unused, so that it ends first.
const LOAN_MARGIN: Duration = Duration::from_millis(20);

impl ServiceDispatcher {
    /// Replaces the peers that may lend slots.
    pub fn replace_lenders(&mut self, peers: &[IncarnationId]) {
        self.borrow_plan.replace_lenders(peers);
    }

    /// Lends free slots to a peer that asks; what cannot be met at once stands for a short time.
    pub fn lend_slots(&mut self, borrower: IncarnationId, need: SlotNeed, now: Instant) -> Vec<SocketAddr> {
        if self.settings.policy.is_baseline() {
            return Vec::new();
        }
        let count = if self.waiting.is_empty() { need.count.min(MAX_LOAN) } else { 0 };
        let expires = now + LOAN_TIME;
        let lent: Vec<SocketAddr> = (0..count).map_while(|_| self.targets.lend_slot(expires)).collect();
        let left = need.count.min(MAX_LOAN) - lent.len() as u32;
        self.ask_book.note(borrower, SlotNeed { count: left, ..need }, now);
        lent
    }

    /// Lends a free slot to a standing ask that goes before what waits here. Returns whether one
    /// was lent.
    pub(super) fn lend_to_standing(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) -> bool {
        if self.ask_book.is_empty() {
            return false;
        }
        let own = self.own_need(now);
        if own.is_some_and(|own| self.shares.is_owed(own.rank)) || !self.targets.has_lendable() {
            return false;
        }
        let Some(peer) = self.ask_book.take_before(own, now) else { return false };
        let Some(address) = self.targets.lend_slot(now + LOAN_TIME) else { return false };
        actions.push(DispatchAction::LendSlot { peer, address });
        true
    }

    /// How urgently slots are wanted here.
    fn own_need(&self, now: Instant) -> Option<SlotNeed> {
        let rank = self.next_rank()?;
        let oldest = self.ranks[rank].queue.front()?;
        let waited = now.saturating_duration_since(oldest.queued_at);
        Some(SlotNeed { count: self.waiting.len() as u32, rank, waited_millis: waited.as_millis() as u32 })
    }

    /// Takes over slots lent by `peer` and starts what can be started; returns what is not needed.
    pub fn receive_loans(
        &mut self,
        peer: IncarnationId,
        loans: &[SocketAddr],
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.borrow_plan.record_answer(peer, loans, now);
        let expires = now + LOAN_TIME - LOAN_MARGIN;
        for address in loans {
            self.targets.borrow_slot(*address, expires);
        }
        self.bind_waiting(now, actions);
        self.ask_for_slots(now, actions);
        for address in loans {
            if let Some(key) = self.targets.find(*address) {
                self.return_idle_loan(key, actions);
            }
        }
    }

    /// Accounts for a slot that a borrower gave back, and starts what can be started.
    pub fn loan_returned(&mut self, address: SocketAddr, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.targets.take_back(address);
        self.bind_waiting(now, actions);
    }

    /// Asks a peer for slots when requests wait and none is free.
    pub(super) fn ask_for_slots(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.waiting.is_empty() || self.settings.policy.is_baseline() {
            return;
        }
        let Some(need) = self.own_need(now) else { return };
        if let Some(peer) = self.borrow_plan.next_ask(now) {
            let count = need.count.min(MAX_LOAN);
            actions.push(DispatchAction::AskSlots { peer, need: SlotNeed { count, ..need } });
        }
    }

    /// Gives back a borrowed slot of `target` that is free while nothing waits.
    pub(super) fn return_idle_loan(&mut self, target: TargetKey, actions: &mut Vec<DispatchAction>) {
        if !self.waiting.is_empty() {
            return;
        }
        let Some(address) = self.targets.give_back(target) else { return };
        if let Some(peer) = self.borrow_plan.owner_of(address) {
            actions.push(DispatchAction::ReturnSlot { peer, address });
        }
    }
}
