//! Whether a target is cold, and how often this entry VM may send to it meanwhile.
//!
//! A cold target tolerates a low rate of requests from all entry VMs together and crashes well above it. The rate is
//! divided without messages: each of a fixed number of entry VMs waits for an interval between two requests. A target with
//! which contact was lost may have restarted, so that it counts as cold until a health response or its entry says otherwise.
//!
//! Invariants:
//!
//! - the first request to a target that has turned cold comes a full interval later;
//! - a response to a health check that was sent before contact was lost does not make a target warm.

use std::time::{Duration, Instant};

/// Interval at which targets are checked while there are requests: they may turn cold without a restart.
const READING_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a health response is expected after contact was lost.
const READING_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without a health response, while there are checks, after which contact counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Part of a whole number of requests per second that is used, so that intervals are longer than a part of a second.
const RATE_MARGIN: f64 = 0.99;
/// Number of views of the fleet by which entry VMs may send at the same time, while it changes.
const CONCURRENT_VIEWS: f64 = 2.0;

/// Limit of a cold target, over all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBudget {
    /// Requests per second that a cold target tolerates.
    pub per_second: f64,
    /// Maximum number of requests in any one second.
    pub per_window: f64,
}

impl WarmUpBudget {
    /// Returns the maximum number of entry VMs that may send to a cold target.
    pub fn max_senders(self) -> usize {
        (self.per_window / CONCURRENT_VIEWS).floor().max(1.0) as usize
    }

    /// Returns the minimum time between two requests of one of `senders` entry VMs, so that twice as many, while the fleet
    /// changes, stay within the window. Below one request per sender and window, they stay within it on average.
    pub fn interval(self, senders: usize) -> Duration {
        let senders = senders.max(1) as f64;
        let in_window = self.per_window / (CONCURRENT_VIEWS * senders);
        let whole = if in_window >= 1.0 { in_window.floor() } else { in_window };
        let rate = (self.per_second / senders).min(RATE_MARGIN * whole);
        Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX)
    }
}

/// How a target of a service with a warm-up policy is treated while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Start of the instance in milliseconds since the Unix epoch, as its entry states it.
    pub started_millis: Option<u64>,
    /// Time for which a target is cold after a start.
    pub duration: Duration,
    /// Minimum time between two requests of this entry VM; `None` if it sends none.
    pub interval: Option<Duration>,
    /// Whether the target has been listed for longer than it is cold after a start, so that its entry is relied on when
    /// it joins.
    pub is_established: bool,
}

/// Change of a target's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmUpChange {
    /// The target has turned cold.
    Cold,
    /// Contact was lost; the target counts as cold.
    Lost,
    /// The target is warm.
    Warm,
}

impl WarmUpChange {
    /// Returns the name that is used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Lost => "lost, counts as cold",
            Self::Warm => "warm",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WarmUpPhase {
    Warm,
    Cold { since: Instant, until: Instant },
    Lost { since: Instant },
}

/// State of one target of a service with a warm-up policy.
#[derive(Debug)]
pub struct WarmUpState {
    limit: ColdLimit,
    phase: WarmUpPhase,
    /// Start and time left in the last entry: an entry counts only when it is new.
    entry: (Option<u64>, Duration),
    /// Time at which the last interval began.
    interval_since: Instant,
    /// Whether a request may be sent, as of the last tick.
    is_open: bool,
    /// Whether a request was sent since the last tick.
    has_sent: bool,
    /// Whether a health response is wanted at once.
    is_urgent: bool,
    read_at: Option<Instant>,
    /// Time of the first check since the last health response.
    unanswered_since: Option<Instant>,
}

impl WarmUpState {
    /// Creates the state of a target whose entry states this time left. One that joins may have restarted since its entry
    /// was written, unless it has been listed for a while.
    pub fn new(limit: ColdLimit, left: Duration, is_joining: bool, now: Instant) -> Self {
        let entry = (limit.started_millis, left);
        let is_joining = is_joining && !limit.is_established;
        let phase = if !left.is_zero() {
            WarmUpPhase::Cold { since: now, until: now + left }
        } else if is_joining {
            WarmUpPhase::Lost { since: now }
        } else {
            WarmUpPhase::Warm
        };
        Self {
            limit,
            phase,
            entry,
            interval_since: now,
            is_open: false,
            has_sent: false,
            is_urgent: is_joining,
            read_at: None,
            unanswered_since: None,
        }
    }

    /// Applies the entry of the target, which states this time left, if it is new.
    pub fn apply_entry(&mut self, limit: ColdLimit, left: Duration, now: Instant) -> Option<WarmUpChange> {
        let entry = (limit.started_millis, left);
        let previous = std::mem::replace(&mut self.entry, entry);
        self.limit = limit;
        if previous == entry {
            return None;
        }
        if !left.is_zero() {
            return self.turn_cold(left, now);
        }
        if previous.0 == entry.0 { None } else { self.lose(now) }
    }

    /// Records that contact was lost: the target may have restarted.
    pub fn lose(&mut self, now: Instant) -> Option<WarmUpChange> {
        self.is_urgent = true;
        let previous = std::mem::replace(&mut self.phase, WarmUpPhase::Lost { since: now });
        (previous == WarmUpPhase::Warm).then(|| {
            self.begin_interval(now);
            WarmUpChange::Lost
        })
    }

    /// Records a health response to a check sent at `sent_at`, with the time for which the target stays cold.
    pub fn record_reading(&mut self, left: Duration, sent_at: Instant, now: Instant) -> Option<WarmUpChange> {
        self.read_at = Some(now);
        self.unanswered_since = None;
        if !left.is_zero() {
            return self.turn_cold(left, now);
        }
        let since = match self.phase {
            WarmUpPhase::Warm => return None,
            WarmUpPhase::Cold { since, .. } | WarmUpPhase::Lost { since } => since,
        };
        (sent_at >= since).then(|| self.turn_warm())
    }

    /// Records a response to a request: a lost target runs, and is cold for no longer than after a start.
    pub fn record_response(&mut self, now: Instant) {
        if let WarmUpPhase::Lost { since } = self.phase {
            self.phase = WarmUpPhase::Cold { since, until: now + self.limit.duration };
        }
    }

    /// Ends what is over, and determines whether a request may be sent.
    pub fn tick(&mut self, now: Instant) -> Option<WarmUpChange> {
        let is_over = match self.phase {
            WarmUpPhase::Warm => false,
            WarmUpPhase::Cold { until, .. } => now >= until,
            // An entry VM that sends nothing to cold targets does not check them.
            WarmUpPhase::Lost { since } => {
                self.limit.interval.is_none() && now >= since + self.limit.duration
            }
        };
        if is_over {
            return Some(self.turn_warm());
        }
        if std::mem::take(&mut self.has_sent) {
            self.begin_interval(now);
        }
        let has_passed = |interval| now.saturating_duration_since(self.interval_since) >= interval;
        self.is_open = self.limit.interval.is_some_and(has_passed);
        None
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self) {
        self.has_sent = true;
        self.is_open = false;
    }

    /// Returns whether a request may be sent now, as of the last tick.
    pub fn may_send(&self) -> bool {
        !self.is_cold() || self.is_open
    }

    /// Returns whether the target is cold, or counts as cold.
    pub fn is_cold(&self) -> bool {
        self.phase != WarmUpPhase::Warm
    }

    /// Returns whether a health response is wanted: at once if contact was lost, otherwise now and then.
    pub fn wants_reading(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= READING_INTERVAL;
        self.is_urgent || matches!(self.phase, WarmUpPhase::Lost { .. }) || self.read_at.is_none_or(is_old)
    }

    /// Returns whether the next check need not keep its distance from the last one.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Records that a check is sent. A target that answers none for a while has lost contact.
    pub fn record_check(&mut self, now: Instant) -> Option<WarmUpChange> {
        let since = *self.unanswered_since.get_or_insert(now);
        let is_silent = now.saturating_duration_since(since) >= SILENCE_LIMIT;
        let change = if is_silent && !self.is_cold() { self.lose(now) } else { None };
        self.is_urgent = false;
        change
    }

    /// Returns the rate at which this entry VM may send while the target is cold, in requests per second, and the number
    /// of requests that it may send now. Returns `None` while the first health response after a loss is awaited.
    pub fn capacity(&self, now: Instant) -> Option<(f64, f64)> {
        let is_awaited = |since: Instant| now.saturating_duration_since(since) < READING_TIMEOUT;
        if matches!(self.phase, WarmUpPhase::Lost { since } if is_awaited(since)) {
            return None;
        }
        let rate = self.limit.interval.map_or(0.0, |interval| 1.0 / interval.as_secs_f64());
        Some((rate, if self.is_open { 1.0 } else { 0.0 }))
    }

    fn turn_cold(&mut self, left: Duration, now: Instant) -> Option<WarmUpChange> {
        let since = match self.phase {
            WarmUpPhase::Cold { since, .. } => since,
            _ => now,
        };
        let previous = std::mem::replace(&mut self.phase, WarmUpPhase::Cold { since, until: now + left });
        if previous == WarmUpPhase::Warm {
            self.begin_interval(now);
        }
        (!matches!(previous, WarmUpPhase::Cold { .. })).then_some(WarmUpChange::Cold)
    }

    fn turn_warm(&mut self) -> WarmUpChange {
        self.phase = WarmUpPhase::Warm;
        WarmUpChange::Warm
    }

    fn begin_interval(&mut self, now: Instant) {
        self.interval_since = now;
        self.is_open = false;
        self.has_sent = false;
    }
}
