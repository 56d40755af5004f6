//! Tests that a response whose status is outside 200 to 599 never reaches a caller: no caller can tell what it means, and
//! a target that sends it is in trouble.

mod common;

use common::{ScriptedAction, TestEnv, body, sealed_response, status};

const INVALID_STATUSES: [&str; 7] = ["000", "001", "099", "101", "600", "700", "999"];

/// Returns a complete response with the ID of its request, a seal and this status.
fn response_with(invalid: &str) -> String {
    sealed_response("in trouble").replace("200 OK", &format!("{invalid} Trouble"))
}

fn refusal_with(invalid: &str) -> String {
    response_with(invalid).replace("X-Response-Seal: s", "X-Not-Executed: 1")
}

#[tokio::test]
async fn request_that_may_be_repeated_gets_no_such_response() {
    for invalid in INVALID_STATUSES {
        let in_trouble = vec![ScriptedAction::Respond(response_with(invalid))];
        let sound = vec![ScriptedAction::Respond(sealed_response("sound"))];
        let env = TestEnv::start(vec![in_trouble, sound]).await;
        // Each request may meet either target first. No response of the one in trouble counts as a success, so that it is
        // still used as long as no request has met it.
        let mut requests = 0;
        while env.targets[0].received().is_empty() || requests < 6 {
            requests += 1;
            let response = env.send_request("GET", "/read/1").await;
            match status(&response) {
                200 => assert_eq!(body(&response), "sound", "{invalid}"),
                // The budget for further attempts is used up.
                other => assert_eq!((other, body(&response)), (502, ""), "{invalid}: {response}"),
            }
        }
    }
}

#[tokio::test]
async fn claim_is_answered_with_an_unknown_outcome_and_sent_once() {
    for invalid in INVALID_STATUSES {
        let env = TestEnv::start(vec![vec![ScriptedAction::Respond(response_with(invalid))]]).await;
        let response = env.send_request("POST", "/claim/1").await;
        assert_eq!(status(&response), 502, "{invalid}: {response}");
        assert!(!response.contains("in trouble"), "{invalid}: {response}");
        assert_eq!(env.targets[0].received().len(), 1, "{invalid}: the claim was sent again");
    }
}

/// The header that proves that a request was not executed proves nothing in a response that is none.
#[tokio::test]
async fn refusal_with_an_invalid_status_proves_nothing() {
    for invalid in INVALID_STATUSES {
        let env = TestEnv::start(vec![vec![ScriptedAction::Respond(refusal_with(invalid))]]).await;
        let response = env.send_request("POST", "/claim/1").await;
        assert_eq!(status(&response), 502, "{invalid}: {response}");
        assert_eq!(env.targets[0].received().len(), 1, "{invalid}: the claim was sent again");
    }
}
