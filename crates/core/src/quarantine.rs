//! Requests under which targets have crashed, and their quarantine.
//!
//! A request may crash each target that begins to run it, and its caller repeats it at any entry VM. Entry VMs
//! therefore report the crashes that they have seen to each other. Content under which
//! [`QUARANTINE_THRESHOLD`] targets have crashed is quarantined: requests with it are refused.
//!
//! Invariants:
//!
//! - Only crashes since the last completed run that this entry VM has seen count, so that content which is being
//!   served is not quarantined when targets crash under other requests.
//! - A crash counts once, however many entry VMs report it, and not against content if other content with more
//!   crashes was running on the same target.
//! - As long as all crashes are those of one caller, only that caller is concerned.
//! - A quarantine ends. After it, one request at a time is let through as a trial. A crash begins the next
//!   quarantine, which is longer; a completed run clears the content.
//! - The table is bounded. The content with the fewest crashes makes room, the oldest of them first.
//!
//! Times are on a clock that does not stop while the VM is suspended. Reports carry no times: a crash counts
//! as recent when its report arrives.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Hash of what makes requests the same: method, host, path, query, credentials and body.
pub type ContentHash = u128;
/// Hash that identifies a crash: that of the instance of the target, which crashes only once.
pub type CrashHash = u64;
/// Hash that identifies a caller.
pub type CallerHash = u64;
/// Name of the entry VM that reports crashes.
pub type ReporterName = String;

/// Number of crashes from which content is quarantined. The users' platform allows three.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// Default duration of the first quarantine.
pub const DEFAULT_FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Factor by which each further crash lengthens the quarantine.
const QUARANTINE_GROWTH: u32 = 4;
/// Number of trials that end with a crash after which the content stays quarantined for as long as it is
/// requested. The users' platform allows three runs after the threshold.
const MAX_FAILED_TRIALS: u32 = 3;
/// Time without requests after which content with [`MAX_FAILED_TRIALS`] failed trials gets another one.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3600);
/// Delay of the trials of an entry VM for each entry VM that comes before it, so that the first trial is known
/// everywhere when the next one would begin.
const TRIAL_STAGGER: Duration = Duration::from_secs(5);
/// Time after which a trial without a result makes room for the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Age from which crashes below the threshold no longer count.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);
/// Time within which a suspicion is confirmed or dropped.
const SUSPICION_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of contents in a table.
const MAX_ENTRIES: usize = 1024;
/// Maximum number of contents that one entry VM reports.
pub const MAX_REPORTS: usize = 64;
/// Maximum number of entry VMs whose reports about one content are kept. Fewer suffice for the longest quarantine.
const MAX_REPORTERS: usize = 16;
/// Maximum number of crashes that are kept and reported for one content.
pub const MAX_CRASHES: usize = 16;
/// Number of callers from which content concerns all callers.
const MANY_CALLERS: usize = 2;
/// Delay after which a report that has become void is withdrawn. Withdrawals are not urgent.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Crashes under one content, as reported by one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The content.
    pub content: ContentHash,
    /// Crashes since the last completed run that the reporter has seen, [`MAX_CRASHES`] at most.
    pub crashes: Vec<CrashHash>,
    /// Callers of the requests, [`MANY_CALLERS`] at most.
    pub callers: Vec<CallerHash>,
}

/// A crash of a target while it ran a request.
#[derive(Debug, Clone, Copy)]
pub struct ObservedCrash {
    /// Content of the request.
    pub content: ContentHash,
    /// Caller of the request.
    pub caller: CallerHash,
    /// The crash.
    pub crash: CrashHash,
    /// Time at which the connection of the request was lost.
    pub crashed_at: Duration,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent and retried.
    Unrestricted,
    /// The request may be sent to one target only: the next crash begins a quarantine.
    SingleAttempt,
    /// The request may be sent to one target only, although its content was quarantined until now.
    Trial,
    /// The request is quarantined.
    Quarantined {
        /// Number of crashes under its content.
        crashes: usize,
        /// Time until the end of the quarantine.
        retry_after: Duration,
    },
}

/// What is known about one content.
#[derive(Debug, Default)]
struct CrashEvidence {
    own: BTreeSet<CrashHash>,
    reported: BTreeMap<ReporterName, BTreeSet<CrashHash>>,
    /// Reported crashes that a completed run has cleared.
    cleared: BTreeSet<CrashHash>,
    callers: Vec<CallerHash>,
    last_crash_at: Duration,
    /// Time of the last completed run that this entry VM has seen.
    completed_at: Option<Duration>,
    /// Number of crashes after the end of a quarantine.
    failed_trials: u32,
    trial_until: Option<Duration>,
}

impl CrashEvidence {
    /// Returns the crashes since the last completed run.
    fn crashes(&self) -> BTreeSet<CrashHash> {
        let known = self.reported.values().flatten().chain(&self.own);
        known.filter(|crash| !self.cleared.contains(crash)).copied().collect()
    }

    fn concerns(&self, caller: CallerHash) -> bool {
        self.callers.len() >= MANY_CALLERS || self.callers.contains(&caller)
    }

    /// Records crashes that were not known before. `quarantine` is the one that they follow.
    fn record_new_crashes(&mut self, callers: &[CallerHash], quarantine: Option<Duration>, now: Duration) {
        let is_trial = quarantine.is_some_and(|quarantine| now >= self.last_crash_at + quarantine);
        self.failed_trials += u32::from(is_trial);
        self.last_crash_at = now;
        self.trial_until = None;
        for caller in callers {
            if self.callers.len() < MANY_CALLERS && !self.callers.contains(caller) {
                self.callers.push(*caller);
            }
        }
    }

    fn clear(&mut self, now: Duration) {
        self.completed_at = Some(now);
        self.own.clear();
        self.cleared = self.reported.values().flatten().copied().collect();
        self.callers.clear();
        self.failed_trials = 0;
        self.trial_until = None;
    }

    fn has_failed_all_trials(&self) -> bool {
        self.failed_trials >= MAX_FAILED_TRIALS
    }

    /// Returns the duration of the quarantine if there are enough crashes for one.
    fn current_quarantine(&self, first_quarantine: Duration) -> Option<Duration> {
        (self.crashes().len() >= QUARANTINE_THRESHOLD).then(|| self.quarantine(first_quarantine))
    }

    /// Returns how long the content is quarantined after its last crash.
    fn quarantine(&self, first_quarantine: Duration) -> Duration {
        if self.has_failed_all_trials() {
            return LONGEST_QUARANTINE;
        }
        first_quarantine * QUARANTINE_GROWTH.pow(self.failed_trials)
    }

    fn is_expired(&self, first_quarantine: Duration, now: Duration) -> bool {
        let is_mere_suspicion = self.own.is_empty() && self.reported.is_empty();
        let retention = if is_mere_suspicion {
            SUSPICION_RETENTION
        } else {
            EVIDENCE_RETENTION.max(2 * self.quarantine(first_quarantine))
        };
        now.saturating_sub(self.last_crash_at) >= retention
    }
}

/// Contents under which targets have crashed, from own observations and reports.
#[derive(Debug)]
pub struct QuarantineTable {
    first_quarantine: Duration,
    entries: HashMap<ContentHash, CrashEvidence>,
    /// Time from which the reports of this entry VM have to be published again.
    publish_at: Option<Duration>,
}

impl Default for QuarantineTable {
    fn default() -> Self {
        Self::new(DEFAULT_FIRST_QUARANTINE)
    }
}

impl QuarantineTable {
    /// Creates an empty table. `first_quarantine` is the duration of a quarantine before any trial.
    pub fn new(first_quarantine: Duration) -> Self {
        Self { first_quarantine, entries: HashMap::new(), publish_at: None }
    }

    /// Returns whether nothing is known about any content.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of contents.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether anything is known about a content.
    pub fn contains(&self, content: ContentHash) -> bool {
        self.entries.contains_key(&content)
    }

    /// Returns the number of crashes that count against a content.
    pub fn crashes(&self, content: ContentHash) -> usize {
        let Some(evidence) = self.entries.get(&content) else { return 0 };
        let crashes = evidence.crashes();
        if crashes.is_empty() { 0 } else { self.remove_explained(content, crashes).len() }
    }

    /// Returns the entry VMs whose reports count against a content, for log lines.
    pub fn reporters(&self, content: ContentHash) -> Vec<&str> {
        let reported = self.entries.get(&content).into_iter().flat_map(|evidence| &evidence.reported);
        let counting = reported.filter(|(_, crashes)| !crashes.is_empty());
        counting.map(|(reporter, _)| reporter.as_str()).collect()
    }

    /// Records that a target may have crashed while it ran a request. Runs of the content that are completed from
    /// now on are taken into account when the crash is recorded.
    pub fn record_suspicion(&mut self, content: ContentHash, now: Duration) {
        self.entry(content, now);
    }

    /// Records a crash. One before a completed run does not count. Returns the number of crashes that count.
    pub fn record_crash(&mut self, observed: ObservedCrash, now: Duration) -> usize {
        let first_quarantine = self.first_quarantine;
        let evidence = self.entry(observed.content, now);
        let quarantine = evidence.current_quarantine(first_quarantine);
        let is_cleared =
            evidence.completed_at.is_some_and(|completed_at| completed_at >= observed.crashed_at);
        if !is_cleared && evidence.own.len() < MAX_CRASHES && evidence.own.insert(observed.crash) {
            evidence.record_new_crashes(&[observed.caller], quarantine, now);
            self.publish_at = Some(now);
        }
        self.crashes(observed.content)
    }

    /// Records that a target has completed a run of a request with this content. That of another caller proves
    /// nothing while all crashes are those of one.
    pub fn record_completion(&mut self, content: ContentHash, caller: CallerHash, now: Duration) {
        let Some(evidence) = self.entries.get_mut(&content) else { return };
        if !evidence.callers.is_empty() && !evidence.concerns(caller) {
            return;
        }
        if !evidence.own.is_empty() {
            self.publish_at.get_or_insert(now + WITHDRAWAL_DELAY);
        }
        evidence.clear(now);
    }

    /// Returns the time until the end of a quarantine that applies to a request, for requests that have been
    /// admitted before it began.
    pub fn quarantine_of(&self, content: ContentHash, caller: CallerHash, now: Duration) -> Option<Duration> {
        let evidence = self.entries.get(&content).filter(|evidence| evidence.concerns(caller))?;
        let end = evidence.last_crash_at + evidence.quarantine(self.first_quarantine);
        let is_quarantined = now < end && self.crashes(content) >= QUARANTINE_THRESHOLD;
        is_quarantined.then(|| end - now)
    }

    /// Decides on a request, before it is sent for the first time. `position` is the number of entry VMs whose
    /// trials come before those of this one.
    pub fn admit(
        &mut self,
        content: ContentHash,
        caller: CallerHash,
        position: u32,
        now: Duration,
    ) -> Admission {
        let crashes = self.crashes(content);
        let evidence = self.entries.get_mut(&content).filter(|evidence| evidence.concerns(caller));
        let Some(evidence) = evidence else { return Admission::Unrestricted };
        if crashes < QUARANTINE_THRESHOLD {
            let is_next_to_last = crashes + 1 == QUARANTINE_THRESHOLD;
            return if is_next_to_last { Admission::SingleAttempt } else { Admission::Unrestricted };
        }
        if evidence.has_failed_all_trials() {
            evidence.last_crash_at = now;
        }
        let end =
            evidence.last_crash_at + evidence.quarantine(self.first_quarantine) + TRIAL_STAGGER * position;
        let end = evidence.trial_until.map_or(end, |trial_until| end.max(trial_until));
        if now < end {
            return Admission::Quarantined { crashes, retry_after: end - now };
        }
        evidence.trial_until = Some(now + TRIAL_TIMEOUT);
        Admission::Trial
    }

    /// Replaces the reports of another entry VM. Content that it no longer reports has been served there.
    pub fn merge_reports(&mut self, reporter: &str, reports: &[CrashReport], now: Duration) {
        for (content, evidence) in &mut self.entries {
            if !reports.iter().any(|report| report.content == *content) {
                evidence.reported.remove(reporter);
            }
        }
        let first_quarantine = self.first_quarantine;
        for report in reports.iter().take(MAX_REPORTS) {
            let evidence = self.entry(report.content, now);
            let quarantine = evidence.current_quarantine(first_quarantine);
            if evidence.reported.len() >= MAX_REPORTERS && !evidence.reported.contains_key(reporter) {
                continue;
            }
            let known = evidence.crashes();
            let crashes = report.crashes.iter().take(MAX_CRASHES).copied().collect();
            evidence.reported.insert(reporter.to_owned(), crashes);
            if !evidence.crashes().is_subset(&known) {
                evidence.record_new_crashes(&report.callers, quarantine, now);
            }
        }
    }

    /// Takes over the reports of an earlier process of this entry VM.
    pub fn adopt_reports(&mut self, reports: &[CrashReport], now: Duration) {
        for report in reports.iter().take(MAX_REPORTS) {
            let evidence = self.entry(report.content, now);
            evidence.own.extend(report.crashes.iter().take(MAX_CRASHES));
            evidence.record_new_crashes(&report.callers, None, now);
        }
        self.publish_at.get_or_insert(now);
    }

    /// Returns the time from which the reports of this entry VM have to be published, if they have changed.
    pub fn publish_at(&self) -> Option<Duration> {
        self.publish_at
    }

    /// Returns the reports to publish, those of the most crashes first, and marks them as published.
    pub fn take_reports(&mut self) -> Vec<CrashReport> {
        self.publish_at = None;
        let mut own: Vec<_> = self.entries.iter().filter(|(_, evidence)| !evidence.own.is_empty()).collect();
        own.sort_by_key(|(content, evidence)| {
            (Reverse((evidence.own.len(), evidence.last_crash_at)), **content)
        });
        let reports = own.into_iter().take(MAX_REPORTS).map(|(content, evidence)| CrashReport {
            content: *content,
            crashes: evidence.own.iter().copied().collect(),
            callers: evidence.callers.clone(),
        });
        reports.collect()
    }

    /// Marks the reports as not published, because publishing them failed.
    pub fn restore_reports(&mut self, retry_at: Duration) {
        self.publish_at.get_or_insert(retry_at);
    }

    /// Removes what is too old to count.
    pub fn remove_expired(&mut self, now: Duration) {
        let before = self.entries.len();
        let first_quarantine = self.first_quarantine;
        self.entries.retain(|_, evidence| !evidence.is_expired(first_quarantine, now));
        if self.entries.len() < before {
            self.publish_at.get_or_insert(now + WITHDRAWAL_DELAY);
        }
    }

    /// Removes the crashes under which other content with more crashes was running.
    fn remove_explained(
        &self,
        content: ContentHash,
        mut crashes: BTreeSet<CrashHash>,
    ) -> BTreeSet<CrashHash> {
        let count = crashes.len();
        for (_, other) in self.entries.iter().filter(|(other, _)| **other != content) {
            let other_crashes = other.crashes();
            if other_crashes.len() > count {
                crashes.retain(|crash| !other_crashes.contains(crash));
            }
        }
        crashes
    }

    fn entry(&mut self, content: ContentHash, now: Duration) -> &mut CrashEvidence {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&content) {
            self.evict_weakest();
        }
        let new = || CrashEvidence { last_crash_at: now, ..CrashEvidence::default() };
        self.entries.entry(content).or_insert_with(new)
    }

    fn evict_weakest(&mut self) {
        let rank = |(content, evidence): &(&ContentHash, &CrashEvidence)| {
            (evidence.crashes().len(), evidence.last_crash_at, **content)
        };
        if let Some(content) = self.entries.iter().min_by_key(rank).map(|(content, _)| *content) {
            self.entries.remove(&content);
        }
    }
}
