//! What a process uses, as the operating system tells.

#![allow(dead_code)]

/// Resident memory of a process, in KiB.
pub fn resident_kib(process_id: u32) -> u64 {
    memory_kib(process_id, "VmRSS:")
}

/// Largest resident memory of a process since its start, in MiB.
pub fn peak_mib(process_id: u32) -> f64 {
    memory_kib(process_id, "VmHWM:") as f64 / 1_024.0
}

/// Resident memory of a process, in MiB.
pub fn resident_mib(process_id: u32) -> f64 {
    resident_kib(process_id) as f64 / 1_024.0
}

fn memory_kib(process_id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.expect("a running process");
    let line = status.lines().find(|line| line.starts_with(field)).expect("a running process");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

/// Number of descriptors that a process has open.
pub fn open_descriptors(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).expect("a running process").count()
}

/// Processor time of a process so far (user and system), in clock ticks of 10 ms.
pub fn cpu_ticks(process_id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"));
    let stat = stat.expect("a running process");
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    fields[11..13].iter().filter_map(|field| field.parse::<u64>().ok()).sum()
}
