//! Tests that a response reaches only the caller of its own request, also if a target sends a second copy
//! of it late, on a connection that is in use again.

mod common;

use common::{ScriptedAction, TestEnv, body, request, sealed_response, status};

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
