//! Logs a panic in one line, with the subsystem in which it occurred.
//!
//! No backtrace is logged: resolving its symbols blocks the event loop for a second.

use super::Subsystem;
use crate::log::log;
use std::cell::Cell;
use std::panic::{set_hook, PanicHookInfo};

/// The most characters of a panic's message that are logged.
const MAX_MESSAGE_CHARS: usize = 300;

thread_local! {
    static CURRENT: Cell<Subsystem> = const { Cell::new(Subsystem::Main) };
}

/// Sets the subsystem that the event loop works for until the next call.
pub fn set_current(subsystem: Subsystem) {
    CURRENT.set(subsystem);
}

/// Replaces the standard library's panic hook.
pub fn install() {
    set_hook(Box::new(|info| {
        log(&format!(
            "panic: subsystem={} at={} message={:?}",
            subsystem_name(),
            location(info),
            message(info)
        ));
    }));
}

/// The event loop's current subsystem, or on another thread the thread's name.
fn subsystem_name() -> String {
    let thread = std::thread::current();
    match thread.name() {
        Some("main") | None => CURRENT.get().to_string(),
        Some(name) => name.to_owned(),
    }
}

fn location(info: &PanicHookInfo) -> String {
    info.location()
        .map_or_else(|| "unknown".into(), ToString::to_string)
}

fn message(info: &PanicHookInfo) -> String {
    let payload = info.payload();
    let text = payload
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message");
    text.chars().take(MAX_MESSAGE_CHARS).collect()
}
