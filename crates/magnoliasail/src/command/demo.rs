//! The command `demo`: a complete fleet in one process, on loopback addresses.
//!
//! It starts a stand-in for every external system, entries and agents in three data centres, and
//! prints a JSON line with the URLs and API keys once the fleet is ready.

use {
    super::{daemon::drain_on_signal, report_failure},
    crate::{
        agent::{self, AgentHandle},
        entry::{self, EntryHandle},
        events::{LogFormat, start_stderr_logging},
        http::HttpClient,
        settings::{AgentFile, EntryFile, LinkSection},
    },
    bpaf::Bpaf,
    magnoliasail_core::table::{Pages, Table},
    magnoliasail_standin::{
        ConfigSettings, ConfigStandin, EngineSettings, EngineStandin, PageSettings, Server,
        ServiceSettings, ServiceStandin, VmsSettings, VmsStandin, WeightsSettings, WeightsStandin,
        bind, serve,
    },
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write, io, process::ExitCode, sync::Arc, time::Duration},
    strum::{Display, EnumString},
    tokio::time::{Instant, sleep},
};

const DATA_CENTRES: usize = 3;
const ENTRIES_PER_DATA_CENTRE: usize = 2;
const SERVICE_SLOTS: usize = 3;
const ADAPTERS: usize = 48;
const LEASE_MS: u64 = 3_000;
const LIST_INTERVAL_MS: u64 = 500;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const STANDIN_THREADS: usize = 2;

/// Example deployment whose populations and weights a demo uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Profile {
    /// Mostly bulk work; full batches weigh more than load stalls.
    Cooperative,
    /// Mostly urgent work; load stalls weigh more than full batches.
    Sahelis,
}

/// A population in the table of a demo.
struct DemoPopulation {
    name: &'static str,
    key: &'static str,
    share: u32,
    priority: u32,
}

const COOPERATIVE: [DemoPopulation; 3] = [
    DemoPopulation {
        name: "secretaries",
        key: "demo-secretaries",
        share: 5,
        priority: 7,
    },
    DemoPopulation {
        name: "exhibitors",
        key: "demo-exhibitors",
        share: 2,
        priority: 5,
    },
    DemoPopulation {
        name: "catalogues",
        key: "demo-catalogues",
        share: 3,
        priority: 2,
    },
];

const SAHELIS: [DemoPopulation; 3] = [
    DemoPopulation {
        name: "clinics",
        key: "demo-clinics",
        share: 6,
        priority: 9,
    },
    DemoPopulation {
        name: "families",
        key: "demo-families",
        share: 2,
        priority: 5,
    },
    DemoPopulation {
        name: "councils",
        key: "demo-councils",
        share: 2,
        priority: 1,
    },
];

impl Profile {
    const fn populations(self) -> &'static [DemoPopulation; 3] {
        match self {
            Self::Cooperative => &COOPERATIVE,
            Self::Sahelis => &SAHELIS,
        }
    }

    const fn loads_per_s(self) -> f64 {
        match self {
            Self::Cooperative => 7.0,
            Self::Sahelis => 5.0,
        }
    }

    /// Returns the weight of load stalls and the weight of full batches.
    const fn weights(self) -> (f64, f64) {
        match self {
            Self::Cooperative => (1.0, 2.0),
            Self::Sahelis => (2.0, 1.0),
        }
    }
}

/// Options of the demo command
#[derive(Clone, Debug, Bpaf)]
pub struct DemoCommand {
    /// Address on which the first entry accepts callers; a free loopback port by default
    #[bpaf(argument("ADDR"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
    /// Example deployment: cooperative or sahelis
    #[bpaf(argument("PROFILE"), fallback(Profile::Cooperative))]
    profile: Profile,
    /// Number of model engines in the fleet
    #[bpaf(long("runners"), argument("N"), fallback(12))]
    engines: usize,
}

/// The running processes of a demo, and what callers need to use them.
struct Fleet {
    entries: Vec<EntryHandle>,
    agents: Vec<AgentHandle>,
    config_url: String,
    models: Vec<String>,
}

impl DemoCommand {
    pub(super) fn run(self) -> ExitCode {
        start_stderr_logging(LogFormat::Text, "info");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(STANDIN_THREADS)
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(self.serve()),
            Err(error) => report_failure(error),
        }
    }

    async fn serve(self) -> ExitCode {
        let fleet = match self.start().await {
            Ok(fleet) => fleet,
            Err(error) => return report_failure(error),
        };
        if !fleet.wait_until_ready().await {
            return report_failure("the fleet did not become ready; see the logs");
        }
        println!("{}", fleet.ready_line(self.profile));
        drain_on_signal(fleet.drain()).await
    }

    async fn start(&self) -> Result<Fleet, String> {
        let to_text = |error: io::Error| error.to_string();
        let weights_url = start_standin(WeightsStandin::new(WeightsSettings {
            loads_per_s: self.profile.loads_per_s(),
            ..WeightsSettings::default()
        }))
        .await
        .map_err(to_text)?;
        let pages = self.pages();
        let models = model_names(&pages)?;
        let config_url = start_standin(ConfigStandin::new(ConfigSettings {
            pages: pages
                .iter()
                .map(|(name, csv)| PageSettings {
                    name: name.to_string(),
                    csv: csv.to_string(),
                    ..PageSettings::default()
                })
                .collect(),
            ..ConfigSettings::default()
        }))
        .await
        .map_err(to_text)?;

        let mut agents = Vec::new();
        let mut vms = Vec::new();
        for index in 0..self.engines {
            let engine = EngineStandin::new(EngineSettings {
                weights_url: weights_url.clone(),
                ..EngineSettings::default()
            });
            let settings = AgentFile {
                vm: format!("runner-{index}"),
                server_url: start_standin(engine).await.map_err(to_text)?,
                ..agent_settings(index)
            };
            start_agent(&settings, "model", &mut agents, &mut vms)?;
        }
        for index in 0..SERVICE_SLOTS {
            let service = ServiceStandin::new(ServiceSettings::default());
            let settings = AgentFile {
                vm: format!("orders-vm-{index}"),
                server_url: start_standin(service).await.map_err(to_text)?,
                service: "orders".to_owned(),
                slot: format!("orders-{index}"),
                ..agent_settings(index)
            };
            start_agent(&settings, "service", &mut agents, &mut vms)?;
        }
        let entry_names: Vec<String> = (0..DATA_CENTRES * ENTRIES_PER_DATA_CENTRE)
            .map(|index| format!("entry-{index}"))
            .collect();
        for (index, name) in entry_names.iter().enumerate() {
            vms.push(json!({
                "vm": name,
                "role": "entry",
                "address": "",
                "data_centre": data_centre(index),
                "state": "live",
            }));
        }
        let vms_url = start_standin(VmsStandin::new(VmsSettings {
            vms,
            ..VmsSettings::default()
        }))
        .await
        .map_err(to_text)?;
        let mut entries = Vec::new();
        for (index, name) in entry_names.iter().enumerate() {
            let settings = EntryFile {
                vm: name.clone(),
                data_centre: data_centre(index),
                listen: if index == 0 {
                    self.listen.clone()
                } else {
                    "127.0.0.1:0".to_owned()
                },
                config_url: config_url.clone(),
                vms_url: vms_url.clone(),
                list_interval_ms: LIST_INTERVAL_MS,
                watch_ms: 2_000,
                drain_notice_ms: 200,
                link: link_section(),
                ..EntryFile::default()
            };
            entries.push(entry::start(&settings).map_err(|error| error.to_string())?);
        }
        Ok(Fleet {
            entries,
            agents,
            config_url,
            models,
        })
    }

    /// Returns the pages of the table that the demo publishes.
    fn pages(&self) -> Pages {
        let mut adapters = "adapter,version,digest,current\n".to_owned();
        for index in 0..ADAPTERS {
            let _ = writeln!(adapters, "adapter-{index},v1,digest-{index}-1,no");
            let _ = writeln!(adapters, "adapter-{index},v2,digest-{index}-2,yes");
        }
        let mut populations =
            "population,key_sha256,share,priority,max_in_flight,rate_per_s\n".to_owned();
        for population in self.profile.populations() {
            let _ = writeln!(
                populations,
                "{},{},{},{},2000,5000",
                population.name,
                Table::key_hash_hex(population.key),
                population.share,
                population.priority,
            );
        }
        let services = "service,method,path_prefix,repeatable\n\
                        orders,GET,/,yes\n\
                        orders,POST,/,no\n";
        let mut roster = "service,slot,lease_ms,opaque_horizon_ms\n".to_owned();
        for index in 0..SERVICE_SLOTS {
            let _ = writeln!(roster, "orders,orders-{index},{LEASE_MS},10000");
        }
        let (stall_weight, batch_weight) = self.profile.weights();
        let deployment = format!(
            "key,value\nstall_weight,{stall_weight}\nbatch_weight,{batch_weight}\nloads_per_s,{}\n",
            self.profile.loads_per_s(),
        );
        let mut pages = Pages::default();
        pages.insert("adapters", adapters);
        pages.insert("populations", populations);
        pages.insert("services", services);
        pages.insert("roster", roster);
        pages.insert("deployment", deployment);
        pages
    }
}

impl Fleet {
    /// Waits until every entry accepts requests and sees every server, and jobs can run.
    ///
    /// Returns `false` if the entries are not ready within `READY_TIMEOUT`.
    async fn wait_until_ready(&self) -> bool {
        let client = HttpClient::new();
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            let url = format!("http://{}/status", entry.operator_address);
            while !self.sees_all_agents(&client, &url).await || !entry.is_ready() {
                if Instant::now() > deadline {
                    return false;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        // An agent refuses jobs whose keys were created before its lease started, because an
        // earlier incarnation of the agent could have run them.
        let list_lag_ms = 2 * LIST_INTERVAL_MS;
        sleep(Duration::from_millis(LEASE_MS + list_lag_ms)).await;
        true
    }

    /// Returns whether an entry sees every agent live and with a known capacity.
    async fn sees_all_agents(&self, client: &HttpClient, url: &str) -> bool {
        let Ok(status) = client.get::<Value>(url, CALL_TIMEOUT).await else {
            return false;
        };
        let live = status["servers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|server| server["state"] == "live" && server["capacity"] != 0);
        live.count() == self.agents.len()
    }

    fn ready_line(&self, profile: Profile) -> Value {
        let base_urls: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("http://{}/v1", entry.address))
            .collect();
        let operator_urls: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.operator_address)
            .chain(self.agents.iter().map(|agent| agent.operator_address))
            .map(|address| format!("http://{address}"))
            .collect();
        let api_keys: BTreeMap<&str, &str> = profile
            .populations()
            .iter()
            .map(|population| (population.name, population.key))
            .collect();
        json!({
            "event": "ready",
            "base_url": base_urls[0],
            "base_urls": base_urls,
            "operator_urls": operator_urls,
            "api_keys": api_keys,
            "models": self.models,
            "services": ["orders"],
            "config_url": self.config_url,
        })
    }

    async fn drain(self) {
        let entries = self.entries.into_iter().map(EntryHandle::drain);
        futures_util::future::join_all(entries).await;
        let agents = self.agents.into_iter().map(AgentHandle::drain);
        futures_util::future::join_all(agents).await;
    }
}

fn data_centre(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES + 1)
}

fn link_section() -> LinkSection {
    LinkSection {
        key: "demo-link-key".to_owned(),
        ..LinkSection::default()
    }
}

fn agent_settings(index: usize) -> AgentFile {
    AgentFile {
        data_centre: data_centre(index),
        drain_limit_ms: 10_000,
        link: link_section(),
        ..AgentFile::default()
    }
}

/// Starts an agent and adds its row to the list of VMs.
fn start_agent(
    settings: &AgentFile,
    role: &str,
    agents: &mut Vec<AgentHandle>,
    vms: &mut Vec<Value>,
) -> Result<(), String> {
    let handle = agent::start(settings).map_err(|error| error.to_string())?;
    vms.push(json!({
        "vm": settings.vm,
        "role": role,
        "service": settings.service,
        "slot": settings.slot,
        "address": handle.address.to_string(),
        "data_centre": settings.data_centre,
        "state": "live",
    }));
    agents.push(handle);
    Ok(())
}

/// Serves a stand-in on a free loopback port and returns its base URL.
async fn start_standin<S: Server>(standin: S) -> io::Result<String> {
    let listener = bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, Arc::new(standin)));
    Ok(format!("http://{address}"))
}

/// Returns the names of all adapter versions in a table, as callers write them.
fn model_names(pages: &Pages) -> Result<Vec<String>, String> {
    let table = Table::parse(1, pages).map_err(|error| error.to_string())?;
    Ok(table
        .adapters
        .iter()
        .map(|row| row.adapter.model())
        .collect())
}
