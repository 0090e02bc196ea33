//! Reads from the store's history which software versions services had before this entry started.
//!
//! After a loss of all processes at once nobody remembers them. The history is read when a caller resumes a
//! stream that no process knows, at most once if it succeeds, and agents are told what it shows. Only a history
//! that begins with the first change is used: another one may lack a version that has left.

use {
    super::state::EntryState,
    crate::{
        events::{EventId, emit},
        gateway::{
            pool::{Pool, SendError},
            store_client::store_pool,
        },
    },
    bytes::Bytes,
    hyper::{Request, StatusCode},
    magnoliasail_core::gateway::{AnswerEra, PastVersions, message::ServiceVersions},
    magnoliasail_platform::{
        DecodeError,
        headers::store_era,
        registry::{self, NO_KEYS_PREFIX, SERVER_KEY_PREFIX},
        store::{Changes, decode, range_request, watch_request},
    },
    snafu::{OptionExt, ResultExt, Snafu, ensure},
    std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::Mutex,
        time::{Instant, timeout},
    },
};

/// Longest time for all calls of a read: a request waits for it.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after a failed read before the next one.
const RETRY_PAUSE_MS: u64 = 1_000;
/// Wait of a watch that asks for what has happened already.
const NO_WAIT_MS: u64 = 1;
/// Maximum number of watches of a read, of which one is usually enough.
const MAX_WATCHES: u32 = 20;
/// The revision before the first change.
const BEFORE_FIRST_REVISION: u64 = 0;

/// Why the history shows nothing.
#[derive(Debug, Snafu)]
enum HistoryError {
    #[snafu(display("the address of the store is not IP:PORT; correct the settings"))]
    NoStore,
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the store responded with status {status}; the read is tried again"))]
    Status { status: StatusCode },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
    #[snafu(display("the store is of another era than the list; the read is tried again"))]
    OtherEra,
    #[snafu(display("the reads took longer than {limit_ms} ms; the read is tried again"))]
    TooSlow { limit_ms: u64 },
    #[snafu(display("the changes take more than {MAX_WATCHES} calls; the read is tried again"))]
    Unsteady,
    #[snafu(display(
        "the store has discarded the beginning of its history, which may have shown further versions; streams are \
         resumed again once this process has known all versions for their routes' timeouts"
    ))]
    Discarded,
    #[snafu(display(
        "the history lacks the row of a server that is listed or was removed; the read is tried again"
    ))]
    UnknownServer,
}

impl HistoryError {
    /// Returns whether a later read may show more.
    const fn may_pass(&self) -> bool {
        !matches!(self, Self::Discarded)
    }
}

/// Whether the history has been read. Only one request reads it at a time; others wait for the result.
#[derive(Debug, Default)]
pub(super) struct PastVersionsRead {
    progress: Mutex<ReadProgress>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReadProgress {
    #[default]
    NotRead,
    /// The latest read failed at this time of the process's clock.
    Failed { at_ms: u64 },
    /// All that the history can show is known.
    Ended,
}

impl ReadProgress {
    fn is_due(self, now_ms: u64) -> bool {
        match self {
            Self::NotRead => true,
            Self::Failed { at_ms } => now_ms >= at_ms + RETRY_PAUSE_MS,
            Self::Ended => false,
        }
    }
}

impl EntryState {
    /// Reads the history, unless it has been read, if all versions that a service has had for `max_age_ms`
    /// are not known without it. Tells all agents what it shows. Returns whether the versions are known now.
    pub(super) async fn learn_past_versions(&self, service: &str, max_age_ms: u64) -> bool {
        if self.has_known_versions_for(service, max_age_ms) {
            return false;
        }
        let mut progress = self.past_versions_read.progress.lock().await;
        if progress.is_due(self.clock.now_ms()) {
            let started_at = Instant::now();
            let found = match timeout(READ_LIMIT, self.read_history()).await {
                Ok(found) => found,
                Err(_) => TooSlowSnafu {
                    limit_ms: READ_LIMIT.as_millis() as u64,
                }
                .fail(),
            };
            log_read(&found, started_at);
            *progress = self.apply_history(found);
        }
        self.has_known_versions_for(service, max_age_ms)
    }

    fn has_known_versions_for(&self, service: &str, age_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        self.versions.borrow().known_for_ms(service, now_ms) >= age_ms
    }

    /// Adds what the history shows, and tells all agents.
    fn apply_history(&self, found: Result<Vec<ServiceVersions>, HistoryError>) -> ReadProgress {
        match found {
            Ok(versions) => {
                for versions in &versions {
                    self.add_versions(versions);
                }
                self.report_versions();
                ReadProgress::Ended
            }
            Err(error) => {
                self.metrics.history_read_failures.inc();
                let at_ms = self.clock.now_ms();
                if error.may_pass() {
                    ReadProgress::Failed { at_ms }
                } else {
                    ReadProgress::Ended
                }
            }
        }
    }

    async fn read_history(&self) -> Result<Vec<ServiceVersions>, HistoryError> {
        let pool = store_pool(&self.settings).context(NoStoreSnafu)?;
        let past = HistoryReader { state: self, pool }.read().await?;
        let directory = self.directory.borrow();
        let listed = || directory.all().map(|server| &server.entry);
        ensure!(past.is_complete(listed()), UnknownServerSnafu);
        let services: BTreeSet<_> = listed().map(|entry| Arc::clone(&entry.service)).collect();
        Ok(past.into_messages(services))
    }
}

/// Calls to the store that end the read if the store is of another era than the list.
struct HistoryReader<'a> {
    state: &'a EntryState,
    pool: Rc<Pool>,
}

impl HistoryReader<'_> {
    /// Reads all changes of servers up to the newest revision.
    async fn read(&self) -> Result<PastVersions, HistoryError> {
        let newest = self
            .call(range_request(self.host(), NO_KEYS_PREFIX, None))
            .await?
            .revision;
        let mut past = PastVersions::default();
        let mut revision = BEFORE_FIRST_REVISION;
        for _ in 0..MAX_WATCHES {
            let request = watch_request(self.host(), SERVER_KEY_PREFIX, revision, NO_WAIT_MS);
            let page = self.call(request).await?;
            add_changes(&mut past, &page);
            if page.revision >= newest {
                return Ok(past);
            }
            revision = page.revision;
        }
        UnsteadySnafu.fail()
    }

    fn host(&self) -> &str {
        &self.state.settings.store_address
    }

    async fn call(&self, request: Request<Bytes>) -> Result<Changes, HistoryError> {
        let response = self
            .pool
            .call(request, READ_LIMIT)
            .await
            .context(UnreachableSnafu)?;
        let era = match store_era(response.headers()) {
            AnswerEra::Named(era) => Some(era),
            AnswerEra::Unnamed => None,
            AnswerEra::Unreadable => return OtherEraSnafu.fail(),
        };
        let is_of_list = era == self.state.store_freshness.get().era();
        match response.status() {
            StatusCode::OK if is_of_list => decode(response.body()).context(MalformedSnafu),
            StatusCode::GONE if is_of_list => DiscardedSnafu.fail(),
            StatusCode::OK | StatusCode::GONE => OtherEraSnafu.fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}

fn add_changes(past: &mut PastVersions, page: &Changes) {
    for change in &page.changes {
        let Some(id) = registry::server_id(&change.key) else {
            continue;
        };
        if change.is_removed {
            past.add_removal(&id);
            continue;
        }
        let value = change.value.as_deref().unwrap_or_default();
        match registry::decode_server(Arc::clone(&id), value) {
            Ok(entry) => past.add_row(&entry),
            Err(_) => past.add_unusable_row(id),
        }
    }
}

fn log_read(found: &Result<Vec<ServiceVersions>, HistoryError>, started_at: Instant) {
    let took_ms = started_at.elapsed().as_millis();
    match found {
        Ok(found) => {
            let versions: usize = found.iter().map(|known| known.versions.len()).sum();
            emit(
                EventId::HistoryRead,
                format_args!(
                    "services={} versions={versions} took_ms={took_ms}",
                    found.len(),
                ),
            );
        }
        Err(error) => emit(
            EventId::HistoryUnread,
            format_args!("took_ms={took_ms}: {error}"),
        ),
    }
}
