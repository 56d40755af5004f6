//! Tests that a planned stop cuts off no request that has just been sent.

mod common;

use common::{ScriptedAction, TestEnv, request, sealed_response, status};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

async fn start() -> TestEnv {
    TestEnv::start(vec![vec![ScriptedAction::Respond(sealed_response("ok"))]]).await
}

fn connect(env: &TestEnv) -> TcpStream {
    let stream = TcpStream::connect(env.relay.state().own_record().caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// Reads until the connection is closed, on a thread of its own.
async fn read_to_end(mut stream: TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut response = Vec::new();
        // A reset after the response is no fault; a missing response is found by the test.
        drop(stream.read_to_end(&mut response));
        String::from_utf8_lossy(&response).into_owned()
    });
    read.await.unwrap()
}

/// The runtime of this test has one thread, so that nothing is accepted or read between the steps. Every
/// connection has been accepted by the kernel when the last phase of the stop begins.
#[tokio::test]
async fn requests_sent_just_before_connections_are_closed_get_responses() {
    let env = start().await;
    let mut streams = Vec::new();
    for index in 0..8 {
        let mut stream = connect(&env);
        stream.write_all(request("GET", "/read/1", &format!("first-{index}"), "").as_bytes()).unwrap();
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (index, stream) in streams.iter_mut().enumerate() {
        let mut response = [0; 4096];
        let count = stream.read(&mut response).unwrap();
        assert!(response[..count].starts_with(b"HTTP/1.1 200"));
        stream.write_all(request("POST", "/claim/1", &format!("next-{index}"), "x").as_bytes()).unwrap();
    }
    for index in 0..16 {
        let mut stream = connect(&env);
        stream.write_all(request("POST", "/claim/1", &format!("new-{index}"), "x").as_bytes()).unwrap();
        streams.push(stream);
    }
    let shutdown = env.relay.begin_shutdown().start_refusing();
    let stop = tokio::spawn(shutdown.drain_connections());
    let readers: Vec<_> = streams.into_iter().map(|stream| tokio::spawn(read_to_end(stream))).collect();
    let mut unanswered = 0;
    for reader in readers {
        let response = reader.await.unwrap();
        unanswered += usize::from(response.is_empty() || status(&response) != 503);
    }
    assert_eq!(unanswered, 0, "of 24 requests");
    assert!(stop.await.unwrap(), "not all connections ended in time");
}

/// A caller that has just connected sends its request a moment later.
#[tokio::test]
async fn request_on_a_connection_opened_just_before_the_close_gets_a_response() {
    let env = start().await;
    let mut stream = connect(&env);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let state = env.relay.state().clone();
    let shutdown = env.relay.begin_shutdown().start_refusing();
    let stop = tokio::spawn(shutdown.drain_connections());
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(request("POST", "/claim/1", "a", "x").as_bytes()).unwrap();
    let response = read_to_end(stream).await;
    assert_eq!(status(&response), 503, "{response:?}");
    assert!(stop.await.unwrap(), "not all connections ended in time");
    assert_eq!(state.connections.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn idle_connections_end_with_the_stop() {
    let env = start().await;
    let streams = [connect(&env), connect(&env)];
    tokio::time::sleep(Duration::from_millis(50)).await;
    let shutdown = env.relay.begin_shutdown().start_refusing();
    let stop = tokio::spawn(shutdown.drain_connections());
    for stream in streams {
        assert_eq!(read_to_end(stream).await, "");
    }
    assert!(stop.await.unwrap(), "idle connections delayed the stop");
}
