//! Load reports.

use {
    super::{Agent, AgentAction},
    crate::{
        AdapterRef, TimeMs,
        message::{Adapter, LoadReport},
    },
    std::collections::BTreeSet,
};

/// What has been reported and what has happened since.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportState {
    sent_ms: TimeMs,
    sent: LoadReport,
    residents: BTreeSet<AdapterRef>,
    store_refusals: u32,
    loads: u32,
    stalled_ms: u64,
    is_cold: bool,
}

impl ReportState {
    pub(super) fn store_refused(&mut self) {
        self.store_refusals += 1;
    }

    pub(super) const fn load_completed(&mut self) {
        self.loads += 1;
    }

    pub(super) const fn stalled(&mut self, stall_ms: u64) {
        self.stalled_ms += stall_ms;
    }

    pub(super) fn server_restarted(&mut self) {
        self.is_cold = true;
    }
}

impl Agent {
    /// Returns the load without the slots' contents.
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

    /// Returns the load with all that the slots hold.
    pub(super) fn full_report(&self) -> LoadReport {
        LoadReport {
            full: true,
            resident: self.slots.adapters().map(Adapter::from).collect(),
            ..self.brief_report()
        }
    }

    /// Sends what has changed since the last report, at most once per interval.
    pub(super) fn send_reports(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let since_ms = now_ms.saturating_sub(self.report.sent_ms);
        if since_ms < self.settings.report_interval_ms {
            return;
        }
        let brief = self.brief_report();
        let residents: BTreeSet<AdapterRef> = self.slots.adapters().cloned().collect();
        let is_unchanged = brief == self.report.sent
            && residents == self.report.residents
            && self.report.store_refusals == 0;
        if is_unchanged {
            return;
        }
        let victim_uses = self.slots.victim_uses(now_ms);
        let report = LoadReport {
            victim_milli_uses: (victim_uses * 1_000.0) as u32,
            resident: residents
                .difference(&self.report.residents)
                .map(Adapter::from)
                .collect(),
            evicted: self
                .report
                .residents
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
            sent: brief,
            residents,
            ..ReportState::default()
        };
    }
}
