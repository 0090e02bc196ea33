//! Content that crashes each server which begins to run a request with it.

use {
    crate::ledger::Ledger,
    hyper::Request,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// The usual time after the last crash that is allowed until requests must be refused. Processes
/// hear of a crash within milliseconds; the rest covers an engine that does not answer.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);
/// The usual time from the start of a run with a poison until the server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Requests with the poison that may reach servers after that time.
const MAX_LATE_ARRIVALS: u32 = 3;
/// Crashes that a request may cause.
const MAX_REQUEST_CRASHES: usize = 3;
/// Crashes that a part of a prompt may cause, with any requests.
const MAX_PART_CRASHES: usize = 5;

/// What crashes servers.
#[derive(Clone, Debug)]
enum Content {
    /// Requests whose path ends with this text.
    Request(String),
    /// Prompts with a part of this id, which is not the last one.
    Part(String),
}

/// A poison, with the crashes that it has caused. Clones share the same record.
#[derive(Clone, Debug)]
pub struct Poison {
    content: Arc<Content>,
    /// The client account whose requests crash servers; absent if those of all callers do.
    account: Option<&'static str>,
    /// Time after the last crash that is allowed until requests with the poison must be refused.
    detection_time: Duration,
    /// Time from the start of a run with the poison until the server crashes.
    crash_delay: Duration,
    /// The server answers one in this many runs with an error instead; 0 for none.
    error_interval: u32,
    /// Whether engines complete their answer before they crash.
    is_answered: bool,
    record: Arc<Mutex<Record>>,
}

#[derive(Debug, Default)]
struct Record {
    crashes: Vec<Instant>,
    runs: u32,
    late_arrivals: u32,
}

impl Poison {
    /// Creates a poison: requests with this content.
    #[must_use]
    pub fn request(content: &str) -> Self {
        Self::new(Content::Request(content.to_owned()))
    }

    /// Creates a poison: prompts with a part of this id.
    #[must_use]
    pub fn part(id: &str) -> Self {
        Self::new(Content::Part(id.to_owned()))
    }

    fn new(content: Content) -> Self {
        Self {
            content: Arc::new(content),
            account: None,
            detection_time: DETECTION_TIME,
            crash_delay: CRASH_DELAY,
            error_interval: 0,
            is_answered: false,
            record: Arc::default(),
        }
    }

    /// Returns the poison in the requests of one client account only; equal content of others is sound.
    #[must_use]
    pub fn of_account(self, account: &'static str) -> Self {
        Self {
            account: Some(account),
            ..self
        }
    }

    /// Returns the poison with another time until requests with it must be refused.
    #[must_use]
    pub fn with_detection_time(self, detection_time: Duration) -> Self {
        Self {
            detection_time,
            ..self
        }
    }

    /// Returns the poison with another time from the start of a run until the server crashes.
    #[must_use]
    pub fn with_crash_delay(self, crash_delay: Duration) -> Self {
        Self {
            crash_delay,
            ..self
        }
    }

    /// Returns the poison with one in this many runs answered with an error, instead of a crash.
    #[must_use]
    pub fn with_error_interval(self, error_interval: u32) -> Self {
        Self {
            error_interval,
            ..self
        }
    }

    /// Returns the poison with engines that complete their answer before they crash.
    #[must_use]
    pub fn with_answers(self) -> Self {
        Self {
            is_answered: true,
            ..self
        }
    }

    pub(super) const fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Counts a run; returns whether it is answered with an error.
    pub(super) fn has_error_answer(&self) -> bool {
        let mut record = self.record();
        record.runs += 1;
        self.error_interval > 0 && record.runs.is_multiple_of(self.error_interval)
    }

    pub(super) const fn crash_delay(&self) -> Duration {
        self.crash_delay
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.record().crashes.len()
    }

    /// Returns whether a request contains the poison.
    pub(super) fn is_in<B>(&self, request: &Request<B>) -> bool {
        let sent_by = request.headers().get("tenant");
        let is_of_account = |name: &str| sent_by.is_some_and(|sent_by| sent_by == name);
        if !self.account.is_none_or(is_of_account) {
            return false;
        }
        match &*self.content {
            Content::Request(text) => request.uri().path().ends_with(text),
            Content::Part(id) => {
                let parts = request.headers().get("prompt-prefix");
                let parts = parts
                    .and_then(|parts| parts.to_str().ok())
                    .unwrap_or_default();
                let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
                ids.any(|part| part == id)
            }
        }
    }

    /// Records that a request with the poison has arrived, and a violation if it is one too many.
    pub(super) fn record_arrival(&self, id: &str, ledger: &Ledger) {
        let mut record = self.record();
        let max_crashes = match &*self.content {
            Content::Request(_) => MAX_REQUEST_CRASHES,
            Content::Part(_) => MAX_PART_CRASHES,
        };
        let last_allowed = record.crashes.get(max_crashes - 1);
        if last_allowed.is_none_or(|crash| crash.elapsed() < self.detection_time) {
            return;
        }
        record.late_arrivals += 1;
        if record.late_arrivals > MAX_LATE_ARRIVALS {
            let detail = format!(
                "{id} with {:?} arrived after {} crashes",
                self.content,
                record.crashes.len()
            );
            drop(record);
            ledger.record_violation("what crashes servers is refused", detail);
        }
    }

    pub(super) fn record_crash(&self) {
        self.record().crashes.push(Instant::now());
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
