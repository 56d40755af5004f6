//! Tests of the authentication between peers: a peer of another deployment or with an expired
//! certificate is refused and counted.

use sniperelay_config::settings::PeerSettings;
use sniperelay_core::ids::IncarnationId;
use sniperelay_node::metrics::ProcessCounters;
use sniperelay_node::peer::link::PeerLink;
use sniperelay_node::peer::tls::{PEER_NAME, load_configs};
use sniperelay_standin::certificates::{CertificateFiles, Validity, write_certificate_files};
use sniperelay_wire::{MAX_MESSAGE_BYTES, PeerMessage};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, channel};

const TIMEOUT: Duration = Duration::from_secs(20);

struct TestPeer {
    link: PeerLink,
    inbox: Receiver<PeerMessage>,
    counters: Arc<ProcessCounters>,
}

fn settings_of(files: &CertificateFiles) -> PeerSettings {
    PeerSettings {
        seeds: Vec::new(),
        heartbeat: Duration::from_secs(1),
        ca_file: files.ca.clone(),
        certificate_file: files.certificate.clone(),
        key_file: files.key.clone(),
    }
}

fn start_peer(files: &CertificateFiles) -> TestPeer {
    let (sender, inbox) = channel(16);
    let counters = Arc::new(ProcessCounters::default());
    let configs = load_configs(&settings_of(files)).unwrap();
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let link = PeerLink::start(socket, configs, sender, counters.clone()).unwrap();
    TestPeer { link, inbox, counters }
}

fn message(sender: IncarnationId) -> PeerMessage {
    PeerMessage::EditionSummaryRequest { sender, mask: 1 }
}

async fn is_refused(left: &TestPeer, right: &mut TestPeer) -> bool {
    left.link.send(right.link.local_address().unwrap(), &message(1));
    let refusals = || {
        left.counters.peers_refused.load(Ordering::Relaxed)
            + right.counters.peers_refused.load(Ordering::Relaxed)
    };
    for _ in 0..TIMEOUT.as_millis() / 10 {
        if right.inbox.try_recv().is_ok() {
            return false;
        }
        if refusals() > 0 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("neither a message nor a refusal within {TIMEOUT:?}");
}

fn directory(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("sniperelay-keys-{}-{name}", std::process::id()))
}

#[tokio::test(flavor = "multi_thread")]
async fn only_peers_with_valid_certificates_of_the_deployment_are_accepted() {
    let own = write_certificate_files(&directory("own"), Validity::Current).unwrap();
    let other = write_certificate_files(&directory("other"), Validity::Current).unwrap();
    let expired = write_certificate_files(&directory("expired"), Validity::Expired).unwrap();
    // Trusts the deployment's authority, but has a certificate of another deployment.
    let intruder = CertificateFiles { ca: own.ca.clone(), ..other.clone() };
    let rows: [(&str, &CertificateFiles, &CertificateFiles, bool); 5] = [
        ("intruder", &intruder, &own, true),
        ("same deployment", &own, &own, false),
        ("connection from another deployment", &other, &own, true),
        ("connection to another deployment", &own, &other, true),
        ("expired", &expired, &expired, true),
    ];
    for (name, connecting, accepting, expected) in rows {
        let left = start_peer(connecting);
        let mut right = start_peer(accepting);
        assert_eq!(is_refused(&left, &mut right).await, expected, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn certificates_are_replaced_without_a_restart() {
    let old = write_certificate_files(&directory("old"), Validity::Current).unwrap();
    let new = write_certificate_files(&directory("new"), Validity::Current).unwrap();
    let mut right = start_peer(&old);
    right.link.replace_configs(load_configs(&settings_of(&new)).unwrap());
    let left = start_peer(&new);
    assert!(!is_refused(&left, &mut right).await);
}

/// A peer whose certificate has been withdrawn may not go on over a connection that it opened before.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_certificates_end_the_connections_of_peers_with_withdrawn_ones() {
    let old = write_certificate_files(&directory("withdrawn"), Validity::Current).unwrap();
    let new = write_certificate_files(&directory("issued"), Validity::Current).unwrap();
    let left = start_peer(&old);
    let mut right = start_peer(&old);
    assert!(!is_refused(&left, &mut right).await);
    right.link.replace_configs(load_configs(&settings_of(&new)).unwrap());
    let address = right.link.local_address().unwrap();
    while left.counters.peers_refused.load(Ordering::Relaxed) == 0 {
        left.link.send(address, &message(1));
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(right.inbox.try_recv().is_err(), "a message was accepted over the old connection");
    }
}

/// A peer that sends a message without end, fast or slowly, has its stream stopped.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_end_is_stopped_and_counted() {
    let files = write_certificate_files(&directory("endless"), Validity::Current).unwrap();
    for (size, pause) in [(64 * 1024, Duration::ZERO), (1, Duration::from_millis(50))] {
        let right = start_peer(&files);
        let configs = load_configs(&settings_of(&files)).unwrap();
        let mut endpoint = quinn::Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
        endpoint.set_default_client_config(configs.client);
        let connecting = endpoint.connect(right.link.local_address().unwrap(), PEER_NAME).unwrap();
        let connection = connecting.await.unwrap();
        let mut stream = connection.open_uni().await.unwrap();
        let part = vec![0; size];
        let mut sent = 0;
        let write_until_stopped = async {
            while stream.write_all(&part).await.is_ok() {
                sent += size;
                tokio::time::sleep(pause).await;
            }
        };
        tokio::time::timeout(TIMEOUT, write_until_stopped).await.expect("the stream was never stopped");
        assert!(sent < 2 * MAX_MESSAGE_BYTES + 2 * 1024 * 1024, "{sent} bytes were accepted");
        while right.counters.peer_messages_lost.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[test]
fn error_names_the_file_that_cannot_be_read() {
    let files = write_certificate_files(&directory("broken"), Validity::Current).unwrap();
    let mut settings = settings_of(&files);
    settings.key_file = Path::new("/nonexistent/key.pem").to_owned();
    let error = format!("{:#}", load_configs(&settings).unwrap_err());
    assert!(error.contains("/nonexistent/key.pem"), "{error}");
}
