//! Small clusters and raw HTTP for the tests of the daemon.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use sniperelay_standin::cluster::{ClusterOptions, ClusterStandin};
use sniperelay_standin::deployment::{DeploymentSpec, cooperative};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Far above what any step takes; reaching it means that the condition never comes true.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A cluster of the Cooperative's services with few targets.
pub async fn start_cluster(entry_vms: usize, targets: usize) -> ClusterStandin {
    start_limited_cluster(entry_vms, targets, "").await
}

/// The same with keys of the settings' section `[limits]`.
pub async fn start_limited_cluster(entry_vms: usize, targets: usize, limits: &str) -> ClusterStandin {
    let mut spec: DeploymentSpec = cooperative();
    spec.entry_vm_count = entry_vms;
    spec.services.iter_mut().for_each(|service| service.target_count = targets);
    let options = ClusterOptions {
        lookup_keep: Duration::from_millis(500),
        limits: limits.to_owned(),
        ..ClusterOptions::default()
    };
    ClusterStandin::start(spec, options).await.unwrap()
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "never came true: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends bytes and reads until the peer closes.
pub async fn raw_exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Status code of a raw answer.
pub fn status_of(response: &str) -> u16 {
    response.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// A header of a raw answer.
pub fn header_of<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let head = response.split("\r\n\r\n").next()?;
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}
