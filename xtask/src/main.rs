//! The commands that CI and maintainers run.
//!
//! `cargo xtask ci` runs every check of CI: formatting, lints, documentation, the page of guarantees,
//! tests and bounds.

mod allocator;
mod capacity;
mod known_red;
mod policy;
mod promises;
mod soak;

use {
    bpaf::{Args, Bpaf, Parser},
    std::process::{Command, ExitCode},
};

/// Commands for CI and maintainers.
#[derive(Clone, Debug, Bpaf)]
enum Task {
    /// Checks formatting, lints, documentation, the page of guarantees, tests and bounds
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
    /// Checks that the tests and modules that docs/PROMISES.md names exist
    #[bpaf(command)]
    Promises,
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
    /// Measures time and memory per item, the basis of docs/CAPACITY.md
    #[bpaf(command)]
    Capacity {
        /// Fails if a count of bytes exceeds its bound; times are only printed
        check: bool,
    },
    /// Runs real processes under injected faults and checks their guarantees
    #[bpaf(command)]
    Soak {
        /// Number of seeds
        #[bpaf(argument("N"), fallback(10))]
        seeds: u64,
        /// First seed
        #[bpaf(argument("SEED"), fallback(1))]
        first: u64,
        /// Number of soaks to run at a time
        #[bpaf(argument("N"), fallback(2))]
        jobs: u8,
        /// Number of entries in each fleet
        #[bpaf(argument("N"), fallback(2))]
        entries: u8,
        /// Number of engines in each fleet
        #[bpaf(argument("N"), fallback(3))]
        engines: u8,
        /// Number of faults in each schedule
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

/// A step of CI: its printed name and the arguments of `cargo`.
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
            let status = run_steps(&[FMT, LINT, DOCS]);
            if status != ExitCode::SUCCESS {
                return status;
            }
            let status = promises::run();
            if status != ExitCode::SUCCESS {
                return status;
            }
            let status = known_red::run_tests();
            if status != ExitCode::SUCCESS {
                return status;
            }
            println!("xtask: bounds");
            let status = policy::run(false, true);
            if status != ExitCode::SUCCESS {
                return status;
            }
            capacity::run(true)
        }
        Task::Fmt => run_steps(&[FMT]),
        Task::Lint => run_steps(&[LINT]),
        Task::Docs => run_steps(&[DOCS]),
        Task::Promises => promises::run(),
        Task::Test => known_red::run_tests(),
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
        Task::Histories { count, first } => run_histories(count, first),
    }
}

fn run_histories(count: u32, first: u32) -> ExitCode {
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

/// Runs the steps in order and stops at the first that fails.
fn run_steps(steps: &[Step]) -> ExitCode {
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
