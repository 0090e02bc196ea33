//! Answers of the stand-ins, and the content of their streams, which callers check.

use {
    super::backend_server::{Body, MODEL},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{Response, StatusCode},
    std::convert::Infallible,
};

/// Returns an event of the stream that the attempt `id` began, as a server of this software version
/// writes it.
pub(crate) fn stream_event(id: &str, number: u64, software_version: &str) -> String {
    format!("id: {number}\ndata: {id} {number} {software_version}\n\n")
}

/// Returns the number of events in the stream that answers a request, from 5 to 19. It depends on
/// the request id alone, so that callers can check the answer.
pub(crate) fn event_count(id: &str) -> u64 {
    let byte_sum: u64 = id.bytes().map(u64::from).sum();
    5 + byte_sum % 15
}

pub(super) fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    let mut response = Response::new(BoxBody::new(body));
    *response.status_mut() = status;
    response
}

pub(super) fn with_response_headers(
    mut response: Response<Body>,
    id: &str,
    server: &str,
) -> Response<Body> {
    let headers = response.headers_mut();
    if let (Ok(id), Ok(server)) = (id.parse(), server.parse()) {
        headers.insert("request-id", id);
        headers.insert("response-stamp", server);
    }
    response
}

/// Returns the full name of an adapter, such as `base/a0`.
pub(crate) fn adapter_name(index: u32) -> String {
    format!("{MODEL}/a{index}")
}
