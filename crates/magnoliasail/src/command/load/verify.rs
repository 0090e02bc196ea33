//! Verifies chat completions of the stand-in engine: right model, right prompt, complete.
//!
//! Each token that the stand-in engine generates names the model, a hash of the prompt and the
//! token's index, so a mixed-up or truncated answer is recognised.

use {serde_json::Value, xxhash_rust::xxh3::xxh3_64};

/// Model, prompt and length that an answer must match.
#[derive(Clone, Debug)]
pub(super) struct Expected {
    pub(super) model: String,
    pub(super) messages: Value,
    pub(super) tokens: u64,
}

impl Expected {
    /// Checks the text of an answer and the model that it names.
    ///
    /// # Errors
    ///
    /// Returns an error if the model or the prompt differs or the text is incomplete.
    pub(super) fn check(&self, model: &str, content: &str) -> Result<(), String> {
        if model != self.model {
            return Err(format!("the answer names {model}, not {}", self.model));
        }
        let prompt = xxh3_64(self.messages.to_string().as_bytes());
        let expected: String = (0..self.tokens)
            .map(|index| format!("{}/{prompt:016x}/{index} ", self.model))
            .collect();
        if content == expected {
            return Ok(());
        }
        if expected.starts_with(content) {
            return Err("the answer is incomplete".to_owned());
        }
        Err("the answer belongs to another request".to_owned())
    }

    /// Checks the JSON body of an answer that is not streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON or [`Self::check`] fails.
    pub(super) fn check_plain(&self, body: &[u8]) -> Result<(), String> {
        let value: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let content = &value["choices"][0]["message"]["content"];
        self.check(
            value["model"].as_str().unwrap_or_default(),
            content.as_str().unwrap_or_default(),
        )
    }

    /// Checks the server-sent events of a streamed answer.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is not JSON or names another model, if the end marker is
    /// missing, or if [`Self::check`] fails for the joined text.
    pub(super) fn check_stream(&self, body: &[u8]) -> Result<(), String> {
        let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
        let mut content = String::new();
        let mut is_done = false;
        for event in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if event == "[DONE]" {
                is_done = true;
                continue;
            }
            let value: Value = serde_json::from_str(event).map_err(|error| error.to_string())?;
            let model = value["model"].as_str().unwrap_or_default();
            if model != self.model {
                return Err(format!("an event names {model}, not {}", self.model));
            }
            let delta = &value["choices"][0]["delta"]["content"];
            content.push_str(delta.as_str().unwrap_or_default());
        }
        if !is_done {
            return Err("the stream ended without [DONE]".to_owned());
        }
        self.check(&self.model, &content)
    }
}
