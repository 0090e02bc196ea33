//! The commands `entry` and `agent`: a daemon that ends on a signal.

use {
    super::{bad_usage, failed, read},
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

const HURRIED: i32 = 1;

/// Runs an entry until a signal ends it.
pub(super) fn entry(path: &Path) -> ExitCode {
    let file = path.display().to_string();
    let settings = match read(path).and_then(|text| {
        let settings = EntryFile::parse(&text, &file).map_err(|error| error.to_string())?;
        settings.check(&file).map_err(|error| error.to_string())?;
        Ok(settings)
    }) {
        Ok(settings) => settings,
        Err(error) => return bad_usage(error),
    };
    start_logs(&settings.log_format, &settings.log_level);
    match entry::start(&settings) {
        Ok(handle) => {
            announce("entry", handle.address, handle.operator_address);
            run_async(until_signal(handle.drain()))
        }
        Err(error) => failed(error),
    }
}

/// Runs an agent until a signal ends it.
pub(super) fn agent(path: &Path) -> ExitCode {
    let file = path.display().to_string();
    let settings = match read(path).and_then(|text| {
        let settings = AgentFile::parse(&text, &file).map_err(|error| error.to_string())?;
        settings.check(&file).map_err(|error| error.to_string())?;
        Ok(settings)
    }) {
        Ok(settings) => settings,
        Err(error) => return bad_usage(error),
    };
    start_logs(&settings.log_format, &settings.log_level);
    match agent::start(&settings) {
        Ok(handle) => {
            announce("agent", handle.address, handle.operator_address);
            run_async(until_signal(handle.drain()))
        }
        Err(error) => failed(error),
    }
}

fn start_logs(format: &str, level: &str) {
    start_stderr_logging(format.parse().unwrap_or(LogFormat::Text), level);
}

/// Prints the addresses that a daemon got, for scripts that let the system choose.
fn announce(role: &str, address: SocketAddr, operator_address: SocketAddr) {
    let line = json!({
        "event": "started",
        "role": role,
        "address": address.to_string(),
        "operator_url": format!("http://{operator_address}"),
    });
    println!("{line}");
}

/// Waits for a signal and drains; a second signal ends the process at once.
pub(super) async fn until_signal<F: Future<Output = ()>>(drain: F) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return failed("signals cannot be received");
    };
    either(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = drain => ExitCode::SUCCESS,
        () = either(&mut terminate, &mut interrupt) => {
            emit(EventId::DrainHurried, "second signal");
            std::process::exit(HURRIED);
        }
    }
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
