//! The settings file of an entry.

use {
    super::{
        LinkSection, SettingsError,
        check::{SettingsCheck, parse},
    },
    magnoliasail_core::{AdmissionSettings, EntrySettings},
    serde::{Deserialize, Serialize},
};

/// Contents of the settings file of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryFile {
    /// Name of the VM, as in the platform's list of VMs.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of the callers' HTTP interface.
    pub listen: String,
    /// Address of the operators' HTTP interface.
    pub operator_listen: String,
    /// Base URL of the configuration service.
    pub config_url: String,
    /// Base URL of the service that publishes the platform's list of VMs.
    pub vms_url: String,
    /// Interval between reads of the list of VMs, in milliseconds.
    pub list_interval_ms: u64,
    /// Longest time that the configuration service may hold one watch request, in milliseconds.
    pub watch_ms: u64,
    /// Maximum number of open connections from callers; further ones are refused.
    pub max_connections: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a caller must send the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time within which a caller must send the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Default and maximum time for a request until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which a draining entry reports that it is not ready but still accepts requests, in
    /// milliseconds; load balancers stop sending to it meanwhile.
    pub drain_notice_ms: u64,
    /// Number of requests in flight at which further requests are queued.
    pub max_in_flight: u64,
    /// Maximum number of queued requests per population.
    pub max_queue: u64,
    /// Maximum number of attempts at one request, the first included.
    pub max_attempts: u64,
    /// Retries that each first attempt adds to the retry budget, for example 0.1.
    pub retry_share: f64,
    /// Time within which a lost link may be reopened before its attempts fail, in milliseconds.
    pub resume_window_ms: u64,
    /// Log format, `text` or `json`.
    pub log_format: String,
    /// Least severe level that is logged, for example `info`.
    pub log_level: String,
    /// Keys and timings of the links to agents.
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
        check.require_filled("config_url", &self.config_url);
        check.require_filled("vms_url", &self.vms_url);
        check.require_range("list_interval_ms", self.list_interval_ms, 50, 60_000);
        check.require_range("watch_ms", self.watch_ms, 100, 300_000);
        check.require_range("max_connections", self.max_connections, 1, 1_000_000);
        check.require_range("max_body_bytes", self.max_body_bytes, 1, 64 << 20);
        check.require_range("head_timeout_ms", self.head_timeout_ms, 10, 600_000);
        check.require_range("body_timeout_ms", self.body_timeout_ms, 10, 600_000);
        check.require_range("deadline_ms", self.deadline_ms, 10, 3_600_000);
        check.require_range("drain_notice_ms", self.drain_notice_ms, 0, 600_000);
        check.require_range("max_in_flight", self.max_in_flight, 1, 1_000_000);
        check.require_range("max_queue", self.max_queue, 1, 1_000_000);
        check.require_range("max_attempts", self.max_attempts, 1, 16);
        check.require_range("resume_window_ms", self.resume_window_ms, 100, 600_000);
        self.link.check(&mut check);
        check.finish()
    }

    /// Returns the part of the settings that configures the core.
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
