//! The API of the users' hosted platform, served by the platform stand-in.
//!
//! Exposes the same objects and faults as the project's own platform API. Lists are paginated.

use crate::platform::PlatformStandin;
use http::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use serde_json::{Value, json};
use sniperelay_platform::api::{ObjectEvent, StoredObject};

/// Path prefix of all objects.
pub const OBJECTS_PATH: &str = "/api/objects/";
/// Maximum number of objects on one page of a list, unless the stand-in is set to another one.
pub const MAX_PAGE_ITEMS: usize = 50;

/// A request to the API of the hosted platform.
#[derive(Debug)]
pub struct HostedRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path after [`OBJECTS_PATH`].
    pub path: &'a str,
    /// Query string.
    pub query: &'a str,
    /// Request body.
    pub body: &'a str,
}

impl HostedRequest<'_> {
    /// Returns the value of a query parameter, without percent-decoding.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns the value of a numeric query parameter, or `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Handles any request except a watch. Returns the status and the body of the response.
///
/// # Errors
///
/// Returns an error if the request body is not JSON, or if an injected fault drops the response.
pub fn handle_request(
    standin: &PlatformStandin,
    request: &HostedRequest<'_>,
) -> anyhow::Result<(StatusCode, Box<RawValue>)> {
    let is_object = request.path.contains('/');
    match (request.method, is_object) {
        (&Method::GET, true) => get_object(standin, request.path),
        (&Method::GET, false) => list_objects(standin, request),
        (&Method::POST, false) => create_object(standin, request),
        (&Method::PUT, true) => replace_object(standin, request),
        (&Method::DELETE, true) => write_object(standin, request.path, request.number("Rev"), None),
        _ => Ok((StatusCode::BAD_REQUEST, to_raw_value(&())?)),
    }
}

/// Returns the body of a watch response.
pub fn events_body(revision: u64, events: &[ObjectEvent]) -> impl Serialize {
    let written = events.iter().map(|event| HostedEvent {
        object: HostedObject::new(&event.key, event.version, event.value.as_deref()),
        is_deleted: event.value.is_none(),
    });
    HostedEvents { events: written.collect(), revision }
}

fn get_object(standin: &PlatformStandin, key: &str) -> HostedResponse {
    Ok(match standin.get(key) {
        Some(object) => (StatusCode::OK, to_raw_value(&HostedObject::stored(&object))?),
        None => (StatusCode::NOT_FOUND, to_raw_value(&())?),
    })
}

fn list_objects(standin: &PlatformStandin, request: &HostedRequest<'_>) -> HostedResponse {
    let prefix = format!("{}/", request.path);
    let decode = |name| percent_decode_str(name).decode_utf8_lossy();
    let after = request.field("after").map(|name| format!("{prefix}{}", decode(name)));
    let may_be_old = request.field("AllowStale") == Some("1");
    let (revision, objects) = if may_be_old { standin.list_stale(&prefix) } else { standin.list(&prefix) };
    let rest = objects.iter().filter(|object| after.as_ref().is_none_or(|after| object.key > *after));
    let items: Vec<HostedObject> =
        rest.clone().take(standin.page_items()).map(HostedObject::stored).collect();
    let has_more = rest.count() > items.len();
    Ok((StatusCode::OK, to_raw_value(&HostedPage { items, has_more, revision })?))
}

fn create_object(standin: &PlatformStandin, request: &HostedRequest<'_>) -> HostedResponse {
    let object: Value = serde_json::from_str(request.body)?;
    let name = object["Metadata"]["Name"].as_str().unwrap_or("");
    write_object(standin, &format!("{}/{name}", request.path), Some(0), Some(object["Spec"].to_string()))
}

fn replace_object(standin: &PlatformStandin, request: &HostedRequest<'_>) -> HostedResponse {
    let object: Value = serde_json::from_str(request.body)?;
    if standin.get(request.path).is_none() {
        return Ok((StatusCode::NOT_FOUND, to_raw_value(&())?));
    }
    write_object(standin, request.path, object["Metadata"]["Rev"].as_u64(), Some(object["Spec"].to_string()))
}

fn write_object(
    standin: &PlatformStandin,
    key: &str,
    expected: Option<u64>,
    value: Option<String>,
) -> HostedResponse {
    Ok(match standin.write(key, expected, value.clone())? {
        Ok(version) => (StatusCode::OK, to_raw_value(&HostedObject::new(key, version, value.as_deref()))?),
        Err(0) if expected == Some(0) || value.is_none() => (StatusCode::NOT_FOUND, to_raw_value(&())?),
        Err(_) => {
            let current = standin.get(key).map(|object| HostedObject::stored(&object));
            (StatusCode::CONFLICT, to_raw_value(&current)?)
        }
    })
}

/// Status and body of a response.
type HostedResponse = anyhow::Result<(StatusCode, Box<RawValue>)>;

#[derive(Serialize)]
struct HostedPage {
    items: Vec<HostedObject>,
    #[serde(rename = "HasMore")]
    has_more: bool,
    #[serde(rename = "StoreRevision")]
    revision: u64,
}

#[derive(Serialize)]
struct HostedEvents {
    events: Vec<HostedEvent>,
    #[serde(rename = "StoreRevision")]
    revision: u64,
}

#[derive(Serialize)]
struct HostedEvent {
    #[serde(rename = "Object")]
    object: HostedObject,
    #[serde(rename = "Deleted")]
    is_deleted: bool,
}

/// An object as the platform sends it. Its value is sent as it was written, whatever it holds.
#[derive(Serialize)]
struct HostedObject {
    #[serde(rename = "Metadata")]
    metadata: Value,
    #[serde(rename = "Spec")]
    value: Option<Box<RawValue>>,
    #[serde(rename = "Status")]
    status: (),
}

impl HostedObject {
    fn stored(object: &StoredObject) -> Self {
        Self::new(&object.key, object.version, Some(&object.value))
    }

    fn new(key: &str, version: u64, value: Option<&str>) -> Self {
        let name = key.split_once('/').map_or(key, |(_, name)| name);
        // A value that is not JSON is sent as a string, like data stored by another writer.
        let raw = |text: &str| RawValue::from_string(text.to_owned()).or_else(|_| to_raw_value(text)).ok();
        let metadata = json!({
            "Name": name, "Rev": version, "Created": version, "Finalizers": [], "DeletionPending": false,
        });
        Self { metadata, value: value.and_then(raw), status: () }
    }
}
