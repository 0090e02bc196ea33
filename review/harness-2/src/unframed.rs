//! MIXED: a runner is cut off, crashes behind the cut and starts again, while it writes answers without a length.

use {
    crate::{
        Context, Random,
        client::{Call, HOST, Outcome},
        fleet::{Deployment, signal},
        http::{Reader, respond},
        record::Record,
        store::Store,
    },
    std::{
        collections::HashMap,
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "desk";
const ROUNDS: u64 = 7;
const CUT: Duration = Duration::from_millis(2_500);
const CRASHES_AFTER: Duration = Duration::from_millis(200);
const AWAY: Duration = Duration::from_millis(2_000);
/// The same with `VARIANT=new-id`. What a sender repeats to a machine that is cut off, it repeats after ever
/// longer pauses, so that the end of a channel comes some time after the cut.
const SHORT_CUT: Duration = Duration::from_millis(1_700);
const SHORT_AWAY: Duration = Duration::from_millis(1_400);
const REPEATED_AFTER: Duration = Duration::from_millis(1_400);
const FREEZE: Duration = Duration::from_millis(3_000);
const PARTS: usize = 8;
const PART_BYTES: usize = 100;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/order/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"max_attempts":1,"service":"{SERVICE}"}},{{"host":"{HOST}","path_prefix":"/look/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"max_attempts":2,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":190}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns the whole answer to a request.
fn whole_answer(id: &str) -> String {
    let mut text = String::new();
    for part in 0..PARTS {
        let line = format!("{id} line {part} ");
        text.push_str(&line);
        text.push_str(&"x".repeat(PART_BYTES - line.len() - 1));
        text.push('\n');
    }
    text
}

/// What differs between the variants of the case.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The runner is cut off, and starts again under its id.
    Cut,
    /// The entry is frozen, and the runner starts again under its id.
    Freeze,
    /// The runner is cut off, and starts again under a new id.
    NewId,
}

impl Variant {
    fn of_environment() -> Self {
        match std::env::var("VARIANT").as_deref() {
            Ok("freeze") => Self::Freeze,
            Ok("new-id") => Self::NewId,
            _ => Self::Cut,
        }
    }
}

/// A runner of a plain service whose answers to print orders end with their channels.
#[derive(Clone)]
struct Server {
    name: String,
    address: SocketAddr,
    record: Record,
    variant: Variant,
    generation: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// How many bytes of each answer it has written, and whether that is all.
    written: Arc<Mutex<HashMap<String, usize>>>,
}

impl Server {
    fn start(name: &str, ip: &str, variant: Variant, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            variant,
            generation: Arc::default(),
            connections: Arc::default(),
            written: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(server)
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
            thread::sleep(match self.variant {
                Variant::NewId => SHORT_AWAY,
                _ => AWAY,
            });
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            };
            self.record
                .line(format!("{} is back as {}", self.name, self.id()));
        }
    }

    fn id(&self) -> String {
        let start = self.generation.load(Ordering::SeqCst);
        match self.variant {
            Variant::NewId => format!("i-{}-{start}", self.name),
            _ => format!("i-{}", self.name),
        }
    }

    fn crash(&self) {
        self.record.line(format!("{} crashes", self.name));
        self.generation.fetch_add(1, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn list(&self, store: &Store, address: SocketAddr) {
        let start = self.generation.load(Ordering::SeqCst);
        let row = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            1_700_000_000_000 + start
        );
        store.put(&format!("servers/{}", self.id()), &row);
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
            let own_id = self.id();
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let is_other = request
                .header("expect-instance")
                .is_some_and(|expected| expected != own_id);
            if is_other {
                let headers = [("Instance-Id", own_id), ("Request-Id", id)];
                if respond(&mut writer, 421, &headers, "").is_err() {
                    return;
                }
            } else if request.path() == "/healthz" {
                self.record
                    .line(format!("{} answers a health check", self.name));
                if respond(&mut writer, 200, &[("Instance-Id", own_id)], "").is_err() {
                    return;
                }
            } else if request.path().starts_with("/look/") {
                let headers = [
                    ("Request-Id", id.clone()),
                    ("Response-Stamp", format!("stamp-{id}")),
                ];
                if respond(&mut writer, 200, &headers, "seen").is_err() {
                    return;
                }
            } else {
                self.record.line(format!("{} runs {id}", self.name));
                let _ = self.answer(&mut writer, &id, generation);
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, id: &str, generation: u64) -> io::Result<()> {
        thread::sleep(Duration::from_millis(60));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nConnection: close\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let whole = whole_answer(id);
        for part in whole.as_bytes().chunks(PART_BYTES) {
            if self.generation.load(Ordering::SeqCst) != generation {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            writer.write_all(part)?;
            *self
                .written
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default() += part.len();
            thread::sleep(Duration::from_millis(40));
        }
        self.record
            .line(format!("{} has written all of {id}", self.name));
        Ok(())
    }
}

/// The link between the machines of the system and the runner.
#[derive(Clone)]
struct Proxy {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    variant: Variant,
    record: Record,
}

impl Proxy {
    fn start(ip: &str, server: SocketAddr, variant: Variant, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            variant,
            record: record.clone(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.relay(stream, server));
            }
        });
        Ok(proxy)
    }

    fn set_cut(&self, is_cut: bool) {
        self.record.line(if is_cut {
            "the cut begins"
        } else {
            "the cut ends"
        });
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn relay(&self, client: TcpStream, server: SocketAddr) {
        if self.is_cut.load(Ordering::SeqCst) {
            // What was opened during the cut is lost.
            self.wait_while_cut();
            return;
        }
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone())
        else {
            return;
        };
        let forward = self.clone();
        thread::spawn(move || forward.copy(client_reader, server));
        self.copy(server_reader, client);
    }

    /// Copies bytes and the end of a direction; what is on its way during a cut arrives after it.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16_384];
        let mut is_held_up = false;
        loop {
            let read = from.read(&mut chunk);
            is_held_up |= self.is_cut.load(Ordering::SeqCst);
            self.wait_while_cut();
            let is_end = matches!(read, Ok(0) | Err(_));
            if is_held_up && is_end && self.variant == Variant::NewId {
                thread::sleep(REPEATED_AFTER);
            }
            match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let variant = Variant::of_environment();
    let store = Store::start(&format!("{}.1", context.network))?;
    store.put("op/config", &configuration());
    let mut servers = Vec::new();
    for number in 1..=2_u8 {
        let ip = format!("{}.{}", context.network, 30 + number);
        let server = Server::start(&format!("desk{number}"), &ip, variant, record)?;
        let proxy_ip = format!("{}.{}", context.network, 50 + number);
        let proxy = Proxy::start(&proxy_ip, server.address, variant, record)?;
        server.list(&store, proxy.address);
        servers.push((server, proxy));
    }
    let mut deployment = Deployment::new(&context.network, &store, &context.repository)?;
    let entry = deployment.start_entry(5)?;
    deployment.wait_ready(entry, record)?;
    thread::sleep(Duration::from_secs(1));
    let has_ended = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let clients: Vec<_> = (0..18_u64)
        .map(|client| {
            let record = record.clone();
            let has_ended = Arc::clone(&has_ended);
            let outcomes = Arc::clone(&outcomes);
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut number = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{client:02x}{number:06x}");
                    let is_order = client % 3 != 0;
                    let call = Call {
                        method: if is_order { "POST" } else { "GET" },
                        path: format!("/{}/{id}", if is_order { "order" } else { "look" }),
                        headers: String::new(),
                        body: format!("order {id}"),
                        deadline: Duration::from_millis(4_000),
                        gives_up_after: None,
                        id: id.clone(),
                    };
                    let outcome = call.send(entry.front, &record);
                    if is_order {
                        outcomes.lock().unwrap().push((id, outcome));
                    }
                    thread::sleep(Duration::from_millis(100 + random.below(400)));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut random = Random::new(11);
    let entry_pid = deployment
        .pid("front-5")
        .ok_or_else(|| io::Error::other("no entry"))?;
    for round in 0..ROUNDS {
        let (server, proxy) = &servers[(round % 2) as usize];
        thread::sleep(Duration::from_millis(random.below(500)));
        if context.has_trouble && variant == Variant::Freeze {
            record.line("the entry freezes");
            signal(entry_pid, "STOP");
            thread::sleep(CRASHES_AFTER);
            server.crash();
            thread::sleep(FREEZE - CRASHES_AFTER);
            signal(entry_pid, "CONT");
            record.line("the entry goes on");
            thread::sleep(Duration::from_millis(300));
            server.list(&store, proxy.address);
        } else if context.has_trouble {
            let cut = match variant {
                Variant::NewId => SHORT_CUT,
                _ => CUT,
            };
            let old_id = server.id();
            proxy.set_cut(true);
            thread::sleep(CRASHES_AFTER);
            server.crash();
            thread::sleep(cut - CRASHES_AFTER);
            proxy.set_cut(false);
            thread::sleep(Duration::from_millis(300));
            server.list(&store, proxy.address);
            if variant == Variant::NewId {
                // The row of a runner that sends no heartbeats is removed.
                thread::sleep(Duration::from_millis(1_600));
                store.remove(&format!("servers/{old_id}"));
            }
        }
        thread::sleep(Duration::from_secs(9));
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut truncated = 0;
    let mut served = 0;
    for (id, outcome) in outcomes.lock().unwrap().iter() {
        let Outcome::Answer {
            status: 200, body, ..
        } = outcome
        else {
            continue;
        };
        if *body == whole_answer(id) {
            served += 1;
            continue;
        }
        truncated += 1;
        record.line(format!(
            "RULE BROKEN: the client of {id} got status 200 with {} of {} bytes, as if that were all",
            body.len(),
            PARTS * PART_BYTES
        ));
    }
    let summary = format!(
        "{truncated} answers that had ended early were passed on as complete; {served} whole answers"
    );
    record.line(&summary);
    if served < 100 {
        return Err(io::Error::other(format!("too few requests: {summary}")));
    }
    Ok((truncated > 0).then(|| format!("MIXED is broken: {summary}")))
}
