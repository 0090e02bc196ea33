//! A stand-in for the platform's store: a linearizable key-value store with ranges and watches.

use crate::http::{self, Message};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    /// Watches from a revision before this one get 410.
    compacted: u64,
}

/// The store. Clones share the same keys.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Serves the store on `address` until the process exits.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_channel(stream));
            }
        });
        Ok(())
    }

    /// Writes a key. The write is confirmed when this returns.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    /// Removes a key. The removal is confirmed when this returns.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Drops the history of the changes so far. Waiting watches from before get 410.
    pub fn compact(&self) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.compacted = content.revision;
        content.history.clear();
        changed.notify_all();
    }

    fn write(&self, key: &str, value: Option<String>) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let change = Change {
            key: key.to_owned(),
            value,
            revision: content.revision,
        };
        if change.value.is_some() {
            content.items.insert(key.to_owned(), change.clone());
        } else {
            content.items.remove(key);
        }
        content.history.push(change);
        changed.notify_all();
    }

    fn serve_channel(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer, |_| {}) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match request.target().split('?').next() {
                Some("/kv-range") => ("200 OK", self.range(&request)),
                Some("/kv-watch") => match self.watch(&request) {
                    Some(body) => ("200 OK", Some(body)),
                    None => ("410 Gone", Some("{}".to_owned())),
                },
                _ => ("404 Not Found", None),
            };
            let body = body.unwrap_or_else(|| "{}".to_owned());
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, request: &Message) -> Option<String> {
        let prefix = request.query("path_prefix")?;
        let after = request.query("after").unwrap_or_default();
        let content = self.shared.0.lock().unwrap();
        let items: Vec<String> = content
            .items
            .values()
            .filter(|item| item.key.starts_with(&prefix) && item.key > after)
            .map(item_json)
            .collect();
        let revision = content.revision;
        Some(format!(
            r#"{{"items":[{}],"has_more":false,"as_of":{revision}}}"#,
            items.join(",")
        ))
    }

    fn watch(&self, request: &Message) -> Option<String> {
        let prefix = request.query("path_prefix")?;
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait_ms: u64 = request.query("wait_ms")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            if after < content.compacted {
                return None;
            }
            let events: Vec<String> = content
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(item_json)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = content.revision;
                return Some(format!(
                    r#"{{"events":[{}],"as_of":{revision}}}"#,
                    events.join(",")
                ));
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn item_json(change: &Change) -> String {
    let Change {
        key,
        value,
        revision,
    } = change;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created_rev":{revision},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = u32::from(group[0]) << 16;
        bits |= u32::from(*group.get(1).unwrap_or(&0)) << 8;
        bits |= u32::from(*group.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
