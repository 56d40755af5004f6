//! Request limits of client accounts: admission of requests, and the buckets of the accounts that this entry VM owns.
//!
//! The decisions are those of [`sniperelay_core::account_quota`] and [`sniperelay_core::account_ledger`]; `docs/design/account-limits.md` describes both. A
//! request without a token waits here until [`account_claims`](crate::account_claims) has the owner's answer.
//!
//! Invariant: an account has one [`QuotaEntry`], which all its requests share.

mod quota_entry;

use crate::account_fleet::AccountFleet;
use crate::unaware_vms::UnawareVms;
use arc_swap::ArcSwap;
pub use quota_entry::QuotaEntry;
use sniperelay_core::account::{AccountId, AccountLimit, ClientAccount};
use sniperelay_core::account_ledger::{AccountLedger, LotClaim, LotGrant, OwnerRole};
use sniperelay_core::account_quota::{AdmittedRequest, QuotaDecision};
use sniperelay_core::account_terms::LimitTolerance;
use sniperelay_core::limit_ledger::MembershipView;
use sniperelay_node::boot_clock;
use sniperelay_node::metrics::ProcessCounters;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum time for which a request waits for the owner and its stand-in.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Counters of claims and tokens.
#[derive(Debug, Default)]
pub struct QuotaCounters {
    /// Messages with claims sent to other entry VMs.
    pub claims: AtomicU64,
    /// Those messages that failed.
    pub claims_failed: AtomicU64,
    /// Tokens granted to this entry VM.
    pub tokens_granted: AtomicU64,
    /// Tokens that this entry VM has sent back.
    pub tokens_returned: AtomicU64,
}

/// Limits of client accounts at this entry VM.
#[derive(Debug)]
pub struct AccountQuotas {
    tolerance: LimitTolerance,
    quotas: RwLock<HashMap<AccountId, Arc<QuotaEntry>>>,
    ledger: Mutex<AccountLedger>,
    fleet: ArcSwap<AccountFleet>,
    due: Mutex<HashSet<AccountId>>,
    due_changed: Notify,
    /// Entry VMs of builds that do not know limits of accounts.
    pub unaware_vms: UnawareVms,
    /// Counters for the metrics.
    pub counters: QuotaCounters,
}

/// Admission of a request under the limit of its account.
#[derive(Debug)]
pub struct QuotaAdmission {
    entry: Arc<QuotaEntry>,
    admitted: AdmittedRequest,
}

impl QuotaAdmission {
    /// Gives the token back, of a request that was refused and did not run.
    pub fn give_back(self) {
        self.entry.give_back(self.admitted);
    }
}

/// The limit of the account is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

impl AccountQuotas {
    /// Creates quotas without accounts.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self {
            tolerance,
            quotas: RwLock::default(),
            ledger: Mutex::new(AccountLedger::new(tolerance)),
            fleet: ArcSwap::default(),
            due: Mutex::default(),
            due_changed: Notify::new(),
            unaware_vms: UnawareVms::default(),
            counters: QuotaCounters::default(),
        }
    }

    /// Returns the entry VMs and accounts as last seen.
    pub fn fleet(&self) -> Arc<AccountFleet> {
        self.fleet.load_full()
    }

    /// Replaces the entry VMs and accounts.
    pub fn set_fleet(&self, fleet: AccountFleet) {
        if **self.fleet.load() == fleet {
            return;
        }
        let is_owned =
            |account: &AccountId| fleet.owners_of(*account).is_some_and(|chosen| chosen.owner == fleet.own);
        let owned = fleet.limits.iter().filter(|(account, _)| is_owned(account));
        self.lock_ledger().set_owned(owned.map(|(account, limit)| (*account, *limit)), boot_clock::now());
        self.write_quotas().retain(|account, _| fleet.limits.contains_key(account));
        self.fleet.store(Arc::new(fleet));
    }

    /// Decides on a request of an account, and waits for the owner of its limit if need be, at most `max_wait`. Returns `None`
    /// if the account has no limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the limit is used up.
    pub async fn admit(
        &self,
        account: &ClientAccount,
        max_wait: Duration,
    ) -> std::result::Result<Option<QuotaAdmission>, QuotaRefusal> {
        let Some(limit) = account.limit else { return Ok(None) };
        let entry = self.entry(account, limit);
        let now = boot_clock::now();
        let (decision, is_claim_due) =
            entry.admit(limit, &self.tolerance, self.fleet.load().candidates.len(), now);
        if is_claim_due || decision == QuotaDecision::Wait {
            self.request_claim(entry.id());
        }
        let decision =
            if decision == QuotaDecision::Wait { entry.wait(max_wait.min(MAX_WAIT)).await } else { decision };
        match decision {
            QuotaDecision::Admit(admitted) => Ok(Some(QuotaAdmission { entry, admitted })),
            QuotaDecision::Refuse { retry_after } => {
                entry.record_refusal();
                Err(QuotaRefusal { retry_after })
            }
            QuotaDecision::Wait => {
                entry.record_refusal();
                let retry_after = entry.next_retry();
                Err(QuotaRefusal { retry_after })
            }
        }
    }

    /// Grants a lot to this entry VM or another one. Returns `None` if this entry VM does not own the account's limit and
    /// does not stand in for the owner.
    pub fn grant(
        &self,
        account: AccountId,
        claim: &LotClaim,
        is_for_stand_in: bool,
        view: MembershipView,
    ) -> Option<LotGrant> {
        let fleet = self.fleet.load();
        let owners = fleet.owners_of(account)?;
        let role = if owners.owner == fleet.own {
            OwnerRole::Owner(view)
        } else if is_for_stand_in && owners.stand_in == Some(fleet.own) {
            OwnerRole::StandIn
        } else {
            return None;
        };
        let own_limit = fleet.limits.get(&account).copied();
        Some(self.lock_ledger().grant(account, claim, own_limit, role, boot_clock::now()))
    }

    /// Copies the counters to the metrics of the process.
    pub fn export_counters(&self, process: &ProcessCounters) {
        let counters = &self.counters;
        let copies = [
            (&counters.claims, &process.account_claims),
            (&counters.claims_failed, &process.account_claims_failed),
            (&counters.tokens_granted, &process.account_tokens_granted),
            (&counters.tokens_returned, &process.account_tokens_returned),
        ];
        copies.into_iter().for_each(|(from, to)| to.store(from.load(Ordering::Relaxed), Ordering::Relaxed));
    }

    /// Waits until a claim may be due.
    pub async fn wait_for_claims(&self) {
        self.due_changed.notified().await;
    }

    /// Returns the accounts whose claims may be due.
    pub fn take_due(&self) -> HashSet<AccountId> {
        std::mem::take(&mut self.due.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that a claim of an account may be due.
    pub fn request_claim(&self, account: AccountId) {
        if self.due.lock().unwrap_or_else(PoisonError::into_inner).insert(account) {
            self.due_changed.notify_one();
        }
    }

    /// Returns the quota of an account.
    pub fn find(&self, account: AccountId) -> Option<Arc<QuotaEntry>> {
        self.quotas.read().unwrap_or_else(PoisonError::into_inner).get(&account).cloned()
    }

    /// Finds accounts whose tokens are due to be sent back, and logs those that are served again.
    pub fn run_upkeep(&self) {
        let now = boot_clock::now();
        let entries: Vec<Arc<QuotaEntry>> =
            self.quotas.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect();
        for entry in entries {
            entry.log_calm(now);
            if entry.needs_claim(now) {
                self.request_claim(entry.id());
            }
        }
    }

    fn entry(&self, account: &ClientAccount, limit: AccountLimit) -> Arc<QuotaEntry> {
        let id = account.id();
        if let Some(entry) = self.find(id) {
            return entry;
        }
        let vm_count = self.fleet.load().candidates.len();
        let new_entry = || Arc::new(QuotaEntry::new(account, limit, &self.tolerance, vm_count));
        self.write_quotas().entry(id).or_insert_with(new_entry).clone()
    }

    fn write_quotas(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<AccountId, Arc<QuotaEntry>>> {
        self.quotas.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_ledger(&self) -> MutexGuard<'_, AccountLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuotaCounters {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u32) {
        counter.fetch_add(u64::from(count), Ordering::Relaxed);
    }
}
