//! ORDER: runners of a plain service that streams are upgraded in place, one after the other.

use {
    crate::{
        Context, Random,
        client::HOST,
        fleet::Deployment,
        http::{Reader, Request, respond},
        record::Record,
        store::Store,
        two_versions::{StreamKind, stream},
    },
    std::{
        collections::BTreeSet,
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "desk";
const SERVERS: u8 = 6;
const CLIENTS: u64 = 24;
const AWAY: Duration = Duration::from_millis(700);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time after its start for which a runner is slow, as its row says.
const COLD: Duration = Duration::from_secs(15);
/// The longest time from the return of one runner to the upgrade of the next, in milliseconds.
const MAX_GAP_MS: u64 = 250;
/// The time from the upgrade of the last runner to the next version.
const BETWEEN_VERSIONS: Duration = Duration::from_secs(5);
const EVENTS: u32 = 100;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/feed/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"gap_aim_ms":300,"priority":0,"max_attempts":3,"resumable":true,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":200}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// A runner of a plain service that answers with streams.
#[derive(Clone)]
struct Server {
    name: String,
    address: SocketAddr,
    record: Record,
    store: Store,
    software: Arc<Mutex<(String, u64, Instant)>>,
    generation: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    fn start(name: &str, ip: &str, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            store: store.clone(),
            software: Arc::new(Mutex::new((
                "v1".to_owned(),
                1_700_000_000_000,
                Instant::now(),
            ))),
            generation: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        Ok(server)
    }

    /// Writes its row, which tells for how long the runner is still slow, at each heartbeat until it is not.
    fn beat(&self) {
        loop {
            thread::sleep(HEARTBEAT);
            let is_cold = self.software.lock().unwrap().2.elapsed() < COLD;
            if self.is_up.load(Ordering::SeqCst) && is_cold {
                self.write_row();
            }
        }
    }

    fn write_row(&self) {
        let (version, born, started) = self.software.lock().unwrap().clone();
        let cold = COLD.saturating_sub(started.elapsed()).as_millis();
        let row = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":{cold},\"sequence\":1,\"born\":{born}}}",
            self.address
        );
        self.store.put(&format!("servers/i-{}", self.name), &row);
    }

    fn accept(&self, mut listener: TcpListener) {
        loop {
            let generation = self.generation.load(Ordering::SeqCst);
            let _ = listener.set_nonblocking(true);
            while self.generation.load(Ordering::SeqCst) == generation {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(clone) = stream.try_clone() {
                    self.connections.lock().unwrap().push(clone);
                }
                let server = self.clone();
                thread::spawn(move || server.serve(stream, generation));
            }
            drop(listener);
            thread::sleep(AWAY);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            };
            self.software.lock().unwrap().2 = Instant::now();
            self.is_up.store(true, Ordering::SeqCst);
            self.record.line(format!("{} is back", self.name));
            self.write_row();
        }
    }

    /// Replaces the software of the runner, which is away for a moment and keeps its id.
    fn upgrade(&self, version: &str) {
        self.record
            .line(format!("{} is upgraded to {version}", self.name));
        {
            let mut software = self.software.lock().unwrap();
            software.0 = version.to_owned();
            software.1 += 60_000;
        }
        self.is_up.store(false, Ordering::SeqCst);
        self.generation.fetch_add(1, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn wait_until_up(&self) {
        while !self.is_up.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: TcpStream, generation: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            if self.generation.load(Ordering::SeqCst) != generation {
                return;
            }
            let own_id = format!("i-{}", self.name);
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let is_other = request
                .header("expect-instance")
                .is_some_and(|expected| expected != own_id);
            let answered = if is_other {
                let headers = [("Instance-Id", own_id), ("Request-Id", id)];
                respond(&mut writer, 421, &headers, "")
            } else if request.path() == "/healthz" {
                respond(&mut writer, 200, &[("Instance-Id", own_id)], "")
            } else {
                self.stream(&mut writer, &request, &id, generation)
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        id: &str,
        generation: u64,
    ) -> io::Result<()> {
        let version = self.software.lock().unwrap().0.clone();
        let first = request
            .header("last-event-id")
            .and_then(|last| last.trim().parse::<u32>().ok())
            .map_or(1, |last| last + 1);
        self.record.line(format!(
            "{} ({version}) begins {id} at event {first}",
            self.name
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in first..=EVENTS {
            if self.generation.load(Ordering::SeqCst) != generation {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {id} {number} {version}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(Duration::from_millis(30));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let store = Store::start(&format!("{}.1", context.network))?;
    store.put("op/config", &configuration());
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let ip = format!("{}.{}", context.network, 30 + number);
        let server = Server::start(&format!("desk{number}"), &ip, &store, record)?;
        server.write_row();
        servers.push(server);
    }
    let mut deployment = Deployment::new(&context.network, &store, &context.repository)?;
    let entry = deployment.start_entry(5)?;
    deployment.wait_ready(entry, record)?;
    thread::sleep(Duration::from_secs(1));
    let has_ended = Arc::new(AtomicBool::new(false));
    let versions: Arc<Mutex<Vec<BTreeSet<String>>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let has_ended = Arc::clone(&has_ended);
            let versions = Arc::clone(&versions);
            thread::spawn(move || {
                let mut number = client * 1_000;
                while !has_ended.load(Ordering::SeqCst) {
                    number += 1;
                    let of_stream = stream(number, StreamKind::Plain, entry.front, &record);
                    versions.lock().unwrap().push(of_stream);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    // The entry may spend its whole share of the retries once it is as old as their window.
    thread::sleep(Duration::from_secs(12));
    let mut random = Random::new(10);
    for version in ["v2", "v3", "v4", "v5", "v6"] {
        for server in &servers {
            let software = if context.has_trouble { version } else { "v1" };
            server.upgrade(software);
            server.wait_until_up();
            thread::sleep(Duration::from_millis(random.below(MAX_GAP_MS)));
        }
        thread::sleep(BETWEEN_VERSIONS);
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let versions = versions.lock().unwrap();
    let joined = versions
        .iter()
        .filter(|versions| versions.len() > 1)
        .count();
    let begun = versions
        .iter()
        .filter(|versions| !versions.is_empty())
        .count();
    let summary = format!("{joined} of {begun} streams hold events of two software versions");
    record.line(&summary);
    if begun < 100 {
        return Err(io::Error::other(format!("too few streams: {summary}")));
    }
    Ok((joined > 2).then(|| format!("ORDER is broken: {summary}")))
}
