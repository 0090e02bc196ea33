//! Grants of requests to plain servers that name a rate.
//!
//! A plain server takes its rate from all entries together, and has no agent through which all its
//! requests pass. Entries ask one agent, the same for all, before each request to such a server. The
//! agent remembers nothing but when the server may get the next request, so that any agent can take its
//! place.

use {
    super::{Pacer, RequestRate},
    crate::TimeMs,
    std::collections::HashMap,
};

/// Time after the last question from which a server is forgotten.
const RETENTION_MS: u64 = 60_000;
/// Limit on the servers that are remembered; more than the plain servers of a platform.
const CAPACITY: usize = 4_096;

/// The answer to an entry that asks to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendGrant {
    /// Whether the request may be sent.
    pub is_granted: bool,
    /// The time after which it may be sent, or after which to ask again, in milliseconds.
    pub wait_ms: u64,
}

/// When plain servers that name a rate may get their next requests.
#[derive(Clone, Debug, Default)]
pub struct SendGrants {
    servers: HashMap<u64, GrantedServer>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedServer {
    rate: RequestRate,
    pacer: Pacer,
    asked_ms: TimeMs,
}

impl SendGrants {
    /// Grants a request to the server with this start, or refuses it if it would have to wait for longer
    /// than `max_wait_ms` milliseconds. `rate` is what the server named last, as the entry knows it.
    pub fn ask(
        &mut self,
        server_start: u64,
        rate: RequestRate,
        max_wait_ms: u64,
        now_ms: TimeMs,
    ) -> SendGrant {
        if self.servers.len() >= CAPACITY {
            self.drop_old(now_ms);
        }
        let server = self.servers.entry(server_start).or_insert(GrantedServer {
            rate,
            pacer: Pacer::new(rate, now_ms),
            asked_ms: now_ms,
        });
        server.asked_ms = now_ms;
        if server.rate != rate {
            server.rate = rate;
            server.pacer.drop_saved(now_ms);
        }
        let wait_ms = server.pacer.wait_ms(rate, 0, now_ms);
        let is_granted = wait_ms <= max_wait_ms;
        if is_granted {
            server.pacer.take(rate, now_ms);
        }
        SendGrant {
            is_granted,
            wait_ms,
        }
    }

    /// Drops the times before `before_ms` at which a server could have got requests.
    pub fn drop_saved(&mut self, server_start: u64, before_ms: TimeMs) {
        if let Some(server) = self.servers.get_mut(&server_start) {
            server.pacer.drop_saved(before_ms);
        }
    }

    /// Returns the number of servers that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Forgets servers that nobody has asked for recently, or else the one for which it was longest ago.
    fn drop_old(&mut self, now_ms: TimeMs) {
        self.servers
            .retain(|_, server| now_ms < server.asked_ms + RETENTION_MS);
        if self.servers.len() < CAPACITY {
            return;
        }
        let oldest = self
            .servers
            .iter()
            .min_by_key(|(_, server)| server.asked_ms);
        if let Some(server_start) = oldest.map(|(&server_start, _)| server_start) {
            self.servers.remove(&server_start);
        }
    }
}
