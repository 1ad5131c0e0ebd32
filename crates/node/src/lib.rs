//! The rota node: connects the core's decisions to sockets and disks. A library so that the
//! benchmark program can link it with a counting allocator.

mod cli;
mod config;
mod lifecycle;
mod log;
mod net;
mod supervision;

/// Bytes that were copied while requests were processed.
#[cfg(feature = "count")]
pub use pipitlever_wire::COPIED;

/// The exit code after a panic: EX_SOFTWARE of sysexits.h.
const EXIT_PANICKED: u8 = 70;

/// Runs the command that the arguments name; returns the exit code.
pub fn run() -> std::process::ExitCode {
    supervision::install_panic_hook();
    match std::panic::catch_unwind(cli::run) {
        Ok(Ok(code)) => code.into(),
        Ok(Err(error)) => {
            eprintln!("pipitlever: {error}");
            error.exit_code().into()
        }
        // The panic hook has logged it.
        Err(_) => EXIT_PANICKED.into(),
    }
}
