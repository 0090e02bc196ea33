//! The adapters of a stand-in for a model engine.

use {
    hyper::StatusCode,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const LOAD_TIME: Duration = Duration::from_millis(30);

/// A run that uses an adapter, until it is dropped.
#[derive(Debug)]
pub(super) struct AdapterRun(#[expect(dead_code, reason = "only counted")] Arc<()>);

#[derive(Debug)]
struct Adapter {
    version: u64,
    ready_at: Instant,
    /// Shared with each run that uses the adapter.
    runs: Arc<()>,
    /// Whether the adapter goes once its runs have ended.
    is_unloading: bool,
}

impl Adapter {
    fn is_in_use(&self) -> bool {
        Arc::strong_count(&self.runs) > 1
    }

    fn is_ready(&self) -> bool {
        self.ready_at <= Instant::now()
    }
}

/// The adapters that an engine holds, by name.
#[derive(Debug, Default)]
pub(super) struct Adapters {
    adapters: BTreeMap<String, Adapter>,
}

impl Adapters {
    /// Drops the adapters whose unload has waited for their runs.
    fn settle(&mut self) {
        self.adapters
            .retain(|_, adapter| !adapter.is_unloading || adapter.is_in_use());
    }

    /// Carries out the order to load an adapter; returns how many the engine holds then.
    pub(super) fn load(&mut self, name: &str, version: u64) -> usize {
        self.settle();
        let adapter = Adapter {
            version,
            ready_at: Instant::now() + LOAD_TIME,
            runs: Arc::default(),
            is_unloading: false,
        };
        self.adapters.insert(name.to_owned(), adapter);
        self.adapters.len()
    }

    /// Carries out the order to unload an adapter; returns the status of the answer. An unload waits for the runs
    /// that use the adapter.
    pub(super) fn unload(&mut self, name: &str) -> StatusCode {
        if let Some(adapter) = self.adapters.get_mut(name) {
            adapter.is_unloading = true;
        }
        self.settle();
        if self.adapters.contains_key(name) {
            StatusCode::ACCEPTED
        } else {
            StatusCode::OK
        }
    }

    /// Returns the adapters that are loaded, or else those that are being loaded, as NAME@VERSION.
    pub(super) fn names(&mut self, is_ready: bool) -> impl Iterator<Item = String> {
        self.settle();
        let adapters = self.adapters.iter();
        adapters
            .filter(move |(_, adapter)| adapter.is_ready() == is_ready)
            .map(|(name, adapter)| format!("{name}@{}", adapter.version))
    }

    /// Starts a run that uses an adapter, in the version `expected` if the request names one; returns the version too.
    ///
    /// # Errors
    ///
    /// Returns the status of the refusal if the adapter is not loaded in this version or is being unloaded.
    pub(super) fn start_run(
        &mut self,
        name: &str,
        expected: Option<u64>,
    ) -> Result<(AdapterRun, u64), StatusCode> {
        self.settle();
        match self.adapters.get(name) {
            Some(adapter) if adapter.is_unloading => Err(StatusCode::SERVICE_UNAVAILABLE),
            Some(adapter)
                if adapter.is_ready()
                    && expected.is_none_or(|expected| expected == adapter.version) =>
            {
                Ok((AdapterRun(Arc::clone(&adapter.runs)), adapter.version))
            }
            Some(_) | None => Err(StatusCode::MISDIRECTED_REQUEST),
        }
    }
}
