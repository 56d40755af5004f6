//! Tests with targets that send bytes that are no response without end, fast or slowly. Memory per
//! connection is bounded, the connection is closed, the caller learns the truth, and the target loses
//! its standing.

mod common;

use common::raw_target::{RawRequest, RawStep, RawTarget, use_raw_targets, valid_response};
use common::{header_of, send_raw_request, start_cluster, start_limited_cluster, status_of, wait_until};
use sniperelay_node::traffic::pool::READ_BUFFER_BYTES;
use sniperelay_standin::cluster::ClusterStandin;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const READ: &str = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n";
/// Bytes that the socket buffers of both ends may take up beyond the bytes that are read.
const SOCKET_BUFFER_BYTES: u64 = 8 * 1024 * 1024;
/// Number of repeated parts that are written at once if there is no pause between them.
const PARTS_PER_WRITE: usize = 100;
const HEAD: &str = "HTTP/1.1 200 OK\r\nSniperelay-Attempt: {attempt}\r\n";

/// A response without end: a first part, and a part that is repeated after each pause.
#[derive(Debug, Clone, Copy)]
struct EndlessResponse {
    first: &'static str,
    repeated: &'static str,
    pause: Duration,
}

const fn endless(first: &'static str, repeated: &'static str, pause_ms: u64) -> EndlessResponse {
    EndlessResponse { first, repeated, pause: Duration::from_millis(pause_ms) }
}

impl EndlessResponse {
    fn steps(self) -> Vec<RawStep> {
        let first = self.first.replace("{head}", HEAD);
        let count = if self.pause.is_zero() { PARTS_PER_WRITE } else { 1 };
        vec![RawStep::Write(first), RawStep::Repeat(self.repeated.repeat(count), self.pause)]
    }
}

/// Heads without end: bytes that are no HTTP, one header, headers, interim responses; and each dripping.
const HEADS: &[EndlessResponse] = &[
    endless("", "\x01garbage without a line end ", 0),
    endless("HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 0),
    endless("HTTP/1.1 200 OK\r\n", "X-Header: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", 0),
    endless("", "HTTP/1.1 103 Early Hints\r\nLink: zzzzzzzzzzzzzzzzzzzzzzzzz\r\n\r\n", 0),
    endless("HTTP/1.1 200 OK\r\nX-Long: ", "x", 20),
    endless("", "HTTP/1.1 100 Continue\r\n\r\n", 20),
];

async fn start_endless_target(response: EndlessResponse) -> Arc<RawTarget> {
    RawTarget::start(move |_| response.steps()).await
}

async fn start_sound_targets() -> [Arc<RawTarget>; 2] {
    let script = |_: &RawRequest| {
        let mut steps = vec![RawStep::Pause(Duration::from_millis(20))];
        steps.extend(valid_response("ok"));
        steps
    };
    [RawTarget::start(script).await, RawTarget::start(script).await]
}

fn is_ejected(cluster: &ClusterStandin, address: SocketAddr) -> bool {
    let services = cluster.entry_vms[0].node_state().services.load();
    services["rota-board"].dispatcher_handle.read(|dispatcher| {
        let targets = dispatcher.targets();
        targets.find(address).and_then(|key| targets.get(key)).is_some_and(|target| target.is_ejected())
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_head_is_bounded_and_its_connection_is_closed() {
    for response in HEADS {
        let cluster = start_cluster(1, 1).await;
        let target = start_endless_target(*response).await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        let answer = send_raw_request(cluster.caller_addresses()[0], READ).await;
        let status = status_of(&answer);
        assert!([502, 504].contains(&status), "{response:?}: {answer}");
        assert_eq!(header_of(&answer, "sniperelay-outcome"), Some("unknown"), "{response:?}: {answer}");
        wait_until("every connection has been closed", || {
            target.closed_by_peer.load(Ordering::Relaxed) >= target.request_count()
        })
        .await;
        cluster.shut_down();
    }
}

/// A head that is no HTTP is given up after at most one read buffer, without waiting for the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn fast_endless_head_is_given_up_after_one_read_buffer() {
    for response in &HEADS[..3] {
        let cluster = start_cluster(1, 1).await;
        let target = start_endless_target(*response).await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        let answer = send_raw_request(cluster.caller_addresses()[0], READ).await;
        assert_eq!(status_of(&answer), 502, "{response:?}: {answer}");
        wait_until("every connection has been closed", || {
            target.closed_by_peer.load(Ordering::Relaxed) >= target.request_count()
        })
        .await;
        let sent = target.repeated_bytes.load(Ordering::Relaxed) / target.request_count() as u64;
        assert!(sent < READ_BUFFER_BYTES as u64 + SOCKET_BUFFER_BYTES, "{response:?}: {sent} bytes");
        cluster.shut_down();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_are_retried_elsewhere_and_the_target_with_endless_heads_is_ejected() {
    let cluster = start_cluster(1, 1).await;
    let broken = start_endless_target(HEADS[0]).await;
    let sound = start_sound_targets().await;
    use_raw_targets(&cluster, "rota-board", &[&broken, &sound[0], &sound[1]]).await;
    let mut served = 0;
    let mut was_ejected = false;
    for _ in 0..60 {
        let answer = send_raw_request(cluster.caller_addresses()[0], READ).await;
        served += usize::from(status_of(&answer) == 200);
        was_ejected |= is_ejected(&cluster, broken.address);
    }
    assert!(was_ejected, "the target was never ejected");
    assert!(served >= 50, "only {served} of 60 reads were served");
    cluster.shut_down();
}

/// A valid head, and a body without end: the caller's response is cut where the limit is reached.
#[tokio::test(flavor = "multi_thread")]
async fn endless_body_is_cut_and_its_target_is_ejected() {
    let chunk = "10\r\n0123456789abcdef\r\n";
    let chunked = "{head}Transfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("chunks", endless(chunked, chunk, 0)),
        ("until the end of the connection", endless("{head}\r\n", chunk, 0)),
        ("a chunk size", endless(chunked, "0", 0)),
        ("dripping", endless(chunked, "1\r\nx\r\n", 20)),
        ("a length that is never reached", endless("{head}Content-Length: 100000\r\n\r\n", "x", 20)),
        ("trailers", endless("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: 1\r\n", 0)),
    ];
    for (name, response) in cases {
        let cluster = start_limited_cluster(1, 1, "response-bytes = 1000000\nresponse-time-ms = 700").await;
        let steps = response.steps();
        let no_probe_response = Some(vec![RawStep::Close]);
        let broken = RawTarget::start_with_probe_steps(no_probe_response, move |_| steps.clone()).await;
        let sound = start_sound_targets().await;
        use_raw_targets(&cluster, "rota-board", &[&broken, &sound[0], &sound[1]]).await;
        let mut was_ejected = false;
        while !was_ejected && broken.request_count() < 20 {
            let address = cluster.caller_addresses()[0];
            let mut calls = tokio::task::JoinSet::new();
            for _ in 0..12 {
                calls.spawn(send_raw_request(address, READ));
            }
            while let Some(answer) = calls.join_next().await {
                let answer = answer.unwrap();
                assert!(!answer.ends_with("\r\n0\r\n\r\n"), "{name}: an endless body ended cleanly");
                assert!(answer.len() < 1_100_000, "{name}: {} bytes", answer.len());
                was_ejected |= is_ejected(&cluster, broken.address);
            }
        }
        assert!(was_ejected, "{name}: the target was not ejected after 20 requests");
        wait_until("every connection has been closed", || {
            broken.closed_by_peer.load(Ordering::Relaxed) >= broken.request_count()
        })
        .await;
        cluster.shut_down();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_announced_as_larger_than_the_limit_is_not_begun() {
    let cluster = start_limited_cluster(1, 1, "response-bytes = 1000").await;
    let target = start_endless_target(endless("{head}Content-Length: 1001\r\n\r\n", "x", 0)).await;
    use_raw_targets(&cluster, "rota-board", &[&target]).await;
    let answer = send_raw_request(cluster.caller_addresses()[0], READ).await;
    assert_eq!(status_of(&answer), 502, "{answer}");
    assert_eq!(header_of(&answer, "sniperelay-outcome"), Some("unknown"));
    cluster.shut_down();
}

/// An ejected target stays ejected while the response to its probe has no end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_response_to_a_probe_is_no_valid_response() {
    let cases = [HEADS[0], HEADS[4], endless("{head}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0)];
    for response in cases {
        let cluster = start_cluster(1, 1).await;
        let target = RawTarget::start_with_probe_steps(Some(response.steps()), |_| {
            vec![RawStep::Write("nothing\r\n\r\n".to_owned()), RawStep::Close]
        })
        .await;
        let sound = start_sound_targets().await;
        use_raw_targets(&cluster, "rota-board", &[&target, &sound[0], &sound[1]]).await;
        let mut requests = 0;
        wait_until_probed(&cluster, &target, &mut requests).await;
        assert!(requests < 10_000);
        cluster.shut_down();
    }
}

/// Sends requests until the target has been probed and has had its probe connections closed.
async fn wait_until_probed(cluster: &ClusterStandin, target: &Arc<RawTarget>, requests: &mut usize) {
    while target.closed_by_peer.load(Ordering::Relaxed) == 0 && *requests < 10_000 {
        send_raw_request(cluster.caller_addresses()[0], READ).await;
        *requests += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
