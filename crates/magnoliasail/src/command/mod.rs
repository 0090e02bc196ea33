//! The command line: one variant of [`Command`] for each daemon and tool.
//!
//! The exit code is 0 on success, 1 on failure and 2 for invalid arguments or settings. Errors are
//! printed to standard error.
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

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE_ERROR: u8 = 2;

/// Commands of magnoliasail
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Runs an entry, which accepts requests from callers and routes them to agents
    #[bpaf(command)]
    Entry {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs an agent, which controls the backend server next to it
    #[bpaf(command)]
    Agent {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs an entry on the users' platform
    #[bpaf(command)]
    PlatformEntry {
        /// Settings file written by the platform; by default the file that MAGNOLIASAIL_NODE_FILE names
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// Runs an agent on the users' platform
    #[bpaf(command)]
    PlatformAgent {
        /// Settings file written by the platform; by default the file that MAGNOLIASAIL_NODE_FILE names
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// Runs a stand-in for an external system
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin_command))] StandinCommand),
    /// Runs a complete fleet with stand-ins in one process, on loopback addresses
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_command))] DemoCommand),
    /// Checks settings or a table before they are used
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_command))] CheckCommand),
    /// Shows the state of the fleet as seen by entries and agents
    #[bpaf(command)]
    Status(#[bpaf(external(status::status_command))] StatusCommand),
    /// Shows to which backend server an entry would send a model's requests, and why
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_command))] ExplainCommand),
    /// Prints the log lines of one request from the logs of several processes
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::trace_command))] TraceCommand),
    /// Sends requests at a fixed rate and verifies every answer
    #[bpaf(command)]
    Load(#[bpaf(external(load::load_command))] LoadCommand),
}

impl Command {
    /// Parses the arguments of the process.
    ///
    /// Exits the process after printing the help, the version or a usage error.
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
                let code = if is_usage_error { EXIT_USAGE_ERROR } else { 0 };
                std::process::exit(i32::from(code));
            }
        }
    }

    /// Runs the command and returns the exit code of the process.
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

/// Prints a failure to standard error and returns its exit code.
fn report_failure<E: Display>(error: E) -> ExitCode {
    eprintln!("magnoliasail: {error}");
    ExitCode::from(EXIT_FAILURE)
}

/// Prints an error in the arguments or settings to standard error and returns its exit code.
fn report_usage_error<E: Display>(error: E) -> ExitCode {
    eprintln!("magnoliasail: {error}");
    ExitCode::from(EXIT_USAGE_ERROR)
}

/// Reads a text file; the error names the path.
fn read_file(path: &std::path::Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("{} cannot be read: {error}; check the path", path.display()))
}
