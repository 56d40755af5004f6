//! State machine for one edit of a service's document against the platform.
//!
//! An edit is accepted when its conditional write takes effect. The response to the write can be
//! lost after the write took effect. The session therefore resolves a write without a response by
//! reading the object back: every edition contains the ID of its own edit and of the most recent
//! earlier ones. The session performs no I/O; its caller executes each [`EditStep`] against the
//! platform.

use crate::edition::{ConfigEdition, EditId, EditMark, MAX_HISTORY};
use crate::ids::{Generation, ServiceName};

/// Maximum number of writes before the session ends with [`EditResult::Indeterminate`].
const MAX_WRITES: u32 = 4;

/// Version of a platform object; 0 if the object does not exist.
pub type ObjectVersion = u64;

/// Edit requested by an editor.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// Service to configure.
    pub service: ServiceName,
    /// ID of the edit.
    pub edit_id: EditId,
    /// Author of the edit.
    pub author: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// New INI text.
    pub text: String,
    /// Configuration version that the edit is based on; 0 for a new service.
    pub base: Generation,
    /// Active configuration version at the entry VM that performs the edit. A recreated object must
    /// not get a lower version.
    pub active_generation: Generation,
}

/// Edition as read from the platform.
#[derive(Debug, Clone)]
pub struct StoredEdition {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content of the object.
    pub edition: ConfigEdition,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The object had a different version; nothing was written.
    Conflict,
    /// No response arrived; the write may have taken effect.
    NoResponse,
}

/// Next step for the caller of the session.
#[derive(Debug, Clone, PartialEq)]
pub enum EditStep {
    /// Read the object and call [`EditSession::on_read`].
    Read,
    /// Write the edition if the object still has the expected version, then call
    /// [`EditSession::on_written`].
    Write {
        /// Expected version of the object.
        expected: ObjectVersion,
        /// Content to write.
        edition: ConfigEdition,
    },
    /// The session has ended.
    Finished(EditResult),
}

/// Result of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum EditResult {
    /// The edit took effect as this edition.
    Accepted(ConfigEdition),
    /// The edit took effect, and a later edit has replaced it. Contains the later edition.
    Superseded(ConfigEdition),
    /// Another edit took effect first; this one was not written. Contains the stored edition, if any.
    Conflict(Option<Box<ConfigEdition>>),
    /// The platform did not respond, and no write was attempted.
    NotSent,
    /// The platform did not respond; the edit may or may not have taken effect.
    Indeterminate,
}

/// An edit in progress.
#[derive(Debug, Clone)]
pub struct EditSession {
    request: EditRequest,
    written: Option<ConfigEdition>,
    write_count: u32,
}

impl EditSession {
    /// Creates a session whose first step is [`EditStep::Read`].
    pub fn new(request: EditRequest) -> Self {
        Self { request, written: None, write_count: 0 }
    }

    /// Returns the next step after a read. `Err` means that no response arrived.
    pub fn on_read(&mut self, response: Result<Option<StoredEdition>, ()>) -> EditStep {
        let Ok(stored) = response else {
            return EditStep::Finished(self.read_failure_result());
        };
        if let Some(found) = &stored {
            if found.edition.mark.edit_id == self.request.edit_id {
                return EditStep::Finished(EditResult::Accepted(found.edition.clone()));
            }
            if found.edition.includes(self.request.edit_id) {
                return EditStep::Finished(EditResult::Superseded(found.edition.clone()));
            }
        }
        self.next_write(stored)
    }

    /// Returns the next step after a conditional write.
    pub fn on_written(&mut self, outcome: WriteOutcome) -> EditStep {
        match (outcome, self.written.clone()) {
            (WriteOutcome::Applied, Some(edition)) => EditStep::Finished(EditResult::Accepted(edition)),
            _ => EditStep::Read,
        }
    }

    fn next_write(&mut self, stored: Option<StoredEdition>) -> EditStep {
        let stored_generation = stored.as_ref().map_or(0, |found| found.edition.mark.generation);
        let latest = stored_generation.max(self.request.active_generation);
        if latest != self.request.base {
            let edition = stored.map(|found| Box::new(found.edition));
            return EditStep::Finished(EditResult::Conflict(edition));
        }
        if self.write_count >= MAX_WRITES {
            return EditStep::Finished(EditResult::Indeterminate);
        }
        self.write_count += 1;
        let expected = stored.as_ref().map_or(0, |found| found.version);
        let edition = self.build_edition(latest + 1, stored.map(|found| found.edition));
        self.written = Some(edition.clone());
        EditStep::Write { expected, edition }
    }

    fn build_edition(&self, generation: Generation, previous: Option<ConfigEdition>) -> ConfigEdition {
        let request = &self.request;
        let mark = EditMark {
            edit_id: request.edit_id,
            generation,
            author: request.author.clone(),
            unix_millis: request.unix_millis,
        };
        let older =
            previous.into_iter().flat_map(|edition| std::iter::once(edition.mark).chain(edition.history));
        let history = older.take(MAX_HISTORY).collect();
        ConfigEdition { service: request.service.clone(), mark, history, text: request.text.clone() }
    }

    /// Returns the result when a read fails: indeterminate once a write was attempted.
    fn read_failure_result(&self) -> EditResult {
        if self.write_count == 0 { EditResult::NotSent } else { EditResult::Indeterminate }
    }
}
