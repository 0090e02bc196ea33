//! Reads from the store's history which software versions services had before this entry started.
//!
//! After a loss of all processes at once nobody remembers them. The history is read when a caller resumes a
//! stream that no process knows, at most once if it succeeds, and agents are told what it shows.

use {
    super::state::EntryState,
    crate::{
        clock::wall_ms,
        events::{EventId, emit},
        gateway::{
            pool::{Pool, SendError},
            store_client::store_pool,
        },
    },
    bytes::Bytes,
    hyper::{Request, StatusCode},
    magnoliasail_core::gateway::{
        AnswerEra, HistorySearch, HistorySpan, PastVersions, message::ServiceVersions,
    },
    magnoliasail_platform::{
        DecodeError,
        headers::store_era,
        registry::{self, NO_KEYS_PREFIX, SERVER_KEY_PREFIX},
        store::{Changes, decode, range_request, watch_request},
    },
    snafu::{OptionExt, ResultExt, Snafu},
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
/// Maximum number of calls of a read, more than a search over any revision takes.
const MAX_CALLS: u32 = 150;

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
    #[snafu(display("the store discards its history as fast as it is searched"))]
    Unsteady,
    #[snafu(display("the settings do not say for how long the store keeps its history"))]
    UnknownSpan,
    #[snafu(display("a server was removed whose row is not in the history any more"))]
    UnknownServer,
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
    /// All that the history shows is known.
    Read,
}

impl ReadProgress {
    fn is_due(self, now_ms: u64) -> bool {
        match self {
            Self::NotRead => true,
            Self::Failed { at_ms } => now_ms >= at_ms + RETRY_PAUSE_MS,
            Self::Read => false,
        }
    }
}

/// What a read of the history has found.
struct FoundHistory {
    versions: Vec<ServiceVersions>,
    oldest_revision: u64,
    known_for_ms: u64,
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
            *progress = if let Ok(found) = found {
                for versions in &found.versions {
                    self.add_versions(versions);
                }
                self.report_versions();
                ReadProgress::Read
            } else {
                self.metrics.history_read_failures.inc();
                let at_ms = self.clock.now_ms();
                ReadProgress::Failed { at_ms }
            };
        }
        self.has_known_versions_for(service, max_age_ms)
    }

    fn has_known_versions_for(&self, service: &str, age_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        self.versions.borrow().known_for_ms(service, now_ms) >= age_ms
    }

    async fn read_history(&self) -> Result<FoundHistory, HistoryError> {
        let pool = store_pool(&self.settings).context(NoStoreSnafu)?;
        let reader = HistoryReader { state: self, pool };
        let (oldest_revision, changes) = reader.read_oldest().await?;
        let past = past_versions(&changes);
        let span = match (oldest_revision, self.settings.store_history_ms) {
            (0, _) => HistorySpan::Complete,
            (_, Some(kept_ms)) => HistorySpan::Kept(kept_ms),
            (_, None) => return UnknownSpanSnafu.fail(),
        };
        let directory = self.directory.borrow();
        let listed = || directory.all().map(|server| &server.entry);
        let known_for_ms = past
            .known_for_ms(span, listed(), wall_ms())
            .context(UnknownServerSnafu)?;
        let services: BTreeSet<_> = listed().map(|entry| Arc::clone(&entry.service)).collect();
        Ok(FoundHistory {
            versions: past.into_messages(services, known_for_ms),
            oldest_revision,
            known_for_ms,
        })
    }
}

/// Calls to the store that end the read if the store is of another era than the list.
struct HistoryReader<'a> {
    state: &'a EntryState,
    pool: Rc<Pool>,
}

impl HistoryReader<'_> {
    /// Finds the oldest revision whose history is kept, and returns it with the changes of servers since then.
    async fn read_oldest(&self) -> Result<(u64, Changes), HistoryError> {
        let newest = self
            .call(range_request(self.host(), NO_KEYS_PREFIX, None))
            .await?;
        let newest = newest.context(UnsteadySnafu)?.revision;
        let mut search = HistorySearch::new(newest);
        for _ in 0..MAX_CALLS {
            if let Some(revision) = search.next_probe() {
                let probe = self.changes_since(NO_KEYS_PREFIX, revision).await?;
                search.record(revision, probe.is_some());
                continue;
            }
            let oldest = search.oldest_kept();
            match self.changes_since(SERVER_KEY_PREFIX, oldest).await? {
                Some(changes) => return Ok((oldest, changes)),
                // It was discarded meanwhile.
                None => search.record(oldest, false),
            }
        }
        UnsteadySnafu.fail()
    }

    /// Returns the changes of the keys with a prefix after `revision`, or `None` if their history is not kept.
    async fn changes_since(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<Option<Changes>, HistoryError> {
        self.call(watch_request(self.host(), prefix, revision, NO_WAIT_MS))
            .await
    }

    fn host(&self) -> &str {
        &self.state.settings.store_address
    }

    async fn call(&self, request: Request<Bytes>) -> Result<Option<Changes>, HistoryError> {
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
            StatusCode::OK if is_of_list => {
                Ok(Some(decode(response.body()).context(MalformedSnafu)?))
            }
            StatusCode::GONE if is_of_list => Ok(None),
            StatusCode::OK | StatusCode::GONE => OtherEraSnafu.fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}

fn past_versions(changes: &Changes) -> PastVersions {
    let mut past = PastVersions::default();
    for change in &changes.changes {
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
    past
}

fn log_read(found: &Result<FoundHistory, HistoryError>, started_at: Instant) {
    let took_ms = started_at.elapsed().as_millis();
    match found {
        Ok(found) => {
            let versions: usize = found
                .versions
                .iter()
                .map(|known| known.versions.len())
                .sum();
            emit(
                EventId::HistoryRead,
                format_args!(
                    "oldest_revision={} known_for_ms={} services={} versions={versions} took_ms={took_ms}",
                    found.oldest_revision,
                    found.known_for_ms,
                    found.versions.len(),
                ),
            );
        }
        Err(error) => emit(
            EventId::HistoryUnread,
            format_args!("took_ms={took_ms}: {error}"),
        ),
    }
}
