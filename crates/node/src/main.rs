//! The `pipitlever` program.

fn main() -> std::process::ExitCode {
    pipitlever_node::run()
}
