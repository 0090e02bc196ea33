//! Runs of requests at a stand-in for a backend server.

use {
    super::{
        adapters::AdapterRun,
        answers::{event_count, stream_event, text_response, with_response_headers},
        backend_server::{BackendServer, Body, ServerKind},
        poison::Poison,
        statements::VmKey,
    },
    http_body_util::{BodyExt, combinators::BoxBody},
    hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming},
    magnoliasail_wire::stream_body,
    rand::Rng,
    std::{io, time::Duration},
    tokio::time::sleep,
};

const EVENT_GAP: Duration = Duration::from_millis(8);
/// Capacity of the queue between a stream's events and its connection.
const EVENT_QUEUE_CAPACITY: usize = 4;
/// Time in which a plain server runs a request.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(10);
/// Longer than the time from an answer to the crash that follows it.
const SILENCE_BEFORE_CRASH: Duration = Duration::from_millis(100);
/// Time after a drain notice during which new work may still arrive.
const DRAIN_GRACE: Duration = Duration::from_millis(2_500);

impl BackendServer {
    pub(super) async fn run_request(
        self,
        request: Request<Incoming>,
        vm: VmKey,
    ) -> Result<Response<Body>, io::Error> {
        let headers = request.headers().clone();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("request-id").unwrap_or_default().to_owned();
        let service = <&str>::from(self.kind);
        self.ledger.record_arrival(&id, service);
        self.check_account(&headers, &id);
        let poisons = self.with(|state| state.poisons.clone());
        let poison = poisons.into_iter().find(|poison| poison.is_in(&request));
        if let Some(poison) = &poison {
            poison.record_arrival(&id, &self.ledger);
        }
        let run = match self.start_run(&headers, vm) {
            Ok(run) => run,
            Err(refusal) => return Ok(refusal),
        };
        self.check_drain(&id);
        let server = self.with(|state| state.id.clone());
        self.ledger.record_run(&id, &server);
        let (faults, draw) = self.with(|state| (state.faults, state.random.random::<f64>()));
        let stream_id = text("resumes").unwrap_or(&id).to_owned();
        let resume_after = text("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        drop(request.into_body().collect().await);
        let is_unanswered = draw < faults.unanswered_share;
        let is_failed = !is_unanswered && draw < faults.unanswered_share + faults.error_share;
        if is_failed || poison.as_ref().is_some_and(Poison::has_error_answer) {
            sleep(PLAIN_RUN_TIME).await;
            return Ok(with_response_headers(
                text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
                &id,
                &server,
            ));
        }
        if let Some(poison) = poison {
            if self.kind == ServerKind::Engine && poison.is_answered() {
                let end = StreamEnd::Crash(poison);
                let stream = self.stream(&stream_id, resume_after, end, run);
                return Ok(with_response_headers(stream, &id, &server));
            }
            self.crash_and_restart(poison);
            std::future::pending::<()>().await;
        }
        if is_unanswered {
            std::future::pending::<()>().await;
        }
        let is_aborted = draw < faults.unanswered_share + faults.error_share + faults.aborted_share;
        if self.kind == ServerKind::Engine {
            let end = if is_aborted {
                StreamEnd::Abort
            } else {
                StreamEnd::Complete
            };
            let stream = self.stream(&stream_id, resume_after, end, run);
            return Ok(with_response_headers(stream, &id, &server));
        }
        sleep(PLAIN_RUN_TIME + Duration::from_millis(faults.delay_ms)).await;
        if is_aborted {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let answer = self.plain_answer(format!("answer of {id}"));
        Ok(with_response_headers(answer, &id, &server))
    }

    /// Returns the answer of a plain server: in two parts if it has no length.
    fn plain_answer(&self, text: String) -> Response<Body> {
        let (is_unframed, event_delay_ms) =
            self.with(|state| (state.has_unframed_answers, state.faults.event_delay_ms));
        if !is_unframed {
            return text_response(StatusCode::OK, text);
        }
        let (parts, body) = stream_body(EVENT_QUEUE_CAPACITY);
        let task = tokio::spawn(async move {
            let (first, second) = text.split_at(text.len() / 2);
            // The caller may have disconnected.
            let _ = parts.write(first.to_owned().into()).await;
            sleep(Duration::from_millis(event_delay_ms)).await;
            let _ = parts.write(second.to_owned().into()).await;
            parts.end();
        });
        self.track_task(task.abort_handle());
        Response::new(BoxBody::new(body.map_err(io::Error::other)))
    }

    /// Starts the run of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the server cannot run the request. A refused request has not run.
    #[expect(clippy::result_large_err, reason = "a stand-in, off any hot path")]
    fn start_run(
        &self,
        headers: &HeaderMap,
        vm: VmKey,
    ) -> Result<Option<AdapterRun>, Response<Body>> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let (id, is_refused) = self.with(|state| {
            let draw = state.random.random::<f64>();
            (state.id.clone(), draw < state.faults.refused_share)
        });
        if text("expect-instance").is_some_and(|expected| expected != id) {
            return Err(not_run(StatusCode::MISDIRECTED_REQUEST));
        }
        self.check_statements(vm, text("request-id").unwrap_or_default());
        if let Some(refusal) = self.pause_refusal(vm) {
            return Err(refusal);
        }
        if is_refused {
            return Err(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.kind == ServerKind::Plain {
            return Ok(None);
        }
        let adapter = text("model")
            .and_then(|model| model.split_once('/'))
            .map(|(_, adapter)| adapter);
        let Some(adapter) = adapter else {
            return Ok(None);
        };
        let expected = text("expect-version").and_then(|version| version.parse().ok());
        let (run, version) = self
            .with(|state| state.adapters.start_run(adapter, expected))
            .map_err(not_run)?;
        self.ledger.record_version_run(adapter, version);
        Ok(Some(run))
    }

    /// Checks that the key of a request stayed at its entry, and that the request names its own account.
    fn check_account(&self, headers: &HeaderMap, id: &str) {
        if headers.contains_key("x-api-key") {
            self.ledger
                .record_violation("keys reach no server", id.to_owned());
        }
        let account = headers.get("tenant").and_then(|value| value.to_str().ok());
        self.ledger.check_owner(id, account.unwrap_or_default());
    }

    fn check_drain(&self, id: &str) {
        let since = self.with(|state| state.draining_since);
        if since.is_some_and(|since| since.elapsed() > DRAIN_GRACE) {
            let detail = format!(
                "{id} arrived {:?} after its server started to drain",
                since.map(|at| at.elapsed())
            );
            self.ledger
                .record_violation("draining servers get no new work", detail);
        }
    }

    /// Returns the events of the stream that the attempt `id` began. Like the engine that it stands in for, it
    /// notices a closed connection only when it writes the next event.
    fn stream(
        &self,
        id: &str,
        resume_after: u64,
        end: StreamEnd,
        run: Option<AdapterRun>,
    ) -> Response<Body> {
        let (event_delay_ms, version) =
            self.with(|state| (state.faults.event_delay_ms, state.software_version.clone()));
        let event_gap = EVENT_GAP + Duration::from_millis(event_delay_ms);
        let (events, body) = stream_body(EVENT_QUEUE_CAPACITY);
        let id = id.to_owned();
        let last = event_count(&id);
        let server = self.clone();
        let task = tokio::spawn(async move {
            let _run = run;
            for number in resume_after + 1..=last {
                sleep(event_gap).await;
                server.wait_while_silent().await;
                let event = stream_event(&id, number, &version);
                if matches!(end, StreamEnd::Abort) && number * 2 > last {
                    let half = event.as_bytes()[..event.len() / 2].to_vec();
                    let _ = events.write(half.into()).await;
                    return;
                }
                if events.write(event.into()).await.is_err() {
                    server.with(|state| state.abandoned_streams += 1);
                    return;
                }
            }
            if let StreamEnd::Crash(poison) = end {
                // No report shows the engine alive after its answer.
                server.fall_silent(SILENCE_BEFORE_CRASH);
                server.crash_and_restart(poison);
            }
            events.end();
        });
        self.track_task(task.abort_handle());
        Response::new(BoxBody::new(body.map_err(io::Error::other)))
    }
}

/// Returns a response which proves that the request has not run, by its status or by a header.
fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = text_response(status, String::new());
    if status != StatusCode::MISDIRECTED_REQUEST {
        response.headers_mut().insert("not-run", 1.into());
    }
    response
}

/// How a stream ends.
enum StreamEnd {
    /// With its last event.
    Complete,
    /// In the middle of an event.
    Abort,
    /// With its last event, and the engine crashes after it.
    Crash(Poison),
}
