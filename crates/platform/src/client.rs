//! Client for the project's own HTTP and JSON dialect of the object API.

use crate::api::{EventList, ObjectList, ObjectVersion, PlatformApi, PlatformError, Result, StoredObject};
use crate::content_coding::{DEFLATE_CODING, decode_body};
use crate::limiter::CallLimiter;
use crate::transport::{CallCounters, CallVerb, PlatformResponse, PlatformTransport};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

#[derive(Deserialize)]
struct VersionResponse {
    version: ObjectVersion,
}

/// Client of the platform's object API.
#[derive(Debug)]
pub struct HttpPlatform {
    transport: PlatformTransport,
    accepts_compression: bool,
}

impl HttpPlatform {
    /// Creates a client that sends at most `calls_per_second` calls per second on average.
    pub fn new(address: SocketAddr, calls_per_second: u32) -> Self {
        Self::with_transport(PlatformTransport::new(address, CallLimiter::new(calls_per_second)))
    }

    /// Creates a client that uses an existing transport.
    pub fn with_transport(transport: PlatformTransport) -> Self {
        Self { transport, accepts_compression: false }
    }

    /// Asks for compressed responses. Entry VMs send them; the platform's store is not asked.
    pub fn with_compression(self) -> Self {
        Self { accepts_compression: true, ..self }
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Returns whether a part of a response body was received within the last `span`.
    pub fn has_received_within(&self, span: Duration) -> bool {
        self.transport.has_received_within(span)
    }

    /// Returns the call counters.
    pub fn counters(&self) -> &Arc<CallCounters> {
        self.transport.counters()
    }

    async fn send_call<T: DeserializeOwned>(
        &self,
        verb: CallVerb,
        path: String,
        expected: Option<ObjectVersion>,
        body: &str,
        wait: Duration,
    ) -> Result<Option<T>> {
        let method = match verb {
            CallVerb::Put => Method::PUT,
            CallVerb::Delete => Method::DELETE,
            _ => Method::GET,
        };
        let mut request = make_request(method, &path, expected, body, self.transport.address())?;
        if self.accepts_compression {
            request.headers_mut().insert(header::ACCEPT_ENCODING, DEFLATE_CODING);
        }
        let response = self.transport.send_call(verb, request, wait).await?;
        decode_response(&response)
    }
}

fn make_request(
    method: Method,
    path: &str,
    expected: Option<ObjectVersion>,
    body: &str,
    host: SocketAddr,
) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder().method(method).uri(path).header("host", host.to_string());
    if let Some(version) = expected {
        builder = builder.header("if-match", version.to_string());
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .map_err(|error| PlatformError::Refused(error.to_string()))
}

fn decode_response<T: DeserializeOwned>(response: &PlatformResponse) -> Result<Option<T>> {
    let malformed = |error: serde_json::Error| PlatformError::Malformed(error.to_string());
    match response.status {
        StatusCode::OK => {
            let body = decode_body(&response.headers, &response.body)?;
            serde_json::from_slice(&body).map(Some).map_err(malformed)
        }
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::CONFLICT => {
            let conflict: VersionResponse = serde_json::from_slice(&response.body).map_err(malformed)?;
            Err(PlatformError::Conflict { current: conflict.version })
        }
        StatusCode::GONE => Err(PlatformError::WatchTooOld),
        other => Err(PlatformError::NoResponse(other.to_string())),
    }
}

fn expect_found<T>(response: Option<T>) -> Result<T> {
    response.ok_or_else(|| PlatformError::Malformed("unexpected status 404".to_owned()))
}

impl PlatformApi for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>> {
        self.send_call(CallVerb::Get, format!("/objects/{key}"), None, "", Duration::ZERO).await
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList> {
        let path = format!("/list/{prefix}");
        expect_found(self.send_call(CallVerb::List, path, None, "", Duration::ZERO).await?)
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: &str) -> Result<ObjectVersion> {
        let path = format!("/objects/{key}");
        let response: Option<VersionResponse> =
            self.send_call(CallVerb::Put, path, Some(expected), value, Duration::ZERO).await?;
        Ok(expect_found(response)?.version)
    }

    async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<ObjectVersion> {
        let path = format!("/objects/{key}");
        let response: Option<VersionResponse> =
            self.send_call(CallVerb::Delete, path, Some(expected), "", Duration::ZERO).await?;
        Ok(expect_found(response)?.version)
    }

    async fn watch(&self, prefix: &str, since: ObjectVersion, wait: Duration) -> Result<EventList> {
        let path = format!("/watch/{prefix}?since={since}&wait_ms={}", wait.as_millis());
        expect_found(self.send_call(CallVerb::Watch, path, None, "", wait).await?)
    }
}
