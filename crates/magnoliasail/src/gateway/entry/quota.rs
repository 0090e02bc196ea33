//! Charges requests to the quotas of their client accounts.
//!
//! A request is charged before it is sent. If the units that agents have granted do not suffice, the agents
//! of the account's shares are asked in turn ([`QuotaLease`]). A request that turns out not to have run gets
//! its units back.

use {
    super::state::{EntryState, retry_jitter_ms},
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::{
        Account, QUOTA_SHARES, Quota, QuotaGrant, QuotaLease, QuotaQuestion, QuotaShare, QuotaStep,
        pick_quota_agent, quota_share_key,
    },
    rand::Rng,
    serde_json::{Value, json},
    std::{cell::Cell, collections::HashMap, net::IpAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Time for an agent to answer, well above the time between two data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait of a request for the first link to an agent, at an entry that has just started.
const MAX_LINK_WAIT: Duration = Duration::from_millis(400);
/// Longest time between checks whether a link has come up.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Accounts whose use is remembered; more than the active accounts of an entry.
const MAX_ACCOUNTS: usize = 16_384;
/// The number of entries that is assumed until an agent has reported one. It is high, since entries that
/// reach no agent divide a part of each quota by it.
const ASSUMED_ENTRIES: u32 = 64;
/// Time between two log lines on refusals of the same account.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The use of quotas at an entry, by account.
#[derive(Default)]
pub(super) struct AccountQuotas {
    leases: HashMap<Arc<str>, AccountLease>,
    /// The highest number of entries that agents have reported.
    entry_count: Option<u32>,
}

struct AccountLease {
    lease: QuotaLease,
    logged_ms: Cell<u64>,
    refused: u64,
}

/// A request that does not fit into the quota of its account.
#[derive(Clone, Copy, Debug)]
pub(super) enum QuotaRefusal {
    /// The request costs more than the account may ever use at once.
    TooLarge,
    /// The account has used its quota.
    Exceeded {
        /// The time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
}

impl AccountQuotas {
    fn lease(&mut self, account: &Account, quota: Quota, now_ms: u64) -> &mut AccountLease {
        if self.leases.len() >= MAX_ACCOUNTS {
            self.leases
                .retain(|_, account| account.lease.use_per_s(now_ms) >= 1.0);
        }
        let name = Arc::clone(&account.name);
        let account = self.leases.entry(name).or_insert_with(|| AccountLease {
            lease: QuotaLease::new(quota, rand::rng().random_range(0..QUOTA_SHARES), now_ms),
            logged_ms: Cell::new(0),
            refused: 0,
        });
        account.lease.set_quota(quota);
        account
    }

    /// Returns the quota and the use of each account, as JSON.
    pub(super) fn status(&self, now_ms: u64) -> Vec<Value> {
        let row = |(name, account): (&Arc<str>, &AccountLease)| {
            let quota = account.lease.quota();
            json!({
                "account": name,
                "rate_per_s": quota.rate_per_s,
                "burst_units": quota.burst_units,
                "use_per_s": account.lease.use_per_s(now_ms),
                "refused": account.refused,
            })
        };
        self.leases.iter().map(row).collect()
    }
}

impl EntryState {
    /// Charges a request that costs `cost_units` to the quota of its account.
    ///
    /// # Errors
    ///
    /// Returns why the request does not fit into the quota.
    pub(super) async fn charge_quota(
        &self,
        account: &Account,
        quota: Quota,
        cost_units: u64,
    ) -> Result<(), QuotaRefusal> {
        if cost_units > quota.max_cost_units() {
            return Err(QuotaRefusal::TooLarge);
        }
        let is_charged = self.with_lease(account, quota, |account, now_ms| {
            account.lease.try_charge(cost_units, now_ms)
        });
        if is_charged {
            return Ok(());
        }
        self.wait_for_agents(account).await;
        loop {
            let agents = self.quota_agents(account);
            let is_reachable = agents.map(|agent| agent.is_some());
            let entry_count = self.quota_entry_count();
            let step = self.with_lease(account, quota, |account, now_ms| {
                let lease = &mut account.lease;
                lease.next_step(cost_units, &is_reachable, entry_count, now_ms)
            });
            let (share, ahead_units, returned_units) = match step {
                QuotaStep::Admit => return Ok(()),
                QuotaStep::Refuse { retry_after_ms } => {
                    return Err(self.refuse_quota(account, quota, cost_units, retry_after_ms));
                }
                QuotaStep::Ask {
                    share,
                    ahead_units,
                    returned_units,
                } => (share, ahead_units, returned_units),
            };
            let question = QuotaQuestion {
                share_key: quota_share_key(&account.name, share),
                share: QuotaShare::of(&quota),
                version: self.table.borrow().version().unwrap_or_default(),
                need_units: cost_units,
                ahead_units,
                returned_units,
            };
            let answer = self.ask_quota(agents[share], &question).await;
            let is_admitted = self.with_lease(account, quota, |account, now_ms| {
                let lease = &mut account.lease;
                lease.apply_answer(share, answer, cost_units, now_ms)
            });
            if is_admitted {
                return Ok(());
            }
        }
    }

    /// Gives back the units of a request that has not run.
    pub(super) fn refund_quota(&self, account: &Account, quota: Quota, cost_units: u64) {
        self.with_lease(account, quota, |account, now_ms| {
            account.lease.refund(cost_units, now_ms);
        });
    }

    fn with_lease<T>(
        &self,
        account: &Account,
        quota: Quota,
        operation: impl FnOnce(&mut AccountLease, u64) -> T,
    ) -> T {
        let now_ms = self.clock.now_ms();
        let mut quotas = self.quotas.borrow_mut();
        operation(quotas.lease(account, quota, now_ms), now_ms)
    }

    /// Waits at an entry that has just started until the link to one of the account's agents is up.
    async fn wait_for_agents(&self, account: &Account) {
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_LINK_WAIT
            && self.is_connecting()
            && self.quota_agents(account).iter().all(Option::is_none)
        {
            let _ = timeout(LINK_POLL_INTERVAL, self.changes.notified()).await;
        }
    }

    /// Returns whether links to agents exist and none has come up yet.
    fn is_connecting(&self) -> bool {
        let links = self.links.borrow();
        !links.is_empty()
            && links
                .values()
                .all(|link| !link.is_up() && link.is_starting())
    }

    /// Returns the VMs whose agents grant the shares of an account; `None` for those that cannot be asked.
    fn quota_agents(&self, account: &Account) -> [Option<IpAddr>; QUOTA_SHARES] {
        let links = self.links.borrow();
        std::array::from_fn(|share| {
            let key = quota_share_key(&account.name, share);
            let agent = pick_quota_agent(key, links.keys().copied())?;
            links.get(&agent)?.is_up().then_some(agent)
        })
    }

    async fn ask_quota(
        &self,
        agent: Option<IpAddr>,
        question: &QuotaQuestion,
    ) -> Option<QuotaGrant> {
        let answer = self.links.borrow().get(&agent?)?.ask_quota(question)?;
        self.metrics.quota_questions.inc();
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Returns the number of entries that share what is used without agents.
    fn quota_entry_count(&self) -> u32 {
        let reported = self.reported_entry_count();
        let mut quotas = self.quotas.borrow_mut();
        quotas.entry_count = reported.max(quotas.entry_count);
        quotas.entry_count.unwrap_or(ASSUMED_ENTRIES).max(1)
    }

    /// Logs the refusal of a request, at most once a second for an account.
    fn refuse_quota(
        &self,
        account: &Account,
        quota: Quota,
        cost_units: u64,
        retry_after_ms: u64,
    ) -> QuotaRefusal {
        let version = self.table.borrow().version().unwrap_or_default();
        self.with_lease(account, quota, |lease, now_ms| {
            lease.refused += 1;
            if now_ms < lease.logged_ms.get() + LOG_INTERVAL_MS {
                return;
            }
            lease.logged_ms.set(now_ms);
            emit(
                EventId::QuotaExceeded,
                format_args!(
                    "account={} cost_units={cost_units} use_per_s={:.0} rate_per_s={:.0} burst_units={:.0} version={version} refused={} retry_after_ms={retry_after_ms}",
                    account.name,
                    lease.lease.use_per_s(now_ms),
                    quota.rate_per_s,
                    quota.burst_units,
                    lease.refused
                ),
            );
        });
        QuotaRefusal::Exceeded {
            retry_after_ms: retry_after_ms + retry_jitter_ms(),
        }
    }
}
