//! Request queue of one rank; admission bounds its length.
//!
//! Requests wait in one line for each client account and are served by start-time fair queueing (Goyal, Vin and Cheng, "Start-Time
//! Fair Queueing", IEEE/ACM Transactions on Networking 5(5), 1997), with a request as the unit. Within a line the first comes first, and
//! with a single line the queue is a FIFO queue. Further attempts go ahead of all lines.
//!
//! Invariants:
//!
//! - While accounts have requests queued, each is served in proportion to its weight, whatever the others queue.
//! - An account has no claim to service for the time in which it had nothing queued.
//! - A request that is removed, or refused because of its deadline, costs its account nothing.

use crate::account::AccountId;
use crate::ids::{QueuedKey, RequestId, TargetKey};
use slotmap::SlotMap;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

/// Weights of client accounts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountWeights {
    by_account: HashMap<AccountId, f64>,
    /// Weight of all others.
    other: f64,
}

impl AccountWeights {
    /// Takes the weights of accounts from their request limits, in requests per second. All others have the mean weight of
    /// these.
    pub fn from_limits(limits: impl IntoIterator<Item = (AccountId, f64)>) -> Self {
        let is_valid = |limit: &f64| limit.is_finite() && *limit > 0.0;
        let by_account: HashMap<_, _> = limits.into_iter().filter(|(_, limit)| is_valid(limit)).collect();
        let mean = by_account.values().sum::<f64>() / by_account.len().max(1) as f64;
        Self { by_account, other: mean }
    }

    fn get(&self, account: AccountId) -> f64 {
        let weight = self.by_account.get(&account).copied().unwrap_or(self.other);
        if weight > 0.0 { weight } else { 1.0 }
    }
}

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Request ID.
    pub request: RequestId,
    /// Client account.
    pub account: AccountId,
    /// Time by which the response must start.
    pub deadline: Instant,
    /// Time at which the request was queued.
    pub queued_at: Instant,
    /// Target of an earlier attempt, which a further attempt should avoid.
    pub avoid: Option<TargetKey>,
    /// Whether an earlier attempt is still in flight. A queued hedge does not expire: its response,
    /// even a late one, frees the slot that the first attempt holds.
    pub is_hedge: bool,
}

#[derive(Debug)]
struct QueueEntry {
    request: QueuedRequest,
    /// Whether the request is ahead of all lines.
    is_ahead: bool,
}

/// Requests of one account that wait for their first attempt.
#[derive(Debug)]
struct AccountLine {
    account: AccountId,
    /// Keys in the order of arrival, those of removed requests included.
    order: VecDeque<QueuedKey>,
    /// Number of requests that are queued.
    count: usize,
    /// Virtual time at which the next request of the line starts.
    start: f64,
}

/// Queue of the requests of one rank. Removed requests leave a stale key in their order, which is skipped.
#[derive(Debug, Default)]
pub struct RankQueue {
    requests: SlotMap<QueuedKey, QueueEntry>,
    /// Further attempts, and requests that were taken from a line and found no target.
    ahead: VecDeque<QueuedKey>,
    /// Lines of the accounts with queued requests, and of those that are not yet due again.
    lines: Vec<AccountLine>,
    /// Virtual time: the start of the request that was taken last.
    now: f64,
    weights: Arc<AccountWeights>,
}

impl RankQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Sets the weights of the accounts.
    pub fn set_weights(&mut self, weights: Arc<AccountWeights>) {
        if *self.weights != *weights {
            // Virtual times of the earlier weights cannot be compared with those of the new ones.
            self.lines.iter_mut().for_each(|line| line.start = self.now);
        }
        self.weights = weights;
    }

    /// Appends a request to the line of its account.
    pub fn push_back(&mut self, request: QueuedRequest) -> QueuedKey {
        let account = request.account;
        let key = self.requests.insert(QueueEntry { request, is_ahead: false });
        let line = self.open_line(account);
        line.order.push_back(key);
        line.count += 1;
        key
    }

    /// Inserts a request ahead of all lines.
    pub fn push_front(&mut self, request: QueuedRequest) -> QueuedKey {
        let key = self.requests.insert(QueueEntry { request, is_ahead: true });
        self.ahead.push_front(key);
        key
    }

    /// Removes and returns the request that is served next.
    pub fn pop_front(&mut self) -> Option<QueuedRequest> {
        while let Some(key) = self.ahead.pop_front() {
            if let Some(entry) = self.requests.remove(key) {
                return Some(entry.request);
            }
        }
        let index = self.next_line()?;
        let request = self.take_first(index)?;
        let weight = self.weights.get(request.account);
        self.now = self.lines[index].start;
        self.lines[index].start += 1.0 / weight;
        self.close_lines();
        Some(request)
    }

    /// Returns to an account what [`Self::pop_front`] has charged it for a request that is not served after all.
    pub fn refund(&mut self, request: &QueuedRequest) {
        let weight = self.weights.get(request.account);
        if let Some(line) = self.lines.iter_mut().find(|line| line.account == request.account) {
            line.start = (line.start - 1.0 / weight).max(self.now);
        }
    }

    /// Removes and returns the request with the given key.
    pub fn remove(&mut self, key: QueuedKey) -> Option<QueuedRequest> {
        let QueueEntry { request, is_ahead } = self.requests.remove(key)?;
        if self.requests.is_empty() {
            self.ahead.clear();
        }
        if !is_ahead {
            self.count_removed(request.account);
        }
        Some(request)
    }

    /// Returns the request that [`Self::pop_front`] takes.
    pub fn front(&self) -> Option<&QueuedRequest> {
        let ahead = self.ahead.iter().find_map(|key| self.get(*key));
        ahead.or_else(|| self.first_of(&self.lines[self.next_line()?]))
    }

    /// Returns the request that has waited for longest among those that are next in their lines, or a further attempt.
    pub fn oldest(&self) -> Option<&QueuedRequest> {
        let ahead = self.ahead.iter().find_map(|key| self.get(*key));
        let firsts = || self.lines.iter().filter_map(|line| self.first_of(line));
        ahead.or_else(|| firsts().min_by_key(|request| request.queued_at))
    }

    /// Returns a mutable reference to the request with the given key.
    pub fn get_mut(&mut self, key: QueuedKey) -> Option<&mut QueuedRequest> {
        self.requests.get_mut(key).map(|entry| &mut entry.request)
    }

    fn get(&self, key: QueuedKey) -> Option<&QueuedRequest> {
        self.requests.get(key).map(|entry| &entry.request)
    }

    /// Removes and returns a request that is next in its line if `condition` holds for it. Costs its account nothing.
    pub fn pop_front_if(&mut self, condition: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        while self.ahead.front().is_some_and(|key| !self.requests.contains_key(*key)) {
            self.ahead.pop_front();
        }
        if let Some(key) = self.ahead.front().copied() {
            if self.get(key).is_some_and(&condition) {
                self.ahead.pop_front();
                return self.requests.remove(key).map(|entry| entry.request);
            }
            if self.lines.len() == 1 {
                return None;
            }
        }
        let matches = |line: &AccountLine| self.first_of(line).is_some_and(&condition);
        let index = self.lines.iter().position(matches)?;
        let request = self.take_first(index);
        self.close_lines();
        request
    }

    /// Returns how many requests start before a new one of `account`: the further attempts, its own, and those of the others
    /// by weight.
    pub fn count_before(&self, account: AccountId) -> usize {
        if let [line] = self.lines.as_slice()
            && line.account == account
        {
            return self.len();
        }
        let in_lines: usize = self.lines.iter().map(|line| line.count).sum();
        let ahead = self.len() - in_lines;
        let own = self.lines.iter().find(|line| line.account == account);
        let own_start = own.map_or(self.now, |line| line.start.max(self.now));
        let own_count = own.map_or(0, |line| line.count);
        let start = own_start + own_count as f64 / self.weights.get(account);
        let others = self.lines.iter().filter(|line| line.account != account);
        let before = |line: &AccountLine| {
            let turns = (start - line.start) * self.weights.get(line.account);
            if turns < 0.0 { 0 } else { (turns as usize + 1).min(line.count) }
        };
        ahead + own_count + others.map(before).sum::<usize>()
    }

    /// Removes and returns the newest request of the account with most requests relative to its weight, so that one of `account`
    /// finds room. Returns `None` if `account` itself would have most.
    pub fn displace(&mut self, account: AccountId) -> Option<QueuedRequest> {
        let index = self.line_to_shorten(account)?;
        loop {
            let key = self.lines[index].order.pop_back()?;
            if let Some(entry) = self.requests.remove(key) {
                self.lines[index].count -= 1;
                self.close_lines();
                return Some(entry.request);
            }
        }
    }

    /// Returns whether [`Self::displace`] finds a request.
    pub fn may_displace(&self, account: AccountId) -> bool {
        self.line_to_shorten(account).is_some()
    }

    /// Returns the line with most requests relative to the weight of its account, unless that of `account` would be longer.
    fn line_to_shorten(&self, account: AccountId) -> Option<usize> {
        let load = |line: &AccountLine| line.count as f64 / self.weights.get(line.account);
        let own_count = self.lines.iter().find(|line| line.account == account).map_or(0, |line| line.count);
        let own_load = (own_count + 1) as f64 / self.weights.get(account);
        let others = self.lines.iter().enumerate().filter(|(_, line)| line.account != account);
        let largest = others.max_by(|left, right| load(left.1).total_cmp(&load(right.1)));
        largest.filter(|(_, line)| load(line) > own_load).map(|(index, _)| index)
    }

    fn open_line(&mut self, account: AccountId) -> &mut AccountLine {
        let now = self.now;
        let own = self.lines.iter().position(|line| line.account == account);
        let unused = || self.lines.iter().position(|line| line.count == 0 && line.start <= now);
        let index = own.or_else(unused).unwrap_or_else(|| {
            self.lines.push(AccountLine { account, order: VecDeque::new(), count: 0, start: 0.0 });
            self.lines.len() - 1
        });
        let line = &mut self.lines[index];
        line.account = account;
        if line.count == 0 {
            line.order.clear();
            line.start = line.start.max(now);
        }
        line
    }

    /// Returns the line whose next request starts first.
    fn next_line(&self) -> Option<usize> {
        let waiting = self.lines.iter().enumerate().filter(|(_, line)| line.count > 0);
        waiting.min_by(|left, right| left.1.start.total_cmp(&right.1.start)).map(|(index, _)| index)
    }

    fn first_of(&self, line: &AccountLine) -> Option<&QueuedRequest> {
        line.order.iter().find_map(|key| self.get(*key))
    }

    fn take_first(&mut self, index: usize) -> Option<QueuedRequest> {
        loop {
            let key = self.lines[index].order.pop_front()?;
            if let Some(entry) = self.requests.remove(key) {
                self.lines[index].count -= 1;
                return Some(entry.request);
            }
        }
    }

    fn count_removed(&mut self, account: AccountId) {
        if let Some(line) = self.lines.iter_mut().find(|line| line.account == account) {
            line.count = line.count.saturating_sub(1);
            if line.count == 0 {
                line.order.clear();
            }
        }
        self.close_lines();
    }

    /// Removes lines that are empty and whose account has nothing to wait for. One line is kept, so that nothing is allocated while
    /// there is only one account.
    fn close_lines(&mut self) {
        if self.requests.is_empty() {
            // Without competition no account has been served ahead of another one.
            self.lines.truncate(1);
            self.lines.iter_mut().for_each(|line| line.start = 0.0);
            self.now = 0.0;
        } else if self.lines.len() > 1 {
            let now = self.now;
            self.lines.retain(|line| line.count > 0 || line.start > now);
        }
    }
}
