//! Faults of servers that end while they answer: upgrades in place, and servers that are taken away at short
//! notice.

use {
    crate::soak::Soak,
    rand::Rng,
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Time for which a server that is replaced is away.
const REPLACEMENT_TIME: Duration = Duration::from_millis(500);
/// Longest time after which the row of a server names its new start.
const MAX_ROW_DELAY_MS: u64 = 1_500;
/// Number of software versions that servers take.
const SOFTWARE_VERSIONS: u8 = 2;

impl Soak {
    /// Gives a server other software under its id. Its row names the new start late.
    pub(crate) async fn upgrade_in_place(
        &mut self,
        server: usize,
        duration: Duration,
    ) -> io::Result<()> {
        let row_delay = Duration::from_millis(self.random.random_range(0..MAX_ROW_DELAY_MS));
        let version = self.random.random_range(1..=SOFTWARE_VERSIONS);
        self.record_fault(format!(
            "upgrade server {server} to v{version} in place within {duration:?}, list it {row_delay:?} later"
        ));
        self.fleet.servers[server].crash_keeping_id();
        sleep(duration).await;
        self.fleet.servers[server].set_software_version(&format!("v{version}"));
        self.fleet.servers[server].start().await?;
        sleep(row_delay).await;
        self.fleet.publish_server(server);
        Ok(())
    }

    /// Takes a server away soon after it has said that it leaves, while its answers end with their connections.
    /// Another one comes in its place.
    pub(crate) async fn take_away(&mut self, server: usize, duration: Duration) -> io::Result<()> {
        self.record_fault(format!(
            "server {server} sends unframed answers, leaves and is gone after {duration:?}"
        ));
        self.fleet.servers[server].set_unframed_answers(true);
        self.fleet.servers[server].set_leaving();
        sleep(duration).await;
        self.fleet.remove_server(server);
        self.fleet.servers[server].crash();
        sleep(REPLACEMENT_TIME).await;
        self.fleet.servers[server].set_unframed_answers(false);
        self.fleet.servers[server].start().await?;
        self.fleet.publish_server(server);
        Ok(())
    }
}
