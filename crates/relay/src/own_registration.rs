//! Decision whether this process registers itself as the entry VM of its name.
//!
//! A process that starts replaces the registration that it finds, which belongs to an earlier process of the
//! name. Once registered, it gives way to a registration that was written after its own: that of a
//! successor. Two processes of one name, as around a hand-over, therefore do not replace each other's
//! registration again and again.

/// Registration found in the store under the name of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoundRegistration {
    /// Version of the object.
    pub version: u64,
    /// Whether it describes this process.
    pub is_own: bool,
    /// Whether it comes from an older copy of the store and may be older than this process.
    pub is_restored: bool,
}

/// The registration of this process.
#[derive(Debug, Default)]
pub struct OwnRegistration {
    /// Version that this process wrote last; `None` before its first registration.
    written_version: Option<u64>,
}

impl OwnRegistration {
    /// Returns whether this process has to register, given what is in the store.
    pub fn is_due(&self, found: Option<FoundRegistration>) -> bool {
        found.is_none_or(|found| !found.is_own) && !self.is_replaced(found)
    }

    /// Returns whether a successor has registered.
    pub fn is_replaced(&self, found: Option<FoundRegistration>) -> bool {
        let Some((found, written)) = found.zip(self.written_version) else { return false };
        !found.is_own && !found.is_restored && found.version > written
    }

    /// Returns whether a registration is that of an earlier process, which ended without removing it.
    pub fn is_predecessor(&self, found: Option<FoundRegistration>) -> bool {
        self.written_version.is_none() && found.is_some_and(|found| !found.is_own)
    }

    /// Records that this process has registered.
    pub fn record_written(&mut self, version: u64) {
        self.written_version = Some(version);
    }
}
