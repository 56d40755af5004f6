//! Exchange of lots of accounts' request limits between entry VMs.
//!
//! An entry VM sends one message to each owner, with the claims of all accounts that need a lot, and no further one before
//! the response. An owner that does not respond is left alone for a while; its stand-in is asked instead.

use crate::account_fleet::{AccountFleet, OwnerCandidate};
use crate::account_quotas::{AccountQuotas, QuotaCounters};
use crate::claim_transport::{ClaimError, Result, encode_message, post_claims, read_message};
use crate::shared_state::{ActiveRoutes, EntryVmMap, RelayState};
use crate::unaware_vms::UnawareVm;
use bytes::Bytes;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sniperelay_core::account::{AccountId, AccountLimit};
use sniperelay_core::account_ledger::{LotClaim, LotGrant};
use sniperelay_core::ids::IncarnationId;
use sniperelay_core::limit_ledger::MembershipView;
use sniperelay_node::boot_clock::{self, BootTime};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Path of claims in the API for other entry VMs.
pub const LOT_PATH: &str = "/account-lots";
/// Interval between two checks for changes of the fleet and for tokens that are due to be sent back.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the response of an owner: a request that waits can still ask the stand-in.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which an owner that has not responded is left alone.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// Claims of one entry VM.
#[derive(Debug, Serialize, Deserialize)]
struct LotMessage {
    #[serde(rename = "c")]
    claimant: IncarnationId,
    /// Whether the recipient is asked because the owner does not respond.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    is_for_stand_in: bool,
    /// Entry VMs that the claimant leaves out as owners.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    unaware: Vec<UnawareVm>,
    #[serde(rename = "a")]
    claims: Vec<ClaimTuple>,
}

/// Account, number of requests wanted, tokens returned, rate and burst of the limit in the claimant's version.
type ClaimTuple = (AccountId, u32, u32, f64, f64);

/// Response to [`LotMessage`], with one entry for each claim; `None` if the recipient does not own the account.
#[derive(Debug, Serialize, Deserialize)]
struct GrantMessage {
    #[serde(rename = "g")]
    grants: Vec<Option<GrantTuple>>,
}

/// Number of requests, and the pause before the next claim, in milliseconds.
type GrantTuple = (u32, Option<u64>);

/// Whom to ask for the lots of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClaimRecipient {
    home: IncarnationId,
    is_stand_in: bool,
}

/// Owners with a message in flight, and owners that do not respond.
#[derive(Debug, Default)]
struct OwnerStates {
    in_flight: HashSet<IncarnationId>,
    /// Accounts whose claims wait for a message in flight.
    postponed: Vec<AccountId>,
    silent_until: HashMap<IncarnationId, BootTime>,
}

/// Sends claims to owners.
#[derive(Debug, Default)]
struct ClaimSender {
    owners: Mutex<OwnerStates>,
}

/// The shared objects from which the fleet is computed.
struct FleetSources {
    routes: Option<Arc<ActiveRoutes>>,
    entry_vms: Arc<EntryVmMap>,
    isolated: Arc<BTreeSet<String>>,
    unaware: Vec<UnawareVm>,
}

type AccountClaims = Vec<(AccountId, LotClaim)>;

/// Claims lots of the limits of accounts until the process ends. Does nothing while the configuration has no limits.
pub async fn claim_account_lots(state: Arc<RelayState>) {
    let sender = Arc::new(ClaimSender::default());
    let mut sources = None;
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    upkeep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = upkeep.tick() => {
                let read = FleetSources::read(&state);
                if !sources.as_ref().is_some_and(|sources| read.is_same(sources)) {
                    state.account_quotas.set_fleet(read.fleet(&state));
                    sources = Some(read);
                }
                state.account_quotas.run_upkeep();
            }
            () = state.account_quotas.wait_for_claims() => {}
        }
        let quotas = &state.account_quotas;
        for (recipient, claims) in sender.take_due_claims(quotas) {
            if recipient.home == quotas.fleet().own {
                grant_own_lots(quotas, &recipient, &claims, state.account_view());
            } else {
                tokio::spawn(sender.clone().exchange(state.clone(), recipient, claims));
            }
        }
    }
}

impl FleetSources {
    fn read(state: &RelayState) -> Self {
        Self {
            routes: state.routes.load_full(),
            entry_vms: state.entry_vms.load_full(),
            isolated: state.isolated_vms.load_full(),
            unaware: state.account_quotas.unaware_vms.entries(),
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        let is_same_version = match (&self.routes, &other.routes) {
            (Some(routes), Some(others)) => Arc::ptr_eq(routes, others),
            (routes, others) => routes.is_none() && others.is_none(),
        };
        is_same_version
            && Arc::ptr_eq(&self.entry_vms, &other.entry_vms)
            && Arc::ptr_eq(&self.isolated, &other.isolated)
            && self.unaware == other.unaware
    }

    /// Returns the entry VMs that can own accounts, and the accounts with limits.
    fn fleet(&self, state: &RelayState) -> AccountFleet {
        let Some(routes) = &self.routes else { return AccountFleet::default() };
        let accounts = routes.config.accounts.iter().flatten();
        let limits: HashMap<AccountId, AccountLimit> =
            accounts.filter_map(|account| Some((account.id(), account.limit?))).collect();
        if limits.is_empty() {
            return AccountFleet::default();
        }
        let is_connected = |name: &str| !self.isolated.contains(name);
        let is_any_connected = self.entry_vms.keys().any(|name| is_connected(name));
        let candidates = self.entry_vms.values().filter(|record| {
            let is_aware = !state.account_quotas.unaware_vms.contains(record);
            is_aware && (!is_any_connected || is_connected(&record.name))
        });
        let candidates = candidates.map(|record| OwnerCandidate {
            home: record.home_candidate().incarnation,
            process: record.incarnation,
            address: record.peer_address,
        });
        let (own, version) = (state.own_home_id(), routes.config.version);
        AccountFleet { own, candidates: candidates.collect(), version, limits }
    }
}

fn grant_own_lots(
    quotas: &AccountQuotas,
    recipient: &ClaimRecipient,
    claims: &AccountClaims,
    view: MembershipView,
) {
    let sent_at = boot_clock::now();
    for (account, claim) in claims {
        let grant = quotas.grant(*account, claim, recipient.is_stand_in, view);
        apply_answer(quotas, *account, grant, sent_at);
    }
}

fn apply_answer(quotas: &AccountQuotas, account: AccountId, grant: Option<LotGrant>, sent_at: BootTime) {
    let Some(entry) = quotas.find(account) else { return };
    let Some(grant) = grant else { return entry.fail_claim(true) };
    QuotaCounters::add(&quotas.counters.tokens_granted, grant.tokens);
    if entry.apply_grant(grant, sent_at) {
        quotas.request_claim(account);
    }
}

impl ClaimSender {
    fn lock(&self) -> MutexGuard<'_, OwnerStates> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the claims that are due, by recipient. Accounts whose owner has not responded yet are left for later.
    fn take_due_claims(&self, quotas: &AccountQuotas) -> HashMap<ClaimRecipient, AccountClaims> {
        let fleet = quotas.fleet();
        let mut by_recipient: HashMap<ClaimRecipient, AccountClaims> = HashMap::new();
        let mut owners = self.lock();
        let mut left = Vec::new();
        for account in quotas.take_due() {
            let Some(entry) = quotas.find(account) else { continue };
            let Some(recipient) = owners.recipient(&fleet, account) else {
                entry.fail_claim(true);
                continue;
            };
            if owners.in_flight.contains(&recipient.home) {
                left.push(account);
                continue;
            }
            let Some(claim) = entry.take_claim(fleet.own) else { continue };
            QuotaCounters::add(&quotas.counters.tokens_returned, claim.returned);
            by_recipient.entry(recipient).or_default().push((account, claim));
        }
        for recipient in by_recipient.keys().filter(|recipient| recipient.home != fleet.own) {
            owners.in_flight.insert(recipient.home);
        }
        owners.postponed.extend(left);
        by_recipient
    }

    async fn exchange(
        self: Arc<Self>,
        state: Arc<RelayState>,
        recipient: ClaimRecipient,
        claims: AccountClaims,
    ) {
        let quotas = &state.account_quotas;
        let sent_at = boot_clock::now();
        QuotaCounters::add(&quotas.counters.claims, 1);
        let fleet = quotas.fleet();
        let message = encode_claims(quotas, &recipient, &claims);
        let response = match fleet.find(recipient.home) {
            Some(candidate) => {
                let exchange = post_claims(&state.pool, candidate.address, LOT_PATH, &message);
                tokio::time::timeout(CLAIM_TIMEOUT, exchange).await.unwrap_or(Err(ClaimError::Timeout))
            }
            None => Err(ClaimError::Connection("not registered".into())),
        };
        match response {
            Ok(GrantMessage { grants }) => {
                let grants = grants.into_iter().chain(std::iter::repeat(None));
                for ((account, _), grant) in claims.iter().zip(grants) {
                    apply_answer(quotas, *account, grant.map(decode_grant), sent_at);
                }
            }
            Err(error) => {
                QuotaCounters::add(&quotas.counters.claims_failed, 1);
                log::debug!("no lot of the limits of accounts: {error}");
                self.record_failure(quotas, &fleet, &recipient, &error);
                for (account, _) in &claims {
                    if let Some(entry) = quotas.find(*account) {
                        entry.fail_claim(recipient.is_stand_in);
                    }
                    quotas.request_claim(*account);
                }
            }
        }
        let mut owners = self.lock();
        owners.in_flight.remove(&recipient.home);
        for account in std::mem::take(&mut owners.postponed) {
            quotas.request_claim(account);
        }
    }

    fn record_failure(
        &self,
        quotas: &AccountQuotas,
        fleet: &AccountFleet,
        recipient: &ClaimRecipient,
        error: &ClaimError,
    ) {
        let until = boot_clock::now() + SILENCE_TIME;
        self.lock().silent_until.insert(recipient.home, until);
        let Some(candidate) = fleet.find(recipient.home) else { return };
        if error.shows_unaware_owner() && quotas.unaware_vms.record(candidate.ids()) {
            log::info!("entry VM at {} does not know limits of accounts; it owns none", candidate.address);
        }
    }
}

impl OwnerStates {
    /// Returns whom to ask for the lots of an account: its owner, or the stand-in while the owner does not respond.
    fn recipient(&self, fleet: &AccountFleet, account: AccountId) -> Option<ClaimRecipient> {
        let owners = fleet.owners_of(account)?;
        let now = boot_clock::now();
        let is_silent = |home: &IncarnationId| self.silent_until.get(home).is_some_and(|until| now < *until);
        if !is_silent(&owners.owner) {
            return Some(ClaimRecipient { home: owners.owner, is_stand_in: false });
        }
        let home = owners.stand_in.filter(|home| !is_silent(home))?;
        Some(ClaimRecipient { home, is_stand_in: true })
    }
}

fn encode_claims(quotas: &AccountQuotas, recipient: &ClaimRecipient, claims: &AccountClaims) -> LotMessage {
    let fleet = quotas.fleet();
    let encode = |(account, claim): &(AccountId, LotClaim)| {
        // A stand-in has not granted what is returned.
        let returned = if recipient.is_stand_in { 0 } else { claim.returned };
        (*account, claim.wanted, returned, claim.limit.per_second, claim.limit.burst)
    };
    LotMessage {
        claimant: fleet.own,
        is_for_stand_in: recipient.is_stand_in,
        unaware: quotas.unaware_vms.entries(),
        claims: claims.iter().map(encode).collect(),
    }
}

fn decode_grant((tokens, pause): GrantTuple) -> LotGrant {
    LotGrant { tokens, pause: pause.map(Duration::from_millis) }
}

/// Handles the claims of another entry VM and returns the encoded lots. An entry VM that owns no accounts, for example
/// because it is isolated, still claims lots.
///
/// # Errors
///
/// Returns an error if the message is malformed or its sender is not registered.
pub async fn handle_lot_claims(
    quotas: &AccountQuotas,
    view: MembershipView,
    is_registered: impl Fn(IncarnationId) -> bool,
    body: Incoming,
) -> Result<Bytes> {
    let message: LotMessage = read_message(body).await?;
    if !is_registered(message.claimant) {
        return Err(ClaimError::Malformed("unknown claimant".into()));
    }
    let fleet = quotas.fleet();
    for vm in message.unaware.iter().filter(|(home, _)| *home != fleet.own) {
        quotas.unaware_vms.record(*vm);
    }
    let grant = |claim: &ClaimTuple| {
        let (account, claim) = decode_claim(message.claimant, claim)?;
        let grant = quotas.grant(account, &claim, message.is_for_stand_in, view)?;
        Some((grant.tokens, grant.pause.map(|pause| pause.as_millis() as u64)))
    };
    encode_message(&GrantMessage { grants: message.claims.iter().map(grant).collect() })
}

/// Returns a claim, or `None` if its limit is not valid.
fn decode_claim(claimant: IncarnationId, claim: &ClaimTuple) -> Option<(AccountId, LotClaim)> {
    let (account, wanted, returned, per_second, burst) = *claim;
    let is_valid = per_second.is_finite() && per_second >= 0.0 && burst.is_finite() && burst >= 0.0;
    let limit = AccountLimit { per_second, burst };
    is_valid.then_some((account, LotClaim { claimant, wanted, returned, limit }))
}
