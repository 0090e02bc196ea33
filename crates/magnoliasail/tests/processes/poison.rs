//! Quarantine of poison requests, which crash the servers that run them.

use {
    crate::fleet::{Fleet, FleetSettings},
    serde_json::json,
};

/// The first crash, and one more when the suspected request runs alone.
const MAX_CRASHES: u64 = 2;

/// Guards against a poison request that crashes one server after another because its caller
/// resends it.
#[test]
fn resent_poison_request_crashes_at_most_two_servers() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    });
    for engine in &fleet.engines {
        let faults = json!({ "crash_marker": "boom", "restart_ms": 200 });
        Fleet::set_faults(engine, &faults);
    }
    for round in 0..6 {
        let answer = fleet.chat(round % 2, "breeds@v1", "boom", 4);
        assert_ne!(answer.status, 200);
    }
    let crashes = fleet.crashes();
    assert!(crashes >= 1, "the request reached no server");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    let last = fleet.chat(0, "breeds@v1", "boom", 4);
    assert_eq!(last.code(), "poisonous", "{last:?}");
    let harmless = fleet.chat(1, "breeds@v1", "hello", 4);
    assert_eq!(harmless.status, 200, "{harmless:?}");
}

/// Guards against a quarantine of the requests that ran in the same batch as a poison request.
#[test]
fn requests_batched_with_a_poison_request_are_answered() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 2,
        step_ms: 20,
        ..FleetSettings::default()
    });
    for engine in &fleet.engines {
        let faults = json!({ "crash_marker": "boom", "restart_ms": 100 });
        Fleet::set_faults(engine, &faults);
    }
    std::thread::scope(|scope| {
        let batched: Vec<_> = (0..4)
            .map(|index| {
                let fleet = &fleet;
                let text = format!("mate {index}");
                scope.spawn(move || fleet.chat(index % 2, "breeds@v1", &text, 20))
            })
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(150));
        fleet.chat(0, "breeds@v1", "boom", 4);
        for request in batched {
            let answer = request.join().expect("an answer");
            let is_final = answer.status == 200 || answer.outcome() == "unknown";
            assert!(is_final, "{answer:?}");
        }
    });
    for index in 0..4 {
        let answer = fleet.chat(1, "breeds@v1", &format!("mate {index}"), 20);
        assert_eq!(
            answer.status, 200,
            "a batched request stays quarantined: {answer:?}"
        );
    }
}
