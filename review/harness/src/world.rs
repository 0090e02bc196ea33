//! What all stand-ins of a case share: addresses, the clock, the record and what was observed.

use {
    std::{
        collections::HashMap,
        fs::File,
        io::Write,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// A run of a request on a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub software: String,
    /// The full name of the adapter; empty at a plain server.
    pub adapter: String,
    pub adapter_version: u64,
    pub at: Instant,
}

/// The weight store of the platform: an adapter takes its time while few are in transit, and longer in
/// proportion beyond.
pub struct WeightStore {
    in_transit: Mutex<u32>,
    pub at_once: u32,
    pub adapter_ms: f64,
}

impl WeightStore {
    pub async fn fetch(&self) {
        const TICK_MS: f64 = 5.0;
        *self.in_transit.lock().unwrap() += 1;
        let mut left_ms = self.adapter_ms;
        let mut last = Instant::now();
        while left_ms > 0.0 {
            sleep(Duration::from_millis(TICK_MS as u64)).await;
            let in_transit = *self.in_transit.lock().unwrap();
            let speed = (f64::from(self.at_once) / f64::from(in_transit)).min(1.0);
            left_ms -= last.elapsed().as_secs_f64() * 1_000.0 * speed;
            last = Instant::now();
        }
        *self.in_transit.lock().unwrap() -= 1;
    }
}

/// Announced versions of an adapter, with the times of the store's confirmations.
type Announcements = Vec<(u64, Instant)>;

pub struct World {
    network: u8,
    pub started: Instant,
    record: Mutex<File>,
    pub runs: Mutex<Vec<Run>>,
    pub versions: Mutex<HashMap<String, Announcements>>,
    pub weights: WeightStore,
    /// The part of a prompt that crashes each runner that begins to write an answer on it.
    pub poison: Mutex<Option<String>>,
    /// When requests with that part reached a runner, and when runners crashed on them.
    pub poisoned: Mutex<Vec<Instant>>,
    pub crashes: Mutex<Vec<Instant>>,
}

pub const STORE_PORT: u16 = 21_142;
pub const CALLER_PORT: u16 = 21_149;
pub const READY_PORT: u16 = 21_141;
pub const APP_PORT: u16 = 21_145;
pub const INTERNAL_PORTS: [u16; 2] = [21_380, 21_395];

impl World {
    /// Picks a loopback network in which nobody listens.
    pub fn new(record: File, weights: (u32, f64)) -> Arc<Self> {
        let first = std::process::id() % 150;
        let network = (0..150)
            .map(|offset| 60 + ((first + offset) % 150) as u8)
            .find(|&network| {
                let ip = Ipv4Addr::new(127, network, 5, 1);
                TcpListener::bind((ip, STORE_PORT)).is_ok()
            })
            .expect("a loopback network is free");
        Arc::new(Self {
            network,
            started: Instant::now(),
            record: Mutex::new(record),
            runs: Mutex::default(),
            versions: Mutex::default(),
            poison: Mutex::default(),
            poisoned: Mutex::default(),
            crashes: Mutex::default(),
            weights: WeightStore {
                in_transit: Mutex::new(0),
                at_once: weights.0,
                adapter_ms: weights.1,
            },
        })
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} {}", text.as_ref());
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    fn ip(&self, kind: u8, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.network, kind, number).into()
    }

    /// Returns the IP address of a `front` machine.
    pub fn front_ip(&self, index: usize) -> IpAddr {
        self.ip(1, index as u8 + 1)
    }

    /// Returns the IP address of a `side` machine, on which a model runner lives.
    pub fn side_ip(&self, index: usize) -> IpAddr {
        self.ip(2, index as u8 + 1)
    }

    /// Returns the address of a server of a plain service.
    pub fn plain_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(3, index as u8 + 1), APP_PORT)
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(5, 1), STORE_PORT)
    }

    /// Returns the address by which one of the fronts reaches the store.
    pub fn second_store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(5, 2), STORE_PORT)
    }

    pub fn engine_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.side_ip(index), APP_PORT)
    }

    pub fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.front_ip(index), CALLER_PORT)
    }

    /// Returns the newest announced version of an adapter, 1 if none was announced.
    pub fn newest_version(&self, adapter: &str) -> u64 {
        let versions = self.versions.lock().unwrap();
        let announced = versions.get(adapter).and_then(|all| all.last());
        announced.map_or(1, |&(version, _)| version)
    }

    pub fn add_run(&self, run: Run) {
        self.log(format!(
            "run request={} server={} software={} adapter={}@{}",
            run.request, run.server, run.software, run.adapter, run.adapter_version
        ));
        self.runs.lock().unwrap().push(run);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn zone(index: usize) -> String {
    let letters = ["a", "b", "c"];
    format!("riga-{}", letters[index % letters.len()])
}
