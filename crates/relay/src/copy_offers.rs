//! Offers of copies of the store's contents to entry VMs that have none, or old ones, while the store is away.
//!
//! A process that starts has only the addresses of its seeds, which may have started at the same time. Entry VMs that
//! have copies have the registrations of all others as well. Each of them offers its copies to the neighbours that are
//! not ready, and, while the store is away, to a few others at random, so that the copies of one entry VM reach the
//! whole fleet in a number of rounds that grows with the logarithm of its size. An offer states revisions; a recipient
//! that lacks them fetches a snapshot.
//!
//! In a planned stop, an entry VM whose copies no other one has stated goes on offering until its time to stop is over.
//!
//! Invariants:
//!
//! - A copy is replaced only by one of a higher revision, and only while it has not been confirmed by the store or a
//!   reader in this process.
//! - Offers are sent to registered entry VMs only, and taken by the listener for entry VMs only.

use crate::http_api::{ApiResponse, text_response};
use crate::shared_state::RelayState;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rand::seq::IteratorRandom;
use sniperelay_hosted::registration::EntryVmRecord;
use sniperelay_node::lifecycle::LifecyclePhase;
use sniperelay_node::traffic::body::full_body;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Path of offers in the API for other entry VMs.
pub const OFFER_PATH: &str = "/offer";
/// Interval between two rounds of offers.
const OFFER_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the last response of the store, or of a reader, from which the store counts as away: several checks of
/// the store, which come every 0.3 s.
const AWAY_AFTER: Duration = Duration::from_secs(1);
/// Number of entry VMs at random that get an offer in each round while the store is away. With one every 0.5 s, an
/// offer of about 300 bytes takes 1.8 KB a second.
const RANDOM_OFFERS: usize = 3;
/// Timeout for the response to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of offers that are kept.
const MAX_OFFERS: usize = 4;

/// Revisions of copies by prefix.
pub type CopyRevisions = BTreeMap<String, u64>;

/// An offer of another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyOffer {
    /// Address of its listener for entry VMs.
    pub address: SocketAddr,
    /// Revisions of its copies.
    pub revisions: CopyRevisions,
}

/// Offers received, and whether another entry VM has stated copies with all changes of the own ones.
#[derive(Debug, Default)]
pub struct CopyOffers {
    received: watch::Sender<VecDeque<CopyOffer>>,
    is_held_elsewhere: AtomicBool,
}

impl CopyOffers {
    /// Returns a receiver of the latest offers, the latest one last.
    pub fn subscribe(&self) -> watch::Receiver<VecDeque<CopyOffer>> {
        self.received.subscribe()
    }

    fn record(&self, offer: CopyOffer) {
        self.received.send_modify(|offers| {
            offers.retain(|known| known.address != offer.address);
            offers.push_back(offer);
            while offers.len() > MAX_OFFERS {
                offers.pop_front();
            }
        });
    }
}

/// Returns whether neither the store nor a reader has responded to this entry VM for [`AWAY_AFTER`].
pub fn is_store_away(state: &RelayState) -> bool {
    state.replica.contact_age().is_none_or(|age| age > AWAY_AFTER)
}

/// Returns whether the store is away and this entry VM has copies that no other one has stated.
pub fn must_keep_offering(state: &RelayState) -> bool {
    state.has_copies() && is_store_away(state) && !state.offers.is_held_elsewhere.load(Ordering::Relaxed)
}

/// Offers the copies until the process ends.
pub async fn offer_copies(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(OFFER_INTERVAL).await;
        if state.has_copies() && is_store_away(&state) {
            let recipients = choose_recipients(&state);
            send_offers(&state, recipients).await;
        } else {
            state.offers.is_held_elsewhere.store(false, Ordering::Relaxed);
        }
    }
}

fn choose_recipients(state: &RelayState) -> Vec<EntryVmRecord> {
    let vms = state.entry_vms.load();
    let others = vms.values().filter(|record| record.name != state.settings.entry.name);
    others.cloned().choose_multiple(&mut rand::rng(), RANDOM_OFFERS)
}

/// Sends offers to entry VMs at the same time, and waits for their responses.
pub async fn send_offers(state: &Arc<RelayState>, recipients: Vec<EntryVmRecord>) {
    let mut offers = JoinSet::new();
    for recipient in recipients {
        let state = state.clone();
        offers.spawn(async move {
            let response =
                tokio::time::timeout(OFFER_TIMEOUT, send_offer(&state, recipient.peer_address)).await;
            let Ok(Some(revisions)) = response else { return };
            let own = state.replica.revisions();
            if own.iter().all(|(prefix, revision)| revisions.get(prefix).is_some_and(|held| held >= revision))
            {
                state.offers.is_held_elsewhere.store(true, Ordering::Relaxed);
            }
        });
    }
    while offers.join_next().await.is_some() {}
}

/// Sends an offer. Returns the revisions of the recipient's copies; `None` if it does not take offers.
async fn send_offer(state: &RelayState, address: SocketAddr) -> Option<CopyRevisions> {
    let mut connection = state.pool.take_fresh(address, Duration::ZERO).await.ok()?;
    connection.forbid_reuse();
    let path = format!("{OFFER_PATH}?{}", encode_offer(state));
    let request = Request::get(path).header("host", address.to_string()).body(full_body("")).ok()?;
    let response = connection.sender()?.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn encode_offer(state: &RelayState) -> String {
    let revisions = state.replica.revisions();
    let pairs = revisions.iter().map(|(prefix, revision)| format!("&{prefix}={revision}"));
    format!("from={}{}", state.settings.entry.peer_address, pairs.collect::<String>())
}

/// Decodes the query of an offer. Revisions that cannot be read are left out.
pub fn decode_offer(query: &str) -> Option<CopyOffer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let address = pairs.clone().find(|(name, _)| *name == "from")?.1.parse().ok()?;
    let revisions = pairs.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)));
    Some(CopyOffer { address, revisions: revisions.collect() })
}

/// Takes an offer, and responds with the revisions of the own copies. An entry VM that stops takes none.
pub fn handle_offer(state: &RelayState, query: &str) -> ApiResponse {
    let Some(offer) = decode_offer(query) else {
        return text_response(StatusCode::BAD_REQUEST, "the offer states no address");
    };
    if state.lifecycle.phase() != LifecyclePhase::Serving {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    state.offers.record(offer);
    match serde_json::to_string(&state.replica.revisions()) {
        Ok(text) => text_response(StatusCode::OK, &text),
        Err(error) => {
            log::error!("cannot encode the revisions of copies: {error}");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}
