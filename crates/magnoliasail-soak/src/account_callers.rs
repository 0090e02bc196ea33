//! Client accounts of a soak: that of the usual callers, and one that sends far more than its quota.

use {
    crate::{
        caller::{Call, CallKind, Caller},
        client_account::{ClientAccount, QUOTA_WINDOW},
        fleet::Fleet,
        ledger::Ledger,
        standin::adapter_name,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// The key and the name of the account of the usual callers.
pub(crate) const USUAL_KEY: (&str, &str) = ("usual-key", "usual");
/// The same of an account that sends content which crashes servers when the usual callers send it.
pub(crate) const OTHER_KEY: (&str, &str) = ("other-key", "other");
const FLOOD_KEY: (&str, &str) = ("flood-key", "flood");
/// The quota of the flooding account, in tokens per second.
const FLOOD_RATE_PER_S: u32 = 2_400;
/// What a call of it costs, in tokens.
const CALL_TOKENS: f64 = 150.0;
/// Time between two calls of a flooding caller.
const FLOOD_PAUSE: Duration = Duration::from_millis(25);
/// The shares of a quota, each of which the last request may overdraw.
const QUOTA_SHARES: f64 = 4.0;

/// Returns the client accounts of a soak.
pub(crate) fn accounts() -> Vec<ClientAccount> {
    vec![
        account(USUAL_KEY, 0),
        account(OTHER_KEY, 0),
        flood_account(),
    ]
}

fn account((key, name): (&'static str, &'static str), rate_per_s: u32) -> ClientAccount {
    ClientAccount {
        name,
        keys: vec![key],
        rank: 1,
        rate_per_s,
    }
}

fn flood_account() -> ClientAccount {
    account(FLOOD_KEY, FLOOD_RATE_PER_S)
}

/// Starts a caller of each entry that sends far more than the quota of its account, until `is_stopped`.
pub(crate) fn start_flood(fleet: &Fleet, is_stopped: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let entries = 0..fleet.entry_count();
    let start = |entry| {
        let caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
        tokio::spawn(keep_calling(entry, caller, Arc::clone(is_stopped)))
    };
    entries.map(start).collect()
}

async fn keep_calling(entry: u8, mut caller: Caller, is_stopped: Arc<AtomicBool>) {
    let mut number = 0;
    while !is_stopped.load(Ordering::SeqCst) {
        let call = Call {
            id: format!("flood-{entry}-{number}"),
            kind: CallKind::Stream,
            adapter: adapter_name(number % 3),
            key: Some(FLOOD_KEY),
            ..Call::default()
        };
        let _ = caller.call(&call).await;
        number += 1;
        sleep(FLOOD_PAUSE).await;
    }
}

/// Records a violation if the flooding account used more than its quota allows in some window.
pub(crate) fn check_flood(ledger: &Ledger) {
    let flood = flood_account();
    let tokens = ledger.most_runs_of(flood.name, QUOTA_WINDOW) as f64 * CALL_TOKENS;
    let allowed = flood.allowed_tokens() + QUOTA_SHARES * CALL_TOKENS;
    if tokens > allowed {
        let detail = format!("{} used {tokens} of {allowed} tokens", flood.name);
        ledger.record_violation("accounts keep to their quotas", detail);
    }
}
