//! Tests of requests that end each target that begins to run them, and of healthy requests beside them.

mod common;

use common::crashing_target::{CrashingTarget, ReceivedRequest, RequestMark};
use common::{Caller, ScriptedAction, TestEnv, config, header, request, sealed_response, status};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::shared_state::RelayState;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

const ENTRY_VM_COUNT: usize = 3;
const TARGET_COUNT: usize = 8;
/// Time within which what one entry VM has seen is known to all others that it can reach.
const CONTACT: Duration = Duration::from_millis(3000);
/// Number of targets after whose end a request is to be known for it.
const KNOWN_AFTER_ENDS: usize = 3;
/// Number of times that a request may still be sent to targets when it is known for their ends.
const MAX_LATE_SENDS: usize = 3;
/// Time for which a request comes again. It is longer than the time until it must be known.
const REPEAT_TIME: Duration = Duration::from_millis(8500);
/// Time between two requests.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a request that is not sent on is answered.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Time that healthy requests take, so that some of them run when a target ends.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after which all targets are back and known.
const ALL_BACK_TIME: Duration = Duration::from_millis(1500);
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);
/// Number of healthy requests to each entry VM when all targets are back.
const QUIET_REQUESTS: usize = 20;

const CRASHING_READ: RequestMark = RequestMark { method: "GET", path: "/read/poison", body: "" };
const OTHER_READ: RequestMark = RequestMark { method: "GET", path: "/read/other", body: "" };
const CRASHING_CLAIM: RequestMark = RequestMark { method: "POST", path: "/claim/1", body: "poison" };
const OTHER_CLAIM: RequestMark = RequestMark { method: "POST", path: "/claim/1", body: "healthy" };

/// A request that was sent to an entry VM, and what the caller received.
#[derive(Debug, Clone)]
struct CallerRecord {
    id: String,
    sent_at: Instant,
    took: Duration,
    response: Option<String>,
}

impl CallerRecord {
    fn status(&self) -> Option<u16> {
        self.response.as_deref().map(status)
    }

    fn header(&self, name: &str) -> Option<String> {
        header(self.response.as_deref()?, name)
    }

    /// Returns whether the request failed because its target ended or was not yet back.
    fn was_lost_with_a_target(&self) -> bool {
        let reason = self.header("sniperelay-reason");
        matches!(reason.as_deref(), Some("connection-lost" | "connect-failed" | "target-refused"))
    }
}

/// Three entry VMs on one store, and targets that end by a request.
struct CrashEnv {
    relays: Vec<RunningRelay>,
    targets: Vec<Arc<CrashingTarget>>,
}

impl CrashEnv {
    async fn start(mark: RequestMark) -> Self {
        Self::start_configured(mark, "").await
    }

    async fn start_configured(mark: RequestMark, more_settings: &str) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        store.put("config/main", config("00000001").to_string());
        let mut targets = Vec::new();
        for index in 0..TARGET_COUNT {
            targets.push(CrashingTarget::start(store.clone(), index, mark, SERVICE_TIME).await);
        }
        let names = (0..ENTRY_VM_COUNT).map(|index| format!("vm{index}"));
        let relays = names
            .map(|name| common::start_configured_relay(&name, store.address(), "", more_settings))
            .collect();
        let env = Self { relays, targets };
        env.wait_until(knows_all).await;
        env
    }

    /// Waits until a condition holds at all entry VMs.
    async fn wait_until(&self, condition: impl Fn(&RelayState) -> bool) {
        while !self.relays.iter().all(|relay| condition(relay.state())) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a request again and again to the given entry VMs in turn, each time with a new id and without waiting
    /// for the response to the previous one.
    async fn repeat(&self, vms: &[usize], mark: RequestMark, time: Duration) -> Vec<CallerRecord> {
        let begin = Instant::now();
        let mut pending = JoinSet::new();
        let mut interval = tokio::time::interval(REPEAT_INTERVAL);
        for vm in vms.iter().cycle() {
            interval.tick().await;
            if begin.elapsed() >= time {
                break;
            }
            pending.spawn(self.send(*vm, mark));
        }
        pending.join_all().await
    }

    /// Sends a request with a new id to one entry VM.
    fn send(&self, vm: usize, mark: RequestMark) -> impl Future<Output = CallerRecord> + use<> {
        static NEXT_ID: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let id = format!("id-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let address = self.relays[vm].state().own_record().caller_address;
        async move {
            let sent_at = Instant::now();
            let mut caller = Caller::open(address).await;
            caller.send(&request(mark.method, mark.path, &id, mark.body)).await;
            let response = caller.receive().await;
            CallerRecord { id, sent_at, took: sent_at.elapsed(), response }
        }
    }

    /// Returns each arrival of the marked request at a target, in order.
    fn crashing_arrivals(&self) -> Vec<ReceivedRequest> {
        let received = self.targets.iter().flat_map(|target| target.received());
        let mut arrivals: Vec<ReceivedRequest> = received.filter(|request| request.is_crashing).collect();
        arrivals.sort_by_key(|request| request.at);
        arrivals
    }

    /// Returns the time from which the marked request must be known at all entry VMs.
    fn known_time(&self) -> Option<Instant> {
        let mut ends: Vec<Instant> = self.targets.iter().flat_map(|target| target.ends()).collect();
        ends.sort();
        ends.get(KNOWN_AFTER_ENDS - 1).map(|third| *third + CONTACT)
    }

    /// Checks that targets hardly receive the marked request any more, that the rest is refused at once, and that
    /// no response with status 503 belongs to a request that a target began to run.
    fn assert_crashing_request_is_known(&self, records: &[CallerRecord]) {
        let known_time = self.known_time().expect("fewer than three targets ended");
        let arrivals = self.crashing_arrivals();
        let late_arrivals = || arrivals.iter().filter(|arrival| arrival.at > known_time);
        let late_sends = late_arrivals().count();
        let late_runs = late_arrivals().filter(|arrival| arrival.is_run).count();
        let late: Vec<&CallerRecord> = records.iter().filter(|record| record.sent_at > known_time).collect();
        let arrived = |record: &CallerRecord| arrivals.iter().any(|arrival| arrival.id == record.id);
        let not_sent_on: Vec<&&CallerRecord> = late.iter().filter(|record| !arrived(record)).collect();
        let figures = format!(
            "{} sends in all; later than Contact after the third end: {late_sends} sends ({late_runs} run), {} requests, {} of them not sent on",
            arrivals.len(),
            late.len(),
            not_sent_on.len()
        );
        println!("{figures}");
        assert!(late.len() >= 10, "the test shows nothing: {figures}");
        assert!(late_sends <= MAX_LATE_SENDS, "{figures}");
        for record in not_sent_on {
            assert!(record.took < AT_ONCE, "not refused at once: {record:?}");
            assert_eq!(record.status(), Some(503), "{record:?}");
            assert!(record.header("retry-after").is_some(), "{record:?}");
        }
        self.assert_status_503_is_true(records);
    }

    fn assert_status_503_is_true(&self, records: &[CallerRecord]) {
        let run: Vec<ReceivedRequest> =
            self.crashing_arrivals().into_iter().filter(|arrival| arrival.is_run).collect();
        for record in records.iter().filter(|record| record.status() == Some(503)) {
            assert!(
                !run.iter().any(|arrival| arrival.id == record.id),
                "ran, but has status 503: {record:?}"
            );
        }
    }
}

fn knows_all(state: &RelayState) -> bool {
    state.is_ready() && state.entry_vms.load().len() == ENTRY_VM_COUNT && knows_all_targets(state)
}

fn knows_all_targets(state: &RelayState) -> bool {
    let services = state.services.load();
    let Some(entry) = services.get("s") else { return false };
    entry.dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == TARGET_COUNT)
}

/// Sends a marked request again and again to all entry VMs.
async fn check_crashing_request(mark: RequestMark) {
    let env = CrashEnv::start(mark).await;
    let records = env.repeat(&[0, 1, 2], mark, REPEAT_TIME).await;
    env.assert_crashing_request_is_known(&records);
}

/// Guards against a read that ends one target after the other for as long as it comes again.
#[tokio::test]
async fn request_that_crashes_its_targets_is_not_sent_on_by_any_entry_vm() {
    check_crashing_request(CRASHING_READ).await;
}

/// Guards against the same with claims, which are sent once each and come again with further ids.
#[tokio::test]
async fn claim_that_crashes_its_targets_is_not_sent_on_by_any_entry_vm() {
    check_crashing_request(CRASHING_CLAIM).await;
}

/// Guards against entry VMs that judge by what they have seen themselves: each would let three more targets end.
#[tokio::test]
async fn request_that_crashed_targets_at_one_entry_vm_is_not_sent_on_by_the_others() {
    let env = CrashEnv::start(CRASHING_READ).await;
    while env.known_time().is_none() {
        env.send(0, CRASHING_READ).await;
        tokio::time::sleep(REPEAT_INTERVAL).await;
    }
    tokio::time::sleep_until(env.known_time().unwrap()).await;
    let records = env.repeat(&[1, 2], CRASHING_READ, Duration::from_millis(3500)).await;
    env.assert_crashing_request_is_known(&records);
}

/// Sends a healthy request to all entry VMs beside a marked one, and on when all targets are back. Healthy ones run
/// on the targets that end.
async fn check_healthy_request(mark: RequestMark, healthy: RequestMark) {
    let env = CrashEnv::start(mark).await;
    let (_, first, second, third) = tokio::join!(
        env.repeat(&[0, 1, 2], mark, REPEAT_TIME),
        env.repeat(&[0], healthy, REPEAT_TIME),
        env.repeat(&[1], healthy, REPEAT_TIME),
        env.repeat(&[2], healthy, REPEAT_TIME),
    );
    let records = [first, second, third].concat();
    let is_served = |record: &&CallerRecord| record.status() == Some(200);
    let served = records.iter().filter(is_served).count();
    println!("beside the crashing request: {served} of {} healthy ones served", records.len());
    for record in records.iter().filter(|record| !is_served(record)) {
        assert!(record.was_lost_with_a_target(), "refused beside a crashing request: {record:?}");
    }
    assert!(env.known_time().is_some(), "fewer than three targets ended");
    tokio::time::sleep(ALL_BACK_TIME).await;
    env.wait_until(knows_all_targets).await;
    for vm in (0..ENTRY_VM_COUNT).cycle().take(ENTRY_VM_COUNT * QUIET_REQUESTS) {
        let record = env.send(vm, healthy).await;
        assert_eq!(record.status(), Some(200), "all targets are back: {record:?}");
    }
}

/// Guards against a judgement on a whole route, and on a request that runs beside the one that is to blame.
#[tokio::test]
async fn healthy_requests_are_served_beside_a_request_that_crashes_its_targets() {
    check_healthy_request(CRASHING_READ, OTHER_READ).await;
}

/// Guards against a judgement on a path: the body of a claim decides whether targets end by it.
#[tokio::test]
async fn claims_with_another_body_are_served_beside_a_claim_that_crashes_its_targets() {
    check_healthy_request(CRASHING_CLAIM, OTHER_CLAIM).await;
}

/// Ends three targets one after the other while each of them holds the same healthy request.
async fn end_three_targets_that_hold(env: &CrashEnv, mark: RequestMark) {
    env.targets.iter().for_each(|target| target.set_holding(true));
    let ends = |env: &CrashEnv| env.targets.iter().map(|target| target.ends().len()).sum::<usize>();
    let mut vm = 0;
    while ends(env) < KNOWN_AFTER_ENDS {
        let pending = tokio::spawn(env.send(vm, mark));
        vm = (vm + 1) % ENTRY_VM_COUNT;
        while !pending.is_finished() && ends(env) < KNOWN_AFTER_ENDS {
            if let Some(target) = env.targets.iter().find(|target| target.holds_request()) {
                let before = ends(env);
                target.kill();
                while ends(env) == before {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    env.targets.iter().for_each(|target| target.set_holding(false));
}

/// Guards against a judgement without end: targets that died for another reason must not shut out a healthy request.
#[tokio::test]
async fn request_whose_targets_died_for_another_reason_is_served_again() {
    const MAX_SHUT_OUT: Duration = Duration::from_secs(30);
    let env = CrashEnv::start_configured(CRASHING_READ, "[limits]\nquarantine-ms = 5000\n").await;
    let ending = end_three_targets_that_hold(&env, OTHER_READ);
    tokio::time::timeout(HANG_LIMIT, ending).await.expect("the targets did not get the request");
    let ended_at = Instant::now();
    tokio::time::sleep(CONTACT).await;
    assert_eq!(env.send(0, OTHER_READ).await.status(), Some(503), "the targets ended under this request");
    for vm in 0..ENTRY_VM_COUNT {
        while env.send(vm, OTHER_READ).await.status() != Some(200) {
            assert!(ended_at.elapsed() < MAX_SHUT_OUT, "entry VM {vm} still refuses the request");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        println!("served by entry VM {vm} {} ms after the third end", ended_at.elapsed().as_millis());
    }
}

/// Number of the same request with the same failure.
const FAILED_REPEATS: usize = 60;

/// Sends the same request again and again. Each one must reach a target.
async fn check_failure_is_no_crash(name: &str, text: &str, closes_connection: bool, mark: RequestMark) {
    let action = if closes_connection { ScriptedAction::RespondAndClose } else { ScriptedAction::Respond };
    let env = TestEnv::start(vec![vec![action(text.to_owned())]; 4]).await;
    let arrived = |id: &str| {
        let received = env.targets.iter().flat_map(|target| target.received());
        received.into_iter().any(|message| header(&message, "x-request-id").as_deref() == Some(id))
    };
    for index in 0..FAILED_REPEATS {
        let id = format!("id-{index}");
        let mut caller = env.connect().await;
        caller.send(&request(mark.method, mark.path, &id, mark.body)).await;
        let response = caller.receive().await;
        assert!(arrived(&id), "{name}: request {index} was not sent on: {response:?}");
    }
}

/// Guards against a judgement by failures that are no ends of targets.
#[tokio::test]
async fn closed_connections_errors_and_refusals_are_no_crashes() {
    let refusal = "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for mark in [OTHER_READ, OTHER_CLAIM] {
        check_failure_is_no_crash("closed after a response", &sealed_response("ok"), true, mark).await;
        let error = sealed_response("bad").replace("200 OK", "500 Oops");
        check_failure_is_no_crash("error", &error, false, mark).await;
        check_failure_is_no_crash("error and close", &error, true, mark).await;
        check_failure_is_no_crash("refusal", refusal, false, mark).await;
        check_failure_is_no_crash("refusal and close", refusal, true, mark).await;
    }
}
