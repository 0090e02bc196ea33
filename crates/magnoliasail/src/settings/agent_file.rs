//! The settings file of an agent.

use {
    super::{
        LinkSection, SettingsError,
        check::{SettingsCheck, parse},
    },
    magnoliasail_core::AgentSettings,
    serde::{Deserialize, Serialize},
};

/// Contents of the settings file of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentFile {
    /// Name of the VM, as in the platform's list of VMs.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address on which the agent accepts links from entries.
    pub listen: String,
    /// Address of the operators' HTTP interface.
    pub operator_listen: String,
    /// Base URL of the backend server that the agent runs requests on.
    pub server_url: String,
    /// Name of the plain service, empty for a model engine.
    pub service: String,
    /// Roster slot of the plain service, empty for a model engine.
    pub slot: String,
    /// Number of adapter slots of the engine; ignored for a plain service.
    pub adapter_slots: u64,
    /// Requests that the server runs concurrently.
    pub capacity: u64,
    /// Requests that may wait in the agent's queue.
    pub max_queue: u64,
    /// Attempts at one load before the requests that wait for it are refused.
    pub max_load_attempts: u64,
    /// Backoff before the second attempt at a load, in milliseconds; doubles with each further one.
    pub load_backoff_ms: u64,
    /// Timeout of one attempt at a load, in milliseconds.
    pub load_timeout_ms: u64,
    /// Timeout for the server's response head, for the next part of a streamed response and for the
    /// rest of any other response, in milliseconds.
    pub server_timeout_ms: u64,
    /// Interval between checks of the server's health, in milliseconds.
    pub health_interval_ms: u64,
    /// Time for which a run and its response are kept after the loss of their link, in milliseconds.
    pub resume_window_ms: u64,
    /// Maximum number of records in the job ledger.
    pub max_jobs: u64,
    /// Minimum time between load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Longest time that a drain waits for accepted requests, in milliseconds.
    pub drain_limit_ms: u64,
    /// Log format, `text` or `json`.
    pub log_format: String,
    /// Least severe level that is logged, for example `info`.
    pub log_level: String,
    /// Keys and timings of the links from entries.
    pub link: LinkSection,
}

impl Default for AgentFile {
    fn default() -> Self {
        let core = AgentSettings::default();
        Self {
            vm: "agent".to_owned(),
            data_centre: String::new(),
            listen: "127.0.0.1:0".to_owned(),
            operator_listen: "127.0.0.1:0".to_owned(),
            server_url: String::new(),
            service: String::new(),
            slot: String::new(),
            adapter_slots: core.adapter_slots as u64,
            capacity: core.capacity as u64,
            max_queue: core.max_queue as u64,
            max_load_attempts: u64::from(core.max_load_attempts),
            load_backoff_ms: core.load_backoff_ms,
            load_timeout_ms: 20_000,
            server_timeout_ms: 20_000,
            health_interval_ms: 500,
            resume_window_ms: core.resume_window_ms,
            max_jobs: core.max_jobs as u64,
            report_interval_ms: core.report_interval_ms,
            drain_limit_ms: 600_000,
            log_format: "text".to_owned(),
            log_level: "info".to_owned(),
            link: LinkSection::default(),
        }
    }
}

impl AgentFile {
    /// Parses the text of a settings file; `file` names the file in error messages.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, all unknown keys, or the first value that does not fit its key.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        parse(text, file)
    }

    /// Checks that all required settings are present and all values are in range.
    ///
    /// `file` names the file in error messages.
    ///
    /// # Errors
    ///
    /// Returns all values that are missing or out of range.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let mut check = SettingsCheck::new(file);
        check.require_filled("vm", &self.vm);
        check.require_filled("server_url", &self.server_url);
        if !self.service.is_empty() {
            check.require_filled("slot", &self.slot);
        }
        check.require_range("adapter_slots", self.adapter_slots, 1, 4_096);
        check.require_range("capacity", self.capacity, 1, 65_536);
        check.require_range("max_queue", self.max_queue, 1, 65_536);
        check.require_range("max_load_attempts", self.max_load_attempts, 1, 100);
        check.require_range("load_backoff_ms", self.load_backoff_ms, 1, 60_000);
        check.require_range("load_timeout_ms", self.load_timeout_ms, 10, 600_000);
        check.require_range("server_timeout_ms", self.server_timeout_ms, 10, 600_000);
        check.require_range("health_interval_ms", self.health_interval_ms, 10, 60_000);
        check.require_range("resume_window_ms", self.resume_window_ms, 100, 600_000);
        check.require_range("max_jobs", self.max_jobs, 1, 10_000_000);
        check.require_range("report_interval_ms", self.report_interval_ms, 10, 60_000);
        check.require_range("drain_limit_ms", self.drain_limit_ms, 0, 86_400_000);
        self.link.check(&mut check);
        check.finish()
    }

    /// Returns the part of the settings that configures the core.
    #[must_use]
    pub fn core_settings(&self) -> AgentSettings {
        let is_service = !self.service.is_empty();
        AgentSettings {
            vm: self.vm.as_str().into(),
            service: self.service.as_str().into(),
            slot: self.slot.as_str().into(),
            adapter_slots: if is_service {
                0
            } else {
                self.adapter_slots as usize
            },
            capacity: self.capacity as usize,
            max_queue: self.max_queue as usize,
            max_load_attempts: self.max_load_attempts as u32,
            load_backoff_ms: self.load_backoff_ms,
            resume_window_ms: self.resume_window_ms,
            max_jobs: self.max_jobs as usize,
            report_interval_ms: self.report_interval_ms,
            ..AgentSettings::default()
        }
    }
}
