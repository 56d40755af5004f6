//! HTTP client for requests to an entry VM.

use anyhow::{Context, Result};
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for a request. It covers an edit during an outage, when the entry VM reads the document
/// back several times.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response of an entry VM.
#[derive(Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body, decoded as UTF-8.
    pub text: String,
}

/// Sends a request on a new connection and returns the response, whatever its status.
///
/// # Errors
///
/// Returns an error if the entry VM cannot be reached or does not respond within the timeout.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: String,
) -> Result<ClientResponse> {
    let exchange = send_without_timeout(address, method, path, token, body);
    let result = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
    result.with_context(|| format!("{address} did not respond within {RESPONSE_TIMEOUT:?}"))?
}

async fn send_without_timeout(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: String,
) -> Result<ClientResponse> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("cannot connect to {address}; is an entry VM running there?"))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut builder = Request::builder().method(method).uri(path).header("host", address.to_string());
    if let Some(token) = token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let response = sender
        .send_request(builder.body(body)?)
        .await
        .with_context(|| format!("no response from {address}"))?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(ClientResponse { status, text: String::from_utf8_lossy(&bytes).into_owned() })
}

/// Reads a bearer token from a file, without surrounding white space.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_token(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read token file {}", path.display()))?;
    Ok(text.trim().to_owned())
}
