//! The one binary of magnoliasail.

use {magnoliasail::command::Command, std::process::ExitCode};

fn main() -> ExitCode {
    Command::parse().run()
}
