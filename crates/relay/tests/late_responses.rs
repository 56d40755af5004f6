//! Tests that a response reaches only the caller of its own request, also if a target sends a second copy
//! of it late, on a connection that is in use again.

mod common;

use common::{
    ScriptedAction, TestEnv, body, config, header, read_message, registration, request, sealed_response,
    status,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

fn refusal(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\n{id}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Sends a read that fails or succeeds, then a claim on the same target connection. Returns the response
/// to the claim.
async fn claim_after(read_response: String, claim_response: String) -> (TestEnv, String) {
    let script = vec![ScriptedAction::Respond(read_response), ScriptedAction::Respond(claim_response)];
    let env = TestEnv::start(vec![script]).await;
    let mut caller = env.connect().await;
    caller.send(&request("GET", "/read/1", "first", "")).await;
    caller.receive().await.unwrap();
    caller.send(&request("POST", "/claim/1", "second", "x")).await;
    let response = caller.receive().await.unwrap();
    (env, response)
}

#[tokio::test]
async fn late_second_copy_of_a_response_does_not_reach_the_next_caller() {
    let copy = sealed_response("of the first").replace("{id}", "first");
    let (env, response) =
        claim_after(sealed_response("of the first"), copy + &sealed_response("of the second")).await;
    assert_eq!(status(&response), 502, "{response}");
    assert!(!response.contains("of the first"), "{response}");
    assert_eq!(env.targets[0].received().len(), 2, "the claim was sent again");
}

/// The claim runs. A copy of the refusal of an earlier request is no proof that it did not.
#[tokio::test]
async fn late_second_copy_of_a_refusal_does_not_make_a_claim_not_run() {
    let with_id = "X-Request-Id: {id}\r\n";
    for (first, copy) in [
        (refusal(with_id), refusal("X-Request-Id: first\r\n")),
        // A target that does not return the ID of a request in its refusals.
        (refusal(""), refusal("")),
    ] {
        let (env, response) = claim_after(first, copy + &sealed_response("claimed")).await;
        assert_eq!(status(&response), 502, "{response}");
        assert_eq!(env.targets[0].received().len(), 2, "the claim was sent again");
    }
}

#[tokio::test]
async fn refusal_of_a_claim_is_a_proof_if_it_can_belong_to_no_other_request() {
    let with_id = refusal("X-Request-Id: {id}\r\n");
    let (_, response) = claim_after(sealed_response("ok"), with_id).await;
    assert_eq!(status(&response), 503, "a refusal with the ID of the claim: {response}");
    let env = TestEnv::start(vec![vec![ScriptedAction::Respond(refusal(""))]]).await;
    let response = env.send_request("POST", "/claim/1").await;
    assert_eq!(status(&response), 503, "a refusal on a new connection: {response}");
}

/// Bytes after a complete response belong to no request, whenever they arrive.
#[tokio::test]
async fn bytes_after_a_response_end_its_connection() {
    for extra in ["garbage", "HTTP/1.1 200 OK\r\n", "\r\n"] {
        let text = sealed_response("whole") + extra;
        let script = vec![ScriptedAction::Respond(text), ScriptedAction::Respond(sealed_response("next"))];
        let env = TestEnv::start(vec![script]).await;
        let first = env.send_request("GET", "/read/1").await;
        assert_eq!((status(&first), body(&first)), (200, "whole"), "{extra:?}");
        let next = env.send_request("GET", "/read/2").await;
        assert!(status(&next) != 200 || body(&next) == "next", "{extra:?}: {next}");
    }
}

/// A target that serves reads, refuses its first claim, and writes that refusal once more before each later response.
struct RepeatingTarget {
    address: SocketAddr,
    claims: AtomicUsize,
}

impl RepeatingTarget {
    async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Arc::new(Self { address: listener.local_addr().unwrap(), claims: AtomicUsize::new(0) });
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        target
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let (mut buffer, mut refused) = (Vec::new(), String::new());
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let id = format!("X-Request-Id: {}\r\n", header(&request, "x-request-id").unwrap_or_default());
            let ok = sealed_response("ok").replace("X-Request-Id: {id}\r\n", &id);
            let text = if !request.starts_with("POST") {
                ok
            } else if self.claims.fetch_add(1, Ordering::Relaxed) == 0 {
                refused = refusal(&id);
                refused.clone()
            } else {
                format!("{refused}{ok}")
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Guards against a later attempt that takes a repeated refusal of an earlier one for its own: all attempts of a request
/// have the same ID. The later attempt runs, so the claim must be neither called not run nor sent again.
#[tokio::test]
async fn repeated_refusal_of_an_earlier_attempt_is_no_proof_for_a_later_one() {
    let env = TestEnv::start(Vec::new()).await;
    let mut config = config("00000002");
    for route in ["claim", "read"] {
        config["Routes"][route]["MaxAttempts"] = 5.into();
    }
    let targets = [RepeatingTarget::start().await, RepeatingTarget::start().await];
    for (index, target) in targets.iter().enumerate() {
        env.store.put(&format!("servers/r{index}"), registration(target.address, "ready").to_string());
    }
    env.store.put("config/main", config.to_string());
    env.wait_until(|state| {
        let routes = state.routes.load_full();
        routes.is_some_and(|routes| routes.config.version == 2)
            && state.services.load()["s"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == 2)
    })
    .await;
    // Fills the budget of further attempts.
    for _ in 0..40 {
        assert_eq!(status(&env.send_request("GET", "/read/1").await), 200);
    }
    let response = env.send_request("POST", "/claim/1").await;
    let arrivals = targets.each_ref().map(|target| target.claims.load(Ordering::Relaxed));
    let runs: usize = arrivals.iter().map(|arrivals| arrivals.saturating_sub(1)).sum();
    assert!(arrivals.iter().sum::<usize>() > 2, "no attempt after two refusals: {arrivals:?}");
    assert_eq!(runs, 1, "the claim ran more than once: {arrivals:?}");
    assert_ne!(status(&response), 503, "the claim ran: {response}");
}

/// Guards against a late copy that is taken for the response to the next request on the connection, if neither has an
/// ID by which they differ: a refusal (the second request runs) and a response of the first request.
#[tokio::test]
async fn late_copy_is_not_taken_for_the_response_to_a_request_without_an_id() {
    let without_id = |text: String| text.replace("X-Request-Id: {id}\r\n", "");
    let refusal = refusal("");
    let first = without_id(sealed_response("of the first"));
    let second = without_id(sealed_response("of the second"));
    for copy in [refusal, first] {
        let script =
            vec![ScriptedAction::Respond(copy.clone()), ScriptedAction::Respond(copy.clone() + &second)];
        let env = TestEnv::start(vec![script]).await;
        let mut caller = env.connect().await;
        let claim = request("POST", "/claim/1", "", "x").replace("X-Request-Id: \r\n", "");
        caller.send(&claim).await;
        caller.receive().await.unwrap();
        caller.send(&claim).await;
        let response = caller.receive().await.unwrap();
        // The target writes the copy before its response on whatever connection the claim arrives.
        assert_eq!(env.targets[0].received().len(), 2, "the claim was sent again");
        assert!(
            env.targets[0].connections.load(Ordering::Relaxed) >= 2,
            "the connection was used again: {response}"
        );
    }
}

/// When a target writes the refusal of an earlier request once more.
#[derive(Debug, Clone, Copy)]
enum CopyTiming {
    /// This long after the refusal, whether or not the next request has arrived.
    AfterRefusal(Duration),
    /// As soon as the head of the next request has arrived.
    AfterHead,
    /// Before the response to the next request; the connection is reset instead of that response.
    BeforeReset,
}

/// Serves one request by a refusal, and runs all later ones. Counts the runs by request.
async fn serve_with_copy(
    mut stream: TcpStream,
    status: &str,
    timing: CopyTiming,
    runs: Arc<Mutex<Vec<String>>>,
) {
    let mut buffer = Vec::new();
    let Some(first) = read_message(&mut stream, &mut buffer).await else { return };
    let id = header(&first, "x-request-id").unwrap_or_default();
    let refusal =
        format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    drop(stream.write_all(refusal.as_bytes()).await);
    if let CopyTiming::AfterRefusal(delay) = timing {
        tokio::time::sleep(delay).await;
        drop(stream.write_all(refusal.as_bytes()).await);
    }
    let mut byte = [0];
    if let CopyTiming::AfterHead = timing
        && stream.peek(&mut byte).await.is_ok_and(|count| count > 0)
    {
        drop(stream.write_all(refusal.as_bytes()).await);
    }
    let Some(second) = read_message(&mut stream, &mut buffer).await else { return };
    let id = header(&second, "x-request-id").unwrap_or_default();
    runs.lock().unwrap().push(id.clone());
    if let CopyTiming::BeforeReset = timing {
        drop(stream.write_all(refusal.as_bytes()).await);
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        return;
    }
    drop(stream.write_all(sealed_response("ran").replace("{id}", &id).as_bytes()).await);
}

/// Guards against copies of refusals at any time relative to the next request on the connection, with each status that
/// promises that a request has not run: a claim runs once at most, and is not refused if it runs.
#[tokio::test]
async fn copies_of_refusals_at_any_time_make_no_claim_not_run() {
    let delays =
        [0, 1, 2, 3, 5, 8, 12, 20].map(|millis| CopyTiming::AfterRefusal(Duration::from_millis(millis)));
    let timings = || delays.into_iter().chain([CopyTiming::AfterHead, CopyTiming::BeforeReset]);
    let mut cases = JoinSet::new();
    for status_line in ["503 Busy", "429 Slow", "421 Misdirected"] {
        timings().for_each(|timing| drop(cases.spawn(check_copies(status_line, timing))));
    }
    while let Some(result) = cases.join_next().await {
        result.unwrap();
    }
}

async fn check_copies(status_line: &'static str, timing: CopyTiming) {
    let env = TestEnv::start(Vec::new()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = registration(listener.local_addr().unwrap(), "ready");
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let server_runs = runs.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_with_copy(stream, status_line, timing, server_runs.clone()));
        }
    });
    env.store.put("servers/r0", target.to_string());
    env.wait_until(|state| {
        state.services.load()["s"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == 1)
    })
    .await;
    for id in ["first", "second", "third", "fourth"] {
        let mut caller = env.connect().await;
        caller.send(&request("POST", "/claim/1", id, &"x".repeat(900))).await;
        let response = caller.receive().await.unwrap();
        let count = runs.lock().unwrap().iter().filter(|run| *run == id).count();
        let what = format!("{status_line}, {timing:?}, {id}: {count} runs, {response}");
        assert!(count <= 1, "{what}");
        assert!(count == 0 || !matches!(status(&response), 503 | 429 | 408 | 421), "{what}");
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}
