//! Tests of idle connections: what callers are told about them, how they are closed, and for how long those to
//! targets and to other entry VMs are reused.

mod common;

use common::raw_target::{RawStep, RawTarget, use_raw_targets};
use common::{
    TIMEOUT, header_of, send_raw_request, start_cluster, start_limited_cluster, status_of, wait_until,
};
use http_body_util::BodyExt;
use sniperelay_node::traffic::attempt::{AttemptDeadline, AttemptResult, run_attempt};
use sniperelay_node::traffic::body::full_body;
use sniperelay_node::traffic::pool::TargetPool;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ: &str = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\n\r\n";

/// Sends a request and reads the head of the response. The responses of these tests fit into one segment.
async fn exchange(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; 64 * 1024];
    let mut length = 0;
    while !String::from_utf8_lossy(&response[..length]).contains("\r\n\r\n") {
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut response[length..])).await;
        match read.expect("no response").unwrap() {
            0 => break,
            count => length += count,
        }
    }
    String::from_utf8_lossy(&response[..length]).into_owned()
}

async fn connect_and_use(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    assert_eq!(status_of(&exchange(&mut stream, READ).await), 200);
    stream
}

/// Guards against callers that send on a connection which is about to be closed: each response states for how
/// long the connection may stay idle, and it stays open for longer than that.
#[tokio::test(flavor = "multi_thread")]
async fn responses_state_a_shorter_idle_time_than_the_timeout() {
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 2500").await;
    let lookup = "GET /.sniperelay/lookup?service=rota-board HTTP/1.1\r\nHost: x\r\n\r\n";
    let refused = "GET /none HTTP/1.1\r\nHost: rota-board\r\n\r\n";
    for (request, status) in [(lookup, 200), (refused, 404), (READ, 200)] {
        let mut stream = TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
        let response = exchange(&mut stream, request).await;
        assert_eq!(status_of(&response), status, "{response}");
        assert_eq!(header_of(&response, "keep-alive"), Some("timeout=2"), "{response}");
        tokio::time::sleep(Duration::from_millis(2100)).await;
        let second = exchange(&mut stream, request).await;
        assert_eq!(status_of(&second), status, "closed within the stated time");
    }
    cluster.shut_down();
}

/// The idle time that a target states is that of another connection.
#[tokio::test(flavor = "multi_thread")]
async fn idle_time_stated_by_a_target_does_not_reach_the_caller() {
    let cluster = start_cluster(1, 1).await;
    let target = start_stating_target("Keep-Alive: timeout=77\r\n").await;
    use_raw_targets(&cluster, "rota-board", &[&target]).await;
    let mut stream = TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
    let response = exchange(&mut stream, READ).await.to_lowercase();
    assert_eq!(header_of(&response, "keep-alive"), Some("timeout=8"), "{response}");
    assert_eq!(response.matches("keep-alive").count(), 1, "{response}");
    cluster.shut_down();
}

/// Guards against an idle time where it does not apply: no whole number of seconds is below the timeout, the
/// connection is closed after the response, or it is one of HTTP/2.
#[tokio::test(flavor = "multi_thread")]
async fn responses_state_no_idle_time_where_none_applies() {
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 1200").await;
    let mut stream = TcpStream::connect(cluster.caller_addresses()[0]).await.unwrap();
    let response = exchange(&mut stream, READ).await;
    assert_eq!((status_of(&response), header_of(&response, "keep-alive")), (200, None), "{response}");
    cluster.shut_down();

    let cluster = start_limited_cluster(1, 1, "body-bytes = 10").await;
    let address = cluster.caller_addresses()[0];
    let closing = READ.replace("Host", "Connection: x-other, Close\r\nHost");
    let too_large = READ.replace("\r\n\r\n", "\r\nContent-Length: 11\r\n\r\n");
    let too_old = READ.replace("HTTP/1.1", "HTTP/1.0");
    for (request, status) in [(closing, 200), (too_large, 413), (too_old, 400)] {
        let response = send_raw_request(address, &request).await;
        assert_eq!((status_of(&response), header_of(&response, "keep-alive")), (status, None), "{response}");
    }
    assert_eq!(header_of_http_2_response(address, "keep-alive").await, None);
    cluster.shut_down();
}

async fn header_of_http_2_response(address: SocketAddr, name: &str) -> Option<http::HeaderValue> {
    use hyper_util::rt::{TokioExecutor, TokioIo};
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::get("http://rota-board/rota/x").body(full_body("")).unwrap();
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    response.headers().get(name).cloned()
}

/// A response that began before a planned stop and is sent during it closes its connection.
#[tokio::test(flavor = "multi_thread")]
async fn response_in_flight_when_a_planned_stop_begins_states_no_idle_time() {
    let mut cluster = start_cluster(1, 1).await;
    let entry_vm = cluster.entry_vms.remove(0);
    let mut stream = TcpStream::connect(entry_vm.caller_address()).await.unwrap();
    let target = cluster.targets["rota-board"][0].clone();
    let slow = READ.replace("Host", "standin-micros: 400000\r\nHost");
    let response = tokio::spawn(async move { exchange(&mut stream, &slow).await });
    wait_until("a target has received the request", || target.control.accepted.load(Ordering::Relaxed) == 1)
        .await;
    let stop = tokio::spawn(entry_vm.stop());
    let response = response.await.unwrap();
    assert_eq!((status_of(&response), header_of(&response, "keep-alive")), (200, None), "{response}");
    assert_eq!(header_of(&response, "connection"), Some("close"), "{response}");
    assert!(stop.await.unwrap().unwrap(), "the stop interrupted connections");
    cluster.shut_down();
}

/// Sends a request as a caller does that has not yet learned of the close, and asserts that the connection is
/// reset without the request having been read.
async fn assert_not_read(stream: TcpStream) {
    let peer_ends = async {
        let mut byte = [0; 1];
        while stream.peek(&mut byte).await.is_ok_and(|count| count > 0) {
            let _ = stream.try_read(&mut byte);
        }
    };
    tokio::time::timeout(TIMEOUT, peer_ends).await.expect("the connection was not closed");
    let mut stream = stream.into_std().unwrap();
    assert_eq!(stream.write(READ.as_bytes()).unwrap(), READ.len());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(stream.take_error().unwrap().is_some(), "the request was read, although it gets no response");
}

/// Guards against requests that are read and discarded when they cross the close of an idle connection: callers
/// repeat a non-idempotent request only if it was not read.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crosses_an_idle_close_is_not_read() {
    let cluster = start_limited_cluster(1, 1, "caller-patience-ms = 300").await;
    let stream = connect_and_use(cluster.caller_addresses()[0]).await;
    assert_not_read(stream).await;
    assert_eq!(cluster.targets["rota-board"][0].control.accepted.load(Ordering::Relaxed), 1);
    cluster.shut_down();
}

/// Guards against the same loss at the end of a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crosses_the_end_of_a_planned_stop_is_not_read() {
    let mut cluster = start_cluster(1, 1).await;
    let entry_vm = cluster.entry_vms.remove(0);
    let stream = connect_and_use(entry_vm.caller_address()).await;
    let stop = tokio::spawn(entry_vm.stop());
    assert_not_read(stream).await;
    assert!(stop.await.unwrap().unwrap(), "the stop interrupted connections");
    assert_eq!(cluster.targets["rota-board"][0].control.accepted.load(Ordering::Relaxed), 1);
    cluster.shut_down();
}

/// Starts a target whose responses carry these header lines.
async fn start_stating_target(lines: &'static str) -> std::sync::Arc<RawTarget> {
    let text =
        format!("HTTP/1.1 200 OK\r\nSniperelay-Attempt: {{attempt}}\r\n{lines}Content-Length: 2\r\n\r\nok");
    RawTarget::start(move |_| vec![RawStep::Write(text.clone())]).await
}

/// Each row: what the target states, and the number of connections for two requests with a pause of 0.8 s.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_not_reused_after_the_idle_time_that_its_target_states() {
    for (lines, connections) in
        [("Keep-Alive: timeout=1\r\n", 2), ("Keep-Alive: timeout=30, max=9\r\n", 1), ("", 1)]
    {
        let cluster = start_cluster(1, 1).await;
        let target = start_stating_target(lines).await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        let mut stream = connect_and_use(cluster.caller_addresses()[0]).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(status_of(&exchange(&mut stream, READ).await), 200);
        assert_eq!(target.connections.load(Ordering::Relaxed), connections, "{lines:?}");
        cluster.shut_down();
    }
}

/// A claim is sent only on a connection that was used shortly before. An older one may be about to be closed.
#[tokio::test(flavor = "multi_thread")]
async fn claims_do_not_reuse_connections_that_were_idle_for_long() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let target = start_stating_target("").await;
    use_raw_targets(&cluster, "claim-desk", &[&target]).await;
    let lookup =
        "GET /.sniperelay/lookup?service=claim-desk HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let lookup = send_raw_request(address, lookup).await;
    let ticket = lookup.split("\"ticket\":\"").nth(1).and_then(|text| text.split('"').next()).unwrap();
    for index in 0..2 {
        let claim = format!(
            "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {ticket}-{index}\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        assert_eq!(status_of(&send_raw_request(address, &claim).await), 200);
        tokio::time::sleep(Duration::from_millis(1100)).await;
    }
    assert_eq!(target.connections.load(Ordering::Relaxed), 2);
    cluster.shut_down();
}

/// Only claims are forwarded to other entry VMs. Each row: what the entry VM states, the pause between two
/// requests, and the number of connections for them.
#[tokio::test]
async fn connection_to_an_entry_vm_is_reused_only_within_the_idle_time_that_it_states() {
    for (lines, pause_millis, connections) in [
        ("Keep-Alive: timeout=8\r\n", 50, 1),
        ("Keep-Alive: timeout=1\r\n", 800, 2),
        ("Keep-Alive: timeout=8\r\n", 1100, 2),
        ("", 50, 2),
    ] {
        let peer = start_stating_target(lines).await;
        let pool = TargetPool::default();
        for _ in 0..2 {
            let request =
                http::Request::post("/claims").header("host", "claim-desk").body(full_body("")).unwrap();
            let deadline = AttemptDeadline::at(Instant::now() + TIMEOUT);
            let attempt = run_attempt(pool.clone(), peer.address, request, deadline, None, None).await;
            let AttemptResult::Responded { response, connection, .. } = attempt else {
                panic!("no response: {attempt:?}")
            };
            response.into_body().collect().await.unwrap();
            connection.return_to_pool();
            tokio::time::sleep(Duration::from_millis(pause_millis)).await;
        }
        assert_eq!(peer.connections.load(Ordering::Relaxed), connections, "{lines:?}, {pause_millis} ms");
    }
}
