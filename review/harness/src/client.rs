//! A client: one request on a new channel, with all that it sees of the answer.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
};

pub const HOST: &str = "ficu95.example";

#[derive(Clone, Debug, Default)]
pub struct Call {
    pub id: String,
    pub path: String,
    pub body: Bytes,
    pub is_get: bool,
    /// The full name of the adapter; none at a plain service.
    pub adapter: Option<String>,
    pub deadline_ms: u64,
    /// The parts of the prompt, without the last one; one shared part if empty.
    pub parts: Vec<String>,
    /// The client attempt that brought the first event of the stream, and the last event that the client has.
    pub resumes: Option<(String, u64)>,
}

/// What a client has seen.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent: Instant,
    pub ended: Instant,
    /// The status, or 0 if there was no answer.
    pub status: u16,
    pub has_stamp: bool,
    pub body: Bytes,
    /// Whether the answer came to a proper end.
    pub is_complete: bool,
    pub retry_after_s: Option<f64>,
}

impl Outcome {
    fn none(sent: Instant) -> Self {
        Self {
            sent,
            ended: Instant::now(),
            status: 0,
            has_stamp: false,
            body: Bytes::new(),
            is_complete: false,
            retry_after_s: None,
        }
    }

    /// Returns the data of the complete events of a stream.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
        complete
            .split("\n\n")
            .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("data: ")))
            .map(str::to_owned)
            .collect()
    }
}

pub async fn call(entry: SocketAddr, call: &Call) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome::none(sent);
    let limit = Duration::from_millis(call.deadline_ms + 500);
    let _ = timeout(limit, exchange(entry, call, &mut outcome)).await;
    outcome.ended = Instant::now();
    outcome
}

async fn exchange(entry: SocketAddr, call: &Call, outcome: &mut Outcome) -> Option<()> {
    let stream = TcpStream::connect(entry).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let method = if call.is_get {
        Method::GET
    } else {
        Method::POST
    };
    let mut request = Request::builder()
        .method(method)
        .uri(&call.path)
        .header("host", HOST)
        .header("request-id", &call.id)
        .header("deadline-ms", call.deadline_ms);
    if let Some(adapter) = &call.adapter {
        let shared = if call.parts.is_empty() {
            "5c1e07a2:100".to_owned()
        } else {
            call.parts.join(",")
        };
        let prompt_tokens = 100 + 100 * call.parts.len().max(1);
        request = request
            .header("model", adapter)
            .header("token-count", format!("{prompt_tokens},80"))
            .header(
                "prompt-prefix",
                format!("{shared},{:x}:100", hash(&call.id)),
            );
    }
    if let Some((first, last)) = &call.resumes {
        request = request
            .header("resumes", first)
            .header("last-event-id", *last);
    }
    let request = request.body(Full::new(call.body.clone())).ok()?;
    let response = sender.send_request(request).await.ok()?;
    outcome.status = response.status().as_u16();
    outcome.has_stamp = response.headers().contains_key("response-stamp");
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    outcome.retry_after_s = retry_after.and_then(|text| text.parse().ok());
    let mut body = response.into_body();
    let mut received = Vec::new();
    loop {
        match body.frame().await {
            None => {
                outcome.is_complete = true;
                break;
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    received.extend_from_slice(data);
                    outcome.body = Bytes::from(received.clone());
                }
            }
            Some(Err(_)) => break,
        }
    }
    Some(())
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
    })
}
