//! Tests that a planned stop cuts off no request that has just been sent.

mod common;

use common::raw_target::{RawRequest, RawStep, RawTarget, use_raw_targets, valid_response};
use common::{start_cluster, start_cluster_with, status_of, wait_until};
use sniperelay_node::traffic::caller_connection::serve_callers;
use sniperelay_standin::cluster::ClusterStandin;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const READ: &[u8] = b"GET /rota/x HTTP/1.1\r\nHost: rota-board\r\n\r\n";
/// A request whose deadline is far beyond the drain limit of the test.
const DOWNLOAD: &[u8] = b"GET /ledger/x HTTP/1.1\r\nHost: ledger-vault\r\n\r\n";

/// Reads until the connection is closed, on a thread of its own.
async fn read_to_end(mut stream: TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut response = Vec::new();
        // A reset after the response is no fault; a missing response is found below.
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    });
    read.await.unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// Serves callers on the runtime of the test. Returns the address, what begins the stop, and the task, which
/// returns whether all connections ended in time.
async fn start_server(cluster: &ClusterStandin) -> (SocketAddr, watch::Sender<bool>, JoinHandle<bool>) {
    let node_state = cluster.entry_vms[0].node_state().clone();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (drain_sender, drain) = watch::channel(false);
    (address, drain_sender, tokio::spawn(serve_callers(node_state, listener, drain)))
}

/// The runtime of this test has one thread, so that nothing is accepted or read between the steps. Every
/// connection has been accepted by the kernel when the stop begins.
#[tokio::test]
async fn requests_sent_just_before_the_stop_get_their_responses() {
    let cluster = start_cluster(1, 2).await;
    let (address, drain_sender, server) = start_server(&cluster).await;
    // Connections that have carried a request, and are idle when the next one arrives.
    let mut streams = Vec::new();
    for _ in 0..8 {
        let mut stream = connect(address);
        stream.write_all(READ).unwrap();
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for stream in &mut streams {
        let mut response = [0; 4096];
        let count = stream.read(&mut response).unwrap();
        assert!(response[..count].starts_with(b"HTTP/1.1 200"));
        stream.write_all(READ).unwrap();
    }
    // Connections that wait to be accepted.
    for _ in 0..16 {
        let mut stream = connect(address);
        stream.write_all(READ).unwrap();
        streams.push(stream);
    }
    drain_sender.send_replace(true);
    let mut unanswered = 0;
    let readers: Vec<_> = streams.into_iter().map(|stream| tokio::spawn(read_to_end(stream))).collect();
    for reader in readers {
        let response = reader.await.unwrap();
        unanswered += usize::from(status_of(&response) != 200);
    }
    assert_eq!(unanswered, 0, "of 24 requests");
    assert!(server.await.unwrap(), "not all connections ended in time");
    cluster.shut_down();
}

/// A caller that has just connected sends its request a moment later.
#[tokio::test]
async fn request_on_a_connection_opened_just_before_the_stop_gets_its_response() {
    let cluster = start_cluster(1, 1).await;
    let (address, drain_sender, server) = start_server(&cluster).await;
    let mut stream = connect(address);
    tokio::time::sleep(Duration::from_millis(50)).await;
    drain_sender.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(READ).unwrap();
    let response = read_to_end(stream).await;
    assert_eq!(status_of(&response), 200, "{response:?}");
    assert!(server.await.unwrap(), "not all connections ended in time");
    cluster.shut_down();
}

/// A connection without a request does not delay the end of the stop for long.
#[tokio::test]
async fn idle_connections_end_with_the_stop() {
    let cluster = start_cluster(1, 1).await;
    let (address, drain_sender, server) = start_server(&cluster).await;
    let streams = [connect(address), connect(address)];
    tokio::time::sleep(Duration::from_millis(50)).await;
    drain_sender.send_replace(true);
    let ended = tokio::time::timeout(Duration::from_secs(5), server).await;
    assert!(ended.expect("idle connections delayed the stop").unwrap());
    drop(streams);
    cluster.shut_down();
}

/// Guards against a stop that ends while requests wait for a slot: they got no answer, although 503 would have been
/// true. What a target works on is waited for.
#[tokio::test]
async fn requests_that_wait_for_a_slot_are_refused_before_the_drain_limit() {
    let cluster = start_cluster_with(1, 1, |options| options.drain_limit = Duration::from_secs(2)).await;
    let hold = |_: &RawRequest| vec![RawStep::Pause(Duration::from_millis(800))];
    let target = RawTarget::start(move |request| [hold(request), valid_response("ok")].concat()).await;
    use_raw_targets(&cluster, "ledger-vault", &[&target]).await;
    let (address, drain_sender, server) = start_server(&cluster).await;
    let send = |_| {
        let mut stream = connect(address);
        stream.write_all(DOWNLOAD).unwrap();
        tokio::spawn(read_to_end(stream))
    };
    let readers: Vec<_> = (0..16).map(send).collect();
    wait_until("a request is at the target", || target.request_count() > 0).await;
    drain_sender.send_replace(true);
    let mut counts = BTreeMap::new();
    for reader in readers {
        let response = reader.await.unwrap();
        let status = if response.is_empty() { 0 } else { status_of(&response) };
        *counts.entry(status).or_insert(0) += 1;
    }
    assert!(server.await.unwrap(), "not all connections ended in time: {counts:?}");
    assert!(counts.keys().all(|status| [200, 503].contains(status)), "{counts:?}");
    assert!(counts.contains_key(&200), "{counts:?}");
    cluster.shut_down();
}
