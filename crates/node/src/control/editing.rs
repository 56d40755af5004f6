//! Applies edits of documents to the platform's store.

use crate::wall_clock;
use sniperelay_core::edit::{EditRequest, EditResult, EditSession, EditStep, StoredEdition, WriteOutcome};
use sniperelay_core::edition::ConfigEdition;
use sniperelay_platform::{PlatformApi, PlatformError};
use std::time::Duration;

/// Prefix of the keys of documents in the platform.
pub const CONFIG_PREFIX: &str = "config/";
/// Maximum number of attempts to read a document before the read counts as failed.
const MAX_READ_ATTEMPTS: u32 = 5;
/// Interval between two attempts to read a document.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Runs an edit until its result is known or cannot be determined.
pub async fn run_edit(platform: &impl PlatformApi, mut request: EditRequest) -> EditResult {
    request.unix_millis = wall_clock::unix_millis();
    let key = format!("{CONFIG_PREFIX}{}", request.service);
    let mut session = EditSession::new(request);
    let mut step = EditStep::Read;
    loop {
        step = match step {
            EditStep::Read => session.on_read(read_edition(platform, &key).await),
            EditStep::Write { expected, edition } => {
                session.on_written(write_edition(platform, &key, expected, &edition).await)
            }
            EditStep::Finished(result) => return result,
        };
    }
}

async fn read_edition(platform: &impl PlatformApi, key: &str) -> Result<Option<StoredEdition>, ()> {
    for _ in 0..MAX_READ_ATTEMPTS {
        match platform.get(key).await {
            Ok(None) => return Ok(None),
            Ok(Some(object)) => {
                let edition: ConfigEdition = serde_json::from_str(&object.value).map_err(|_| ())?;
                return Ok(Some(StoredEdition { version: object.version, edition }));
            }
            Err(error) => log::warn!("cannot read {key}: {error}"),
        }
        tokio::time::sleep(READ_RETRY_INTERVAL).await;
    }
    Err(())
}

async fn write_edition(
    platform: &impl PlatformApi,
    key: &str,
    expected: u64,
    edition: &ConfigEdition,
) -> WriteOutcome {
    let Ok(value) = serde_json::to_string(edition) else { return WriteOutcome::Conflict };
    match platform.put(key, expected, &value).await {
        Ok(_) => WriteOutcome::Applied,
        Err(PlatformError::Conflict { .. }) => WriteOutcome::Conflict,
        Err(error) => {
            log::warn!("no response to the write of {key}: {error}");
            WriteOutcome::NoResponse
        }
    }
}
