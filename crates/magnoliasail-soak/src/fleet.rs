//! A fleet of real processes beside stand-ins, with a proxy on each path.

use {
    crate::{
        caller::CallKind,
        ledger::Ledger,
        proxy::Proxy,
        standin::{BackendServer, ServerKind, Store},
    },
    serde_json::{Value, json},
    std::{
        fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::Duration,
    },
    tokio::time::sleep,
};

const SERVICE_PORT: u16 = 18_100;
const CALLER_PORT: u16 = 18_200;
const READY_PORT: u16 = 18_201;
const INTERNAL_PORT: u16 = 18_300;
const METRICS_PORT: u16 = 18_301;
const STORE_PORT: u16 = 18_400;
const ENGINE_SERVICE: &str = "engines";
const PLAIN_SERVICE: &str = "desk";

/// The size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The program.
    pub binary: PathBuf,
    /// Entries.
    pub entries: u8,
    /// Model engines, each with an agent.
    pub engines: u8,
    /// Plain servers.
    pub plain_servers: u8,
    /// Where the search for a free network begins; a fleet takes 127.N.0.0/16.
    pub network: u8,
    /// Seeds the stand-ins.
    pub seed: u64,
}

/// A process of the product.
#[derive(Debug)]
struct Process {
    child: Option<Child>,
    role: &'static str,
    settings: PathBuf,
    output: PathBuf,
    binary: PathBuf,
}

/// A fleet of real processes beside stand-ins.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    directory: PathBuf,
    processes: Vec<Process>,
    /// What callers and servers saw.
    pub ledger: Ledger,
    /// The platform's store.
    pub store: Store,
    /// The servers: engines first, then plain ones.
    pub servers: Vec<BackendServer>,
    /// The paths from entries to agents, then from each process to the store.
    pub proxies: Vec<Proxy>,
    version: u64,
}

impl Process {
    fn start(&mut self) -> io::Result<()> {
        let output = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let child = Command::new(&self.binary)
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Starts a fleet and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on or a process cannot be started.
    pub async fn start(settings: FleetSettings) -> io::Result<Self> {
        let store = Store::default();
        let network = claim_network(&store, settings.network).await?;
        let settings = FleetSettings {
            network,
            ..settings
        };
        let (process, seed) = (std::process::id(), settings.seed);
        let name = format!("magnoliasail-soak-{process}-{network}-{seed}");
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut fleet = Self {
            directory,
            processes: Vec::new(),
            ledger: Ledger::default(),
            store,
            servers: Vec::new(),
            proxies: Vec::new(),
            version: 0,
            settings,
        };
        fleet.start_stand_ins().await?;
        fleet.publish_configuration(&[]);
        fleet.start_processes().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns where callers reach an entry.
    #[must_use]
    pub fn entry_address(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.entry_ip(entry), CALLER_PORT)
    }

    /// Returns the number of processes: entries first, then agents.
    #[must_use]
    pub const fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, process: usize, name: &str) {
        self.processes[process].signal(name);
    }

    /// Kills a process.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].end();
    }

    /// Starts a process again, if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self, process: usize) -> io::Result<()> {
        self.processes[process].end();
        self.processes[process].start()
    }

    /// Publishes the next version of the configuration, with further routes to the plain service.
    pub fn publish_configuration(&mut self, further: &[&str]) {
        self.version += 1;
        let mut routes: Vec<Value> = CallKind::ALL.iter().map(|&kind| route(kind)).collect();
        for prefix in further {
            let mut added = route(CallKind::Safe);
            added["path_prefix"] = json!(prefix);
            routes.push(added);
        }
        let configuration = json!({"version": self.version, "routes": routes, "services": [
            {"name": ENGINE_SERVICE, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                "tls": false, "engine": BackendServer::engine_limits()},
            {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                "tls": false}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000}});
        self.store.put("op/config", &configuration);
    }

    /// Writes a server's entry.
    pub fn publish_server(&self, server: usize) {
        let engines = usize::from(self.settings.engines);
        let service = if server < engines {
            ENGINE_SERVICE
        } else {
            PLAIN_SERVICE
        };
        let zone = format!("dc-{}", server % 2);
        let (key, value) =
            self.servers[server].store_entry(self.listed_address(server), service, &zone);
        self.store.put(&key, &value);
    }

    /// Removes a server's entry.
    pub fn remove_server(&self, server: usize) {
        let (key, _) = self.servers[server].store_entry(self.listed_address(server), "", "");
        self.store.remove(&key);
    }

    /// Returns the output of all processes.
    #[must_use]
    pub fn output(&self) -> String {
        let read = |process: &Process| fs::read_to_string(&process.output).unwrap_or_default();
        self.processes.iter().map(read).collect()
    }

    /// Returns the folder that holds the processes' output, and keeps it.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    async fn start_stand_ins(&mut self) -> io::Result<()> {
        for index in 0..self.settings.engines + self.settings.plain_servers {
            let is_engine = index < self.settings.engines;
            let kind = if is_engine {
                ServerKind::Engine
            } else {
                ServerKind::Plain
            };
            let seed = self.settings.seed * 1_000 + u64::from(index);
            let address = SocketAddr::new(self.server_ip(index), SERVICE_PORT);
            let server = BackendServer::new(kind, address, seed, self.ledger.clone());
            server.start().await?;
            if is_engine {
                // Entries reach the agent through a proxy, at the address that the list has.
                let listen = SocketAddr::new(self.front_ip(index), INTERNAL_PORT);
                let target = SocketAddr::new(self.server_ip(index), INTERNAL_PORT);
                self.proxies.push(Proxy::start(listen, target).await?);
            }
            self.servers.push(server);
            self.publish_server(usize::from(index));
        }
        Ok(())
    }

    async fn start_processes(&mut self) -> io::Result<()> {
        for entry in 0..self.settings.entries {
            let ip = self.entry_ip(entry);
            let listen = format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n");
            self.start_process("platform-entry", ip, entry, "", &listen)
                .await?;
        }
        for engine in 0..self.settings.engines {
            let ip = self.server_ip(engine);
            let own = format!("app = \"{ip}:{SERVICE_PORT}\"\nservice = \"{ENGINE_SERVICE}\"\n");
            self.start_process("platform-agent", ip, engine, &own, "")
                .await?;
        }
        Ok(())
    }

    async fn start_process(
        &mut self,
        role: &'static str,
        ip: IpAddr,
        index: u8,
        own: &str,
        listen: &str,
    ) -> io::Result<()> {
        let number = self.processes.len() as u8;
        let store = SocketAddr::new(self.ip(4, number + 1), STORE_PORT);
        self.proxies
            .push(Proxy::start(store, self.store_address()).await?);
        let text = format!(
            "node_name = \"{role}-{index}\"\nip = \"{ip}\"\nzone = \"dc-{}\"\n\
             internal_ports = [{INTERNAL_PORT}, {METRICS_PORT}]\n{own}\
             [listen]\n{listen}\
             [bounds]\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_min_retries = 50\ndrain_ms = 2000\n\
             [platform]\naddress = \"{store}\"\n",
            index % 2
        );
        let settings = self.directory.join(format!("{role}-{index}.toml"));
        fs::write(&settings, text)?;
        let mut process = Process {
            child: None,
            role,
            settings,
            output: self.directory.join(format!("{role}-{index}.log")),
            binary: self.settings.binary.clone(),
        };
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    /// Waits until every entry answers a call of each kind.
    async fn wait_until_ready(&self) -> io::Result<()> {
        const LIMIT: u32 = 400;
        const POLL: Duration = Duration::from_millis(50);
        for entry in 0..self.settings.entries {
            let mut caller = crate::Caller::new(self.entry_address(entry), self.ledger.clone());
            for (number, kind) in CallKind::ALL.into_iter().enumerate() {
                let mut tries = 0;
                loop {
                    let call = crate::Call {
                        id: format!("ready-{entry}-{number}-{tries}"),
                        kind,
                        adapter: crate::standin::adapter_name(0),
                        deadline: Duration::from_secs(2),
                    };
                    if caller.call(&call).await == crate::Outcome::Served {
                        break;
                    }
                    tries += 1;
                    if tries > LIMIT {
                        return Err(io::Error::other(format!(
                            "entry {entry} is not ready: {}",
                            self.output()
                        )));
                    }
                    sleep(POLL).await;
                }
            }
        }
        Ok(())
    }

    fn ip(&self, kind: u8, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.settings.network, kind, number).into()
    }

    fn entry_ip(&self, entry: u8) -> IpAddr {
        self.ip(1, entry + 1)
    }

    fn server_ip(&self, server: u8) -> IpAddr {
        self.ip(2, server + 1)
    }

    fn front_ip(&self, engine: u8) -> IpAddr {
        self.ip(3, engine + 1)
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(5, 1), STORE_PORT)
    }

    /// Returns the address of a server in the list: an engine is reached through its agent alone.
    fn listed_address(&self, server: usize) -> SocketAddr {
        let is_engine = server < usize::from(self.settings.engines);
        let server = server as u8;
        let ip = if is_engine {
            self.front_ip(server)
        } else {
            self.server_ip(server)
        };
        SocketAddr::new(ip, SERVICE_PORT)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.signal("CONT");
            process.end();
        }
        if self.ledger.violations().is_empty() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Serves the store on the first network that no other fleet has taken, and returns its number.
///
/// Fleets of other processes run beside this one: the store's address is the claim to a network.
async fn claim_network(store: &Store, start: u8) -> io::Result<u8> {
    const FIRST: u32 = 20;
    const NETWORKS: u32 = 200;
    let start = u32::from(start) + std::process::id();
    for offset in 0..NETWORKS {
        let network = (FIRST + (start + offset) % NETWORKS) as u8;
        let address = SocketAddr::new(Ipv4Addr::new(127, network, 5, 1).into(), STORE_PORT);
        match store.serve(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            served => return served.map(|()| network),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn route(kind: CallKind) -> Value {
    let is_stream = matches!(kind, CallKind::Stream | CallKind::ResumableStream);
    let service = if is_stream {
        ENGINE_SERVICE
    } else {
        PLAIN_SERVICE
    };
    let name = match kind {
        CallKind::Safe => "safe",
        CallKind::Unsafe => "unsafe",
        CallKind::Stream | CallKind::ResumableStream => "streaming",
    };
    let is_idempotent = matches!(kind, CallKind::Safe | CallKind::ResumableStream);
    json!({"name": kind.path_prefix(), "host": "soak.example", "path_prefix": kind.path_prefix(), "kind": name,
        "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, "service": service,
        "max_attempts": if is_idempotent { 2 } else { 1 }, "sticky": is_stream,
        "resumable": kind == CallKind::ResumableStream, "gap_aim_ms": 250})
}
