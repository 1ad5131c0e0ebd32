//! CPU time and memory of a process, read from procfs.

/// A clock tick of `/proc/PID/stat` in milliseconds (`sysconf(_SC_CLK_TCK)` is 100).
const CLOCK_TICK_MS: f64 = 10.0;
/// The fields `utime` and `stime` of `/proc/PID/stat`, counted from the first numeric field behind
/// the process's name.
const CPU_TIME_FIELDS: std::ops::Range<usize> = 10..12;

/// The user and system CPU time of a process in milliseconds; 0 if it does not run.
pub fn cpu_ms(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<f64> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .filter_map(|field| field.parse().ok())
        .collect();
    fields
        .get(CPU_TIME_FIELDS)
        .map_or(0.0, |ticks| CLOCK_TICK_MS * (ticks[0] + ticks[1]))
}

/// The resident memory of a process in MiB; 0 if it does not run.
pub fn memory_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kilobytes| kilobytes / 1024.0)
}
