//! A TCP relay that can silence its open connections while new ones work.
//!
//! A silenced connection stays open but carries no data, as after the loss of a NAT or firewall
//! state. It is neither closed nor reset, so only a timeout can detect it.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(50);

/// A TCP relay to one target address.
pub(crate) struct Relay {
    /// Address on which the relay accepts connections.
    pub(crate) address: SocketAddr,
    opened: Arc<AtomicU64>,
    /// Number of the last connection that is silenced.
    silenced: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    pub(crate) fn start(target: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let opened = Arc::new(AtomicU64::new(0));
        let silenced = Arc::new(AtomicU64::new(0));
        let relay = Self {
            address,
            opened: Arc::clone(&opened),
            silenced: Arc::clone(&silenced),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(&target) else {
                    continue;
                };
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                for (from, to) in [(&stream, &server), (&server, &stream)] {
                    let from = from.try_clone().expect("a copy");
                    let to = to.try_clone().expect("a copy");
                    let silenced = Arc::clone(&silenced);
                    thread::spawn(move || copy_data(from, to, number, &silenced));
                }
            }
        });
        relay
    }

    /// Silences all connections that are open now, permanently.
    pub(crate) fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silenced.store(opened, Ordering::SeqCst);
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

/// Copies data in one direction until the connection ends. Once the connection is silenced, its
/// data is discarded and its end is not passed on.
fn copy_data(mut from: TcpStream, mut to: TcpStream, number: u64, silenced: &AtomicU64) {
    let mut buffer = [0; 16_384];
    from.set_read_timeout(Some(POLL)).expect("a timeout");
    loop {
        let is_silent = number <= silenced.load(Ordering::SeqCst);
        match from.read(&mut buffer) {
            Ok(0) if !is_silent => break,
            Ok(count) if !is_silent => {
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Ok(0) => thread::sleep(POLL),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
