//! A caller that reuses its connection and checks every answer.

use {
    crate::{
        ledger::Ledger,
        standin::{adapter_name, event_count, stream_event},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The kind of request that a call makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallKind {
    /// A plain request that may run more than once.
    #[default]
    Safe,
    /// A plain request that may run at most once.
    Unsafe,
    /// A stream that may run at most once.
    Stream,
    /// A stream that may be resumed.
    ResumableStream,
}

impl CallKind {
    /// All kinds of calls.
    pub const ALL: [Self; 4] = [
        Self::Safe,
        Self::Unsafe,
        Self::Stream,
        Self::ResumableStream,
    ];

    /// Returns the path prefix of the route for this kind.
    #[must_use]
    pub const fn path_prefix(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/unsafe/",
            Self::Stream => "/stream/",
            Self::ResumableStream => "/resumable/",
        }
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    const fn is_at_most_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }
}

/// A request to an entry, as a caller makes it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request id, unique among all calls of a fleet.
    pub id: String,
    /// The kind of request.
    pub kind: CallKind,
    /// The adapter's full name, such as `base/a0`. Only streams use it.
    pub adapter: String,
    /// Time from the start of the call until the caller abandons it. Entries receive it in the
    /// `deadline-ms` header.
    pub deadline: Duration,
    /// The stream that the call resumes, if any.
    pub resumption: Option<Resumption>,
    /// The end of the path, and the body of calls that have one.
    pub content: String,
    /// The length of that body, which is filled up if the content is shorter.
    pub body_bytes: usize,
    /// Time for which the caller stops reading after the first bytes of the answer.
    pub reading_pause: Duration,
    /// The key of a client account, and the name of that account.
    pub key: Option<(&'static str, &'static str)>,
    /// The parts of the prompt, as ids with their lengths in tokens. Only streams use them.
    pub prompt_parts: String,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            id: String::new(),
            kind: CallKind::default(),
            adapter: adapter_name(0),
            deadline: Duration::from_millis(2_500),
            resumption: None,
            content: "x".to_owned(),
            body_bytes: 0,
            reading_pause: Duration::ZERO,
            key: None,
            prompt_parts: "aa:60,bb:40".to_owned(),
        }
    }
}

/// How far a caller has received a stream that it resumes.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// The id of the call that brought the first event.
    pub first_call: String,
    /// The id of the last event received.
    pub last_event_id: u64,
}

impl Call {
    /// Returns the id of the call that brought the first event of the stream.
    fn stream_id(&self) -> &str {
        match &self.resumption {
            Some(resumption) => &resumption.first_call,
            None => &self.id,
        }
    }

    fn last_event_id(&self) -> u64 {
        self.resumption
            .as_ref()
            .map_or(0, |resumption| resumption.last_event_id)
    }
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with status 200 arrived.
    Served,
    /// The request was refused with a status which states that it has not run.
    NotRun,
    /// The request failed with a status that leaves open whether it has run.
    Failed(StatusCode),
    /// The connection could not be opened, or failed before the end of the answer.
    ConnectionFailed,
    /// The call did not end within its deadline.
    TimedOut,
}

/// A caller of one entry. It reuses its connection until that fails or closes.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    ledger: Ledger,
    sender: Option<SendRequest<Full<Bytes>>>,
    /// The body received in the latest call.
    received: Vec<u8>,
}

impl Caller {
    /// Creates a caller of the entry at `address`. It connects at its first call.
    #[must_use]
    pub const fn new(address: SocketAddr, ledger: Ledger) -> Self {
        Self {
            address,
            ledger,
            sender: None,
            received: Vec::new(),
        }
    }

    /// Makes a call, checks its answer and records it in the ledger.
    pub async fn call(&mut self, call: &Call) -> Outcome {
        self.received.clear();
        if let Some((_, account)) = call.key {
            self.ledger.record_owner(&call.id, account);
        }
        let outcome = match timeout(call.deadline, self.send(call)).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) => Outcome::ConnectionFailed,
            Err(_) => Outcome::TimedOut,
        };
        if !matches!(
            outcome,
            Outcome::Served | Outcome::NotRun | Outcome::Failed(_)
        ) {
            self.sender = None;
        }
        if call.kind.is_stream() && outcome != Outcome::NotRun {
            self.record_software_versions(call);
        }
        let is_reported_not_run = outcome == Outcome::NotRun;
        self.ledger
            .record_answer(&call.id, is_reported_not_run, !call.kind.is_at_most_once());
        outcome
    }

    /// Makes a call and leaves after a while, whatever has arrived. The connection is closed if the call has not ended.
    pub async fn call_and_leave(&mut self, call: &Call, after: Duration) -> Option<Outcome> {
        timeout(after, self.call(call)).await.ok()
    }

    /// Returns the call that resumes a stream which broke off after its first event, or `None` if
    /// the latest call, `call`, had another outcome.
    #[must_use]
    pub fn resumed_call(&self, call: &Call, outcome: Outcome) -> Option<Call> {
        let is_broken_off = call.kind == CallKind::ResumableStream
            && matches!(outcome, Outcome::ConnectionFailed | Outcome::TimedOut);
        let last_event = received_events(&self.received).last()?;
        let last_event_id = last_event.id?;
        is_broken_off.then(|| Call {
            id: format!("{}-resumed", call.id),
            resumption: Some(Resumption {
                first_call: call.stream_id().to_owned(),
                last_event_id,
            }),
            ..call.clone()
        })
    }

    /// Records which software versions wrote the events received in the latest call.
    fn record_software_versions(&self, call: &Call) {
        for event in received_events(&self.received) {
            self.ledger
                .record_software_version(call.stream_id(), event.software_version);
        }
    }

    async fn send(&mut self, call: &Call) -> Option<Outcome> {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await.ok()?;
        let response = sender.send_request(build_request(call)).await.ok()?;
        let (head, body) = response.into_parts();
        let is_complete = self.read_body(body, call.reading_pause).await;
        self.sender = Some(sender);
        match head.status {
            StatusCode::OK if is_complete => self.check_answer(call, &head.headers),
            StatusCode::OK => None,
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => Some(Outcome::NotRun),
            status => Some(Outcome::Failed(status)),
        }
    }

    fn check_answer(&self, call: &Call, headers: &HeaderMap) -> Option<Outcome> {
        let body = &self.received;
        let expected = if call.kind.is_stream() {
            let stream_id = call.stream_id();
            let first_event = received_events(body).next();
            let version = first_event.map_or("", |event| event.software_version);
            (call.last_event_id() + 1..=event_count(stream_id))
                .map(|number| stream_event(stream_id, number, version))
                .collect()
        } else {
            format!("answer of {}", call.id)
        };
        if !headers.contains_key("response-stamp") {
            self.ledger.record_violation(
                "complete answer to the same request",
                format!("{} has no response-stamp header", call.id),
            );
        }
        if *body != expected.as_bytes() {
            let body = String::from_utf8_lossy(body).into_owned();
            self.ledger.record_violation(
                "complete answer to the same request",
                format!("{}: received {body}", call.id),
            );
        }
        Some(Outcome::Served)
    }

    /// Reads a body into `received`; returns whether it is complete.
    async fn read_body(&mut self, mut body: Incoming, pause: Duration) -> bool {
        let mut pause = Some(pause).filter(|pause| !pause.is_zero());
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            if let Some(bytes) = frame.data_ref() {
                self.received.extend_from_slice(bytes);
            }
            if let Some(pause) = pause.take() {
                sleep(pause).await;
            }
        }
        true
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(sender)
    }
}

/// An event of a stream, as received.
struct ReceivedEvent<'a> {
    id: Option<u64>,
    software_version: &'a str,
}

/// Returns the complete events of a stream in order.
fn received_events(body: &[u8]) -> impl Iterator<Item = ReceivedEvent<'_>> {
    let text = str::from_utf8(body).unwrap_or_default();
    let end = text.rfind("\n\n").unwrap_or(0);
    let events = text[..end].split("\n\n").filter(|event| !event.is_empty());
    events.map(|event| {
        let id = event
            .lines()
            .next()
            .and_then(|line| line.strip_prefix("id: "));
        ReceivedEvent {
            id: id.and_then(|id| id.parse().ok()),
            software_version: event.rsplit(' ').next().unwrap_or_default(),
        }
    })
}

fn build_request(call: &Call) -> Request<Full<Bytes>> {
    let method = if call.kind == CallKind::Safe {
        Method::GET
    } else {
        Method::POST
    };
    let body = if call.kind == CallKind::Safe {
        Bytes::new()
    } else {
        let filler_bytes = call.body_bytes.saturating_sub(call.content.len());
        Bytes::from(call.content.clone() + &".".repeat(filler_bytes))
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("{}{}", call.kind.path_prefix(), call.content))
        .header("host", "soak.example")
        .header("request-id", &call.id)
        .header("deadline-ms", call.deadline.as_millis().to_string());
    if call.kind.is_stream() {
        request = request
            .header("model", &call.adapter)
            .header("token-count", "100,50")
            .header("prompt-prefix", &call.prompt_parts);
    }
    if let Some((key, _)) = call.key {
        request = request.header("x-api-key", key).header("tenant", "forged");
    }
    if let Some(resumption) = &call.resumption {
        request = request
            .header("resumes", &resumption.first_call)
            .header("last-event-id", resumption.last_event_id);
    }
    request.body(Full::new(body)).expect("the parts are valid")
}
