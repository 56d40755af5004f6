//! Owners of the threads of an entry VM.
//!
//! Dropping an owner ends its threads without waiting for them, wherever that happens: also in async code,
//! and on an early return while the entry VM is being started.

use crate::control::{ControlEvent, ControlHandle};
use anyhow::{Context, Result, anyhow};
use std::thread::JoinHandle;
use tokio::runtime::{Handle, Runtime};

/// The traffic threads.
#[derive(Debug)]
pub struct TrafficThreads {
    handle: Handle,
    /// `None` only while the value is being dropped.
    runtime: Option<Runtime>,
}

impl TrafficThreads {
    /// Starts `count` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(count: usize) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(count)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context("cannot start the traffic threads")?;
        Ok(Self { handle: runtime.handle().clone(), runtime: Some(runtime) })
    }

    /// Returns the handle of the runtime.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for TrafficThreads {
    fn drop(&mut self) {
        // A plain drop waits for the threads, which is not possible in async code.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The control thread. Dropping it ends the control loop without any announcement, as a failure would.
#[derive(Debug)]
pub struct ControlThread {
    handle: ControlHandle,
    thread: Option<JoinHandle<Result<()>>>,
}

impl ControlThread {
    /// Takes over a running thread; `handle` leads to its control loop.
    pub fn new(handle: ControlHandle, thread: JoinHandle<Result<()>>) -> Self {
        Self { handle, thread: Some(thread) }
    }

    /// Returns the handle to the control loop.
    pub fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    /// Waits until the control loop has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the control loop failed.
    pub async fn join(mut self) -> Result<()> {
        let Some(thread) = self.thread.take() else { return Ok(()) };
        tokio::task::spawn_blocking(move || thread.join())
            .await?
            .map_err(|_| anyhow!("control thread panicked"))?
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.handle.send(ControlEvent::Kill);
    }
}
