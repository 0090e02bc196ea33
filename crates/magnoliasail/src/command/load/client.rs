//! Sends single requests and checks their answers.

use {
    super::{LoadCommand, report::Report, verify::Expected},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::{Instant, timeout},
    uuid::Uuid,
};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);
const DIRECT_CALLS: u64 = 200;

/// Result of a request.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The answer is correct and complete; durations count from the start of the request.
    Right {
        is_job: bool,
        first_byte: Duration,
        total: Duration,
    },
    /// The request was refused with an error code and an outcome, such as `not_run`.
    Refused { code: String, outcome: String },
    /// The answer is wrong, incomplete or missing, for the reason given.
    Wrong(String),
    /// A job ran more than once; names its idempotency key.
    Doubled(String),
}

/// An HTTP response with a complete body; durations count from the start of the request.
struct Answer {
    status: StatusCode,
    body: Bytes,
    first_byte: Duration,
    total: Duration,
}

/// A client that sends requests and verifies their answers.
pub(super) struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    tokens: u64,
    service: String,
}

impl LoadClient {
    pub(super) fn new(command: &LoadCommand) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            tokens: command.tokens,
            service: command.service.clone(),
        }
    }

    /// Returns the names of the models that an entry serves.
    pub(super) async fn models(&self, url: &str, key: &str) -> Result<Vec<String>, String> {
        let answer = self
            .call("GET", &format!("{url}/models"), key, None, Bytes::new())
            .await?;
        if !answer.status.is_success() {
            return Err(format!("{url}/models answered {}", answer.status));
        }
        let list: Value =
            serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
        let models: Vec<String> = list["data"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|model| model["id"].as_str().map(str::to_owned))
            .collect();
        if models.is_empty() {
            return Err("the entry serves no models; publish a table with adapters".to_owned());
        }
        Ok(models)
    }

    /// Sends a chat completion and verifies the answer.
    pub(super) async fn chat(
        &self,
        url: &str,
        key: &str,
        model: &str,
        number: u64,
        is_stream: bool,
    ) -> Outcome {
        let expected = self.expected(model, number);
        let body = chat_body(&expected, is_stream);
        let url = format!("{url}/chat/completions");
        let answer = match self.call("POST", &url, key, None, body).await {
            Ok(answer) => answer,
            Err(error) => return Outcome::Wrong(error),
        };
        if !answer.status.is_success() {
            return refused(&answer);
        }
        let result = if is_stream {
            expected.check_stream(&answer.body)
        } else {
            expected.check_plain(&answer.body)
        };
        checked(result, false, &answer)
    }

    fn expected(&self, model: &str, number: u64) -> Expected {
        Expected {
            model: model.to_owned(),
            messages: json!([{ "role": "user", "content": format!("request {number}") }]),
            tokens: self.tokens,
        }
    }

    /// Sends a job, and if `resend_url` is given sends it there again with the same idempotency key.
    ///
    /// Returns the first outcome that is an error, or else that of the first request.
    pub(super) async fn job(
        &self,
        url: &str,
        key: &str,
        number: u64,
        resend_url: Option<&str>,
    ) -> Outcome {
        let job_key = Uuid::now_v7().to_string();
        let first = self.send_job(url, key, &job_key, number).await;
        let Some(resend_url) = resend_url else {
            return first;
        };
        let second = self.send_job(resend_url, key, &job_key, number).await;
        match (&first, &second) {
            (Outcome::Wrong(_) | Outcome::Doubled(_), _) => first,
            (_, Outcome::Wrong(_) | Outcome::Doubled(_)) => second,
            _ => first,
        }
    }

    async fn send_job(&self, url: &str, key: &str, job_key: &str, number: u64) -> Outcome {
        let url = format!("{url}/services/{}/orders", self.service);
        let body = Bytes::from(json!({ "order": number }).to_string());
        let answer = match self.call("POST", &url, key, Some(job_key), body).await {
            Ok(answer) => answer,
            Err(error) => return Outcome::Wrong(error),
        };
        if !answer.status.is_success() {
            return refused(&answer);
        }
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if value["key"] != job_key {
            return Outcome::Wrong("the answer belongs to another job".to_owned());
        }
        if value["run"] != 1 {
            return Outcome::Doubled(format!("job {job_key} ran {} times", value["run"]));
        }
        checked(Ok(()), true, &answer)
    }

    /// Sends completions of a resident model directly to an engine and records their durations.
    ///
    /// Records nothing if the engine does not answer or has no resident model.
    pub(super) async fn measure_direct(&self, url: &str, report: &mut Report) {
        let Ok(health) = self
            .call("GET", &format!("{url}/health"), "", None, Bytes::new())
            .await
        else {
            return;
        };
        let health: Value = serde_json::from_slice(&health.body).unwrap_or_default();
        let Some(model) = health["residents"]
            .as_object()
            .and_then(|residents| residents.keys().next().cloned())
        else {
            return;
        };
        for number in 0..DIRECT_CALLS {
            let expected = self.expected(&model, number);
            let body = chat_body(&expected, false);
            let url = format!("{url}/v1/chat/completions");
            if let Ok(answer) = self.call("POST", &url, "", None, body).await
                && answer.status.is_success()
            {
                report.add_direct(answer.total);
            }
        }
    }

    async fn call(
        &self,
        method: &str,
        url: &str,
        key: &str,
        job_key: Option<&str>,
        body: Bytes,
    ) -> Result<Answer, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        if let Some(job_key) = job_key {
            request = request.header("idempotency-key", job_key);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        timeout(ANSWER_TIMEOUT, self.receive(request))
            .await
            .map_err(|_| "no complete answer in time".to_owned())?
    }

    async fn receive(&self, request: Request<Full<Bytes>>) -> Result<Answer, String> {
        let started = Instant::now();
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| format!("no answer: {error}"))?;
        let status = response.status();
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        let mut first_byte = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("the answer was cut off: {error}"))?;
            if let Ok(data) = frame.into_data() {
                first_byte.get_or_insert_with(|| started.elapsed());
                bytes.extend_from_slice(&data);
            }
        }
        let total = started.elapsed();
        Ok(Answer {
            status,
            body: bytes.into(),
            first_byte: first_byte.unwrap_or(total),
            total,
        })
    }
}

fn chat_body(expected: &Expected, is_stream: bool) -> Bytes {
    let body = json!({
        "model": expected.model,
        "messages": expected.messages,
        "max_tokens": expected.tokens,
        "stream": is_stream,
    });
    Bytes::from(body.to_string())
}

/// Returns the outcome of a successful answer whose check gave `result`.
fn checked(result: Result<(), String>, is_job: bool, answer: &Answer) -> Outcome {
    match result {
        Ok(()) => Outcome::Right {
            is_job,
            first_byte: answer.first_byte,
            total: answer.total,
        },
        Err(error) => Outcome::Wrong(error),
    }
}

/// Returns the outcome of an error answer, which must carry a code and an outcome.
fn refused(answer: &Answer) -> Outcome {
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let error = &value["error"];
    let (Some(code), Some(outcome)) = (error["code"].as_str(), error["outcome"].as_str()) else {
        return Outcome::Wrong(format!(
            "{} without an error code and outcome",
            answer.status
        ));
    };
    Outcome::Refused {
        code: code.to_owned(),
        outcome: outcome.to_owned(),
    }
}
