//! Life cycle of the process as a typestate: serving, withdrawn, refusing, draining, stopped.
//!
//! Traffic threads read the phase from an atomic; only the holder of the typestate value can move
//! it on, and only forward.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum LifePhase {
    /// In lookup answers; serves.
    Serving,
    /// No longer in lookup answers; serves callers that still hold one.
    Withdrawn,
    /// Refuses new requests, which may not end in time; finishes what is in flight.
    Refusing,
    /// Accepts no connections; finishes what is in flight.
    Draining,
    /// Finished.
    Stopped,
}

/// Shared view of the phase.
#[derive(Debug, Clone)]
pub struct LifecycleView(Arc<AtomicU8>);

impl LifecycleView {
    /// The current phase.
    pub fn phase(&self) -> LifePhase {
        match self.0.load(Ordering::Acquire) {
            0 => LifePhase::Serving,
            1 => LifePhase::Withdrawn,
            2 => LifePhase::Refusing,
            3 => LifePhase::Draining,
            _ => LifePhase::Stopped,
        }
    }
}

/// The process serves.
#[derive(Debug)]
pub struct ServingState(LifecycleView);

/// The process has left the lookup answers.
#[derive(Debug)]
pub struct WithdrawnState(LifecycleView);

/// The process refuses new requests.
#[derive(Debug)]
pub struct RefusingState(LifecycleView);

/// The process finishes its requests.
#[derive(Debug)]
pub struct DrainingState(LifecycleView);

impl ServingState {
    /// Begins a life.
    pub fn start() -> (Self, LifecycleView) {
        let view = LifecycleView(Arc::new(AtomicU8::new(LifePhase::Serving as u8)));
        (Self(view.clone()), view)
    }

    /// Leaves the lookup answers.
    pub fn withdraw(self) -> WithdrawnState {
        set_phase(&self.0, LifePhase::Withdrawn);
        WithdrawnState(self.0)
    }
}

impl WithdrawnState {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingState {
        set_phase(&self.0, LifePhase::Draining);
        DrainingState(self.0)
    }

    /// Begins to refuse new requests.
    pub fn refuse(self) -> RefusingState {
        set_phase(&self.0, LifePhase::Refusing);
        RefusingState(self.0)
    }
}

impl RefusingState {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingState {
        set_phase(&self.0, LifePhase::Draining);
        DrainingState(self.0)
    }
}

impl DrainingState {
    /// Ends the life.
    pub fn stop(self) {
        set_phase(&self.0, LifePhase::Stopped);
    }
}

fn set_phase(view: &LifecycleView, phase: LifePhase) {
    view.0.store(phase as u8, Ordering::Release);
}
