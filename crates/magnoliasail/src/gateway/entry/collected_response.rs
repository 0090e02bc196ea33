//! Responses that are read completely before the caller gets them.

use {
    super::{
        attempt::BodyUpdate, buffered_body::BufferedBody, dispatch::StartedResponse,
        response_body::ResponseBody, state::EntryState,
    },
    hyper::Response,
    std::rc::Rc,
};

/// Largest body of a response that is read completely.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Why there is no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Incomplete {
    /// It ended early or is too long.
    BrokenOff,
    /// Whether it ended early is unknown, which says nothing against the request.
    Unproven,
}

/// Reads a response to its end.
///
/// # Errors
///
/// Returns why it does not count as complete.
pub(super) async fn collect_response(
    state: &Rc<EntryState>,
    started: StartedResponse,
) -> Result<Response<ResponseBody>, Incomplete> {
    let StartedResponse {
        status,
        headers,
        mut attempt,
        in_flight,
    } = started;
    let mut body = BufferedBody::new(&state.buffered, MAX_BODY_BYTES);
    loop {
        match attempt.next().await {
            BodyUpdate::Part(bytes) => {
                if let Err(error) = body.push(&bytes) {
                    state.record_overlong_response(&in_flight, error);
                    return Err(Incomplete::BrokenOff);
                }
            }
            BodyUpdate::Stalled => {}
            BodyUpdate::End => break,
            BodyUpdate::Aborted => {
                in_flight.end();
                return Err(Incomplete::BrokenOff);
            }
            BodyUpdate::Unproven => {
                in_flight.end();
                return Err(Incomplete::Unproven);
            }
        }
    }
    in_flight.end();
    drop(in_flight);
    let (body, held) = body.finish();
    let mut response = Response::new(ResponseBody::held(body, held));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}
