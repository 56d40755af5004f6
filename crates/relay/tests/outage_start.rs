//! Tests of processes that start, and of processes that stop, while the store is away.

mod common;

use common::{Caller, config, registration, request, status};
use sniperelay_config::parse_relay_settings;
use sniperelay_hosted::registration::encode_entry_vm;
use sniperelay_relay::RunningRelay;
use sniperelay_relay::copy_offers::{CopyOffer, decode_offer};
use sniperelay_standin::platform::PlatformStandin;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);
/// Time in which a process that starts must have the copies of another entry VM: less than the timeout of a call to the
/// store (3 s), after which it would have asked its seeds in any case.
const START_BOUND: Duration = Duration::from_millis(1500);

async fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(limit, poll).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

async fn start_silent_store() -> Arc<PlatformStandin> {
    let store = PlatformStandin::start().await.unwrap();
    store.control.is_silent.store(true, Ordering::Relaxed);
    store
}

/// Starts an entry VM that has read version 1 and a target, and its store.
async fn start_informed() -> (Arc<PlatformStandin>, RunningRelay) {
    start_informed_with_grace("1s").await
}

async fn start_informed_with_grace(grace: &str) -> (Arc<PlatformStandin>, RunningRelay) {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.put("servers/i0", registration("127.0.0.1:9".parse().unwrap(), "ready").to_string());
    let any = "127.0.0.1:0";
    let text = format!(
        "[entry-vm]\nname = informed\nfailure-domain = z\ncaller-address = {any}\nready-address = {any}\n\
         lookup-address = {any}\npeer-address = {any}\ncontrol-address = {any}\nseeds =\nmetrics-address = {any}\n[platform]\n\
         address = {}\ncalls-per-second = 1000\nbounds = {{\"Grace\":\"{grace}\"}}\n",
        store.address()
    );
    let relay = RunningRelay::start(parse_relay_settings("test.ini", &text).unwrap()).unwrap();
    wait_until("the entry VM is ready", HANG_LIMIT, || {
        relay.state().is_ready() && relay.state().is_membership_settled.load(Ordering::Relaxed)
    })
    .await;
    (store, relay)
}

/// Registers an entry VM in the store of another one, as it was registered before it was restarted.
async fn introduce(store: &PlatformStandin, to: &RunningRelay, relay: &RunningRelay) {
    let own = relay.state().own_record();
    store.put(&format!("sniperelay-entry-vms/{}", own.name), encode_entry_vm(&own));
    wait_until("the entry VM is known", HANG_LIMIT, || to.state().entry_vms.load().contains_key(&own.name))
        .await;
}

fn version(relay: &RunningRelay) -> u64 {
    relay.state().routes.load().as_ref().map_or(0, |routes| routes.config.version)
}

/// Returns an address at which calls are accepted and not answered.
async fn start_silent_seed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok(accepted) = listener.accept().await {
            open.push(accepted);
        }
    });
    address
}

/// Guards against a process that refuses everything until its call to a silent store has timed out, although a seed
/// has what it needs.
#[tokio::test]
async fn process_that_starts_in_an_outage_asks_its_seeds_at_once() {
    let (_store, informed) = start_informed().await;
    let control = informed.state().settings.entry.control_address;
    let seeds = format!("{},{control}", start_silent_seed().await);
    let silent = start_silent_store().await;
    let late = common::start_seeded_relay("late", silent.address(), &seeds);
    wait_until("the copies of the seed", START_BOUND, || late.state().is_ready()).await;
    assert_eq!(version(&late), 1);
}

/// Guards against a process that takes an old copy although another seed has a newer one.
#[tokio::test]
async fn process_that_starts_in_an_outage_takes_the_newest_copy_of_its_seeds() {
    let (_old_store, old) = start_informed().await;
    let (new_store, new) = start_informed().await;
    for number in 2..6 {
        new_store.put("config/main", config(&format!("{number:08x}")).to_string());
    }
    wait_until("version 5", HANG_LIMIT, || version(&new) == 5).await;
    let address = |relay: &RunningRelay| relay.state().settings.entry.control_address;
    let silent = start_silent_store().await;
    let late =
        common::start_seeded_relay("late", silent.address(), &format!("{},{}", address(&old), address(&new)));
    wait_until("the copies of a seed", HANG_LIMIT, || late.state().is_ready()).await;
    assert_eq!(version(&late), 5);
}

/// Guards against an outage of the whole service: processes whose seeds have just started as well learn nothing, although
/// another entry VM knows everything. It offers its copies; a newer one replaces an older one.
#[tokio::test]
async fn process_whose_seeds_know_nothing_is_offered_the_copies_of_another_entry_vm() {
    let (store, informed) = start_informed().await;
    let silent = start_silent_store().await;
    let seed = common::start_seeded_relay("seed", silent.address(), "");
    let seed_address = seed.state().settings.entry.control_address.to_string();
    let late = common::start_seeded_relay("late", silent.address(), &seed_address);
    introduce(&store, &informed, &seed).await;
    introduce(&store, &informed, &late).await;
    wait_until("the offered copies", HANG_LIMIT, || seed.state().is_ready() && late.state().is_ready()).await;
    assert_eq!((version(&seed), version(&late)), (1, 1));
    assert!(!late.state().replica.can_serve_followers(), "unconfirmed copies are served to followers");
    // The store stays away for the two only. What they have been offered is replaced by newer copies.
    store.put("config/main", config("00000002").to_string());
    wait_until("version 2", HANG_LIMIT, || version(&informed) == 2).await;
    store.control.is_silent.store(true, Ordering::Relaxed);
    wait_until("the newer copy", HANG_LIMIT, || version(&seed) == 2 && version(&late) == 2).await;
    let mut caller = Caller::open(late.state().own_record().caller_address).await;
    caller.send(&request("GET", "/other/1", "r1", "")).await;
    assert_eq!(status(&caller.receive().await.unwrap()), 404, "the offered routes are not in force");
}

/// Guards against knowledge that is lost with the last entry VM that has it: a planned stop with the store away waits, for
/// as long as it may, until another one has the copies.
#[tokio::test]
async fn last_entry_vm_with_copies_hands_them_on_before_it_ends() {
    let (store, informed) = start_informed_with_grace("4s").await;
    let silent = start_silent_store().await;
    let late = common::start_seeded_relay("late", silent.address(), "");
    // Until then, the other one is known at an address where nobody listens yet.
    let mut record = late.state().own_record();
    let real = record.peer_address;
    record.peer_address = start_silent_seed().await;
    record.ready_address = record.peer_address;
    store.put("sniperelay-entry-vms/late", encode_entry_vm(&record));
    wait_until("late is known", HANG_LIMIT, || informed.state().entry_vms.load().contains_key("late")).await;
    let state = informed.state().clone();
    let stop = tokio::spawn(informed.shutdown());
    tokio::time::sleep(Duration::from_millis(500)).await;
    store.control.is_silent.store(true, Ordering::Relaxed);
    // Without callers, a stop ends after three quarters of its time, here 3 s. By then, the store is away.
    tokio::time::sleep(Duration::from_millis(2700)).await;
    assert!(!stop.is_finished(), "the last entry VM with copies has ended");
    let mut vms = (**state.entry_vms.load()).clone();
    vms.get_mut("late").unwrap().peer_address = real;
    state.set_entry_vms(vms);
    wait_until("the copies are handed on", HANG_LIMIT, || late.state().is_ready()).await;
    stop.await.unwrap();
    assert_eq!(version(&late), 1);
}

#[test]
fn offers_are_decoded_as_far_as_they_can_be_read() {
    let offer = decode_offer("from=10.0.0.1:7&config/=5&servers/=x&=1&extra").unwrap();
    let revisions = BTreeMap::from([("config/".to_owned(), 5), (String::new(), 1)]);
    assert_eq!(offer, CopyOffer { address: "10.0.0.1:7".parse().unwrap(), revisions });
    assert_eq!(decode_offer("config/=5"), None);
    assert_eq!(decode_offer("from=nowhere"), None);
}
