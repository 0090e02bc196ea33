//! Stand-in for the platform's configuration service, whose clients can read and watch pages.
//!
//! `GET /v1/index?after=N&wait_ms=M` lists the pages; it waits up to `M` milliseconds until the
//! version is newer than `N`. `GET /v1/pages/NAME` reads a page. `POST /admin/publish` publishes
//! pages, as the platform's operators do, and `GET /admin/calls` returns the number of requests
//! handled outside `/admin/`.

use {
    crate::{ActiveFaults, Body, Faults, Server, json_response, now_ms},
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// A page that is published when the stand-in starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PageSettings {
    /// Name of the page.
    pub name: String,
    /// Path of the file with the page's content; read if `csv` is empty.
    pub file: String,
    /// Content of the page.
    pub csv: String,
}

/// Settings of a [`ConfigStandin`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Address to listen on.
    pub listen: String,
    /// Pages that are published at start-up.
    pub pages: Vec<PageSettings>,
    /// Age of the initial pages at start-up, in milliseconds.
    pub published_ago_ms: u64,
    /// Faults that are active at start-up.
    pub faults: Faults,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            pages: Vec::new(),
            published_ago_ms: 3_600_000,
            faults: Faults::default(),
        }
    }
}

#[derive(Clone, Debug)]
struct Page {
    csv: String,
    published_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    version: u64,
    pages: BTreeMap<String, Page>,
    /// Time at which a stale copy was made; `None` for the current state.
    frozen_at_ms: Option<u64>,
}

/// A configuration service whose pages are published by `POST /admin/publish`.
#[derive(Debug)]
pub struct ConfigStandin {
    faults: ActiveFaults,
    current: Mutex<State>,
    stale: Mutex<Option<State>>,
    version: watch::Sender<u64>,
    calls: AtomicU64,
}

impl ConfigStandin {
    /// Creates a service that has published the pages in its settings as version 1.
    ///
    /// Without pages, it starts at version 0. The page of a file that cannot be read is empty.
    #[must_use]
    pub fn new(settings: ConfigSettings) -> Self {
        let published_ms = now_ms().saturating_sub(settings.published_ago_ms);
        let initial_page = |page: PageSettings| {
            let csv = if page.csv.is_empty() {
                std::fs::read_to_string(&page.file).unwrap_or_default()
            } else {
                page.csv
            };
            (page.name, Page { csv, published_ms })
        };
        let pages: BTreeMap<String, Page> = settings.pages.into_iter().map(initial_page).collect();
        let version = u64::from(!pages.is_empty());
        let state = State {
            version,
            pages,
            frozen_at_ms: None,
        };
        Self {
            faults: ActiveFaults::new(settings.faults),
            current: Mutex::new(state),
            stale: Mutex::new(None),
            version: watch::Sender::new(version),
            calls: AtomicU64::new(0),
        }
    }

    /// Publishes pages by name and returns the new version.
    ///
    /// Empty content removes a page. Pages that `pages` doesn't name stay as they are, and a page
    /// whose content is unchanged keeps its publication time.
    pub fn publish(&self, pages: BTreeMap<String, String>) -> u64 {
        let mut state = lock(&self.current);
        state.version += 1;
        for (name, csv) in pages {
            if csv.is_empty() {
                state.pages.remove(&name);
                continue;
            }
            let is_unchanged = state.pages.get(&name).is_some_and(|page| page.csv == csv);
            if !is_unchanged {
                let published_ms = now_ms();
                state.pages.insert(name, Page { csv, published_ms });
            }
        }
        self.version.send_replace(state.version);
        state.version
    }

    /// Returns the current state or, under the fault `stale`, the copy that was made at the first
    /// read after the fault was set.
    fn served_state(&self) -> State {
        let mut stale = lock(&self.stale);
        if !self.faults.get().stale {
            *stale = None;
            return lock(&self.current).clone();
        }
        stale
            .get_or_insert_with(|| State {
                frozen_at_ms: Some(now_ms()),
                ..lock(&self.current).clone()
            })
            .clone()
    }

    async fn index(&self, query: &str) -> Response<Body> {
        let after = query_number(query, "after");
        let wait_ms = query_number(query, "wait_ms");
        let mut version = self.version.subscribe();
        if wait_ms > 0 {
            let newer_version = version.wait_for(|&version| version > after);
            let _ = timeout(Duration::from_millis(wait_ms), newer_version).await;
        }
        let state = self.served_state();
        let pages: Vec<Value> = state
            .pages
            .iter()
            .map(|(name, page)| {
                json!({
                    "name": name,
                    "digest": xxh3_64(page.csv.as_bytes()),
                    "published_ms": page.published_ms,
                })
            })
            .collect();
        let index = json!({
            "version": state.version,
            "as_of_ms": state.frozen_at_ms.unwrap_or_else(now_ms),
            "pages": pages,
        });
        json_response(StatusCode::OK, &index)
    }

    fn page(&self, name: &str) -> Response<Body> {
        match self.served_state().pages.get(name) {
            Some(page) => json_response(StatusCode::OK, &json!({ "csv": page.csv })),
            None => json_response(StatusCode::NOT_FOUND, &"no such page"),
        }
    }

    fn admin_publish(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(pages) => json_response(StatusCode::OK, &json!({ "version": self.publish(pages) })),
            Err(error) => json_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a number from a query, or 0 if it is missing or invalid.
fn query_number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

impl Server for ConfigStandin {
    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    async fn call(
        self: Arc<Self>,
        _method: String,
        path: String,
        request: Request<Bytes>,
    ) -> Response<Body> {
        match path.as_str() {
            "/admin/publish" => return self.admin_publish(request.body()),
            "/admin/calls" => {
                let calls = self.calls.load(Ordering::SeqCst);
                return json_response(StatusCode::OK, &json!({ "calls": calls }));
            }
            _ => {}
        }
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.faults.get().refuse {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &"down");
        }
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        match path.strip_prefix("/v1/pages/") {
            Some(name) => self.page(name),
            None if path == "/v1/index" => self.index(query).await,
            None => json_response(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}
