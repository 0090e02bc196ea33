//! The commands `entry` and `agent`: daemons that drain and exit on SIGTERM or SIGINT.

use {
    super::{read_file, report_failure, report_usage_error},
    crate::{
        agent, entry,
        events::{EventId, LogFormat, emit, start_stderr_logging},
        settings::{AgentFile, EntryFile},
        supervisor::run_async,
    },
    serde_json::json,
    std::{net::SocketAddr, path::Path, process::ExitCode},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Exit code after a second signal cut the drain short.
const EXIT_DRAIN_ABORTED: i32 = 1;

/// Runs an entry until a signal starts its drain; returns the exit code.
pub(super) fn entry(path: &Path) -> ExitCode {
    let file = path.display().to_string();
    let settings = match read_file(path).and_then(|text| {
        let settings = EntryFile::parse(&text, &file).map_err(|error| error.to_string())?;
        settings.check(&file).map_err(|error| error.to_string())?;
        Ok(settings)
    }) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(error),
    };
    init_logging(&settings.log_format, &settings.log_level);
    match entry::start(&settings) {
        Ok(handle) => {
            print_started("entry", handle.address, handle.operator_address);
            run_async(drain_on_signal(handle.drain()))
        }
        Err(error) => report_failure(error),
    }
}

/// Runs an agent until a signal starts its drain; returns the exit code.
pub(super) fn agent(path: &Path) -> ExitCode {
    let file = path.display().to_string();
    let settings = match read_file(path).and_then(|text| {
        let settings = AgentFile::parse(&text, &file).map_err(|error| error.to_string())?;
        settings.check(&file).map_err(|error| error.to_string())?;
        Ok(settings)
    }) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(error),
    };
    init_logging(&settings.log_format, &settings.log_level);
    match agent::start(&settings) {
        Ok(handle) => {
            print_started("agent", handle.address, handle.operator_address);
            run_async(drain_on_signal(handle.drain()))
        }
        Err(error) => report_failure(error),
    }
}

fn init_logging(format: &str, level: &str) {
    start_stderr_logging(format.parse().unwrap_or(LogFormat::Text), level);
}

/// Prints the bound addresses as a JSON line, for scripts that let the system choose the ports.
fn print_started(role: &str, address: SocketAddr, operator_address: SocketAddr) {
    let line = json!({
        "event": "started",
        "role": role,
        "address": address.to_string(),
        "operator_url": format!("http://{operator_address}"),
    });
    println!("{line}");
}

/// Waits for SIGTERM or SIGINT, then drains; a second signal exits the process immediately.
pub(super) async fn drain_on_signal<F: Future<Output = ()>>(drain: F) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return report_failure("cannot install the handlers of SIGTERM and SIGINT");
    };
    any_signal(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = drain => ExitCode::SUCCESS,
        () = any_signal(&mut terminate, &mut interrupt) => {
            emit(
                EventId::DrainHurried,
                "second signal; exiting before the drain has finished",
            );
            std::process::exit(EXIT_DRAIN_ABORTED);
        }
    }
}

async fn any_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
