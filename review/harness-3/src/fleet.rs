//! The processes of a small deployment on loopback addresses, their settings and the record of a case.

use crate::link::Path;
use crate::store::Store;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::sleep;

pub const FRONT_PORT: u16 = 18_200;
pub const READY_PORT: u16 = 18_201;
pub const SERVER_PORT: u16 = 18_100;
const INTERNAL_PORT: u16 = 18_300;
const METRICS_PORT: u16 = 18_301;
const STORE_PORT: u16 = 18_400;

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// An entry or an agent.
pub struct Node {
    child: Option<Child>,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    /// Starts the process again, as a platform does whose system has started before.
    pub fn restart(&mut self) {
        self.kill();
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false")).unwrap();
        self.start();
    }

    fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).unwrap();
        // The command of deploy/system.toml, in the repository's root.
        let child = Command::new("target/release/magnoliasail")
            .arg(self.role)
            .env("MAGNOLIASAIL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        println!("pid {}", child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Fleet {
    pub network: u8,
    pub store: Store,
    pub record: Record,
    pub nodes: Vec<Node>,
    /// The bytes per second of the links between the entries and the store, if they are limited.
    pub store_link: Option<f64>,
    directory: PathBuf,
}

impl Fleet {
    /// Opens the record and serves the store on the first free network 127.N.0.0/16.
    pub async fn new(case: &str, record: &str) -> Self {
        let file = fs::File::create(record).expect("the record can be written");
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        };
        let store = Store::default();
        let first = std::process::id() % 200;
        let mut network = 0;
        for offset in 0..200 {
            let number = (20 + (first + offset) % 200) as u8;
            let address = SocketAddr::from((Ipv4Addr::new(127, number, 5, 1), STORE_PORT));
            if store.serve(address).await.is_ok() {
                network = number;
                break;
            }
        }
        assert!(network > 0, "no free loopback network");
        let directory = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        Self {
            network,
            store,
            record,
            nodes: Vec::new(),
            store_link: None,
            directory,
        }
    }

    pub fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, kind, number)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        (self.ip(1, entry), FRONT_PORT).into()
    }

    /// The address of server `number`; that of an engine is on the IP of its agent.
    pub fn server(&self, number: u8) -> SocketAddr {
        (self.ip(2, number), SERVER_PORT).into()
    }

    pub fn start_entry(&mut self, number: u8, is_first_start: bool) -> usize {
        let ip = self.ip(1, number);
        let listen = format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n");
        self.start(format!("front-{number}"), "platform-entry", "front", ip, "", &listen, is_first_start)
    }

    /// Starts the link between an entry and the store, before the entry.
    pub async fn start_store_link(&self, entry: u8, bytes_per_s: f64) -> std::io::Result<()> {
        let listen = (self.ip(6, entry), STORE_PORT).into();
        Path::start_limited(listen, (self.ip(5, 1), STORE_PORT).into(), bytes_per_s).await
    }

    pub fn start_agent(&mut self, number: u8, service: &str) -> usize {
        let ip = self.ip(2, number);
        let app = format!("app = \"{}\"\nservice = \"{service}\"\n", self.server(number));
        self.start(format!("side-{number}"), "platform-agent", "side", ip, &app, "", true)
    }

    fn start(
        &mut self,
        name: String,
        role: &'static str,
        class: &str,
        ip: Ipv4Addr,
        app: &str,
        listen: &str,
        is_first_start: bool,
    ) -> usize {
        let store = match self.store_link {
            Some(_) if class == "front" => Ipv4Addr::new(127, self.network, 6, ip.octets()[3]),
            _ => self.ip(5, 1),
        };
        let memory_mb = if class == "front" { 260 } else { 192 };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nip = \"{ip}\"\n\
             serves = [\"{class}\"]\nzone = \"zone-a\"\nregion = \"region\"\n\
             internal_ports = [{INTERNAL_PORT}, {METRICS_PORT}]\nseeds = []\n\
             bootstrap = {is_first_start}\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n{app}\
             [listen]\n{listen}\
             [limits]\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nmax_skew_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_min_retries = 58\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nrequire_fencing = true\n\
             lease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\nceiling_overshoot = 1.1\nversion_ms = 5000\n\
             [platform]\naddress = \"{store}:{STORE_PORT}\"\nform = \"read\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
        );
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("{name}.log"));
        let mut node = Node {
            child: None,
            role,
            settings,
            log,
        };
        node.start();
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Returns whether the entry answers its readiness check with 200.
    pub async fn is_ready(&self, entry: u8) -> bool {
        let address = SocketAddr::from((self.ip(1, entry), READY_PORT));
        let Ok(stream) = TcpStream::connect(address).await else {
            return false;
        };
        let mut connection = crate::http::Connection::new(stream);
        connection.call("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").await.status == 200
    }

    /// Waits until the entry says that it is ready.
    pub async fn wait_ready(&self, entry: u8) -> bool {
        for _ in 0..200 {
            if self.is_ready(entry).await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.signal("-CONT");
            node.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        } else {
            println!("logs {}", self.directory.display());
        }
    }
}

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
