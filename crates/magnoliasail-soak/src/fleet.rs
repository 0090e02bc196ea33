//! A fleet of real processes and stand-ins on loopback addresses, with a proxy on each path.
//!
//! A fleet takes one network, 127.N.0.0/16. Its third byte is the kind of the address:
//!
//! - 1: entries
//! - 2: backend servers and their agents
//! - 3: proxies in front of the agents
//! - 4: proxies in front of the store, one for each process
//! - 5: the store

use {
    crate::{
        caller::CallKind,
        client_account::ClientAccount,
        ledger::Ledger,
        proxy::Proxy,
        standin::{BackendServer, Listing, MODEL, ServerKind, Store},
        version_runs::VERSION_BOUND,
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
const DEFAULT_ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const ENGINE_SERVICE: &str = "engines";
/// The service of the plain servers, until a test moves them to another one.
const PLAIN_SERVICE: &str = "desk";

/// Time for a change of the server list or of the configuration to apply.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(2_500);

/// The window of the retry budget in the settings of the fleet's processes. A younger entry may spend fewer
/// retries.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Path of the `magnoliasail` binary.
    pub binary: PathBuf,
    /// Number of entries.
    pub entries: u8,
    /// Number of model engines, each of which has an agent.
    pub engines: u8,
    /// Number of software versions among the engines, which take them in turn.
    pub software_versions: u8,
    /// Number of plain servers.
    pub plain_servers: u8,
    /// Start of the search for a free network. The id of the current process is added to it.
    pub network: u8,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// The client accounts of the first configuration.
    pub accounts: Vec<ClientAccount>,
    /// The time for which the store keeps the history of its changes.
    pub store_history: Duration,
}

/// An entry or an agent.
#[derive(Debug)]
struct Process {
    child: Option<Child>,
    /// The subcommand that starts the process.
    role: &'static str,
    settings_path: PathBuf,
    /// File to which standard output and standard error are appended.
    output_path: PathBuf,
    binary: PathBuf,
}

/// A fleet of real processes and stand-ins. Dropping it kills the processes.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    directory: PathBuf,
    processes: Vec<Process>,
    /// Records of what callers and servers observed.
    pub ledger: Ledger,
    /// The stand-in for the platform's store.
    pub store: Store,
    /// The stand-ins for backend servers: engines first, then plain servers.
    pub servers: Vec<BackendServer>,
    /// The proxies in front of the agents, then those between each process and the store.
    pub proxies: Vec<Proxy>,
    configuration_version: u64,
    route_timeout: Duration,
    /// The service of the plain servers and of the routes to them.
    plain_service: String,
    accounts: Vec<ClientAccount>,
    configuration: Value,
}

impl Process {
    fn start(&mut self) -> io::Result<()> {
        let output = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.output_path)?;
        let child = Command::new(&self.binary)
            .args([self.role, "--settings"])
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Changes the settings to those of a process that does not start with the whole system.
    fn end_bootstrap(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings_path)?;
        fs::write(&self.settings_path, text.replace("bootstrap = true\n", ""))
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Starts a fleet and waits until every entry has served a call of each kind.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, a process cannot be started, or an entry
    /// does not become ready.
    pub async fn start(settings: FleetSettings) -> io::Result<Self> {
        let store = Store::default();
        store.set_history(settings.store_history);
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
            configuration_version: 0,
            route_timeout: DEFAULT_ROUTE_TIMEOUT,
            plain_service: PLAIN_SERVICE.to_owned(),
            accounts: settings.accounts.clone(),
            configuration: Value::Null,
            settings,
        };
        fleet.start_stand_ins().await?;
        fleet.publish_configuration(&[]);
        fleet.start_processes().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the address at which callers reach an entry.
    #[must_use]
    pub fn entry_address(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.entry_ip(entry), CALLER_PORT)
    }

    /// Returns the seed of the stand-ins.
    #[must_use]
    pub const fn seed(&self) -> u64 {
        self.settings.seed
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn entry_count(&self) -> u8 {
        self.settings.entries
    }

    /// Returns the address at which entries reach the agent of an engine, without a proxy.
    #[must_use]
    pub fn agent_address(&self, engine: u8) -> SocketAddr {
        SocketAddr::new(self.server_ip(engine), INTERNAL_PORT)
    }

    /// Returns the number of processes. Entries have the first indices, agents the next.
    #[must_use]
    pub const fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Sends a signal to a process. `name` is the signal's name for `kill`, such as `TERM`.
    pub fn signal(&self, process: usize, name: &str) {
        self.forget_statements();
        self.processes[process].signal(name);
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, process: usize) {
        self.forget_statements();
        self.processes[process].kill();
    }

    /// Returns whether a process is not running.
    pub fn has_exited(&mut self, process: usize) -> bool {
        self.processes[process].has_exited()
    }

    /// Starts a process again. Kills it first if it still runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self, process: usize) -> io::Result<()> {
        self.processes[process].kill();
        self.forget_statements();
        self.processes[process].end_bootstrap()?;
        self.processes[process].start()
    }

    /// Publishes a configuration in which all routes have this timeout.
    pub fn publish_route_timeout(&mut self, timeout: Duration) {
        self.route_timeout = timeout;
        self.publish_configuration(&[]);
    }

    /// Publishes a configuration with these client accounts.
    pub fn publish_accounts(&mut self, accounts: &[ClientAccount]) {
        self.accounts = accounts.to_vec();
        self.publish_configuration(&[]);
    }

    /// Moves the plain servers, and all routes to them, to another service.
    pub fn move_plain_servers(&mut self, service: &str) {
        service.clone_into(&mut self.plain_service);
        self.publish_configuration(&[]);
        self.publish_all();
    }

    /// Makes the servers forget what they have told VMs, since a process that was restarted has
    /// forgotten it too, and one that was paused may act late.
    fn forget_statements(&self) {
        for server in &self.servers {
            server.forget_statements();
        }
    }

    /// Publishes the next version of the configuration, with one route to the plain service for
    /// each of `added_prefixes`.
    pub fn publish_configuration(&mut self, added_prefixes: &[&str]) {
        self.configuration_version += 1;
        let mut routes: Vec<Value> = CallKind::ALL.iter().map(|&kind| self.route(kind)).collect();
        for prefix in added_prefixes {
            let mut added = self.route(CallKind::Safe);
            added["path_prefix"] = json!(prefix);
            routes.push(added);
        }
        let configuration = json!({"version": self.configuration_version, "routes": routes,
            "services": [
            {"name": ENGINE_SERVICE, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                "tls": false, "engine": BackendServer::engine_limits()},
            {"name": self.plain_service, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                "tls": false}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000}});
        let mut configuration = configuration;
        if !self.accounts.is_empty() {
            let rows: Vec<Value> = self.accounts.iter().map(ClientAccount::row).collect();
            configuration["tenants"] = json!(rows);
        }
        self.store.put("op/config", &configuration);
        self.configuration = configuration;
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        usize::from(self.settings.engines)
    }

    /// Returns the index of the process that is the agent of an engine.
    #[must_use]
    pub fn agent_process(&self, engine: usize) -> usize {
        usize::from(self.settings.entries) + engine
    }

    /// Returns the proxies between each process and the store.
    #[must_use]
    pub fn store_proxies(&self) -> &[Proxy] {
        &self.proxies[self.engine_count()..]
    }

    /// Announces a version of an adapter.
    pub fn announce_version(&self, adapter: &str, version: u64) {
        let key = format!("op/version/{MODEL}.{adapter}");
        let row = json!({"model": MODEL, "adapter": adapter, "version": version});
        self.store.put(&key, &row);
        self.ledger.record_announced_version(adapter, version);
    }

    /// Writes the current configuration and the entries of all servers to the store again.
    pub fn publish_all(&self) {
        self.store.put("op/config", &self.configuration);
        for server in 0..self.servers.len() {
            self.publish_server(server);
        }
    }

    /// Writes a server's entry to the store.
    pub fn publish_server(&self, server: usize) {
        let engines = usize::from(self.settings.engines);
        let service = if server < engines {
            ENGINE_SERVICE
        } else {
            &self.plain_service
        };
        self.servers[server].set_listing(Some(Listing {
            store: self.store.clone(),
            address: self.listed_address(server),
            service: service.to_owned(),
            data_centre: format!("dc-{}", server % 2),
        }));
    }

    /// Removes a server's entry from the store.
    pub fn remove_server(&self, server: usize) {
        self.servers[server].set_listing(None);
        let (key, _) = self.servers[server].store_entry(self.listed_address(server), "", "");
        self.store.remove(&key);
    }

    /// Returns the output of all processes so far.
    #[must_use]
    pub fn output(&self) -> String {
        let read = |process: &Process| fs::read_to_string(&process.output_path).unwrap_or_default();
        self.processes.iter().map(read).collect()
    }

    /// Returns the directory that holds the settings and the output of the processes. Dropping the
    /// fleet removes it, unless a guarantee was violated.
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
            let version = index % self.settings.software_versions.max(1) + 1;
            if is_engine {
                server.set_software_version(&format!("v{version}"));
            }
            server.set_single_vm(is_engine || self.settings.entries == 1);
            server.start().await?;
            if is_engine {
                // Entries reach the agent through a proxy, at the address that the store lists.
                let listen = SocketAddr::new(self.agent_proxy_ip(index), INTERNAL_PORT);
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
            let listen_settings =
                format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n");
            self.start_process("platform-entry", ip, entry, "", &listen_settings)
                .await?;
        }
        for engine in 0..self.settings.engines {
            let ip = self.server_ip(engine);
            let role_settings =
                format!("app = \"{ip}:{SERVICE_PORT}\"\nservice = \"{ENGINE_SERVICE}\"\n");
            self.start_process("platform-agent", ip, engine, &role_settings, "")
                .await?;
        }
        Ok(())
    }

    async fn start_process(
        &mut self,
        role: &'static str,
        ip: IpAddr,
        index: u8,
        role_settings: &str,
        listen_settings: &str,
    ) -> io::Result<()> {
        let number = self.processes.len() as u8;
        let store = SocketAddr::new(self.ip(4, number + 1), STORE_PORT);
        self.proxies
            .push(Proxy::start(store, self.store_address()).await?);
        let text = format!(
            "bootstrap = true\nnode_name = \"{role}-{index}\"\nip = \"{ip}\"\nzone = \"dc-{}\"\n\
             internal_ports = [{INTERNAL_PORT}, {METRICS_PORT}]\n{role_settings}\
             [listen]\n{listen_settings}\
             [bounds]\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_min_retries = 50\ndrain_ms = 2000\nversion_ms = {}\n\
             [platform]\naddress = \"{store}\"\nhistory_s = {}\n",
            index % 2,
            VERSION_BOUND.as_millis(),
            self.settings.store_history.as_secs_f64()
        );
        let settings_path = self.directory.join(format!("{role}-{index}.toml"));
        fs::write(&settings_path, text)?;
        let mut process = Process {
            child: None,
            role,
            settings_path,
            output_path: self.directory.join(format!("{role}-{index}.log")),
            binary: self.settings.binary.clone(),
        };
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    /// Waits until every entry has served a call of each kind.
    async fn wait_until_ready(&self) -> io::Result<()> {
        const MAX_TRIES: u32 = 400;
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
                        key: self.accounts.first().and_then(ClientAccount::first_key),
                        ..crate::Call::default()
                    };
                    if caller.call(&call).await == crate::Outcome::Served {
                        break;
                    }
                    tries += 1;
                    if tries > MAX_TRIES {
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

    fn route(&self, kind: CallKind) -> Value {
        let is_stream = matches!(kind, CallKind::Stream | CallKind::ResumableStream);
        let service = if is_stream {
            ENGINE_SERVICE
        } else {
            &self.plain_service
        };
        let name = match kind {
            CallKind::Safe => "safe",
            CallKind::Unsafe => "unsafe",
            CallKind::Stream | CallKind::ResumableStream => "streaming",
        };
        let is_idempotent = matches!(kind, CallKind::Safe | CallKind::ResumableStream);
        // A caller resumes a stream once, with as much time as it had at first.
        let attempts = 1 + u32::from(kind == CallKind::ResumableStream);
        let timeout = self.route_timeout * attempts;
        json!({"name": kind.path_prefix(), "host": "soak.example", "path_prefix": kind.path_prefix(), "kind": name,
            "timeout_ms": timeout.as_millis() as u64, "target_latency_ms": 500, "priority": 1, "service": service,
            "max_attempts": if is_idempotent { 2 } else { 1 }, "sticky": is_stream,
            "resumable": kind == CallKind::ResumableStream, "gap_aim_ms": 250})
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

    fn agent_proxy_ip(&self, engine: u8) -> IpAddr {
        self.ip(3, engine + 1)
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(5, 1), STORE_PORT)
    }

    /// Returns the address of a server in its store entry. An engine is listed at the proxy in
    /// front of its agent.
    fn listed_address(&self, server: usize) -> SocketAddr {
        let is_engine = server < usize::from(self.settings.engines);
        let server = server as u8;
        let ip = if is_engine {
            self.agent_proxy_ip(server)
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
            process.kill();
        }
        if self.ledger.violations().is_empty() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Serves the store on the first network that no other fleet uses, and returns that network.
///
/// Fleets of other processes may run on the same machine: whichever binds the store's address has
/// the network.
async fn claim_network(store: &Store, first_choice: u8) -> io::Result<u8> {
    const FIRST_NETWORK: u32 = 20;
    const NETWORK_COUNT: u32 = 200;
    let start = u32::from(first_choice) + std::process::id();
    for offset in 0..NETWORK_COUNT {
        let network = (FIRST_NETWORK + (start + offset) % NETWORK_COUNT) as u8;
        let address = SocketAddr::new(Ipv4Addr::new(127, network, 5, 1).into(), STORE_PORT);
        match store.serve(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            result => return result.map(|()| network),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
