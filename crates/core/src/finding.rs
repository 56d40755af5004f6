//! Findings of a verifier: each names its place, and all are reported together.

use std::fmt;

/// Where a finding was made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingLocation {
    /// File name or object key.
    pub file: String,
    /// Line, counted from 1; 0 when unknown.
    pub line: usize,
    /// INI section.
    pub section: String,
    /// INI key; empty for the section as a whole.
    pub key: String,
}

/// One fault found in an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub location: FindingLocation,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let location = &self.location;
        write!(f, "{}:{}: [{}]", location.file, location.line, location.section)?;
        if !location.key.is_empty() {
            write!(f, " {}", location.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All findings of one verification; an error when not empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, location: FindingLocation, message: impl Into<String>) {
        let message = message.into();
        self.findings.push(Finding { location, message });
    }

    /// The findings in the order in which they were made.
    pub fn as_slice(&self) -> &[Finding] {
        &self.findings
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns `value` if nothing was found, otherwise the findings.
    ///
    /// # Errors
    ///
    /// The list itself when it is not empty.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))
    }
}

impl std::error::Error for FindingList {}
