//! The rota node: pipitlever's decisions on real sockets. A library only so that a program that
//! counts can hold it.

mod cli;
mod config;
mod lifecycle;
mod log;
mod net;
mod supervision;

/// Bytes that were copied on the way of requests.
#[cfg(feature = "count")]
pub use pipitlever_wire::COPIED;

/// The exit code after a panic: EX_SOFTWARE of sysexits.h.
const EXIT_PANICKED: u8 = 70;

/// Does what the command line says; the code to end with.
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
