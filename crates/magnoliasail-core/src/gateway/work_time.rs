//! How long work takes at a server at the moment, beside its usual time.
//!
//! Servers share their VMs with others. Some say in their responses how long work takes, in percent of what
//! is usual for their service. The lasting part of it is the server's own speed; the rest passes within a
//! second, so that it counts only while it is fresh.

use crate::TimeMs;

/// Time after which a statement says nothing about the present any more.
const FRESH_MS: u64 = 500;
/// Part by which the usual time follows statements above it. Statements below it count at once, since others
/// on the VM only make work longer.
const RISE_WEIGHT: f64 = 0.005;

/// What a server has said about the time that work takes, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    stated: Option<Stated>,
}

#[derive(Clone, Copy, Debug)]
struct Stated {
    usual_percent: f64,
    current_percent: f64,
    stated_ms: TimeMs,
}

impl WorkTime {
    /// Records a statement of the server.
    pub fn record(&mut self, percent: u32, now_ms: TimeMs) {
        let percent = f64::from(percent.max(1));
        let usual_percent = match self.stated {
            Some(stated) if percent > stated.usual_percent => {
                stated.usual_percent + RISE_WEIGHT * (percent - stated.usual_percent)
            }
            _ => percent,
        };
        self.stated = Some(Stated {
            usual_percent,
            current_percent: percent,
            stated_ms: now_ms,
        });
    }

    /// Returns how many times longer than usual for this server work takes now; 1 if nothing fresh is known.
    #[must_use]
    pub fn slowdown(&self, now_ms: TimeMs) -> f64 {
        self.fresh(now_ms).map_or(1.0, |stated| {
            (stated.current_percent / stated.usual_percent).max(1.0)
        })
    }

    /// Returns the time that work takes now, in percent of what is usual for the service, or that which is
    /// usual for the server if nothing fresh is known.
    #[must_use]
    pub fn percent(&self, now_ms: TimeMs) -> f64 {
        const UNSTATED_PERCENT: f64 = 100.0;
        let fresh = self.fresh(now_ms).map(|stated| stated.current_percent);
        fresh
            .or_else(|| Some(self.stated?.usual_percent))
            .unwrap_or(UNSTATED_PERCENT)
    }

    fn fresh(&self, now_ms: TimeMs) -> Option<Stated> {
        self.stated
            .filter(|stated| now_ms < stated.stated_ms + FRESH_MS)
    }
}
