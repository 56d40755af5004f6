//! One edit of a service's document, from the first read to a certain result.
//!
//! The edit is accepted when its conditional write took effect. The answer to the write can be
//! lost after it took effect, so that an unanswered write is resolved by reading back: every
//! edition names its own edit and the latest earlier ones. The session is a state machine without
//! I/O; its caller performs the [`EditStep`]s against the platform.

use crate::edition::{ConfigEdition, EditId, EditMark, MAX_HISTORY};
use crate::ids::{Generation, ServiceName};

/// Writes tried before the session gives up with an open result.
const MAX_WRITES: u32 = 4;

/// Version of a platform object; 0 stands for "does not exist".
pub type ObjectVersion = u64;

/// What the editor asks for.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// Service to configure.
    pub service: ServiceName,
    /// Number of the edit.
    pub edit_id: EditId,
    /// Who edits.
    pub author: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// New INI text.
    pub text: String,
    /// Version that the editor started from; 0 for a new service.
    pub base: Generation,
    /// Version in force at the entry VM that performs the edit; a recreated object must not fall
    /// below it.
    pub active_generation: Generation,
}

/// What was read from the platform.
#[derive(Debug, Clone)]
pub struct StoredEdition {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Its content.
    pub edition: ConfigEdition,
}

/// Answer to a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// The object's version was another one; nothing was written.
    Conflict,
    /// No answer: it may have taken effect.
    NoResponse,
}

/// What the caller has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum EditStep {
    /// Read the object and call [`EditSession::on_read`].
    Read,
    /// Write the edition if the object still has this version, then call
    /// [`EditSession::on_written`].
    Write {
        /// Expected version.
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
    /// The edit took effect, and a later one has replaced it.
    Superseded(ConfigEdition),
    /// Another edit came first; nothing was written.
    Conflict(Option<Box<ConfigEdition>>),
    /// The platform did not answer before anything was written.
    NotSent,
    /// The platform did not answer; the edit may or may not have taken effect.
    Indeterminate,
}

/// One edit under way.
#[derive(Debug, Clone)]
pub struct EditSession {
    request: EditRequest,
    written: Option<ConfigEdition>,
    writes: u32,
}

impl EditSession {
    /// A session whose first step is [`EditStep::Read`].
    pub fn new(request: EditRequest) -> Self {
        Self { request, written: None, writes: 0 }
    }

    /// Continues after a read. `Err` stands for no answer.
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

    /// Continues after a conditional write.
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
        if self.writes >= MAX_WRITES {
            return EditStep::Finished(EditResult::Indeterminate);
        }
        self.writes += 1;
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

    /// Result when the platform cannot be read: open once a write was tried.
    fn read_failure_result(&self) -> EditResult {
        if self.writes == 0 { EditResult::NotSent } else { EditResult::Indeterminate }
    }
}
