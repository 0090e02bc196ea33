//! The command `load`: a bounded load that verifies every answer.

mod client;
mod report;
mod verify;

use {
    self::{
        client::{Caller, Outcome},
        report::Report,
    },
    super::failed,
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

const MAX_RATE: f64 = 5_000.0;
const MAX_DURATION_S: u64 = 600;
const MAX_OPEN: usize = 4_096;

/// Sends a bounded load and verifies every answer
#[derive(Clone, Debug, Bpaf)]
pub struct LoadCommand {
    /// Base URL of an entry, ending in /v1; may be given several times
    #[bpaf(argument("URL"), some("at least one --url is needed"))]
    url: Vec<String>,
    /// Bearer key of a population; may be given several times
    #[bpaf(argument("KEY"), some("at least one --key is needed"))]
    key: Vec<String>,
    /// Requests per second
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// Length of the load, in seconds
    #[bpaf(argument("N"), fallback(10))]
    duration_s: u64,
    /// Share of chat completions that are streamed
    #[bpaf(argument("SHARE"), fallback(0.5))]
    streams: f64,
    /// Share of requests that are jobs of a plain service
    #[bpaf(argument("SHARE"), fallback(0.05))]
    jobs: f64,
    /// Share of jobs that are sent a second time under the same key
    #[bpaf(argument("SHARE"), fallback(0.2))]
    resends: f64,
    /// Service that takes the jobs
    #[bpaf(argument("NAME"), fallback("orders".to_owned()))]
    service: String,
    /// Exponent of the popularity of models
    #[bpaf(argument("EXPONENT"), fallback(1.0))]
    zipf: f64,
    /// Tokens per answer
    #[bpaf(argument("N"), fallback(8))]
    tokens: u64,
    /// Number from which the load is drawn
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Base URL of a stand-in engine, for comparison with direct calls
    #[bpaf(argument("URL"))]
    direct: Option<String>,
    /// Prints a JSON report
    json: bool,
}

impl LoadCommand {
    pub(super) fn run(self) -> ExitCode {
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) || self.duration_s > MAX_DURATION_S {
            return super::bad_usage(format!(
                "--rate is at most {MAX_RATE} and --duration-s at most {MAX_DURATION_S}"
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
                    failed("wrong, lost or doubled answers; see the report")
                }
            }
            Err(error) => failed(error),
        }
    }

    async fn send(&self) -> Result<Report, String> {
        let caller = Arc::new(Caller::new(self));
        let models = caller.models(&self.url[0], &self.key[0]).await?;
        let popularity =
            Zipf::new(models.len() as f64, self.zipf).map_err(|error| error.to_string())?;
        let mut random = StdRng::seed_from_u64(self.seed);
        let (sender, mut outcomes) = mpsc::channel(MAX_OPEN);
        let open = Arc::new(Semaphore::new(MAX_OPEN));
        let started = Instant::now();
        let count = (self.rate * self.duration_s as f64) as u64;
        let mut report = Report::default();
        for number in 0..count {
            let due = started + Duration::from_secs_f64(number as f64 / self.rate);
            sleep_until(due).await;
            while let Ok(outcome) = outcomes.try_recv() {
                report.add(&outcome);
            }
            let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
                report.not_sent += 1;
                continue;
            };
            let url = self.url[random.random_range(0..self.url.len())].clone();
            let key = self.key[random.random_range(0..self.key.len())].clone();
            let rank = popularity.sample(&mut random) as usize;
            let model = models[(rank - 1).min(models.len() - 1)].clone();
            let is_job = random.random_bool(self.jobs);
            let is_stream = random.random_bool(self.streams);
            let is_resent = random.random_bool(self.resends);
            let other = self.url[random.random_range(0..self.url.len())].clone();
            let caller = Arc::clone(&caller);
            let sender = sender.clone();
            tokio::spawn(async move {
                let outcome = if is_job {
                    let resend = is_resent.then_some(other);
                    caller.job(&url, &key, number, resend.as_deref()).await
                } else {
                    caller.chat(&url, &key, &model, number, is_stream).await
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
            caller.measure_direct(direct, &mut report).await;
        }
        Ok(report)
    }
}
