//! A fleet of real processes: two entries, engines and services with their agents, and stand-ins
//! for the platform's services.

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
/// Time after which a wait fails the test.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Any free port; the process reports the port that it got.
const ANY_ADDRESS: &str = "127.0.0.1:0";

static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
static NEXT_STDERR: AtomicU64 = AtomicU64::new(0);

/// A process of the product or a stand-in, which is killed when dropped.
pub(crate) struct Process {
    child: Child,
    /// The line of JSON that the process prints when it listens.
    pub(crate) started: Value,
    arguments: Vec<String>,
    stderr: PathBuf,
}

impl Process {
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
        let stderr = stderr_file();
        let stderr_handle =
            fs::File::create(&stderr).expect("a file for the stderr of the process");
        let mut child = Command::new(env!("CARGO_BIN_EXE_magnoliasail"))
            .args(&arguments)
            .stdout(Stdio::piped())
            .stderr(stderr_handle)
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a line on stdout");
        let started = serde_json::from_str(&line).unwrap_or_else(|error| {
            let stderr_text = fs::read_to_string(&stderr).unwrap_or_default();
            panic!("{arguments:?} did not report its address ({error}): {line}{stderr_text}")
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

    /// Kills the process and starts it again with the same arguments.
    pub(crate) fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        *self = Self::start(&arguments);
    }

    /// Waits for the process to end and returns its exit code, or `None` after the time limit.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
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

/// The response to an HTTP call; its status is 0 if there was none.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
    /// Whether the body ended as its HTTP framing requires.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the error code, empty if the answer holds none.
    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the outcome of a failed request, empty if the answer holds none.
    pub(crate) fn outcome(&self) -> String {
        self.json()["error"]["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Sends a request and waits for the complete answer.
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

/// Returns a new idempotency key, a version 7 UUID.
pub(crate) fn job_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Size and timing of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) engines: usize,
    pub(crate) services: usize,
    /// Time that a service takes for a call, in milliseconds.
    pub(crate) service_ms: u64,
    /// Time that an engine takes for a decoding step, in milliseconds.
    pub(crate) step_ms: u64,
    /// Lines that are added to the settings of each engine's agent.
    pub(crate) agent_lines: &'static str,
    /// Whether the links to each agent go through a relay.
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

/// A running fleet; its processes are killed when it is dropped.
pub(crate) struct Fleet {
    directory: PathBuf,
    pub(crate) config: Process,
    pub(crate) vms: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) relays: Vec<super::relay::Relay>,
    /// The entries of the list of VMs.
    vm_list: Vec<Value>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    pub(crate) fn start(settings: &FleetSettings) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::SeqCst);
        let name = format!("magnoliasail-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a directory");
        let config = start_standin(&directory, "config", &config_toml(settings.services));
        let mut fleet = Self {
            config,
            vms: start_standin(&directory, "vms", ""),
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            relays: Vec::new(),
            vm_list: Vec::new(),
            directory,
        };
        for index in 0..settings.engines {
            let toml = format!("step_ms = {}.0\n", settings.step_ms);
            let engine = start_standin(&fleet.directory, "engine", &toml);
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
            let service = start_standin(&fleet.directory, "service", &toml);
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
            fleet.vm_list.push(json!({
                "vm": format!("entry-{index}"), "role": "entry", "address": "",
                "data_centre": "dc", "state": "live",
            }));
        }
        fleet.publish_vm_list();
        for index in 0..2 {
            let entry = fleet.start_entry(index);
            fleet.entries.push(entry);
        }
        fleet.wait_until_live(settings.engines + settings.services);
        if settings.services > 0 {
            // Agents refuse keys created before this time, which an earlier incarnation could have
            // run.
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
        let listen = fixed_address();
        let toml = format!(
            "vm = \"{vm}\"\ndata_centre = \"dc\"\nlisten = \"{listen}\"\n\
             server_url = \"{server_url}\"\nhealth_interval_ms = 100\n{lines}\n\
             [link]\nkey = \"link-key\"\nheartbeat_ms = 100\ntimeout_ms = 500\n"
        );
        let file = self.write_settings(vm, &toml);
        let agent = Process::start(&["agent", "--settings", &file]);
        let mut address = agent.address();
        if settings.has_relays {
            let relay = super::relay::Relay::start(address);
            address = relay.address.to_string();
            self.relays.push(relay);
        }
        let role = if slot.is_empty() { "model" } else { "service" };
        let service = if slot.is_empty() { "" } else { "orders" };
        self.vm_list.push(json!({
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
        let file = self.write_settings(&format!("entry-{index}"), &toml);
        Process::start(&["entry", "--settings", &file])
    }

    fn write_settings(&self, name: &str, toml: &str) -> String {
        write_settings(&self.directory, name, toml)
    }

    pub(crate) fn publish_vm_list(&self) {
        let body = Value::from(self.vm_list.clone()).to_string();
        let answer = call(
            "POST",
            &format!("{}/admin/vms", self.vms.url()),
            None,
            &body,
        );
        assert_eq!(answer.status, 200);
    }

    /// Publishes pages in the configuration service; pages that are not named stay.
    pub(crate) fn publish(&self, pages: &Value) {
        let url = format!("{}/admin/publish", self.config.url());
        assert_eq!(call("POST", &url, None, &pages.to_string()).status, 200);
    }

    /// Returns the state that an entry reports to operators.
    pub(crate) fn status(&self, entry: usize) -> Value {
        let url = format!("{}/status", self.entries[entry].operator_url());
        call("GET", &url, None, "").json()
    }

    /// Waits until each entry has a table and sees `count` live servers.
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

    /// Sends a chat completion request that is not streamed.
    pub(crate) fn chat(&self, entry: usize, model: &str, text: &str, tokens: u64) -> Answer {
        self.send_chat(entry, model, text, tokens, false)
    }

    pub(crate) fn send_chat(
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

    /// Sends a job with an idempotency key to the service `orders`.
    pub(crate) fn send_job(&self, entry: usize, key: &str) -> Answer {
        let url = format!("{}/services/orders/print", self.base_url(entry));
        call("POST", &url, Some(key), "{\"copies\":2}")
    }

    /// Returns the number of runs of a job, added up over all services.
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

    /// Returns the number of crashes of all engines.
    pub(crate) fn crashes(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| {
                let url = format!("{}/admin/state", engine.url());
                let mut crashes = None;
                wait_until("the engine has restarted", || {
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

/// Waits until a condition is met.
///
/// # Panics
///
/// Panics with the description of the condition after the time limit.
pub(crate) fn wait_until<F: FnMut() -> bool>(condition: &str, mut is_met: F) {
    let limit = Instant::now() + WAIT_LIMIT;
    while !is_met() {
        assert!(
            Instant::now() < limit,
            "timed out waiting until {condition}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the number of tokens in a streamed answer, which must be complete.
pub(crate) fn stream_tokens(text: &str, model: &str) -> usize {
    assert!(
        text.trim_end().ends_with("data: [DONE]"),
        "the stream is incomplete: {text}"
    );
    text.lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .filter(|event| event.contains(&format!("\"content\":\"{model}/")))
        .count()
}

/// Returns a free address that an agent can listen on again after a restart.
///
/// Its port is below the ephemeral range, so that the system gives it to no other socket meanwhile.
fn fixed_address() -> String {
    const FIRST_PORT: u64 = 20_000;
    const PORT_COUNT: u64 = 10_000;
    let first_number = u64::from(std::process::id()) * 41;
    (0..PORT_COUNT)
        .map(|_| first_number + NEXT_PORT.fetch_add(1, Ordering::SeqCst))
        .map(|number| format!("127.0.0.1:{}", FIRST_PORT + number % PORT_COUNT))
        .find(|address| std::net::TcpListener::bind(address).is_ok())
        .expect("a free port")
}

fn stderr_file() -> PathBuf {
    let number = NEXT_STDERR.fetch_add(1, Ordering::SeqCst);
    let name = format!("magnoliasail-stderr-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

fn write_settings(directory: &std::path::Path, name: &str, toml: &str) -> String {
    let path = directory.join(format!("{name}.toml"));
    fs::write(&path, toml).expect("a file");
    path.display().to_string()
}

fn start_standin(directory: &std::path::Path, kind: &str, toml: &str) -> Process {
    let number = NEXT_DIRECTORY.fetch_add(1, Ordering::SeqCst);
    let file = write_settings(directory, &format!("{kind}-{number}"), toml);
    Process::start(&["standin", kind, "--settings", &file])
}

/// Returns the `adapters` page of two adapters whose version `current` is the default.
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

/// Returns the settings of the configuration stand-in, with the pages of the table.
fn config_toml(services: usize) -> String {
    let key_hash = magnoliasail_core::table::Table::key_hash_hex(KEY);
    let populations = format!(
        "population,key_sha256,share,priority,max_in_flight,rate_per_s\n\
         testers,{key_hash},1,5,1000,1000\n"
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
        let services_page =
            "service,method,path_prefix,repeatable\norders,POST,/,no\norders,GET,/,yes\n";
        pages.push(("services", services_page.to_owned()));
        pages.push(("roster", roster));
    }
    pages
        .iter()
        .map(|(name, csv)| format!("[[pages]]\nname = \"{name}\"\ncsv = {csv:?}\n"))
        .collect()
}
