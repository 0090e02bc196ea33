//! The command `explain`: where a model's requests would go, and why.

use {
    super::failed,
    crate::{http::HttpClient, supervisor::run_async},
    bpaf::Bpaf,
    serde_json::Value,
    std::{process::ExitCode, time::Duration},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Shows where a model's requests would go
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainCommand {
    /// Operator address of an entry
    #[bpaf(argument("URL"))]
    url: String,
    /// `adapter` or `adapter@version`
    #[bpaf(positional("MODEL"))]
    model: String,
}

impl ExplainCommand {
    pub(super) fn run(self) -> ExitCode {
        let url = format!("{}/explain?model={}", self.url, self.model);
        let read = async { HttpClient::new().get::<Value>(&url, CALL_TIMEOUT).await };
        let answer = match run_async(read) {
            Ok(answer) => answer,
            Err(error) => return failed(error),
        };
        if let Some(error) = answer["error"].as_str() {
            return failed(error);
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
