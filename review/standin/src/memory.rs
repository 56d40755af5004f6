//! The platform's limit on the memory of a process.

use crate::record::Record;
use crate::vm::Vm;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Kills the process of a machine when its memory exceeds a limit, as the platform does. Returns the machine's number, its peak
/// in MB, and whether it was killed. The process ends with this watch.
pub fn watch_memory(
    record: &Arc<Record>,
    mut vm: Vm,
    limit_mb: u64,
    end: f64,
) -> JoinHandle<(usize, u64, bool)> {
    let record = record.clone();
    std::thread::spawn(move || {
        let (mut peak, mut logged_at) = (0, 0.0);
        while record.now() < end {
            let Some(kb) = resident_kb(vm.pid()) else { break };
            peak = peak.max(kb / 1000);
            if record.now() - logged_at > 0.5 {
                logged_at = record.now();
                record.log(format!("front-{} uses {} MB", vm.number, kb / 1000));
            }
            if kb > limit_mb * 1000 {
                record.say(format!("front-{} uses {} MB, more than its {limit_mb} MB", vm.number, kb / 1000));
                vm.kill();
                return (vm.number, peak, true);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        (vm.number, peak, false)
    })
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
