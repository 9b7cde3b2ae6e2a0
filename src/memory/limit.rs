//! Memory that this process may use.

use std::fs;

/// Returns the memory that this process may use, in bytes: the smallest of what the machine has, what the control
/// group permits and what the limit of the address space leaves. `None` if the system tells none of them.
pub fn usable_bytes() -> Option<u64> {
    let read = |path: &str| fs::read_to_string(path).ok();
    let machine = read("/proc/meminfo").and_then(|text| kilobytes(&text, "MemTotal:"));
    let group = read("/proc/self/cgroup").and_then(|text| {
        let path = text.lines().find_map(|line| line.strip_prefix("0::"))?;
        let limit = read(&format!("/sys/fs/cgroup{path}/memory.max"))?;
        // Without a limit it is "max".
        limit.trim().parse().ok()
    });
    let space = read("/proc/self/limits").and_then(|text| {
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("Max address space"))?;
        line.split_whitespace().next()?.parse().ok()
    });
    [machine, group, space].into_iter().flatten().min()
}

/// Returns the value of a line such as `MemTotal: 1024 kB`, in bytes.
fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let value: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(value << 10)
}
