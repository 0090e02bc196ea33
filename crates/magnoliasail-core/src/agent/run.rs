//! The state of one attempt that an agent has accepted.

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

/// The work of a run: a chat completion or a call of a plain service.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// A chat completion by the adapter in a slot, which the run pins.
    Model {
        adapter: AdapterRef,
        slot: usize,
        generation: u64,
    },
    /// A call of a plain service; with a key, it is a job that may run at most once.
    Service {
        method: Arc<str>,
        path: Arc<str>,
        content_type: Arc<str>,
        key: Option<JobKey>,
    },
}

/// The stage of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for its adapter or for capacity of the server.
    Waiting,
    /// Has been sent to the server.
    Running,
    /// Has been cancelled; the server has not confirmed the cancellation yet.
    Cancelling,
    /// Has its final message, which is retained until the entry acknowledges it or the resume
    /// window closes.
    Ended,
}

/// An attempt that the agent has accepted, from its admission to the acknowledgement of its answer.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) entry: u64,
    pub(super) attempt: u64,
    /// The link to the entry, `None` while the entry has none.
    pub(super) link: Option<LinkId>,
    /// Time at which the run lost its link.
    pub(super) orphaned_since_ms: Option<TimeMs>,
    pub(super) work: Work,
    pub(super) stage: Stage,
    /// Reason for the cancellation of a run that was already sent to the server.
    pub(super) cancel_reason: Option<RefusalReason>,
    pub(super) fingerprint: u64,
    /// Whether the request may have crashed a server and must therefore run alone.
    pub(super) is_suspect: bool,
    /// Whether the adapter was not ready when the run was accepted.
    pub(super) waits_for_load: bool,
    pub(super) priority: u32,
    pub(super) body: Bytes,
    pub(super) accepted_ms: TimeMs,
    pub(super) deadline_ms: TimeMs,
    pub(super) head: Option<Head>,
    pub(super) chunks: Vec<Bytes>,
    pub(super) retained_bytes: usize,
    /// The message that ends the attempt at the entry.
    pub(super) final_message: Option<AgentMessage>,
}

impl Run {
    /// Returns the slot that the run pins, and its generation.
    pub(super) fn pinned_slot(&self) -> Option<(usize, u64)> {
        match self.work {
            Work::Model {
                slot, generation, ..
            } => Some((slot, generation)),
            Work::Service { .. } => None,
        }
    }

    /// Returns the time since the run was accepted if it had to wait for its adapter, in
    /// milliseconds; otherwise zero.
    pub(super) const fn stall_ms(&self, now_ms: TimeMs) -> u64 {
        if self.waits_for_load {
            now_ms.saturating_sub(self.accepted_ms)
        } else {
            0
        }
    }

    pub(super) fn key(&self) -> Option<&JobKey> {
        match &self.work {
            Work::Service { key, .. } => key.as_ref(),
            Work::Model { .. } => None,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running | Stage::Cancelling)
    }

    pub(super) fn end_message(&self) -> AgentMessage {
        End {
            attempt: self.attempt,
            chunks: self.chunks.len() as u64,
        }
        .into()
    }

    /// Returns the messages to send again to an entry that has every chunk before `next_sequence`.
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
        messages.extend(self.final_message.clone());
        messages
    }
}
