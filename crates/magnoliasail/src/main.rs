//! The `magnoliasail` binary, which runs every daemon and command.

use {magnoliasail::command::Command, std::process::ExitCode};

fn main() -> ExitCode {
    Command::parse().run()
}
