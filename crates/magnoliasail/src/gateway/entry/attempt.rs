//! One attempt at a request: at an engine through its agent, or at a plain server.

use {
    super::{
        engine_link::{AttemptNews, EngineLink},
        state::{EntryState, Pick},
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            header_codec::{decode_headers, encode_headers},
            pool::ServerResponse,
        },
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Request, StatusCode, Uri},
    magnoliasail_core::gateway::{
        EngineRefusal, RequestKind, RequestMetadata,
        message::{Head, Submit},
    },
    magnoliasail_platform::headers::{self, AttemptHeaders},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// A request as it is sent on.
pub(super) struct Outgoing {
    pub(super) facts: RequestMetadata,
    pub(super) kind: RequestKind,
    pub(super) rank: u32,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Until when the first event has its full worth.
    pub(super) objective_ms: u64,
    /// When the caller gives up or the route's timeout passes.
    pub(super) deadline_ms: u64,
    /// Whether a further server may get the request, so that one that stalls is given up.
    pub(super) has_further_server: bool,
}

/// What an attempt came to before its answer began.
#[expect(
    clippy::large_enum_variant,
    reason = "it lives for one await, and the large variant is the usual one"
)]
pub(super) enum Start {
    /// The answer has begun.
    Head {
        status: StatusCode,
        headers: HeaderMap,
        attempt: Attempt,
    },
    /// The agent refused it; no server has seen it.
    Refused {
        reason: EngineRefusal,
        retry_after_ms: u64,
    },
    /// The server refused it; it has not run and will not.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// It may have run.
    Broken,
}

/// What an attempt says next.
pub(super) enum Next {
    Part(Bytes),
    End,
    Broken,
}

/// An attempt whose answer has begun; dropping it withdraws the request.
pub(super) enum Attempt {
    Engine(EngineAttempt),
    Plain(Option<ServerResponse>),
}

/// An attempt at an engine; dropping it withdraws the request.
pub(super) struct EngineAttempt {
    link: Rc<EngineLink>,
    number: u64,
    news: mpsc::Receiver<AttemptNews>,
}

impl Drop for EngineAttempt {
    fn drop(&mut self) {
        self.link.cancel(self.number);
    }
}

/// Sends a request to a server and waits for the head of its answer.
pub(super) async fn start(
    state: &EntryState,
    pick: &Pick,
    outgoing: &Outgoing,
    resume_after: Option<u64>,
) -> Start {
    if pick.is_engine {
        start_at_engine(state, pick, outgoing, resume_after).await
    } else {
        start_at_plain(state, pick, outgoing, resume_after).await
    }
}

async fn start_at_engine(
    state: &EntryState,
    pick: &Pick,
    outgoing: &Outgoing,
    resume_after: Option<u64>,
) -> Start {
    let link = state.links.borrow().get(&pick.address.ip()).map(Rc::clone);
    let Some(link) = link else {
        return Start::Unsent;
    };
    let now_ms = state.clock.now_ms();
    let submit = Submit {
        attempt: 0,
        server_id: pick.id.to_string(),
        objective_ms: outgoing.objective_ms.saturating_sub(now_ms),
        deadline_ms: outgoing.deadline_ms.saturating_sub(now_ms),
        rank: outgoing.rank,
        resume_after,
        method: outgoing.method.to_string(),
        target: outgoing.uri.to_string(),
        headers: encode_headers(&outgoing.headers),
        body: outgoing.body.clone(),
        is_resumable: outgoing.kind == RequestKind::ResumableStream && outgoing.has_further_server,
    };
    let Some((number, news)) = link.submit(submit) else {
        return Start::Unsent;
    };
    let mut attempt = EngineAttempt { link, number, news };
    match attempt.news.recv().await {
        Some(AttemptNews::Head(head)) => {
            let (status, headers) = from_head(&head);
            Start::Head {
                status,
                headers,
                attempt: Attempt::Engine(attempt),
            }
        }
        Some(AttemptNews::Refused {
            reason: EngineRefusal::EngineRefused | EngineRefusal::WrongServer,
            ..
        }) => Start::NotRun,
        Some(AttemptNews::Refused {
            reason,
            retry_after_ms,
        }) => Start::Refused {
            reason,
            retry_after_ms,
        },
        Some(AttemptNews::Part(_) | AttemptNews::End | AttemptNews::Broken) | None => Start::Broken,
    }
}

async fn start_at_plain(
    state: &EntryState,
    pick: &Pick,
    outgoing: &Outgoing,
    resume_after: Option<u64>,
) -> Start {
    let stamp = AttemptHeaders {
        time_left_ms: outgoing.deadline_ms.saturating_sub(state.clock.now_ms()),
        server_id: Some(Arc::clone(&pick.id)),
        resume_after,
        ..AttemptHeaders::default()
    };
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    headers::set_attempt_headers(request.headers_mut(), &stamp);
    let may_repeat = outgoing.kind.is_idempotent();
    let pool = state.pool(pick.address);
    let sent = pool.send(request, outgoing.facts.id.as_deref(), may_repeat);
    let sent = match stall_limit(state, pick, outgoing) {
        Some(limit) => match timeout(limit, sent).await {
            Ok(sent) => sent,
            Err(_) => {
                emit(
                    EventId::AnswerStalled,
                    format_args!("server={} limit_ms={}", pick.id, limit.as_millis()),
                );
                return Start::Broken;
            }
        },
        None => sent.await,
    };
    match sent {
        Ok(answer) => {
            let mut directory = state.directory.borrow_mut();
            if let (Some(load), Some(server)) = (
                headers::server_load(&answer.headers),
                directory.get_mut(&pick.id),
            ) {
                server.apply_load(load);
            }
            drop(directory);
            if headers::proves_not_run(answer.status, &answer.headers) {
                return Start::NotRun;
            }
            Start::Head {
                status: answer.status,
                headers: headers::forwarded_to_caller(&answer.headers),
                attempt: Attempt::Plain(Some(answer)),
            }
        }
        Err(error) if error.is_unsent() => Start::Unsent,
        Err(_) => Start::Broken,
    }
}

/// Returns how long a safe request waits for its answer before it goes to another server.
fn stall_limit(state: &EntryState, pick: &Pick, outgoing: &Outgoing) -> Option<Duration> {
    /// The least time, longer than nearly all answers take, in milliseconds.
    const LEAST_MS: f64 = 450.0;
    /// How many times the usual time is still no stall.
    const USUAL_TIMES: f64 = 4.0;
    if outgoing.kind != RequestKind::Safe || !outgoing.has_further_server {
        return None;
    }
    let now_ms = state.clock.now_ms();
    let directory = state.directory.borrow();
    let usual_ms = directory.get(&pick.id)?.health.first_byte_ms(now_ms);
    let limit_ms = LEAST_MS + USUAL_TIMES * usual_ms;
    Some(Duration::from_millis(limit_ms as u64))
}

impl Attempt {
    /// Waits for what comes next.
    pub(super) async fn next(&mut self) -> Next {
        match self {
            Self::Engine(attempt) => match attempt.news.recv().await {
                Some(AttemptNews::Part(bytes)) => Next::Part(bytes),
                Some(AttemptNews::End) => Next::End,
                Some(AttemptNews::Head(_) | AttemptNews::Refused { .. } | AttemptNews::Broken)
                | None => Next::Broken,
            },
            Self::Plain(slot) => {
                let Some(answer) = slot else {
                    return Next::Broken;
                };
                match answer.next_part().await {
                    Ok(Some(bytes)) => Next::Part(bytes),
                    Ok(None) => {
                        if let Some(answer) = slot.take() {
                            answer.release();
                        }
                        Next::End
                    }
                    Err(_) => Next::Broken,
                }
            }
        }
    }
}

fn from_head(head: &Head) -> (StatusCode, HeaderMap) {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    (status, decode_headers(&head.headers))
}
