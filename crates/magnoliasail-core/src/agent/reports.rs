//! Reports of the agent's load and resident adapters to the entries.
//!
//! A new link gets a full report. Later reports contain the current load, the adapters that became
//! resident or were evicted since the last report, and the counts since then.

use {
    super::{Agent, AgentAction},
    crate::{
        AdapterRef, TimeMs,
        message::{Adapter, LoadReport},
    },
    std::collections::BTreeSet,
};

/// The last report that was sent, and the counts since then.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportState {
    sent_ms: TimeMs,
    sent_load: LoadReport,
    sent_residents: BTreeSet<AdapterRef>,
    store_refusals: u32,
    loads: u32,
    stalled_ms: u64,
    /// Whether the server has restarted since the last report.
    is_cold: bool,
}

impl ReportState {
    pub(super) fn record_store_refusal(&mut self) {
        self.store_refusals += 1;
    }

    pub(super) const fn record_load(&mut self) {
        self.loads += 1;
    }

    pub(super) const fn record_stall(&mut self, stall_ms: u64) {
        self.stalled_ms += stall_ms;
    }

    pub(super) fn record_server_restart(&mut self) {
        self.is_cold = true;
    }
}

impl Agent {
    /// Returns a report of the load without the adapters in the slots.
    pub(super) fn brief_report(&self) -> LoadReport {
        let (running, queued) = self.request_counts();
        LoadReport {
            running: running as u32,
            queued: queued as u32,
            capacity: self.settings.capacity as u32,
            slots: self.slots.len() as u32,
            pinned: self.slots.pinned() as u32,
            loading: self.slots.loading() as u32,
            ..LoadReport::default()
        }
    }

    /// Returns a report of the load with every adapter in the slots.
    pub(super) fn full_report(&self) -> LoadReport {
        LoadReport {
            full: true,
            resident: self.slots.adapters().map(Adapter::from).collect(),
            ..self.brief_report()
        }
    }

    /// Sends the changes since the last report to every link, at most once per report interval.
    pub(super) fn send_reports(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let since_ms = now_ms.saturating_sub(self.report.sent_ms);
        if since_ms < self.settings.report_interval_ms {
            return;
        }
        let brief = self.brief_report();
        let residents: BTreeSet<AdapterRef> = self.slots.adapters().cloned().collect();
        let is_unchanged = brief == self.report.sent_load
            && residents == self.report.sent_residents
            && self.report.store_refusals == 0;
        if is_unchanged {
            return;
        }
        let victim_uses = self.slots.victim_uses(now_ms);
        let report = LoadReport {
            victim_milli_uses: (victim_uses * 1_000.0) as u32,
            resident: residents
                .difference(&self.report.sent_residents)
                .map(Adapter::from)
                .collect(),
            evicted: self
                .report
                .sent_residents
                .difference(&residents)
                .map(Adapter::from)
                .collect(),
            store_refusals: self.report.store_refusals,
            loads: self.report.loads,
            stalled_ms: self.report.stalled_ms,
            cold: self.report.is_cold,
            ..brief.clone()
        };
        self.broadcast(report, actions);
        self.report = ReportState {
            sent_ms: now_ms,
            sent_load: brief,
            sent_residents: residents,
            ..ReportState::default()
        };
    }
}
