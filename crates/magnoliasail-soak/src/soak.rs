//! A seeded schedule of faults over a fleet under load.
//!
//! [`Soak::run`] starts callers, injects faults one after another, clears them, and then checks
//! that the fleet recovers and that no guarantee was violated. The seed determines the faults and
//! the requests of each caller. Their interleaving differs between runs, because the processes are
//! real.

use {
    crate::{
        account_callers::{USUAL_KEY, accounts, check_flood, start_flood},
        announcements::Announcements,
        caller::{Call, CallKind, Caller, Outcome},
        fleet::{Fleet, FleetSettings},
        ledger::{Ledger, Violation},
        poison_callers::{check_equal_request, start_poison_callers},
        proxy::ProxyMode,
        standin::{DEFAULT_HISTORY, ServerFaults, StoreMode, adapter_name},
        version_faults::VersionFaults,
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

/// Number of adapters that callers request. It exceeds the adapter slots of one engine, so that
/// adapters are evicted.
pub(crate) const ADAPTER_COUNT: u32 = 24;
const CALL_DEADLINE: Duration = Duration::from_millis(2_500);
/// One call of a caller in this many stops reading for a while.
const READING_PAUSE_INTERVAL: u32 = 16;
const READING_PAUSE: Duration = Duration::from_millis(1_200);
/// One call of a caller in this many is left before its answer is complete.
const LEAVING_INTERVAL: u32 = 9;
/// The most time until then, in milliseconds.
const MAX_STAY_MS: u32 = 60;
/// Time for the fleet to recover after the last fault, before the callers stop.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time for a change in the store to apply, also if a read of it times out.
const PROPAGATION_TIME: Duration = Duration::from_millis(4_500);
/// Time for which the store is away before it is restored from a copy.
const RESTORATION_TIME: Duration = Duration::from_millis(300);
/// Maximum age of a copy from which the store is restored.
const MAX_COPY_AGE_MS: u64 = 6_000;
/// Share of calls that each entry must serve after the recovery time.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Calls to each entry that check the recovery.
const RECOVERY_CALLS: u32 = 40;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Settings of the fleet. Its seed also determines the schedule.
    pub fleet: FleetSettings,
    /// Number of faults in the schedule.
    pub faults: u32,
    /// Number of concurrent callers of each entry.
    pub callers_per_entry: u32,
    /// Whether the store may be restored from older copies. Without it, a seed has the schedule that
    /// it had before this fault existed.
    pub restores_store: bool,
    /// Whether callers send a request, and prompts with a part, that crash servers.
    pub has_poison: bool,
    /// Whether servers are upgraded in place and taken away at short notice. Without it, a seed has the schedule
    /// that it had before these faults existed.
    pub replaces_servers: bool,
}

impl SoakSettings {
    /// Creates the settings of a soak of the usual size.
    #[must_use]
    pub fn new(binary: PathBuf, network: u8, seed: u64) -> Self {
        Self {
            fleet: FleetSettings {
                binary,
                entries: 2,
                engines: 3,
                software_versions: 2,
                plain_servers: 2,
                network,
                seed,
                accounts: accounts(),
                store_history: DEFAULT_HISTORY,
            },
            faults: 12,
            callers_per_entry: 4,
            restores_store: true,
            has_poison: true,
            replaces_servers: true,
        }
    }
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Descriptions of the faults, in order.
    pub schedule: Vec<String>,
    /// Number of calls made from the first fault until the end of the recovery time.
    pub calls: u32,
    /// Number of these calls that were served.
    pub served: u32,
    /// Violations of the guarantees.
    pub violations: Vec<Violation>,
    /// Directory with the output of the processes. It exists only if a guarantee was violated.
    pub output_directory: PathBuf,
}

/// A seeded soak.
#[derive(Debug)]
pub struct Soak {
    settings: SoakSettings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) announcements: Announcements,
    pub(crate) version_faults: VersionFaults,
    pub(crate) fleet: Fleet,
    schedule: Vec<String>,
    /// Path prefixes of the routes that were added to the configuration.
    added_prefixes: Vec<String>,
}

/// State that all callers share.
#[derive(Debug, Default)]
struct CallerState {
    is_stopped: Arc<AtomicBool>,
    calls: AtomicU32,
    served: AtomicU32,
}

impl Soak {
    /// Starts the fleet. It runs without faults until [`Soak::run`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started.
    pub async fn start(settings: SoakSettings) -> io::Result<Self> {
        let seed = settings.fleet.seed;
        let random = Pcg64Mcg::seed_from_u64(seed);
        let announcements = Announcements::new(seed);
        let version_faults = VersionFaults::new(seed);
        let fleet = Fleet::start(settings.fleet.clone()).await?;
        Ok(Self {
            settings,
            random,
            announcements,
            version_faults,
            fleet,
            schedule: Vec::new(),
            added_prefixes: Vec::new(),
        })
    }

    /// Runs the schedule, lets the fleet recover and checks the guarantees.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or a stand-in cannot be started again.
    pub async fn run(mut self) -> io::Result<SoakReport> {
        let state = Arc::new(CallerState::default());
        let callers = self.start_callers(&state);
        let flood = start_flood(&self.fleet, &state.is_stopped);
        let is_poison_stopped = Arc::new(AtomicBool::new(!self.settings.has_poison));
        let poison_callers = start_poison_callers(&self.fleet, &is_poison_stopped);
        for _ in 0..self.settings.faults {
            self.announce().await?;
            self.announce_versions().await;
            self.inject_fault().await?;
            let pause_ms = self.random.random_range(50..600);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        self.clear_faults().await?;
        sleep(RECOVERY_TIME).await;
        is_poison_stopped.store(true, Ordering::SeqCst);
        for caller in poison_callers {
            let _ = caller.await;
        }
        state.is_stopped.store(true, Ordering::SeqCst);
        for caller in callers.into_iter().chain(flood) {
            let _ = caller.await;
        }
        check_flood(&self.fleet.ledger);
        self.check_recovery().await;
        if self.settings.has_poison {
            check_equal_request(&self.fleet).await;
        }
        // A request that was reported as not run must not run later either: wait out its deadline.
        sleep(CALL_DEADLINE).await;
        Ok(SoakReport {
            schedule: self.schedule.clone(),
            calls: state.calls.load(Ordering::SeqCst),
            served: state.served.load(Ordering::SeqCst),
            violations: self.fleet.ledger.violations(),
            output_directory: self.fleet.directory().to_path_buf(),
        })
    }

    fn start_callers(&mut self, state: &Arc<CallerState>) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for entry in 0..self.settings.fleet.entries {
            for number in 0..self.settings.callers_per_entry {
                let seed = self.random.random();
                let name = format!("{entry}-{number}");
                let other_entry = (entry + 1) % self.settings.fleet.entries;
                let addresses = EntryAddresses {
                    usual: self.fleet.entry_address(entry),
                    other: self.fleet.entry_address(other_entry),
                };
                let ledger = self.fleet.ledger.clone();
                tasks.push(tokio::spawn(run_caller(
                    addresses,
                    ledger,
                    name,
                    seed,
                    Arc::clone(state),
                )));
            }
        }
        tasks
    }

    /// Injects one random fault or planned change. Most end before this returns; the faults of a
    /// server last until [`Self::clear_faults`], and discarded traffic until its connection closes.
    async fn inject_fault(&mut self) -> io::Result<()> {
        let process = self.random.random_range(0..self.fleet.process_count());
        let server = self.random.random_range(0..self.fleet.servers.len());
        let proxy = self.random.random_range(0..self.fleet.proxies.len());
        let duration = Duration::from_millis(self.random.random_range(100..1_500));
        let kinds = 14
            + u8::from(self.settings.restores_store)
            + 2 * u8::from(self.settings.replaces_servers);
        match self.random.random_range(0..kinds) {
            0 => {
                self.record_fault(format!("kill process {process}"));
                self.fleet.kill(process);
                sleep(duration).await;
                self.fleet.restart(process)?;
            }
            1 => {
                self.record_fault(format!(
                    "terminate process {process}, behind links that hold bytes for half of {duration:?} if it is an \
                     entry; restart it {duration:?} + 3s later"
                ));
                if process < usize::from(self.settings.fleet.entries) {
                    self.terminate_behind_held_link(process, duration / 2)
                        .await?;
                } else {
                    self.fleet.signal(process, "TERM");
                    sleep(duration + Duration::from_secs(3)).await;
                }
                self.fleet.restart(process)?;
            }
            2 => {
                self.record_fault(format!("pause process {process} for {duration:?}"));
                self.fleet.signal(process, "STOP");
                sleep(duration).await;
                self.fleet.signal(process, "CONT");
            }
            3 => {
                self.record_fault(format!(
                    "reload process {process}, publish a configuration, server {server} falls \
                     silent for {duration:?}"
                ));
                self.fleet.signal(process, "HUP");
                self.fleet.servers[server].fall_silent(duration);
                self.publish_next_configuration();
            }
            4 => {
                self.record_fault(format!("crash server {server} for {duration:?}"));
                self.fleet.remove_server(server);
                self.fleet.servers[server].crash();
                sleep(duration).await;
                self.fleet.servers[server].start().await?;
                self.fleet.publish_server(server);
            }
            5 => {
                self.record_fault(format!(
                    "drain server {server}, then list it as ready again"
                ));
                self.fleet.servers[server].set_draining(true);
                self.fleet.publish_server(server);
                sleep(duration + Duration::from_secs(3)).await;
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
                // A third of these servers also reset idle connections.
                if faults.delay_ms.is_multiple_of(3) {
                    faults.idle_timeout_ms = faults.delay_ms;
                }
                self.record_fault(format!("server {server}: {faults:?}"));
                self.fleet.servers[server].set_faults(faults);
            }
            7 => self.disturb_path(proxy, ProxyMode::Blocked, duration).await,
            8 => {
                self.disturb_path(proxy, ProxyMode::BlockedToServer, duration)
                    .await
            }
            9 => {
                self.disturb_path(proxy, ProxyMode::BlockedFromServer, duration)
                    .await
            }
            10 => {
                self.disturb_path(proxy, ProxyMode::Delayed { delay_ms: 40 }, duration)
                    .await
            }
            11 => {
                self.record_fault(format!(
                    "reset connections of path {proxy}, discard traffic of the next path"
                ));
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
                self.record_fault(format!("store: {mode:?} for {duration:?}"));
                self.fleet.store.set_mode(mode);
                self.publish_next_configuration();
                sleep(duration).await;
                self.fleet.store.set_mode(StoreMode::Up);
            }
            13 => {
                self.record_fault("publish a configuration and compact the history".to_owned());
                self.publish_next_configuration();
                self.fleet.store.compact();
            }
            14 if self.settings.replaces_servers => self.upgrade_in_place(server, duration).await?,
            15 if self.settings.replaces_servers => self.take_away(server, duration).await?,
            _ => self.restore_store_from_copy(server, duration).await,
        }
        Ok(())
    }

    /// Drains a server or publishes a configuration, restores the store from a copy of an earlier
    /// time, once or twice, and writes again what was lost.
    async fn restore_store_from_copy(&mut self, server: usize, duration: Duration) {
        let age = Duration::from_millis(self.random.random_range(0..MAX_COPY_AGE_MS));
        let restorations = self.random.random_range(1..=2_u8);
        let is_draining = self.random.random_bool(0.5);
        self.record_fault(format!(
            "drain server {server}: {is_draining}; restore the store {restorations} times from a \
             copy of {age:?} ago, write again {duration:?} later"
        ));
        // Until an entry notices that its connection to the store was lost, it reads no changes.
        sleep(PROPAGATION_TIME).await;
        self.publish_next_configuration();
        self.fleet.servers[server].set_draining(is_draining);
        self.fleet.publish_server(server);
        sleep(PROPAGATION_TIME).await;
        self.fleet.store.set_mode(StoreMode::Unavailable);
        for _ in 0..restorations {
            sleep(RESTORATION_TIME).await;
            self.fleet.store.roll_back(age);
            self.fleet.store.set_mode(StoreMode::Up);
        }
        sleep(duration).await;
        self.fleet.publish_all();
        sleep(PROPAGATION_TIME).await;
        self.fleet.servers[server].set_draining(false);
        self.fleet.publish_server(server);
    }

    async fn disturb_path(&mut self, proxy: usize, mode: ProxyMode, duration: Duration) {
        self.record_fault(format!("path {proxy}: {mode:?} for {duration:?}"));
        self.fleet.proxies[proxy].set_mode(mode);
        sleep(duration).await;
        self.fleet.proxies[proxy].set_mode(ProxyMode::Open);
    }

    fn publish_next_configuration(&mut self) {
        let prefix = format!("/further-{}/", self.added_prefixes.len());
        self.added_prefixes.push(prefix);
        let prefixes: Vec<&str> = self.added_prefixes.iter().map(String::as_str).collect();
        self.fleet.publish_configuration(&prefixes);
    }

    pub(crate) fn record_fault(&mut self, fault: String) {
        self.schedule.push(fault);
    }

    /// Ends every fault that is still active.
    async fn clear_faults(&mut self) -> io::Result<()> {
        self.end_announcements().await?;
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

    /// Checks that each entry serves its calls again after the faults.
    async fn check_recovery(&mut self) {
        for entry in 0..self.settings.fleet.entries {
            let mut caller =
                Caller::new(self.fleet.entry_address(entry), self.fleet.ledger.clone());
            let mut served = 0;
            for number in 0..RECOVERY_CALLS {
                let call = Call {
                    id: format!("judge-{entry}-{number}"),
                    kind: CallKind::ALL[number as usize % CallKind::ALL.len()],
                    adapter: adapter_name(number % ADAPTER_COUNT),
                    deadline: CALL_DEADLINE,
                    key: Some(USUAL_KEY),
                    ..Call::default()
                };
                served += u32::from(caller.call(&call).await == Outcome::Served);
            }
            if f64::from(served) < MIN_SERVED_SHARE * f64::from(RECOVERY_CALLS) {
                let detail = format!(
                    "entry {entry} served {served} of {RECOVERY_CALLS} calls after the faults"
                );
                self.fleet.ledger.record_violation("recovery", detail);
            }
        }
    }
}

/// The entries that a caller uses.
#[derive(Clone, Copy, Debug)]
struct EntryAddresses {
    usual: SocketAddr,
    /// The entry at which the caller resumes a stream that was broken off.
    other: SocketAddr,
}

async fn run_caller(
    addresses: EntryAddresses,
    ledger: Ledger,
    name: String,
    seed: u64,
    state: Arc<CallerState>,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut caller = Caller::new(addresses.usual, ledger.clone());
    let mut resuming_caller = Caller::new(addresses.other, ledger);
    let mut number = 0_u32;
    while !state.is_stopped.load(Ordering::SeqCst) {
        number += 1;
        let adapter = random
            .random_range(0..ADAPTER_COUNT)
            .min(random.random_range(0..ADAPTER_COUNT));
        let call = Call {
            id: format!("call-{name}-{number}"),
            kind: CallKind::ALL[random.random_range(0..CallKind::ALL.len())],
            adapter: adapter_name(adapter),
            deadline: CALL_DEADLINE,
            reading_pause: if number.is_multiple_of(READING_PAUSE_INTERVAL) {
                READING_PAUSE
            } else {
                Duration::ZERO
            },
            key: Some(USUAL_KEY),
            ..Call::default()
        };
        if number.is_multiple_of(LEAVING_INTERVAL) {
            let stay = Duration::from_millis(u64::from(number % MAX_STAY_MS));
            caller.call_and_leave(&call, stay).await;
            continue;
        }
        state.calls.fetch_add(1, Ordering::SeqCst);
        let mut outcome = caller.call(&call).await;
        if let Some(resumed_call) = caller.resumed_call(&call, outcome) {
            outcome = resuming_caller.call(&resumed_call).await;
        }
        if outcome == Outcome::Served {
            state.served.fetch_add(1, Ordering::SeqCst);
        }
        let pause_ms = random.random_range(5..60);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
