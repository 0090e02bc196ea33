//! Follows the keys in the platform's store that start with a prefix.
//!
//! A follower lists the keys, then watches for changes after the revision of the first page. If the
//! store no longer has the history for a watch, or was restored from a copy, the follower lists the
//! keys again. It notifies its observer of each change once, in the order of positions, and reports
//! keys that are missing from a new list as removed. Other failed reads are reported too; data
//! reported before stays in use. [`StoreFollow`] decides what is read next and which response is
//! used.

use {
    super::pool::{Pool, SendError},
    crate::events::{EventId, emit},
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    magnoliasail_core::gateway::{AnswerUse, DiscardReason, Freshness, StoreFollow, StoreRead},
    magnoliasail_platform::{
        DecodeError,
        headers::store_era,
        store::{Change, Changes, decode, range_request, watch_request},
    },
    rand::Rng,
    snafu::Snafu,
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
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
    /// Handles the start of a call. `is_watch` says whether the store holds it until there is a change.
    fn on_call(&self, _is_watch: bool) {}

    /// Handles a response that is used. Its changes follow.
    fn on_response(&self) {}

    /// Handles a change of a key.
    fn on_change(&self, change: &Change, freshness: Freshness);

    /// Handles the newest era that a response has named, before the changes of a response.
    fn on_era(&self, era: Option<u64>);

    /// Handles a restoration of the store from a copy. The changes of a new list follow.
    fn on_new_era(&self);

    /// Handles that the keys are listed anew. Keys may have been written and removed unseen.
    fn on_list_anew(&self) {}

    /// Handles a response that is not used because of its era. A failed read is reported next.
    fn on_answer_discarded(&self, reason: DiscardReason);

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
    #[snafu(display("the store has entered a new era; the keys are listed again"))]
    NewEra,
    #[snafu(display("the response is not used ({reason}); the read is retried"))]
    Discarded { reason: DiscardReason },
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// More pages of the list follow.
    HasMore,
    /// All changes so far have been reported.
    CaughtUp,
}

/// Timing of a follower's calls to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTiming {
    /// Time for which the store holds a watch that has no changes. A dead connection is detected
    /// only after this time.
    pub(super) long_poll: Duration,
    /// Pause after each successful read, which limits the rate of calls, as each has a cost.
    pub(super) pause: Duration,
    /// The part of the pause that is kept even if something is known to have changed.
    pub(super) min_pause: Duration,
}

/// Follows the keys that start with a prefix.
pub(super) struct Follower<O> {
    pool: Rc<Pool>,
    host: String,
    prefix: &'static str,
    timing: WatchTiming,
    /// Notified when something is known to have changed.
    outdated: Rc<Notify>,
    observer: Rc<O>,
    follow: StoreFollow,
}

impl<O: ChangeObserver> Follower<O> {
    pub(super) fn new(
        pool: Rc<Pool>,
        host: &str,
        prefix: &'static str,
        timing: WatchTiming,
        outdated: Rc<Notify>,
        observer: Rc<O>,
    ) -> Self {
        Self {
            pool,
            host: host.to_owned(),
            prefix,
            timing,
            outdated,
            observer,
            follow: StoreFollow::default(),
        }
    }

    /// Follows the keys until the process exits.
    pub(super) async fn run(mut self) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        let mut is_lost = false;
        let mut has_unread_era = false;
        loop {
            match self.read(is_lost).await {
                Ok(ReadEnd::HasMore) => continue,
                Ok(ReadEnd::CaughtUp) => {
                    backoff_ms = INITIAL_BACKOFF_MS;
                    has_unread_era = false;
                    if std::mem::take(&mut is_lost) {
                        emit(EventId::StoreRegained, format_args!("{}", self.location()));
                    }
                    self.observer.on_caught_up();
                    self.pause().await;
                    continue;
                }
                Err(FollowError::NewEra) => {
                    self.report_new_era();
                    self.observer.on_list_anew();
                    // A store that enters one era after another is read at a limited rate.
                    if !std::mem::replace(&mut has_unread_era, true) {
                        continue;
                    }
                }
                Err(FollowError::Compacted) => {
                    emit(
                        EventId::StoreHistoryLost,
                        format_args!("{}", self.location()),
                    );
                    self.follow.list_afresh();
                    self.observer.on_list_anew();
                }
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

    /// Waits until the next read is due.
    async fn pause(&self) {
        let WatchTiming {
            pause, min_pause, ..
        } = self.timing;
        sleep(min_pause.min(pause)).await;
        let _ = timeout(pause.saturating_sub(min_pause), self.outdated.notified()).await;
    }

    /// Reads a page of the list or a batch of changes, and reports its changes.
    async fn read(&mut self, is_lost: bool) -> Result<ReadEnd, FollowError> {
        let (request, limit) = self.next_request(is_lost);
        let is_watch = matches!(self.follow.next_read(), StoreRead::Watch { .. });
        self.observer.on_call(is_watch);
        let response = self
            .pool
            .call(request, limit)
            .await
            .map_err(|source| FollowError::Unreachable { source })?;
        let page = self.check(&response)?;
        self.observer.on_response();
        self.follow.begin_page(page.revision);
        for change in &page.changes {
            self.notify(change);
        }
        let missing = self.follow.end_page(page.revision, page.has_more);
        for key in missing {
            self.notify_missing(key, page.revision);
        }
        Ok(match self.follow.next_read() {
            StoreRead::List { .. } => ReadEnd::HasMore,
            StoreRead::Watch { .. } => ReadEnd::CaughtUp,
        })
    }

    /// Returns the request for the next read, with its time limit.
    fn next_request(&self, is_lost: bool) -> (Request<Bytes>, Duration) {
        match self.follow.next_read() {
            StoreRead::List { after } => (
                range_request(&self.host, self.prefix, after.as_deref()),
                LIST_TIMEOUT,
            ),
            StoreRead::Watch { revision } => {
                let wait = if is_lost {
                    LOST_STORE_POLL
                } else {
                    self.timing.long_poll
                };
                let wait_ms = wait.as_millis() as u64;
                let request = watch_request(&self.host, self.prefix, revision, wait_ms);
                (request, wait + WATCH_MARGIN)
            }
        }
    }

    /// Returns the content of a response that may be used.
    ///
    /// The era counts in responses with an error status too, but there it need not be named.
    fn check(&mut self, response: &Response<Bytes>) -> Result<Changes, FollowError> {
        let era_use = self.follow.judge(store_era(response.headers()));
        self.observer.on_era(self.follow.era());
        if era_use == AnswerUse::ListAfresh {
            return Err(FollowError::NewEra);
        }
        match (response.status(), era_use) {
            (StatusCode::OK, AnswerUse::Discard(reason)) => {
                self.report_discarded(reason);
                Err(FollowError::Discarded { reason })
            }
            (StatusCode::OK, _) => {
                decode(response.body()).map_err(|source| FollowError::Malformed { source })
            }
            (StatusCode::GONE, _) => Err(FollowError::Compacted),
            (status, _) => Err(FollowError::Status { status }),
        }
    }

    /// Reports a change, unless it or a later one of the same key has been reported.
    fn notify(&mut self, change: &Change) {
        let freshness = self
            .follow
            .record(&change.key, change.revision, change.is_removed);
        if let Some(freshness) = freshness {
            self.observer.on_change(change, freshness);
        }
    }

    /// Reports a key that is missing from the list as removed.
    fn notify_missing(&self, key: String, revision: u64) {
        let removal = Change {
            key,
            value: None,
            is_removed: true,
            revision,
        };
        self.observer.on_change(&removal, Freshness::Written);
    }

    fn report_new_era(&self) {
        emit(
            EventId::StoreEraChanged,
            format_args!("{}", self.location()),
        );
        self.observer.on_new_era();
    }

    fn report_discarded(&self, reason: DiscardReason) {
        emit(
            EventId::StoreAnswerDiscarded,
            format_args!("{} reason={reason}", self.location()),
        );
        self.observer.on_answer_discarded(reason);
    }

    /// Returns the prefix and the current position as log keys.
    fn location(&self) -> String {
        let era = self.follow.era();
        let revision = self.follow.highest_revision();
        format!("prefix={} era={era:?} revision={revision}", self.prefix)
    }
}
