//! Tests that a response is delivered only to the caller of its own request, and that a response that
//! breaks off never looks complete.

mod common;

use common::raw_target::{RawStep, RawTarget, use_raw_targets, valid_response};
use common::{
    TIMEOUT, header_of, send_raw_request, start_cluster, start_limited_cluster, status_of, wait_until,
};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ: &str = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n";

async fn claim(address: std::net::SocketAddr, suffix: &str) -> String {
    let lookup =
        "GET /.sniperelay/lookup?service=claim-desk HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let lookup = send_raw_request(address, lookup).await;
    let ticket = lookup.split("\"ticket\":\"").nth(1).and_then(|text| text.split('"').next()).unwrap();
    let request = format!(
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {ticket}-{suffix}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    send_raw_request(address, &request).await
}

/// A target that writes a second copy of each response when the next request arrives on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_second_copy_of_a_response_does_not_reach_the_next_caller() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let last = std::sync::Mutex::new(String::new());
    let target = RawTarget::start(move |request| {
        let attempt = header_of(&request.head, "sniperelay-attempt").unwrap_or("none");
        let body = format!("answer {:04}", request.index);
        let RawStep::Write(own) = valid_response(&body).remove(0) else { unreachable!() };
        let own = own.replace("{attempt}", attempt);
        let copy = std::mem::replace(&mut *last.lock().unwrap(), own.clone());
        vec![RawStep::Write(copy), RawStep::Write(own)]
    })
    .await;
    use_raw_targets(&cluster, "rota-board", &[&target]).await;
    for _ in 0..10 {
        let before = target.request_count();
        let response = send_raw_request(address, READ).await;
        let own: Vec<String> =
            (before..target.request_count()).map(|index| format!("answer {index:04}")).collect();
        let is_foreign = response.contains("answer ") && !own.iter().any(|body| response.contains(body));
        assert!(!is_foreign, "the caller of {own:?} got {response}");
    }
    assert!(target.request_count() >= 10);
    cluster.shut_down();
}

/// As above, with a copy of a refusal. The claim runs, so its caller must not learn that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn late_second_copy_of_a_refusal_does_not_make_a_claim_not_run() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let refusal = std::sync::Mutex::new(None);
    let target = RawTarget::start(move |request| {
        let attempt = header_of(&request.head, "sniperelay-attempt").unwrap_or("none");
        let text = format!(
            "HTTP/1.1 503 Busy\r\nSniperelay-Attempt: {attempt}\r\nSniperelay-Refused: shed\r\nContent-Length: 0\r\n\r\n"
        );
        let mut refusal = refusal.lock().unwrap();
        match refusal.take() {
            None => {
                *refusal = Some(text.clone());
                vec![RawStep::Write(text)]
            }
            // The claim runs, and the copy of the earlier refusal arrives before its response.
            Some(copy) => {
                let mut steps = vec![RawStep::Write(copy)];
                steps.extend(valid_response("ran"));
                steps
            }
        }
    })
    .await;
    use_raw_targets(&cluster, "claim-desk", &[&target]).await;
    let mut unknown = 0;
    for index in 0..10 {
        let before = target.request_count();
        let response = claim(address, &format!("copy-{index}")).await;
        let has_run = (before..target.request_count()).any(|index| index % 2 == 1);
        let outcome = header_of(&response, "sniperelay-outcome");
        assert!(!(has_run && outcome == Some("not-run")), "the claim ran: {response}");
        unknown += usize::from(outcome == Some("unknown"));
    }
    assert!(unknown > 0, "no claim met the copy of a refusal");
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_is_reused_only_if_its_target_returns_the_attempt_id() {
    for (id_line, expected_connections) in [("Sniperelay-Attempt: {attempt}\r\n", 1), ("", 5)] {
        let cluster = start_cluster(1, 1).await;
        let text = format!("HTTP/1.1 200 OK\r\n{id_line}Content-Length: 2\r\n\r\nok");
        let target = RawTarget::start(move |_| vec![RawStep::Write(text.clone())]).await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        for _ in 0..5 {
            let response = send_raw_request(cluster.caller_addresses()[0], READ).await;
            assert_eq!(status_of(&response), 200, "{response}");
        }
        assert_eq!(target.connections.load(Ordering::Relaxed), expected_connections, "{id_line:?}");
        cluster.shut_down();
    }
}

/// A caller's own attempt ID does not reach the target, and is returned to the caller, which may be an
/// entry VM itself.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_id_of_the_caller_is_returned_to_it_with_every_response() {
    let cluster = start_cluster(1, 1).await;
    let target = RawTarget::start(|_| valid_response("ok")).await;
    use_raw_targets(&cluster, "rota-board", &[&target]).await;
    for (path, status) in [("/rota/x", 200), ("/none", 404)] {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: rota-board\r\nSniperelay-Attempt: of-caller\r\nConnection: close\r\n\r\n"
        );
        let response = send_raw_request(cluster.caller_addresses()[0], &request).await;
        assert_eq!(status_of(&response), status, "{response}");
        assert_eq!(header_of(&response, "sniperelay-attempt"), Some("of-caller"), "{response}");
        assert_eq!(response.to_lowercase().matches("sniperelay-attempt").count(), 1, "{response}");
    }
    assert!(!target.requests.lock().unwrap()[0].head.contains("of-caller"));
    cluster.shut_down();
}

/// The end of such a body cannot be told from a break-off.
#[tokio::test(flavor = "multi_thread")]
async fn response_delimited_by_the_end_of_the_connection_does_not_end_cleanly() {
    let cluster = start_cluster(1, 1).await;
    for size in [10, 200_000] {
        let text = format!("HTTP/1.1 200 OK\r\nSniperelay-Attempt: {{attempt}}\r\n\r\n{}", "x".repeat(size));
        let target = RawTarget::start(move |_| vec![RawStep::Write(text.clone()), RawStep::Close]).await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        let response = send_raw_request(cluster.caller_addresses()[0], READ).await;
        assert!(!response.ends_with("0\r\n\r\n"), "a body of {size} bytes ended cleanly");
        sniperelay_standin::cluster::deregister_vm(&cluster.platform, target.address);
    }
    cluster.shut_down();
}

/// The entry VM gives up on a caller that does not read. What the caller reads later must not look
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn response_cut_because_its_caller_does_not_read_does_not_end_cleanly() {
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 300").await;
    let target = cluster.targets["rota-board"][0].clone();
    let mut stream = TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-size: 30000000\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_until("a target has received the request", || target.control.accepted.load(Ordering::Relaxed) == 1)
        .await;
    wait_until_idle(&cluster).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stayed open after the response was cut");
    assert!(response.len() < 30_000_000);
    assert!(!response.ends_with(b"0\r\n\r\n"), "a response cut after {} bytes ended cleanly", response.len());
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn http_2_response_cut_because_its_caller_does_not_read_is_reset() {
    use http_body_util::{BodyExt, Empty};
    use hyper_util::rt::{TokioExecutor, TokioIo};
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 300").await;
    let stream = TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::get("http://rota-board/rota/x")
        .header("standin-size", 30_000_000)
        .body(Empty::<bytes::Bytes>::new())
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    wait_until_idle(&cluster).await;
    let body = tokio::time::timeout(TIMEOUT, response.into_body().collect()).await.unwrap();
    assert!(body.is_err(), "the cut response ended cleanly");
    cluster.shut_down();
}

/// Waits until no request holds a slot any more.
async fn wait_until_idle(cluster: &sniperelay_standin::cluster::ClusterStandin) {
    tokio::time::sleep(Duration::from_millis(50)).await;
    let node_state = cluster.entry_vms[0].node_state().clone();
    wait_until("the slot has been released", || {
        let services = node_state.services.load();
        services["rota-board"].dispatcher_handle.read(|dispatcher| dispatcher.request_count()) == 0
    })
    .await;
}

/// Guards against a response that its target cuts in its head, in a chunk header, in a trailer or after an interim
/// response, and that reaches the caller as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn response_cut_at_any_byte_does_not_end_cleanly() {
    let head = "HTTP/1.1 200 OK\r\nSniperelay-Attempt: {attempt}\r\n";
    let responses = [
        format!("{head}Content-Length: 10\r\n\r\n0123456789"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4;x=y\r\n6789\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\nTrailer: t\r\n\r\na\r\n0123456789\r\n0\r\nt: 1\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{head}Content-Length: 10\r\n\r\n0123456789"),
    ];
    for response in responses {
        let cluster = start_cluster(1, 1).await;
        let address = cluster.caller_addresses()[0];
        let script = response.clone();
        let target = RawTarget::start(move |request| {
            let path = request.head.split_whitespace().nth(1).unwrap();
            let count: usize = path.rsplit('/').next().unwrap().parse().unwrap();
            let attempt = header_of(&request.head, "sniperelay-attempt").unwrap_or("none");
            let text = script.replace("{attempt}", attempt);
            // The last byte is always left out.
            vec![RawStep::Write(text[..count.min(text.len() - 1)].to_owned()), RawStep::Close]
        })
        .await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        for cut in 0..response.len() + 20 {
            let read = format!("GET /rota/{cut} HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n");
            let received = send_raw_request(address, &read).await;
            let is_success = received.starts_with("HTTP/1.1 200");
            let has_length =
                received.contains("0123456789") && received.to_lowercase().contains("content-length: 10");
            let ends_cleanly = received.ends_with("0\r\n\r\n") || has_length;
            assert!(!(is_success && ends_cleanly), "{cut} bytes: {received}");
        }
        assert!(target.request_count() >= response.len(), "most requests did not reach the target");
        cluster.shut_down();
    }
}
