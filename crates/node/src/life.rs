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
pub struct LifeView(Arc<AtomicU8>);

impl LifeView {
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
pub struct ServingLife(LifeView);

/// The process has left the lookup answers.
#[derive(Debug)]
pub struct WithdrawnLife(LifeView);

/// The process refuses new requests.
#[derive(Debug)]
pub struct RefusingLife(LifeView);

/// The process finishes its requests.
#[derive(Debug)]
pub struct DrainingLife(LifeView);

impl ServingLife {
    /// Begins a life.
    pub fn begin() -> (Self, LifeView) {
        let view = LifeView(Arc::new(AtomicU8::new(LifePhase::Serving as u8)));
        (Self(view.clone()), view)
    }

    /// Leaves the lookup answers.
    pub fn withdraw(self) -> WithdrawnLife {
        advance(&self.0, LifePhase::Withdrawn);
        WithdrawnLife(self.0)
    }
}

impl WithdrawnLife {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingLife {
        advance(&self.0, LifePhase::Draining);
        DrainingLife(self.0)
    }

    /// Begins to refuse new requests.
    pub fn refuse(self) -> RefusingLife {
        advance(&self.0, LifePhase::Refusing);
        RefusingLife(self.0)
    }
}

impl RefusingLife {
    /// Stops accepting connections.
    pub fn drain(self) -> DrainingLife {
        advance(&self.0, LifePhase::Draining);
        DrainingLife(self.0)
    }
}

impl DrainingLife {
    /// Ends the life.
    pub fn stop(self) {
        advance(&self.0, LifePhase::Stopped);
    }
}

fn advance(view: &LifeView, phase: LifePhase) {
    view.0.store(phase as u8, Ordering::Release);
}
