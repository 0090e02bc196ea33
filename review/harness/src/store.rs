//! A stand-in for the platform's store: items, watches and revisions, read-only for the system.

use {
    crate::world::World,
    base64::{Engine as _, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        convert::Infallible,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::Notify, time::timeout},
};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Value>,
    log: Vec<Value>,
}

pub struct Store {
    world: Arc<World>,
    state: Mutex<State>,
    changed: Notify,
    /// Whether the store turns away who comes by its second address.
    pub turns_away: AtomicBool,
}

const PAGE_ITEMS: usize = 500;

impl Store {
    pub async fn start(world: &Arc<World>) -> Arc<Self> {
        let store = Arc::new(Self {
            world: Arc::clone(world),
            state: Mutex::default(),
            changed: Notify::new(),
            turns_away: AtomicBool::new(false),
        });
        for (address, is_second) in [
            (world.store_address(), false),
            (world.second_store_address(), true),
        ] {
            let listener = TcpListener::bind(address).await.expect("the store listens");
            let accepting = Arc::clone(&store);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let store = Arc::clone(&accepting);
                    let service =
                        service_fn(move |request| Arc::clone(&store).handle(request, is_second));
                    tokio::spawn(
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service),
                    );
                }
            });
        }
        store
    }

    /// Writes an item; returns the time of the confirmation.
    pub fn put(&self, key: &str, value: &Value) -> Instant {
        {
            let mut state = self.state.lock().unwrap();
            state.revision += 1;
            let revision = state.revision;
            let created = state
                .items
                .get(key)
                .map_or(json!(revision), |item| item["created_rev"].clone());
            let item = json!({"key": key, "value": STANDARD.encode(value.to_string()),
                "revision": revision, "created_rev": created, "lease": 0});
            state.items.insert(key.to_owned(), item.clone());
            state.log.push(item);
        }
        self.changed.notify_waiters();
        Instant::now()
    }

    pub fn remove(&self, key: &str) {
        {
            let mut state = self.state.lock().unwrap();
            state.revision += 1;
            state.items.remove(key);
            let event = json!({"key": key, "revision": state.revision, "deleted": true});
            state.log.push(event);
        }
        self.changed.notify_waiters();
    }

    /// Announces a version of an adapter, `model/name`.
    pub fn announce(&self, adapter: &str, version: u64) {
        let (model, name) = adapter.split_once('/').unwrap();
        let value = json!({"model": model, "adapter": name, "version": version});
        let at = self.put(&format!("op/version/{model}.{name}"), &value);
        let mut versions = self.world.versions.lock().unwrap();
        versions
            .entry(adapter.to_owned())
            .or_default()
            .push((version, at));
        drop(versions);
        self.world.log(format!("announced {adapter}@{version}"));
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        is_second: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let query = parse_query(request.uri().query().unwrap_or_default());
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let (status, body) = match request.uri().path() {
            "/kv-key" => self.item(query.get("key").map_or("", String::as_str)),
            "/kv-range" => (
                200,
                self.range(&prefix, query.get("after").map(String::as_str)),
            ),
            "/kv-watch" => {
                let number = |name: &str| {
                    query
                        .get(name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0)
                };
                (
                    200,
                    self.watch(&prefix, number("after"), number("wait_ms"))
                        .await,
                )
            }
            _ => (404, json!({})),
        };
        let is_turned_away = is_second && self.turns_away.load(Ordering::Relaxed);
        let status = if is_turned_away { 503 } else { status };
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap();
        response
            .headers_mut()
            .insert("content-type", "application/json".parse().unwrap());
        response
            .headers_mut()
            .insert("store-era", "1".parse().unwrap());
        Ok(response)
    }

    fn item(&self, key: &str) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut item = item.clone();
                item["as_of"] = json!(state.revision);
                (200, item)
            }
            None => (404, json!({"as_of": state.revision})),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        let state = self.state.lock().unwrap();
        let mut items: Vec<&Value> = state
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            })
            .map(|(_, item)| item)
            .take(PAGE_ITEMS + 1)
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        json!({"items": items, "has_more": has_more, "as_of": state.revision})
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Value {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.state.lock().unwrap();
                let events: Vec<&Value> = state
                    .log
                    .iter()
                    .filter(|event| event["revision"].as_u64() > Some(after))
                    .filter(|event| {
                        event["key"]
                            .as_str()
                            .is_some_and(|key| key.starts_with(prefix))
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return json!({"events": events, "as_of": state.revision});
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let _ = timeout(left, changed).await;
        }
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
        .collect()
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (byte, code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(decoded)) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
