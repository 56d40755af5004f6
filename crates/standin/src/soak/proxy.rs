//! Loopback proxy that injects faults.

use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Any port of this address. Connections do not originate from it, so none of them takes the port while the proxy
/// refuses connections.
const ANY_ADDRESS: &str = "127.0.0.2:0";

/// How the proxy handles connections and their bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    PassThrough,
    /// Forwards each chunk of bytes after a delay.
    Delay(Duration),
    /// Closes all open connections, and new ones immediately.
    Reset,
    /// Refuses new connections; open ones live on.
    RefuseNew,
    /// Keeps connections open and holds all bytes back.
    Stall,
    /// Forwards requests and holds responses back.
    HoldResponses,
}

/// A running proxy.
#[derive(Debug)]
pub struct SoakProxy {
    address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
}

impl SoakProxy {
    /// Starts a proxy in front of `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(server: SocketAddr) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(ANY_ADDRESS).await?;
        let (mode, mode_receiver) = watch::channel(ProxyMode::PassThrough);
        let proxy = Arc::new(Self { address: listener.local_addr()?, mode });
        tokio::spawn(accept_connections(listener, proxy.address, server, mode_receiver));
        Ok(proxy)
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, for open connections as well.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections until the process ends. Without a listener, the system refuses new connections.
async fn accept_connections(
    mut listener: TcpListener,
    address: SocketAddr,
    server: SocketAddr,
    mode: watch::Receiver<ProxyMode>,
) {
    let mut changes = mode.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            changed = changes.changed() => match changed {
                Ok(()) => None,
                Err(_) => return,
            },
        };
        match accepted {
            Some(Ok((client, _))) => {
                tokio::spawn(forward_connection(client, server, mode.clone()));
                continue;
            }
            Some(Err(error)) => return log::error!("proxy {address} cannot accept: {error}"),
            None if *changes.borrow_and_update() != ProxyMode::RefuseNew => continue,
            None => drop(listener),
        }
        if changes.wait_for(|mode| *mode != ProxyMode::RefuseNew).await.is_err() {
            return;
        }
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(error) => return log::error!("proxy {address} cannot come back: {error}"),
        };
    }
}

/// Forwards one connection in both directions until one side closes it or the mode becomes
/// [`ProxyMode::Reset`].
async fn forward_connection(client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else { return };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    tokio::select! {
        () = copy_bytes(from_client, to_server, mode.clone(), false) => {}
        () = copy_bytes(from_server, to_client, mode.clone(), true) => {}
        _ = mode.wait_for(|mode| *mode == ProxyMode::Reset) => {}
    }
}

/// Copies bytes in one direction as the mode specifies, until an error or the end of the stream.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    is_response: bool,
) {
    let mut buffer = [0; 8192];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count == 0 {
            return;
        }
        let is_blocked = |mode: &ProxyMode| {
            *mode == ProxyMode::Stall || (*mode == ProxyMode::HoldResponses && is_response)
        };
        if mode.wait_for(|mode| !is_blocked(mode)).await.is_err() {
            return;
        }
        let delay = match *mode.borrow() {
            ProxyMode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
