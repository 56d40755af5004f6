//! A request that crashes each target that begins to run it, for soaks with `--crashing-requests`.
//!
//! A caller sends it again and again at any entry VM. Entry VMs in touch with each other must send it to targets
//! at most [`MAX_LATE_SENDS`] times more, later than [`CONTACT`] after the third target has crashed. A send does
//! not count if the store or a process was disturbed within [`CONTACT`] before it.

use crate::soak::caller::{connect, exchange};
use crate::soak::fleet::SoakFleet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Path of the request.
pub const CRASHING_PATH: &str = "/read/poison";
/// Time within which all entry VMs that reach each other learn what one of them has seen.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of crashed targets after which the request must be known.
const KNOWN_AFTER_CRASHES: usize = 3;
/// Maximum number of sends to targets when the request must be known.
const MAX_LATE_SENDS: usize = 3;
/// Time after a signal within which the process may not be back: a planned stop, and the next start.
const SIGNAL_RECOVERY: Duration = Duration::from_secs(5);
/// Maximum time from the start of the soak to the first request, in milliseconds.
const MAX_START_MS: u64 = 3000;
/// Time for which the request comes again after all faults are cleared: until the last signal no longer excuses a
/// send, and some seconds more.
const FINAL_TIME: Duration = Duration::from_secs(13);

#[derive(Debug, Default)]
struct CrashRecords {
    /// Times at which the request reached a target, and crashed it.
    crashes: Vec<Instant>,
    /// Start and end of each past disturbance of the store or of a process.
    disturbances: Vec<(Instant, Instant)>,
    store_fault_since: Option<Instant>,
}

/// Crashes of targets, and the times at which entry VMs may have been out of touch.
#[derive(Debug, Clone, Default)]
pub struct CrashLog(Arc<Mutex<CrashRecords>>);

impl CrashLog {
    fn lock(&self) -> MutexGuard<'_, CrashRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the request reached a target.
    pub fn record_crash(&self) {
        self.lock().crashes.push(Instant::now());
    }

    /// Records a signal to an entry VM process.
    pub fn record_signal(&self) {
        let now = Instant::now();
        self.lock().disturbances.push((now, now + SIGNAL_RECOVERY));
    }

    /// Records a fault of the store that is over at once.
    pub fn record_store_event(&self) {
        let now = Instant::now();
        self.lock().disturbances.push((now, now));
    }

    /// Records a fault of the store that lasts until [`Self::record_store_cleared`].
    pub fn record_store_fault(&self) {
        self.lock().store_fault_since.get_or_insert_with(Instant::now);
    }

    /// Records that the store answers as usual.
    pub fn record_store_cleared(&self) {
        let mut records = self.lock();
        if let Some(since) = records.store_fault_since.take() {
            records.disturbances.push((since, Instant::now()));
        }
    }

    /// Returns the number of crashes.
    pub fn count(&self) -> usize {
        self.lock().crashes.len()
    }

    /// Returns the number of sends that count.
    pub fn late_sends(&self) -> usize {
        let records = self.lock();
        let Some(third) = records.crashes.get(KNOWN_AFTER_CRASHES - 1) else { return 0 };
        let is_late = |send: &&Instant| **send > *third + CONTACT && !records.is_excused(**send);
        records.crashes.iter().filter(is_late).count()
    }

    /// Returns a description of the violation, if there is one.
    pub fn find_violation(&self) -> Option<String> {
        let late_sends = self.late_sends();
        (late_sends > MAX_LATE_SENDS).then(|| {
            format!(
                "a request that had crashed {KNOWN_AFTER_CRASHES} targets was sent to targets {late_sends} times later than {CONTACT:?} after it"
            )
        })
    }
}

impl CrashRecords {
    /// Returns whether there was a disturbance within [`CONTACT`] before a send.
    fn is_excused(&self, send: Instant) -> bool {
        let overlaps = |(start, end): &(Instant, Instant)| *start <= send && *end + CONTACT >= send;
        self.disturbances.iter().any(overlaps) || self.store_fault_since.is_some_and(|since| since <= send)
    }
}

/// The caller that sends the request again and again, from a seeded time on.
#[derive(Debug)]
pub struct CrashingCaller(JoinHandle<()>);

impl CrashingCaller {
    /// Starts the caller.
    pub fn start(fleet: SoakFleet, seed: u64) -> Self {
        Self(tokio::spawn(send_requests(fleet, SmallRng::seed_from_u64(seed))))
    }

    /// Lets the request come again for [`FINAL_TIME`], and stops the caller.
    pub async fn finish(self) {
        tokio::time::sleep(FINAL_TIME).await;
        self.0.abort();
    }
}

async fn send_requests(fleet: SoakFleet, mut rng: SmallRng) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_START_MS))).await;
    for number in 0u64.. {
        if let Some(mut stream) = connect(&fleet, rng.random_range(0..usize::MAX)).await {
            let request = format!(
                "GET {CRASHING_PATH} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: poison-{number:x}\r\nX-Deadline-Ms: 1500\r\n\r\n"
            );
            exchange(&mut stream, &request).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
    }
}
