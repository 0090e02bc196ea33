//! A stand-in for the platform's store: ranges and watches.

use crate::http::Connection;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    events: Vec<Event>,
    /// The newest revision whose change is not kept any more.
    discarded: u64,
    era: u64,
}

struct Event {
    revision: u64,
    key: String,
    content: Value,
    written: Instant,
}

/// `history_s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move { store.connection(Connection::new(stream)).await });
            }
        });
        Ok(())
    }

    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let (revision, text) = (state.revision, STANDARD.encode(value.to_string()));
        let created = state.items.get(key).map_or(revision, |&(_, _, created)| created);
        state.items.insert(key.to_owned(), (text, revision, created));
        let content = item(key, &state.items[key]);
        state.events.push(Event {
            revision,
            key: key.to_owned(),
            content,
            written: Instant::now(),
        });
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            let content = json!({"key": key, "revision": revision, "deleted": true});
            state.events.push(Event {
                revision,
                key: key.to_owned(),
                content,
                written: Instant::now(),
            });
        }
    }

    /// Forgets the history sooner than after `history_s`.
    pub fn forget_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.discarded = state.revision;
        state.events.clear();
    }

    async fn connection(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head().await {
            let target = head.start.split(' ').nth(1).unwrap_or("/").to_owned();
            let query: BTreeMap<String, String> = target
                .split_once('?')
                .map_or("", |(_, query)| query)
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), value.replace("%40", "@")))
                .collect();
            let prefix = query.get("path_prefix").cloned().unwrap_or_default();
            let after = query.get("after").cloned();
            let (status, body) = match head.path() {
                "/kv-range" => (200, self.range(&prefix, after.as_deref())),
                "/kv-watch" => {
                    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
                    let wait_ms = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    match self.watch(&prefix, after, Duration::from_millis(wait_ms)).await {
                        Some(changes) => (200, changes),
                        None => (410, json!({})),
                    }
                }
                _ => (404, json!({})),
            };
            let era = self.state.lock().unwrap().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if connection.answer(status, &headers, &body.to_string()).await.is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        const PAGE: usize = 500;
        let state = self.state.lock().unwrap();
        let mut items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after))
            .take(PAGE + 1)
            .map(|(key, stored)| item(key, stored))
            .collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        json!({"items": items, "has_more": has_more, "as_of": state.revision})
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Value> {
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let old = state.events.iter().take_while(|event| event.written.elapsed() > HISTORY).count();
                if let Some(last) = state.events.drain(..old).last() {
                    state.discarded = last.revision;
                }
                if after < state.discarded || after > state.revision {
                    return None;
                }
                let events: Vec<&Value> = state
                    .events
                    .iter()
                    .filter(|event| event.revision > after && event.key.starts_with(prefix))
                    .map(|event| &event.content)
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return Some(json!({"events": events, "as_of": state.revision}));
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

fn item(key: &str, (value, revision, created): &(String, u64, u64)) -> Value {
    json!({"key": key, "value": value, "revision": revision, "created_rev": created, "lease": 0})
}
