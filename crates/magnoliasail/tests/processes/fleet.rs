//! A fleet of real processes: two entries, engines and services with agents, and the platform.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::{
        fmt::Write as _,
        fs,
        io::{BufRead, BufReader},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

pub(crate) const KEY: &str = "test-key";
pub(crate) const LEASE_MS: u64 = 1_500;
const LIMIT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(50);

/// Any free port; the process says which it got.
const ANY_ADDRESS: &str = "127.0.0.1:0";

static DIRECTORIES: AtomicU64 = AtomicU64::new(0);
static PORT_NUMBERS: AtomicU64 = AtomicU64::new(0);
static STDERR_NUMBERS: AtomicU64 = AtomicU64::new(0);

/// A process of the product or a stand-in; it is killed when dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) started: Value,
    arguments: Vec<String>,
    stderr: PathBuf,
}

impl Process {
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
        let stderr = stderr_file();
        let errors = fs::File::create(&stderr).expect("a file for what the process complains of");
        let mut child = Command::new(env!("CARGO_BIN_EXE_magnoliasail"))
            .args(&arguments)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a line of the process");
        let started = serde_json::from_str(&line).unwrap_or_else(|error| {
            let complaint = fs::read_to_string(&stderr).unwrap_or_default();
            panic!("{arguments:?} did not say where it listens ({error}): {line}{complaint}")
        });
        Self {
            child,
            started,
            arguments,
            stderr,
        }
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Kills the process and starts it anew.
    pub(crate) fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        *self = Self::start(&arguments);
    }

    /// Waits for the process to end and returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let limit = Instant::now() + LIMIT;
        while Instant::now() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL);
        }
        None
    }

    pub(crate) fn url(&self) -> String {
        self.started["url"].as_str().expect("a URL").to_owned()
    }

    pub(crate) fn address(&self) -> String {
        self.started["address"]
            .as_str()
            .expect("an address")
            .to_owned()
    }

    pub(crate) fn operator_url(&self) -> String {
        self.started["operator_url"]
            .as_str()
            .expect("a URL")
            .to_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.stderr);
    }
}

/// An answer to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
    /// The body ended as HTTP says it must.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub(crate) fn outcome(&self) -> String {
        self.json()["error"]["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Calls a URL and waits for the whole answer.
pub(crate) fn call(method: &str, url: &str, job_key: Option<&str>, body: &str) -> Answer {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut request = Request::builder()
        .method(method)
        .uri(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json");
    if let Some(job_key) = job_key {
        request = request.header("idempotency-key", job_key);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request");
    runtime.block_on(async {
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let Ok(response) = client.request(request).await else {
            return Answer {
                status: 0,
                text: String::new(),
                is_complete: false,
            };
        };
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        Answer {
            status,
            text: String::from_utf8_lossy(&bytes).into_owned(),
            is_complete,
        }
    })
}

/// Returns an unused version 7 UUID.
pub(crate) fn job_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) service_ms: u64,
    pub(crate) step_ms: u64,
    /// Lines that are added to the settings of each agent.
    pub(crate) agent_lines: &'static str,
    /// Puts a relay in front of each agent.
    pub(crate) has_relays: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            engines: 2,
            services: 0,
            service_ms: 5,
            step_ms: 2,
            agent_lines: "",
            has_relays: false,
        }
    }
}

/// A running fleet.
pub(crate) struct Fleet {
    directory: PathBuf,
    pub(crate) config: Process,
    pub(crate) vms: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) relays: Vec<super::relay::Relay>,
    listed: Vec<Value>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    pub(crate) fn start(settings: &FleetSettings) -> Self {
        let number = DIRECTORIES.fetch_add(1, Ordering::SeqCst);
        let name = format!("magnoliasail-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a directory");
        let config = standin(&directory, "config", &config_toml(settings.services));
        let mut fleet = Self {
            config,
            vms: standin(&directory, "vms", ""),
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            relays: Vec::new(),
            listed: Vec::new(),
            directory,
        };
        for index in 0..settings.engines {
            let toml = format!("step_ms = {}.0\n", settings.step_ms);
            let engine = standin(&fleet.directory, "engine", &toml);
            let lines = format!("adapter_slots = 4\n{}", settings.agent_lines);
            fleet.add_agent(
                &format!("runner-{index}"),
                "",
                &engine.url(),
                &lines,
                settings,
            );
            fleet.engines.push(engine);
        }
        for index in 0..settings.services {
            let toml = format!("service_ms = {}\n", settings.service_ms);
            let service = standin(&fleet.directory, "service", &toml);
            let slot = format!("orders-{index}");
            let lines = format!("service = \"orders\"\nslot = \"{slot}\"\n");
            fleet.add_agent(
                &format!("vm-{index}"),
                &slot,
                &service.url(),
                &lines,
                settings,
            );
            fleet.services.push(service);
        }
        for index in 0..2 {
            fleet.listed.push(json!({
                "vm": format!("entry-{index}"), "role": "entry", "address": "",
                "data_centre": "dc", "state": "live",
            }));
        }
        fleet.publish_list();
        for index in 0..2 {
            let entry = fleet.start_entry(index);
            fleet.entries.push(entry);
        }
        fleet.wait_until_live(settings.engines + settings.services);
        if settings.services > 0 {
            // Keys minted before this time could have run under an earlier incarnation.
            thread::sleep(Duration::from_millis(LEASE_MS + 1_500));
        }
        fleet
    }

    fn add_agent(
        &mut self,
        vm: &str,
        slot: &str,
        server_url: &str,
        lines: &str,
        settings: &FleetSettings,
    ) {
        let listen = kept_address();
        let toml = format!(
            "vm = \"{vm}\"\ndata_centre = \"dc\"\nlisten = \"{listen}\"\n\
             server_url = \"{server_url}\"\nhealth_interval_ms = 100\n{lines}\n\
             [link]\nkey = \"link-key\"\nheartbeat_ms = 100\ntimeout_ms = 500\n"
        );
        let file = self.write(vm, &toml);
        let agent = Process::start(&["agent", "--settings", &file]);
        let mut address = agent.address();
        if settings.has_relays {
            let relay = super::relay::Relay::start(address);
            address = relay.address.to_string();
            self.relays.push(relay);
        }
        let role = if slot.is_empty() { "model" } else { "service" };
        let service = if slot.is_empty() { "" } else { "orders" };
        self.listed.push(json!({
            "vm": vm, "role": role, "service": service, "slot": slot,
            "address": address, "data_centre": "dc", "state": "live",
        }));
        self.agents.push(agent);
    }

    fn start_entry(&self, index: usize) -> Process {
        let toml = format!(
            "vm = \"entry-{index}\"\ndata_centre = \"dc\"\nlisten = \"{}\"\n\
             operator_listen = \"{}\"\nconfig_url = \"{}\"\nvms_url = \"{}\"\n\
             list_interval_ms = 200\nwatch_ms = 1000\ndrain_notice_ms = 300\n\
             deadline_ms = 20000\n\
             [link]\nkey = \"link-key\"\nheartbeat_ms = 100\ntimeout_ms = 500\n",
            ANY_ADDRESS,
            ANY_ADDRESS,
            self.config.url(),
            self.vms.url(),
        );
        let file = self.write(&format!("entry-{index}"), &toml);
        Process::start(&["entry", "--settings", &file])
    }

    fn write(&self, name: &str, toml: &str) -> String {
        write(&self.directory, name, toml)
    }

    pub(crate) fn publish_list(&self) {
        let body = Value::from(self.listed.clone()).to_string();
        let answer = call(
            "POST",
            &format!("{}/admin/vms", self.vms.url()),
            None,
            &body,
        );
        assert_eq!(answer.status, 200);
    }

    /// Publishes pages over those that are there.
    pub(crate) fn publish(&self, pages: &Value) {
        let url = format!("{}/admin/publish", self.config.url());
        assert_eq!(call("POST", &url, None, &pages.to_string()).status, 200);
    }

    pub(crate) fn status(&self, entry: usize) -> Value {
        let url = format!("{}/status", self.entries[entry].operator_url());
        call("GET", &url, None, "").json()
    }

    /// Waits until each entry sees `count` live servers.
    pub(crate) fn wait_until_live(&self, count: usize) {
        for entry in 0..self.entries.len() {
            wait_until("the servers are live", || {
                let status = self.status(entry);
                let live = status["servers"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter(|server| server["state"] == "live" && server["capacity"] != 0)
                    .count();
                live == count && status["table"]["version"] != 0
            });
        }
    }

    pub(crate) fn base_url(&self, entry: usize) -> String {
        format!("http://{}/v1", self.entries[entry].address())
    }

    pub(crate) fn chat(&self, entry: usize, model: &str, text: &str, tokens: u64) -> Answer {
        self.ask(entry, model, text, tokens, false)
    }

    pub(crate) fn ask(
        &self,
        entry: usize,
        model: &str,
        text: &str,
        tokens: u64,
        is_stream: bool,
    ) -> Answer {
        let url = format!("{}/chat/completions", self.base_url(entry));
        call(
            "POST",
            &url,
            None,
            &chat_body(model, text, tokens, is_stream),
        )
    }

    pub(crate) fn order(&self, entry: usize, key: &str) -> Answer {
        let url = format!("{}/services/orders/print", self.base_url(entry));
        call("POST", &url, Some(key), "{\"copies\":2}")
    }

    /// Returns how often a key has run at all services.
    pub(crate) fn runs(&self, key: &str) -> u64 {
        self.services
            .iter()
            .map(|service| {
                let url = format!("{}/admin/runs", service.url());
                call("GET", &url, None, "").json()[key]
                    .as_u64()
                    .unwrap_or_default()
            })
            .sum()
    }

    /// Returns how often the engines have crashed.
    pub(crate) fn crashes(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| {
                let url = format!("{}/admin/state", engine.url());
                let mut crashes = None;
                wait_until("the engine is up again", || {
                    crashes = call("GET", &url, None, "").json()["crashes"].as_u64();
                    crashes.is_some()
                });
                crashes.unwrap_or_default()
            })
            .sum()
    }

    pub(crate) fn set_faults(process: &Process, faults: &Value) {
        let url = format!("{}/admin/faults", process.url());
        assert_eq!(call("POST", &url, None, &faults.to_string()).status, 200);
    }
}

pub(crate) fn chat_body(model: &str, text: &str, tokens: u64, is_stream: bool) -> String {
    json!({
        "model": model,
        "stream": is_stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": text }],
    })
    .to_string()
}

/// Waits until something holds, or fails.
pub(crate) fn wait_until<F: FnMut() -> bool>(what: &str, mut holds: F) {
    let limit = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < limit, "never: {what}");
        thread::sleep(POLL);
    }
}

/// Returns the number of tokens in a streamed answer that is whole.
pub(crate) fn stream_tokens(text: &str, model: &str) -> usize {
    assert!(text.trim_end().ends_with("data: [DONE]"), "no end: {text}");
    text.lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .filter(|event| event.contains(&format!("\"content\":\"{model}/")))
        .count()
}

/// An address that an agent keeps over a restart.
///
/// Its port is below those that the system gives to others, so that nobody takes it meanwhile.
fn kept_address() -> String {
    const FIRST_PORT: u64 = 20_000;
    const PORTS: u64 = 10_000;
    let start = u64::from(std::process::id()) * 41;
    (0..PORTS)
        .map(|_| start + PORT_NUMBERS.fetch_add(1, Ordering::SeqCst))
        .map(|number| format!("127.0.0.1:{}", FIRST_PORT + number % PORTS))
        .find(|address| std::net::TcpListener::bind(address).is_ok())
        .expect("a free port")
}

fn stderr_file() -> PathBuf {
    let number = STDERR_NUMBERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("magnoliasail-stderr-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

fn write(directory: &std::path::Path, name: &str, toml: &str) -> String {
    let path = directory.join(format!("{name}.toml"));
    fs::write(&path, toml).expect("a file");
    path.display().to_string()
}

fn standin(directory: &std::path::Path, kind: &str, toml: &str) -> Process {
    let number = DIRECTORIES.fetch_add(1, Ordering::SeqCst);
    let file = write(directory, &format!("{kind}-{number}"), toml);
    Process::start(&["standin", kind, "--settings", &file])
}

pub(crate) fn adapters_page(current: &str) -> String {
    let mut page = "adapter,version,digest,current\n".to_owned();
    for adapter in ["breeds", "leaflets"] {
        for version in ["v1", "v2"] {
            let is_current = if version == current { "yes" } else { "no" };
            let _ = writeln!(page, "{adapter},{version},{adapter}-{version},{is_current}");
        }
    }
    page
}

fn config_toml(services: usize) -> String {
    let hash = magnoliasail_core::table::Table::key_hash_hex(KEY);
    let populations = format!(
        "population,key_sha256,share,priority,max_in_flight,rate_per_s\ntesters,{hash},1,5,1000,1000\n"
    );
    let mut roster = "service,slot,lease_ms,opaque_horizon_ms\n".to_owned();
    for index in 0..services {
        let _ = writeln!(roster, "orders,orders-{index},{LEASE_MS},1000");
    }
    let mut pages = vec![
        ("adapters", adapters_page("v1")),
        ("populations", populations),
    ];
    if services > 0 {
        let calls = "service,method,path_prefix,repeatable\norders,POST,/,no\norders,GET,/,yes\n";
        pages.push(("services", calls.to_owned()));
        pages.push(("roster", roster));
    }
    pages
        .iter()
        .map(|(name, csv)| format!("[[pages]]\nname = \"{name}\"\ncsv = {csv:?}\n"))
        .collect()
}
