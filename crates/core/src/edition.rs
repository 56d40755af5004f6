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
    pub fn precedence(&self) -> (Generation, EditId) {
        (self.mark.generation, self.mark.edit_id)
    }

    /// Whether this edition is, or follows, the edit.
    pub fn includes(&self, edit_id: EditId) -> bool {
        self.mark.edit_id == edit_id || self.history.iter().any(|mark| mark.edit_id == edit_id)
    }
}

/// Short form of an edition, for announcements and comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditionSummary {
    /// The service.
    pub service: ServiceName,
    /// Its version.
    pub generation: Generation,
    /// The edit that made it.
    pub edit_id: EditId,
}

/// What became of an offered edition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and now in force.
    Adopted,
    /// It is in force already.
    Unchanged,
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
    pub fn offer(&mut self, edition: ConfigEdition) -> OfferOutcome {
        if let Some(current) = self.editions.get(&edition.service) {
            match edition.precedence().cmp(&current.precedence()) {
                std::cmp::Ordering::Less => return OfferOutcome::Stale,
                std::cmp::Ordering::Equal => return OfferOutcome::Unchanged,
                std::cmp::Ordering::Greater => toggle(&mut self.digest, current),
            }
        }
        toggle(&mut self.digest, &edition);
        self.editions.insert(edition.service.clone(), edition);
        OfferOutcome::Adopted
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
    pub fn is_newer(&self, summary: &EditionSummary) -> bool {
        let current = self.editions.get(&summary.service).map(ConfigEdition::precedence);
        current.is_none_or(|precedence| (summary.generation, summary.edit_id) > precedence)
    }

    /// Digest of all editions in force.
    pub fn digest(&self) -> BucketDigest {
        self.digest
    }

    /// Notes of the editions in the buckets of `mask`.
    pub fn summaries(&self, mask: u8) -> Vec<EditionSummary> {
        let selected = self.editions.values().filter(|edition| is_in_mask(edition.service.as_bytes(), mask));
        selected.map(summary_of).collect()
    }
}

/// Short form of an edition.
pub fn summary_of(edition: &ConfigEdition) -> EditionSummary {
    EditionSummary {
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
