//! Checks of an answer against its request: right model, right request, whole.

use {serde_json::Value, xxhash_rust::xxh3::xxh3_64};

/// What an answer must be.
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
    /// Returns what is wrong.
    pub(super) fn check(&self, model: &str, content: &str) -> Result<(), String> {
        if model != self.model {
            return Err(format!("the answer names {model}, not {}", self.model));
        }
        let prompt = xxh3_64(self.messages.to_string().as_bytes());
        let whole: String = (0..self.tokens)
            .map(|index| format!("{}/{prompt:016x}/{index} ", self.model))
            .collect();
        if content == whole {
            return Ok(());
        }
        if whole.starts_with(content) {
            return Err("the answer is not whole".to_owned());
        }
        Err("the answer is not to this request".to_owned())
    }

    /// Checks a plain answer.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
    pub(super) fn check_plain(&self, body: &[u8]) -> Result<(), String> {
        let value: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let content = &value["choices"][0]["message"]["content"];
        self.check(
            value["model"].as_str().unwrap_or_default(),
            content.as_str().unwrap_or_default(),
        )
    }

    /// Checks a streamed answer.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
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
            return Err("the stream has no end".to_owned());
        }
        self.check(&self.model, &content)
    }
}
