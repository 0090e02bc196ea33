//! The command `load`: sends requests at a fixed rate and verifies every answer.
//!
//! The requests are drawn from a seed. A request that is due while `MAX_IN_FLIGHT` requests are
//! in flight is counted as not sent instead of delaying those that follow. The answers must be
//! those of the stand-in engines and services.

mod client;
mod report;
mod verify;

use {
    self::{
        client::{LoadClient, Outcome},
        report::Report,
    },
    super::report_failure,
    crate::supervisor::run_async,
    bpaf::Bpaf,
    rand::{Rng, SeedableRng, rngs::StdRng},
    rand_distr::{Distribution, Zipf},
    std::{process::ExitCode, sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc},
        time::{Instant, sleep_until},
    },
};

const MAX_RATE_PER_S: f64 = 5_000.0;
const MAX_DURATION_S: u64 = 600;
const MAX_IN_FLIGHT: usize = 4_096;

/// Options of the load command
#[derive(Clone, Debug, Bpaf)]
pub struct LoadCommand {
    /// Base URL of an entry, ending in /v1; may be given several times
    #[bpaf(argument("URL"), some("at least one --url is needed"))]
    url: Vec<String>,
    /// API key of a population, sent as bearer token; may be given several times
    #[bpaf(argument("KEY"), some("at least one --key is needed"))]
    key: Vec<String>,
    /// Requests per second, up to 5000
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// Duration of the load in seconds, up to 600
    #[bpaf(argument("N"), fallback(10))]
    duration_s: u64,
    /// Share of chat completions that are streamed
    #[bpaf(argument("SHARE"), fallback(0.5))]
    streams: f64,
    /// Share of requests that are jobs for a plain service
    #[bpaf(argument("SHARE"), fallback(0.05))]
    jobs: f64,
    /// Share of jobs that are sent again with the same idempotency key
    #[bpaf(argument("SHARE"), fallback(0.2))]
    resends: f64,
    /// Service that runs the jobs
    #[bpaf(argument("NAME"), fallback("orders".to_owned()))]
    service: String,
    /// Exponent of the Zipf distribution of models
    #[bpaf(argument("EXPONENT"), fallback(1.0))]
    zipf: f64,
    /// Tokens per chat completion
    #[bpaf(argument("N"), fallback(8))]
    tokens: u64,
    /// Seed of the random choice of requests
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Base URL of a stand-in engine to call directly after the load, for comparison
    #[bpaf(argument("URL"))]
    direct: Option<String>,
    /// Prints the report as JSON
    json: bool,
}

impl LoadCommand {
    pub(super) fn run(self) -> ExitCode {
        if !(self.rate > 0.0 && self.rate <= MAX_RATE_PER_S) || self.duration_s > MAX_DURATION_S {
            return super::report_usage_error(format!(
                "--rate must be above 0 and at most {MAX_RATE_PER_S}, --duration-s at most {MAX_DURATION_S}"
            ));
        }
        match run_async(self.send()) {
            Ok(report) => {
                if self.json {
                    println!("{}", report.to_json());
                } else {
                    print!("{report}");
                }
                if report.is_clean() {
                    ExitCode::SUCCESS
                } else {
                    report_failure(
                        "answers were wrong or missing, or jobs ran twice; see the report",
                    )
                }
            }
            Err(error) => report_failure(error),
        }
    }

    async fn send(&self) -> Result<Report, String> {
        let client = Arc::new(LoadClient::new(self));
        let models = client.models(&self.url[0], &self.key[0]).await?;
        let popularity =
            Zipf::new(models.len() as f64, self.zipf).map_err(|error| error.to_string())?;
        let mut rng = StdRng::seed_from_u64(self.seed);
        let (sender, mut outcomes) = mpsc::channel(MAX_IN_FLIGHT);
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let started = Instant::now();
        let count = (self.rate * self.duration_s as f64) as u64;
        let mut report = Report::default();
        for number in 0..count {
            let due = started + Duration::from_secs_f64(number as f64 / self.rate);
            sleep_until(due).await;
            while let Ok(outcome) = outcomes.try_recv() {
                report.add(&outcome);
            }
            let Ok(permit) = Arc::clone(&in_flight).try_acquire_owned() else {
                report.not_sent += 1;
                continue;
            };
            let url = self.url[rng.random_range(0..self.url.len())].clone();
            let key = self.key[rng.random_range(0..self.key.len())].clone();
            let rank = popularity.sample(&mut rng) as usize;
            let model = models[(rank - 1).min(models.len() - 1)].clone();
            let is_job = rng.random_bool(self.jobs);
            let is_stream = rng.random_bool(self.streams);
            let is_resent = rng.random_bool(self.resends);
            let resend_url = self.url[rng.random_range(0..self.url.len())].clone();
            let client = Arc::clone(&client);
            let sender = sender.clone();
            tokio::spawn(async move {
                let outcome = if is_job {
                    let resend = is_resent.then_some(resend_url);
                    client.job(&url, &key, number, resend.as_deref()).await
                } else {
                    client.chat(&url, &key, &model, number, is_stream).await
                };
                let _: Result<(), mpsc::error::SendError<Outcome>> = sender.send(outcome).await;
                drop(permit);
            });
        }
        drop(sender);
        while let Some(outcome) = outcomes.recv().await {
            report.add(&outcome);
        }
        if let Some(direct) = &self.direct {
            client.measure_direct(direct, &mut report).await;
        }
        Ok(report)
    }
}
