//! An HTTP client for the platform's services and backend servers, with a timeout on each call.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    snafu::Snafu,
    std::time::Duration,
    tokio::time::timeout,
};

/// Largest body of a response; a page of the table or of the list of VMs is much smaller.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The error of an HTTP call.
#[derive(Debug, Snafu)]
pub(crate) enum HttpError {
    /// The URL cannot be parsed.
    #[snafu(display("`{url}` is not a valid URL; correct it in the settings"))]
    InvalidUrl {
        /// The URL as configured.
        url: String,
    },
    /// The connection could not be opened, or it failed before the response was complete.
    #[snafu(display("cannot reach {url}: {cause}; check that the server runs"))]
    Unreachable {
        /// The URL that was called.
        url: String,
        /// The text of the connection error.
        cause: String,
    },
    /// The response was not complete within the timeout.
    #[snafu(display("no response from {url} within {timeout_ms} ms; check that the server runs"))]
    TimedOut {
        /// The URL that was called.
        url: String,
        /// The timeout that was exceeded, in milliseconds.
        timeout_ms: u64,
    },
    /// The status of the response is not a success.
    #[snafu(display("{url} answered {status}: {body}"))]
    Status {
        /// The URL that was called.
        url: String,
        /// The status of the response.
        status: StatusCode,
        /// The start of the response body.
        body: String,
    },
    /// The response body is not the expected JSON document, or contradicts an earlier one.
    #[snafu(display("{url} returned an unusable response: {cause}; check what serves this URL"))]
    Malformed {
        /// The URL that was called.
        url: String,
        /// The reason, for example the text of the JSON error.
        cause: String,
    },
}

/// An HTTP client that limits the time of each call.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Gets a JSON document, within `limit` for the whole call.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let bytes = self.call(Method::GET, url, Bytes::new(), limit).await?;
        decode(url, &bytes)
    }

    /// Posts a JSON document and returns the response body, within `limit` for the whole call.
    pub(crate) async fn post(
        &self,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        self.call(Method::POST, url, body, limit).await
    }

    async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let timed_out = || HttpError::TimedOut {
            url: url.to_owned(),
            timeout_ms: limit.as_millis() as u64,
        };
        timeout(limit, self.call_unbounded(method, url, body))
            .await
            .map_err(|_| timed_out())?
    }

    async fn call_unbounded(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<Bytes, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| HttpError::InvalidUrl {
                url: url.to_owned(),
            })?;
        let unreachable = |cause: String| HttpError::Unreachable {
            url: url.to_owned(),
            cause,
        };
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let bytes = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| unreachable(error.to_string()))?
            .to_bytes();
        if !status.is_success() {
            const MAX_SHOWN_BYTES: usize = 200;
            let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
            return Err(HttpError::Status {
                url: url.to_owned(),
                status,
                body: String::from_utf8_lossy(shown).into_owned(),
            });
        }
        Ok(bytes)
    }
}

fn decode<T: DeserializeOwned>(url: &str, bytes: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(bytes).map_err(|error| HttpError::Malformed {
        url: url.to_owned(),
        cause: error.to_string(),
    })
}
