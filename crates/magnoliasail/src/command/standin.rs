//! The command `standin`: runs a stand-in for an external system as a separate process.

use {
    super::{read_file, report_failure, report_usage_error},
    crate::supervisor::run_async,
    bpaf::Bpaf,
    magnoliasail_standin::{
        ConfigSettings, ConfigStandin, EngineSettings, EngineStandin, Server, ServiceSettings,
        ServiceStandin, VmsSettings, VmsStandin, WeightsSettings, WeightsStandin, bind, serve,
    },
    serde::de::DeserializeOwned,
    serde_json::json,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
    strum::EnumString,
};

/// Options of the standin command
#[derive(Clone, Debug, Bpaf)]
pub struct StandinCommand {
    /// Settings file; default settings without it
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Kind of stand-in: engine, service, config, weights or vms
    #[bpaf(positional("KIND"))]
    kind: StandinKind,
}

/// External system that a stand-in replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(super) enum StandinKind {
    /// An inference engine that loads adapters.
    Engine,
    /// A plain HTTP service that runs jobs.
    Service,
    /// The configuration service, which publishes the table.
    Config,
    /// The weight store, from which engines load adapters.
    Weights,
    /// The service that lists the VMs.
    Vms,
}

impl StandinCommand {
    pub(super) fn run(self) -> ExitCode {
        let text = match self.settings.as_deref().map(read_file).transpose() {
            Ok(text) => text.unwrap_or_default(),
            Err(error) => return report_usage_error(error),
        };
        match self.kind {
            StandinKind::Engine => start(&text, |settings: EngineSettings| {
                (settings.listen.clone(), EngineStandin::new(settings))
            }),
            StandinKind::Service => start(&text, |settings: ServiceSettings| {
                (settings.listen.clone(), ServiceStandin::new(settings))
            }),
            StandinKind::Config => start(&text, |settings: ConfigSettings| {
                (settings.listen.clone(), ConfigStandin::new(settings))
            }),
            StandinKind::Weights => start(&text, |settings: WeightsSettings| {
                (settings.listen.clone(), WeightsStandin::new(settings))
            }),
            StandinKind::Vms => start(&text, |settings: VmsSettings| {
                (settings.listen.clone(), VmsStandin::new(settings))
            }),
        }
    }
}

fn start<T, S, F>(text: &str, create: F) -> ExitCode
where
    T: DeserializeOwned,
    S: Server,
    F: FnOnce(T) -> (String, S),
{
    let settings = match toml::from_str(text) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(error),
    };
    let (address, server) = create(settings);
    run_async(async {
        let listener = match bind(&address).await {
            Ok(listener) => listener,
            Err(error) => {
                return report_failure(format!(
                    "cannot listen on {address}: {error}; check `listen`"
                ));
            }
        };
        if let Ok(address) = listener.local_addr() {
            let url = format!("http://{address}");
            println!("{}", json!({ "event": "started", "url": url }));
        }
        serve(listener, Arc::new(server)).await;
        ExitCode::SUCCESS
    })
}
