//! The scripts of the review cases 12 to 15, and the runners that they start.

mod cases;
mod fleet;
mod http;
mod processes;
mod runner;
mod store;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("runner") => match runner::RunnerSettings::from_arguments(&arguments[1..]) {
            Some(settings) => runner::run(settings).map_or(2, |()| 0),
            None => 2,
        },
        Some(case) if arguments.len() == 2 => cases::run(case, Path::new(&arguments[1])),
        _ => 2,
    };
    std::process::exit(code);
}
