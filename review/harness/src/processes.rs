//! The project's programs, started with the commands of the deploy file.

use {
    crate::{
        engine::SERVICE,
        world::{CALLER_PORT, INTERNAL_PORTS, READY_PORT, World, zone},
    },
    std::{
        fs,
        ops::Range,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// The bounds in the settings that differ between cases.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub drain_ms: u64,
    pub stable_window_ms: u64,
    pub config_apply_ms: u64,
    pub version_ms: u64,
}

/// The bounds of `strids-riga`.
pub const RIGA: Bounds = Bounds {
    drain_ms: 2_000,
    stable_window_ms: 3_000,
    config_apply_ms: 2_000,
    version_ms: 5_000,
};

/// All processes that the case has started.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started, and returns those that had ended by themselves.
pub fn end_all() -> Vec<String> {
    let mut ended = Vec::new();
    for (name, child) in CHILDREN.lock().unwrap().iter_mut() {
        if let Ok(Some(status)) = child.try_wait() {
            ended.push(format!("{name}: {status}"));
        }
        let _ = child.kill();
        let _ = child.wait();
    }
    ended
}

/// The bounds of `cico-catalogues-large`.
pub const LARGE: Bounds = Bounds {
    drain_ms: 4_000,
    stable_window_ms: 5_000,
    config_apply_ms: 4_000,
    version_ms: 5_000,
};

/// Returns the peak resident memory of each process, in megabytes.
pub fn peak_memory_mb() -> Vec<(String, f64)> {
    let peak = |child: &Child| {
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:").map(str::to_owned))?;
        let kb: f64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kb / 1_024.0)
    };
    let children = CHILDREN.lock().unwrap();
    children
        .iter()
        .filter_map(|(name, child)| Some((name.clone(), peak(child)?)))
        .collect()
}

/// Keeps a process of the case, so that it is ended with the others.
pub fn add_child(name: String, child: Child) {
    CHILDREN.lock().unwrap().push((name, child));
}

/// Ends a process of the case with SIGKILL.
pub fn kill(id: u32) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(index) = children.iter().position(|(_, child)| child.id() == id) {
        let (_, mut child) = children.swap_remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }
}

struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    output: PathBuf,
}

pub struct Processes {
    world: Arc<World>,
    repository: PathBuf,
    binary: PathBuf,
    folder: PathBuf,
    processes: Vec<Process>,
}

impl Processes {
    pub fn new(world: &Arc<World>, repository: &Path, folder: &Path) -> Self {
        Self {
            world: Arc::clone(world),
            repository: repository.to_owned(),
            binary: repository.join("target/release/magnoliasail"),
            folder: folder.to_owned(),
            processes: Vec::new(),
        }
    }

    pub fn start_fronts(&mut self, count: usize, bounds: Bounds) {
        for index in 0..count {
            let ip = self.world.front_ip(index);
            let listen = format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n");
            let text = self.settings(
                "front",
                "entry",
                index,
                &ip.to_string(),
                "",
                &listen,
                260,
                bounds,
            );
            self.add(
                "platform-entry",
                format!("front-{}-{index}", zone(index)),
                &text,
            );
        }
    }

    pub fn start_sides(&mut self, indices: Range<usize>, bounds: Bounds) {
        for index in indices {
            let ip = self.world.side_ip(index);
            let app = format!(
                "app = \"{}\"\nservice = \"{SERVICE}\"\n",
                self.world.engine_address(index)
            );
            let text = self.settings(
                "side",
                "agent",
                index,
                &ip.to_string(),
                &app,
                "",
                192,
                bounds,
            );
            self.add(
                "platform-agent",
                format!("side-{}-{index}", zone(index)),
                &text,
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of a settings file")]
    fn settings(
        &self,
        class: &str,
        role: &str,
        index: usize,
        ip: &str,
        app: &str,
        listen: &str,
        memory_mb: u32,
        bounds: Bounds,
    ) -> String {
        let zone = zone(index);
        let [first, last] = INTERNAL_PORTS;
        let number = index / 3 + 1;
        let is_second = class == "front" && index == 0;
        let store = if is_second {
            self.world.second_store_address()
        } else {
            self.world.store_address()
        };
        let Bounds {
            drain_ms,
            stable_window_ms,
            config_apply_ms,
            version_ms,
        } = bounds;
        format!(
            "node_name = \"{class}-{zone}-{number}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"baltic\"\n\
             internal_ports = [{first}, {last}]\nseeds = []\nbootstrap = true\nin_tolerance = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"]\n\
             {app}[zones]\nriga-a = \"baltic\"\nriga-b = \"baltic\"\nriga-c = \"baltic\"\n\
             [listen]\n{listen}\
             [limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = {stable_window_ms}\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = {drain_ms}\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = {config_apply_ms}\n\
             rollback_slack_ms = 250\nmax_skew_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_min_retries = 58\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nrequire_fencing = false\n\
             lease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\nceiling_overshoot = 1.1\nversion_ms = {version_ms}\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        )
    }

    fn add(&mut self, role: &'static str, name: String, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings are written");
        self.processes.push(Process {
            output: self.folder.join(format!("{name}.log")),
            name,
            role,
            settings: path,
        });
        let index = self.processes.len() - 1;
        self.start(index);
    }

    /// Kills all processes at once with SIGKILL.
    pub fn kill_all(&self) {
        for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
            let _ = child.kill();
        }
        for (_, mut child) in std::mem::take(&mut *CHILDREN.lock().unwrap()) {
            let _ = child.wait();
        }
        self.world.log("killed all processes");
    }

    /// Starts all processes again, not for the first time.
    pub fn start_all_again(&self) {
        for (index, process) in self.processes.iter().enumerate() {
            let text = fs::read_to_string(&process.settings).unwrap();
            fs::write(
                &process.settings,
                text.replace("bootstrap = true", "bootstrap = false"),
            )
            .unwrap();
            self.start(index);
        }
    }

    fn start(&self, index: usize) {
        let process = &self.processes[index];
        let output = fs::File::options()
            .create(true)
            .append(true)
            .open(&process.output)
            .unwrap();
        let child = Command::new(&self.binary)
            .arg(process.role)
            .current_dir(&self.repository)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .into_iter()
                    .filter_map(|name| Some((name, std::env::var_os(name)?))),
            )
            .env("MAGNOLIASAIL_NODE_FILE", &process.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .expect("the program starts");
        self.world
            .log(format!("started {} pid={}", process.name, child.id()));
        CHILDREN.lock().unwrap().push((process.name.clone(), child));
    }
}

/// Waits until all fronts say that they are ready.
pub async fn wait_until_ready(world: &World, fronts: usize) -> bool {
    for _ in 0..300 {
        let mut ready = 0;
        for index in 0..fronts {
            ready += usize::from(is_ready(world, index).await);
        }
        if ready == fronts {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

async fn is_ready(world: &World, index: usize) -> bool {
    let address = (world.front_ip(index), READY_PORT);
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = b"GET /readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.is_ok() && answer.ends_with(b"200")
}
