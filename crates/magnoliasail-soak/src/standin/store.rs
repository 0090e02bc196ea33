//! A stand-in of the platform's store: ranges, watches, and trouble.

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

const PAGE_ITEMS: usize = 5;
const WATCH_POLL: Duration = Duration::from_millis(10);

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It answers 503.
    Unavailable,
    /// It answers late.
    Slow {
        /// The delay, in milliseconds.
        delay_ms: u64,
    },
    /// It takes calls and never answers.
    Unresponsive,
}

#[derive(Debug)]
struct Item {
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct Keys {
    mode: StoreMode,
    revision: u64,
    compacted: u64,
    items: BTreeMap<String, Item>,
}

/// A stand-in of the platform's store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    keys: Arc<Mutex<Keys>>,
}

impl Store {
    /// Serves the store on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                let service = service_fn(move |request| store.clone().answer(request));
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

    /// Changes how calls are treated.
    pub fn set_mode(&self, mode: StoreMode) {
        self.with(|keys| keys.mode = mode);
    }

    /// Forgets the history of changes.
    pub fn compact(&self) {
        self.with(|keys| keys.compacted = keys.revision);
    }

    fn with<T>(&self, act: impl FnOnce(&mut Keys) -> T) -> T {
        act(&mut self.keys.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn write(&self, key: &str, value: Option<String>) {
        self.with(|keys| {
            keys.revision += 1;
            let item = Item {
                value,
                revision: keys.revision,
            };
            keys.items.insert(key.to_owned(), item);
        });
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        match self.with(|keys| keys.mode) {
            StoreMode::Up => {}
            StoreMode::Unavailable => {
                return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreMode::Slow { delay_ms } => sleep(Duration::from_millis(delay_ms)).await,
            StoreMode::Unresponsive => std::future::pending().await,
        }
        let query = query(request.uri().query().unwrap_or_default());
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned();
        match request.uri().path() {
            "/kv-range" => Ok(reply(
                StatusCode::OK,
                &self.range(&prefix, after.as_deref()),
            )),
            "/kv-watch" => {
                let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait_ms = query.get("wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                Ok(self.watch(&prefix, after, wait).await)
            }
            _ => Ok(reply(StatusCode::NOT_FOUND, &Value::Null)),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        self.with(|keys| {
            let mut found: Vec<Value> = keys
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.value.is_some())
                .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
                .map(|(key, item)| event(key, item))
                .take(PAGE_ITEMS + 1)
                .collect();
            let has_more = found.len() > PAGE_ITEMS;
            found.truncate(PAGE_ITEMS);
            json!({"items": found, "has_more": has_more, "as_of": keys.revision})
        })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<Full<Bytes>> {
        let end = Instant::now() + wait;
        loop {
            let (events, revision, is_compacted) = self.with(|keys| {
                let mut changed: Vec<(&String, &Item)> = keys
                    .items
                    .iter()
                    .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                    .collect();
                changed.sort_by_key(|(_, item)| item.revision);
                let events: Vec<Value> =
                    changed.iter().map(|(key, item)| event(key, item)).collect();
                (events, keys.revision, after < keys.compacted)
            });
            if is_compacted {
                return reply(StatusCode::GONE, &Value::Null);
            }
            if !events.is_empty() || Instant::now() >= end {
                return reply(
                    StatusCode::OK,
                    &json!({"events": events, "as_of": revision}),
                );
            }
            sleep(WATCH_POLL).await;
        }
    }
}

fn event(key: &str, item: &Item) -> Value {
    match &item.value {
        Some(value) => {
            json!({"key": key, "value": STANDARD.encode(value), "revision": item.revision,
            "created_rev": 1, "lease": 0})
        }
        None => json!({"key": key, "revision": item.revision, "deleted": true}),
    }
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
