//! The command line.
//!
//! Exit codes are 0 for success, 1 for failure and 2 for bad usage or settings.
//!
//! ```
//! use bpaf::Parser;
//! use magnoliasail::command::command;
//!
//! let parser = command().to_options();
//! assert!(parser.run_inner(&["status", "--url", "http://127.0.0.1:9"]).is_ok());
//! ```

mod check;
mod daemon;
mod demo;
mod explain;
mod load;
mod standin;
mod status;
mod trace;

use {
    self::{
        check::CheckCommand, demo::DemoCommand, explain::ExplainCommand, load::LoadCommand,
        standin::StandinCommand, status::StatusCommand, trace::TraceCommand,
    },
    crate::gateway,
    bpaf::{Args, Bpaf, Parser},
    std::{fmt::Display, path::PathBuf, process::ExitCode},
};

const FAILED: u8 = 1;
const BAD_USAGE: u8 = 2;

/// What the binary is asked to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Runs an entry, which faces callers
    #[bpaf(command)]
    Entry {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs an agent, which has the authority over the backend server beside it
    #[bpaf(command)]
    Agent {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs an entry on the users' platform
    #[bpaf(command)]
    PlatformEntry {
        /// Settings file as the platform writes it; found through the environment by default
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// Runs an agent on the users' platform
    #[bpaf(command)]
    PlatformAgent {
        /// Settings file as the platform writes it; found through the environment by default
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// Runs a stand-in of an outside system
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin_command))] StandinCommand),
    /// Runs a whole fleet with stand-ins in one process on loopback
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_command))] DemoCommand),
    /// Checks settings or a table before they are used
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_command))] CheckCommand),
    /// Shows the state of the fleet on one screen
    #[bpaf(command)]
    Status(#[bpaf(external(status::status_command))] StatusCommand),
    /// Shows which backend servers a model's requests would go to, and why
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_command))] ExplainCommand),
    /// Prints one request's story from the logs of several processes
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::trace_command))] TraceCommand),
    /// Sends a bounded load and verifies every answer
    #[bpaf(command)]
    Load(#[bpaf(external(load::load_command))] LoadCommand),
}

impl Command {
    /// Parses the process's arguments, or ends the process with help or a usage error.
    #[must_use]
    pub fn parse() -> Self {
        let options = command()
            .to_options()
            .descr("A serving layer for very many LoRA adapters")
            .version(env!("CARGO_PKG_VERSION"));
        match options.run_inner(Args::current_args()) {
            Ok(command) => command,
            Err(failure) => {
                failure.print_message(100);
                let is_usage_error = failure.exit_code() != 0;
                let code = if is_usage_error { BAD_USAGE } else { 0 };
                std::process::exit(i32::from(code));
            }
        }
    }

    /// Carries the command out.
    #[must_use]
    pub fn run(self) -> ExitCode {
        match self {
            Self::Entry { settings } => daemon::entry(&settings),
            Self::Agent { settings } => daemon::agent(&settings),
            Self::PlatformEntry { settings } => gateway::run_platform_entry(settings),
            Self::PlatformAgent { settings } => gateway::run_platform_agent(settings),
            Self::Standin(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Check(command) => command.run(),
            Self::Status(command) => command.run(),
            Self::Explain(command) => command.run(),
            Self::Trace(command) => command.run(),
            Self::Load(command) => command.run(),
        }
    }
}

/// Reports a failure and returns its exit code.
fn failed<E: Display>(error: E) -> ExitCode {
    eprintln!("magnoliasail: {error}");
    ExitCode::from(FAILED)
}

/// Reports bad usage or settings and returns its exit code.
fn bad_usage<E: Display>(error: E) -> ExitCode {
    eprintln!("magnoliasail: {error}");
    ExitCode::from(BAD_USAGE)
}

/// Reads a settings file.
fn read(path: &std::path::Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("{} cannot be read: {error}; check the path", path.display()))
}
