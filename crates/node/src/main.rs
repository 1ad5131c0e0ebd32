//! The rota node's program.

fn main() -> std::process::ExitCode {
    pipitlever_node::run()
}
