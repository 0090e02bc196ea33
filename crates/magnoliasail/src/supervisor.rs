//! The supervisor of a process: runs each worker in a thread of its own and restarts one that
//! panics after an exponential backoff.

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

const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 5_000;
/// Restarts of a worker within [`RESTART_WINDOW`]; one more panic ends the process.
const MAX_RESTARTS: u32 = 8;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const EXIT_FAILURE: i32 = 1;

/// Starts workers and restarts those that panic; clones share the count of restarts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Supervisor {
    restarts: Arc<AtomicU64>,
}

impl Supervisor {
    /// Returns the number of restarts of all workers since the process started.
    pub(crate) fn restarts(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed)
    }

    /// Runs a worker in a thread of its own until it returns.
    ///
    /// A worker that panics more than [`MAX_RESTARTS`] times within [`RESTART_WINDOW`] ends the
    /// process.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start another thread.
    pub(crate) fn start<F>(&self, name: &'static str, worker: F)
    where
        F: Fn() + Send + 'static,
    {
        let restarts = Arc::clone(&self.restarts);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || supervise(name, &worker, &restarts))
            .expect("a thread can be started");
    }
}

fn supervise<F: Fn()>(name: &str, worker: &F, restarts: &AtomicU64) {
    let mut recent_panics: Vec<Instant> = Vec::new();
    while catch_unwind(AssertUnwindSafe(worker)).is_err() {
        restarts.fetch_add(1, Ordering::Relaxed);
        recent_panics.retain(|at| at.elapsed() < RESTART_WINDOW);
        recent_panics.push(Instant::now());
        let count = recent_panics.len() as u32;
        if count > MAX_RESTARTS {
            emit(EventId::DutyFailed, format_args!("duty={name}"));
            process::exit(EXIT_FAILURE);
        }
        let backoff_ms = (INITIAL_BACKOFF_MS << (count - 1)).min(MAX_BACKOFF_MS);
        emit(
            EventId::DutyRestarted,
            format_args!("duty={name} backoff_ms={backoff_ms}"),
        );
        thread::sleep(Duration::from_millis(backoff_ms));
    }
}

/// Runs a future to completion on a runtime of the current thread.
///
/// # Panics
///
/// Panics if the system cannot provide the runtime's event queue.
pub(crate) fn run_async<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built")
        .block_on(future)
}
