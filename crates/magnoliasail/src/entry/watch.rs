//! The worker `watch` of an entry: reads the table and the list of VMs that the platform publishes.
//!
//! Only entries read the platform and forward the table to the agents, so that the number of calls
//! grows with the entries and not with the fleet.

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
const INITIAL_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 5_000;

/// Starts the worker `watch`.
pub(super) fn start(supervisor: &Supervisor, settings: &EntryFile, queue: &QueueSender<Input>) {
    let config_url = settings.config_url.clone();
    let vms_url = settings.vms_url.clone();
    let poll_wait = Duration::from_millis(settings.watch_ms);
    let list_interval = Duration::from_millis(settings.list_interval_ms);
    let queue = queue.clone();
    supervisor.start("watch", move || {
        let client = HttpClient::new();
        let table_watch = TableWatch {
            client: client.clone(),
            url: config_url.clone(),
            poll_wait,
            queue: queue.clone(),
            published: PublishedTable::default(),
        };
        let list_watch = VmListWatch {
            client,
            url: vms_url.clone(),
            interval: list_interval,
            queue: queue.clone(),
        };
        run_async(async {
            tokio::join!(table_watch.run(), list_watch.run());
        });
    });
}

/// The index of the configuration service: the current version and its pages.
#[derive(Debug, Deserialize)]
struct Index {
    version: u64,
    as_of_ms: u64,
    pages: Vec<IndexPage>,
}

/// A page as the index lists it.
#[derive(Debug, Deserialize)]
struct IndexPage {
    name: String,
    digest: u64,
    published_ms: u64,
}

/// A page as the configuration service returns it.
#[derive(Debug, Deserialize)]
struct PageText {
    csv: String,
}

/// Follows the table of the configuration service by long polling.
struct TableWatch {
    client: HttpClient,
    url: String,
    poll_wait: Duration,
    queue: QueueSender<Input>,
    published: PublishedTable,
}

impl TableWatch {
    async fn run(mut self) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            match self.poll().await {
                Ok(()) => backoff_ms = INITIAL_BACKOFF_MS,
                Err(error) => {
                    emit(EventId::ConfigUnreachable, error);
                    sleep(jittered_delay(backoff_ms)).await;
                    backoff_ms = (2 * backoff_ms).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Waits for the next version, or for the confirmation that there is none, and sends it to the
    /// core.
    async fn poll(&mut self) -> Result<(), HttpError> {
        let after = self.published.version;
        let wait_ms = self.poll_wait.as_millis();
        let url = format!("{}/v1/index?after={after}&wait_ms={wait_ms}", self.url);
        let index: Index = self.client.get(&url, self.poll_wait + CALL_TIMEOUT).await?;
        if index.version > after {
            self.published = self.fetch_pages(&index).await?;
        } else {
            self.published.as_of_ms = self.published.as_of_ms.max(index.as_of_ms);
        }
        let is_confirmation = index.version == after;
        let update = if is_confirmation {
            PublishedTable {
                pages: Pages::default(),
                ..self.published.clone()
            }
        } else {
            self.published.clone()
        };
        if index.version >= after {
            self.send_table(update);
        }
        if index.version < after {
            // A stale replica answers without waiting, so polling it again without a delay would
            // flood it.
            sleep(jittered_delay(INITIAL_BACKOFF_MS)).await;
        }
        Ok(())
    }

    /// Fetches the pages whose digests have changed and returns the complete table.
    async fn fetch_pages(&self, index: &Index) -> Result<PublishedTable, HttpError> {
        let mut pages = Pages::default();
        let mut roster_published_ms = 0;
        for page in &index.pages {
            if Pages::kind(&page.name) == "roster" {
                roster_published_ms = roster_published_ms.max(page.published_ms);
            }
            let known_csv = self
                .published
                .pages
                .get_shared(&page.name)
                .filter(|csv| Pages::digest(csv) == page.digest);
            let csv = match known_csv {
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
        let page_text: PageText = self.client.get(&url, CALL_TIMEOUT).await?;
        if Pages::digest(&page_text.csv) != page.digest {
            // The page has changed since the index was read; the next index has its new digest.
            return Err(HttpError::Malformed {
                url,
                cause: "the page does not match the index".to_owned(),
            });
        }
        Ok(page_text.csv.into())
    }

    fn send_table(&self, published: PublishedTable) {
        if self
            .queue
            .try_send(Input::Event(EntryEvent::Table(published)))
            .is_err()
        {
            emit(EventId::RingFull, format_args!("ring=decide from=watch"));
        }
    }
}

/// Polls the list of VMs at a fixed interval.
struct VmListWatch {
    client: HttpClient,
    url: String,
    interval: Duration,
    queue: QueueSender<Input>,
}

impl VmListWatch {
    async fn run(self) {
        loop {
            let url = format!("{}/v1/vms", self.url);
            match self.client.get::<VmList>(&url, CALL_TIMEOUT).await {
                Ok(list) => {
                    // If the queue is full, the next poll replaces the dropped list.
                    let _ = self.queue.try_send(Input::Event(EntryEvent::VmList(list)));
                }
                Err(error) => emit(EventId::ListUnreachable, error),
            }
            sleep(self.interval).await;
        }
    }
}

/// Returns a delay between half and one and a half times the backoff.
fn jittered_delay(backoff_ms: u64) -> Duration {
    let jitter = 0.5 + rand::random::<f64>();
    Duration::from_millis((backoff_ms as f64 * jitter) as u64)
}
