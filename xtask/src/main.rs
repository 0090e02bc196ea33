//! The commands that CI and maintainers run.
//!
//! `cargo xtask ci` is the whole verdict: formatting, lints, documentation, tests and bounds.

mod allocator;
mod capacity;
mod known_red;
mod policy;
mod soak;

use {
    bpaf::{Args, Bpaf, Parser},
    std::process::{Command, ExitCode},
};

/// What a maintainer can ask for.
#[derive(Clone, Debug, Bpaf)]
enum Task {
    /// Checks formatting, lints, documentation, tests and bounds
    #[bpaf(command)]
    Ci,
    /// Checks formatting
    #[bpaf(command)]
    Fmt,
    /// Runs the linter
    #[bpaf(command)]
    Lint,
    /// Builds the documentation
    #[bpaf(command)]
    Docs,
    /// Runs the tests
    #[bpaf(command)]
    Test,
    /// Measures the placement policy against baselines and bounds
    #[bpaf(command)]
    Policy {
        /// Prints JSON
        json: bool,
        /// Fails if a target is missed
        check: bool,
    },
    /// Measures the slopes that docs/CAPACITY.md is worked out from
    #[bpaf(command)]
    Capacity {
        /// Fails if a count exceeds its bound; times are printed and not judged
        check: bool,
    },
    /// Runs real processes under faults and checks the promises
    #[bpaf(command)]
    Soak {
        /// Number of seeds
        #[bpaf(argument("N"), fallback(10))]
        seeds: u64,
        /// First seed
        #[bpaf(argument("SEED"), fallback(1))]
        first: u64,
        /// Soaks at a time
        #[bpaf(argument("N"), fallback(2))]
        jobs: u8,
        /// Entries of each fleet
        #[bpaf(argument("N"), fallback(2))]
        entries: u8,
        /// Engines of each fleet
        #[bpaf(argument("N"), fallback(3))]
        engines: u8,
        /// Faults of each schedule
        #[bpaf(argument("N"), fallback(12))]
        faults: u32,
    },
    /// Runs random histories of the core and prints the first seed that fails
    #[bpaf(command)]
    Histories {
        /// Number of histories
        #[bpaf(argument("N"), fallback(100_000))]
        count: u32,
        /// First seed
        #[bpaf(argument("SEED"), fallback(1))]
        first: u32,
    },
}

/// A step of CI: a name and the arguments of cargo.
type Step = (&'static str, &'static [&'static str]);

const FMT: Step = ("formatting", &["fmt", "--all", "--check"]);
const LINT: Step = (
    "lints",
    &[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ],
);
const DOCS: Step = (
    "documentation",
    &["doc", "--workspace", "--no-deps", "--locked"],
);
const TEST: Step = ("tests", &["test", "--workspace", "--locked"]);

fn main() -> ExitCode {
    let task = match task().to_options().run_inner(Args::current_args()) {
        Ok(task) => task,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    match task {
        Task::Ci => {
            let verdict = run(&[FMT, LINT, DOCS, TEST]);
            if verdict != ExitCode::SUCCESS {
                return verdict;
            }
            println!("xtask: bounds");
            let policy = policy::run(false, true);
            if policy != ExitCode::SUCCESS {
                return policy;
            }
            capacity::run(true)
        }
        Task::Fmt => run(&[FMT]),
        Task::Lint => run(&[LINT]),
        Task::Docs => run(&[DOCS]),
        Task::Test => run(&[TEST]),
        Task::Policy { json, check } => policy::run(json, check),
        Task::Capacity { check } => capacity::run(check),
        Task::Soak {
            seeds,
            first,
            jobs,
            entries,
            engines,
            faults,
        } => soak::run(seeds, first, jobs, entries, engines, faults),
        Task::Histories { count, first } => histories(count, first),
    }
}

fn histories(count: u32, first: u32) -> ExitCode {
    let status = Command::new("cargo")
        .args(["test", "--release", "--locked", "-p", "magnoliasail-core"])
        .args([
            "--test",
            "histories",
            "every_invariant",
            "--",
            "--nocapture",
        ])
        .env("HISTORIES", count.to_string())
        .env("FIRST_SEED", first.to_string())
        .status();
    if status.is_ok_and(|status| status.success()) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs steps until one fails.
fn run(steps: &[Step]) -> ExitCode {
    for (name, arguments) in steps {
        println!("xtask: {name}");
        let status = Command::new("cargo")
            .args(*arguments)
            .env("RUSTDOCFLAGS", "-D warnings")
            .status();
        if !status.is_ok_and(|status| status.success()) {
            eprintln!("xtask: {name} failed");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
