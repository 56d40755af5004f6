//! Slots lent to and borrowed from the other entry VMs of the service.

use super::{DispatchAction, ServiceDispatcher};
use crate::borrow::{LOAN_DURATION, MAX_LOAN_SLOTS};
use crate::ids::{IncarnationId, TargetKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Margin by which the borrower ends a loan before the lender does.
const LOAN_MARGIN: Duration = Duration::from_millis(20);

impl ServiceDispatcher {
    /// Replaces the peers that may lend slots.
    pub fn replace_lenders(&mut self, peers: &[IncarnationId]) {
        self.borrow_scheduler.replace_lenders(peers);
    }

    /// Lends up to `count` free slots, at most [`MAX_LOAN_SLOTS`], and returns the target address of
    /// each. Lends none while requests are queued here.
    pub fn lend_slots(&mut self, count: u32, now: Instant) -> Vec<SocketAddr> {
        if !self.queued_keys.is_empty() || self.settings.policy.is_baseline() {
            return Vec::new();
        }
        let expires = now + LOAN_DURATION;
        (0..count.min(MAX_LOAN_SLOTS)).map_while(|_| self.targets.lend_slot(expires)).collect()
    }

    /// Accepts slots lent by `peer`, starts queued requests if possible, and gives back the slots
    /// that are not needed. `loans` holds the target address of each slot.
    pub fn receive_loans(
        &mut self,
        peer: IncarnationId,
        loans: &[SocketAddr],
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.borrow_scheduler.record_loan_response(peer, loans, now);
        let expires = now + LOAN_DURATION - LOAN_MARGIN;
        for address in loans {
            self.targets.borrow_slot(*address, expires);
        }
        self.bind_queued(now, actions);
        self.request_slots(now, actions);
        for address in loans {
            if let Some(key) = self.targets.find(*address) {
                self.return_idle_loan(key, actions);
            }
        }
    }

    /// Takes back a slot returned by its borrower, and starts queued requests if possible.
    pub fn loan_returned(&mut self, address: SocketAddr, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.targets.reclaim_slot(address);
        self.bind_queued(now, actions);
    }

    /// Requests slots from a peer if requests are still queued and a peer may be asked now.
    pub(super) fn request_slots(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.queued_keys.is_empty() || self.settings.policy.is_baseline() {
            return;
        }
        if let Some(peer) = self.borrow_scheduler.next_lender(now) {
            let count = (self.queued_keys.len() as u32).min(MAX_LOAN_SLOTS);
            actions.push(DispatchAction::RequestSlots { peer, count });
        }
    }

    /// Returns a free borrowed slot of `target` to its lender if no request is queued.
    pub(super) fn return_idle_loan(&mut self, target: TargetKey, actions: &mut Vec<DispatchAction>) {
        if !self.queued_keys.is_empty() {
            return;
        }
        let Some(address) = self.targets.return_slot(target) else { return };
        if let Some(peer) = self.borrow_scheduler.owner_of(address) {
            actions.push(DispatchAction::ReturnSlot { peer, address });
        }
    }
}
