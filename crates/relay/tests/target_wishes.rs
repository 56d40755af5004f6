//! Tests of what targets ask for with their responses: no requests for a while, or none at all any more.

mod common;

use common::{ScriptedAction, TestEnv, body, header, registration, request, sealed_response, status};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn respond(text: &str) -> Vec<ScriptedAction> {
    vec![ScriptedAction::Respond(text.to_owned())]
}

fn with_headers(headers: &str, text: &str) -> String {
    sealed_response(text).replace("X-Response-Seal", &format!("{headers}X-Response-Seal"))
}

fn refusal(headers: &str) -> String {
    format!(
        "HTTP/1.1 503 Busy\r\nX-Request-Id: {{id}}\r\nX-Not-Executed: 1\r\n{headers}Content-Length: 0\r\n\r\n"
    )
}

async fn send_claims(env: &TestEnv, count: usize) -> Vec<String> {
    let mut responses = Vec::new();
    for index in 0..count {
        let mut caller = env.connect().await;
        caller.send(&request("POST", "/claim/1", &format!("c{index}"), "x")).await;
        responses.push(caller.receive().await.unwrap());
    }
    responses
}

/// Any response can carry the report: a success, an error, a refusal, and one from an earlier instance.
#[tokio::test]
async fn target_that_reports_leaving_gets_no_further_requests() {
    let leaving = "Server-Leaving: 1\r\n";
    let error = with_headers(leaving, "bad").replace("200 OK", "500 Oops");
    let misdirected = refusal(leaving).replace("503 Busy", "421 Misdirected");
    for text in [with_headers(leaving, "last"), error, refusal(leaving), misdirected] {
        let env = TestEnv::start(vec![respond(&text), respond(&sealed_response("stays"))]).await;
        while env.targets[0].received().is_empty() {
            send_claims(&env, 1).await;
        }
        // A new list that still shows the target as ready does not bring it back.
        env.store.put("servers/other", registration("127.0.0.1:9".parse().unwrap(), "draining").to_string());
        tokio::time::sleep(Duration::from_millis(400)).await;
        for response in send_claims(&env, 20).await {
            assert_eq!((status(&response), body(&response)), (200, "stays"), "{text}");
        }
        assert_eq!(env.targets[0].received().len(), 1, "{text}");
        let process = env.relay.state().metrics.process();
        assert_eq!(process.targets_reported_leaving.load(Ordering::Relaxed), 1);
    }
}

#[tokio::test]
async fn restarted_instance_of_the_same_name_is_used_again() {
    let script = vec![
        ScriptedAction::Respond(with_headers("Server-Leaving: 1\r\n", "last")),
        ScriptedAction::Respond(sealed_response("again")),
    ];
    let env = TestEnv::start(vec![script, respond(&sealed_response("stays"))]).await;
    while env.targets[0].received().is_empty() {
        send_claims(&env, 1).await;
    }
    let mut entry = registration(env.targets[0].address, "ready");
    entry["born"] = 1_700_000_000_000_u64.into();
    env.store.put("servers/i0", entry.to_string());
    while env.targets[0].received().len() < 2 {
        send_claims(&env, 1).await;
    }
}

/// All targets leave: they are used for half of their drain time, and not at all after it.
#[tokio::test]
async fn last_leaving_targets_are_used_within_their_drain_time_only() {
    let leaving = respond(&with_headers("Server-Leaving: 1\r\n", "ok"));
    let env = TestEnv::start(vec![leaving]).await;
    assert_eq!(status(&env.send_request("GET", "/read/1").await), 200);
    assert_eq!(status(&env.send_request("GET", "/read/2").await), 200, "within the drain time");
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let before = env.targets[0].received().len();
    let response = env.send_request("GET", "/read/3").await;
    assert_eq!(status(&response), 503, "{response}");
    assert_eq!(env.targets[0].received().len(), before);
}

/// Each row: the value of `Retry-After` on a refusal, and for how long at least no request arrives.
#[tokio::test]
async fn target_that_asks_for_a_pause_gets_nothing_meanwhile() {
    for (value, pause_ms) in
        [("0.6", 600), ("1", 1000), ("soon", 1000), ("Fri, 04 Dec 2026 12:00:00 GMT", 1000)]
    {
        let pausing = refusal(&format!("Retry-After: {value}\r\n"));
        let script = vec![ScriptedAction::Respond(pausing), ScriptedAction::Respond(sealed_response("back"))];
        let env = TestEnv::start(vec![script, respond(&sealed_response("other"))]).await;
        while env.targets[0].received().is_empty() {
            send_claims(&env, 1).await;
        }
        let asked_at = tokio::time::Instant::now();
        while asked_at.elapsed() < Duration::from_millis(pause_ms - 50) {
            assert_eq!(body(&send_claims(&env, 1).await[0]), "other", "{value}");
        }
        assert_eq!(env.targets[0].received().len(), 1, "{value}");
        while env.targets[0].received().len() < 2 {
            send_claims(&env, 1).await;
            assert!(asked_at.elapsed() < Duration::from_secs(20), "{value}: never used again");
        }
    }
}

/// All targets ask for a pause that is longer than the request can wait: it is refused at once, with the
/// time to come back.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_targets_pause() {
    let env = TestEnv::start(vec![respond(&refusal("Retry-After: 30\r\n"))]).await;
    send_claims(&env, 1).await;
    let sent_at = tokio::time::Instant::now();
    let response = send_claims(&env, 1).await.remove(0);
    assert!(sent_at.elapsed() < Duration::from_millis(400), "{:?}", sent_at.elapsed());
    assert_eq!(status(&response), 503, "{response}");
    let retry_after: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
    assert!((25.0..=30.0).contains(&retry_after), "{response}");
    assert_eq!(env.targets[0].received().len(), 1);
}

/// With other statuses, `Retry-After` is meant for the caller.
#[tokio::test]
async fn retry_after_of_other_responses_is_no_pause() {
    let env = TestEnv::start(vec![respond(&with_headers("Retry-After: 30\r\n", "ok"))]).await;
    for response in send_claims(&env, 3).await {
        assert_eq!((status(&response), header(&response, "retry-after").as_deref()), (200, Some("30")));
    }
}

/// Targets of some services reset the connection when they are full. A reset after the request was written proves
/// nothing, so a claim is neither run again nor called not run; and there is no storm of connections.
#[tokio::test]
async fn reset_of_a_claim_is_no_proof_and_causes_no_storm_of_connections() {
    let env = TestEnv::start(vec![vec![ScriptedAction::Reset], vec![ScriptedAction::Reset]]).await;
    let count = 20;
    let responses = send_claims(&env, count).await;
    let received: usize = env.targets.iter().map(|target| target.received().len()).sum();
    let lost = responses.iter().filter(|response| status(response) == 502).count();
    let refused = responses.iter().filter(|response| status(response) == 503).count();
    assert_eq!((lost, lost + refused), (received, count), "{received} claims reached a target");
    let connections: usize =
        env.targets.iter().map(|target| target.connections.load(Ordering::Relaxed)).sum();
    // A probe for each target now and then also takes a connection.
    assert!(connections <= 3 * count, "{connections} connections for {count} claims");
}
