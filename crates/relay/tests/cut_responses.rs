//! Tests that a response that is cut, at any byte, never reaches the caller as a complete one.

mod common;

use common::partition::PartitionedFleet;
use common::{
    Caller, ScriptedAction, TestEnv, body, header, read_message, registration, request, sealed_response,
    status,
};
use sniperelay_standin::soak::proxy::ProxyMode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const BODY: &str = "0123456789abcdef";
/// What all responses of a target contain, so that they are accepted.
const HEADERS: &str = "X-Request-Id: {id}\r\nX-Response-Seal: s\r\nX-Instance-Load: 0,0,4,100\r\n";

/// Responses with this body in all forms that have an end of their own.
fn framed_responses() -> Vec<(&'static str, String)> {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let chunks = format!("6\r\n{}\r\na;x=y\r\n{}\r\n0\r\n", &BODY[..6], &BODY[6..]);
    let chunked = "Transfer-Encoding: chunked\r\n";
    vec![
        ("length", format!("HTTP/1.1 200 OK\r\n{HEADERS}{length}\r\n{BODY}")),
        ("length first", format!("HTTP/1.1 200 OK\r\n{length}{HEADERS}\r\n{BODY}")),
        ("chunks", format!("HTTP/1.1 200 OK\r\n{HEADERS}{chunked}\r\n{chunks}\r\n")),
        ("trailers", format!("HTTP/1.1 200 OK\r\n{HEADERS}{chunked}Trailer: t\r\n\r\n{chunks}t: 1\r\n\r\n")),
        (
            "100 Continue",
            format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{HEADERS}{length}\r\n{BODY}"),
        ),
        (
            "103 Early Hints",
            format!("HTTP/1.1 103 E\r\nL: x\r\n\r\nHTTP/1.1 200 OK\r\n{HEADERS}{chunked}\r\n{chunks}\r\n"),
        ),
    ]
}

/// A target that writes the first bytes of a response, as many as the path of the request says, and ends the connection.
struct CuttingTarget {
    address: SocketAddr,
    requests: AtomicUsize,
}

impl CuttingTarget {
    async fn start(response: String, is_reset: bool) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target =
            Arc::new(Self { address: listener.local_addr().unwrap(), requests: AtomicUsize::new(0) });
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream, response.clone(), is_reset));
            }
        });
        target
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, response: String, is_reset: bool) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            if request.starts_with("GET /health") {
                let health = "HTTP/1.1 200 OK\r\nX-Instance-Id: r0\r\nContent-Length: 0\r\n\r\n";
                drop(stream.write_all(health.as_bytes()).await);
                continue;
            }
            self.requests.fetch_add(1, Ordering::Relaxed);
            let path = request.split_whitespace().nth(1).unwrap();
            let count: usize = path.rsplit('/').next().unwrap().parse().unwrap();
            let id = header(&request, "x-request-id").unwrap_or_default();
            let text = response.replace("{id}", &id);
            drop(stream.write_all(&text.as_bytes()[..count.min(text.len())]).await);
            if is_reset {
                // The reset must not overtake the bytes.
                tokio::time::sleep(Duration::from_millis(5)).await;
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            return;
        }
    }
}

/// Lets a target cut the response after each number of bytes in `cuts`, and checks what callers get.
async fn check_cuts(what: &'static str, response: String, is_reset: bool, cuts: Vec<usize>, whole: usize) {
    let env = TestEnv::start(Vec::new()).await;
    let target = CuttingTarget::start(response, is_reset).await;
    env.store.put("servers/r0", registration(target.address, "ready").to_string());
    env.wait_until(|state| {
        state.services.load()["s"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == 1)
    })
    .await;
    for cut in cuts {
        let mut caller = env.connect().await;
        caller.send(&request("POST", &format!("/claim/{cut}"), "i", "x")).await;
        let response = caller.receive().await.unwrap();
        let what = format!("{what}, {cut} of {whole} bytes, reset {is_reset}: {response}");
        let is_whole = status(&response) == 200 && body(&response) == BODY;
        // A complete response may arrive before the reset after it, or be lost with it.
        assert!(is_whole == (cut >= whole) || (is_reset && !is_whole && status(&response) == 502), "{what}");
        assert!(is_whole || matches!(status(&response), 502), "{what}");
    }
    assert!(target.requests.load(Ordering::Relaxed) > 0);
}

/// Guards against a response that is cut in its head, in a chunk header, in a trailer or after an interim response, and
/// reaches the caller as a complete one with an empty or short body.
#[tokio::test]
async fn response_cut_at_any_byte_does_not_look_complete() {
    let mut cases = JoinSet::new();
    for (what, response) in framed_responses() {
        let whole = response.replace("{id}", "i").len();
        for is_reset in [false, true] {
            let cuts: Vec<usize> = (0..=whole).collect();
            for part in cuts.chunks(40) {
                drop(cases.spawn(check_cuts(what, response.clone(), is_reset, part.to_vec(), whole)));
            }
        }
    }
    while let Some(result) = cases.join_next().await {
        result.unwrap();
    }
}

/// As above, for a response that ends with its connection: it is not complete if it ends in its head or is reset. That
/// the end of the connection is the end of its body is what its target says.
#[tokio::test]
async fn response_without_a_length_that_is_reset_or_cut_in_its_head_does_not_look_complete() {
    let response = format!("HTTP/1.1 200 OK\r\n{HEADERS}\r\n{BODY}");
    let whole = response.replace("{id}", "i").len();
    let head = whole - BODY.len();
    let mut cases = JoinSet::new();
    drop(cases.spawn(check_cuts("end of connection", response.clone(), false, (0..head).collect(), whole)));
    // With a reset, no number of bytes is the whole response.
    drop(cases.spawn(check_cuts("end of connection", response, true, (0..=whole).collect(), usize::MAX)));
    while let Some(result) = cases.join_next().await {
        result.unwrap();
    }
}

/// Starts a proxy that forwards the requests on a connection, and as many bytes of each response as its path says.
async fn start_cutting_proxy(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(cut_one_response(stream, to));
        }
    });
    address
}

async fn cut_one_response(mut stream: TcpStream, to: SocketAddr) {
    let mut buffer = Vec::new();
    let Some(request) = read_message(&mut stream, &mut buffer).await else { return };
    let count =
        request.split_whitespace().nth(1).and_then(|path| path.rsplit('/').next()?.parse::<usize>().ok());
    let mut upstream = TcpStream::connect(to).await.unwrap();
    upstream.write_all(request.as_bytes()).await.unwrap();
    let Some(count) = count else {
        drop(tokio::io::copy_bidirectional(&mut stream, &mut upstream).await);
        return;
    };
    let mut buffer = Vec::new();
    let Some(response) = read_message(&mut upstream, &mut buffer).await else { return };
    drop(stream.write_all(&response.as_bytes()[..count.min(response.len())]).await);
}

/// Time for which an entry VM that was lost is not asked again.
const PEER_EXCLUSION: Duration = Duration::from_millis(1100);

/// As above, for the hop between two entry VMs: an isolated entry VM forwards claims, and the responses of the other one
/// are cut.
#[tokio::test]
async fn response_cut_between_entry_vms_does_not_look_complete() {
    let mut cases = JoinSet::new();
    let cuts: Vec<usize> =
        [0, 1, 9, 15, 16, 17, 30, 60, 90, 110, 120, 130, 140, 150, 160, 170, 180, 200].to_vec();
    for part in cuts.chunks(5) {
        drop(cases.spawn(check_cuts_between_entry_vms(part.to_vec())));
    }
    while let Some(result) = cases.join_next().await {
        result.unwrap();
    }
}

async fn check_cuts_between_entry_vms(cuts: Vec<usize>) {
    let fleet = PartitionedFleet::start(2, 2, &[ScriptedAction::Respond(sealed_response(BODY))]).await;
    let peer = fleet.vms[1].relay.state().own_record().peer_address;
    fleet.override_peer(0, 1, start_cutting_proxy(peer).await).await;
    fleet.set_links(0, ProxyMode::Stall);
    while !fleet.vms[0].relay.state().links.is_isolated() {
        fleet.send_steadily(0, 40, Duration::from_millis(200)).await;
    }
    let address = fleet.vms[0].relay.state().own_record().caller_address;
    let mut statuses = Vec::new();
    for cut in cuts.into_iter().chain([usize::MAX]) {
        tokio::time::sleep(PEER_EXCLUSION).await;
        let mut caller = Caller::open(address).await;
        caller.send(&request("POST", &format!("/claim/{cut}"), &format!("c{cut}"), "x")).await;
        let response = caller.receive().await.unwrap();
        // A claim that has run at the other entry VM is neither called not run nor sent again.
        let arrivals = fleet.arrivals(&format!("c{cut}"));
        assert_eq!(arrivals, 1, "{cut} bytes: {response}");
        assert!(matches!(status(&response), 200 | 502), "{cut} bytes: {response}");
        assert!(status(&response) != 200 || body(&response) == BODY, "{cut} bytes: {response}");
        statuses.push(status(&response));
    }
    assert_eq!(statuses.last(), Some(&200), "the whole response does not reach the caller");
}
