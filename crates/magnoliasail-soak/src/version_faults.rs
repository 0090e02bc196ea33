//! Newer versions of all adapters that the operator announces while the agent of an engine is paused.

use {
    crate::{
        proxy::Proxy,
        soak::{ADAPTER_COUNT, Soak},
        version_runs::VERSION_BOUND,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::{Duration, Instant},
    tokio::time::{sleep, sleep_until},
};

/// Changes the seed for versions, so that the other draws of known seeds stay the same.
const VERSION_SEED_MASK: u64 = 0x5e7;
/// Share of the faults of the schedule before which versions are announced.
const VERSION_SHARE: f64 = 0.1;
/// Time from the beginning of the pause to the announcement.
const BEFORE_ANNOUNCEMENT: Duration = Duration::from_millis(100);
/// Time for reads that a fault before has held up.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the bound in which requests are still checked.
const CHECKED_TIME: Duration = Duration::from_secs(2);

/// The draws of versions, and the newest one.
#[derive(Debug)]
pub(crate) struct VersionFaults {
    random: Pcg64Mcg,
    newest: u64,
}

impl VersionFaults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed ^ VERSION_SEED_MASK),
            newest: 1,
        }
    }
}

impl Soak {
    /// Draws whether newer versions are announced before the next fault, and checks on which ones requests begin.
    ///
    /// Bytes that a fault before still discards on the paths to the store would excuse an agent, so that these
    /// connections are closed first.
    pub(crate) async fn announce_versions(&mut self) {
        let random = &mut self.version_faults.random;
        if !random.random_bool(VERSION_SHARE) {
            return;
        }
        let engine = random.random_range(0..self.fleet.engine_count());
        let pause = Duration::from_millis(random.random_range(1_200..4_500));
        let is_busy = random.random();
        self.version_faults.newest += 1;
        let version = self.version_faults.newest;
        self.record_fault(format!(
            "announce version {version} while the agent of engine {engine} is paused for {pause:?}; the engine carries \
             out another order: {is_busy}"
        ));
        self.fleet
            .store_proxies()
            .iter()
            .for_each(Proxy::reset_connections);
        sleep(SETTLE_TIME).await;
        let agent = self.fleet.agent_process(engine);
        self.fleet.servers[engine].set_busy(is_busy);
        self.fleet.signal(agent, "STOP");
        sleep(BEFORE_ANNOUNCEMENT).await;
        let announced_at = Instant::now();
        for adapter in 0..ADAPTER_COUNT {
            self.fleet.announce_version(&format!("a{adapter}"), version);
        }
        sleep(pause).await;
        self.fleet.signal(agent, "CONT");
        sleep_until((announced_at + VERSION_BOUND + CHECKED_TIME).into()).await;
        self.fleet.ledger.check_versions(announced_at);
        self.fleet.servers[engine].set_busy(false);
    }
}
