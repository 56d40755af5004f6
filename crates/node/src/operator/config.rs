//! Reading and editing of service documents.

use crate::control::ControlEvent;
use crate::control::editing::{CONFIG_PREFIX, run_edit};
use crate::control::status::{NodeStatus, STATUS_PREFIX, VersionStatus};
use crate::operator::{OperatorContext, error_response};
use crate::traffic::body::ResponseBody;
use crate::traffic::response::json_response;
use http::request::Parts;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use sniperelay_config::parse_document;
use sniperelay_config::settings::ADMIN_TEAM;
use sniperelay_core::edit::{EditRequest, EditResult};
use sniperelay_core::edition::{ConfigEdition, EditMark};
use sniperelay_platform::{PlatformApi, PlatformError};

/// Response to a read or an edit of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Result: `stored`, `accepted`, `superseded`, `conflict` or `open`.
    pub result: String,
    /// Explanation of the result and, where necessary, the next step for the operator.
    pub message: String,
    /// The latest known edit, if there is one.
    pub latest: Option<EditMark>,
    /// Text of the document after the latest known edit.
    pub text: Option<String>,
}

/// Handles `GET /config/SERVICE`: returns the document stored in the platform.
pub async fn get_document(context: &OperatorContext, service: &str) -> Response<ResponseBody> {
    match context.platform.get(&format!("{CONFIG_PREFIX}{service}")).await {
        Ok(Some(object)) => match serde_json::from_str::<ConfigEdition>(&object.value) {
            Ok(edition) => json_response(
                StatusCode::OK,
                &config_response("stored", "as stored in the platform", Some(edition)),
            ),
            Err(error) => {
                error_response(StatusCode::BAD_GATEWAY, &format!("the stored object is malformed: {error}"))
            }
        },
        Ok(None) => {
            error_response(StatusCode::NOT_FOUND, &format!("there is no document for service {service}"))
        }
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{error}; try again")),
    }
}

/// Version of a document on one entry VM, as the entry VM last wrote it to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Address of the entry VM for callers.
    pub caller_address: String,
    /// Version of the document; `None` if the entry VM has no document of the service.
    pub version: Option<VersionStatus>,
    /// Time at which the entry VM wrote its status, in milliseconds since the Unix epoch.
    pub written_unix_ms: u64,
}

/// Handles `GET /config/SERVICE/versions`: returns the versions from the status objects in the
/// platform, or only the version of this entry VM if the platform is unavailable.
pub async fn list_versions(context: &OperatorContext, service: &str) -> Response<ResponseBody> {
    let row = |status: &NodeStatus| VersionRow {
        caller_address: status.caller_address.clone(),
        version: status.versions.get(service).copied(),
        written_unix_ms: status.unix_ms,
    };
    let own: NodeStatus =
        serde_json::from_value((**context.node_state.status.load()).clone()).unwrap_or_default();
    let listed = context.platform.list(STATUS_PREFIX).await.map(|list| list.items).unwrap_or_default();
    let others = listed.iter().filter_map(|item| serde_json::from_str::<NodeStatus>(&item.value).ok());
    let others = others.filter(|status| status.caller_address != own.caller_address);
    let rows: Vec<VersionRow> = std::iter::once(row(&own)).chain(others.map(|status| row(&status))).collect();
    json_response(StatusCode::OK, &rows)
}

/// Handles `PUT /config/SERVICE?base=GENERATION` with the INI text as body.
pub async fn put_document(
    context: &OperatorContext,
    team: &str,
    service: &str,
    parts: &Parts,
    text: String,
) -> Response<ResponseBody> {
    let Some(base) = read_base(parts) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "missing or malformed query parameter 'base': send ?base=GENERATION with the generation that \
             was edited, or ?base=0 for a new document",
        );
    };
    let document = match parse_document(service, &text) {
        Ok(document) => document,
        Err(findings) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, &findings.to_string()),
    };
    if document.name != service {
        let message = format!("the document is for service {}, not for {service}", document.name);
        return error_response(StatusCode::UNPROCESSABLE_ENTITY, &message);
    }
    if let Err(owner) = check_owner(context, team, service, &document.team).await {
        let message = format!("the document belongs to team {owner}; team {team} may not edit it");
        return error_response(StatusCode::FORBIDDEN, &message);
    }
    let request = EditRequest {
        service: service.to_owned(),
        edit_id: rand::random(),
        author: team.to_owned(),
        unix_millis: 0,
        text,
        base,
        active_generation: current_generation(context, service),
    };
    edit_response(context, run_edit(&*context.platform, request).await)
}

fn read_base(parts: &Parts) -> Option<u64> {
    let query = parts.uri.query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == "base").find_map(|(_, value)| value.parse().ok())
}

/// Checks that a team may edit a document: it must be both the current and the new owner. If it is not,
/// returns the owner as the error.
///
/// The current owner is read from the platform, because the active version of this entry VM may be
/// outdated.
async fn check_owner(
    context: &OperatorContext,
    team: &str,
    service: &str,
    new_owner: &str,
) -> Result<(), String> {
    if team == ADMIN_TEAM {
        return Ok(());
    }
    if team != new_owner {
        return Err(new_owner.to_owned());
    }
    let recorded_owner = current_owner(context, service).await;
    recorded_owner.filter(|owner| owner != team).map_or(Ok(()), Err)
}

async fn current_owner(context: &OperatorContext, service: &str) -> Option<String> {
    let active = context.node_state.services.load().get(service).map(|entry| entry.document.team.clone());
    let stored: Result<_, PlatformError> = context.platform.get(&format!("{CONFIG_PREFIX}{service}")).await;
    let edition =
        stored.ok().flatten().and_then(|object| serde_json::from_str::<ConfigEdition>(&object.value).ok());
    let stored_owner = edition.and_then(|edition| parse_document(service, &edition.text).ok());
    stored_owner.map(|document| document.team).or(active)
}

fn current_generation(context: &OperatorContext, service: &str) -> u64 {
    let status = context.node_state.status.load();
    status["versions"][service]["generation"].as_u64().unwrap_or(0)
}

fn edit_response(context: &OperatorContext, result: EditResult) -> Response<ResponseBody> {
    match result {
        EditResult::Accepted(edition) => {
            let _ = context.event_sender.send(ControlEvent::Edition(Box::new(edition.clone())));
            json_response(
                StatusCode::OK,
                &config_response("accepted", "active on all entry VMs within seconds", Some(edition)),
            )
        }
        EditResult::Superseded(edition) => {
            let message = "your edit took effect and a later one has replaced it";
            json_response(StatusCode::OK, &config_response("superseded", message, Some(edition)))
        }
        EditResult::Conflict(edition) => {
            let message =
                "another edit came first and nothing was written; start again from the latest version";
            json_response(
                StatusCode::CONFLICT,
                &config_response("conflict", message, edition.map(|edition| *edition)),
            )
        }
        EditResult::NotSent => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the platform is unavailable and nothing was written; try again later",
        ),
        EditResult::Indeterminate => {
            let message =
                "the platform did not respond: the edit may have taken effect; read the document again";
            json_response(StatusCode::GATEWAY_TIMEOUT, &config_response("open", message, None))
        }
    }
}

fn config_response(result: &str, message: &str, edition: Option<ConfigEdition>) -> ConfigResponse {
    let (latest, text) = edition.map(|edition| (edition.mark, edition.text)).unzip();
    ConfigResponse { result: result.to_owned(), message: message.to_owned(), latest, text }
}
