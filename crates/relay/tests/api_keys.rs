//! Tests of client accounts: which requests their API keys admit, and what targets, logs and metrics get of them.

mod common;

use common::partition::PartitionedFleet;
use common::{Caller, ScriptedAction, TestEnv, config, header, read_message, sealed_response, status};
use serde_json::{Value, json};
use sniperelay_relay::shared_state::RelayState;
use sniperelay_standin::soak::proxy::ProxyMode;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A key of the account "post", and one of the account "bank".
const POST_KEY: &str = "post-key-1";
const BANK_KEY: &str = "bank-key-1";

/// Returns a configuration with two client accounts and a public route.
fn keyed_config(version: &str) -> Value {
    let mut keyed = config(version);
    keyed["Tenants"] = json!({
        "post": {"ApiKeys": [POST_KEY, "post-key-2"], "RatePerS": 0},
        "bank": {"ApiKeys": [BANK_KEY], "Priority": 3},
        "closed": {"ApiKeys": []},
    });
    // Long enough for requests to wait while a configuration takes effect on a busy machine.
    for route in ["read", "claim"] {
        keyed["Routes"][route]["Timeout"] = "20s".into();
        keyed["Routes"][route]["TargetLatency"] = "10s".into();
    }
    keyed["Routes"]["open"] = keyed["Routes"]["read"].clone();
    keyed["Routes"]["open"]["PathPrefix"] = "/open/".into();
    keyed["Routes"]["open"]["Public"] = true.into();
    keyed
}

fn ok() -> Vec<ScriptedAction> {
    vec![ScriptedAction::Respond(sealed_response("ok"))]
}

async fn start_env(config: &Value, script: Vec<ScriptedAction>) -> TestEnv {
    let env = TestEnv::start(vec![script]).await;
    apply_config(&env, config).await;
    env
}

async fn apply_config(env: &TestEnv, config: &Value) {
    env.store.put("config/main", config.to_string());
    let version = u64::from_str_radix(config["Version"].as_str().unwrap(), 16).unwrap();
    env.wait_until(|state| active_version(state) == version).await;
}

fn active_version(state: &RelayState) -> u64 {
    state.routes.load().as_ref().map_or(0, |routes| routes.config.version)
}

fn request(method: &str, path: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 20000\r\n{headers}\r\n"
    )
}

fn with_key(key: &str) -> String {
    format!("X-Credential: {key}\r\n")
}

async fn send(env: &TestEnv, path: &str, headers: &str) -> u16 {
    status(&open_request(env, "GET", path, headers).await.await.unwrap())
}

/// Sends a request on a connection of its own. Returns the task that waits for the response.
async fn open_request(env: &TestEnv, method: &str, path: &str, headers: &str) -> JoinHandle<String> {
    let mut caller = env.connect().await;
    caller.send(&request(method, path, headers)).await;
    tokio::spawn(async move { caller.receive().await.expect("the connection was closed without a response") })
}

#[tokio::test]
async fn target_receives_the_account_and_never_the_key_whatever_the_caller_sent() {
    let env = start_env(&keyed_config("00000002"), ok()).await;
    for key in [POST_KEY, "post-key-2"] {
        let headers = with_key(key) + "X-Tenant: bank\r\nx-tenant: closed\r\n";
        assert_eq!(send(&env, "/read/1", &headers).await, 200);
        let received = env.targets[0].received().pop().unwrap().to_ascii_lowercase();
        assert_eq!(header(&received, "x-tenant").as_deref(), Some("post"));
        assert_eq!(received.matches("x-tenant").count(), 1, "{received}");
        assert!(!received.contains("x-credential") && !received.contains(key), "{received}");
    }
    for headers in [String::new(), with_key(POST_KEY), with_key("unknown") + "X-Tenant: bank\r\n"] {
        assert_eq!(send(&env, "/open/1", &headers).await, 200);
        let received = env.targets[0].received().pop().unwrap().to_ascii_lowercase();
        assert!(!received.contains("x-tenant") && !received.contains("x-credential"), "{received}");
    }
}

/// Guards against requests that run under a key which no account holds, or whose account is not certain.
#[tokio::test]
async fn requests_without_exactly_one_known_key_are_refused_with_401() {
    let mut config = keyed_config("00000002");
    config["Tenants"]["twin"] = json!({"ApiKeys": ["shared-key", ""]});
    config["Tenants"]["bank"]["ApiKeys"] = json!([BANK_KEY, "shared-key"]);
    let env = start_env(&config, ok()).await;
    let twice = with_key(POST_KEY) + &with_key(POST_KEY);
    let hop_by_hop = with_key(POST_KEY) + "Connection: X-Credential\r\n";
    let cases = [
        String::new(),
        with_key(""),
        with_key("post"),
        with_key("post-key-1x"),
        with_key("POST-KEY-1"),
        with_key("shared-key"),
        with_key(&format!("{POST_KEY}, {BANK_KEY}")),
        twice,
        hop_by_hop,
    ];
    for headers in &cases {
        for (method, path) in [("GET", "/read/1"), ("POST", "/claim/1")] {
            let response = open_request(&env, method, path, headers).await.await.unwrap();
            assert_eq!(status(&response), 401, "{headers}: {response}");
            assert_eq!(header(&response, "retry-after"), None);
            assert_eq!(header(&response, "sniperelay-reason").as_deref(), Some("api-key-unknown"));
        }
    }
    assert_eq!(send(&env, "/none/1", "").await, 404);
    assert!(env.targets[0].received().is_empty());
    assert_eq!(send(&env, "/read/1", &with_key(BANK_KEY)).await, 200);
}

#[tokio::test]
async fn without_accounts_in_the_configuration_both_headers_pass_unchanged() {
    let env = start_env(&config("00000002"), ok()).await;
    assert_eq!(send(&env, "/read/1", &(with_key("any") + "X-Tenant: some\r\n")).await, 200);
    let received = env.targets[0].received().remove(0);
    assert_eq!(header(&received, "x-credential").as_deref(), Some("any"));
    assert_eq!(header(&received, "x-tenant").as_deref(), Some("some"));
}

#[tokio::test]
async fn priority_of_the_account_comes_before_that_of_the_route() {
    let env = start_env(&keyed_config("00000002"), ok()).await;
    for key in [POST_KEY, BANK_KEY] {
        assert_eq!(send(&env, "/read/1", &with_key(key)).await, 200);
    }
    let ranks = env.relay.state().metrics.all_ranks();
    let used = ranks.iter().filter(|(_, counters)| counters.on_time.load(Ordering::Relaxed) > 0);
    let mut used: Vec<&str> = used.map(|((_, rank), _)| rank.as_str()).collect();
    used.sort_unstable();
    assert_eq!(used, ["p0-10000ms-i", "p3-10000ms-i"]);
}

/// Occupies all slots of the target with public requests, which it holds.
async fn fill_target(env: &TestEnv) -> Vec<JoinHandle<String>> {
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(open_request(env, "GET", "/open/1", "").await);
    }
    env.wait_until(|_| env.targets[0].received().len() == 4).await;
    held
}

async fn wait_until_queued(env: &TestEnv, count: usize) {
    env.wait_until(|state| {
        let services = state.services.load();
        let stats =
            services["s"].dispatcher_handle.read(|dispatcher| dispatcher.stats(0, std::time::Instant::now()));
        stats.queued_total == count
    })
    .await;
}

/// Guards against requests that wait under the configuration that admitted them, and run under a key that a later one has
/// removed or given to another account.
#[tokio::test]
async fn waiting_requests_get_the_account_that_a_later_configuration_gives_to_their_key() {
    let mut script = vec![ScriptedAction::Hold; 4];
    script.extend(ok());
    let env = start_env(&keyed_config("00000002"), script).await;
    let held = fill_target(&env).await;
    let removed = open_request(&env, "POST", "/claim/removed", &with_key(POST_KEY)).await;
    let moved = open_request(&env, "POST", "/claim/moved", &with_key(BANK_KEY)).await;
    let kept = open_request(&env, "POST", "/claim/kept", &with_key("post-key-2")).await;
    wait_until_queued(&env, 3).await;
    let mut later = keyed_config("00000003");
    later["Tenants"]["post"]["ApiKeys"] = json!(["post-key-2", "post-key-3"]);
    later["Tenants"]["bank"]["ApiKeys"] = json!([]);
    later["Tenants"]["closed"]["ApiKeys"] = json!([BANK_KEY]);
    apply_config(&env, &later).await;
    assert_eq!(status(&removed.await.unwrap()), 401);
    env.targets[0].release(4);
    assert_eq!((status(&moved.await.unwrap()), status(&kept.await.unwrap())), (200, 200));
    for task in held {
        assert_eq!(status(&task.await.unwrap()), 200);
    }
    let received = env.targets[0].received();
    let account = |path: &str| {
        let request = received.iter().find(|request| request.contains(path));
        request.and_then(|request| header(request, "x-tenant"))
    };
    assert_eq!(account("/claim/moved").as_deref(), Some("closed"));
    assert_eq!(account("/claim/kept").as_deref(), Some("post"));
    assert_eq!(account("/claim/removed"), None);
}

/// Returns a fleet of two entry VMs with client accounts, the first one of which reaches no target.
async fn start_isolated_fleet(configs: [Value; 2]) -> PartitionedFleet {
    let fleet = PartitionedFleet::start(2, 2, &ok()).await;
    fleet.set_links(0, ProxyMode::Stall);
    while !fleet.vms[0].relay.state().links.is_isolated() {
        fleet.send_steadily(0, 40, Duration::from_millis(200)).await;
    }
    for (vm, config) in configs.iter().enumerate() {
        fleet.put_config(vm, config).await;
    }
    fleet
}

async fn send_to_first(fleet: &PartitionedFleet, headers: &str) -> String {
    let mut caller = Caller::open(fleet.vms[0].relay.state().own_record().caller_address).await;
    let text = request("GET", "/read/forwarded", headers).replace("-Ms: 20000", "-Ms: 1500");
    caller.send(&text).await;
    caller.receive().await.unwrap()
}

#[tokio::test]
async fn entry_vm_resolves_the_key_of_a_forwarded_request_itself() {
    let mut other = keyed_config("00000003");
    other["Tenants"]["closed"]["ApiKeys"] = json!([POST_KEY]);
    other["Tenants"]["post"]["ApiKeys"] = json!([]);
    let fleet = start_isolated_fleet([keyed_config("00000002"), other]).await;
    let response = send_to_first(&fleet, &(with_key(POST_KEY) + "X-Tenant: bank\r\n")).await;
    assert_eq!(status(&response), 200, "{response}");
    let received = fleet.targets.iter().flat_map(|target| target.received());
    let received: Vec<String> = received.filter(|request| request.contains("/read/forwarded")).collect();
    assert_eq!(received.len(), 1);
    assert_eq!(header(&received[0], "x-tenant").as_deref(), Some("closed"));
    assert!(!received[0].contains(POST_KEY), "{}", received[0]);
    assert_eq!(status(&send_to_first(&fleet, &with_key("post-key-2")).await), 401);
}

/// Guards against a peer of a build that does not know client accounts (before this one): it passes the API key on to the
/// target. It takes a request with the version that it knows, and no other one.
#[tokio::test]
async fn requests_with_keys_are_not_taken_by_entry_vms_of_builds_without_client_accounts() {
    let fleet = start_isolated_fleet([keyed_config("00000002"), keyed_config("00000002")]).await;
    let taken: Arc<Mutex<Vec<bool>>> = Arc::default();
    let address = start_earlier_peer(taken.clone()).await;
    fleet.override_peer(0, 1, address).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let response = send_to_first(&fleet, &with_key(POST_KEY)).await;
    assert!(matches!(status(&response), 503 | 504), "{response}");
    let taken = taken.lock().unwrap().clone();
    assert!(!taken.is_empty() && !taken.contains(&true), "{taken:?}");
}

/// Starts a peer that takes forwarded requests as builds from f7f8102 on do. `taken` lists whether it has taken each.
async fn start_earlier_peer(taken: Arc<Mutex<Vec<bool>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let taken = taken.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buffer).await {
                    let is_taken = header(&request, "sniperelay-min-version").is_some();
                    if header(&request, "sniperelay-forwarded").is_some() {
                        taken.lock().unwrap().push(is_taken);
                    }
                    let statement =
                        if is_taken { "accepted: 1" } else { "not-accepted: older configuration" };
                    let text =
                        format!("HTTP/1.1 503 Busy\r\nSniperelay-{statement}\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Collects the log lines of all tests in this program.
struct LineCollector;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = record.args().to_string();
        drop(record.key_values().visit(&mut FieldCollector(&mut line)));
        LINES.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// Appends the fields of a log line to its text.
struct FieldCollector<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

/// Guards against keys in logs and metrics: those of ambiguous accounts, of configurations that cannot be decoded, of
/// requests that are refused, and of requests under which targets crash.
#[tokio::test]
async fn keys_appear_in_no_log_line_and_no_metric() {
    log::set_logger(&LineCollector).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let mut config = keyed_config("00000002");
    config["Tenants"]["twin"] = json!({"ApiKeys": ["secret-shared", "secret-own"]});
    config["Tenants"]["post"]["ApiKeys"] = json!([POST_KEY, "secret-shared"]);
    let env = start_env(&config, vec![ScriptedAction::Close]).await;
    for key in ["secret-shared", "secret-unknown", "secret-own"] {
        open_request(&env, "POST", "/claim/1", &with_key(key)).await.await.unwrap();
    }
    for malformed in [
        json!({"Version": "00000003", "Tenants": {"post": "secret-one"}}).to_string(),
        json!({"Version": "00000003", "Tenants": ["secret-two"]}).to_string(),
        json!(["secret-three"]).to_string(),
        "{\"secret-four".to_owned(),
    ] {
        env.store.put("config/main", malformed);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    apply_config(&env, &keyed_config("00000004")).await;
    env.relay.state().update_metrics();
    let metrics = env.relay.state().metrics.render().unwrap();
    assert!(!metrics.contains("secret-"), "{metrics}");
    let lines = LINES.lock().unwrap();
    let of_interest = |text: &str| lines.iter().any(|line| line.contains(text));
    assert!(of_interest("shares a key with account"), "no finding was logged");
    assert!(of_interest("configuration cannot be read"), "no malformed configuration was logged");
    assert!(of_interest("api-key-unknown"), "no refusal was logged");
    let leaks: Vec<&String> = lines.iter().filter(|line| line.contains("secret-")).collect();
    assert!(leaks.is_empty(), "{leaks:?}");
}
