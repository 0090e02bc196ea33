//! What a request says of itself.

use std::sync::Arc;

/// What a request says of itself, as far as a decision needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id that the caller gave this attempt.
    pub id: Option<Arc<str>>,
    /// The time that the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The base model.
    pub model: Option<Arc<str>>,
    /// The adapter of the base model.
    pub adapter: Option<Arc<str>>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// The largest number of output tokens.
    pub output_tokens: u64,
    /// The caller's estimate of the output, in tokens.
    pub output_hint_tokens: Option<u64>,
    /// The ids of the prompt's shared parts, in order.
    pub prompt_prefixes: Vec<Arc<str>>,
}
