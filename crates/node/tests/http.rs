//! Tests of the HTTP behaviour between callers and targets.

mod common;

use common::{header_of, send_raw_request, start_cluster, start_limited_cluster, status_of, wait_until};
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Each row: request, expected status, expected outcome, expected reason.
const CASES: &[(&str, u16, &str, &str)] = &[
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\n", 200, "", ""),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board:8080\r\n", 200, "", ""),
    ("GET /rota/x HTTP/1.1\r\nHost: 127.0.0.1\r\nSniperelay-Service: rota-board\r\n", 200, "", ""),
    ("HEAD /rota/x HTTP/1.1\r\nHost: rota-board\r\n", 200, "", ""),
    ("GET /rota/x HTTP/1.1\r\nHost: nobody\r\n", 404, "not-run", "unknown-service"),
    ("GET /nothing HTTP/1.1\r\nHost: rota-board\r\n", 404, "not-run", "unknown-rank"),
    ("PUT /rota/x HTTP/1.1\r\nHost: rota-board\r\n", 404, "not-run", "unknown-rank"),
    ("GET /rota/x HTTP/1.0\r\nHost: rota-board\r\n", 400, "not-run", "bad-request"),
    ("CONNECT rota-board:80 HTTP/1.1\r\nHost: rota-board\r\n", 400, "not-run", "bad-request"),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nUpgrade: websocket\r\n", 400, "not-run", "bad-request"),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nHost: claim-desk\r\n", 400, "not-run", "bad-request"),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nContent-Length: 1\r\nContent-Length: 2\r\n", 400, "", ""),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nContent-Length: x\r\n", 400, "", ""),
    ("GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nTransfer-Encoding: gzip\r\n", 400, "", ""),
    (
        "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nSniperelay-Deadline-Ms: soon\r\n",
        400,
        "not-run",
        "bad-request",
    ),
    (
        "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nSniperelay-Deadline-Ms: 0\r\n",
        503,
        "not-run",
        "deadline-passed",
    ),
    ("POST /claims HTTP/1.1\r\nHost: claim-desk\r\nContent-Length: 0\r\n", 428, "not-run", "key-missing"),
    (
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: x\r\nContent-Length: 0\r\n",
        400,
        "not-run",
        "key-invalid",
    ),
    (
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: 00000000000000aa-0-x\r\nContent-Length: 0\r\n",
        409,
        "unknown",
        "key-elsewhere",
    ),
    (
        "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nContent-Length: 99999999\r\n",
        413,
        "not-run",
        "body-too-large",
    ),
];

#[tokio::test(flavor = "multi_thread")]
async fn requests_get_expected_status_outcome_and_reason() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    for (request, status, outcome, reason) in CASES {
        let response = send_raw_request(address, &format!("{request}Connection: close\r\n\r\n")).await;
        assert_eq!(status_of(&response), *status, "{request}\n{response}");
        assert_eq!(header_of(&response, "sniperelay-outcome").unwrap_or(""), *outcome, "{request}");
        assert_eq!(header_of(&response, "sniperelay-reason").unwrap_or(""), *reason, "{request}");
    }
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn smuggled_requests_do_not_reach_a_target() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let target = cluster.targets["rota-board"][0].clone();
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\
                   Connection: close\r\n\r\n0\r\n\r\nGET /rota/smuggled HTTP/1.1\r\nHost: rota-board\r\n\r\n";
    let response = send_raw_request(address, request).await;
    assert!(response.matches("HTTP/1.1").count() <= 1, "{response}");
    assert!(target.control.accepted.load(Ordering::Relaxed) <= 1);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn hop_by_hop_headers_are_removed() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-echo: 1\r\nConnection: close, x-private\r\n\
                   X-Private: 1\r\nX-Public: 2\r\nKeep-Alive: 5\r\nProxy-Authorization: secret\r\nTE: trailers\r\n\r\n";
    let response = send_raw_request(address, request).await;
    let body = response.split("\r\n\r\n").nth(1).unwrap_or("").to_lowercase();
    for removed in ["x-private", "keep-alive", "proxy-authorization", "te: ", "connection: close, x-private"]
    {
        assert!(!body.contains(removed), "{removed} reached the target:\n{body}");
    }
    for kept in
        ["x-public: 2", "via: 1.1 sniperelay", "forwarded: for=127.0.0.1", "sniperelay-deadline-unix-ms"]
    {
        assert!(body.contains(kept), "{kept} is missing:\n{body}");
    }
    assert!(header_of(&response, "via").is_some());
    assert!(header_of(&response, "sniperelay-load").is_none(), "the load report reached the caller");
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_body_is_truncated_for_the_caller() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    cluster.targets["rota-board"][0].control.truncation_permille.store(1000, Ordering::Relaxed);
    for size in [1000, 50_000, 300_000] {
        for length in ["", "standin-length: 1\r\n"] {
            let request = format!(
                "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-id: 7\r\nstandin-size: {size}\r\n{length}\
                 Connection: close\r\n\r\n"
            );
            let response = send_raw_request(address, &request).await;
            assert_eq!(status_of(&response), 200, "the response head precedes the truncated body");
            let announced =
                header_of(&response, "content-length").and_then(|text| text.parse::<usize>().ok());
            assert_eq!(announced, (!length.is_empty()).then_some(size));
            // With chunked encoding the last chunk is missing, with a length some bytes are.
            assert!(!response.ends_with("0\r\n\r\n"), "a truncated body of {size} bytes ended cleanly");
        }
    }
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn expect_100_continue_gets_an_interim_response() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\
                   Connection: close\r\n\r\nabc";
    let response = send_raw_request(address, request).await;
    assert!(response.starts_with("HTTP/1.1 100"), "{response}");
    assert!(response.contains("HTTP/1.1 200"), "{response}");
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn http_2_callers_get_complete_responses_and_detect_truncated_ones() {
    use http_body_util::{BodyExt, Empty};
    use hyper_util::rt::{TokioExecutor, TokioIo};
    let cluster = start_cluster(1, 1).await;
    let stream = tokio::net::TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    // Each row: size of the response body, truncated responses per thousand, whether the response
    // must be complete.
    for (size, truncation_permille, is_complete) in
        [(0, 0, true), (1000, 0, true), (300_000, 0, true), (300_000, 1000, false)]
    {
        cluster.targets["rota-board"][0]
            .control
            .truncation_permille
            .store(truncation_permille, Ordering::Relaxed);
        let request = http::Request::get("http://rota-board/rota/x")
            .header("standin-id", 7)
            .header("standin-size", size)
            .body(Empty::<bytes::Bytes>::new())
            .unwrap();
        let response = sender.clone().send_request(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.map(|body| body.to_bytes().len());
        let got_complete = status == 200 && body.as_ref().is_ok_and(|length| *length == size);
        assert_eq!(got_complete, is_complete, "{size} bytes, {truncation_permille}: {status} {body:?}");
        assert!(is_complete || status != 200 || body.is_err(), "a truncated response ended cleanly");
    }
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn large_request_body_reaches_the_target_complete() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    for size in [1, 65_536, 65_537, 300_000] {
        let content = "b".repeat(size);
        let by_length = format!("Content-Length: {size}\r\n\r\n{content}");
        let by_chunks = format!("Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{content}\r\n0\r\n\r\n");
        for framing in [by_length, by_chunks] {
            let request = format!(
                "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-body-size: 1\r\nConnection: close\r\n{framing}"
            );
            let response = send_raw_request(address, &request).await;
            assert_eq!(status_of(&response), 200, "{size}");
            assert!(response.contains(&format!("received {size} bytes")), "{size}: {response}");
        }
    }
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_do_not_hold_a_slot() {
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 300").await;
    let address = cluster.caller_addresses()[0];
    let target = cluster.targets["rota-board"][0].clone();
    // A request whose body stalls is refused before it is sent to a target.
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nContent-Length: 10\r\n\r\nabc";
    let response = send_raw_request(address, request).await;
    assert_eq!(header_of(&response, "sniperelay-reason"), Some("slow-caller"), "{response}");
    assert_eq!(target.control.accepted.load(Ordering::Relaxed), 0);
    // A caller that does not read its response loses the slot after the caller timeout.
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-size: 30000000\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_until("a target has received the request", || target.control.accepted.load(Ordering::Relaxed) == 1)
        .await;
    let node_state = cluster.entry_vms[0].node_state().clone();
    let in_flight = || {
        node_state.services.load()["rota-board"]
            .dispatcher_handle
            .read(|dispatcher| dispatcher.request_count())
    };
    wait_until("the slot has been released", || in_flight() == 0).await;
    drop(stream);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_closed_and_counted() {
    use sniperelay_core::reason::RefusalReason;
    let cluster = start_limited_cluster(1, 1, "caller-connections = 2").await;
    let address = cluster.caller_addresses()[0];
    let first = TcpStream::connect(address).await.unwrap();
    let second = TcpStream::connect(address).await.unwrap();
    let mut third = TcpStream::connect(address).await.unwrap();
    let mut bytes = Vec::new();
    let _ = third.read_to_end(&mut bytes).await;
    assert!(bytes.is_empty());
    let metrics = &cluster.entry_vms[0].node_state().metrics;
    let refused =
        metrics.rank("-", "-").refusals[RefusalReason::ConnectionLimit.index()].load(Ordering::Relaxed);
    assert_eq!(refused, 1);
    drop((first, second));
    cluster.shut_down();
}

/// The document limits the connections to a target. Idle ones beyond the share of one home are closed.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_respect_the_limit_of_the_document() {
    use sniperelay_node::traffic::pool::MAX_IDLE_PER_TARGET;
    use sniperelay_standin::cluster::{ClusterOptions, ClusterStandin};
    use sniperelay_standin::deployment::cooperative;
    for (connections, expected) in [(250, MAX_IDLE_PER_TARGET as u64), (4, 2)] {
        let mut spec = cooperative();
        spec.entry_vm_count = 1;
        let service = &mut spec.services[0];
        service.target_count = 1;
        let line = format!("connections-per-target = {connections}\n");
        let lines = service.text.lines().filter(|line| !line.starts_with("connections-per-target"));
        service.text = lines.map(|line| format!("{line}\n")).collect();
        service.text = service.text.replacen("[service]\n", &format!("[service]\n{line}"), 1);
        assert_eq!(service.document.home_count, 2);
        let cluster = ClusterStandin::start(spec, ClusterOptions::default()).await.unwrap();
        let address = cluster.caller_addresses()[0];
        let target = cluster.targets["rota-board"][0].clone();
        let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nstandin-micros: 200000\r\n\
                       Connection: close\r\n\r\n";
        let mut calls = tokio::task::JoinSet::new();
        (0..8).for_each(|_| _ = calls.spawn(send_raw_request(address, request)));
        calls.join_all().await;
        let open = || target.control.open_connections.load(Ordering::Relaxed);
        wait_until("connections beyond the limit have been closed", || open() <= expected).await;
        assert!(open() >= expected.min(4), "{} connections were kept of {expected}", open());
        cluster.shut_down();
    }
}
