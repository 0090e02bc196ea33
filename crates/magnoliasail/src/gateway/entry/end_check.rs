//! Whether a plain server was alive after the end of a response without a length or chunks.
//!
//! Such a response ends with its connection, and the crash of its server ends it in the same way. A health check
//! that is sent after the end tells them apart.

use {
    super::{
        attempt::OutgoingRequest,
        state::{EntryState, PickedServer},
    },
    crate::{
        events::{EventId, emit},
        gateway::pool::{SendError, ServerResponse},
    },
    hyper::Method,
    magnoliasail_core::gateway::{Ineligibility, VersionConstraint},
    magnoliasail_platform::headers,
    std::{rc::Rc, sync::Arc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, timeout},
};

/// Longest wait for the answer to a health check.
const MAX_WAIT: Duration = Duration::from_millis(1_100);
/// Largest body of the answer to a health check for which its connection is kept.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Longest time until the end of that body.
const MAX_BODY_TIME: Duration = Duration::from_millis(500);

/// Checks the end of one response of a plain server.
pub(super) struct EndCheck {
    state: Rc<EntryState>,
    pick: PickedServer,
    outgoing: Rc<OutgoingRequest>,
}

/// What is known of a plain server after the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum EndEvidence {
    /// The process that sent the response has answered on another of its connections.
    SameProcess,
    /// A server with its id has answered on a new connection.
    SameId,
    /// No server is reached any more.
    Gone,
    /// Nothing shows whether the server is alive.
    Unproven,
}

impl EndEvidence {
    /// Returns whether the response is complete.
    pub(super) const fn is_complete(self) -> bool {
        matches!(self, Self::SameProcess | Self::SameId)
    }
}

impl EndCheck {
    pub(super) const fn new(
        state: Rc<EntryState>,
        pick: PickedServer,
        outgoing: Rc<OutgoingRequest>,
    ) -> Self {
        Self {
            state,
            pick,
            outgoing,
        }
    }

    /// Returns whether the end of a response says nothing about whether it is complete.
    pub(super) fn is_needed(&self, response: &ServerResponse) -> bool {
        self.outgoing.method != Method::HEAD && !response.is_framed()
    }

    /// Finds out whether the server is alive after a response that has just ended.
    pub(super) async fn run(&self) -> EndEvidence {
        let ended_at = Instant::now();
        let evidence = timeout(MAX_WAIT, self.evidence(ended_at)).await;
        let evidence = evidence.unwrap_or(EndEvidence::Unproven);
        emit(
            EventId::UnframedEnd,
            format_args!(
                "request={} server={} evidence={evidence} complete={} waited_ms={}",
                self.outgoing.metadata.id.as_deref().unwrap_or("-"),
                self.pick.id,
                evidence.is_complete(),
                ended_at.elapsed().as_millis()
            ),
        );
        evidence
    }

    async fn evidence(&self, ended_at: Instant) -> EndEvidence {
        /// Connections that may turn out to be closed, because they had been idle, before a new one is opened.
        const MAX_LOST_CONNECTIONS: usize = 3;
        let Some(path) = self.health_path() else {
            return EndEvidence::Unproven;
        };
        if self.is_paused() {
            return EndEvidence::Unproven;
        }
        let pool = self.state.pool(&self.pick.service, self.pick.address);
        for _ in 0..=MAX_LOST_CONNECTIONS {
            let request =
                headers::health_check(&path, &self.pick.address.to_string(), &self.pick.id);
            return match pool.send(request, None, true).await {
                Err(SendError::ConnectionLost { .. }) => continue,
                Err(error) if error.is_connection_refused() => EndEvidence::Gone,
                Err(_) => EndEvidence::Unproven,
                Ok(response) => self.evidence_of(response, ended_at),
            };
        }
        EndEvidence::Gone
    }

    fn is_paused(&self) -> bool {
        let now_ms = self.state.clock.now_ms();
        let directory = self.state.directory.borrow();
        let checked = directory
            .get(&self.pick.id)
            .map(|server| server.check(&VersionConstraint::Any, now_ms));
        matches!(checked, Some(Err(Ineligibility::Paused { .. })))
    }

    fn health_path(&self) -> Option<Arc<str>> {
        let table = self.state.table.borrow();
        let service = table.service(&self.pick.service)?;
        let path = Arc::clone(&service.health_path);
        (!path.is_empty()).then_some(path)
    }

    /// Returns what the answer to a health check shows, and leaves its connection open for others.
    fn evidence_of(&self, response: ServerResponse, ended_at: Instant) -> EndEvidence {
        let evidence = if response.opened_at() < ended_at {
            EndEvidence::SameProcess
        } else if headers::is_expected_server(response.status) {
            EndEvidence::SameId
        } else {
            EndEvidence::Unproven
        };
        if response.is_framed() {
            let state = Rc::clone(&self.state);
            let server = Arc::clone(&self.pick.id);
            tokio::task::spawn_local(async move {
                let rest = response.discard(MAX_BODY_BYTES, MAX_BODY_TIME).await;
                if let Err(error @ (SendError::Overlong { .. } | SendError::Timeout { .. })) = rest
                {
                    state.metrics.overlong_responses.inc();
                    emit(
                        EventId::ResponseTooLong,
                        format_args!("server={server} to a health check: {error}"),
                    );
                }
            });
        }
        evidence
    }
}
