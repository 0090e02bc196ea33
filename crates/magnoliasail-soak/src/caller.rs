//! A caller that keeps its connection and checks every answer.

use {
    crate::{ledger::Ledger, standin::event_count},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A plain request that may run more than once.
    Safe,
    /// A plain request that may run once at most.
    Unsafe,
    /// A stream that may run once at most.
    Stream,
    /// A stream that may be resumed.
    ResumableStream,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Safe,
        Self::Unsafe,
        Self::Stream,
        Self::ResumableStream,
    ];

    /// Returns the beginning of the paths of the kind's route.
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

    const fn runs_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id, which no other call has.
    pub id: String,
    /// What it asks for.
    pub kind: CallKind,
    /// The adapter's full name, for streams.
    pub adapter: String,
    /// How long the caller waits.
    pub deadline: Duration,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was whole.
    Served,
    /// It was refused and has not run.
    NotRun,
    /// It failed with a status that promises nothing.
    Failed(StatusCode),
    /// The connection could not be opened, or broke.
    ConnectionFailed,
    /// The caller gave up.
    TimedOut,
}

/// A caller that keeps its connection.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    ledger: Ledger,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller of an entry.
    #[must_use]
    pub const fn new(address: SocketAddr, ledger: Ledger) -> Self {
        Self {
            address,
            ledger,
            sender: None,
        }
    }

    /// Makes a call, checks its answer and records what it was told.
    pub async fn call(&mut self, call: &Call) -> Outcome {
        let outcome = match timeout(call.deadline, self.attempt(call)).await {
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
        let is_told_not_run = outcome == Outcome::NotRun;
        self.ledger
            .record_answer(&call.id, is_told_not_run, !call.kind.runs_once());
        outcome
    }

    async fn attempt(&mut self, call: &Call) -> Option<Outcome> {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await.ok()?;
        let response = sender.send_request(request(call)).await.ok()?;
        let (head, body) = response.into_parts();
        let body = read(body).await;
        self.sender = Some(sender);
        match head.status {
            StatusCode::OK => self.check(call, &head.headers, &body?),
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => Some(Outcome::NotRun),
            status => Some(Outcome::Failed(status)),
        }
    }

    fn check(&self, call: &Call, headers: &HeaderMap, body: &[u8]) -> Option<Outcome> {
        let expected = if call.kind.is_stream() {
            (1..=event_count(&call.id))
                .map(|number| format!("id: {number}\ndata: {} {number}\n\n", call.id))
                .collect()
        } else {
            format!("answer of {}", call.id)
        };
        if !headers.contains_key("response-stamp") {
            self.ledger.record_violation(
                "whole answer, own request",
                format!("{} has no stamp", call.id),
            );
        }
        if body != expected.as_bytes() {
            let seen = String::from_utf8_lossy(body).into_owned();
            self.ledger
                .record_violation("whole answer, own request", format!("{}: {seen}", call.id));
        }
        Some(Outcome::Served)
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

async fn read(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}

fn request(call: &Call) -> Request<Full<Bytes>> {
    let method = if call.kind == CallKind::Safe {
        Method::GET
    } else {
        Method::POST
    };
    let body = if call.kind == CallKind::Safe {
        Bytes::new()
    } else {
        Bytes::from_static(b"{}")
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("{}x", call.kind.path_prefix()))
        .header("host", "soak.example")
        .header("request-id", &call.id)
        .header("deadline-ms", call.deadline.as_millis().to_string());
    if call.kind.is_stream() {
        request = request
            .header("model", &call.adapter)
            .header("token-count", "100,50")
            .header("prompt-prefix", "aa:60,bb:40");
    }
    request.body(Full::new(body)).expect("the parts are valid")
}
