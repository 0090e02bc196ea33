//! The command `standin`: a fake of an outside system as a process of its own.

use {
    super::{bad_usage, failed, read},
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

/// Runs a stand-in
#[derive(Clone, Debug, Bpaf)]
pub struct StandinCommand {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// engine, service, config, weights or vms
    #[bpaf(positional("KIND"))]
    kind: StandinKind,
}

/// A kind of stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(super) enum StandinKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The configuration service.
    Config,
    /// The weight store.
    Weights,
    /// The list of VMs.
    Vms,
}

impl StandinCommand {
    pub(super) fn run(self) -> ExitCode {
        let text = match self.settings.as_deref().map(read).transpose() {
            Ok(text) => text.unwrap_or_default(),
            Err(error) => return bad_usage(error),
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
        Err(error) => return bad_usage(error),
    };
    let (address, server) = create(settings);
    run_async(async {
        let listener = match bind(&address).await {
            Ok(listener) => listener,
            Err(error) => return failed(format!("{address} cannot be listened on: {error}")),
        };
        if let Ok(address) = listener.local_addr() {
            let url = format!("http://{address}");
            println!("{}", json!({ "event": "started", "url": url }));
        }
        serve(listener, Arc::new(server)).await;
        ExitCode::SUCCESS
    })
}
