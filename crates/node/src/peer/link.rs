//! Connections to other entry VMs, and sending and receiving of messages.
//!
//! Small messages are sent as datagrams, each larger one on its own stream. A connection is
//! established on demand and carries messages in both directions. Until it is open, a bounded number
//! of messages is queued for it.

use crate::metrics::ProcessCounters;
use crate::peer::tls::{PEER_NAME, PeerConfigs};
use anyhow::{Context, Result};
use quinn::{Connection, Endpoint, EndpointConfig};
use sniperelay_wire::{MAX_MESSAGE_BYTES, PeerMessage, decode, encode};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;

/// Maximum number of messages queued for a connection that is being established.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Timeout for receiving a message on a stream. Messages of [`MAX_MESSAGE_BYTES`] take well under a second
/// between regions.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a message that is sent as a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1100;

#[derive(Debug)]
enum LinkState {
    Connecting(Vec<Vec<u8>>),
    Open(Connection),
}

#[derive(Debug, Default)]
struct LinkTable {
    links: HashMap<SocketAddr, LinkState>,
    /// Addresses to which nothing is sent and whose messages are dropped, for fault tests.
    blocked: HashSet<SocketAddr>,
}

/// Sends messages to other entry VMs and delivers received messages to an inbox.
#[derive(Debug, Clone)]
pub struct PeerLink {
    endpoint: Endpoint,
    table: Arc<Mutex<LinkTable>>,
    inbox: Sender<PeerMessage>,
    counters: Arc<ProcessCounters>,
    /// Number of times that the certificates and keys have been replaced. A connection that was
    /// authenticated with an earlier version is closed.
    config_version: Arc<watch::Sender<u64>>,
}

impl PeerLink {
    /// Starts to accept connections from peers on a bound socket, on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be used.
    pub fn start(
        socket: UdpSocket,
        configs: PeerConfigs,
        inbox: Sender<PeerMessage>,
        counters: Arc<ProcessCounters>,
    ) -> Result<Self> {
        let runtime = Arc::new(quinn::TokioRuntime);
        let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(configs.server), socket, runtime)
            .context("cannot use the peer socket")?;
        endpoint.set_default_client_config(configs.client);
        let config_version = Arc::new(watch::Sender::new(0));
        let link = Self { endpoint, table: Arc::default(), inbox, counters, config_version };
        tokio::spawn(link.clone().accept_peers());
        Ok(link)
    }

    /// Returns the address to which the socket is bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has been closed.
    pub fn local_address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Replaces the certificates and keys, and closes the open connections, so that peers whose
    /// certificates are no longer accepted cannot use them any more. The others reconnect on demand.
    pub fn replace_configs(&mut self, configs: PeerConfigs) {
        self.endpoint.set_server_config(Some(configs.server));
        self.endpoint.set_default_client_config(configs.client);
        self.config_version.send_modify(|version| *version += 1);
    }

    /// Blocks the links to these addresses and unblocks all others.
    pub fn block(&self, addresses: HashSet<SocketAddr>) {
        self.lock().blocked = addresses;
    }

    /// Returns the number of bytes in the UDP datagrams that the open connections have sent.
    pub fn wire_bytes(&self) -> u64 {
        let table = self.lock();
        let open = table.links.values().filter_map(|link| match link {
            LinkState::Open(connection) => Some(connection.stats().udp_tx.bytes),
            LinkState::Connecting(_) => None,
        });
        open.sum()
    }

    /// Sends a message, after connecting if necessary. Lost messages are counted, but not returned as
    /// errors.
    pub fn send(&self, address: SocketAddr, message: &PeerMessage) {
        match encode(message) {
            Ok(bytes) => self.send_bytes(address, bytes),
            Err(error) => {
                log::error!("cannot encode a message to a peer: {error}");
                self.count(&self.counters.peer_messages_lost, 1);
            }
        }
    }

    /// Closes all connections, and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopping");
        self.endpoint.wait_idle().await;
    }

    fn send_bytes(&self, address: SocketAddr, bytes: Vec<u8>) {
        let mut table = self.lock();
        if table.blocked.contains(&address) {
            return;
        }
        if let Some(LinkState::Open(connection)) = table.links.get(&address) {
            if connection.close_reason().is_none() {
                self.send_on(&connection.clone(), bytes);
                return;
            }
            table.links.remove(&address);
        }
        match table.links.get_mut(&address) {
            Some(LinkState::Connecting(queued)) if queued.len() < MAX_QUEUED_MESSAGES => queued.push(bytes),
            Some(_) => self.count(&self.counters.peer_messages_lost, 1),
            None => {
                table.links.insert(address, LinkState::Connecting(vec![bytes]));
                tokio::spawn(self.clone().connect(address));
            }
        }
    }

    fn send_on(&self, connection: &Connection, bytes: Vec<u8>) {
        self.count(&self.counters.peer_messages_sent, 1);
        self.count(&self.counters.peer_bytes_sent, bytes.len() as u64);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            if connection.send_datagram(bytes.into()).is_err() {
                self.count(&self.counters.peer_messages_lost, 1);
            }
            return;
        }
        let link = self.clone();
        let connection = connection.clone();
        tokio::spawn(async move {
            if send_stream(&connection, &bytes).await.is_err() {
                link.count(&link.counters.peer_messages_lost, 1);
            }
        });
    }

    async fn connect(self, address: SocketAddr) {
        let config_version = self.config_version.subscribe();
        let connecting = self.endpoint.connect(address, PEER_NAME);
        let connected = match connecting {
            Ok(connecting) => connecting.await.map_err(anyhow::Error::from),
            Err(error) => Err(error.into()),
        };
        match connected {
            Ok(connection) => {
                self.register_connection(address, connection.clone());
                self.receive(address, connection, config_version).await;
            }
            Err(error) => self.handle_connect_failure(address, &error),
        }
    }

    fn handle_connect_failure(&self, address: SocketAddr, error: &anyhow::Error) {
        log::debug!("cannot connect to peer {address}: {error}");
        let removed = self.lock().links.remove(&address);
        if let Some(LinkState::Connecting(queued)) = removed {
            self.count(&self.counters.peer_messages_lost, queued.len() as u64);
        }
        if is_tls_error(error) {
            self.count(&self.counters.peers_refused, 1);
        }
    }

    /// Uses `connection` for all further messages to `address`, and sends the queued messages.
    fn register_connection(&self, address: SocketAddr, connection: Connection) {
        let previous = self.lock().links.insert(address, LinkState::Open(connection.clone()));
        if let Some(LinkState::Connecting(queued)) = previous {
            queued.into_iter().for_each(|bytes| self.send_on(&connection, bytes));
        }
    }

    async fn accept_peers(self) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            let config_version = self.config_version.subscribe();
            tokio::spawn(async move {
                let address = incoming.remote_address();
                match incoming.await {
                    Ok(connection) => {
                        link.register_connection(address, connection.clone());
                        link.receive(address, connection, config_version).await;
                    }
                    Err(error) => {
                        log::warn!("refused connection from peer {address}: {error}");
                        link.count(&link.counters.peers_refused, 1);
                    }
                }
            });
        }
    }

    async fn receive(
        &self,
        address: SocketAddr,
        connection: Connection,
        mut config_version: watch::Receiver<u64>,
    ) {
        loop {
            let bytes = tokio::select! {
                Ok(()) = config_version.changed() => {
                    connection.close(0u32.into(), b"certificates replaced");
                    return;
                }
                datagram = connection.read_datagram() => datagram.map(|bytes| bytes.to_vec()),
                stream = connection.accept_uni() => match stream {
                    Ok(stream) => {
                        tokio::spawn(self.clone().receive_stream(address, stream));
                        continue;
                    }
                    Err(error) => Err(error),
                },
            };
            match bytes {
                Ok(bytes) => self.handle_message(address, &bytes),
                Err(_) => return,
            }
        }
    }

    async fn receive_stream(self, address: SocketAddr, mut stream: quinn::RecvStream) {
        match tokio::time::timeout(STREAM_TIMEOUT, stream.read_to_end(MAX_MESSAGE_BYTES)).await {
            Ok(Ok(bytes)) => self.handle_message(address, &bytes),
            result => {
                log::warn!("message from peer {address} not received completely: {result:?}");
                self.count(&self.counters.peer_messages_lost, 1);
            }
        }
    }

    fn handle_message(&self, address: SocketAddr, bytes: &[u8]) {
        if self.lock().blocked.contains(&address) {
            return;
        }
        self.count(&self.counters.peer_messages_received, 1);
        self.count(&self.counters.peer_bytes_received, bytes.len() as u64);
        match decode(bytes) {
            Ok(message) => {
                if self.inbox.try_send(message).is_err() {
                    self.count(&self.counters.peer_messages_lost, 1);
                }
            }
            Err(error) => {
                log::warn!("cannot decode a message from peer {address}: {error}");
                self.count(&self.counters.peer_messages_lost, 1);
            }
        }
    }

    fn count(&self, counter: &AtomicU64, amount: u64) {
        counter.fetch_add(amount, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, LinkTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_stream(connection: &Connection, bytes: &[u8]) -> Result<()> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    stream.finish()?;
    stream.stopped().await?;
    Ok(())
}

/// Returns whether a connection failed with a TLS alert. QUIC reports alerts as crypto errors, with
/// codes from 0x100 to 0x1ff (RFC 9001, section 4.8).
fn is_tls_error(error: &anyhow::Error) -> bool {
    let is_crypto = |code: quinn::TransportErrorCode| (0x100..0x200).contains(&u64::from(code));
    match error.downcast_ref::<quinn::ConnectionError>() {
        Some(quinn::ConnectionError::TransportError(error)) => is_crypto(error.code),
        Some(quinn::ConnectionError::ConnectionClosed(close)) => is_crypto(close.error_code),
        _ => false,
    }
}
