//! Permission to send a request to a plain server that names a rate.
//!
//! The server takes its rate from all entries together. Entries ask the same agent before each such
//! request ([`pick_grant_agent`]); while an entry can ask none, it uses a small share of its own.

use {
    super::{
        attempt::OutgoingRequest,
        state::{EntryState, PickedServer},
    },
    magnoliasail_core::gateway::{
        GrantCandidate, RequestRate, SendGrant, VersionConstraint,
        message::{AskSend, SendAnswer},
        pick_grant_agent, rate_without_agent, server_start_fingerprint,
    },
    std::time::Duration,
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Time for an agent to answer, well above the time between two data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Divides the time left to the objective; a request may wait for the quotient if no server can take it at
/// once.
const MAX_WAIT_DIVISOR: u64 = 4;

impl EntryState {
    /// Waits until a request may be sent to a server, if that is soon; otherwise returns the time after which
    /// to ask again, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the time if the request must not be sent now.
    pub(super) async fn permit_send(
        &self,
        pick: &PickedServer,
        outgoing: &OutgoingRequest,
    ) -> Result<(), u64> {
        if pick.is_engine {
            return Ok(());
        }
        let Some(rate) = self.named_rate(pick) else {
            return Ok(());
        };
        let grant = self
            .ask_send(pick, rate, self.max_wait_ms(pick, outgoing))
            .await;
        if grant.is_granted {
            sleep(Duration::from_millis(grant.wait_ms)).await;
            return Ok(());
        }
        self.postpone_requests(pick, grant.wait_ms);
        Err(grant.wait_ms)
    }

    fn named_rate(&self, pick: &PickedServer) -> Option<RequestRate> {
        self.directory.borrow().get(&pick.id)?.rate()
    }

    /// Returns how long a request may wait for a server: not at all if another one can take it at once.
    fn max_wait_ms(&self, pick: &PickedServer, outgoing: &OutgoingRequest) -> u64 {
        let now_ms = self.clock.now_ms();
        let directory = self.directory.borrow();
        let mut servers = directory.usable(&pick.service, &VersionConstraint::Any, now_ms);
        let has_other = servers.any(|server| server.entry.id != pick.id && server.rate().is_none());
        if has_other {
            return 0;
        }
        outgoing.objective_ms.saturating_sub(now_ms) / MAX_WAIT_DIVISOR
    }

    async fn ask_send(
        &self,
        pick: &PickedServer,
        rate: RequestRate,
        max_wait_ms: u64,
    ) -> SendGrant {
        let server_start = server_start_fingerprint(&pick.id, pick.started_ms);
        let answer = self.question_agent(server_start, rate, max_wait_ms);
        if let Some(answer) = answer
            && let Ok(Ok(answer)) = timeout(ANSWER_TIMEOUT, answer).await
        {
            return SendGrant {
                is_granted: answer.is_granted,
                wait_ms: answer.wait_ms,
            };
        }
        self.grant_without_agent(pick, rate)
    }

    /// Asks the agent that grants requests to this start of a server; returns `None` if none can be asked.
    fn question_agent(
        &self,
        server_start: u64,
        rate: RequestRate,
        max_wait_ms: u64,
    ) -> Option<oneshot::Receiver<SendAnswer>> {
        let links = self.links.borrow();
        let candidates = links.iter().map(|(&vm, link)| GrantCandidate {
            vm,
            is_up: link.is_up(),
        });
        let agent = pick_grant_agent(server_start, rate, candidates.collect())?;
        links.get(&agent.vm)?.ask_send(AskSend {
            question: 0,
            server_start,
            interval_us: agent.rate.interval_us(),
            max_wait_ms,
            view: Some(self.grant_view().into()),
            is_substitute: agent.is_substitute,
        })
    }

    /// Grants a request if the server was not postponed, and postpones it by the interval of this entry's own
    /// share.
    fn grant_without_agent(&self, pick: &PickedServer, rate: RequestRate) -> SendGrant {
        const US_PER_MS: u64 = 1_000;
        let entry_count = self.entry_count().max(self.grant_view().entry_count);
        let share = rate_without_agent(rate, entry_count);
        let interval_ms = share.interval_us().div_ceil(US_PER_MS);
        let now_ms = self.clock.now_ms();
        let is_granted = self
            .directory
            .borrow()
            .get(&pick.id)
            .is_some_and(|server| server.check(&VersionConstraint::Any, now_ms).is_ok());
        if is_granted {
            self.postpone_requests(pick, interval_ms);
        }
        SendGrant {
            is_granted,
            wait_ms: if is_granted { 0 } else { interval_ms },
        }
    }

    fn postpone_requests(&self, pick: &PickedServer, wait_ms: u64) {
        let now_ms = self.clock.now_ms();
        if let Some(server) = self.directory.borrow_mut().get_mut(&pick.id) {
            server.postpone_requests(wait_ms, now_ms);
        }
    }
}
