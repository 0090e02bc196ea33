//! What servers of a soak say about the work that they want, beside its faults: that they are leaving, that
//! they want a pause, or which rate of requests they take.

use {
    crate::{soak::Soak, standin::ServerFaults},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Changes the seed for notices, so that the schedules of known seeds stay the same.
const NOTICE_SEED_MASK: u64 = 0xa11;
/// Changes the seed for rates, so that the notices of known seeds stay the same.
const RATE_SEED_MASK: u64 = 0x4a7e;
/// Share of the faults of the schedule before which a server makes a notice.
const NOTICE_SHARE: f64 = 0.4;
/// Share of the faults of the schedule before which the servers that name rates change.
const RATE_SHARE: f64 = 0.4;
/// Share of the servers that name a rate.
const LIMITED_SHARE: f64 = 0.3;

/// The draws of announcements, and what is in force.
#[derive(Debug)]
pub(crate) struct Announcements {
    notice_random: Pcg64Mcg,
    rate_random: Pcg64Mcg,
    /// The server that says that it is leaving.
    leaving_server: Option<usize>,
}

impl Announcements {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            notice_random: Pcg64Mcg::seed_from_u64(seed ^ NOTICE_SEED_MASK),
            rate_random: Pcg64Mcg::seed_from_u64(seed ^ RATE_SEED_MASK),
            leaving_server: None,
        }
    }
}

impl Soak {
    /// Draws what servers announce before the next fault.
    pub(crate) async fn announce(&mut self) -> io::Result<()> {
        if self.announcements.notice_random.random_bool(NOTICE_SHARE) {
            self.give_notice().await?;
        }
        if self.announcements.rate_random.random_bool(RATE_SHARE) {
            self.name_rates();
        }
        Ok(())
    }

    /// Ends what servers have announced.
    pub(crate) async fn end_announcements(&mut self) -> io::Result<()> {
        for server in &self.fleet.servers {
            server.set_rate(None);
        }
        self.restart_leaving_server().await
    }

    /// Makes other servers name rates than before.
    fn name_rates(&mut self) {
        for index in 0..self.fleet.servers.len() {
            let random = &mut self.announcements.rate_random;
            let is_limited = random.random_bool(LIMITED_SHARE);
            let per_s = random.random_range(0.5..30.0);
            let rate = is_limited.then_some(per_s);
            if rate.is_some() {
                self.record_fault(format!(
                    "server {index} names a rate of {per_s:.1} a second"
                ));
            }
            self.fleet.servers[index].set_rate(rate);
        }
    }

    /// Makes a server say that it is leaving, which it does until the next announcement, or makes it
    /// ask for pauses until its faults are replaced.
    async fn give_notice(&mut self) -> io::Result<()> {
        self.restart_leaving_server().await?;
        let server_count = self.fleet.servers.len();
        let server = self
            .announcements
            .notice_random
            .random_range(0..server_count);
        if self.announcements.notice_random.random() {
            self.record_fault(format!("server {server} says that it is leaving"));
            self.fleet.servers[server].set_leaving();
            self.announcements.leaving_server = Some(server);
            return Ok(());
        }
        let faults = ServerFaults {
            paused_share: self.announcements.notice_random.random_range(0.05..0.5),
            retry_after_ms: self.announcements.notice_random.random_range(200..3_000),
            ..ServerFaults::default()
        };
        self.record_fault(format!("server {server}: {faults:?}"));
        self.fleet.servers[server].set_faults(faults);
        Ok(())
    }

    /// Restarts the server that says that it is leaving, under the same id.
    async fn restart_leaving_server(&mut self) -> io::Result<()> {
        /// Time for the listener of the server to close.
        const RESTART_TIME: Duration = Duration::from_millis(200);
        let Some(server) = self.announcements.leaving_server.take() else {
            return Ok(());
        };
        self.record_fault(format!("restart server {server}, which is leaving"));
        self.fleet.servers[server].crash_keeping_id();
        sleep(RESTART_TIME).await;
        self.fleet.servers[server].start().await?;
        self.fleet.publish_server(server);
        Ok(())
    }
}
