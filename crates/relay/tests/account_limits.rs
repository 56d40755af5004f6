//! Tests of request limits of client accounts, with several entry VMs over real sockets.

mod common;

use common::limited_target::LimitedTarget;
use common::partition::PartitionedFleet;
use common::{
    Caller, ScriptedAction, config, header, read_message, registration, sealed_response, start_bounded_relay,
    status,
};
use serde_json::json;
use sniperelay_core::account::account_id;
use sniperelay_core::home::AccountOwners;
use sniperelay_hosted::registration::encode_entry_vm;
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use sniperelay_standin::soak::proxy::ProxyMode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const BOUNDS: &str = r#"{"Grace":"1s","QuotaWindow":"5s","QuotaOverrun":0.1,"QuotaSlack":20}"#;
const WINDOW: Duration = Duration::from_secs(5);

/// Returns how many requests of an account with this limit may run in a window.
fn allowed(rate: f64, burst: f64) -> usize {
    ((rate * 5.0 + burst) * 1.1 + 20.0) as usize
}

/// What an entry VM's address for other entry VMs does with a message.
#[derive(Debug, Clone, Copy)]
enum PeerBehaviour {
    Respond(&'static str),
    Silence,
}

async fn start_peer(behaviour: PeerBehaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while read_message(&mut stream, &mut buffer).await.is_some() {
                    if let PeerBehaviour::Respond(text) = behaviour {
                        stream.write_all(text.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    address
}

/// Two entry VMs, and a target that runs the requests of the account "post".
struct AccountFleet {
    store: Arc<PlatformStandin>,
    relays: Vec<RunningRelay>,
    target: Arc<LimitedTarget>,
}

impl AccountFleet {
    async fn start(rate: f64, burst: f64) -> Self {
        let fleet = Self::start_without_targets(rate, burst).await;
        let target = registration(fleet.target.address, "ready");
        fleet.store.put("servers/i0", target.to_string());
        fleet
            .wait_until(|relay| {
                relay.state().update_metrics();
                relay.state().metrics.local_view().targets.load(Ordering::Relaxed) == 1
            })
            .await;
        fleet
    }

    async fn start_without_targets(rate: f64, burst: f64) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let target = LimitedTarget::start("i0", "").await;
        let mut keyed = config("00000001");
        keyed["Tenants"] = json!({
            "post": {"ApiKeys": ["post-key"], "RatePerS": rate, "Burst": burst},
            "bank": {"ApiKeys": ["bank-key"]},
        });
        store.put("config/main", keyed.to_string());
        let start = |name| start_bounded_relay(name, store.address(), "", BOUNDS, "");
        let relays = ["vm0", "vm1"].map(start).into();
        let fleet = Self { store, relays, target };
        fleet.wait_until(|relay| relay.state().is_ready()).await;
        fleet
            .wait_until(|relay| {
                let is_settled = relay.state().is_membership_settled.load(Ordering::Relaxed);
                is_settled && relay.state().account_quotas.fleet().candidates.len() == 2
            })
            .await;
        fleet
    }

    async fn wait_until(&self, condition: impl Fn(&RunningRelay) -> bool) {
        while !self.relays.iter().all(&condition) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn owners(&self) -> AccountOwners {
        self.relays[0].state().account_quotas.fleet().owners_of(account_id("post")).unwrap()
    }

    /// Registers an entry VM with this behaviour that owns the account.
    async fn add_owner(&self, behaviour: PeerBehaviour) {
        let mut record = self.relays[0].state().own_record();
        record.ready_address = start_peer(PeerBehaviour::Respond(NOT_READY)).await;
        record.peer_address = start_peer(behaviour).await;
        for number in 0.. {
            record.name = format!("other{number}");
            let key = format!("sniperelay-entry-vms/{}", record.name);
            self.store.put(&key, encode_entry_vm(&record));
            let home = record.home_candidate().incarnation;
            self.wait_until(|relay| relay.state().account_quotas.fleet().find(home).is_some()).await;
            if self.owners().owner == home {
                return;
            }
            self.store.delete(&key);
            self.wait_until(|relay| relay.state().account_quotas.fleet().find(home).is_none()).await;
        }
    }

    /// Sends requests to one entry VM at a steady rate, each on a connection of its own. Returns the responses, and how long
    /// each took.
    async fn send_steadily(
        &self,
        vm: usize,
        key: &'static str,
        per_second: u32,
        time: Duration,
    ) -> Vec<(String, Duration)> {
        let address = self.relays[vm].state().own_record().caller_address;
        let pause = Duration::from_secs(1) / per_second;
        let mut tasks = Vec::new();
        for index in 0..time.as_millis() / pause.as_millis() {
            tasks.push(tokio::spawn(async move {
                let mut caller = Caller::open(address).await;
                let sent_at = Instant::now();
                caller.send(&keyed_request(key, &format!("{vm}-{key}-{index}"))).await;
                (caller.receive().await.unwrap(), sent_at.elapsed())
            }));
            tokio::time::sleep(pause).await;
        }
        let mut responses = Vec::new();
        for task in tasks {
            responses.push(task.await.unwrap());
        }
        responses
    }
}

/// Response to a readiness check, and of a build that does not know the claims.
const NOT_READY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\n\r\nnot a reader";

fn keyed_request(key: &str, id: &str) -> String {
    format!(
        "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         X-Credential: {key}\r\n\r\n"
    )
}

fn statuses(responses: &[(String, Duration)]) -> Vec<u16> {
    responses.iter().map(|(response, _)| status(response)).collect()
}

/// Guards against a limit that each entry VM keeps by itself, or that only the owner's callers use, and against refusals
/// without a time to come back.
#[tokio::test]
async fn limit_of_an_account_holds_for_all_entry_vms_together_and_is_used_up() {
    let fleet = AccountFleet::start(10.0, 5.0).await;
    let time = Duration::from_secs(9);
    let begun = Instant::now();
    let (first, second) = tokio::join!(
        fleet.send_steadily(0, "post-key", 40, time),
        fleet.send_steadily(1, "post-key", 20, time)
    );
    let peak = fleet.target.peak_after(begun, WINDOW);
    assert!(peak <= allowed(10.0, 5.0), "{peak} requests in 5 s, {} allowed", allowed(10.0, 5.0));
    let since = begun + Duration::from_secs(3);
    let used = fleet.target.requests_between(since, since + WINDOW);
    assert!(used >= 45, "{used} of 50 requests in 5 s");
    for (vm, responses) in [first, second].iter().enumerate() {
        let served = statuses(responses).iter().filter(|status| **status == 200).count();
        assert!(served >= 5, "entry VM {vm} has served {served} requests");
        for (response, _) in responses.iter().filter(|(response, _)| status(response) != 200) {
            assert_eq!(status(response), 429, "{response}");
            assert_eq!(header(response, "sniperelay-reason").as_deref(), Some("account-limit"));
            let retry_after: f64 = header(response, "retry-after").unwrap().parse().unwrap();
            assert!((0.05..=5.5).contains(&retry_after), "{response}");
        }
    }
    let other = fleet.send_steadily(1, "bank-key", 20, Duration::from_secs(1)).await;
    assert!(statuses(&other).iter().all(|status| *status == 200), "an account without a limit is refused");
}

/// Guards against a limit that is used up by requests that did not run.
#[tokio::test]
async fn requests_refused_with_503_do_not_use_up_the_limit() {
    let fleet = AccountFleet::start_without_targets(1.0, 2.0).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for vm in 0..2 {
        let refused = fleet.send_steadily(vm, "post-key", 20, Duration::from_secs(1)).await;
        let statuses = statuses(&refused);
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    }
}

/// Guards against accounts that get nothing, more than the tolerance, or late refusals while the owner does not respond.
#[tokio::test]
async fn account_of_a_silent_owner_is_served_by_its_stand_in() {
    let fleet = AccountFleet::start(3.0, 2.0).await;
    fleet.add_owner(PeerBehaviour::Silence).await;
    let begun = Instant::now();
    let responses = fleet.send_steadily(0, "post-key", 20, Duration::from_secs(4)).await;
    let served = fleet.target.requests_between(begun, Instant::now());
    assert!((2..=20).contains(&served), "{served} requests without the owner");
    for (response, took) in &responses {
        assert!([200, 429].contains(&status(response)), "{response}");
        assert!(*took < Duration::from_secs(1), "a response took {took:?}");
    }
}

/// Guards against an account that gets nothing, because the owner of its limit is an entry VM of a build that does not know
/// the claims.
#[tokio::test]
async fn limit_whose_owner_is_an_earlier_build_is_used_through_another_owner() {
    for response in [NOT_READY, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"] {
        let fleet = AccountFleet::start(20.0, 5.0).await;
        fleet.add_owner(PeerBehaviour::Respond(response)).await;
        let begun = Instant::now();
        let time = Duration::from_secs(6);
        tokio::join!(
            fleet.send_steadily(0, "post-key", 40, time),
            fleet.send_steadily(1, "post-key", 20, time)
        );
        let peak = fleet.target.peak_after(begun, WINDOW);
        assert!(peak <= allowed(20.0, 5.0), "{peak} requests in 5 s, {} allowed", allowed(20.0, 5.0));
        let used = fleet.target.requests_between(begun + Duration::from_secs(2), begun + time);
        assert!(used >= 70, "{used} of 80 requests in 4 s");
    }
}

/// Guards against requests that are counted twice because another entry VM handles them.
#[tokio::test]
async fn forwarded_request_uses_one_token() {
    let script = vec![ScriptedAction::Respond(sealed_response("ok"))];
    let fleet = PartitionedFleet::start(2, 2, &script).await;
    fleet.set_links(0, ProxyMode::Stall);
    while !fleet.vms[0].relay.state().links.is_isolated() {
        fleet.send_steadily(0, 40, Duration::from_millis(200)).await;
    }
    let mut keyed = config("00000002");
    keyed["Tenants"] = json!({"post": {"ApiKeys": ["post-key"], "RatePerS": 4, "Burst": 12}});
    for vm in 0..2 {
        fleet.put_config(vm, &keyed).await;
    }
    // Until the bucket is full.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let address = fleet.vms[0].relay.state().own_record().caller_address;
    let mut statuses = Vec::new();
    for index in 0..10 {
        let mut caller = Caller::open(address).await;
        caller.send(&keyed_request("post-key", &format!("forwarded-{index}"))).await;
        statuses.push(status(&caller.receive().await.unwrap()));
    }
    assert_eq!(statuses, [200; 10]);
}

/// Requests that two entry VMs may admit without a lot of an account with 50 requests a second and a burst of 50: three each.
const MAX_FLOAT: usize = 6;

/// All processes of a fleet end and start again. Guards against requests that are refused as beyond their limits until the
/// entry VMs have had time to register, although the registrations of the earlier processes are there.
#[tokio::test]
async fn entry_vm_that_restarts_grants_lots_at_once() {
    let fleet = AccountFleet::start(50.0, 50.0).await;
    for relay in fleet.relays {
        relay.shutdown().await;
    }
    // A planned stop removes the registrations; a killed process leaves its own behind.
    for (name, address) in [("vm0", "127.0.0.1:9"), ("vm1", "127.0.0.1:10")] {
        let record = sniperelay_hosted::registration::EntryVmRecord {
            name: name.to_owned(),
            domain: "z".to_owned(),
            caller_address: address.parse().unwrap(),
            ready_address: address.parse().unwrap(),
            peer_address: address.parse().unwrap(),
            incarnation: 1,
            capacity: 100,
        };
        fleet.store.put(&format!("sniperelay-entry-vms/{name}"), encode_entry_vm(&record));
    }
    let start = |name| start_bounded_relay(name, fleet.store.address(), "", BOUNDS, "");
    let relays = ["vm0", "vm1"].map(start);
    let count_served = async {
        let mut served = 0;
        loop {
            for relay in &relays {
                let state = relay.state();
                if state.is_membership_settled.load(Ordering::Relaxed) {
                    return served;
                }
                let mut caller = Caller::open(state.own_record().caller_address).await;
                caller.send(&keyed_request("post-key", "1")).await;
                let response = caller.receive().await.expect("no response");
                served += usize::from(status(&response) == 200);
            }
        }
    };
    let served =
        tokio::time::timeout(WINDOW, count_served).await.expect("the list of entry VMs never settles");
    assert!(
        served > MAX_FLOAT,
        "{served} requests were served before the list of entry VMs counted as settled"
    );
}
