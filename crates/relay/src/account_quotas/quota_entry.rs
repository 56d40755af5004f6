//! Quota of one account: its lots, the requests that wait for the owner, and log lines about refusals.
//!
//! Invariant: a request that waits is counted until it ends, also if its caller leaves.

use sniperelay_core::account::{AccountId, AccountLimit, AccountName, ClientAccount};
use sniperelay_core::account_ledger::{LotClaim, LotGrant};
use sniperelay_core::account_quota::{AccountQuota, AdmittedRequest, QuotaDecision};
use sniperelay_core::account_terms::{AccountTerms, LimitTolerance};
use sniperelay_core::ids::IncarnationId;
use sniperelay_node::boot_clock::{self, BootTime};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Time without refusals after which an account is logged as served again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Quota of one account.
#[derive(Debug)]
pub struct QuotaEntry {
    /// Name of the account.
    name: AccountName,
    id: AccountId,
    state: Mutex<QuotaState>,
    answered: Notify,
}

#[derive(Debug)]
struct QuotaState {
    quota: AccountQuota,
    limit: AccountLimit,
    vm_count: usize,
    /// Number of requests refused since the account has been served without refusals.
    refused: u64,
    refused_at: BootTime,
}

/// Counts a request as waiting until it is dropped.
struct WaitGuard<'a>(&'a QuotaEntry);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().quota.end_wait();
    }
}

impl QuotaEntry {
    /// Creates a quota without tokens.
    pub fn new(
        account: &ClientAccount,
        limit: AccountLimit,
        tolerance: &LimitTolerance,
        vm_count: usize,
    ) -> Self {
        let state = QuotaState {
            quota: AccountQuota::new(AccountTerms::new(limit, tolerance), vm_count),
            limit,
            vm_count,
            refused: 0,
            refused_at: BootTime::ZERO,
        };
        Self {
            name: account.name.clone(),
            id: account.id(),
            state: Mutex::new(state),
            answered: Notify::new(),
        }
    }

    /// Returns the id of the account.
    pub fn id(&self) -> AccountId {
        self.id
    }

    /// Gives back the token of a request that was refused and did not run.
    pub fn give_back(&self, admitted: AdmittedRequest) {
        self.lock().quota.give_back(admitted, boot_clock::now());
    }

    /// Returns the time after which a caller may come back whose request has waited in vain.
    pub fn next_retry(&self) -> Duration {
        self.lock().quota.next_retry(boot_clock::now())
    }

    /// Returns whether the owner is to be asked, or gets tokens back.
    pub fn needs_claim(&self, now: BootTime) -> bool {
        self.lock().quota.needs_claim(now)
    }

    /// Takes the claim that is due, if any.
    pub fn take_claim(&self, claimant: IncarnationId) -> Option<LotClaim> {
        self.lock().quota.take_claim(claimant, boot_clock::now())
    }

    /// Applies the answer to a claim that was sent at `sent_at`. Returns whether the next claim is due.
    pub fn apply_grant(&self, grant: LotGrant, sent_at: BootTime) -> bool {
        let now = boot_clock::now();
        let is_due = {
            let mut state = self.lock();
            state.quota.apply_grant(grant, sent_at, now);
            state.quota.needs_claim(now)
        };
        self.answered.notify_waiters();
        is_due
    }

    /// Records that a claim has failed. If nobody else is left to be asked, the requests that wait are refused.
    pub fn fail_claim(&self, is_last: bool) {
        {
            let mut state = self.lock();
            state.quota.fail_claim();
            if is_last {
                state.quota.pause(boot_clock::now());
            }
        }
        self.answered.notify_waiters();
    }

    /// Decides on a request that has arrived. Also returns whether a claim is due.
    pub fn admit(
        &self,
        limit: AccountLimit,
        tolerance: &LimitTolerance,
        vm_count: usize,
        now: BootTime,
    ) -> (QuotaDecision, bool) {
        let mut state = self.lock();
        if state.limit != limit || state.vm_count != vm_count {
            state.quota.set_terms(AccountTerms::new(limit, tolerance), vm_count);
            (state.limit, state.vm_count) = (limit, vm_count);
        }
        let decision = state.quota.admit(now);
        (decision, state.quota.needs_claim(now))
    }

    /// Waits for the owner's answers until one of them decides.
    pub async fn wait(&self, max_wait: Duration) -> QuotaDecision {
        if !self.lock().quota.begin_wait() {
            return QuotaDecision::Wait;
        }
        let _guard = WaitGuard(self);
        let timeout = tokio::time::sleep(max_wait);
        tokio::pin!(timeout);
        loop {
            let answered = self.answered.notified();
            let decision = self.lock().quota.decide(boot_clock::now());
            if decision != QuotaDecision::Wait {
                return decision;
            }
            tokio::select! {
                () = answered => {}
                () = &mut timeout => return QuotaDecision::Wait,
            }
        }
    }

    /// Counts a refused request, and logs the first one.
    pub fn record_refusal(&self) {
        let mut state = self.lock();
        state.refused += 1;
        state.refused_at = boot_clock::now();
        if state.refused == 1 {
            let limit = state.limit;
            drop(state);
            log::info!(
                account = self.name.as_str(), rate = limit.per_second, burst = limit.burst;
                "account {} has used up its limit; requests are refused", self.name
            );
        }
    }

    /// Logs that the account is served again, once no request has been refused for a while.
    pub fn log_calm(&self, now: BootTime) {
        let mut state = self.lock();
        if state.refused == 0 || now.saturating_sub(state.refused_at) < CALM_TIME {
            return;
        }
        let refused = std::mem::take(&mut state.refused);
        drop(state);
        log::info!(
            account = self.name.as_str(), refused = refused;
            "account {} is within its limit again, after {refused} refused requests", self.name
        );
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
