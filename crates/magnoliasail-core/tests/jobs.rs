//! Property tests of the parts of at-most-once execution: the lease, the roster history and the
//! ledger.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    magnoliasail_core::{
        job::{
            JobAnswer, JobKey, JobLease, JobLedger, KeySpan, LedgerLookup,
            ROSTER_ACTIVATION_DELAY_MS, RosterHistory,
        },
        table::{Roster, RosterRow},
    },
};

const SEEDS: u64 = 500;
/// Bytes of random input per seed.
const INPUT_BYTES: u64 = 2_048;
const LEASE_MS: u64 = 2_000;

fn for_each_seed<P>(mut property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>,
{
    for seed in 1..=SEEDS {
        arbtest(&mut property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

const fn created_at(created_ms: u64) -> KeySpan {
    KeySpan {
        first_ms: created_ms,
        last_ms: created_ms,
    }
}

fn may_run(lease: &JobLease, span: KeySpan) -> bool {
    !lease.may_belong_to_predecessor(span, LEASE_MS)
        && !lease.may_belong_to_successor(span, LEASE_MS)
}

#[test]
fn no_key_may_run_under_two_incarnations() {
    for_each_seed(|choices| {
        // The platform's list assigns the slot to one VM after another; each VM reads the list at
        // random times.
        let mut leases = vec![JobLease::new(0); 4];
        let mut listed_ms = 10_000;
        for holder in 0..leases.len() {
            let until_ms = listed_ms + choices.int_in_range(1..=5_000)?;
            for (vm, lease) in leases.iter_mut().enumerate() {
                for _ in 0..choices.int_in_range(0..=3)? {
                    let as_of_ms = choices.int_in_range(listed_ms..=until_ms - 1)?;
                    lease.observe(as_of_ms, vm == holder);
                }
            }
            listed_ms = until_ms;
        }
        for created_ms in (8_000..listed_ms + 2 * LEASE_MS).step_by(50) {
            let span = created_at(created_ms);
            let count = leases.iter().filter(|lease| may_run(lease, span)).count();
            assert!(
                count <= 1,
                "{count} incarnations may run {created_ms}: {leases:?}"
            );
        }
        Ok(())
    });
}

fn roster(slots: &[u32]) -> Roster {
    let row = |slot: &u32| RosterRow {
        service: "orders".into(),
        slot: format!("slot-{slot}").into(),
        lease_ms: LEASE_MS,
        opaque_horizon_ms: 1_000,
    };
    Roster {
        rows: slots.iter().map(row).collect(),
    }
}

#[test]
fn processes_agree_on_the_owner_of_a_key_despite_stale_rosters() {
    for_each_seed(|choices| {
        let mut published_ms = 1_000_000;
        let mut versions = Vec::new();
        for version in 0..4_u32 {
            let slots: Vec<u32> = (0..=version + 1)
                .filter(|slot| slot % 4 != version % 2)
                .collect();
            versions.push((roster(&slots), published_ms));
            published_ms += choices.int_in_range(1..=2_000_000)?;
        }
        let end_ms = published_ms;
        let mut processes = Vec::new();
        for _ in 0..3 {
            let mut history = RosterHistory::default();
            for (index, (roster, published_ms)) in versions.iter().enumerate() {
                if !choices.arbitrary::<bool>()? {
                    continue;
                }
                let next_ms = versions.get(index + 1).map_or(end_ms, |next| next.1);
                let as_of_ms = choices.int_in_range(*published_ms..=next_ms - 1)?;
                history.apply(roster, *published_ms, as_of_ms);
                let confirmed_ms = choices.int_in_range(as_of_ms..=next_ms - 1)?;
                history.confirm(confirmed_ms);
            }
            processes.push(history);
        }
        let keys: Vec<String> = (0..8).map(|key| format!("key-{key}")).collect();
        for created_ms in (1_000_000..end_ms + 2 * ROSTER_ACTIVATION_DELAY_MS).step_by(100_000) {
            for key in &keys {
                let owners: Vec<_> = processes
                    .iter()
                    .filter_map(|history| history.owner_slot("orders", key, created_at(created_ms)))
                    .map(|row| &row.slot)
                    .collect();
                let agree = owners.windows(2).all(|pair| pair[0] == pair[1]);
                assert!(agree, "{key} at {created_ms}: {owners:?}");
            }
        }
        Ok(())
    });
}

#[test]
fn a_full_ledger_never_reports_a_started_key_as_new() {
    for_each_seed(|choices| {
        let mut ledger = JobLedger::new(5, 1 << 20);
        let mut started = Vec::new();
        for number in 0..40_u32 {
            let created_ms = choices.int_in_range(1_000..=1_030_u64)?;
            let key = JobKey::parse(&format!("key-{number}")).expect("a valid key");
            if ledger.lookup(&key, created_at(created_ms), 1) != LedgerLookup::New {
                continue;
            }
            ledger.start(&key, created_at(created_ms), 1);
            ledger.complete(key.text(), JobAnswer::default());
            started.push((key, created_ms));
            assert!(ledger.len() <= 5);
        }
        for (key, created_ms) in &started {
            let lookup = ledger.lookup(key, created_at(*created_ms), 1);
            assert_ne!(lookup, LedgerLookup::New, "{key:?} could run again");
        }
        Ok(())
    });
}
