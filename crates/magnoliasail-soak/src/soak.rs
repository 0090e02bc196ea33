//! A seeded schedule of faults over a fleet under load.

use {
    crate::{
        caller::{Call, CallKind, Caller, Outcome},
        fleet::{Fleet, FleetSettings},
        ledger::{Ledger, Violation},
        proxy::ProxyMode,
        standin::{ServerFaults, StoreMode, adapter_name},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        io,
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Adapters that callers ask for, more than one engine holds.
const ADAPTERS: u32 = 24;
const CALL_DEADLINE: Duration = Duration::from_millis(2_500);
/// Time for the fleet to recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(6);
/// The share of calls that a fleet without faults must serve.
const SERVED_SHARE: f64 = 0.9;
/// Calls by which the recovery is judged.
const JUDGED_CALLS: u32 = 40;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The fleet.
    pub fleet: FleetSettings,
    /// Faults in the schedule.
    pub faults: u32,
    /// Callers at each entry.
    pub callers_per_entry: u32,
}

impl SoakSettings {
    /// A soak of the usual size.
    #[must_use]
    pub const fn new(binary: PathBuf, network: u8, seed: u64) -> Self {
        Self {
            fleet: FleetSettings {
                binary,
                entries: 2,
                engines: 3,
                plain_servers: 2,
                network,
                seed,
            },
            faults: 12,
            callers_per_entry: 4,
        }
    }
}

/// What a soak saw.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The faults, in order.
    pub schedule: Vec<String>,
    /// Calls made and served while faults came.
    pub calls: u32,
    /// Calls that were served.
    pub served: u32,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Where the processes' output is, if a promise was broken.
    pub output_directory: PathBuf,
}

/// A seeded soak.
#[derive(Debug)]
pub struct Soak {
    settings: SoakSettings,
    random: Pcg64Mcg,
    fleet: Fleet,
    schedule: Vec<String>,
    further: Vec<String>,
}

#[derive(Debug, Default)]
struct Load {
    is_over: AtomicBool,
    calls: AtomicU32,
    served: AtomicU32,
}

impl Soak {
    /// Starts a fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started.
    pub async fn start(settings: SoakSettings) -> io::Result<Self> {
        let random = Pcg64Mcg::seed_from_u64(settings.fleet.seed);
        let fleet = Fleet::start(settings.fleet.clone()).await?;
        Ok(Self {
            settings,
            random,
            fleet,
            schedule: Vec::new(),
            further: Vec::new(),
        })
    }

    /// Runs the schedule, lets the fleet recover and judges what was seen.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started again.
    pub async fn run(mut self) -> io::Result<SoakReport> {
        let load = Arc::new(Load::default());
        let callers = self.start_callers(&load);
        for _ in 0..self.settings.faults {
            self.strike().await?;
            let pause_ms = self.random.random_range(50..600);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        self.heal().await?;
        sleep(RECOVERY).await;
        load.is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            let _ = caller.await;
        }
        self.check_recovery().await;
        // Whatever was refused must not run later either.
        sleep(CALL_DEADLINE).await;
        Ok(SoakReport {
            schedule: self.schedule.clone(),
            calls: load.calls.load(Ordering::SeqCst),
            served: load.served.load(Ordering::SeqCst),
            violations: self.fleet.ledger.violations(),
            output_directory: self.fleet.directory().to_path_buf(),
        })
    }

    fn start_callers(&mut self, load: &Arc<Load>) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for entry in 0..self.settings.fleet.entries {
            for number in 0..self.settings.callers_per_entry {
                let seed = self.random.random();
                let name = format!("{entry}-{number}");
                let address = self.fleet.entry_address(entry);
                let ledger = self.fleet.ledger.clone();
                tasks.push(tokio::spawn(keep_calling(
                    address,
                    ledger,
                    name,
                    seed,
                    Arc::clone(load),
                )));
            }
        }
        tasks
    }

    /// Brings one fault, or one planned change.
    async fn strike(&mut self) -> io::Result<()> {
        let process = self.random.random_range(0..self.fleet.process_count());
        let server = self.random.random_range(0..self.fleet.servers.len());
        let proxy = self.random.random_range(0..self.fleet.proxies.len());
        let hold = Duration::from_millis(self.random.random_range(100..1_500));
        match self.random.random_range(0..14_u8) {
            0 => {
                self.note(format!("kill process {process}"));
                self.fleet.kill(process);
                sleep(hold).await;
                self.fleet.restart(process)?;
            }
            1 => {
                self.note(format!("terminate process {process}, {hold:?} to leave"));
                self.fleet.signal(process, "TERM");
                sleep(hold + Duration::from_secs(3)).await;
                self.fleet.restart(process)?;
            }
            2 => {
                self.note(format!("pause process {process} for {hold:?}"));
                self.fleet.signal(process, "STOP");
                sleep(hold).await;
                self.fleet.signal(process, "CONT");
            }
            3 => {
                self.note(format!("reload process {process}"));
                self.fleet.signal(process, "HUP");
            }
            4 => {
                self.note(format!("crash server {server} for {hold:?}"));
                self.fleet.remove_server(server);
                self.fleet.servers[server].crash();
                sleep(hold).await;
                self.fleet.servers[server].start().await?;
                self.fleet.publish_server(server);
            }
            5 => {
                self.note(format!("server {server} leaves and comes back"));
                self.fleet.servers[server].set_draining(true);
                self.fleet.publish_server(server);
                sleep(hold + Duration::from_secs(3)).await;
                self.fleet.servers[server].set_draining(false);
                self.fleet.publish_server(server);
            }
            6 => {
                let mut faults = ServerFaults {
                    error_share: self.random.random_range(0.0..0.3),
                    aborted_share: self.random.random_range(0.0..0.3),
                    unanswered_share: self.random.random_range(0.0..0.1),
                    refused_share: self.random.random_range(0.0..0.3),
                    delay_ms: self.random.random_range(0..400),
                    ..ServerFaults::default()
                };
                // Some servers also forget idle connections.
                if faults.delay_ms.is_multiple_of(3) {
                    faults.idle_timeout_ms = faults.delay_ms;
                }
                self.note(format!("server {server} fails: {faults:?}"));
                self.fleet.servers[server].set_faults(faults);
            }
            7 => self.disturb(proxy, ProxyMode::Blocked, hold).await,
            8 => self.disturb(proxy, ProxyMode::BlockedToServer, hold).await,
            9 => {
                self.disturb(proxy, ProxyMode::BlockedFromServer, hold)
                    .await
            }
            10 => {
                self.disturb(proxy, ProxyMode::Delayed { delay_ms: 40 }, hold)
                    .await
            }
            11 => {
                self.note(format!("reset path {proxy}, silence the next"));
                self.fleet.proxies[proxy].reset_connections();
                let next = (proxy + 1) % self.fleet.proxies.len();
                self.fleet.proxies[next].discard_traffic();
            }
            12 => {
                let modes = [
                    StoreMode::Unavailable,
                    StoreMode::Unresponsive,
                    StoreMode::Slow { delay_ms: 300 },
                ];
                let mode = modes[self.random.random_range(0..modes.len())];
                self.note(format!("store {mode:?} for {hold:?}"));
                self.fleet.store.set_mode(mode);
                self.publish();
                sleep(hold).await;
                self.fleet.store.set_mode(StoreMode::Up);
            }
            _ => {
                self.note("new configuration and a compacted history".to_owned());
                self.publish();
                self.fleet.store.compact();
            }
        }
        Ok(())
    }

    async fn disturb(&mut self, proxy: usize, mode: ProxyMode, hold: Duration) {
        self.note(format!("path {proxy} {mode:?} for {hold:?}"));
        self.fleet.proxies[proxy].set_mode(mode);
        sleep(hold).await;
        self.fleet.proxies[proxy].set_mode(ProxyMode::Open);
    }

    fn publish(&mut self) {
        let prefix = format!("/further-{}/", self.further.len());
        self.further.push(prefix);
        let further: Vec<&str> = self.further.iter().map(String::as_str).collect();
        self.fleet.publish_configuration(&further);
    }

    fn note(&mut self, fault: String) {
        self.schedule.push(fault);
    }

    /// Ends every fault.
    async fn heal(&mut self) -> io::Result<()> {
        self.fleet.store.set_mode(StoreMode::Up);
        for proxy in &self.fleet.proxies {
            proxy.set_mode(ProxyMode::Open);
        }
        for server in &self.fleet.servers {
            server.set_faults(ServerFaults::default());
        }
        for process in 0..self.fleet.process_count() {
            self.fleet.signal(process, "CONT");
        }
        Ok(())
    }

    /// Checks that a fleet without faults serves, and that the newest configuration is in force.
    async fn check_recovery(&mut self) {
        for entry in 0..self.settings.fleet.entries {
            let mut caller =
                Caller::new(self.fleet.entry_address(entry), self.fleet.ledger.clone());
            let mut served = 0;
            for number in 0..JUDGED_CALLS {
                let call = Call {
                    id: format!("judge-{entry}-{number}"),
                    kind: CallKind::ALL[number as usize % CallKind::ALL.len()],
                    adapter: adapter_name(number % ADAPTERS),
                    deadline: CALL_DEADLINE,
                };
                served += u32::from(caller.call(&call).await == Outcome::Served);
            }
            if f64::from(served) < SERVED_SHARE * f64::from(JUDGED_CALLS) {
                let detail = format!(
                    "entry {entry} served {served} of {JUDGED_CALLS} calls after the faults"
                );
                self.fleet.ledger.record_violation("recovery", detail);
            }
        }
    }
}

async fn keep_calling(
    address: SocketAddr,
    ledger: Ledger,
    name: String,
    seed: u64,
    load: Arc<Load>,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut caller = Caller::new(address, ledger);
    let mut number = 0;
    while !load.is_over.load(Ordering::SeqCst) {
        number += 1;
        let adapter = random
            .random_range(0..ADAPTERS)
            .min(random.random_range(0..ADAPTERS));
        let call = Call {
            id: format!("call-{name}-{number}"),
            kind: CallKind::ALL[random.random_range(0..CallKind::ALL.len())],
            adapter: adapter_name(adapter),
            deadline: CALL_DEADLINE,
        };
        load.calls.fetch_add(1, Ordering::SeqCst);
        if caller.call(&call).await == Outcome::Served {
            load.served.fetch_add(1, Ordering::SeqCst);
        }
        let pause_ms = random.random_range(5..60);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
