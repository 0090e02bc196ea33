//! Keeps a stream at the software version that began it.
//!
//! What servers of two software versions write does not fit together. The version is recorded with the
//! stream's first event; the caller's later requests that resume the stream are restricted to it.

use {
    super::{
        dispatch::Dispatch,
        in_flight::InFlightGuard,
        origin_lookup::{SoughtStream, find_origin, log_lookup, replicate_origin},
        refusal::{Refusal, RefusalCause},
    },
    magnoliasail_core::gateway::{RequestMetadata, RouteMatch, StreamOrigins, VersionConstraint},
    tokio::time::Instant,
};

impl Dispatch {
    /// Restricts a request that resumes a stream to the software version that began the stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this version is unknown, or no server has it.
    pub(super) async fn restrict_to_origin(&mut self) -> Result<(), Refusal> {
        let metadata = &self.outgoing.metadata;
        if !self.outgoing.needs_known_version() || metadata.resumes.is_none() {
            return Ok(());
        }
        let Some(key) = metadata.stream_key() else {
            return Ok(());
        };
        let started_at = Instant::now();
        let stream = SoughtStream {
            service: &self.route.service,
            key,
            max_age_ms: max_stream_age_ms(&self.route, metadata),
        };
        let lookup = find_origin(&self.state, stream).await;
        log_lookup(&self.state, metadata, stream, &lookup, started_at);
        let Some(version) = lookup.version else {
            let retry_after_ms = lookup.known_in_ms.unwrap_or(u64::MAX);
            return Err(self.refusal(RefusalCause::VersionUnknown, retry_after_ms));
        };
        self.version = version;
        let has_server = self
            .state
            .has_eligible_server(&self.route.service, &self.version);
        if !has_server {
            let cause = self
                .state
                .no_server_cause(&self.route.service, &self.version);
            return Err(self.refusal(cause, u64::MAX));
        }
        Ok(())
    }

    /// Records which software version began the stream, as its first event is forwarded. From now on
    /// only servers of this version may go on with it.
    pub(super) fn record_origin(&mut self, server: &InFlightGuard) {
        let Some(origin) = self.outgoing.origin(server.software_version()) else {
            return;
        };
        self.version = VersionConstraint::from(&origin);
        // The agent of another attempt may have recorded the version of its own engine.
        for tried in self.tried.iter().filter(|tried| *tried != server.server()) {
            if let Some(link) = self.state.link_to(tried) {
                link.remember_origin(origin.clone());
            }
        }
        let now_ms = self.state.clock.now_ms();
        let only_version = self
            .state
            .versions
            .borrow()
            .only_version(&self.route.service, now_ms);
        if only_version.is_none() {
            replicate_origin(&self.state, &origin, server.server(), &self.tried);
        }
        self.state.origins.borrow_mut().record(&origin, now_ms);
    }

    /// Sends the origin of a stream that ended early to agents of other VMs, as the caller may resume
    /// it at another entry.
    pub(super) fn replicate_aborted_origin(&self, server: &InFlightGuard) {
        if let Some(origin) = self.outgoing.origin(server.software_version()) {
            replicate_origin(&self.state, &origin, server.server(), &self.tried);
        }
    }
}

/// Returns the longest time since a stream that a request resumes can have begun, in milliseconds. A caller resumes
/// it within its time limit, but need not say how much of that is left.
fn max_stream_age_ms(route: &RouteMatch, metadata: &RequestMetadata) -> u64 {
    let limit_ms = metadata.deadline_ms.unwrap_or(StreamOrigins::RETENTION_MS);
    limit_ms
        .max(route.timeout_ms)
        .min(StreamOrigins::RETENTION_MS)
}
