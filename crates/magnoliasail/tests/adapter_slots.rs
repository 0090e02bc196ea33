//! Orders to an engine whose callers leave while it runs their requests.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, FleetSettings, Outcome, ServerFaults},
    std::time::Duration,
    tokio::time::sleep,
};

const CALLERS: u32 = 12;
const CALLS: u32 = 60;
/// More than the engine has slots for.
const ADAPTERS: u32 = 10;
/// Time between two events of a stream beside the usual, after which an engine notices that its caller has left.
const EVENT_DELAY_MS: u64 = 30;

/// Guards against an engine that is ordered to load more adapters than it has slots, because an unload that waits for the
/// run of a caller who has left counts as done. The stand-in records a violation. `review/7` failed because of it.
#[test]
fn an_engine_whose_callers_leave_is_never_ordered_beyond_its_slots() {
    let settings = FleetSettings {
        engines: 1,
        plain_servers: 1,
        ..small_fleet(116)
    };
    run_with_fleet(settings, |fleet| async move {
        fleet.servers[0].set_faults(ServerFaults {
            event_delay_ms: EVENT_DELAY_MS,
            ..ServerFaults::default()
        });
        let mut tasks = Vec::new();
        for number in 0..CALLERS {
            let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
            tasks.push(tokio::spawn(async move {
                let mut served = 0;
                for call_number in 0..CALLS {
                    let call = Call {
                        id: format!("leaving-{number}-{call_number}"),
                        kind: CallKind::Stream,
                        adapter: format!("base/a{}", (number * 7 + call_number * 3) % ADAPTERS),
                        ..Call::default()
                    };
                    // Every third caller stays until the end of its answer.
                    let stay_ms = if (number + call_number).is_multiple_of(3) {
                        2_500
                    } else {
                        u64::from(20 + call_number * 13 % 120)
                    };
                    let stay = Duration::from_millis(stay_ms);
                    let outcome = caller.call_and_leave(&call, stay).await;
                    served += u32::from(outcome == Some(Outcome::Served));
                    sleep(Duration::from_millis(10)).await;
                }
                served
            }));
        }
        let mut served = 0;
        for task in tasks {
            served += task.await.expect("the caller ends");
        }
        assert_no_violations(&fleet);
        assert!(served > 0, "{}", fleet.output());
        let output = fleet.output();
        let is_accepted_unload =
            |line: &str| line.contains("order=Unload") && line.contains("outcome=Accepted");
        assert!(output.lines().any(is_accepted_unload), "{output}");
    });
}
