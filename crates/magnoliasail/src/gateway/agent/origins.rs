//! Remembers which software version began each stream, and which versions entries have listed.
//!
//! An entry that has just started knows neither, and asks the agents.

use {
    super::state::{AgentState, LinkId},
    magnoliasail_core::gateway::message::{
        OriginAnswer, ServiceVersions, StreamOrigin, ToEntryKind,
    },
};

impl AgentState {
    /// Remembers which software version began a stream whose first event an entry forwards.
    pub(super) fn remember_origin(&self, origin: &StreamOrigin) {
        let now_ms = self.clock.now_ms();
        self.origins.borrow_mut().record(origin, now_ms);
    }

    /// Remembers that the engine has made the first event of a stream.
    pub(super) fn remember_begun(&self, origin: &StreamOrigin) {
        let now_ms = self.clock.now_ms();
        self.origins.borrow_mut().record_begun(origin, now_ms);
    }

    /// Remembers which software versions an entry has listed for a service.
    pub(super) fn add_versions(&self, versions: &ServiceVersions) {
        let now_ms = self.clock.now_ms();
        self.versions.borrow_mut().add(versions, now_ms);
    }

    /// Answers an entry's query for the origin of a stream.
    pub(super) fn answer_origin(&self, link: LinkId, key: u64) {
        let now_ms = self.clock.now_ms();
        let record = self.origins.borrow().get(key, now_ms);
        let versions = self.versions.borrow().snapshot(now_ms);
        let answer = OriginAnswer::new(key, record, versions);
        self.send(link, ToEntryKind::Origin(answer));
    }

    /// Tells an entry which software versions services have had.
    pub(super) fn send_versions(&self, link: LinkId) {
        let known = self.versions.borrow().snapshot(self.clock.now_ms());
        for versions in known {
            self.send(link, ToEntryKind::Versions(versions));
        }
    }
}
