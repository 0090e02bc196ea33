//! Settings of an entry.

use {
    super::{
        LinkSection, SettingsError,
        check::{Ranges, parse},
    },
    magnoliasail_core::{AdmissionSettings, EntrySettings},
    serde::{Deserialize, Serialize},
};

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryFile {
    /// Name of the VM, as the platform's list gives it.
    pub vm: String,
    /// Data centre that holds the VM.
    pub data_centre: String,
    /// Address for callers.
    pub listen: String,
    /// Address for operators.
    pub operator_listen: String,
    /// Base URL of the configuration service.
    pub config_url: String,
    /// Base URL of the list of VMs.
    pub vms_url: String,
    /// Time between readings of the list, in milliseconds.
    pub list_interval_ms: u64,
    /// Longest wait of one watch on the configuration service, in milliseconds.
    pub watch_ms: u64,
    /// Connections from callers.
    pub max_connections: u64,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time for the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which a draining entry still accepts, in milliseconds.
    pub drain_notice_ms: u64,
    /// Requests in flight at most.
    pub max_in_flight: u64,
    /// Requests that may wait per population.
    pub max_queue: u64,
    /// Attempts at one request, the first included.
    pub max_attempts: u64,
    /// Retries that each first attempt earns.
    pub retry_share: f64,
    /// Time for which a lost link may come back, in milliseconds.
    pub resume_window_ms: u64,
    /// Log format, `text` or `json`.
    pub log_format: String,
    /// Log level.
    pub log_level: String,
    /// Links to agents.
    pub link: LinkSection,
}

impl Default for EntryFile {
    fn default() -> Self {
        let core = EntrySettings::default();
        Self {
            vm: "entry".to_owned(),
            data_centre: String::new(),
            listen: "127.0.0.1:0".to_owned(),
            operator_listen: "127.0.0.1:0".to_owned(),
            config_url: String::new(),
            vms_url: String::new(),
            list_interval_ms: 1_000,
            watch_ms: 10_000,
            max_connections: 4_096,
            max_body_bytes: 1 << 20,
            head_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            deadline_ms: 60_000,
            drain_notice_ms: 2_000,
            max_in_flight: core.admission.max_in_flight as u64,
            max_queue: core.admission.max_queue as u64,
            max_attempts: u64::from(core.max_attempts),
            retry_share: core.retry_share,
            resume_window_ms: core.resume_window_ms,
            log_format: "text".to_owned(),
            log_level: "info".to_owned(),
            link: LinkSection::default(),
        }
    }
}

impl EntryFile {
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
        ranges.filled("config_url", &self.config_url);
        ranges.filled("vms_url", &self.vms_url);
        ranges.between("list_interval_ms", self.list_interval_ms, 50, 60_000);
        ranges.between("watch_ms", self.watch_ms, 100, 300_000);
        ranges.between("max_connections", self.max_connections, 1, 1_000_000);
        ranges.between("max_body_bytes", self.max_body_bytes, 1, 64 << 20);
        ranges.between("head_timeout_ms", self.head_timeout_ms, 10, 600_000);
        ranges.between("body_timeout_ms", self.body_timeout_ms, 10, 600_000);
        ranges.between("deadline_ms", self.deadline_ms, 10, 3_600_000);
        ranges.between("drain_notice_ms", self.drain_notice_ms, 0, 600_000);
        ranges.between("max_in_flight", self.max_in_flight, 1, 1_000_000);
        ranges.between("max_queue", self.max_queue, 1, 1_000_000);
        ranges.between("max_attempts", self.max_attempts, 1, 16);
        ranges.between("resume_window_ms", self.resume_window_ms, 100, 600_000);
        self.link.check(&mut ranges);
        ranges.finish()
    }

    /// Returns the settings of the core.
    #[must_use]
    pub fn core_settings(&self) -> EntrySettings {
        EntrySettings {
            admission: AdmissionSettings {
                max_in_flight: self.max_in_flight as usize,
                max_queue: self.max_queue as usize,
            },
            max_attempts: self.max_attempts as u32,
            retry_share: self.retry_share,
            resume_window_ms: self.resume_window_ms,
            ..EntrySettings::default()
        }
    }
}
