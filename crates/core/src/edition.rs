//! Accepted configuration editions. The version of a service never decreases: an older edition from
//! a stale source is ignored.

use crate::digest::{BucketDigest, is_in_mask};
use crate::ids::{Generation, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of earlier edits that an edition lists, so that an edit whose response was lost
/// can be resolved later.
pub const MAX_HISTORY: usize = 16;

/// ID of an edit, chosen at random by the editor.
pub type EditId = u128;

/// Metadata of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditMark {
    /// ID of the edit.
    pub edit_id: EditId,
    /// Configuration version that the edit created.
    pub generation: Generation,
    /// Author of the edit.
    pub author: String,
    /// Time of the edit in milliseconds since the Unix epoch, by the clock of the entry VM that wrote
    /// the edition.
    pub unix_millis: u64,
}

/// One accepted version of a service's document, as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEdition {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Edit that created this edition.
    pub mark: EditMark,
    /// Earlier edits, most recent first.
    pub history: Vec<EditMark>,
    /// INI text of the document.
    pub text: String,
}

impl ConfigEdition {
    /// Returns the sort key of editions of the same service; a higher one replaces a lower one.
    pub fn precedence(&self) -> (Generation, EditId) {
        (self.mark.generation, self.mark.edit_id)
    }

    /// Returns whether the edit created this edition or is listed in its history.
    pub fn includes(&self, edit_id: EditId) -> bool {
        self.mark.edit_id == edit_id || self.history.iter().any(|mark| mark.edit_id == edit_id)
    }
}

/// Identifies an edition without its text, for announcements and comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditionSummary {
    /// Service that the edition configures.
    pub service: ServiceName,
    /// Configuration version.
    pub generation: Generation,
    /// Edit that created the edition.
    pub edit_id: EditId,
}

/// Outcome of offering an edition to an [`EditionTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The edition is newer and has become active.
    Adopted,
    /// The edition is already active.
    Unchanged,
    /// A newer edition is active.
    Stale,
}

/// Active edition of each service.
#[derive(Debug, Default)]
pub struct EditionTable {
    editions: BTreeMap<ServiceName, ConfigEdition>,
    digest: BucketDigest,
}

impl EditionTable {
    /// Offers an edition from any source; it is adopted only if it is newer than the active one.
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

    /// Returns the active edition of a service.
    pub fn get(&self, service: &str) -> Option<&ConfigEdition> {
        self.editions.get(service)
    }

    /// Returns all active editions.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigEdition> {
        self.editions.values()
    }

    /// Returns whether an announced edition is newer than the active one.
    pub fn is_newer(&self, summary: &EditionSummary) -> bool {
        let current = self.editions.get(&summary.service).map(ConfigEdition::precedence);
        current.is_none_or(|precedence| (summary.generation, summary.edit_id) > precedence)
    }

    /// Returns the digest of all active editions.
    pub fn digest(&self) -> BucketDigest {
        self.digest
    }

    /// Returns the summaries of the active editions in the digest buckets of `mask`.
    pub fn summaries(&self, mask: u8) -> Vec<EditionSummary> {
        let selected = self.editions.values().filter(|edition| is_in_mask(edition.service.as_bytes(), mask));
        selected.map(summary_of).collect()
    }
}

/// Returns the summary of an edition.
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
