//! The command `explain`: to which backend server an entry would send a model's requests, and why.

use {
    super::report_failure,
    crate::{http::HttpClient, supervisor::run_async},
    bpaf::Bpaf,
    serde_json::Value,
    std::{process::ExitCode, time::Duration},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of the explain command
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainCommand {
    /// Base URL of an entry's operator address
    #[bpaf(argument("URL"))]
    url: String,
    /// Model as callers name it: adapter or adapter@version
    #[bpaf(positional("MODEL"))]
    model: String,
}

impl ExplainCommand {
    pub(super) fn run(self) -> ExitCode {
        let url = format!("{}/explain?model={}", self.url, self.model);
        let request = async { HttpClient::new().get::<Value>(&url, CALL_TIMEOUT).await };
        let answer = match run_async(request) {
            Ok(answer) => answer,
            Err(error) => return report_failure(error),
        };
        if let Some(error) = answer["error"].as_str() {
            return report_failure(error);
        }
        println!("{} -> {}", answer["model"], answer["chosen"]);
        for server in answer["servers"].as_array().into_iter().flatten() {
            println!(
                "  {:<24} live {:<6} resident {:<6} expected wait {:>8.1} ms",
                server["vm"].as_str().unwrap_or("-"),
                server["live"],
                server["resident"],
                server["expected_wait_ms"].as_f64().unwrap_or_default(),
            );
        }
        ExitCode::SUCCESS
    }
}
