//! Logs and counts what backend servers announce in their responses.

use {
    super::metrics::{GatewayMetrics, NoticeKind},
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::{
        Announcement, RateChange, RateSource, RateStatement, ServerNotice,
    },
    std::fmt::Display,
};

/// Counts the pause in a notice of `server`, and logs and counts what is new in it.
pub(super) fn record_notice(
    metrics: &GatewayMetrics,
    server: impl Display,
    notice: ServerNotice,
    announcement: Option<Announcement>,
) {
    if let Some(pause) = notice.pause {
        metrics.count_notice(pause.source.into());
    }
    match announcement {
        Some(Announcement::Leaving) => {
            metrics.count_notice(NoticeKind::Leaving);
            emit(EventId::ServerLeaving, format_args!("server={server}"));
        }
        Some(Announcement::Pause { left_ms }) => {
            let source = notice.pause.map_or("-", |pause| pause.source.into());
            emit(
                EventId::ServerPaused,
                format_args!("server={server} left_ms={left_ms} source={source}"),
            );
        }
        None => {}
    }
}

/// Logs and counts a change of the rate that `server` names, and counts what cannot be read.
pub(super) fn record_rate(
    metrics: &GatewayMetrics,
    server: impl Display,
    statement: RateStatement,
    source: RateSource,
    change: Option<RateChange>,
) {
    if statement == RateStatement::Unreadable {
        metrics.count_notice(NoticeKind::RateUnreadable);
    }
    match change {
        Some(RateChange::Named(rate)) => {
            metrics.count_notice(NoticeKind::Rate);
            emit(
                EventId::ServerRateNamed,
                format_args!(
                    "server={server} interval_us={} source={source}",
                    rate.interval_us()
                ),
            );
        }
        Some(RateChange::Lifted) => emit(
            EventId::ServerRateLifted,
            format_args!("server={server} source={source}"),
        ),
        None => {}
    }
}
