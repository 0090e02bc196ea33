//! The command `trace`: the log lines of one request, from the logs of several processes.

use {
    super::report_failure,
    bpaf::Bpaf,
    serde_json::Value,
    std::{
        fs::File,
        io::{BufRead, BufReader, Read, stdin},
        path::PathBuf,
        process::ExitCode,
    },
};

/// Request and logs
#[derive(Clone, Debug, Bpaf)]
pub struct TraceCommand {
    /// Id of the request, as in the key request= of the log lines
    #[bpaf(positional("REQUEST"))]
    request: String,
    /// Log file of each process; standard input by default
    #[bpaf(positional("LOG"))]
    logs: Vec<PathBuf>,
}

impl TraceCommand {
    /// Prints the matching lines of each log in the order in which they were written.
    ///
    /// Lines of different processes are not merged by timestamp, because the clocks of VMs may
    /// differ.
    pub(super) fn run(self) -> ExitCode {
        if self.logs.is_empty() {
            print_request_lines("standard input", &self.request, stdin());
            return ExitCode::SUCCESS;
        }
        for path in &self.logs {
            match File::open(path) {
                Ok(file) => print_request_lines(&path.display().to_string(), &self.request, file),
                Err(error) => {
                    return report_failure(format_args!(
                        "{} cannot be read: {error}; check the path",
                        path.display()
                    ));
                }
            }
        }
        ExitCode::SUCCESS
    }
}

/// Prints the lines of a log that name the request, under a heading with the name of the log.
fn print_request_lines<R: Read>(name: &str, request: &str, log: R) {
    let marker = format!("request={request}");
    let mut is_first = true;
    // Reading stops at the first line that is not UTF-8: another program wrote it.
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let is_of_request = line
            .split_once(&marker)
            .is_some_and(|(_, rest)| !rest.starts_with(|next: char| next.is_ascii_alphanumeric()));
        if !is_of_request {
            continue;
        }
        if std::mem::take(&mut is_first) {
            println!("{name}");
        }
        println!("  {}", format_line(&line));
    }
}

/// Returns the timestamp and the message of a JSON log record, or the line itself if it is none.
fn format_line(line: &str) -> String {
    let json = line.find('{').map_or(line, |start| &line[start..]);
    let Ok(record) = serde_json::from_str::<Value>(json) else {
        return line.to_owned();
    };
    let text = |name: &str| record[name].as_str().unwrap_or_default().to_owned();
    format!("{} {}", text("timestamp"), text("message"))
}
