//! Terminations of entries while the links of their callers hold bytes back.

use {
    crate::{
        account_callers::USUAL_KEY,
        connection::{Connection, lookup},
        ledger::Ledger,
        proxy::{Proxy, ProxyMode},
        soak::Soak,
    },
    std::{io, net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

const CONNECTIONS: u64 = 10;
/// The time around the close of idle connections in which the requests are sent, after the SIGTERM.
const FIRST_SEND: Duration = Duration::from_millis(2_000);
const SEND_INTERVAL: Duration = Duration::from_millis(100);

impl Soak {
    /// Terminates an entry while connections that have been idle send a request each, over a link that holds bytes back.
    /// Each request must be answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the link cannot be set up.
    pub(crate) async fn terminate_behind_held_link(
        &mut self,
        entry: usize,
        hold: Duration,
    ) -> io::Result<()> {
        let target = self.fleet.entry_address(entry as u8);
        let link = Proxy::start(SocketAddr::new(target.ip(), 0), target).await?;
        link.set_mode(ProxyMode::Delayed {
            delay_ms: hold.as_millis() as u64,
        });
        let (key, account) = USUAL_KEY;
        let mut connections = Vec::new();
        for number in 0..CONNECTIONS {
            let mut connection = Connection::open(link.address()).await;
            let id = format!("held-{entry}-{number}-{}", link.address().port());
            self.fleet.ledger.record_owner(&id, account);
            connection.send(&lookup(&id, Some(key))).await;
            connections.push(connection);
        }
        for connection in &mut connections {
            // Other faults may last, so that any answer will do.
            connection.status().await;
        }
        self.fleet.signal(entry, "TERM");
        let terminated_at = Instant::now();
        let mut tasks = Vec::new();
        for (number, connection) in connections.into_iter().enumerate() {
            let send_at = terminated_at + FIRST_SEND + SEND_INTERVAL * number as u32;
            let id = format!("late-{entry}-{number}-{}", link.address().port());
            let ledger = self.fleet.ledger.clone();
            ledger.record_owner(&id, account);
            tasks.push(tokio::spawn(send_late(connection, id, send_at, ledger)));
        }
        for task in tasks {
            task.await?;
        }
        Ok(())
    }
}

async fn send_late(mut connection: Connection, id: String, send_at: Instant, ledger: Ledger) {
    let (key, _) = USUAL_KEY;
    sleep_until(send_at).await;
    if connection.has_ended().await {
        return;
    }
    connection.send(&lookup(&id, Some(key))).await;
    if connection.status().await.is_none() {
        ledger.record_violation("requests around a termination are answered", id);
    }
    // The entry reads the end of the connection before the link is gone.
    sleep(SEND_INTERVAL).await;
}
