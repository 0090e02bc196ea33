//! Settings of an agent.

use {
    super::{
        LinkSection, SettingsError,
        check::{Ranges, parse},
    },
    magnoliasail_core::AgentSettings,
    serde::{Deserialize, Serialize},
};

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentFile {
    /// Name of the VM, as the platform's list gives it.
    pub vm: String,
    /// Data centre that holds the VM.
    pub data_centre: String,
    /// Address on which entries open links.
    pub listen: String,
    /// Address for operators.
    pub operator_listen: String,
    /// Base URL of the backend server.
    pub server_url: String,
    /// Name of the plain service, empty for a model engine.
    pub service: String,
    /// Slot of the service, empty for a model engine.
    pub slot: String,
    /// Adapter slots of the engine.
    pub adapter_slots: u64,
    /// Requests that the server runs at once.
    pub capacity: u64,
    /// Requests that may wait.
    pub max_queue: u64,
    /// Attempts at one load.
    pub max_load_attempts: u64,
    /// Pause before the second attempt at a load, in milliseconds.
    pub load_backoff_ms: u64,
    /// Longest time for one load, in milliseconds.
    pub load_timeout_ms: u64,
    /// Silence of the server after which a run is given up, in milliseconds.
    pub server_timeout_ms: u64,
    /// Time between checks of the server's health, in milliseconds.
    pub health_interval_ms: u64,
    /// Time for which an answer is retained without a link, in milliseconds.
    pub resume_window_ms: u64,
    /// Records in the job ledger.
    pub max_jobs: u64,
    /// Time between load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_limit_ms: u64,
    /// Log format, `text` or `json`.
    pub log_format: String,
    /// Log level.
    pub log_level: String,
    /// Links from entries.
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
    /// Parses settings; `file` names them in messages.
    ///
    /// # Errors
    ///
    /// Returns every unknown key, or what else cannot be read.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        parse(text, file)
    }

    /// Checks that the settings are complete and in range.
    ///
    /// # Errors
    ///
    /// Returns every value that is missing or out of range.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let mut ranges = Ranges::new(file);
        ranges.filled("vm", &self.vm);
        ranges.filled("server_url", &self.server_url);
        if !self.service.is_empty() {
            ranges.filled("slot", &self.slot);
        }
        ranges.between("adapter_slots", self.adapter_slots, 1, 4_096);
        ranges.between("capacity", self.capacity, 1, 65_536);
        ranges.between("max_queue", self.max_queue, 1, 65_536);
        ranges.between("max_load_attempts", self.max_load_attempts, 1, 100);
        ranges.between("load_backoff_ms", self.load_backoff_ms, 1, 60_000);
        ranges.between("load_timeout_ms", self.load_timeout_ms, 10, 600_000);
        ranges.between("server_timeout_ms", self.server_timeout_ms, 10, 600_000);
        ranges.between("health_interval_ms", self.health_interval_ms, 10, 60_000);
        ranges.between("resume_window_ms", self.resume_window_ms, 100, 600_000);
        ranges.between("max_jobs", self.max_jobs, 1, 10_000_000);
        ranges.between("report_interval_ms", self.report_interval_ms, 10, 60_000);
        ranges.between("drain_limit_ms", self.drain_limit_ms, 0, 86_400_000);
        self.link.check(&mut ranges);
        ranges.finish()
    }

    /// Returns the settings of the core.
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
