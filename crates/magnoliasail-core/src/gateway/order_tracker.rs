//! Orders to one engine, with optimistic concurrency control.
//!
//! Only one order is pending at a time. Each names the number of orders that the engine must have
//! accepted before, so that the engine rejects an order based on outdated state.

use {
    super::{Order, OrderKind, OrderOutcome},
    std::sync::Arc,
};

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    /// The full name of the adapter; absent for a base model.
    pub(super) adapter: Option<Arc<str>>,
}

/// Tracks the pending order, the order count and the fencing token of one engine.
#[derive(Clone, Debug)]
pub(super) struct OrderTracker {
    pending: Option<PendingOrder>,
    /// The number of orders issued and outcomes recorded. A report is current only if this has not
    /// changed since the report was requested.
    revision: u64,
    /// The number of orders that the engine has accepted; unknown until it reports.
    sequence: Option<u64>,
    fencing_token: u64,
}

impl Default for OrderTracker {
    fn default() -> Self {
        Self {
            pending: None,
            revision: 0,
            sequence: None,
            fencing_token: 1,
        }
    }
}

impl OrderTracker {
    /// Returns whether an order may be issued.
    pub(super) const fn is_ready(&self) -> bool {
        self.pending.is_none() && self.sequence.is_some()
    }

    /// Returns whether the engine's order count is known.
    pub(super) const fn has_sequence(&self) -> bool {
        self.sequence.is_some()
    }

    /// Returns the ticket for a report that is requested now.
    pub(super) const fn ticket(&self) -> u64 {
        self.revision
    }

    /// Returns whether a report that was requested with `ticket` is current.
    pub(super) const fn is_current(&self, ticket: u64) -> bool {
        ticket == self.revision && self.pending.is_none()
    }

    /// Sets the order count that the engine reports.
    pub(super) const fn set_sequence(&mut self, sequence: u64) {
        self.sequence = Some(sequence);
    }

    /// Clears the order count, so that no order is issued before the next report.
    pub(super) const fn clear_sequence(&mut self) {
        self.sequence = None;
    }

    /// Issues an order on an adapter, given by its full name.
    pub(super) fn issue_adapter(
        &mut self,
        kind: OrderKind,
        name: &Arc<str>,
        version: Option<u64>,
    ) -> Order {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let adapter = Some(Arc::from(adapter));
        self.issue(kind, model.into(), adapter, version, Some(Arc::clone(name)))
    }

    /// Issues the order to load a base model.
    pub(super) fn issue_model(&mut self, model: Arc<str>) -> Order {
        self.issue(OrderKind::Load, model, None, None, None)
    }

    /// Records the outcome of the pending order, and returns the order.
    pub(super) fn complete(&mut self, outcome: OrderOutcome) -> Option<PendingOrder> {
        let pending = self.pending.take()?;
        self.revision += 1;
        let is_unload = pending.order.kind == OrderKind::Unload;
        match outcome {
            // The engine does not count a load of what was loaded already.
            OrderOutcome::Done if !is_unload => {}
            OrderOutcome::Accepted | OrderOutcome::Done => {
                self.sequence = self.sequence.map(|sequence| sequence + 1);
            }
            OrderOutcome::Fenced => {
                self.fencing_token += 1;
                self.sequence = None;
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown | OrderOutcome::Rejected => {
                self.sequence = None;
            }
        }
        Some(pending)
    }

    fn issue(
        &mut self,
        kind: OrderKind,
        model: Arc<str>,
        adapter: Option<Arc<str>>,
        version: Option<u64>,
        name: Option<Arc<str>>,
    ) -> Order {
        let order = Order {
            kind,
            model,
            adapter,
            version,
            expected_sequence: self.sequence.unwrap_or(0),
            fencing_token: self.fencing_token,
        };
        self.revision += 1;
        self.pending = Some(PendingOrder {
            order: order.clone(),
            adapter: name,
        });
        order
    }
}
