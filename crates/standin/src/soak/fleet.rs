//! Entry VM processes of the soak, and the signals sent to them. Signals are sent only to processes
//! that were started here, by process ID.

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// First port of an entry VM; its other ports follow.
const FIRST_PORT: u16 = 7001;
/// Time that the settings of the processes allow for a planned stop.
const STOP_GRACE: Duration = Duration::from_secs(2);
/// Maximum time from the stop request to the exit of a process: twice [`STOP_GRACE`].
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// An entry VM process, and the state of the faults injected into it.
#[derive(Debug)]
struct EntryVmProcess {
    settings: PathBuf,
    caller_address: SocketAddr,
    child: Child,
    paused_until: Option<Instant>,
    /// Time of the stop request, or of the end of the latest pause after it.
    stopping_since: Option<Instant>,
}

#[derive(Debug)]
struct FleetState {
    binary: PathBuf,
    processes: Vec<EntryVmProcess>,
    violations: Vec<String>,
}

/// The entry VM processes of a soak.
#[derive(Debug, Clone)]
pub struct SoakFleet {
    state: Arc<Mutex<FleetState>>,
}

impl SoakFleet {
    /// Starts `count` processes that use the store at `store`, and a task that supervises them.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start(binary: &Path, count: usize, store: SocketAddr) -> Result<Self> {
        Self::start_with_bounds(binary, count, store, "")
    }

    /// Same as [`Self::start`], with more platform bounds, as the fields of a JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start_with_bounds(binary: &Path, count: usize, store: SocketAddr, bounds: &str) -> Result<Self> {
        let directory = std::env::temp_dir().join(format!("sniperelay-soak-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let mut processes = Vec::new();
        for index in 0..count {
            let addresses = loopback_addresses(index);
            let settings = directory.join(format!("vm{index}.ini"));
            std::fs::write(&settings, format_settings(index, &addresses, store, bounds))?;
            let child = spawn_process(binary, &settings)?;
            processes.push(EntryVmProcess {
                settings,
                caller_address: addresses[0],
                child,
                paused_until: None,
                stopping_since: None,
            });
        }
        let state = FleetState { binary: binary.to_owned(), processes, violations: Vec::new() };
        let fleet = Self { state: Arc::new(Mutex::new(state)) };
        tokio::spawn(fleet.clone().supervise_all());
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the caller address of one process. The index wraps around at the number of processes.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        let state = self.lock();
        state.processes[index % state.processes.len()].caller_address
    }

    /// Waits until every process accepts connections, plus 500 ms.
    pub async fn wait_ready(&self) {
        let count = self.lock().processes.len();
        for index in 0..count {
            while TcpStream::connect(self.caller_address(index)).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Kills a process and returns a description of the fault.
    pub fn kill(&self, index: usize) -> String {
        self.signal(index, Signal::KILL);
        format!("entry VM {index} killed")
    }

    /// Requests a planned stop of a process with SIGTERM and returns a description of the fault.
    pub fn stop(&self, index: usize) -> String {
        self.signal(index, Signal::TERM);
        let mut state = self.lock();
        let process = &mut state.processes[index];
        process.stopping_since.get_or_insert_with(Instant::now);
        format!("planned stop of entry VM {index}")
    }

    /// Pauses a process with SIGSTOP for the given time and returns a description of the fault.
    pub fn pause(&self, index: usize, time: Duration) -> String {
        self.signal(index, Signal::STOP);
        self.lock().processes[index].paused_until = Some(Instant::now() + time);
        format!("entry VM {index} paused")
    }

    /// Returns the violations seen on the processes: unexpected exits and late stops.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Kills all processes and ends their supervision.
    pub fn kill_all(&self) {
        let mut state = self.lock();
        for process in &mut state.processes {
            let result = process.child.kill().and_then(|()| process.child.wait());
            if let Err(error) = result {
                log::warn!("cannot kill an entry VM process: {error}");
            }
        }
        state.processes.clear();
    }

    fn signal(&self, index: usize, signal: Signal) {
        let state = self.lock();
        let id = i32::try_from(state.processes[index].child.id()).ok().and_then(Pid::from_raw);
        if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
            log::warn!("cannot signal an entry VM process: {error}");
        }
    }

    /// Restarts processes that have exited and resumes paused ones, until [`Self::kill_all`] is called.
    async fn supervise_all(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let mut state = self.lock();
            if state.processes.is_empty() {
                return;
            }
            for index in 0..state.processes.len() {
                state.supervise_process(index);
            }
        }
    }
}

impl FleetState {
    /// Resumes or restarts one process as needed, and records violations.
    fn supervise_process(&mut self, index: usize) {
        let now = Instant::now();
        let process = &mut self.processes[index];
        if process.paused_until.is_some_and(|until| until <= now) {
            process.paused_until = None;
            let id = i32::try_from(process.child.id()).ok().and_then(Pid::from_raw);
            if let Some(Err(error)) = id.map(|id| kill_process(id, Signal::CONT)) {
                log::warn!("cannot resume an entry VM process: {error}");
            }
            // The process could not make progress with its stop during the pause, so its time restarts.
            process.stopping_since = process.stopping_since.map(|_| now);
        }
        let is_overdue = process.stopping_since.is_some_and(|since| now - since > STOP_TIMEOUT);
        if is_overdue && process.paused_until.is_none() {
            self.violations
                .push(format!("entry VM {index} did not exit within {STOP_TIMEOUT:?} of the stop request"));
            process.stopping_since = None;
        }
        match process.child.try_wait() {
            Ok(Some(status)) => {
                use std::os::unix::process::ExitStatusExt;
                if status.signal().is_none() && process.stopping_since.is_none() {
                    self.violations.push(format!("entry VM {index} exited unexpectedly: {status}"));
                }
                process.stopping_since = None;
                process.paused_until = None;
                match spawn_process(&self.binary, &process.settings) {
                    Ok(child) => process.child = child,
                    Err(error) => log::error!("cannot restart an entry VM process: {error:#}"),
                }
            }
            Ok(None) => {}
            Err(error) => log::warn!("cannot check an entry VM process: {error}"),
        }
    }
}

fn spawn_process(binary: &Path, settings: &Path) -> Result<Child> {
    Command::new(binary)
        .args(["relay", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .with_context(|| format!("cannot start {}", binary.display()))
}

/// Returns the loopback addresses of one entry VM. No connection originates from them, so no
/// connection can take one of their ports while the process is down.
fn loopback_addresses(index: usize) -> Vec<SocketAddr> {
    let network = (std::process::id() % 200) as u8 + 10;
    (0..6).map(|port| SocketAddr::from(([127, network, index as u8, 1], FIRST_PORT + port))).collect()
}

fn format_settings(index: usize, addresses: &[SocketAddr], store: SocketAddr, bounds: &str) -> String {
    let more = if bounds.is_empty() { String::new() } else { format!(",{bounds}") };
    format!(
        "[entry-vm]\nname = vm{index}\nfailure-domain = z\ncaller-address = {}\nready-address = {}\n\
         lookup-address = {}\npeer-address = {}\ncontrol-address = {}\nmetrics-address = {}\n\
         [platform]\naddress = {store}\ncalls-per-second = 200\n\
         bounds = {{\"Grace\":\"{}ms\"{more}}}\n[log]\nlevel = warn\njson = yes\n",
        addresses[0],
        addresses[1],
        addresses[2],
        addresses[3],
        addresses[4],
        addresses[5],
        STOP_GRACE.as_millis()
    )
}
