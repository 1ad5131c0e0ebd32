//! The node with an allocator that counts. For each line on its standard input it says on standard
//! error how many allocations it has made so far, of how many bytes, how many of these it holds,
//! and how many it has copied on the way of requests.

use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io::BufRead;
use std::sync::atomic::Ordering::Relaxed;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> std::process::ExitCode {
    std::thread::spawn(|| {
        for _ in std::io::stdin().lock().lines().map_while(Result::ok) {
            let s = ALLOCATOR.stats();
            let made = s.allocations + s.reallocations;
            let copied = pipitlever_node::COPIED.load(Relaxed);
            let held = s.bytes_allocated - s.bytes_deallocated;
            eprintln!(
                "counted: allocations={made} bytes={} copied={copied} held={held}",
                s.bytes_allocated
            );
        }
    });
    pipitlever_node::run()
}
