//! The command `status`: the state of the fleet on one screen.

use {
    super::failed,
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

/// Shows the state of the fleet
#[derive(Clone, Debug, Bpaf)]
pub struct StatusCommand {
    /// Operator address of an entry or an agent; may be given several times
    #[bpaf(argument("URL"), some("at least one --url is needed"))]
    url: Vec<String>,
    /// Prints JSON
    json: bool,
    /// Shows the state again every two seconds
    watch: bool,
}

impl StatusCommand {
    pub(super) fn run(self) -> ExitCode {
        run_async(async {
            loop {
                let text = match self.read().await {
                    Ok(text) => text,
                    Err(error) => return failed(error),
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

    async fn read(&self) -> Result<String, HttpError> {
        let client = HttpClient::new();
        let mut text = String::new();
        for url in &self.url {
            let status: Value = client.get(&format!("{url}/status"), CALL_TIMEOUT).await?;
            if self.json {
                let _ = writeln!(text, "{status}");
            } else {
                text.push_str(&screen(&status));
            }
        }
        Ok(text)
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Lays the state of one process out as a screen.
fn screen(status: &Value) -> String {
    let mut out = String::new();
    let table = &status["table"];
    let _ = writeln!(
        out,
        "{} {} in {}: table version {} (confirmed {} ms ago), {}",
        text(&status["role"]),
        text(&status["vm"]),
        text(&status["data_centre"]),
        table["version"],
        table["age_ms"],
        if status["draining"] == true {
            "DRAINING"
        } else {
            "in service"
        },
    );
    attention(status, &mut out);
    if status["role"] == "entry" {
        data_centres(status, &mut out);
        populations(status, &mut out);
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

fn attention(status: &Value, out: &mut String) {
    let Some(lines) = status["attention"].as_array() else {
        return;
    };
    if lines.is_empty() {
        out.push_str("nothing needs attention\n");
    }
    for line in lines {
        let _ = writeln!(out, "! {}", text(line));
    }
}

/// Sums of one data centre and role.
#[derive(Debug, Default)]
struct Sums {
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

impl Sums {
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

fn data_centres(status: &Value, out: &mut String) {
    let mut groups: BTreeMap<(String, String), Sums> = BTreeMap::new();
    for server in status["servers"].as_array().into_iter().flatten() {
        let key = (text(&server["data_centre"]), text(&server["role"]));
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
    for ((data_centre, role), sums) in groups {
        let fill = 100 * sums.running / sums.capacity.max(1);
        let pinned = format!("{}/{}", sums.pinned, sums.slots);
        let _ = writeln!(
            out,
            "{data_centre:<12} {role:<8} {:>5} {:>8} {:>12} {:>8} {:>7} {fill:>6} {pinned:>7} {:>8}",
            sums.live, sums.leaving, sums.unreachable, sums.running, sums.queued, sums.loading,
        );
    }
}

fn populations(status: &Value, out: &mut String) {
    let _ = writeln!(
        out,
        "{:<16} {:>6} {:>10} {:>8}",
        "population", "share", "in flight", "waiting"
    );
    for row in status["populations"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "{:<16} {:>6} {:>10} {:>8}",
            text(&row["population"]),
            text(&row["share"]),
            text(&row["in_flight"]),
            text(&row["waiting"]),
        );
    }
}
