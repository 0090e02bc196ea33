//! The supervisor of a process: a thread for each duty, restarted with back-off when it panics.

use {
    crate::events::{EventId, emit},
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        process,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 5_000;
const MAX_RESTARTS: u32 = 8;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const EXIT_FAILED: i32 = 1;

/// Starts duties and restarts those that panic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Supervisor {
    restarts: Arc<AtomicU64>,
}

impl Supervisor {
    /// Returns the number of restarts since the process started.
    pub(crate) fn restarts(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed)
    }

    /// Runs a duty in a thread of its own until it returns.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start another thread.
    pub(crate) fn start<F>(&self, name: &'static str, duty: F)
    where
        F: Fn() + Send + 'static,
    {
        let restarts = Arc::clone(&self.restarts);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || supervise(name, &duty, &restarts))
            .expect("a thread can be started");
    }
}

fn supervise<F: Fn()>(name: &str, duty: &F, restarts: &AtomicU64) {
    let mut recent: Vec<Instant> = Vec::new();
    while catch_unwind(AssertUnwindSafe(duty)).is_err() {
        restarts.fetch_add(1, Ordering::Relaxed);
        recent.retain(|at| at.elapsed() < RESTART_WINDOW);
        recent.push(Instant::now());
        let count = recent.len() as u32;
        if count > MAX_RESTARTS {
            emit(EventId::DutyFailed, format_args!("duty={name}"));
            process::exit(EXIT_FAILED);
        }
        let backoff_ms = (FIRST_BACKOFF_MS << (count - 1)).min(MAX_BACKOFF_MS);
        emit(
            EventId::DutyRestarted,
            format_args!("duty={name} backoff_ms={backoff_ms}"),
        );
        thread::sleep(Duration::from_millis(backoff_ms));
    }
}

/// Runs an asynchronous duty on a runtime of this thread.
///
/// # Panics
///
/// Panics if the system gives no event queue.
pub(crate) fn run_async<F: Future>(duty: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built")
        .block_on(duty)
}
