//! One attempt at a request: at an engine through its agent, or at a plain server.

use {
    super::{
        end_check::{EndCheck, EndEvidence},
        engine_link::{AttemptUpdate, EngineLink},
        state::{EntryState, PickedServer, retry_jitter_ms},
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            buffer_budget::HeldBytes,
            header_codec::{decode_headers, encode_headers},
            pool::ServerResponse,
            stall::with_stall_reports,
        },
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Request, StatusCode, Uri},
    magnoliasail_core::gateway::{
        Account, EngineRefusal, RequestKind, RequestMetadata,
        message::{Head, StreamOrigin, Submit, SuspectRequest},
    },
    magnoliasail_platform::headers::{self, AttemptHeaders},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::sync::{Notify, mpsc},
};

/// A request as it is forwarded to backend servers.
pub(super) struct OutgoingRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) kind: RequestKind,
    pub(super) rank: u32,
    /// The rank among the requests of the same `rank`; rank 0 is served first.
    pub(super) minor_rank: u32,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    /// The client account of the request; absent if the configuration or its route needs none.
    pub(super) account: Option<Arc<Account>>,
    pub(super) body: Bytes,
    /// What the body counts towards the budget of the process.
    pub(super) _held: HeldBytes,
    /// What identifies the request if it crashes a server.
    pub(super) suspect: SuspectRequest,
    /// The latency objective of the first event, as a time of the entry's clock.
    pub(super) objective_ms: u64,
    /// The end of the caller's or the route's timeout, whichever is earlier, as a time of the
    /// entry's clock.
    pub(super) deadline_ms: u64,
}

/// What differs between the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    /// The id of the last event that the caller has, if a stream is resumed.
    pub(super) resume_after: Option<u64>,
    /// Whether an agent may hand the request back so that another engine serves it sooner.
    pub(super) may_move: bool,
    /// Whether another server may take over if this one stalls.
    pub(super) has_further_server: bool,
}

impl OutgoingRequest {
    /// Returns whether the software version of the server matters, because the stream may be resumed.
    pub(super) fn needs_known_version(&self) -> bool {
        self.kind == RequestKind::ResumableStream
    }

    /// Returns the origin of the stream if a server of this software version begins it, or `None` if
    /// the caller cannot resume it.
    pub(super) fn origin(&self, software_version: Option<&str>) -> Option<StreamOrigin> {
        if !self.needs_known_version() {
            return None;
        }
        Some(StreamOrigin {
            key: self.metadata.stream_key()?,
            software_version: software_version.map(str::to_owned),
        })
    }
}

/// The outcome of an attempt up to its response head.
#[expect(
    clippy::large_enum_variant,
    reason = "the value is short-lived, and the large variant is the usual one"
)]
pub(super) enum StartOutcome {
    /// The response head has arrived.
    Started {
        status: StatusCode,
        headers: HeaderMap,
        attempt: Attempt,
    },
    /// The agent refused the request; it was not sent to a server.
    RefusedByAgent {
        reason: EngineRefusal,
        retry_after_ms: u64,
    },
    /// The server refused the request, which has not run and will not run.
    RefusedByServer,
    /// Nothing was sent, since no connection was available.
    Unsent,
    /// The attempt failed after the request was sent; the request may have run.
    Aborted,
}

impl StartOutcome {
    /// Returns whether the request arrived at the server, or may have.
    pub(super) const fn has_reached_server(&self) -> bool {
        matches!(
            self,
            Self::Started { .. } | Self::RefusedByServer | Self::Aborted
        )
    }
}

/// The next step in the body of a response.
pub(super) enum BodyUpdate {
    Part(Bytes),
    /// The server has sent nothing for a while; the body goes on.
    Stalled,
    /// The body is complete.
    End,
    /// The body ends early.
    Aborted,
    /// The body has ended, and nothing shows whether early.
    Unproven,
}

/// An attempt whose response has started; dropping it cancels the request.
pub(super) enum Attempt {
    Engine(EngineAttempt),
    /// An attempt at a plain server; `None` once the response was read to its end.
    Plain(Option<ServerResponse>, Box<EndCheck>),
}

/// An attempt at an engine; dropping it cancels the request at the agent.
pub(super) struct EngineAttempt {
    link: Rc<EngineLink>,
    number: u64,
    updates: mpsc::Receiver<AttemptUpdate>,
}

impl Drop for EngineAttempt {
    fn drop(&mut self) {
        self.link.cancel(self.number);
    }
}

/// Sends a request to a server and waits for the head of its response.
///
/// Notifies `stalled` each time that the server has sent nothing for a while.
pub(super) async fn start_attempt(
    state: &Rc<EntryState>,
    pick: &PickedServer,
    outgoing: &Rc<OutgoingRequest>,
    options: AttemptOptions,
    stalled: &Notify,
) -> StartOutcome {
    if pick.is_engine {
        start_at_engine(state, pick, outgoing, options, stalled).await
    } else {
        start_at_plain_server(state, pick, outgoing, options, stalled).await
    }
}

async fn start_at_engine(
    state: &EntryState,
    pick: &PickedServer,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
    stalled: &Notify,
) -> StartOutcome {
    let link = state.links.borrow().get(&pick.address.ip()).map(Rc::clone);
    let Some(link) = link else {
        return StartOutcome::Unsent;
    };
    let now_ms = state.clock.now_ms();
    let submit = Submit {
        attempt: 0,
        server_id: pick.id.to_string(),
        objective_ms: outgoing.objective_ms.saturating_sub(now_ms),
        deadline_ms: outgoing.deadline_ms.saturating_sub(now_ms),
        rank: outgoing.rank,
        resume_after: options.resume_after,
        method: outgoing.method.to_string(),
        target: outgoing.uri.to_string(),
        headers: encode_headers(&outgoing.headers),
        body: outgoing.body.clone(),
        is_resumable: outgoing.kind == RequestKind::ResumableStream && options.has_further_server,
        origin: outgoing.origin(pick.software_version.as_deref()),
        suspect: Some(outgoing.suspect.clone()),
        account: outgoing
            .account
            .as_ref()
            .map(|account| account.name.to_string()),
        minor_rank: outgoing.minor_rank,
        may_move: options.may_move,
        required_start_ms: outgoing
            .needs_known_version()
            .then_some(pick.started_ms)
            .flatten(),
    };
    let Some((number, updates)) = link.submit(submit, outgoing.metadata.prompt_tokens, now_ms)
    else {
        return StartOutcome::Unsent;
    };
    let mut attempt = EngineAttempt {
        link,
        number,
        updates,
    };
    let update = loop {
        match attempt.updates.recv().await {
            Some(AttemptUpdate::Stalled) => stalled.notify_one(),
            update => break update,
        }
    };
    match update {
        Some(AttemptUpdate::Head(head)) => {
            let (status, headers) = decode_head(&head);
            StartOutcome::Started {
                status,
                headers,
                attempt: Attempt::Engine(attempt),
            }
        }
        Some(AttemptUpdate::Refused {
            reason: EngineRefusal::EngineRefused | EngineRefusal::WrongServer,
            ..
        }) => StartOutcome::RefusedByServer,
        Some(AttemptUpdate::Refused {
            reason: reason @ (EngineRefusal::Paused | EngineRefusal::RateLimited),
            retry_after_ms,
        }) => StartOutcome::RefusedByAgent {
            reason,
            // All callers of the engine would return at the same time.
            retry_after_ms: retry_after_ms + retry_jitter_ms(),
        },
        Some(AttemptUpdate::Refused {
            reason,
            retry_after_ms,
        }) => StartOutcome::RefusedByAgent {
            reason,
            retry_after_ms,
        },
        Some(
            AttemptUpdate::Part(_)
            | AttemptUpdate::Stalled
            | AttemptUpdate::End
            | AttemptUpdate::Aborted,
        )
        | None => StartOutcome::Aborted,
    }
}

async fn start_at_plain_server(
    state: &Rc<EntryState>,
    pick: &PickedServer,
    outgoing: &Rc<OutgoingRequest>,
    options: AttemptOptions,
    stalled: &Notify,
) -> StartOutcome {
    let attempt_headers = AttemptHeaders {
        time_left_ms: outgoing.deadline_ms.saturating_sub(state.clock.now_ms()),
        server_id: Some(Arc::clone(&pick.id)),
        resume_after: options.resume_after,
        ..AttemptHeaders::default()
    };
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    headers::set_attempt_headers(request.headers_mut(), &attempt_headers);
    let may_repeat = outgoing.kind.is_idempotent();
    let pool = state.pool(&pick.service, pick.address);
    let sent_ms = state.clock.now_ms();
    let sent = pool.send(request, outgoing.metadata.id.as_deref(), may_repeat);
    let limit = stall_limit(state, pick, outgoing, options);
    let on_stall = |limit: Duration| {
        let id = outgoing.metadata.id.as_deref().unwrap_or("-");
        let limit_ms = limit.as_millis();
        emit(
            EventId::AnswerStalled,
            format_args!("request={id} server={} limit_ms={limit_ms}", pick.id),
        );
        stalled.notify_one();
    };
    match with_stall_reports(limit, sent, on_stall).await {
        Ok(response) => {
            let mut directory = state.directory.borrow_mut();
            if let (Some(load), Some(server)) = (
                headers::server_load(&response.headers),
                directory.get_mut(&pick.id),
            ) {
                server.apply_load(load, state.clock.now_ms());
            }
            drop(directory);
            let notice = headers::server_notice(response.status, &response.headers);
            state.apply_notice(pick, notice);
            state.apply_rate(pick, headers::rate_statement(&response.headers), sent_ms);
            if headers::proves_not_run(response.status, &response.headers) {
                return StartOutcome::RefusedByServer;
            }
            let check = Box::new(EndCheck::new(
                Rc::clone(state),
                pick.clone(),
                Rc::clone(outgoing),
            ));
            StartOutcome::Started {
                status: response.status,
                headers: headers::forwarded_to_caller(&response.headers),
                attempt: Attempt::Plain(Some(response), check),
            }
        }
        Err(error) if error.is_unsent() => {
            if error.is_connection_refused() {
                state.record_plain_server_gone(pick);
            }
            StartOutcome::Unsent
        }
        Err(_) => StartOutcome::Aborted,
    }
}

/// Returns the time after which another server may take over a safe request without a response, or
/// `None` if the request must wait for this one.
fn stall_limit(
    state: &EntryState,
    pick: &PickedServer,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Option<Duration> {
    /// Constant part of the limit, within which nearly all responses start.
    const MIN_LIMIT_MS: f64 = 450.0;
    /// A multiple of the server's recent time to first byte that does not count as a stall.
    const FIRST_BYTE_FACTOR: f64 = 4.0;
    if outgoing.kind != RequestKind::Safe || !options.has_further_server {
        return None;
    }
    let now_ms = state.clock.now_ms();
    let directory = state.directory.borrow();
    let first_byte_ms = directory.get(&pick.id)?.health.first_byte_ms(now_ms);
    let limit_ms = MIN_LIMIT_MS + FIRST_BYTE_FACTOR * first_byte_ms;
    Some(Duration::from_millis(limit_ms as u64))
}

impl Attempt {
    /// Waits for the next update of a body that has stalled, other than a further stall.
    pub(super) async fn next_after_stall(&mut self) -> BodyUpdate {
        loop {
            match self.next().await {
                BodyUpdate::Stalled => {}
                update => return update,
            }
        }
    }

    /// Waits for the next part of the body.
    pub(super) async fn next(&mut self) -> BodyUpdate {
        match self {
            Self::Engine(attempt) => match attempt.updates.recv().await {
                Some(AttemptUpdate::Part(part)) => BodyUpdate::Part(part.bytes),
                Some(AttemptUpdate::Stalled) => BodyUpdate::Stalled,
                Some(AttemptUpdate::End) => BodyUpdate::End,
                Some(
                    AttemptUpdate::Head(_) | AttemptUpdate::Refused { .. } | AttemptUpdate::Aborted,
                )
                | None => BodyUpdate::Aborted,
            },
            Self::Plain(response_slot, check) => {
                let Some(response) = response_slot else {
                    return BodyUpdate::Aborted;
                };
                match response.next_part().await {
                    Ok(Some(bytes)) => BodyUpdate::Part(bytes),
                    Ok(None) if !check.is_needed(response) => {
                        if let Some(response) = response_slot.take() {
                            response.release();
                        }
                        BodyUpdate::End
                    }
                    Ok(None) => {
                        let is_success = response.status.is_success();
                        let socket = response.socket();
                        // Its connection has ended, and leaves its place to that of the check.
                        response_slot.take();
                        match check.run().await {
                            // The reset arrived before the answer to the check, which was sent later.
                            _ if is_success && socket.is_cut_off() => BodyUpdate::Aborted,
                            evidence if evidence.is_complete() => BodyUpdate::End,
                            EndEvidence::Gone => BodyUpdate::Aborted,
                            _ => BodyUpdate::Unproven,
                        }
                    }
                    Err(_) => BodyUpdate::Aborted,
                }
            }
        }
    }
}

fn decode_head(head: &Head) -> (StatusCode, HeaderMap) {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    (status, decode_headers(&head.headers))
}
