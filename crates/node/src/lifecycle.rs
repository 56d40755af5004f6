//! Life cycle of the process as a typestate: serving, withdrawn, refusing, draining, stopped.
//!
//! Traffic threads read the phase from an atomic. Only the owner of the typestate value can change
//! the phase, and the phase only moves forward.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum LifecyclePhase {
    /// Listed in lookup responses; serves requests.
    Serving,
    /// No longer listed in lookup responses; still serves callers that use an earlier response.
    Withdrawn,
    /// Refuses new requests, because they might not finish in time; completes requests in flight.
    Refusing,
    /// Accepts no new connections; completes requests in flight.
    Draining,
    /// No requests are left.
    Stopped,
}

/// Read-only view of the current phase, shared between threads.
#[derive(Debug, Clone)]
pub struct LifecycleView(Arc<AtomicU8>);

impl LifecycleView {
    /// Returns the current phase.
    pub fn phase(&self) -> LifecyclePhase {
        match self.0.load(Ordering::Acquire) {
            0 => LifecyclePhase::Serving,
            1 => LifecyclePhase::Withdrawn,
            2 => LifecyclePhase::Refusing,
            3 => LifecyclePhase::Draining,
            _ => LifecyclePhase::Stopped,
        }
    }
}

/// The process is in [`LifecyclePhase::Serving`].
#[derive(Debug)]
pub struct ServingState(LifecycleView);

/// The process is in [`LifecyclePhase::Withdrawn`].
#[derive(Debug)]
pub struct WithdrawnState(LifecycleView);

/// The process is in [`LifecyclePhase::Refusing`].
#[derive(Debug)]
pub struct RefusingState(LifecycleView);

/// The process is in [`LifecyclePhase::Draining`].
#[derive(Debug)]
pub struct DrainingState(LifecycleView);

impl ServingState {
    /// Starts the life cycle. Returns the typestate value and a view for other threads.
    pub fn start() -> (Self, LifecycleView) {
        let view = LifecycleView(Arc::new(AtomicU8::new(LifecyclePhase::Serving as u8)));
        (Self(view.clone()), view)
    }

    /// Withdraws the process from lookup responses.
    pub fn withdraw(self) -> WithdrawnState {
        set_phase(&self.0, LifecyclePhase::Withdrawn);
        WithdrawnState(self.0)
    }
}

impl WithdrawnState {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingState {
        set_phase(&self.0, LifecyclePhase::Draining);
        DrainingState(self.0)
    }

    /// Starts to refuse new requests.
    pub fn refuse(self) -> RefusingState {
        set_phase(&self.0, LifecyclePhase::Refusing);
        RefusingState(self.0)
    }
}

impl RefusingState {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingState {
        set_phase(&self.0, LifecyclePhase::Draining);
        DrainingState(self.0)
    }
}

impl DrainingState {
    /// Ends the life cycle.
    pub fn stop(self) {
        set_phase(&self.0, LifecyclePhase::Stopped);
    }
}

fn set_phase(view: &LifecycleView, phase: LifecyclePhase) {
    view.0.store(phase as u8, Ordering::Release);
}
