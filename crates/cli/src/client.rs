//! Requests to an entry VM.

use anyhow::{Context, Result};
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time within which an entry VM must answer; an edit reads back several times in an outage.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer.
#[derive(Debug)]
pub struct ClientResponse {
    /// Status.
    pub status: StatusCode,
    /// Body as text.
    pub text: String,
}

/// Performs a request.
///
/// # Errors
///
/// When the entry VM cannot be reached or does not answer in time.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: String,
) -> Result<ClientResponse> {
    let exchange = exchange(address, method, path, token, body);
    let result = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
    result.with_context(|| format!("{address} did not answer within {RESPONSE_TIMEOUT:?}"))?
}

async fn exchange(
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
    let response =
        sender.send_request(builder.body(body)?).await.with_context(|| format!("no answer of {address}"))?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(ClientResponse { status, text: String::from_utf8_lossy(&bytes).into_owned() })
}

/// Reads a bearer token from a file.
///
/// # Errors
///
/// When the file cannot be read.
pub fn read_token(path: &Path) -> Result<String> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read token {}", path.display()))?;
    Ok(text.trim().to_owned())
}
