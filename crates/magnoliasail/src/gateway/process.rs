//! Startup and shutdown of the entry and agent processes on the platform.

use {
    super::{agent, entry, phase::Phase},
    crate::events::{EventId, LogFormat, emit, start_stdout_logging},
    magnoliasail_platform::settings::{NodeSettings, SETTINGS_VARIABLE},
    std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration},
    tokio::{
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::LocalSet,
        time::timeout,
    },
};

/// Part of the grace period that draining leaves unused, so that the process exits before SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time at the end of the drain for responses to requests that can't be served any more.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Runs an entry on the platform until a signal stops it.
pub(crate) fn run_platform_entry(settings: Option<PathBuf>) -> ExitCode {
    run("entry", settings, entry::run)
}

/// Runs an agent on the platform until a signal stops it.
pub(crate) fn run_platform_agent(settings: Option<PathBuf>) -> ExitCode {
    run("agent", settings, agent::run)
}

fn run<F, R>(role: &'static str, path: Option<PathBuf>, serve: F) -> ExitCode
where
    F: FnOnce(Rc<NodeSettings>, watch::Receiver<Phase>) -> R,
    R: Future<Output = Result<(), String>> + 'static,
{
    const EXIT_FAILURE: u8 = 1;
    const EXIT_USAGE_ERROR: u8 = 2;
    start_stdout_logging(LogFormat::Json);
    let settings = match read_settings(path) {
        Ok(settings) => Rc::new(settings),
        Err(error) => {
            eprintln!("magnoliasail: {error}");
            return ExitCode::from(EXIT_USAGE_ERROR);
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "magnoliasail: cannot create the async runtime: {error}; raise the process's limits"
            );
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let grace = Duration::from_millis(settings.grace_ms).saturating_sub(GRACE_MARGIN);
    let server = serve(Rc::clone(&settings), phase);
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async move {
        emit(
            EventId::Started,
            format_args!("role={role} vm={}", settings.vm_name),
        );
        let mut server = tokio::task::spawn_local(server);
        tokio::select! {
            result = &mut server => return result.unwrap_or_else(|error| Err(error.to_string())),
            () = wait_for_stop_signal() => {}
        }
        emit(
            EventId::DrainStarted,
            format_args!("role={role} grace_ms={}", grace.as_millis()),
        );
        phase_sender.send_replace(Phase::Draining);
        let drain_time = grace.saturating_sub(LAST_RESPONSES_TIME);
        if let Ok(result) = timeout(drain_time, &mut server).await {
            return result.unwrap_or_else(|error| Err(error.to_string()));
        }
        phase_sender.send_replace(Phase::Stopping);
        match timeout(LAST_RESPONSES_TIME, server).await {
            Ok(result) => result.unwrap_or_else(|error| Err(error.to_string())),
            Err(_) => Ok(()),
        }
    });
    if result.is_ok() {
        emit(EventId::DrainFinished, format_args!("role={role}"));
    }
    // What ends with the process may leave a last line.
    drop(local);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("magnoliasail: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn read_settings(path: Option<PathBuf>) -> Result<NodeSettings, String> {
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            format!("no settings file given; pass its path, or set {SETTINGS_VARIABLE}")
        })?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| format!("{} cannot be read: {error}; check the path", path.display()))?;
    NodeSettings::parse(&text).map_err(|error| error.to_string())
}

/// Waits for SIGTERM or SIGINT. SIGHUP is logged and has no other effect: no setting can change at
/// run time.
async fn wait_for_stop_signal() {
    let listen = |kind| signal(kind).ok();
    let (Some(mut terminate), Some(mut interrupt), Some(mut hangup)) = (
        listen(SignalKind::terminate()),
        listen(SignalKind::interrupt()),
        listen(SignalKind::hangup()),
    ) else {
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            () = received(&mut terminate) => return,
            () = received(&mut interrupt) => return,
            () = received(&mut hangup) => {
                emit(EventId::Reloaded, "no setting can change at run time; nothing was reloaded");
            }
        }
    }
}

async fn received(signal: &mut Signal) {
    let _ = signal.recv().await;
}
