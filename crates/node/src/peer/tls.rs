//! Certificates and keys with which entry VMs authenticate each other.
//!
//! All certificates of a deployment carry the name [`PEER_NAME`] and are signed by its certificate
//! authority. The files are read again on SIGHUP or at an operator's request, so that keys can be
//! replaced without a restart.

use anyhow::{Context, Result};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use sniperelay_config::settings::PeerSettings;
use std::sync::Arc;
use std::time::Duration;

/// Server name in the certificates of all entry VMs.
pub const PEER_NAME: &str = "sniperelay";

const ALPN_PROTOCOL: &[u8] = b"sniperelay/1";
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of streams that a peer may have open at once.
const MAX_CONCURRENT_STREAMS: u32 = 64;
/// Size of the datagram buffer in each direction.
const DATAGRAM_BUFFER_BYTES: usize = 256 * 1024;

/// QUIC configurations for both directions.
#[derive(Debug, Clone)]
pub struct PeerConfigs {
    /// Configuration for connections from peers.
    pub server: quinn::ServerConfig,
    /// Configuration for connections to peers.
    pub client: quinn::ClientConfig,
}

/// Reads the certificates and the key, and creates both configurations.
///
/// # Errors
///
/// Returns an error that names the file if a file cannot be read or is malformed.
pub fn load_configs(settings: &PeerSettings) -> Result<PeerConfigs> {
    let roots = Arc::new(load_roots(settings)?);
    let chain = load_chain(settings)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .with_context(|| format!("cannot read the key in {}", settings.key_file.display()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    let transport = Arc::new(make_transport()?);
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok(PeerConfigs { server, client })
}

fn load_roots(settings: &PeerSettings) -> Result<RootCertStore> {
    let path = settings.ca_file.display();
    let mut roots = RootCertStore::empty();
    for certificate in
        CertificateDer::pem_file_iter(&settings.ca_file).with_context(|| format!("cannot read {path}"))?
    {
        roots.add(certificate.with_context(|| format!("malformed certificate in {path}"))?)?;
    }
    Ok(roots)
}

fn load_chain(settings: &PeerSettings) -> Result<Vec<CertificateDer<'static>>> {
    let path = settings.certificate_file.display();
    let certificates = CertificateDer::pem_file_iter(&settings.certificate_file)
        .with_context(|| format!("cannot read {path}"))?;
    let chain: std::result::Result<Vec<_>, _> = certificates.collect();
    chain.with_context(|| format!("malformed certificate in {path}"))
}

fn make_transport() -> Result<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?))
        .max_concurrent_bidi_streams(0u32.into())
        .max_concurrent_uni_streams(MAX_CONCURRENT_STREAMS.into())
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    Ok(transport)
}
