//! Properties of a request, decoded from its headers.

use {std::sync::Arc, xxhash_rust::xxh3::xxh3_64};

/// The properties of a request on which routing and scheduling depend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id that the caller assigned to this attempt.
    pub id: Option<Arc<str>>,
    /// The id of the attempt that brought the first event, if the caller resumes a stream.
    pub resumes: Option<Arc<str>>,
    /// The id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The time that the caller waits for the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The name of the base model.
    pub model: Option<Arc<str>>,
    /// The name of the adapter, without its base model.
    pub adapter: Option<Arc<str>>,
    /// Whether the caller states the numbers of tokens.
    pub has_token_count: bool,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of output tokens.
    pub output_tokens: u64,
    /// The number of output tokens that the caller expects.
    pub output_hint_tokens: Option<u64>,
    /// The ids of the prompt's leading parts that it shares with other prompts, in order.
    pub prompt_prefixes: Vec<Arc<str>>,
}

impl RequestMetadata {
    /// Returns the key of the stream that answers the request, the same for all attempts of the
    /// caller at this stream; `None` if the request has no id.
    #[must_use]
    pub fn stream_key(&self) -> Option<u64> {
        let first_attempt = self.resumes.as_ref().or(self.id.as_ref())?;
        Some(xxh3_64(first_attempt.as_bytes()))
    }
}
