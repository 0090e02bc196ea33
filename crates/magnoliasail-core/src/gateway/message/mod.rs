//! The messages on a link between an entry and the agent of a model engine.

mod configuration;
mod fetches;
mod origin;
mod quota;
mod versions;

pub use self::{
    configuration::{AskConfiguration, ConfigurationCopy},
    fetches::{EngineFetches, FetchPermits, PendingFetch, PermitsFetches},
    origin::{OriginAnswer, StreamOrigin},
    quota::{AskQuota, QuotaAnswer},
    versions::{ListedVersion, ServiceVersions},
};

use {
    crate::gateway::GrantView,
    prost::{Message, Oneof, bytes::Bytes},
    std::collections::HashSet,
};

/// A message from an entry.
#[derive(Clone, PartialEq, Message)]
pub struct ToAgent {
    /// The content of the message; absent if the sender uses a kind unknown here.
    #[prost(
        oneof = "ToAgentKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub kind: Option<ToAgentKind>,
}

/// The kinds of [`ToAgent`].
#[derive(Clone, PartialEq, Oneof)]
#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is the usual one"
)]
pub enum ToAgentKind {
    /// Submits a request to run on the engine.
    #[prost(message, tag = "1")]
    Submit(Submit),
    /// Cancels the attempt with this number.
    #[prost(uint64, tag = "2")]
    Cancel(u64),
    /// Asks the agent to remember the origin of a stream whose first event the entry forwards.
    #[prost(message, tag = "3")]
    RememberOrigin(StreamOrigin),
    /// Asks for the origin of the stream with this key.
    #[prost(fixed64, tag = "4")]
    FindOrigin(u64),
    /// Reports the crash of a server that has no agent; the agent passes the report on to all entries.
    #[prost(message, tag = "5")]
    Crash(CrashReport),
    /// Starts or ends a quarantine.
    #[prost(message, tag = "6")]
    Quarantine(QuarantineChange),
    /// Asks to send a request to a plain server that names a rate.
    #[prost(message, tag = "7")]
    AskSend(AskSend),
    /// Asks for units of an account's quota.
    #[prost(message, tag = "8")]
    AskQuota(AskQuota),
    /// Asks for a newer configuration, because the store cannot be read.
    #[prost(message, tag = "9")]
    AskConfiguration(AskConfiguration),
    /// Tells which software versions a service has had recently.
    #[prost(message, tag = "10")]
    Versions(ServiceVersions),
    /// Tells that the entry permits fetches from the weight store.
    #[prost(message, tag = "11")]
    PermitsFetches(PermitsFetches),
    /// Permits fetches from the weight store.
    #[prost(message, tag = "12")]
    FetchPermits(FetchPermits),
    /// Tells an agent that follows views which agents the entry may ask to send requests.
    #[prost(message, tag = "13")]
    View(View),
}

/// Which agents an entry may ask to send requests to plain servers.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct View {
    /// The fingerprint of the agents, see
    /// [`agent_list_fingerprint`](crate::gateway::agent_list_fingerprint).
    #[prost(fixed64, tag = "1")]
    pub agents: u64,
    /// The number of entries, as agents have reported it recently.
    #[prost(uint32, tag = "2")]
    pub entry_count: u32,
}

impl From<GrantView> for View {
    fn from(view: GrantView) -> Self {
        Self {
            agents: view.agents,
            entry_count: view.entry_count,
        }
    }
}

impl From<View> for GrantView {
    fn from(view: View) -> Self {
        Self {
            agents: view.agents,
            entry_count: view.entry_count,
        }
    }
}

/// A question whether a request may be sent to a plain server that names a rate.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AskSend {
    /// The number that identifies the question on its link.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// Identifies the start of the server, see
    /// [`server_start_fingerprint`](crate::gateway::server_start_fingerprint).
    #[prost(fixed64, tag = "2")]
    pub server_start: u64,
    /// The interval between two requests at the rate that the server named last, in microseconds.
    #[prost(uint64, tag = "3")]
    pub interval_us: u64,
    /// The time for which the request may wait, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub max_wait_ms: u64,
    /// Which agents the entry ranks; absent from entries of an older release.
    #[prost(message, optional, tag = "5")]
    pub view: Option<View>,
    /// Whether the entry ranks another agent first, which it cannot reach.
    #[prost(bool, tag = "6")]
    pub is_substitute: bool,
}

/// Asks an entry to tell its [`View`], now and whenever it changes, until the link ends.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct FollowView {}

/// The answer to [`AskSend`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SendAnswer {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// Whether the request may be sent.
    #[prost(bool, tag = "2")]
    pub is_granted: bool,
    /// The time after which it may be sent, or after which to ask again, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// A request to run on the agent's engine.
#[derive(Clone, PartialEq, Message)]
pub struct Submit {
    /// The number that identifies the attempt on its link.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The id of the only server that may run the request.
    #[prost(string, tag = "2")]
    pub server_id: String,
    /// The time left to the latency objective of the first event, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub objective_ms: u64,
    /// The time left to the deadline of the request, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub deadline_ms: u64,
    /// The priority rank; rank 0 is served first.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
    /// The id of the last event that the caller has received, if this attempt resumes a stream.
    #[prost(uint64, optional, tag = "6")]
    pub resume_after: Option<u64>,
    /// The HTTP method.
    #[prost(string, tag = "7")]
    pub method: String,
    /// The path and query of the URL.
    #[prost(string, tag = "8")]
    pub target: String,
    /// The headers to forward to the engine.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// The request body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Whether another engine may take over the stream, so that stalls are reported.
    #[prost(bool, tag = "11")]
    pub is_resumable: bool,
    /// The origin of the stream if this attempt brings its first event; absent if its caller cannot
    /// resume it.
    #[prost(message, optional, tag = "12")]
    pub origin: Option<StreamOrigin>,
    /// What identifies the request if it crashes the engine.
    #[prost(message, optional, tag = "13")]
    pub suspect: Option<SuspectRequest>,
    /// The name of the client account; absent if the request needs none.
    #[prost(string, optional, tag = "14")]
    pub account: Option<String>,
    /// The rank among the requests of the same account and `rank`; rank 0 is served first.
    #[prost(uint32, tag = "15")]
    pub minor_rank: u32,
    /// Whether the agent may hand the request back if another engine may start it sooner.
    #[prost(bool, tag = "16")]
    pub may_move: bool,
    /// The only start of the server that may run the request, as the server states it, because the software
    /// version of that start is the one that the request needs or is recorded with; absent if any may.
    #[prost(uint64, optional, tag = "17")]
    pub required_start_ms: Option<u64>,
}

/// Identifies a request that may have crashed a server, for all attempts of its caller.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectRequest {
    /// The fingerprint of the request's content, see
    /// [`request_fingerprint`](crate::gateway::request_fingerprint).
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The fingerprints of the parts of its prompt that it may share with other requests, see
    /// [`part_fingerprint`](crate::gateway::part_fingerprint).
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
}

impl SuspectRequest {
    /// Creates the identification of a request. A part that is named several times counts once.
    #[must_use]
    pub fn new(request: u64, parts: impl IntoIterator<Item = u64>) -> Self {
        let mut known = HashSet::new();
        let parts = parts.into_iter().filter(|&part| known.insert(part));
        Self {
            request,
            parts: parts.collect(),
        }
    }
}

/// The crash of a server, and the requests that it broke off.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashReport {
    /// Identifies the start of the server that ended.
    #[prost(fixed64, tag = "1")]
    pub server_start: u64,
    /// The requests, any of which may be the cause.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<SuspectRequest>,
    /// Identifies the service of the server, see
    /// [`service_fingerprint`](crate::gateway::service_fingerprint).
    #[prost(fixed64, tag = "3")]
    pub service: u64,
}

/// The start or the end of a quarantine.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuarantineChange {
    /// The fingerprint of what is refused.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether the quarantine ends, rather than starts.
    #[prost(bool, tag = "2")]
    pub is_ended: bool,
    /// The time since this was decided, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Whether the fingerprint is that of a part of a prompt, rather than of a request.
    #[prost(bool, tag = "4")]
    pub is_part: bool,
}

/// States that the quarantines which the agent knew when the link came up have been sent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuarantinesSent {}

/// The last completion of a request with something that is quarantined.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CompletionNotice {
    /// The fingerprint of what is quarantined.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The time since the completion, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// An HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value of the header, which need not be text.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A message from an agent.
#[derive(Clone, PartialEq, Message)]
pub struct ToEntry {
    /// The content of the message; absent if the sender uses a kind unknown here.
    #[prost(
        oneof = "ToEntryKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub kind: Option<ToEntryKind>,
}

/// The kinds of [`ToEntry`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ToEntryKind {
    /// Refuses an attempt, which has not run and will not run.
    #[prost(message, tag = "1")]
    Refused(Refused),
    /// Starts the answer to an attempt.
    #[prost(message, tag = "2")]
    Head(Head),
    /// Carries the next bytes of an answer's body.
    #[prost(message, tag = "3")]
    Part(Part),
    /// Ends the answer to the attempt with this number, which is complete.
    #[prost(uint64, tag = "4")]
    End(u64),
    /// Aborts the attempt with this number, which may have run.
    #[prost(uint64, tag = "5")]
    Broken(u64),
    /// Reports the engine's state.
    #[prost(message, tag = "6")]
    State(EngineState),
    /// Updates which models and adapters the engine has.
    #[prost(message, tag = "7")]
    Holdings(HoldingsUpdate),
    /// Reports that the engine has sent nothing for a while to the attempt with this number, which
    /// goes on.
    #[prost(uint64, tag = "8")]
    Stalled(u64),
    /// Answers a query for the origin of a stream.
    #[prost(message, tag = "9")]
    Origin(OriginAnswer),
    /// Reports the crash of the engine, or of a server of which an entry has reported it.
    #[prost(message, tag = "10")]
    Crash(CrashReport),
    /// Starts or ends a quarantine.
    #[prost(message, tag = "11")]
    Quarantine(QuarantineChange),
    /// Answers the start of a quarantine: what is quarantined has completed.
    #[prost(message, tag = "12")]
    Completed(CompletionNotice),
    /// Ends the quarantines that follow the start of a link.
    #[prost(message, tag = "13")]
    QuarantinesSent(QuarantinesSent),
    /// Answers a question whether a request may be sent to a plain server.
    #[prost(message, tag = "14")]
    SendAnswer(SendAnswer),
    /// Answers a question for units of an account's quota.
    #[prost(message, tag = "15")]
    QuotaAnswer(QuotaAnswer),
    /// Brings a newer configuration than the entry has.
    #[prost(message, tag = "16")]
    Configuration(ConfigurationCopy),
    /// Tells which software versions a service has had recently.
    #[prost(message, tag = "17")]
    Versions(ServiceVersions),
    /// Tells what the engine fetches from the weight store and what it waits for.
    #[prost(message, tag = "18")]
    Fetches(EngineFetches),
    /// Asks the entry to tell its view.
    #[prost(message, tag = "19")]
    FollowView(FollowView),
}

/// Refusal of an attempt, which has not run and will not run.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// The number of the attempt on its link.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The reason, as the code of an [`EngineRefusal`](crate::gateway::EngineRefusal).
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// The expected time until the engine has room, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// Status and headers of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The number of the attempt on its link.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers to forward to the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
}

/// A chunk of the body of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Part {
    /// The number of the attempt on its link.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The bytes that follow those of the previous chunk.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// State of the agent's engine, as used for placement.
///
/// Tags 6 and 7 had other meanings in earlier versions and stay unused.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EngineState {
    /// The number of requests that run on the engine or wait at the agent.
    #[prost(uint32, tag = "1")]
    pub load: u32,
    /// Whether new requests are accepted.
    #[prost(bool, tag = "2")]
    pub is_serving: bool,
    /// The number of entries that are connected to the agent.
    #[prost(uint32, tag = "3")]
    pub entries: u32,
    /// The maximum number of requests that the engine runs at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// The expected time until an engine that is not serving is ready, in milliseconds; 0 if
    /// unknown.
    #[prost(uint64, tag = "5")]
    pub ready_in_ms: u64,
    /// The expected time until the first event of a request of rank 0 with a short prompt, in
    /// milliseconds.
    #[prost(uint32, tag = "8")]
    pub urgent_wait_ms: u32,
    /// The same for a request of rank 1.
    #[prost(uint32, tag = "9")]
    pub normal_wait_ms: u32,
    /// The same for a request of a higher rank.
    #[prost(uint32, tag = "10")]
    pub bulk_wait_ms: u32,
    /// The expected time to load an adapter of which the host has a copy, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub copy_load_ms: u32,
    /// The expected time to fetch an adapter from the weight store, in milliseconds.
    #[prost(uint32, tag = "12")]
    pub fetch_ms: u32,
    /// The rate at which the engine reads prompts, in tokens per second.
    #[prost(uint32, tag = "13")]
    pub prompt_tokens_per_s: u32,
    /// The average time between two places in a full batch becoming free, in microseconds.
    #[prost(uint32, tag = "14")]
    pub batch_turnover_us: u32,
    /// Whether the engine accepts no requests until it starts anew, because it or its agent is
    /// draining or leaving.
    #[prost(bool, tag = "15")]
    pub is_ending: bool,
    /// The time until the engine may get a request of the highest rank that arrives now, under the rate that
    /// it names, in milliseconds.
    #[prost(uint32, tag = "16")]
    pub rate_wait_ms: u32,
    /// The interval between two requests at the rate that the engine names, in microseconds; 0 if it names
    /// none.
    #[prost(uint32, tag = "17")]
    pub rate_interval_us: u32,
    /// The start time of the engine that its last report stated; absent before the first report.
    #[prost(uint64, optional, tag = "18")]
    pub started_ms: Option<u64>,
}

impl EngineState {
    /// Returns whether the engine may be the start of a server that the list names. Its software version is
    /// known only of that start.
    #[must_use]
    pub fn may_be_start(&self, listed_ms: Option<u64>) -> bool {
        match (self.started_ms, listed_ms) {
            (Some(started_ms), Some(listed_ms)) => started_ms == listed_ms,
            _ => true,
        }
    }

    /// Returns the expected time until the first event of a request of this rank that is sent after
    /// `sent` others with `sent_tokens` prompt tokens in total, which the state does not include yet.
    #[must_use]
    pub fn first_event_ms(&self, rank: u32, sent: u32, sent_tokens: u64) -> f64 {
        /// Delay of the first event by the other requests of a full batch.
        const FULL_BATCH_MS: f64 = 50.0;
        let reported_ms = match rank {
            0 => self.urgent_wait_ms,
            1 => self.normal_wait_ms,
            _ => self.bulk_wait_ms,
        };
        let fill = f64::from(self.load + sent) / f64::from(self.slots.max(1));
        let batch_ms = FULL_BATCH_MS * fill.min(1.0).powi(2);
        let queued = (self.load + sent).saturating_sub(self.slots).min(sent);
        let queue_ms = f64::from(queued) * f64::from(self.batch_turnover_us) / 1_000.0;
        let tokens_per_ms = f64::from(self.prompt_tokens_per_s.max(1_000)) / 1_000.0;
        let rate_ms = f64::from(self.rate_wait_ms)
            + f64::from(sent) * f64::from(self.rate_interval_us) / 1_000.0;
        let run_ms = f64::from(reported_ms) + batch_ms + queue_ms;
        run_ms.max(rate_ms) + sent_tokens as f64 / tokens_per_ms
    }

    /// Returns what a prompt costs at this engine, in milliseconds: the time to read it, and the pauses that it
    /// causes in the streams of the `sent` requests that the state does not include yet and of those that it
    /// does. An engine reads prompts between the tokens of its streams.
    #[must_use]
    pub fn prompt_cost_ms(&self, prompt_tokens: u64, sent: u32) -> f64 {
        /// What a pause of a stream counts beside a wait of the same length for the first event. Most pauses
        /// are too short to be noticed.
        const PAUSE_WEIGHT: f64 = 0.1;
        let tokens_per_ms = f64::from(self.prompt_tokens_per_s.max(1_000)) / 1_000.0;
        let read_ms = prompt_tokens as f64 / tokens_per_ms;
        let streams = f64::from((self.load + sent).min(self.slots));
        read_ms * (1.0 + PAUSE_WEIGHT * streams)
    }

    /// Returns whether placement would notice the difference to another state of the engine.
    #[must_use]
    pub fn differs_from(&self, other: &Self) -> bool {
        /// Difference of times that does not matter beside the latency objectives of requests. Each
        /// report goes to all entries, most of them in other data centres.
        const MIN_DIFFERENCE_MS: u32 = 40;
        /// Part of the batch by which the load must differ.
        const MIN_LOAD_PART: u32 = 4;
        let times_ms = |state: &Self| {
            [
                state.urgent_wait_ms,
                state.normal_wait_ms,
                state.bulk_wait_ms,
                state.copy_load_ms,
                state.fetch_ms,
                state.rate_wait_ms,
                state.rate_interval_us / 1_000,
            ]
        };
        let is_time_different = times_ms(self)
            .into_iter()
            .zip(times_ms(other))
            .any(|(a_ms, b_ms)| a_ms.abs_diff(b_ms) >= MIN_DIFFERENCE_MS);
        let min_load_difference = (self.slots / MIN_LOAD_PART).max(1);
        let is_load_different = self.load.abs_diff(other.load) > min_load_difference;
        is_time_different
            || is_load_different
            || (self.slots, self.entries, self.started_ms)
                != (other.slots, other.entries, other.started_ms)
    }
}

/// The models and adapters that an engine has, or the changes since the last update. Each is
/// identified by [`adapter_key`](crate::gateway::adapter_key).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HoldingsUpdate {
    /// Whether this is a complete snapshot, which replaces all earlier updates.
    #[prost(bool, tag = "1")]
    pub is_whole: bool,
    /// Adapters in slots or being loaded into one, and loaded base models.
    #[prost(fixed64, repeated, tag = "2")]
    pub resident: Vec<u64>,
    /// Adapters of which the engine's host has a copy in memory.
    #[prost(fixed64, repeated, tag = "3")]
    pub copied: Vec<u64>,
    /// Adapters that are neither resident nor copied any more.
    #[prost(fixed64, repeated, tag = "4")]
    pub absent: Vec<u64>,
    /// Use counts of resident adapters that have changed much.
    #[prost(message, repeated, tag = "5")]
    pub uses: Vec<AdapterUses>,
}

/// How often an adapter was used at an engine.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AdapterUses {
    /// The key of the adapter.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The number of recent requests, which decays over time.
    #[prost(uint32, tag = "2")]
    pub uses: u32,
}
