//! The node with a counting allocator. For each line on standard input, a line on standard error
//! reports the number of allocations so far, the bytes allocated in total and still in use, and the
//! bytes copied while requests were processed.

use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io::BufRead;
use std::sync::atomic::Ordering::Relaxed;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> std::process::ExitCode {
    std::thread::spawn(|| {
        for _ in std::io::stdin().lock().lines().map_while(Result::ok) {
            let stats = ALLOCATOR.stats();
            let allocations = stats.allocations + stats.reallocations;
            let copied = pipitlever_node::COPIED.load(Relaxed);
            let in_use = stats.bytes_allocated - stats.bytes_deallocated;
            eprintln!(
                "counted: allocations={allocations} bytes={} copied={copied} held={in_use}",
                stats.bytes_allocated
            );
        }
    });
    pipitlever_node::run()
}
