//! A stand-in for the platform's key-value store, with ranges, watches and fault modes.
//!
//! Each write gets the next revision. `/kv-range` lists the keys under a prefix page by page, and
//! `/kv-watch` returns the changes after a revision, or status 410 if they have been compacted or
//! the store does not have the revision. A rollback discards the newest writes, whose revisions are
//! then given out again, and starts a new era.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        time::{Instant, sleep},
    },
};

/// The usual time for which the history of changes is kept.
pub const DEFAULT_HISTORY: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 5;
const WATCH_POLL: Duration = Duration::from_millis(10);

/// How the store treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers at once.
    #[default]
    Up,
    /// Answers with status 503.
    Unavailable,
    /// Answers after a delay.
    Slow {
        /// The delay, in milliseconds.
        delay_ms: u64,
    },
    /// Accepts requests and never answers them.
    Unresponsive,
}

/// What the store's responses say about its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// The number of the current era.
    #[default]
    Current,
    /// Nothing, as with stores that do not number their eras.
    Missing,
    /// A text that is not a number.
    Malformed,
    /// The number of the era before the current one, as in a late response.
    Previous,
}

/// A write of one key, kept so that a rollback can discard it.
#[derive(Debug)]
struct Write {
    key: String,
    item: Item,
    written_at: Instant,
}

#[derive(Clone, Debug)]
struct Item {
    /// `None` if the key has been removed.
    value: Option<String>,
    /// Revision of the last write.
    revision: u64,
}

#[derive(Debug)]
struct State {
    mode: StoreMode,
    /// Revision of the newest write.
    revision: u64,
    /// The time for which the history of changes is kept.
    history: Duration,
    /// Watches from a revision before this one get status 410, whatever their age.
    compacted_revision: u64,
    items: BTreeMap<String, Item>,
    /// All writes that are in force, in the order of their revisions.
    writes: Vec<Write>,
    /// Number of rollbacks so far.
    era: u64,
    era_header: EraHeader,
}

impl Default for State {
    fn default() -> Self {
        Self {
            mode: StoreMode::default(),
            revision: 0,
            history: DEFAULT_HISTORY,
            compacted_revision: 0,
            items: BTreeMap::new(),
            writes: Vec::new(),
            era: 0,
            era_header: EraHeader::default(),
        }
    }
}

impl State {
    /// Returns the oldest revision from which a watch gets all changes.
    fn oldest_kept_revision(&self) -> u64 {
        let is_discarded = |write: &&Write| write.written_at.elapsed() > self.history;
        let discarded = self.writes.iter().rev().find(is_discarded);
        let discarded = discarded.map_or(0, |write| write.item.revision);
        discarded.max(self.compacted_revision)
    }

    fn era_header_value(&self) -> Option<String> {
        match self.era_header {
            EraHeader::Current => Some(self.era.to_string()),
            EraHeader::Missing => None,
            EraHeader::Malformed => Some(format!("era {}", self.era)),
            EraHeader::Previous => Some(self.era.saturating_sub(1).to_string()),
        }
    }
}

/// A stand-in for the platform's store. Clones share the same keys.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts to serve the store on `address`, until the runtime ends.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                let service = service_fn(move |request| store.clone().handle(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Ok(())
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &Value) {
        self.write(key, Some(value.to_string()));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Sets how requests are treated from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.with(|state| state.mode = mode);
    }

    /// Discards the history of changes up to the current revision.
    pub fn compact(&self) {
        self.with(|state| state.compacted_revision = state.revision);
    }

    /// Sets the time for which the history of changes is kept.
    pub fn set_history(&self, history: Duration) {
        self.with(|state| state.history = history);
    }

    /// Returns the revision of the newest write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.with(|state| state.revision)
    }

    /// Discards all writes after `revision` and starts a new era, as if the store had been restored
    /// from a copy. Revisions after it are given out again.
    pub fn roll_back_to(&self, revision: u64) {
        self.with(|state| {
            state.writes.retain(|write| write.item.revision <= revision);
            state.items.clear();
            for write in &state.writes {
                state.items.insert(write.key.clone(), write.item.clone());
            }
            state.revision = revision.min(state.revision);
            state.compacted_revision = state.compacted_revision.min(state.revision);
            state.era += 1;
        });
    }

    /// Discards all writes of the time `age` before now, as [`Self::roll_back_to`] does.
    pub fn roll_back(&self, age: Duration) {
        let revision = self.with(|state| {
            let kept = |write: &&Write| write.written_at.elapsed() >= age;
            let newest = state.writes.iter().rev().find(kept);
            newest.map_or(0, |write| write.item.revision)
        });
        self.roll_back_to(revision);
    }

    /// Sets what responses say about the era from now on.
    pub fn set_era_header(&self, era_header: EraHeader) {
        self.with(|state| state.era_header = era_header);
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn write(&self, key: &str, value: Option<String>) {
        self.with(|state| {
            state.revision += 1;
            let item = Item {
                value,
                revision: state.revision,
            };
            state.items.insert(key.to_owned(), item.clone());
            state.writes.push(Write {
                key: key.to_owned(),
                item,
                written_at: Instant::now(),
            });
        });
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let era = self.with(|state| state.era);
        let mut response = self.respond(&request).await;
        let (is_current, header) = self.with(|state| (state.era == era, state.era_header_value()));
        if !is_current {
            // The store was restored meanwhile, which ends the requests in progress.
            response = unavailable_response();
        }
        // While the store is away, another process responds in its place and knows no era.
        let is_away = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(header) = header.filter(|_| !is_away).and_then(|era| era.parse().ok()) {
            response.headers_mut().insert("store-era", header);
        }
        Ok(response)
    }

    async fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match self.with(|state| state.mode) {
            StoreMode::Up => {}
            StoreMode::Unavailable => {
                return unavailable_response();
            }
            StoreMode::Slow { delay_ms } => sleep(Duration::from_millis(delay_ms)).await,
            StoreMode::Unresponsive => std::future::pending().await,
        }
        let query = parse_query(request.uri().query().unwrap_or_default());
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned();
        match request.uri().path() {
            "/kv-range" => {
                json_response(StatusCode::OK, &self.list_page(&prefix, after.as_deref()))
            }
            "/kv-watch" => {
                let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait_ms = query.get("wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                self.watch(&prefix, after, wait).await
            }
            _ => json_response(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    fn list_page(&self, prefix: &str, after: Option<&str>) -> Value {
        self.with(|state| {
            let mut items: Vec<Value> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.value.is_some())
                .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
                .map(|(key, item)| item_json(key, item))
                .take(PAGE_ITEMS + 1)
                .collect();
            let has_more = items.len() > PAGE_ITEMS;
            items.truncate(PAGE_ITEMS);
            json!({"items": items, "has_more": has_more, "as_of": state.revision})
        })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<Full<Bytes>> {
        let deadline = Instant::now() + wait;
        let first_era = self.with(|state| state.era);
        loop {
            let (events, revision, is_unknown) = self.with(|state| {
                let events: Vec<Value> = state
                    .writes
                    .iter()
                    .filter(|write| write.key.starts_with(prefix) && write.item.revision > after)
                    .map(|write| item_json(&write.key, &write.item))
                    .collect();
                let is_restored = state.era != first_era;
                let is_unknown =
                    is_restored || after < state.oldest_kept_revision() || after > state.revision;
                (events, state.revision, is_unknown)
            });
            if is_unknown {
                return json_response(StatusCode::GONE, &Value::Null);
            }
            if !events.is_empty() || Instant::now() >= deadline {
                return json_response(
                    StatusCode::OK,
                    &json!({"events": events, "as_of": revision}),
                );
            }
            sleep(WATCH_POLL).await;
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    match &item.value {
        Some(value) => {
            json!({"key": key, "value": STANDARD.encode(value), "revision": item.revision,
            "created_rev": 1, "lease": 0})
        }
        None => json!({"key": key, "revision": item.revision, "deleted": true}),
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn unavailable_response() -> Response<Full<Bytes>> {
    json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)
}

fn json_response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
