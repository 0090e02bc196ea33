//! Follows the keys of the platform's store that begin with a prefix.
//!
//! The follower lists the keys, then watches from the first page's revision. It tells its observer of
//! each change once and in order of revision; keys that a new list no longer has are told as
//! removed. Trouble with the store is told too, and what was learned before stays in force.

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

/// Time beyond that after which the connection is taken for silent.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
const FIRST_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;

/// Takes what a follower learns.
pub(super) trait ChangeObserver {
    /// Takes a change.
    fn on_change(&self, change: &Change);

    /// Learns that the store cannot be read.
    fn on_store_error(&self);

    /// Learns that everything up to now is known.
    fn on_caught_up(&self);
}

/// Why the store could not be read.
#[derive(Debug, Snafu)]
enum FollowError {
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the store answered {status}; the call is made again"))]
    Status { status: StatusCode },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
    #[snafu(display("the store no longer has the history; the keys are listed anew"))]
    Compacted,
}

/// How often a follower calls the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTiming {
    /// Time for which a watch waits at the store.
    pub(super) long_poll: Duration,
    /// Time between answers that bring changes.
    pub(super) pause: Duration,
}

/// Follows the keys that begin with a prefix.
pub(super) struct Follower<F> {
    pool: Rc<Pool>,
    host: String,
    prefix: &'static str,
    /// Time for which a watch waits at the store: a connection that has gone silent is noticed as
    /// late as that.
    long_poll: Duration,
    /// Time between answers of the store that bring changes: each call has a price.
    pause: Duration,
    observer: Rc<F>,
    known: HashMap<String, u64>,
}

impl<F: ChangeObserver> Follower<F> {
    pub(super) fn new(
        pool: Rc<Pool>,
        host: &str,
        prefix: &'static str,
        timing: WatchTiming,
        observer: Rc<F>,
    ) -> Self {
        Self {
            pool,
            host: host.to_owned(),
            prefix,
            long_poll: timing.long_poll,
            pause: timing.pause,
            observer,
            known: HashMap::new(),
        }
    }

    /// Follows the keys for as long as the process lives.
    pub(super) async fn run(mut self) {
        let mut revision = None;
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut is_lost = false;
        loop {
            let step = match revision {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match step {
                Ok(next) => {
                    revision = Some(next);
                    backoff_ms = FIRST_BACKOFF_MS;
                    if std::mem::take(&mut is_lost) {
                        emit(
                            EventId::StoreRegained,
                            format_args!("prefix={} revision={next}", self.prefix),
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
                self.tell(change);
            }
            if !page.has_more || after.is_none() {
                break;
            }
        }
        let revision = first_revision.unwrap_or(0);
        self.tell_missing(&listed, revision);
        Ok(revision)
    }

    fn tell_missing(&mut self, listed: &HashSet<String>, revision: u64) {
        let missing: Vec<String> = self
            .known
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        for key in missing {
            self.known.remove(&key);
            self.observer.on_change(&Change {
                key,
                value: None,
                is_removed: true,
                revision,
            });
        }
    }

    async fn watch(&mut self, revision: u64) -> Result<u64, FollowError> {
        let request = watch_request(
            &self.host,
            self.prefix,
            revision,
            self.long_poll.as_millis() as u64,
        );
        let limit = self.long_poll + WATCH_MARGIN;
        let batch = self.call(request, limit).await?;
        for change in &batch.changes {
            self.tell(change);
        }
        Ok(batch.revision.max(revision))
    }

    /// Tells a change unless a later one of the key is known.
    fn tell(&mut self, change: &Change) {
        let is_known = self
            .known
            .get(&change.key)
            .is_some_and(|&revision| revision >= change.revision);
        if is_known {
            return;
        }
        if change.is_removed {
            self.known.remove(&change.key);
        } else {
            self.known.insert(change.key.clone(), change.revision);
        }
        self.observer.on_change(change);
    }

    async fn call(
        &self,
        request: hyper::Request<bytes::Bytes>,
        limit: Duration,
    ) -> Result<Changes, FollowError> {
        let (status, body) = self
            .pool
            .call(request, limit)
            .await
            .map_err(|source| FollowError::Unreachable { source })?;
        match status {
            StatusCode::OK => decode(&body).map_err(|source| FollowError::Malformed { source }),
            StatusCode::GONE => Err(FollowError::Compacted),
            status => Err(FollowError::Status { status }),
        }
    }
}
