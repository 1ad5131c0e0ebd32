//! The rota node: pipitlever's decisions on real sockets. A library only so that a program that
//! counts can hold it.

mod cli;
mod config;
mod lifecycle;
mod log;
mod net;

/// Bytes that were copied on the way of requests.
#[cfg(feature = "count")]
pub use pipitlever_wire::COPIED;

/// Does what the command line says; the code to end with.
pub fn run() -> std::process::ExitCode {
    match cli::run() {
        Ok(code) => code.into(),
        Err(trouble) => {
            eprintln!("pipitlever: {trouble}");
            std::process::ExitCode::FAILURE
        }
    }
}
