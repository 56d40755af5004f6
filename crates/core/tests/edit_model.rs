//! Exhaustive exploration of two concurrent edits. The platform responds, loses the request, loses
//! the response after the write took effect, or applies the write later.

use sniperelay_core::edit::{EditRequest, EditResult, EditSession, EditStep, StoredEdition, WriteOutcome};
use sniperelay_core::edition::ConfigEdition;

/// Maximum number of faults in one sequence.
const MAX_FAULTS: u32 = 3;
/// Maximum length of one sequence.
const MAX_STEPS: u32 = 18;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformFault {
    None,
    /// The request is lost: it has no effect and gets no response.
    RequestLost,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write gets no response and arrives at some later step.
    Delayed,
}

const FAULTS: &[PlatformFault] =
    &[PlatformFault::None, PlatformFault::RequestLost, PlatformFault::ResponseLost, PlatformFault::Delayed];

#[derive(Clone)]
struct ModelState {
    version: u64,
    stored: Option<ConfigEdition>,
    /// All editions that took effect, in order.
    applied: Vec<ConfigEdition>,
    delayed: Vec<(u64, ConfigEdition)>,
    editors: Vec<(EditSession, EditStep)>,
    faults: u32,
}

impl ModelState {
    /// Creates two editors whose edits are based on the given versions.
    fn new(bases: [u64; 2]) -> Self {
        let session = |(index, base): (usize, u64)| {
            EditSession::new(EditRequest { base, ..request(index as u128 + 1) })
        };
        let editors = bases.into_iter().enumerate().map(|editor| (session(editor), EditStep::Read)).collect();
        Self { version: 0, stored: None, applied: Vec::new(), delayed: Vec::new(), editors, faults: 0 }
    }

    fn write(&mut self, expected: u64, edition: &ConfigEdition) -> bool {
        let current = if self.stored.is_some() { self.version } else { 0 };
        if expected != current {
            return false;
        }
        self.version += 1;
        if let Some(last) = self.applied.last() {
            assert!(edition.mark.generation > last.mark.generation, "version did not increase");
        }
        self.stored = Some(edition.clone());
        self.applied.push(edition.clone());
        true
    }

    fn step_editor(&mut self, index: usize, fault: PlatformFault) -> bool {
        if fault != PlatformFault::None {
            self.faults += 1;
        }
        let (mut session, step) = self.editors[index].clone();
        let next = match step {
            EditStep::Finished(_) => return false,
            EditStep::Read if fault == PlatformFault::None => {
                let stored =
                    self.stored.clone().map(|edition| StoredEdition { version: self.version, edition });
                session.on_read(Ok(stored))
            }
            EditStep::Read if fault == PlatformFault::RequestLost => session.on_read(Err(())),
            EditStep::Read => return false,
            EditStep::Write { expected, edition } => {
                let outcome = self.respond_to_write(expected, edition, fault);
                session.on_written(outcome)
            }
        };
        self.editors[index] = (session, next);
        true
    }

    fn respond_to_write(
        &mut self,
        expected: u64,
        edition: ConfigEdition,
        fault: PlatformFault,
    ) -> WriteOutcome {
        match fault {
            PlatformFault::None if self.write(expected, &edition) => WriteOutcome::Applied,
            PlatformFault::None => WriteOutcome::Conflict,
            PlatformFault::RequestLost => WriteOutcome::NoResponse,
            PlatformFault::ResponseLost => {
                self.write(expected, &edition);
                WriteOutcome::NoResponse
            }
            PlatformFault::Delayed => {
                self.delayed.push((expected, edition));
                WriteOutcome::NoResponse
            }
        }
    }

    /// Checks all reported results against the writes that took effect. They must hold now and after
    /// all delayed writes have arrived.
    fn check_results(&self) {
        for (index, (_, step)) in self.editors.iter().enumerate() {
            let edit_id = index as u128 + 1;
            let took_effect = self.applied.iter().filter(|edition| edition.mark.edit_id == edit_id).count();
            assert!(took_effect <= 1, "edit {edit_id} took effect twice");
            let EditStep::Finished(result) = step else { continue };
            match result {
                EditResult::Accepted(_) => assert_eq!(took_effect, 1, "{result:?}"),
                EditResult::Superseded(_) => {
                    assert_eq!(took_effect, 1, "{result:?}");
                    let latest = self.applied.last().map(|edition| edition.mark.edit_id);
                    assert_ne!(latest, Some(edit_id), "edit superseded by itself");
                }
                EditResult::Conflict(_) | EditResult::NotSent => assert_eq!(took_effect, 0, "{result:?}"),
                EditResult::Indeterminate => {}
            }
        }
    }
}

fn request(edit_id: u128) -> EditRequest {
    EditRequest {
        service: "s".to_owned(),
        edit_id,
        author: format!("editor {edit_id}"),
        unix_millis: 0,
        text: String::new(),
        base: 0,
        active_generation: 0,
    }
}

#[test]
fn reported_results_hold_under_all_fault_orders() {
    let mut counts = [0u64; 2];
    // Both edits create the document, or the second one is based on the version of the first.
    for bases in [[0, 0], [0, 1]] {
        explore(&ModelState::new(bases), 0, &mut counts);
    }
    println!("explored {} states and {} final states", counts[0], counts[1]);
    assert!(counts[1] > 1000, "only {} final states: the model makes no progress", counts[1]);
}

fn explore(state: &ModelState, depth: u32, counts: &mut [u64; 2]) {
    counts[0] += 1;
    state.check_results();
    let mut has_next = false;
    if depth < MAX_STEPS {
        for index in 0..state.editors.len() {
            let allowed = if state.faults < MAX_FAULTS { FAULTS } else { &FAULTS[..1] };
            for fault in allowed {
                let mut next = state.clone();
                if next.step_editor(index, *fault) {
                    has_next = true;
                    explore(&next, depth + 1, counts);
                }
            }
        }
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let (expected, edition) = next.delayed.remove(index);
            next.write(expected, &edition);
            has_next = true;
            explore(&next, depth + 1, counts);
        }
    }
    if !has_next {
        counts[1] += 1;
    }
}

#[test]
fn a_recreated_object_gets_a_generation_above_the_active_one() {
    let mut session = EditSession::new(EditRequest { base: 7, active_generation: 7, ..request(9) });
    let EditStep::Write { expected, edition } = session.on_read(Ok(None)) else { panic!("expected a write") };
    assert_eq!((expected, edition.mark.generation), (0, 8));
}
