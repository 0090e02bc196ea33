//! The watch duty of an entry: reads what the platform publishes.
//!
//! Only entries read the platform; agents hear it from them, so that the calls grow with the
//! entries and not with the fleet.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        http::{HttpClient, HttpError},
        queue::QueueSender,
        settings::EntryFile,
        supervisor::{Supervisor, run_async},
    },
    magnoliasail_core::{
        VmList,
        entry::EntryEvent,
        table::{Pages, PublishedTable},
    },
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 5_000;

/// Starts the watch duty.
pub(super) fn start(supervisor: &Supervisor, settings: &EntryFile, ring: &QueueSender<Input>) {
    let config_url = settings.config_url.clone();
    let vms_url = settings.vms_url.clone();
    let watch = Duration::from_millis(settings.watch_ms);
    let interval = Duration::from_millis(settings.list_interval_ms);
    let ring = ring.clone();
    supervisor.start("watch", move || {
        let client = HttpClient::new();
        let table = TableWatch {
            client: client.clone(),
            url: config_url.clone(),
            wait: watch,
            ring: ring.clone(),
            offer: PublishedTable::default(),
        };
        let list = ListWatch {
            client,
            url: vms_url.clone(),
            interval,
            ring: ring.clone(),
        };
        run_async(async {
            tokio::join!(table.run(), list.run());
        });
    });
}

/// The index of the configuration service.
#[derive(Debug, Deserialize)]
struct Index {
    version: u64,
    as_of_ms: u64,
    pages: Vec<IndexPage>,
}

#[derive(Debug, Deserialize)]
struct IndexPage {
    name: String,
    digest: u64,
    published_ms: u64,
}

#[derive(Debug, Deserialize)]
struct PageText {
    csv: String,
}

struct TableWatch {
    client: HttpClient,
    url: String,
    wait: Duration,
    ring: QueueSender<Input>,
    offer: PublishedTable,
}

impl TableWatch {
    async fn run(mut self) {
        let mut backoff_ms = FIRST_BACKOFF_MS;
        loop {
            match self.read().await {
                Ok(()) => backoff_ms = FIRST_BACKOFF_MS,
                Err(error) => {
                    emit(EventId::ConfigUnreachable, error);
                    sleep(jittered(backoff_ms)).await;
                    backoff_ms = (2 * backoff_ms).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Waits for the next version, or for the confirmation that there is none.
    async fn read(&mut self) -> Result<(), HttpError> {
        let after = self.offer.version;
        let wait_ms = self.wait.as_millis();
        let url = format!("{}/v1/index?after={after}&wait_ms={wait_ms}", self.url);
        let index: Index = self.client.get(&url, self.wait + CALL_TIMEOUT).await?;
        if index.version > after {
            self.offer = self.fetch(&index).await?;
        } else {
            self.offer.as_of_ms = self.offer.as_of_ms.max(index.as_of_ms);
        }
        let is_confirmation = index.version == after;
        let offer = if is_confirmation {
            PublishedTable {
                pages: Pages::default(),
                ..self.offer.clone()
            }
        } else {
            self.offer.clone()
        };
        if index.version >= after {
            self.push(offer);
        }
        if index.version < after {
            // A stale replica answers at once; asking it again at once would flood it.
            sleep(jittered(FIRST_BACKOFF_MS)).await;
        }
        Ok(())
    }

    /// Reads the pages that have changed.
    async fn fetch(&self, index: &Index) -> Result<PublishedTable, HttpError> {
        let mut pages = Pages::default();
        let mut roster_published_ms = 0;
        for page in &index.pages {
            if Pages::kind(&page.name) == "roster" {
                roster_published_ms = roster_published_ms.max(page.published_ms);
            }
            let known = self
                .offer
                .pages
                .get_shared(&page.name)
                .filter(|csv| Pages::digest(csv) == page.digest);
            let csv = match known {
                Some(csv) => csv,
                None => self.fetch_page(page).await?,
            };
            pages.insert(page.name.as_str(), csv);
        }
        Ok(PublishedTable {
            version: index.version,
            as_of_ms: index.as_of_ms,
            roster_published_ms,
            pages,
        })
    }

    async fn fetch_page(&self, page: &IndexPage) -> Result<Arc<str>, HttpError> {
        let url = format!("{}/v1/pages/{}", self.url, page.name);
        let text: PageText = self.client.get(&url, CALL_TIMEOUT).await?;
        if Pages::digest(&text.csv) != page.digest {
            // The page has moved on; the next reading of the index will name its new digest.
            return Err(HttpError::Malformed {
                url,
                cause: "the page does not match the index".to_owned(),
            });
        }
        Ok(text.csv.into())
    }

    fn push(&self, offer: PublishedTable) {
        if self
            .ring
            .try_send(Input::Event(EntryEvent::Table(offer)))
            .is_err()
        {
            emit(EventId::RingFull, format_args!("ring=decide from=watch"));
        }
    }
}

struct ListWatch {
    client: HttpClient,
    url: String,
    interval: Duration,
    ring: QueueSender<Input>,
}

impl ListWatch {
    async fn run(self) {
        loop {
            let url = format!("{}/v1/vms", self.url);
            match self.client.get::<VmList>(&url, CALL_TIMEOUT).await {
                Ok(list) => {
                    // A list that is lost here is followed by the next.
                    let _ = self.ring.try_send(Input::Event(EntryEvent::VmList(list)));
                }
                Err(error) => emit(EventId::ListUnreachable, error),
            }
            sleep(self.interval).await;
        }
    }
}

fn jittered(backoff_ms: u64) -> Duration {
    let jitter = 0.5 + rand::random::<f64>();
    Duration::from_millis((backoff_ms as f64 * jitter) as u64)
}
