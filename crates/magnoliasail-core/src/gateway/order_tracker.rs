//! Orders to one engine: one at a time, each guarded by the number of orders before it.

use {
    super::{Order, OrderKind, OrderOutcome},
    std::sync::Arc,
};

/// An order without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    /// The full name of the adapter; absent for a base model.
    pub(super) adapter: Option<Arc<str>>,
}

/// Orders to one engine.
#[derive(Clone, Debug)]
pub(super) struct OrderTracker {
    pending: Option<PendingOrder>,
    /// Orders given and answers taken; a report is current only if none came since it was asked for.
    steps: u64,
    /// The number of orders that the engine has accepted; unknown until it reports.
    sequence: Option<u64>,
    fencing_token: u64,
}

impl Default for OrderTracker {
    fn default() -> Self {
        Self {
            pending: None,
            steps: 0,
            sequence: None,
            fencing_token: 1,
        }
    }
}

impl OrderTracker {
    /// Tells whether an order may be given.
    pub(super) const fn is_ready(&self) -> bool {
        self.pending.is_none() && self.sequence.is_some()
    }

    /// Tells whether the engine's count of orders is known.
    pub(super) const fn knows_sequence(&self) -> bool {
        self.sequence.is_some()
    }

    /// Returns a ticket to take before asking for a report.
    pub(super) const fn ticket(&self) -> u64 {
        self.steps
    }

    /// Tells whether a report that was asked for with `ticket` is current.
    pub(super) const fn is_current(&self, ticket: u64) -> bool {
        ticket == self.steps && self.pending.is_none()
    }

    /// Adopts the engine's own count of orders.
    pub(super) const fn adopt(&mut self, sequence: u64) {
        self.sequence = Some(sequence);
    }

    /// Forgets the engine's count of orders.
    pub(super) const fn forget(&mut self) {
        self.sequence = None;
    }

    /// Gives an order on an adapter, by its full name.
    pub(super) fn give_adapter(
        &mut self,
        kind: OrderKind,
        name: &Arc<str>,
        version: Option<u64>,
    ) -> Order {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let adapter = Some(Arc::from(adapter));
        self.give(kind, model.into(), adapter, version, Some(Arc::clone(name)))
    }

    /// Gives the order to load a base model.
    pub(super) fn give_model(&mut self, model: Arc<str>) -> Order {
        self.give(OrderKind::Load, model, None, None, None)
    }

    /// Records what became of the order under way, and returns it.
    pub(super) fn settle(&mut self, outcome: OrderOutcome) -> Option<PendingOrder> {
        let pending = self.pending.take()?;
        self.steps += 1;
        let is_unload = pending.order.kind == OrderKind::Unload;
        match outcome {
            // A load that held already is not counted by the engine.
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

    fn give(
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
        self.steps += 1;
        self.pending = Some(PendingOrder {
            order: order.clone(),
            adapter: name,
        });
        order
    }
}
