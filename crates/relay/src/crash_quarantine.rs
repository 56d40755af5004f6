//! Quarantine of requests under which targets crash: what identifies a request, and the checks whether a target
//! has crashed.
//!
//! An attempt whose connection is lost proves neither that the target has crashed nor that this request was the
//! cause. A target counts as crashed if it twice refuses a new connection, or if another instance responds at its address.
//! One that accepts connections and resets them may be full. The decisions are made by [`sniperelay_core::quarantine`].

use crate::attempt::OutboundRequest;
use crate::decision_log::DecisionKind;
use crate::shared_state::RelayState;
use bytes::Bytes;
use http::{HeaderName, Request, header};
use sniperelay_core::ids::InstanceName;
use sniperelay_core::quarantine::{
    Admission, CallerHash, ContentHash, CrashHash, ObservedCrash, QUARANTINE_THRESHOLD, QuarantineTable,
};
use sniperelay_hosted::headers::{REQUEST_ID, read_instance};
use sniperelay_node::boot_clock;
use sniperelay_node::traffic::body::full_body;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Headers that identify a caller within a request.
static CREDENTIAL_HEADERS: [HeaderName; 2] = [header::AUTHORIZATION, header::COOKIE];
/// Pause between the two checks of a target. A target that only sheds load accepts connections again.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(300);
/// Timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// What identifies a request among its repeats.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity {
    /// Hash of the content.
    pub content: ContentHash,
    /// Hash of the caller's address.
    pub caller: CallerHash,
}

impl RequestIdentity {
    /// Computes the identity of a request. The request ID and the deadline differ between repeats and are left
    /// out, like all headers but the credentials.
    pub fn of(outbound: &OutboundRequest) -> Self {
        let mut hasher = Xxh3::new();
        let mut add_part = |part: &[u8]| {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        };
        add_part(outbound.method.as_str().as_bytes());
        add_part(outbound.path_and_query.as_bytes());
        for name in [&header::HOST].into_iter().chain(&CREDENTIAL_HEADERS) {
            outbound.headers.get_all(name).iter().for_each(|value| add_part(value.as_bytes()));
        }
        add_part(&outbound.body.content);
        Self { content: hasher.digest128(), caller: hash_address(outbound.caller) }
    }
}

fn hash_address(address: IpAddr) -> CallerHash {
    match address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    }
}

/// The quarantine table of this entry VM.
#[derive(Debug)]
pub struct CrashQuarantine {
    table: Mutex<QuarantineTable>,
    /// Notified when reports have to be published.
    pub has_changed: Notify,
}

impl CrashQuarantine {
    /// Creates an empty table. `first_quarantine` is the duration of a quarantine before any trial.
    pub fn new(first_quarantine: Duration) -> Self {
        Self { table: Mutex::new(QuarantineTable::new(first_quarantine)), has_changed: Notify::new() }
    }

    /// Locks and returns the table.
    pub fn lock(&self) -> MutexGuard<'_, QuarantineTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decides whether a request may be sent.
pub fn admit_request(state: &RelayState, outbound: &OutboundRequest, host: &str) -> Admission {
    if state.quarantine.lock().is_empty() {
        return Admission::Unrestricted;
    }
    let identity = RequestIdentity::of(outbound);
    if !state.quarantine.lock().contains(identity.content) {
        return Admission::Unrestricted;
    }
    let position = state.trial_position(host);
    let admission =
        state.quarantine.lock().admit(identity.content, identity.caller, position, boot_clock::now());
    if let Admission::Quarantined { crashes, retry_after } = admission {
        state.metrics.process().requests_quarantined.fetch_add(1, Ordering::Relaxed);
        log_quarantined(state, outbound, identity, crashes, retry_after);
    }
    admission
}

fn log_quarantined(
    state: &RelayState,
    outbound: &OutboundRequest,
    identity: RequestIdentity,
    crashes: usize,
    retry_after: Duration,
) {
    let kind = DecisionKind::Refused;
    let Some(suppressed_lines) = state.decisions.admit(kind, "quarantined", Instant::now()) else { return };
    let reporters = state.quarantine.lock().reporters(identity.content).join(" ");
    let id = request_id(outbound);
    log::info!(
        target: "request",
        request = id, decision = kind.as_str(), left_out = suppressed_lines;
        "request {id} {}: quarantined for {retry_after:?}; {crashes} targets crashed under content {:032x}, some of them reported by [{reporters}]",
        kind.as_str(), identity.content
    );
}

/// Returns the time until the end of a quarantine that has begun since the request was admitted.
pub fn later_quarantine(state: &RelayState, outbound: &OutboundRequest) -> Option<Duration> {
    if state.quarantine.lock().is_empty() {
        return None;
    }
    let RequestIdentity { content, caller } = RequestIdentity::of(outbound);
    state.quarantine.lock().quarantine_of(content, caller, boot_clock::now())
}

/// Records that a target has responded to a request, so that it did not crash under it.
pub fn record_completion(state: &RelayState, outbound: &OutboundRequest) {
    if state.quarantine.lock().is_empty() {
        return;
    }
    let RequestIdentity { content, caller } = RequestIdentity::of(outbound);
    let mut table = state.quarantine.lock();
    if table.contains(content) {
        table.record_completion(content, caller, boot_clock::now());
        state.quarantine.has_changed.notify_one();
    }
}

/// Checks whether a target has crashed after the connection of an attempt was lost, and records it.
pub async fn check_for_crash(
    state: Arc<RelayState>,
    outbound: Arc<OutboundRequest>,
    target: SuspectedTarget,
) {
    let RequestIdentity { content, caller } = RequestIdentity::of(&outbound);
    let crash = target.crash_hash(&state);
    let crashed_at = boot_clock::now();
    state.quarantine.lock().record_suspicion(content, crashed_at);
    if !target.has_ended(&state).await {
        return;
    }
    tokio::time::sleep(SECOND_CHECK_DELAY).await;
    if !target.has_ended(&state).await {
        return;
    }
    // Without a response of any target, the links of this entry VM are the likelier cause.
    if state.links.is_suspect() {
        return;
    }
    let observed = ObservedCrash { content, caller, crash, crashed_at };
    let crashes = state.quarantine.lock().record_crash(observed, boot_clock::now());
    state.quarantine.has_changed.notify_one();
    state.metrics.process().target_crashes.fetch_add(1, Ordering::Relaxed);
    let (id, address, instance) = (request_id(&outbound), target.address, &target.instance);
    log::warn!(
        target: "request",
        request = id, decision = "target-crashed";
        "target {instance} at {address} crashed while it ran request {id}, content {:032x}; {crashes} crashes under this content, quarantined from {QUARANTINE_THRESHOLD}",
        content
    );
}

fn request_id(outbound: &OutboundRequest) -> &str {
    outbound.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// A target that may have crashed.
#[derive(Debug)]
pub struct SuspectedTarget {
    /// Instance that ran the request.
    pub instance: InstanceName,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    pub health_path: String,
}

impl SuspectedTarget {
    /// Returns whether the instance seems to have ended: a new connection to its address is refused, or another
    /// instance responds. Without a clear response it is not known to have ended.
    async fn has_ended(&self, state: &RelayState) -> bool {
        tokio::time::timeout(CHECK_TIMEOUT, self.check(state)).await.unwrap_or(false)
    }

    /// Returns the hash that identifies the end of this instance. An instance may start again under its name.
    fn crash_hash(&self, state: &RelayState) -> CrashHash {
        let mut hasher = Xxh3::new();
        hasher.update(&state.started_millis(&self.instance).unwrap_or(0).to_le_bytes());
        hasher.update(self.instance.as_bytes());
        hasher.digest()
    }

    async fn check(&self, state: &RelayState) -> bool {
        let mut connection = match state.pool.take_fresh(self.address, Duration::ZERO).await {
            Ok(connection) => connection,
            Err(error) => {
                return matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
            }
        };
        let request = Request::get(self.health_path.as_str())
            .header(header::HOST, self.address.to_string())
            .body(full_body(Bytes::new()));
        let (Some(sender), Ok(request)) = (connection.sender(), request) else { return false };
        let Ok(response) = sender.send_request(request).await else { return false };
        read_instance(response.headers()).is_some_and(|instance| *instance != *self.instance)
    }
}
