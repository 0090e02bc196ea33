//! Follows the keys in the platform's store that start with a prefix.
//!
//! A follower lists the keys, then watches for changes after the revision of the first page. If the
//! store no longer has the history for a watch, the follower lists the keys again. It notifies its
//! observer of each change once, in the order of revisions, and reports keys that are missing from
//! a new list as removed. Other failed reads are reported too; data reported before stays in use.

use {
    super::pool::{Pool, SendError},
    crate::events::{EventId, emit},
    hyper::StatusCode,
    magnoliasail_platform::{
        DecodeError,
        store::{Change, Changes, decode, range_request, watch_request},
    },
    rand::Rng,
    snafu::Snafu,
    std::{
        collections::{HashMap, HashSet},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Time beyond the long poll after which a watch without a response times out.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Wait of a watch while the store is lost. A call to a store that does not respond must end soon, so
/// that changes are read soon after its return.
const LOST_STORE_POLL: Duration = Duration::from_millis(250);
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
const INITIAL_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;

/// Receives the notifications of a follower.
pub(super) trait ChangeObserver {
    /// Handles a change of a key.
    fn on_change(&self, change: &Change);

    /// Handles a failed read of the store. A watch for which the store no longer has the history is
    /// not reported.
    fn on_store_error(&self);

    /// Handles a successful read, after which all changes so far have been reported.
    fn on_caught_up(&self);
}

/// Error when reading the store.
#[derive(Debug, Snafu)]
enum FollowError {
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the store responded with status {status}; the read is retried"))]
    Status { status: StatusCode },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
    #[snafu(display(
        "the store no longer has the history for the watch; the keys are listed again"
    ))]
    Compacted,
}

/// Timing of a follower's calls to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTiming {
    /// Time for which the store holds a watch that has no changes. A dead connection is detected
    /// only after this time.
    pub(super) long_poll: Duration,
    /// Pause after each successful read, which limits the rate of calls, as each has a cost.
    pub(super) pause: Duration,
}

/// Follows the keys that start with a prefix.
pub(super) struct Follower<O> {
    pool: Rc<Pool>,
    host: String,
    prefix: &'static str,
    long_poll: Duration,
    pause: Duration,
    observer: Rc<O>,
    /// Existing keys with the revisions of their last changes.
    known_revisions: HashMap<String, u64>,
}

impl<O: ChangeObserver> Follower<O> {
    pub(super) fn new(
        pool: Rc<Pool>,
        host: &str,
        prefix: &'static str,
        timing: WatchTiming,
        observer: Rc<O>,
    ) -> Self {
        Self {
            pool,
            host: host.to_owned(),
            prefix,
            long_poll: timing.long_poll,
            pause: timing.pause,
            observer,
            known_revisions: HashMap::new(),
        }
    }

    /// Follows the keys until the process exits.
    pub(super) async fn run(mut self) {
        let mut revision = None;
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        let mut is_lost = false;
        loop {
            let result = match revision {
                None => self.list().await,
                Some(revision) if is_lost => self.watch(revision, LOST_STORE_POLL).await,
                Some(revision) => self.watch(revision, self.long_poll).await,
            };
            match result {
                Ok(new_revision) => {
                    revision = Some(new_revision);
                    backoff_ms = INITIAL_BACKOFF_MS;
                    if std::mem::take(&mut is_lost) {
                        emit(
                            EventId::StoreRegained,
                            format_args!("prefix={} revision={new_revision}", self.prefix),
                        );
                    }
                    self.observer.on_caught_up();
                    sleep(self.pause).await;
                    continue;
                }
                Err(FollowError::Compacted) => revision = None,
                Err(error) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        emit(
                            EventId::StoreLost,
                            format_args!("prefix={}: {error}", self.prefix),
                        );
                    }
                    self.observer.on_store_error();
                }
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            sleep(Duration::from_millis((backoff_ms as f64 * jitter) as u64)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Lists all keys and returns the revision from which to watch.
    async fn list(&mut self) -> Result<u64, FollowError> {
        let mut listed = HashSet::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let request = range_request(&self.host, self.prefix, after.as_deref());
            let page = self.call(request, LIST_TIMEOUT).await?;
            first_revision.get_or_insert(page.revision);
            after = page.changes.last().map(|change| change.key.clone());
            for change in &page.changes {
                listed.insert(change.key.clone());
                self.notify(change);
            }
            if !page.has_more || after.is_none() {
                break;
            }
        }
        let revision = first_revision.unwrap_or(0);
        self.notify_missing(&listed, revision);
        Ok(revision)
    }

    /// Reports known keys that are missing from the list as removed.
    fn notify_missing(&mut self, listed: &HashSet<String>, revision: u64) {
        let missing: Vec<String> = self
            .known_revisions
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        for key in missing {
            self.known_revisions.remove(&key);
            self.observer.on_change(&Change {
                key,
                value: None,
                is_removed: true,
                revision,
            });
        }
    }

    /// Waits at most `wait` for changes after `revision`, and returns the revision from which to watch
    /// next.
    async fn watch(&mut self, revision: u64, wait: Duration) -> Result<u64, FollowError> {
        let wait_ms = wait.as_millis() as u64;
        let request = watch_request(&self.host, self.prefix, revision, wait_ms);
        let limit = wait + WATCH_MARGIN;
        let batch = self.call(request, limit).await?;
        for change in &batch.changes {
            self.notify(change);
        }
        Ok(batch.revision.max(revision))
    }

    /// Reports a change, unless it or a later one of the same key has been reported.
    fn notify(&mut self, change: &Change) {
        let is_known = self
            .known_revisions
            .get(&change.key)
            .is_some_and(|&revision| revision >= change.revision);
        if is_known {
            return;
        }
        if change.is_removed {
            self.known_revisions.remove(&change.key);
        } else {
            self.known_revisions
                .insert(change.key.clone(), change.revision);
        }
        self.observer.on_change(change);
    }

    async fn call(
        &self,
        request: hyper::Request<bytes::Bytes>,
        limit: Duration,
    ) -> Result<Changes, FollowError> {
        let response = self
            .pool
            .call(request, limit)
            .await
            .map_err(|source| FollowError::Unreachable { source })?;
        match response.status {
            StatusCode::OK => {
                decode(&response.body).map_err(|source| FollowError::Malformed { source })
            }
            StatusCode::GONE => Err(FollowError::Compacted),
            status => Err(FollowError::Status { status }),
        }
    }
}
