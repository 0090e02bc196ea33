//! A small deployment on loopback addresses: the project's programs as processes, and the store.

use crate::{runner::RunnerSettings, store::Store};
use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The text of `record.txt`, with the time of each line.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed();
        self.lines
            .lock()
            .unwrap()
            .push((at, text.as_ref().to_owned()));
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text.push_str(&format!("{:8.3} s  {line}\n", at.as_secs_f64()));
        }
        let _ = fs::write(path, text);
    }
}

/// A process of the project; it is killed when this is dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\" 2>/dev/null", name, &id])
            .status();
    }

    /// Returns the resident memory of the process, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// What the settings of all processes say.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    network: u8,
    ports: [u16; 6],
    folder: PathBuf,
    binary: PathBuf,
    /// The folder of the case.
    pub case: PathBuf,
    bounds: &'static str,
    /// Whether the whole system starts for the first time.
    is_first_start: std::cell::Cell<bool>,
}

/// The kinds of machines, as the third byte of an address.
const FRONT: u8 = 1;
const SIDE: u8 = 2;
const DESK: u8 = 3;
const STORE: u8 = 4;

impl Fleet {
    /// Takes a loopback network and free ports, and starts the store.
    pub fn new(case: &Path, bounds: &'static str) -> Result<Self, String> {
        let binary = PathBuf::from("target/release/magnoliasail");
        if !binary.exists() {
            return Err("target/release/magnoliasail is missing; build it first".to_owned());
        }
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        let seed = std::process::id();
        for attempt in 0..100 {
            let network = 10 + ((seed + attempt * 7) % 200) as u8;
            let base = 20_000 + ((seed + attempt * 131) % 1_000) as u16 * 10;
            let ports = [base, base + 1, base + 2, base + 3, base + 4, base + 5];
            let fleet = Self {
                record: Record::new(),
                store: Store::default(),
                store_address: address(network, STORE, 1, base + 5),
                network,
                ports,
                folder: folder.clone(),
                binary: binary.clone(),
                case: case.to_owned(),
                bounds,
                is_first_start: std::cell::Cell::new(true),
            };
            if fleet.are_ports_free() && fleet.store.serve(fleet.store_address).is_ok() {
                fs::create_dir_all(&fleet.folder).map_err(|error| error.to_string())?;
                return Ok(fleet);
            }
        }
        Err("no free ports".to_owned())
    }

    /// Records that processes which start from now on are not those of the first start.
    pub fn end_first_start(&self) {
        self.is_first_start.set(false);
    }

    fn are_ports_free(&self) -> bool {
        [FRONT, SIDE, DESK, STORE].into_iter().all(|kind| {
            self.ports.iter().all(|&port| {
                TcpListener::bind(address(self.network, kind, 1, port)).is_ok()
                    && TcpListener::bind(address(self.network, kind, 2, port)).is_ok()
            })
        })
    }

    /// Returns a record that is not written, for runners that say much.
    pub fn quiet_record(&self) -> Record {
        Record::new()
    }

    /// The address on which an entry serves clients.
    pub fn front(&self, number: u8) -> SocketAddr {
        address(self.network, FRONT, number, self.ports[0])
    }

    /// The address of the model runner of a side machine.
    pub fn app(&self, number: u8) -> SocketAddr {
        address(self.network, SIDE, number, self.ports[0])
    }

    /// The address of a runner without a model.
    pub fn desk(&self, number: u8) -> SocketAddr {
        address(self.network, DESK, number, self.ports[0])
    }

    /// Starts an entry, as the deploy file does.
    pub fn start_entry(&self, number: u8) -> Result<Process, String> {
        let ip = address(self.network, FRONT, number, 0).ip();
        let listen = format!(
            "[listen]\nfront = \"{}\"\nready = \"{ip}:{}\"\n",
            self.front(number),
            self.ports[1]
        );
        let name = format!("front-zone-a-{number}");
        let settings = self.settings(&name, "front", ip, "", &listen, self.store_address);
        self.start("platform-entry", &name, &settings)
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, number: u8, limit: Duration) -> bool {
        let ready = address(self.network, FRONT, number, self.ports[1]);
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            if crate::http::ask(ready, request, Duration::from_secs(1)).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Starts the agent of a side machine with the given name. `store` is where it reaches the store.
    pub fn start_agent(
        &self,
        number: u8,
        name: &str,
        service: &str,
        store: SocketAddr,
    ) -> Result<Process, String> {
        let ip = address(self.network, SIDE, number, 0).ip();
        let app = format!("app = \"{}\"\nservice = \"{service}\"\n", self.app(number));
        let settings = self.settings(name, "side", ip, &app, "[listen]\n", store);
        self.start("platform-agent", name, &settings)
    }

    fn settings(
        &self,
        name: &str,
        class: &str,
        ip: IpAddr,
        more: &str,
        listen: &str,
        store: SocketAddr,
    ) -> String {
        let (first, last) = (self.ports[2], self.ports[3]);
        let bounds = self.bounds;
        let bootstrap = self.is_first_start.get();
        let serves = if class == "front" { "front" } else { "side" };
        format!(
            r#"node_name = "{name}"
role = "{name}"
machine_class = "{class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "zone-a"
region = "region"
internal_ports = [{first}, {last}]
seeds = []
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
{more}
[zones]
zone-a = "region"

{listen}
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 2
zones = 0
regions = 0

[bounds]
{bounds}
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        )
    }

    fn start(&self, role: &str, name: &str, settings: &str) -> Result<Process, String> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .mode(0o644)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&self.binary)
            .arg(role)
            .env_clear()
            .env("MAGNOLIASAIL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.line(format!("process {name} ({role}) starts"));
        Ok(Process {
            child,
            name: name.to_owned(),
        })
    }

    /// Returns the last lines that a process logged and that contain one of `words`.
    pub fn log_lines(&self, name: &str, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }

    /// Writes the row of a runner.
    pub fn list(&self, runner: &RunnerSettings, service: &str, state: &str) {
        let (id, at, born, slots) = (&runner.id, runner.address, runner.born, runner.slots);
        let software = &runner.software;
        let quoted: Vec<String> = runner
            .adapters
            .iter()
            .map(|name| format!("\"{name}\""))
            .collect();
        let models = if runner.is_engine {
            format!(
                r#"[{{"name":"m0","version":1,"adapters":[{}]}}]"#,
                quoted.join(",")
            )
        } else {
            "[]".to_owned()
        };
        let row = format!(
            r#"{{"service":"{service}","address":"{at}","zone":"zone-a","version":"{software}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born},"models":{models}}}"#
        );
        self.store.put(&format!("servers/{id}"), &row);
    }

    /// Ends all processes and the script.
    pub fn finish(self, processes: Vec<Process>, code: i32) -> ! {
        drop(processes);
        drop(self);
        std::process::exit(code)
    }
}

impl Drop for Fleet {
    /// Writes `record.txt` and removes the temporary folder.
    fn drop(&mut self) {
        self.record.write(&self.case.join("record.txt"));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(network: u8, kind: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, kind, number)), port)
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
