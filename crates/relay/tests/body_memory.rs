//! Tests of the memory that request bodies of several callers take together.

mod common;

use common::{
    Caller, ScriptedAction, ScriptedTarget, config, header, registration, sealed_response,
    start_configured_relay, status,
};
use sniperelay_config::relay::SMALL_BODY_ROOM;
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::time::Duration;

/// Limit of one body, which is also what all large bodies have room for.
const BODY_LIMIT: usize = 1_000_000;
const LARGE: usize = 700_000;
/// Timeout after which a caller without a response fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(20);

struct MemoryEnv {
    relay: RunningRelay,
    target: Arc<ScriptedTarget>,
    _store: Arc<PlatformStandin>,
}

impl MemoryEnv {
    async fn start() -> Self {
        let target = ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response("ok"))]).await;
        let store = PlatformStandin::start().await.unwrap();
        let mut large = config("00000001");
        large["Limits"]["MaxBodyBytes"] = (2 * BODY_LIMIT).into();
        store.put("config/main", large.to_string());
        store.put("servers/i0", registration(target.address, "ready").to_string());
        let limits = format!(
            "[limits]\nbody-bytes = {BODY_LIMIT}\nrequest-memory-bytes = {}\n",
            BODY_LIMIT + SMALL_BODY_ROOM
        );
        let relay = start_configured_relay("vm", store.address(), "", &limits);
        while !relay.state().is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { relay, target, _store: store }
    }

    /// Opens a connection and sends the head of a claim.
    async fn begin_claim(&self, id: &str, framing: &str) -> Caller {
        let mut caller = Caller::open(self.relay.state().own_record().caller_address).await;
        caller.send(&head(id, framing)).await;
        caller
    }

    async fn wait_until_used(&self, bytes: usize) {
        let wait = async {
            while self.relay.state().request_memory.used() != bytes {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, wait).await.expect("the memory is not released");
    }
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /claim/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{framing}\r\n\r\n"
    )
}

async fn receive(caller: &mut Caller) -> String {
    let response = tokio::time::timeout(HANG_LIMIT, caller.receive()).await.expect("no response in time");
    response.expect("the connection was closed without a response")
}

/// Guards against a process that runs out of memory because many large bodies arrive at the same time (review/4).
#[tokio::test]
async fn large_body_without_room_is_refused_while_small_ones_are_served() {
    let env = MemoryEnv::start().await;
    let mut first = env.begin_claim("first", &format!("Content-Length: {LARGE}")).await;
    first.send(&"x".repeat(LARGE / 2)).await;
    env.wait_until_used(LARGE).await;
    let mut second = env.begin_claim("second", &format!("Content-Length: {LARGE}")).await;
    let refused = receive(&mut second).await;
    assert_eq!(status(&refused), 503, "{refused}");
    assert_eq!(header(&refused, "sniperelay-reason").as_deref(), Some("no-memory"));
    assert!(header(&refused, "retry-after").is_some(), "{refused}");
    let mut small = env.begin_claim("small", "Content-Length: 50000").await;
    small.send(&"x".repeat(50_000)).await;
    assert_eq!(status(&receive(&mut small).await), 200);
    first.send(&"x".repeat(LARGE - LARGE / 2)).await;
    assert_eq!(status(&receive(&mut first).await), 200);
    env.wait_until_used(0).await;
    let mut third = env.begin_claim("third", &format!("Content-Length: {LARGE}")).await;
    third.send(&"x".repeat(LARGE)).await;
    assert_eq!(status(&receive(&mut third).await), 200);
    assert_eq!(env.target.received().len(), 3);
}

/// A body in chunks states no length; it is refused once it finds no room.
#[tokio::test]
async fn chunked_body_is_refused_when_it_finds_no_room() {
    let env = MemoryEnv::start().await;
    let mut first = env.begin_claim("first", &format!("Content-Length: {LARGE}")).await;
    env.wait_until_used(LARGE).await;
    let mut chunked = env.begin_claim("chunked", "Transfer-Encoding: chunked").await;
    for _ in 0..4 {
        chunked.send(&format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000))).await;
    }
    assert_eq!(status(&receive(&mut chunked).await), 503);
    first.send(&"x".repeat(LARGE)).await;
    assert_eq!(status(&receive(&mut first).await), 200);
    env.wait_until_used(0).await;
    let mut again = env.begin_claim("again", "Transfer-Encoding: chunked").await;
    for _ in 0..4 {
        again.send(&format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000))).await;
    }
    again.send("0\r\n\r\n").await;
    assert_eq!(status(&receive(&mut again).await), 200);
    assert_eq!(env.target.received().len(), 2);
}

/// Guards against callers that announce large bodies, send them byte by byte, and so keep out those of others for good.
#[tokio::test]
async fn body_that_does_not_arrive_before_the_deadline_returns_its_memory() {
    let env = MemoryEnv::start().await;
    let mut slow = env.begin_claim("slow", &format!("Content-Length: {LARGE}")).await;
    env.wait_until_used(LARGE).await;
    let send_slowly = async {
        loop {
            slow.send("x").await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        () = send_slowly => {}
        () = env.wait_until_used(0) => {}
    }
    assert_eq!(status(&receive(&mut slow).await), 408);
    assert!(env.target.received().is_empty());
}

/// A body that never fits is refused before it is received.
#[tokio::test]
async fn body_beyond_the_limit_of_the_process_is_refused_at_once() {
    let env = MemoryEnv::start().await;
    let mut caller = env.begin_claim("a", &format!("Content-Length: {}", BODY_LIMIT + 1)).await;
    assert_eq!(status(&receive(&mut caller).await), 503);
}
