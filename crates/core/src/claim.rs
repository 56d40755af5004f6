//! Idempotency keys bound to one process incarnation.
//!
//! A lookup response carries a [`ClaimTicket`], from which callers create keys. Only the incarnation
//! named by the ticket may send a request with such a key to a target, and only once.
//!
//! The table is bounded. Keys expire one ticket epoch at a time; a request with a key of an expired
//! epoch is refused and never executed. A full table refuses new keys. The table depends on neither
//! the platform nor a peer, so the at-most-once guarantee also holds during partitions and outages.

use crate::ids::IncarnationId;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Result of parsing a key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Maximum length of the caller's part of a key, in bytes.
pub const MAX_SUFFIX_BYTES: usize = 64;

/// Error returned when a key cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("idempotency key must be INCARNATION-EPOCH-SUFFIX from the ticket of the lookup response")]
pub struct KeyError;

/// Permission to create keys for one incarnation during one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimTicket {
    /// The only incarnation that may execute requests with keys of this ticket.
    pub incarnation: IncarnationId,
    /// Epoch in which the ticket was issued, counted from the start of the incarnation.
    pub epoch: u32,
}

impl fmt::Display for ClaimTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.epoch)
    }
}

/// Idempotency key of one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Ticket from which the key was created.
    pub ticket: ClaimTicket,
    /// Part chosen by the caller; unique for the ticket.
    pub suffix: String,
}

impl FromStr for ClaimKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.trim_matches('"').splitn(3, '-');
        let incarnation = parse_hex(parts.next(), 16)?;
        let epoch = parse_hex(parts.next(), 8)?;
        let suffix = parts.next().ok_or(KeyError)?;
        let is_valid_suffix = (1..=MAX_SUFFIX_BYTES).contains(&suffix.len())
            && suffix.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid_suffix {
            return Err(KeyError);
        }
        let epoch = u32::try_from(epoch).map_err(|_| KeyError)?;
        Ok(Self { ticket: ClaimTicket { incarnation, epoch }, suffix: suffix.to_owned() })
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.ticket, self.suffix)
    }
}

fn parse_hex(part: Option<&str>, max_digits: usize) -> Result<u64> {
    let digits = part.ok_or(KeyError)?;
    let is_valid =
        (1..=max_digits).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_valid {
        return Err(KeyError);
    }
    u64::from_str_radix(digits, 16).map_err(|_| KeyError)
}

/// Returns the epoch of a ticket issued `age` after the start of its incarnation. `length` is the
/// length of one epoch.
pub fn epoch_at(age: Duration, length: Duration) -> u32 {
    (age.as_nanos() / length.as_nanos().max(1)) as u32
}

/// State of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// Accepted, but not yet handed to a target connection.
    Held,
    /// Handed to a target connection; the outcome is pending.
    Sent,
    /// A target executed the request and responded with this HTTP status.
    Ran(u16),
    /// The outcome can no longer be determined.
    Unknown,
}

/// Verdict on a new request with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key is new; the request may be sent once.
    Accepted,
    /// The key was claimed before and has this state.
    Duplicate(ClaimState),
    /// The key belongs to another incarnation.
    OtherIncarnation,
    /// The key's epoch has expired.
    Expired,
    /// The key's epoch was never issued.
    NeverIssued,
    /// The table is full; the request was not executed here.
    Full,
}

/// Bounds of a claim table.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Length of one ticket epoch.
    pub epoch_length: Duration,
    /// Number of epochs that are retained, including the current one.
    pub retained_epochs: u32,
    /// Maximum number of retained keys.
    pub max_keys: usize,
}

/// Keys claimed at this incarnation.
#[derive(Debug)]
pub struct ClaimTable {
    incarnation: IncarnationId,
    started: Instant,
    limits: ClaimLimits,
    /// Keys by epoch, the oldest retained epoch first. The last entry is one epoch ahead of the
    /// current one, because tickets are also issued by peers, whose clocks may be ahead.
    epochs: VecDeque<HashMap<String, ClaimState>>,
    oldest_epoch: u32,
    key_count: usize,
}

impl ClaimTable {
    /// Creates an empty table for a new incarnation.
    pub fn new(incarnation: IncarnationId, started: Instant, limits: ClaimLimits) -> Self {
        let epochs = VecDeque::from([HashMap::new(), HashMap::new()]);
        Self { incarnation, started, limits, epochs, oldest_epoch: 0, key_count: 0 }
    }

    /// Returns a ticket for the current epoch.
    pub fn issue_ticket(&mut self, now: Instant) -> ClaimTicket {
        self.advance(now);
        ClaimTicket { incarnation: self.incarnation, epoch: self.newest_epoch() - 1 }
    }

    /// Claims `key` for a request. An accepted key is held until its outcome is recorded or it is
    /// released.
    pub fn claim(&mut self, key: &ClaimKey, now: Instant) -> ClaimVerdict {
        self.advance(now);
        if key.ticket.incarnation != self.incarnation {
            return ClaimVerdict::OtherIncarnation;
        }
        if key.ticket.epoch > self.newest_epoch() {
            return ClaimVerdict::NeverIssued;
        }
        let is_full = self.key_count >= self.limits.max_keys;
        let Some(states) = self.epoch_mut(key.ticket.epoch) else {
            return ClaimVerdict::Expired;
        };
        if let Some(state) = states.get(&key.suffix) {
            return ClaimVerdict::Duplicate(*state);
        }
        if is_full {
            return ClaimVerdict::Full;
        }
        states.insert(key.suffix.clone(), ClaimState::Held);
        self.key_count += 1;
        ClaimVerdict::Accepted
    }

    /// Marks a held key as sent. Returns whether the request may be sent now: `false` if the key is no
    /// longer held, for example because its epoch expired while the process was paused.
    pub fn mark_sent(&mut self, key: &ClaimKey, now: Instant) -> bool {
        self.advance(now);
        match self.state_mut(key) {
            Some(state) if *state == ClaimState::Held => {
                *state = ClaimState::Sent;
                true
            }
            _ => false,
        }
    }

    /// Records that the target itself refused a sent request, so that it may be sent again.
    pub fn mark_refused(&mut self, key: &ClaimKey) {
        if let Some(state) = self.state_mut(key)
            && *state == ClaimState::Sent
        {
            *state = ClaimState::Held;
        }
    }

    /// Records that a target executed a sent request and responded with `status`.
    pub fn mark_ran(&mut self, key: &ClaimKey, status: u16) {
        self.settle_sent(key, ClaimState::Ran(status));
    }

    /// Records that the outcome of a sent request can no longer be determined.
    pub fn mark_unknown(&mut self, key: &ClaimKey) {
        self.settle_sent(key, ClaimState::Unknown);
    }

    fn settle_sent(&mut self, key: &ClaimKey, outcome: ClaimState) {
        if let Some(state) = self.state_mut(key)
            && *state == ClaimState::Sent
        {
            *state = outcome;
        }
    }

    /// Removes a key that is held and not sent. The same key may be claimed again.
    pub fn release(&mut self, key: &ClaimKey) {
        let Some(states) = self.epoch_mut(key.ticket.epoch) else { return };
        if states.get(&key.suffix) == Some(&ClaimState::Held) {
            states.remove(&key.suffix);
            self.key_count -= 1;
        }
    }

    /// Returns the number of retained keys.
    pub fn key_count(&self) -> usize {
        self.key_count
    }

    fn newest_epoch(&self) -> u32 {
        self.oldest_epoch + self.epochs.len() as u32 - 1
    }

    fn advance(&mut self, now: Instant) {
        let required_epoch =
            epoch_at(now.saturating_duration_since(self.started), self.limits.epoch_length) + 1;
        if required_epoch.saturating_sub(self.newest_epoch()) > self.limits.retained_epochs {
            self.epochs = VecDeque::from([HashMap::new(), HashMap::new()]);
            self.key_count = 0;
            self.oldest_epoch = required_epoch - 1;
            return;
        }
        while self.newest_epoch() < required_epoch {
            self.epochs.push_back(HashMap::new());
            self.drop_expired_epochs();
        }
    }

    fn drop_expired_epochs(&mut self) {
        while self.epochs.len() as u32 > self.limits.retained_epochs.max(1) + 1 {
            let dropped = self.epochs.pop_front().unwrap_or_default();
            self.key_count -= dropped.len();
            self.oldest_epoch += 1;
        }
    }

    fn epoch_mut(&mut self, epoch: u32) -> Option<&mut HashMap<String, ClaimState>> {
        let index = epoch.checked_sub(self.oldest_epoch)?;
        self.epochs.get_mut(index as usize)
    }

    fn state_mut(&mut self, key: &ClaimKey) -> Option<&mut ClaimState> {
        if key.ticket.incarnation != self.incarnation {
            return None;
        }
        self.epoch_mut(key.ticket.epoch)?.get_mut(&key.suffix)
    }
}
