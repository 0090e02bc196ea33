//! One attempt in the hands of an agent.

use {
    super::{LinkId, RunId},
    crate::{
        AdapterRef, RefusalReason, TimeMs,
        job::JobKey,
        message::{AgentMessage, Chunk, End, Head},
    },
    bytes::Bytes,
    std::sync::Arc,
};

/// What a run is for.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Model {
        adapter: AdapterRef,
        slot: usize,
        generation: u64,
    },
    Call {
        method: Arc<str>,
        path: Arc<str>,
        content_type: Arc<str>,
        key: Option<JobKey>,
    },
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for its adapter or for room on the server.
    Waiting,
    /// Has been handed to the server.
    Running,
    /// Has been cancelled; the server has not confirmed it yet.
    Cancelling,
    /// Has its final answer, which is retained until the entry acknowledges it.
    Ended,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) entry: u64,
    pub(super) attempt: u64,
    pub(super) link: Option<LinkId>,
    pub(super) orphaned_ms: Option<TimeMs>,
    pub(super) work: Work,
    pub(super) stage: Stage,
    pub(super) given_up: Option<RefusalReason>,
    pub(super) fingerprint: u64,
    pub(super) is_suspect: bool,
    pub(super) waits_for_load: bool,
    pub(super) priority: u32,
    pub(super) body: Bytes,
    pub(super) accepted_ms: TimeMs,
    pub(super) deadline_ms: TimeMs,
    pub(super) head: Option<Head>,
    pub(super) chunks: Vec<Bytes>,
    pub(super) retained_bytes: usize,
    pub(super) ending: Option<AgentMessage>,
}

impl Run {
    pub(super) fn slot(&self) -> Option<(usize, u64)> {
        match self.work {
            Work::Model {
                slot, generation, ..
            } => Some((slot, generation)),
            Work::Call { .. } => None,
        }
    }

    /// Returns the time for which the run has waited for its adapter, in milliseconds.
    pub(super) const fn stall_ms(&self, now_ms: TimeMs) -> u64 {
        if self.waits_for_load {
            now_ms.saturating_sub(self.accepted_ms)
        } else {
            0
        }
    }

    pub(super) fn key(&self) -> Option<&JobKey> {
        match &self.work {
            Work::Call { key, .. } => key.as_ref(),
            Work::Model { .. } => None,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running | Stage::Cancelling)
    }

    pub(super) fn end(&self) -> AgentMessage {
        End {
            attempt: self.attempt,
            chunks: self.chunks.len() as u64,
        }
        .into()
    }

    /// Returns the messages that an entry lacks which has the chunks before `next_sequence`.
    pub(super) fn replay(&self, next_sequence: u64) -> Vec<AgentMessage> {
        let mut messages = Vec::new();
        messages.extend(self.head.clone().map(AgentMessage::from));
        for (sequence, data) in self.chunks.iter().enumerate().skip(next_sequence as usize) {
            messages.push(
                Chunk {
                    attempt: self.attempt,
                    sequence: sequence as u64,
                    data: data.clone(),
                }
                .into(),
            );
        }
        messages.extend(self.ending.clone());
        messages
    }
}
