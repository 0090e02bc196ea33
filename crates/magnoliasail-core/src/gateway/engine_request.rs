//! Requests in the queue of a model engine, and the reasons for refusing them.

use {
    crate::TimeMs,
    std::sync::Arc,
    strum::{Display, EnumIter, FromRepr, IntoStaticStr},
};

/// A request that waits for a model engine or runs on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRequest {
    /// The key that identifies the request at its agent.
    pub key: u64,
    /// The name of the base model.
    pub model: Arc<str>,
    /// The full name of the adapter, `model/adapter`; absent for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The client account; absent if the request needs none.
    pub account: Option<Arc<str>>,
    /// The priority rank; rank 0 is served first.
    pub rank: u32,
    /// The rank among the requests of the same account and `rank`; rank 0 is served first.
    pub minor_rank: u32,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The KV-cache memory that the request may need, in tokens.
    pub kv_tokens: u64,
    /// The time of arrival.
    pub arrived_ms: TimeMs,
    /// The time by which the first event should be sent; after it the answer is worth less.
    pub objective_ms: TimeMs,
    /// The time at which the caller stops waiting.
    pub deadline_ms: TimeMs,
    /// Whether the entry can place the request elsewhere if it would be late here.
    pub may_move: bool,
}

impl EngineRequest {
    /// Returns what the request takes of an engine's time, in prompt tokens.
    #[must_use]
    pub const fn cost_units(&self) -> u64 {
        /// Prompt tokens that an engine reads in the time in which a full batch produces one token for each
        /// of its requests, divided among them.
        const OUTPUT_TOKEN_COST: u64 = 4;
        let output_tokens = self.kv_tokens.saturating_sub(self.prompt_tokens);
        self.prompt_tokens
            .saturating_add(output_tokens.saturating_mul(OUTPUT_TOKEN_COST))
    }

    /// Returns the rank that the engine is told: that of the account, and within it the minor one.
    #[must_use]
    pub const fn engine_rank(rank: u32, minor_rank: u32, has_account: bool) -> u32 {
        /// Minor ranks that the engine can tell apart.
        const MINOR_RANKS: u32 = 4;
        if !has_account {
            return rank;
        }
        let minor_rank = if minor_rank < MINOR_RANKS {
            minor_rank
        } else {
            MINOR_RANKS - 1
        };
        rank.saturating_mul(MINOR_RANKS).saturating_add(minor_rank)
    }
}

/// Reason for which an agent refuses a request, which has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, Display, IntoStaticStr, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum EngineRefusal {
    /// The queue is too long for the request to finish in time.
    Overloaded = 1,
    /// The deadline of the request passed in the queue.
    Expired = 2,
    /// The engine neither has the base model nor is loading it.
    ModelAbsent = 3,
    /// The engine or its agent is draining.
    Draining = 4,
    /// The engine cannot be reached.
    EngineDown = 5,
    /// The engine itself refused the request.
    EngineRefused = 6,
    /// The agent's engine is not the server that the request names.
    WrongServer = 7,
    /// No adapter slot became free in time for the request's adapter.
    NoSlot = 8,
    /// The engine has said that it is leaving.
    Leaving = 9,
    /// The engine has asked for a pause that ends too late for the request.
    Paused = 10,
    /// The request crashes engines and is quarantined.
    Quarantined = 11,
    /// The engine names a rate under which it could get the request only too late.
    RateLimited = 12,
    /// Another engine may start the request sooner.
    LateHere = 13,
    /// The engine has another start than the one that the request is meant for.
    OtherStart = 14,
    /// The agent holds too many bytes of other requests to take this one.
    BuffersFull = 16,
    /// The engine has an older version of the adapter, and replaces it too late for the request.
    OutdatedAdapter = 15,
}
