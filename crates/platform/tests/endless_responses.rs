//! Tests of calls to a store, or to an entry VM that reads the store for others, that responds without end.

use sniperelay_platform::api::{MAX_RESPONSE_BYTES, PlatformApi};
use sniperelay_platform::{HttpPlatform, PlatformError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Bytes that the socket buffers of both ends may take up beyond the bytes that are read.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug, Default)]
struct EndlessServer {
    sent_bytes: AtomicUsize,
    closed_connections: AtomicUsize,
}

/// Starts a server that sends `first`, and then `repeated` again and again with this pause in between.
async fn start_server(
    first: &'static str,
    repeated: String,
    pause: Duration,
) -> (SocketAddr, Arc<EndlessServer>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(EndlessServer::default());
    let state = server.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let mut is_open = matches!(stream.read(&mut request).await, Ok(count) if count > 0)
                && stream.write_all(first.as_bytes()).await.is_ok();
            while is_open {
                is_open = stream.write_all(repeated.as_bytes()).await.is_ok();
                state.sent_bytes.fetch_add(repeated.len(), Ordering::Relaxed);
                tokio::time::sleep(pause).await;
            }
            state.closed_connections.fetch_add(1, Ordering::Relaxed);
        }
    });
    (address, server)
}

#[tokio::test(flavor = "multi_thread")]
async fn call_with_an_endless_response_ends_without_one() {
    let (fast, slow) = (Duration::ZERO, Duration::from_millis(20));
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let items = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"revision\":1,\"items\":[";
    let chunk = format!("10000\r\n{}\r\n", " ".repeat(0x10000));
    // Each row: first part, repeated part, pause, maximum number of bytes read.
    let rows = [
        ("", "\x01garbage ".repeat(10_000), fast, 1024 * 1024),
        ("HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(100_000), fast, 1024 * 1024),
        (chunked, chunk, fast, MAX_RESPONSE_BYTES),
        ("HTTP/1.1 200 OK\r\nX-Long: ", "x".to_owned(), slow, 1024 * 1024),
        (items, " ".to_owned(), slow, 1024 * 1024),
    ];
    for (first, repeated, pause, max_read) in rows {
        let (address, server) = start_server(first, repeated, pause).await;
        let platform = HttpPlatform::new(address, 100);
        let result = tokio::time::timeout(Duration::from_secs(20), platform.list("vms/")).await;
        let result = result.expect("the call did not end");
        assert!(matches!(result, Err(PlatformError::NoResponse(_))), "{first:?}: {result:?}");
        while server.closed_connections.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let sent = server.sent_bytes.load(Ordering::Relaxed);
        assert!(sent < max_read + SOCKET_BUFFER_BYTES, "{first:?}: {sent} bytes were sent");
    }
}
