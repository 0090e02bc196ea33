//! The command `status`: the state of the fleet as reported by entries and agents.

use {
    super::report_failure,
    crate::{
        http::{HttpClient, HttpError},
        supervisor::run_async,
    },
    bpaf::Bpaf,
    serde_json::Value,
    std::{collections::BTreeMap, fmt::Write, process::ExitCode, time::Duration},
    tokio::time::sleep,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Options of the status command
#[derive(Clone, Debug, Bpaf)]
pub struct StatusCommand {
    /// Base URL of an operator address of an entry or an agent; may be given several times
    #[bpaf(argument("URL"), some("at least one --url is needed"))]
    url: Vec<String>,
    /// Prints the status as JSON, one line per URL
    json: bool,
    /// Refreshes the output every two seconds
    watch: bool,
}

impl StatusCommand {
    pub(super) fn run(self) -> ExitCode {
        run_async(async {
            loop {
                let text = match self.fetch().await {
                    Ok(text) => text,
                    Err(error) => return report_failure(error),
                };
                if !self.watch {
                    print!("{text}");
                    return ExitCode::SUCCESS;
                }
                print!("{CLEAR_SCREEN}{text}");
                sleep(WATCH_INTERVAL).await;
            }
        })
    }

    /// Requests the status from every URL and returns the text to print.
    async fn fetch(&self) -> Result<String, HttpError> {
        let client = HttpClient::new();
        let mut text = String::new();
        for url in &self.url {
            let status: Value = client.get(&format!("{url}/status"), CALL_TIMEOUT).await?;
            if self.json {
                let _ = writeln!(text, "{status}");
            } else {
                text.push_str(&format_status(&status));
            }
        }
        Ok(text)
    }
}

/// Returns a JSON value as plain text; `-` if it is missing.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats the status of one process for a terminal.
fn format_status(status: &Value) -> String {
    let mut out = String::new();
    let table = &status["table"];
    let _ = writeln!(
        out,
        "{} {} in {}: table version {} (confirmed {} ms ago), {}",
        plain_text(&status["role"]),
        plain_text(&status["vm"]),
        plain_text(&status["data_centre"]),
        table["version"],
        table["age_ms"],
        if status["draining"] == true {
            "DRAINING"
        } else {
            "in service"
        },
    );
    write_attention(status, &mut out);
    if status["role"] == "entry" {
        write_data_centres(status, &mut out);
        write_populations(status, &mut out);
        let _ = writeln!(out, "load budget {} loads/s", status["load_budget_per_s"]);
    } else {
        let _ = writeln!(
            out,
            "running {} waiting {} of {}; slots {} pinned {} loading {}",
            status["running"],
            status["waiting"],
            status["capacity"],
            status["slots"],
            status["pinned"],
            status["loading"],
        );
    }
    for kind in ["refusals", "retries"] {
        let _ = writeln!(out, "{kind}: {}", status[kind]);
    }
    out
}

/// Writes a line for each problem that needs an operator.
fn write_attention(status: &Value, out: &mut String) {
    let Some(lines) = status["attention"].as_array() else {
        return;
    };
    if lines.is_empty() {
        out.push_str("nothing needs attention\n");
    }
    for line in lines {
        let _ = writeln!(out, "! {}", plain_text(line));
    }
}

/// Totals over the servers of one data centre and role.
#[derive(Debug, Default)]
struct Totals {
    live: u64,
    leaving: u64,
    unreachable: u64,
    running: u64,
    queued: u64,
    capacity: u64,
    slots: u64,
    pinned: u64,
    loading: u64,
}

impl Totals {
    fn add(&mut self, server: &Value) {
        match server["state"].as_str() {
            Some("live") => self.live += 1,
            Some("leaving") => self.leaving += 1,
            _ => self.unreachable += 1,
        }
        let number = |key: &str| server[key].as_u64().unwrap_or_default();
        self.running += number("running");
        self.queued += number("queued");
        self.capacity += number("capacity");
        self.slots += number("slots");
        self.pinned += number("pinned");
        self.loading += number("loading");
    }
}

/// Writes a table with a row for each data centre and role.
fn write_data_centres(status: &Value, out: &mut String) {
    let mut groups: BTreeMap<(String, String), Totals> = BTreeMap::new();
    for server in status["servers"].as_array().into_iter().flatten() {
        let key = (
            plain_text(&server["data_centre"]),
            plain_text(&server["role"]),
        );
        groups.entry(key).or_default().add(server);
    }
    let _ = writeln!(
        out,
        "{:<12} {:<8} {:>5} {:>8} {:>12} {:>8} {:>7} {:>6} {:>7} {:>8}",
        "data centre",
        "servers",
        "live",
        "leaving",
        "unreachable",
        "running",
        "queued",
        "fill%",
        "pinned",
        "loading",
    );
    for ((data_centre, role), totals) in groups {
        let fill = 100 * totals.running / totals.capacity.max(1);
        let pinned = format!("{}/{}", totals.pinned, totals.slots);
        let _ = writeln!(
            out,
            "{data_centre:<12} {role:<8} {:>5} {:>8} {:>12} {:>8} {:>7} {fill:>6} {pinned:>7} {:>8}",
            totals.live,
            totals.leaving,
            totals.unreachable,
            totals.running,
            totals.queued,
            totals.loading,
        );
    }
}

/// Writes a table with a row for each population.
fn write_populations(status: &Value, out: &mut String) {
    let _ = writeln!(
        out,
        "{:<16} {:>6} {:>10} {:>8}",
        "population", "share", "in flight", "waiting"
    );
    for row in status["populations"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "{:<16} {:>6} {:>10} {:>8}",
            plain_text(&row["population"]),
            plain_text(&row["share"]),
            plain_text(&row["in_flight"]),
            plain_text(&row["waiting"]),
        );
    }
}
