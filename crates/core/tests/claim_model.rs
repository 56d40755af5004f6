//! Exhaustive exploration of the at-most-once protocol with one key, two entry VMs and one target:
//! all orders of sending, delivery, loss, refusal, restart and pause up to `DEPTH` steps.

use sniperelay_core::claim::{ClaimKey, ClaimLimits, ClaimTable, ClaimVerdict};
use std::time::{Duration, Instant};

const DEPTH: usize = 8;
const LIMITS: ClaimLimits =
    ClaimLimits { epoch_length: Duration::from_secs(10), retained_epochs: 2, max_keys: 2 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ModelStep {
    /// The caller sends the key to entry VM 0 or 1.
    CallerSends(usize),
    /// The entry VM hands a held request to a target connection, possibly after a pause.
    Send,
    /// The request arrives at the target and is executed.
    Deliver,
    /// The request and its connection are lost.
    Lose,
    /// The target refuses the request.
    Refuse,
    /// The response arrives at the entry VM.
    Respond,
    /// The entry VM cancels a held request and reports the outcome `not-run` to the caller.
    CancelHeld,
    /// Entry VM 0 restarts at the same address.
    Restart,
    /// Entry VM 0 is paused for longer than keys are retained.
    Pause,
}

const STEPS: &[ModelStep] = &[
    ModelStep::CallerSends(0),
    ModelStep::CallerSends(1),
    ModelStep::Send,
    ModelStep::Deliver,
    ModelStep::Lose,
    ModelStep::Refuse,
    ModelStep::Respond,
    ModelStep::CancelHeld,
    ModelStep::Restart,
    ModelStep::Pause,
];

struct ModelState {
    now: Instant,
    incarnations: [u64; 2],
    tables: [ClaimTable; 2],
    key: ClaimKey,
    /// Number of requests accepted by the holder and not sent yet. A restart drops them.
    held: u32,
    in_network: u32,
    runs: u32,
}

impl ModelState {
    fn new(start: Instant) -> Self {
        let mut tables = [ClaimTable::new(1, start, LIMITS), ClaimTable::new(2, start, LIMITS)];
        let key = ClaimKey { ticket: tables[0].issue_ticket(start), suffix: "k".to_owned() };
        Self { now: start, incarnations: [1, 2], tables, key, held: 0, in_network: 0, runs: 0 }
    }

    /// Performs a step. Returns `false` if the step is not possible in this state.
    fn apply(&mut self, step: ModelStep) -> bool {
        match step {
            ModelStep::CallerSends(vm) => self.caller_sends(vm),
            ModelStep::Send => self.send(),
            ModelStep::Deliver => self.take_from_network() && self.run(),
            ModelStep::Lose => {
                let is_possible = self.take_from_network();
                self.tables[0].mark_unknown(&self.key);
                is_possible
            }
            ModelStep::Refuse => {
                let is_possible = self.take_from_network();
                if is_possible {
                    self.tables[0].mark_refused(&self.key);
                    self.held += 1;
                }
                is_possible
            }
            ModelStep::Respond => {
                self.tables[0].mark_ran(&self.key, 200);
                self.runs > 0
            }
            ModelStep::CancelHeld => self.cancel_held(),
            ModelStep::Restart => self.restart(),
            ModelStep::Pause => {
                self.now += LIMITS.epoch_length * 5;
                true
            }
        }
    }

    fn caller_sends(&mut self, vm: usize) -> bool {
        let mut verdict = self.tables[vm].claim(&self.key, self.now);
        if verdict == ClaimVerdict::OtherIncarnation {
            // Forward the request to the holder if that incarnation is still running.
            match self.incarnations.iter().position(|other| *other == self.key.ticket.incarnation) {
                Some(holder) => verdict = self.tables[holder].claim(&self.key, self.now),
                None => return true,
            }
        }
        match verdict {
            ClaimVerdict::Accepted => self.held += 1,
            ClaimVerdict::NeverIssued | ClaimVerdict::Full => self.check_not_run(),
            _ => {}
        }
        true
    }

    fn send(&mut self) -> bool {
        if self.held == 0 {
            return false;
        }
        if self.tables[0].mark_sent(&self.key, self.now) {
            self.held -= 1;
            self.in_network += 1;
        }
        true
    }

    fn cancel_held(&mut self) -> bool {
        if self.held == 0 {
            return false;
        }
        self.held -= 1;
        if self.held == 0 {
            self.check_not_run();
            self.tables[0].release(&self.key);
        }
        true
    }

    fn restart(&mut self) -> bool {
        self.incarnations[0] += 10;
        self.tables[0] = ClaimTable::new(self.incarnations[0], self.now, LIMITS);
        self.held = 0;
        true
    }

    fn take_from_network(&mut self) -> bool {
        let is_possible = self.in_network > 0;
        self.in_network = self.in_network.saturating_sub(1);
        is_possible
    }

    fn run(&mut self) -> bool {
        self.runs += 1;
        true
    }

    fn check_not_run(&self) {
        assert_eq!(
            (self.runs, self.in_network),
            (0, 0),
            "reported not-run although the key was executed or may be executed"
        );
    }
}

#[test]
fn key_is_executed_at_most_once_in_all_orders_of_faults() {
    let start = Instant::now();
    let mut explored = 0u64;
    let mut path = Vec::new();
    explore(start, &mut path, &mut explored);
    println!("{explored} sequences explored to depth {DEPTH}");
    assert!(explored > 50_000, "only {explored} sequences explored; most steps were not possible");
}

fn explore(start: Instant, path: &mut Vec<ModelStep>, explored: &mut u64) {
    if path.len() == DEPTH {
        return;
    }
    for step in STEPS {
        path.push(*step);
        if replay(start, path) {
            *explored += 1;
            explore(start, path, explored);
        }
        path.pop();
    }
}

/// Replays a sequence of steps. Returns whether the last step was possible.
fn replay(start: Instant, path: &[ModelStep]) -> bool {
    let mut state = ModelState::new(start);
    let mut is_possible = true;
    for step in path {
        is_possible = state.apply(*step);
        assert!(state.runs <= 1, "executed twice after {path:?}");
    }
    is_possible
}
