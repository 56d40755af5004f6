//! Exchange of shares of targets' rate limits between entry VMs.
//!
//! An entry VM with requests for limited targets claims shares of their limits from the entry VMs that own them,
//! all claims for one owner in one call. Nothing is exchanged about targets that state no limit or whose service
//! gets no requests. An owner that does not respond grants no shares, so its targets get no requests from this
//! entry VM once the last share has expired, until the owner responds or another entry VM takes its place.

use crate::attempt::log_limit_change;
use crate::claim_transport::{ClaimError, Result, encode_message, post_claims, read_message};
use crate::decision_log::DecisionKind;
use crate::shared_state::RelayState;
use crate::unaware_vms::UnawareVm;
use bytes::Bytes;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sniperelay_core::dispatch::DueClaim;
use sniperelay_core::ids::{IncarnationId, InstanceName, ServiceName};
use sniperelay_core::limit_ledger::LimitClaim;
use sniperelay_core::rate_limit::{LimitObservation, LimitShare, SHARE_LIFETIME};
use sniperelay_node::dispatcher_handle::ServiceEntry;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Path of claims in the API for other entry VMs.
pub const CLAIM_PATH: &str = "/limit-shares";
/// Interval between two checks for claims that are due.
const CLAIM_TICK: Duration = Duration::from_millis(50);
/// Timeout for the response of an owner: shorter than the interval of claims.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// Claims of one entry VM.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimMessage {
    claimant: IncarnationId,
    claims: Vec<TargetClaim>,
    /// Entry VMs that the claimant leaves out as owners. Builds up to 2702f6a neither send nor read this.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unaware: Vec<UnawareVm>,
}

/// Claim for a share of one target's limit.
#[derive(Debug, Serialize, Deserialize)]
struct TargetClaim {
    service: ServiceName,
    address: SocketAddr,
    instance: InstanceName,
    observation: ObservationMessage,
    /// Rate of requests for the service, in requests per second.
    weight: f64,
}

/// What is known about a limit.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct ObservationMessage {
    /// Requests per second; `None` if the limit has ended.
    per_second: Option<f64>,
    /// Age of the observation, in milliseconds.
    age_ms: u64,
}

impl ObservationMessage {
    fn new(observation: LimitObservation, now: Instant) -> Self {
        let age = now.saturating_duration_since(observation.observed_at);
        Self { per_second: observation.per_second, age_ms: age.as_millis() as u64 }
    }

    /// Returns the observation, or `None` if it is not valid.
    fn decode(self, now: Instant) -> Option<LimitObservation> {
        let is_valid = self.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        let observed_at = now.checked_sub(Duration::from_millis(self.age_ms))?;
        is_valid.then_some(LimitObservation { per_second: self.per_second, observed_at })
    }
}

/// Response to [`ClaimMessage`], with one entry for each claim.
#[derive(Debug, Serialize, Deserialize)]
struct ShareMessage {
    shares: Vec<Option<TargetShare>>,
}

/// Share of one target's limit.
#[derive(Debug, Serialize, Deserialize)]
struct TargetShare {
    observation: ObservationMessage,
    /// Requests per second; `None` if the limit has ended.
    per_second: Option<f64>,
}

/// A claim and the service that it belongs to.
#[derive(Debug)]
struct ServiceClaim {
    entry: Arc<ServiceEntry>,
    claim: DueClaim,
}

/// A target whose limit this entry VM owns.
#[derive(Debug)]
struct LimitedTarget<'a> {
    entry: &'a Arc<ServiceEntry>,
    address: SocketAddr,
    instance: &'a InstanceName,
}

/// Claims shares of the limits of targets until the process ends.
pub async fn claim_limit_shares(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(CLAIM_TICK).await;
        for (owner, claims) in take_due_claims(&state) {
            if owner == state.own_home_id() {
                grant_own_shares(&state, &claims);
            } else {
                tokio::spawn(claim_from_owner(state.clone(), owner, claims));
            }
        }
    }
}

/// Returns the claims that are due, by owner.
fn take_due_claims(state: &RelayState) -> HashMap<IncarnationId, Vec<ServiceClaim>> {
    let mut claims_by_owner: HashMap<IncarnationId, Vec<ServiceClaim>> = HashMap::new();
    for (service, entry) in state.services.load().iter() {
        let claims =
            entry.dispatcher_handle.run_operation(|dispatcher, now, _| dispatcher.take_due_claims(now));
        if claims.is_empty() {
            continue;
        }
        let owners = state.limit_owners(service);
        for claim in claims {
            let Some(owner) = owners.owner_of(claim.address) else { continue };
            claims_by_owner.entry(owner).or_default().push(ServiceClaim { entry: entry.clone(), claim });
        }
    }
    claims_by_owner
}

fn grant_own_shares(state: &RelayState, claims: &[ServiceClaim]) {
    let now = Instant::now();
    for ServiceClaim { entry, claim } in claims {
        let target = LimitedTarget { entry, address: claim.address, instance: &claim.instance };
        let observation = claim.observation;
        let own_claim = LimitClaim { claimant: state.own_home_id(), weight: claim.weight, observation };
        let (observation, share) = grant_share(state, &target, own_claim, now);
        apply_share(state, entry, claim, observation, share);
    }
}

async fn claim_from_owner(state: Arc<RelayState>, owner: IncarnationId, claims: Vec<ServiceClaim>) {
    let sent_at = Instant::now();
    state.metrics.process().limit_claims.fetch_add(1, Ordering::Relaxed);
    let response = match tokio::time::timeout(CLAIM_TIMEOUT, send_claims(&state, owner, &claims)).await {
        Ok(result) => result,
        Err(_) => Err(ClaimError::Timeout),
    };
    let shares = match response {
        Ok(message) => message.shares,
        Err(error) => {
            if error.shows_unaware_owner() {
                leave_out_owner(&state, owner);
            }
            return report_failure(&state, &error);
        }
    };
    for (ServiceClaim { entry, claim }, share) in claims.iter().zip(shares) {
        let Some(share) = share else { continue };
        // Counted from the time of the claim: the share ends here no later than in the owner's ledger, and an
        // own observation does not come back as a later one.
        let Some(observation) = share.observation.decode(sent_at) else { continue };
        let granted = share.per_second.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let granted =
            granted.map(|per_second| LimitShare { per_second, expires_at: sent_at + SHARE_LIFETIME });
        apply_share(&state, entry, claim, observation, granted);
    }
}

/// Leaves out an owner that does not know claims, so that the next one is asked.
fn leave_out_owner(state: &RelayState, owner: IncarnationId) {
    let Some(record) = state.find_entry_vm(owner) else { return };
    if state.unaware_vms.record((owner, record.incarnation)) {
        log::info!(entry_vm = record.name.as_str(); "{} does not know rate limits; it owns none", record.name);
    }
}

fn report_failure(state: &RelayState, error: &ClaimError) {
    state.metrics.process().limit_claims_failed.fetch_add(1, Ordering::Relaxed);
    if let Some(suppressed_lines) =
        state.decisions.admit(DecisionKind::LimitChanged, "claims", Instant::now())
    {
        log::warn!(left_out = suppressed_lines; "no share of the limits of targets: {error}");
    }
}

fn apply_share(
    state: &RelayState,
    entry: &Arc<ServiceEntry>,
    claim: &DueClaim,
    observation: LimitObservation,
    share: Option<LimitShare>,
) {
    let change = entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
        dispatcher.apply_limit_share(claim.target, observation, share, now, actions)
    });
    log_limit_change(state, &claim.instance, claim.address, change);
}

async fn send_claims(
    state: &RelayState,
    owner: IncarnationId,
    claims: &[ServiceClaim],
) -> Result<ShareMessage> {
    let address = state.peer_address(owner).ok_or_else(|| ClaimError::Connection("not registered".into()))?;
    post_claims(&state.pool, address, CLAIM_PATH, &encode_claims(state, claims)).await
}

fn encode_claims(state: &RelayState, claims: &[ServiceClaim]) -> ClaimMessage {
    let now = Instant::now();
    let encode = |claim: &ServiceClaim| TargetClaim {
        service: claim.entry.document.name.clone(),
        address: claim.claim.address,
        instance: claim.claim.instance.clone(),
        observation: ObservationMessage::new(claim.claim.observation, now),
        weight: claim.claim.weight,
    };
    ClaimMessage {
        claimant: state.own_home_id(),
        claims: claims.iter().map(encode).collect(),
        unaware: state.unaware_vms.entries(),
    }
}

/// Handles the claims of another entry VM and returns the encoded shares.
///
/// # Errors
///
/// Returns an error if the message is malformed or its sender is not registered.
pub async fn handle_claims(state: &RelayState, body: Incoming) -> Result<Bytes> {
    let message: ClaimMessage = read_message(body).await?;
    if state.peer_address(message.claimant).is_none() {
        return Err(ClaimError::Malformed("unknown claimant".into()));
    }
    for vm in message.unaware.iter().filter(|(home, _)| *home != state.own_home_id()) {
        state.unaware_vms.record(*vm);
    }
    let now = Instant::now();
    let shares = message.claims.iter().map(|claim| grant_claim(state, message.claimant, claim, now));
    encode_message(&ShareMessage { shares: shares.collect() })
}

/// Grants a share to another entry VM. Returns `None` if this entry VM does not own the limit.
fn grant_claim(
    state: &RelayState,
    claimant: IncarnationId,
    claim: &TargetClaim,
    now: Instant,
) -> Option<TargetShare> {
    let owner = state.limit_owners(&claim.service).owner_of(claim.address);
    if owner != Some(state.own_home_id()) || !claim.weight.is_finite() {
        return None;
    }
    let entry = state.services.load().get(&claim.service).cloned()?;
    let target = LimitedTarget { entry: &entry, address: claim.address, instance: &claim.instance };
    let observation = claim.observation.decode(now)?;
    let claim = LimitClaim { claimant, weight: claim.weight, observation };
    let (observation, share) = grant_share(state, &target, claim, now);
    let observation = ObservationMessage::new(observation, now);
    Some(TargetShare { observation, per_second: share.map(|share| share.per_second) })
}

/// Grants a share of a limit that this entry VM owns.
fn grant_share(
    state: &RelayState,
    target: &LimitedTarget<'_>,
    mut claim: LimitClaim,
    now: Instant,
) -> (LimitObservation, Option<LimitShare>) {
    claim.observation = target.entry.dispatcher_handle.run_operation(|dispatcher, now, _| {
        dispatcher.merge_claimed_limit(target.address, target.instance, claim.observation, now)
    });
    state.lock_limit_ledger().grant(target.instance, &claim, state.membership_view(), now)
}
