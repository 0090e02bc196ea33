//! What a request is charged to the quota of its account, from its dispatch to its end.

use {
    super::{dispatch::Dispatch, refusal::Refusal},
    magnoliasail_core::gateway::Quota,
};

/// What a request was charged to the quota of its account.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaCharge {
    quota: Quota,
    cost_units: u64,
}

impl Dispatch {
    /// Charges the request to the quota of its account, if it has one.
    pub(super) async fn charge_quota(&mut self) -> Result<(), Refusal> {
        let Some(account) = &self.outgoing.account else {
            return Ok(());
        };
        let Some(quota) = account.quota else {
            return Ok(());
        };
        let cost_units = quota.cost_units(&self.outgoing.metadata);
        let charged = self.state.charge_quota(account, quota, cost_units).await;
        charged.map_err(Refusal::of_quota)?;
        self.charge = Some(QuotaCharge { quota, cost_units });
        Ok(())
    }

    /// Gives back what a request that has not run was charged.
    pub(super) fn refund_quota(&mut self) {
        if let (Some(charge), Some(account)) = (self.charge.take(), &self.outgoing.account) {
            self.state
                .refund_quota(account, charge.quota, charge.cost_units);
        }
    }
}
