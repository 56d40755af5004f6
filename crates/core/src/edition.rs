//! Accepted configuration editions. Versions only rise, whatever a stale source says.

use crate::digest::{BucketDigest, is_in_mask};
use crate::ids::{Generation, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Earlier edits that an edition names, so that a lost answer can be resolved later.
pub const MAX_HISTORY: usize = 16;

/// Number of one edit, chosen at random by the editor.
pub type EditId = u128;

/// One edit: who made it and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditMark {
    /// Number of the edit.
    pub edit_id: EditId,
    /// Version that the edit made.
    pub generation: Generation,
    /// Who made it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch, by the clock of the entry VM that wrote it.
    pub unix_millis: u64,
}

/// One accepted version of a service's document, as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEdition {
    /// Service that the document configures.
    pub service: ServiceName,
    /// The edit that made it.
    pub mark: EditMark,
    /// Earlier edits, the latest first.
    pub history: Vec<EditMark>,
    /// The INI text.
    pub text: String,
}

impl ConfigEdition {
    /// Order in which editions of a service replace each other.
    pub fn rank(&self) -> (Generation, EditId) {
        (self.mark.generation, self.mark.edit_id)
    }

    /// Whether this edition is, or follows, the edit.
    pub fn includes(&self, edit_id: EditId) -> bool {
        self.mark.edit_id == edit_id || self.history.iter().any(|mark| mark.edit_id == edit_id)
    }
}

/// Short form of an edition, for announcements and comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditionNote {
    /// The service.
    pub service: ServiceName,
    /// Its version.
    pub generation: Generation,
    /// The edit that made it.
    pub edit_id: EditId,
}

/// What became of an offered edition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditionVerdict {
    /// It is newer and now in force.
    Adopted,
    /// It is in force already.
    Known,
    /// A newer one is in force.
    Stale,
}

/// Editions in force.
#[derive(Debug, Default)]
pub struct EditionTable {
    editions: BTreeMap<ServiceName, ConfigEdition>,
    digest: BucketDigest,
}

impl EditionTable {
    /// Offers an edition from any source; only a newer one is adopted.
    pub fn offer(&mut self, edition: ConfigEdition) -> EditionVerdict {
        if let Some(current) = self.editions.get(&edition.service) {
            match edition.rank().cmp(&current.rank()) {
                std::cmp::Ordering::Less => return EditionVerdict::Stale,
                std::cmp::Ordering::Equal => return EditionVerdict::Known,
                std::cmp::Ordering::Greater => toggle(&mut self.digest, current),
            }
        }
        toggle(&mut self.digest, &edition);
        self.editions.insert(edition.service.clone(), edition);
        EditionVerdict::Adopted
    }

    /// The edition of a service in force.
    pub fn get(&self, service: &str) -> Option<&ConfigEdition> {
        self.editions.get(service)
    }

    /// All editions in force.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigEdition> {
        self.editions.values()
    }

    /// Whether an announced edition is newer than the one in force.
    pub fn is_newer(&self, note: &EditionNote) -> bool {
        let current = self.editions.get(&note.service).map(ConfigEdition::rank);
        current.is_none_or(|rank| (note.generation, note.edit_id) > rank)
    }

    /// Digest of all editions in force.
    pub fn digest(&self) -> BucketDigest {
        self.digest
    }

    /// Notes of the editions in the buckets of `mask`.
    pub fn notes(&self, mask: u8) -> Vec<EditionNote> {
        let selected = self.editions.values().filter(|edition| is_in_mask(edition.service.as_bytes(), mask));
        selected.map(note_of).collect()
    }
}

/// Short form of an edition.
pub fn note_of(edition: &ConfigEdition) -> EditionNote {
    EditionNote {
        service: edition.service.clone(),
        generation: edition.mark.generation,
        edit_id: edition.mark.edit_id,
    }
}

fn toggle(digest: &mut BucketDigest, edition: &ConfigEdition) {
    let mut content = edition.mark.generation.to_le_bytes().to_vec();
    content.extend_from_slice(&edition.mark.edit_id.to_le_bytes());
    digest.toggle(edition.service.as_bytes(), &content);
}
