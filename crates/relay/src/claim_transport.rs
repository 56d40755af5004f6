//! Transport of claims between entry VMs: one message to the owner of limits, and its response.

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sniperelay_node::traffic::body::full_body;
use sniperelay_node::traffic::pool::TargetPool;
use std::net::SocketAddr;

/// Result of an exchange of claims.
pub type Result<T> = std::result::Result<T, ClaimError>;

/// Maximum size of a message, in bytes: some hundred targets or accounts.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Failure of an exchange of claims.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// The owner could not be reached, or its connection failed.
    #[error("no connection to the owner: {0}")]
    Connection(String),
    /// The owner did not respond in time.
    #[error("no response of the owner in time")]
    Timeout,
    /// The owner responded with this status.
    #[error("the owner responded with status {0}")]
    Status(StatusCode),
    /// A message could not be decoded, or exceeds the size limit.
    #[error("malformed message: {0}")]
    Malformed(String),
}

impl ClaimError {
    /// Returns whether the owner's build does not know the claims. Builds that do know them respond to none with these
    /// statuses.
    pub fn shows_unaware_owner(&self) -> bool {
        matches!(self, Self::Status(StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE))
    }
}

/// Sends claims to an owner and returns its response.
///
/// # Errors
///
/// Returns an error if there is no response with status 200 that can be decoded. The caller sets the timeout.
pub async fn post_claims<T: DeserializeOwned>(
    pool: &TargetPool,
    address: SocketAddr,
    path: &str,
    claims: &impl Serialize,
) -> Result<T> {
    let body = encode_message(claims)?;
    let mut connection = pool.take(address).await.map_err(connection_error)?;
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .body(full_body(body))
        .map_err(connection_error)?;
    let sender = connection.sender().ok_or_else(|| ClaimError::Connection("closed".into()))?;
    let response = sender.send_request(request).await.map_err(connection_error)?;
    let status = response.status();
    let message = read_message(response.into_body()).await;
    connection.return_to_pool();
    if status != StatusCode::OK {
        return Err(ClaimError::Status(status));
    }
    message
}

fn connection_error(error: impl std::fmt::Display) -> ClaimError {
    ClaimError::Connection(error.to_string())
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded as JSON.
pub fn encode_message(message: &impl Serialize) -> Result<Bytes> {
    let encoded = serde_json::to_vec(message).map_err(|error| ClaimError::Malformed(error.to_string()))?;
    Ok(Bytes::from(encoded))
}

/// Reads and decodes a message.
///
/// # Errors
///
/// Returns an error if the message is too large, incomplete, or not decodable.
pub async fn read_message<T: DeserializeOwned>(body: Incoming) -> Result<T> {
    let malformed = |error: String| ClaimError::Malformed(error);
    let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| malformed(error.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
}
