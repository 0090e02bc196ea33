//! A client for the platform's services.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
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

/// Why a call failed.
#[derive(Debug, Snafu)]
pub(crate) enum HttpError {
    /// The address is malformed.
    #[snafu(display("`{url}` is not a URL; correct the settings"))]
    Address {
        /// The address.
        url: String,
    },
    /// The server cannot be reached or broke off.
    #[snafu(display("{url} cannot be reached: {cause}; check that it runs"))]
    Unreachable {
        /// The address.
        url: String,
        /// The cause.
        cause: String,
    },
    /// The server was silent for too long.
    #[snafu(display("{url} did not answer within {timeout_ms} ms; check that it runs"))]
    Silent {
        /// The address.
        url: String,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The server answered with an error.
    #[snafu(display("{url} answered {status}: {body}"))]
    Status {
        /// The address.
        url: String,
        /// The status.
        status: StatusCode,
        /// The beginning of the body.
        body: String,
    },
    /// The answer cannot be understood.
    #[snafu(display("{url} gave an answer that cannot be read: {cause}"))]
    Malformed {
        /// The address.
        url: String,
        /// The cause.
        cause: String,
    },
}

/// A client with a bound on the time of each call.
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

    /// Reads a JSON document.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let bytes = self.call(Method::GET, url, Bytes::new(), limit).await?;
        decode(url, &bytes)
    }

    /// Sends a JSON document and returns the answer.
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
        let silent = || HttpError::Silent {
            url: url.to_owned(),
            timeout_ms: limit.as_millis() as u64,
        };
        timeout(limit, self.call_unbounded(method, url, body))
            .await
            .map_err(|_| silent())?
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
            .map_err(|_| HttpError::Address {
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
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(|error| unreachable(error.to_string()))?
            .to_bytes();
        if !status.is_success() {
            const SHOWN_BYTES: usize = 200;
            let shown = &bytes[..bytes.len().min(SHOWN_BYTES)];
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
