//! Processor time and memory of another process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks a second, fixed on Linux.
const TICKS: u64 = 100;

/// Processor time that a process has used.
pub fn cpu(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Skips the process name, which stands in parentheses and may contain
    // spaces.
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS))
}

/// Resident memory of a process in bytes.
pub fn memory(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib << 10)
}
