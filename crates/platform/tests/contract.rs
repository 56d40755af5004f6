//! Tests the platform client against the stand-in platform.

use sniperelay_platform::{HttpPlatform, PlatformApi, PlatformError};
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

async fn start() -> (Arc<PlatformStandin>, HttpPlatform) {
    let standin = PlatformStandin::start().await.unwrap();
    let client = HttpPlatform::new(standin.address(), 10_000);
    // A new limiter holds a single token. This call consumes it; the pause lets the bucket refill.
    client.list("none/").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    (standin, client)
}

#[tokio::test]
async fn writes_require_the_current_version() {
    let (_standin, client) = start().await;
    assert_eq!(client.get("a/x").await, Ok(None));
    let first = client.put("a/x", 0, "one").await.unwrap();
    assert_eq!(client.put("a/x", 0, "two").await, Err(PlatformError::Conflict { current: first }));
    let second = client.put("a/x", first, "two").await.unwrap();
    assert!(second > first);
    assert_eq!(client.delete("a/x", first).await, Err(PlatformError::Conflict { current: second }));
    let deleted = client.delete("a/x", second).await.unwrap();
    assert_eq!(client.get("a/x").await, Ok(None));
    let recreated = client.put("a/x", 0, "three").await.unwrap();
    assert!(recreated > deleted, "a recreated object has a higher version");
}

#[tokio::test]
async fn lists_and_watches_are_limited_to_a_prefix() {
    let (standin, client) = start().await;
    standin.put("a/1", "x");
    standin.put("b/1", "y");
    let list = client.list("a/").await.unwrap();
    assert_eq!(list.items.len(), 1);
    let (changes, _) = tokio::join!(client.watch("a/", list.revision, Duration::from_secs(20)), async {
        standin.put("b/2", "z");
        standin.put("a/2", "w");
    });
    let changes = changes.unwrap();
    assert!(changes.events.iter().any(|event| event.key == "a/2" && event.value.as_deref() == Some("w")));
    assert!(changes.events.iter().all(|event| event.key.starts_with("a/")));
    standin.delete("a/1");
    let deleted = client.watch("a/", changes.revision, Duration::from_secs(20)).await.unwrap();
    assert_eq!(deleted.events[0].value, None);
    standin.discard_changes();
    assert_eq!(client.watch("a/", list.revision, Duration::ZERO).await, Err(PlatformError::WatchTooOld));
}

#[tokio::test]
async fn a_lost_response_is_distinguished_from_a_refusal() {
    let (standin, client) = start().await;
    standin.control.responses_to_lose.store(1, Ordering::Relaxed);
    let error = client.put("a/x", 0, "one").await.unwrap_err();
    assert!(matches!(error, PlatformError::NoResponse(_)), "{error:?}");
    assert!(!error.proves_no_effect());
    assert_eq!(standin.get("a/x").map(|object| object.value), Some("one".to_owned()));
}

#[tokio::test]
async fn calls_are_throttled_after_a_failure() {
    let (standin, client) = start().await;
    standin.control.is_down.store(true, Ordering::Relaxed);
    let (mut sent, mut throttled) = (0, 0);
    for _ in 0..50 {
        match client.get("a/x").await.unwrap_err() {
            PlatformError::Throttled(_) => throttled += 1,
            _ => sent += 1,
        }
    }
    // The growing backoff throttles most calls, and throttled calls do not reach the platform.
    assert!(throttled > sent, "only {throttled} of 50 calls were throttled");
    assert_eq!(standin.control.calls_while_down.load(Ordering::Relaxed), sent);
}
