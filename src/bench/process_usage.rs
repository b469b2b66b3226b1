use std::fs;

/// CPU time and memory of a process, read from `/proc`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system time of all threads.
    pub cpu_ns: u64,
    pub resident_kb: u64,
    /// Resident anonymous memory, which is not shared with other processes.
    pub anonymous_kb: u64,
}

impl ProcessUsage {
    pub fn of(pid: u32) -> ProcessUsage {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        ProcessUsage {
            cpu_ns: cpu_ns(pid),
            resident_kb: status_field(&status, "VmRSS:"),
            anonymous_kb: status_field(&status, "RssAnon:"),
        }
    }
}

/// Sums the CPU time over the threads. Reads `schedstat`, which counts nanoseconds; `stat` has a
/// resolution of 10 ms only.
fn cpu_ns(pid: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0 };
    let of_thread = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    threads.flatten().filter_map(of_thread).sum()
}

fn status_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
