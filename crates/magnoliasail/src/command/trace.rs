//! The command `trace`: one request's story from the logs of several processes.

use {
    super::failed,
    bpaf::Bpaf,
    serde_json::Value,
    std::{
        fs::File,
        io::{BufRead, BufReader, Read, stdin},
        path::PathBuf,
        process::ExitCode,
    },
};

/// Prints one request's story from the logs of several processes.
#[derive(Clone, Debug, Bpaf)]
pub struct TraceCommand {
    /// Id of the request
    #[bpaf(positional("REQUEST"))]
    request: String,
    /// Log of each process; standard input by default
    #[bpaf(positional("LOG"))]
    logs: Vec<PathBuf>,
}

impl TraceCommand {
    /// Prints each process's lines in the order in which it wrote them.
    ///
    /// Lines of different processes are not merged by their times: the VMs' clocks may differ.
    pub(super) fn run(self) -> ExitCode {
        if self.logs.is_empty() {
            print_story("standard input", &self.request, stdin());
            return ExitCode::SUCCESS;
        }
        for path in &self.logs {
            match File::open(path) {
                Ok(file) => print_story(&path.display().to_string(), &self.request, file),
                Err(error) => {
                    return failed(format_args!(
                        "{} cannot be read: {error}; check the path",
                        path.display()
                    ));
                }
            }
        }
        ExitCode::SUCCESS
    }
}

fn print_story<R: Read>(name: &str, request: &str, log: R) {
    let wanted = format!("request={request}");
    let mut is_first = true;
    // Lines that are not text are of another program.
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let is_of_request = line
            .split_once(&wanted)
            .is_some_and(|(_, rest)| !rest.starts_with(|next: char| next.is_ascii_alphanumeric()));
        if !is_of_request {
            continue;
        }
        if std::mem::take(&mut is_first) {
            println!("{name}");
        }
        println!("  {}", story_line(&line));
    }
}

/// Returns the time and the message of a line, or the line where it is not one of ours.
fn story_line(line: &str) -> String {
    let json = line.find('{').map_or(line, |start| &line[start..]);
    let Ok(record) = serde_json::from_str::<Value>(json) else {
        return line.to_owned();
    };
    let text = |name: &str| record[name].as_str().unwrap_or_default().to_owned();
    format!("{} {}", text("timestamp"), text("message"))
}
