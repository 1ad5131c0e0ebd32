//! The rota node: pipitlever's decisions on real sockets.

mod core;
mod life;
mod log;
mod net;
mod wire;

fn main() -> std::process::ExitCode {
    match life::command::run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("pipitlever: {trouble}");
            std::process::ExitCode::FAILURE
        }
    }
}
