//! Findings of a verifier. Each one has a location, and all of them are reported together.

use std::fmt;

/// Location of a finding in the input.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingLocation {
    /// File name or object key.
    pub file: String,
    /// Line number, starting at 1; 0 if unknown.
    pub line: usize,
    /// INI section.
    pub section: String,
    /// INI key; empty if the finding applies to the whole section.
    pub key: String,
}

/// A fault in the input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Location of the fault.
    pub location: FindingLocation,
    /// Description of the fault and of the accepted input.
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

/// All findings of one verification; an error if there are any.
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

    /// Returns the findings in the order in which they were added.
    pub fn as_slice(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it is not empty.
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
