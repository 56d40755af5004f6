//! Tests of requests whose API key may have been revoked, at entry VMs that are cut off, that start, and that follow others.

mod common;

use common::{
    Caller, ScriptedAction, ScriptedTarget, config, header, read_message, registration, sealed_response,
    status,
};
use serde_json::{Value, json};
use sniperelay_hosted::registration::{EntryVmRecord, encode_entry_vm};
use sniperelay_node::boot_clock;
use sniperelay_platform::api::ObjectList;
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::{StoreReplica, StoreSource};
use sniperelay_relay::shared_state::RelayState;
use sniperelay_standin::platform::{PlatformStandin, SilentCalls};
use sniperelay_standin::soak::proxy::{ProxyMode, SoakProxy};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Bounds of the platform. Revoked keys are not accepted after [`REVOKE`].
const BOUNDS: &str = r#"{"Grace":"1s","StrictRevoke":true,"Revoke":"2s","ConfigApply":"1s"}"#;
const REVOKE: Duration = Duration::from_secs(2);
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// Returns a configuration with a public route, and an account that holds these keys.
fn keyed_config(version: &str, keys: &[&str]) -> Value {
    let mut keyed = config(version);
    keyed["Tenants"] = json!({"post": {"ApiKeys": keys}});
    // Long enough for requests to wait until a proof is too old.
    keyed["Routes"]["read"]["Timeout"] = "20s".into();
    keyed["Routes"]["read"]["TargetLatency"] = "10s".into();
    keyed["Routes"]["open"] = keyed["Routes"]["read"].clone();
    keyed["Routes"]["open"]["PathPrefix"] = "/open/".into();
    keyed["Routes"]["open"]["Public"] = true.into();
    keyed
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, poll).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

/// A store with the configuration and one target.
struct Site {
    store: Arc<PlatformStandin>,
    target: Arc<ScriptedTarget>,
}

impl Site {
    async fn start(script: Vec<ScriptedAction>) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let target = ScriptedTarget::start(script).await;
        store.put("servers/i0", registration(target.address, "ready").to_string());
        store.put("config/main", keyed_config("00000001", &["old", "kept"]).to_string());
        Self { store, target }
    }

    async fn start_responding() -> Self {
        Self::start(vec![ScriptedAction::Respond(sealed_response("ok"))]).await
    }

    /// Puts a proxy in front of the store.
    async fn open_link(&self) -> Arc<SoakProxy> {
        SoakProxy::start(self.store.address()).await.unwrap()
    }

    /// Starts an entry VM that reaches the store through a link of its own, and waits until it accepts keys.
    async fn start_vm(&self, name: &str) -> Vm {
        let link = self.open_link().await;
        let relay = common::start_bounded_relay(name, link.address(), "", BOUNDS, "");
        let vm = Vm { relay, link };
        wait_until("the entry VM is ready", || vm.state().is_ready()).await;
        vm.wait_until_accepted("kept").await;
        vm
    }

    fn runs_of(&self, path: &str) -> usize {
        self.target.received().iter().filter(|request| request.contains(path)).count()
    }
}

struct Vm {
    relay: RunningRelay,
    link: Arc<SoakProxy>,
}

impl Vm {
    fn state(&self) -> &Arc<RelayState> {
        self.relay.state()
    }

    async fn send(&self, path: &str, key: &str) -> String {
        let mut caller = Caller::open(self.state().own_record().caller_address).await;
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 20000\r\nX-Credential: {key}\r\n\r\n"
        );
        caller.send(&text).await;
        caller.receive().await.expect("the connection was closed without a response")
    }

    async fn status_of(&self, path: &str, key: &str) -> u16 {
        status(&self.send(path, key).await)
    }

    async fn wait_until_accepted(&self, key: &str) {
        self.wait_for_status(key, 200).await;
    }

    async fn wait_for_status(&self, key: &str, expected: u16) {
        let poll = async {
            while self.status_of("/read/wait", key).await != expected {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, poll).await.unwrap_or_else(|_| panic!("no status {expected}"));
    }

    /// Sends requests with a key for some time. Returns the statuses, each with the time at which the request was sent.
    async fn send_for(&self, time: Duration, path: &str, key: &str) -> Vec<(Instant, u16)> {
        let begun = Instant::now();
        let mut statuses = Vec::new();
        while begun.elapsed() < time {
            statuses.push((Instant::now(), self.status_of(path, key).await));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        statuses
    }

    async fn wait_for_proof_age(&self, age: Duration) {
        let is_old = || self.state().config_proof.age(boot_clock::now()).is_some_and(|other| other >= age);
        wait_until("the age of the proof", is_old).await;
    }

    fn is_following(&self) -> bool {
        matches!(self.state().replica.source(), StoreSource::Reader(_))
    }
}

fn assert_outdated(response: &str) {
    assert_eq!(status(response), 503, "{response}");
    assert_eq!(header(response, "sniperelay-reason").as_deref(), Some("configuration-outdated"));
    assert_eq!(header(response, "sniperelay-outcome").as_deref(), Some("not-run"));
    assert!(header(response, "retry-after").is_some(), "{response}");
}

/// Guards against an entry VM that is cut off from the store and runs requests whose key was removed.
#[tokio::test]
async fn vm_cut_off_from_the_store_runs_no_request_whose_key_may_have_been_removed() {
    let site = Site::start_responding().await;
    let vm = site.start_vm("vm").await;
    vm.link.set_mode(ProxyMode::Stall);
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    let removed_at = Instant::now();
    let statuses = vm.send_for(REVOKE + Duration::from_secs(1), "/read/removed", "old").await;
    let late = statuses.iter().filter(|(sent_at, _)| *sent_at > removed_at + REVOKE);
    assert!(late.clone().count() > 5 && late.clone().all(|(_, status)| *status == 503), "{statuses:?}");
    assert_eq!(statuses[0].1, 200, "the entry VM may use the key at first");
    assert_outdated(&vm.send("/read/1", "kept").await);
    // It was added since, perhaps.
    assert_outdated(&vm.send("/read/1", "unknown").await);
    assert_eq!(vm.status_of("/open/1", "old").await, 200, "public routes need no proof");
    let runs = site.runs_of("/read/removed");
    assert_eq!(runs, statuses.iter().filter(|(_, status)| *status == 200).count());
    vm.link.set_mode(ProxyMode::PassThrough);
    vm.wait_until_accepted("kept").await;
    assert_eq!(vm.status_of("/read/1", "old").await, 401);
    let counters = vm.state().metrics.rank("-", "-");
    let index = sniperelay_core::reason::RefusalReason::ConfigurationOutdated.index();
    assert!(counters.refusals[index].load(Ordering::Relaxed) >= 2);
}

/// Guards against an entry VM in touch that refuses requests, because nothing renews its proof between two changes.
#[tokio::test]
async fn vm_in_touch_accepts_keys_at_all_times_and_denies_unknown_ones_at_once() {
    let site = Site::start_responding().await;
    let vm = site.start_vm("vm").await;
    let statuses = vm.send_for(2 * REVOKE, "/read/1", "kept").await;
    assert!(statuses.iter().all(|(_, status)| *status == 200), "{statuses:?}");
    assert_eq!(vm.status_of("/read/1", "unknown").await, 401);
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    vm.wait_for_status("old", 401).await;
}

/// Guards against an unknown key that a VM denies although it may have been added since its last proof.
#[tokio::test]
async fn key_added_since_the_last_proof_is_not_denied() {
    let site = Site::start_responding().await;
    let vm = site.start_vm("vm").await;
    vm.link.set_mode(ProxyMode::Stall);
    site.store.put("config/main", keyed_config("00000002", &["kept", "new"]).to_string());
    let added_at = Instant::now();
    let statuses = vm.send_for(REVOKE, "/read/1", "new").await;
    // The bound for new configurations.
    let late = statuses.iter().filter(|(sent_at, _)| *sent_at > added_at + Duration::from_secs(1));
    assert!(late.clone().count() > 5 && late.clone().all(|(_, status)| *status == 503), "{statuses:?}");
}

/// Guards against a copy of a peer that counts as current.
#[tokio::test]
async fn vm_that_starts_from_a_copy_of_a_peer_accepts_no_key_before_it_has_a_proof() {
    let site = Site::start_responding().await;
    let peer = site.start_vm("vm0").await;
    peer.link.set_mode(ProxyMode::Stall);
    let link = site.open_link().await;
    link.set_mode(ProxyMode::Stall);
    let seed = peer.state().settings.entry.control_address.to_string();
    let relay = common::start_bounded_relay("vm1", link.address(), &seed, BOUNDS, "");
    let late = Vm { relay, link };
    wait_until("the copy of the seed is loaded", || late.state().is_ready()).await;
    assert_eq!(late.status_of("/open/1", "").await, 200);
    assert_outdated(&late.send("/read/late", "kept").await);
    assert_outdated(&late.send("/read/late", "unknown").await);
    assert_eq!(site.runs_of("/read/late"), 0);
    late.link.set_mode(ProxyMode::PassThrough);
    late.wait_until_accepted("kept").await;
}

/// Guards against stale responses of the store, and such for other prefixes, that renew the proof.
#[tokio::test]
async fn stale_responses_of_the_store_prove_nothing() {
    let site = Site::start_responding().await;
    let vm = site.start_vm("vm").await;
    // All other calls are answered: lists that may be stale, and watches of other prefixes.
    site.store.control.set_silent_calls(Some(SilentCalls::Watches("config")));
    site.store.freeze_stale_lists();
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    tokio::time::sleep(REVOKE + Duration::from_millis(100)).await;
    assert!(vm.state().replica.contact_age().unwrap() < REVOKE / 2, "the store does not respond");
    assert_outdated(&vm.send("/read/removed", "old").await);
    assert_eq!(site.runs_of("/read/removed"), 0);
}

/// Guards against a configuration that has arrived, cannot be decoded, and counts as proven.
#[tokio::test]
async fn configuration_that_cannot_be_decoded_is_not_proven() {
    let site = Site::start_responding().await;
    let vm = site.start_vm("vm").await;
    site.store.put("config/main", "{\"damaged\":true}");
    tokio::time::sleep(REVOKE + Duration::from_millis(500)).await;
    assert_outdated(&vm.send("/read/1", "kept").await);
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    vm.wait_until_accepted("kept").await;
}

/// Guards against a request that waits for a target while its key is removed, and runs when a slot is free.
#[tokio::test]
async fn request_that_waits_is_not_handed_to_a_target_without_a_proof() {
    let mut script = vec![ScriptedAction::Respond(sealed_response("ok")); 1];
    script.extend(vec![ScriptedAction::Hold; 4]);
    script.push(ScriptedAction::Respond(sealed_response("ok")));
    let site = Site::start(script).await;
    let vm = Arc::new(site.start_vm("vm").await);
    let spawn = |path: &'static str, key: &'static str| {
        let vm = vm.clone();
        tokio::spawn(async move { vm.send(path, key).await })
    };
    vm.link.set_mode(ProxyMode::Stall);
    vm.wait_for_proof_age(REVOKE - Duration::from_millis(800)).await;
    let held: Vec<_> = (0..4).map(|_| spawn("/open/held", "")).collect();
    wait_until("the target is full", || site.runs_of("/open/held") == 4).await;
    vm.wait_for_proof_age(REVOKE - Duration::from_millis(400)).await;
    let waiting = spawn("/read/waiting", "old");
    wait_until("the request waits", || {
        let services = vm.state().services.load();
        services["s"].dispatcher_handle.read(|dispatcher| dispatcher.stats(0, Instant::now())).queued_total
            == 1
    })
    .await;
    vm.wait_for_proof_age(REVOKE).await;
    site.target.release(4);
    assert_outdated(&waiting.await.unwrap());
    for task in held {
        assert_eq!(status(&task.await.unwrap()), 200);
    }
    assert_eq!(site.runs_of("/read/waiting"), 0);
}

/// Starts entry VMs that know each other, and returns them with the index of one that follows a reader.
async fn start_fleet(site: &Site, count: usize) -> (Vec<Vm>, usize) {
    let mut vms = Vec::new();
    for index in 0..count {
        vms.push(site.start_vm(&format!("vm{index}")).await);
    }
    wait_until("an entry VM follows a reader", || {
        vms.iter().filter(|vm| vm.is_following()).count() == count - 3
    })
    .await;
    let follower = vms.iter().position(Vm::is_following).unwrap();
    (vms, follower)
}

/// Guards against followers that have no proof, and against those that each ask the store.
#[tokio::test]
async fn follower_accepts_and_revokes_keys_by_the_proof_of_its_reader_without_the_store() {
    let site = Site::start_responding().await;
    let (vms, index) = start_fleet(&site, 4).await;
    let follower = &vms[index];
    follower.link.set_mode(ProxyMode::Stall);
    let statuses = follower.send_for(2 * REVOKE, "/read/1", "old").await;
    assert!(statuses.iter().all(|(_, status)| *status == 200), "{statuses:?}");
    assert!(follower.is_following());
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    follower.wait_for_status("old", 401).await;
    assert_eq!(follower.status_of("/read/1", "kept").await, 200);
}

/// Guards against proofs that end with the readers' links to the store.
#[tokio::test]
async fn follower_asks_the_store_itself_when_all_readers_are_cut_off() {
    let site = Site::start_responding().await;
    let (vms, index) = start_fleet(&site, 4).await;
    for (reader, vm) in vms.iter().enumerate() {
        if reader != index {
            vm.link.set_mode(ProxyMode::Stall);
        }
    }
    let statuses = vms[index].send_for(3 * REVOKE, "/read/1", "kept").await;
    let refused = statuses.iter().filter(|(_, status)| *status != 200).count();
    assert_eq!(refused, 0, "{statuses:?}");
}

/// Guards against readers that take the store for away for ever after an outage, and do not renew their proofs.
#[tokio::test]
async fn all_entry_vms_accept_keys_again_after_an_outage_of_the_store() {
    let site = Site::start_responding().await;
    let (vms, _) = start_fleet(&site, 4).await;
    site.store.control.is_down.store(true, Ordering::Relaxed);
    wait_until("the outage is known", || vms.iter().all(|vm| vm.state().replica.is_store_unavailable()))
        .await;
    for vm in &vms {
        vm.wait_for_status("kept", 503).await;
    }
    site.store.control.is_down.store(false, Ordering::Relaxed);
    for vm in &vms {
        vm.wait_until_accepted("kept").await;
    }
    // The proofs are renewed from then on.
    tokio::time::sleep(REVOKE).await;
    for vm in &vms {
        assert_eq!(vm.status_of("/read/1", "kept").await, 200);
    }
}

/// A reader of an earlier build (before this one): it serves followers and states no proof.
async fn start_earlier_reader() -> EntryVmRecord {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let replica = Arc::new(StoreReplica::default());
    for prefix in
        ["config/", "servers/", "sniperelay-entry-vms/", "sniperelay-crash-reports/", "sniperelay-isolated/"]
    {
        replica.apply_snapshot(prefix, &ObjectList { revision: 1, items: Vec::new() });
    }
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_earlier_reader(stream, replica.clone()));
        }
    });
    make_record(address)
}

fn make_record(address: SocketAddr) -> EntryVmRecord {
    EntryVmRecord {
        name: format!("earlier{}", address.port()),
        domain: "z".to_owned(),
        caller_address: address,
        ready_address: address,
        peer_address: address,
        incarnation: u64::from(address.port()),
        capacity: 1_000_000,
    }
}

async fn serve_earlier_reader(mut stream: TcpStream, replica: Arc<StoreReplica>) {
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer).await {
        let path = request.split(' ').nth(1).unwrap().to_owned();
        let body = if let Some((prefix, query)) =
            path.strip_prefix("/watch/").and_then(|rest| rest.split_once('?'))
        {
            let since =
                query.split('&').find_map(|pair| pair.strip_prefix("since=")).unwrap().parse().unwrap();
            let changes = replica.wait_for_changes(prefix, since, Duration::from_secs(1)).await.unwrap();
            serde_json::to_string(&changes).unwrap()
        } else if path.contains("sniperelay-pulse/") {
            tokio::time::sleep(Duration::from_millis(300)).await;
            serde_json::to_string(&replica.latest_changes(0)).unwrap()
        } else {
            let prefix = path.strip_prefix("/list/").unwrap_or("");
            replica.snapshot(prefix).map_or(String::new(), |list| serde_json::to_string(&list).unwrap())
        };
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against followers of a reader of an earlier build that refuse all requests with keys during an upgrade.
#[tokio::test]
async fn follower_of_a_reader_that_states_no_proof_asks_the_store_itself() {
    let site = Site::start_responding().await;
    for _ in 0..3 {
        let record = start_earlier_reader().await;
        site.store.put(&format!("sniperelay-entry-vms/{}", record.name), encode_entry_vm(&record));
    }
    let vm = site.start_vm("vm").await;
    wait_until("the entry VM follows a reader", || vm.is_following()).await;
    let statuses = vm.send_for(3 * REVOKE, "/read/1", "kept").await;
    assert!(statuses.iter().all(|(_, status)| *status == 200), "{statuses:?}");
    assert!(vm.is_following());
    // The reader does not have the change.
    site.store.put("config/main", keyed_config("00000002", &["kept"]).to_string());
    vm.wait_for_status("old", 401).await;
}
