//! Requests that crash the servers which run them.

use {
    crate::fleet::{Fleet, FleetSettings},
    serde_json::json,
};

/// The first crash, and one more when the suspect runs alone.
const MAX_CRASHES: u64 = 2;

#[test]
fn a_poisonous_request_sent_again_and_again_crashes_two_servers_at_most() {
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
    let innocent = fleet.chat(1, "breeds@v1", "hello", 4);
    assert_eq!(innocent.status, 200, "{innocent:?}");
}

#[test]
fn batch_mates_of_a_poisonous_request_are_answered() {
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
        let mates: Vec<_> = (0..4)
            .map(|mate| {
                let fleet = &fleet;
                let text = format!("mate {mate}");
                scope.spawn(move || fleet.chat(mate % 2, "breeds@v1", &text, 20))
            })
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(150));
        fleet.chat(0, "breeds@v1", "boom", 4);
        for mate in mates {
            let answer = mate.join().expect("an answer");
            let is_final = answer.status == 200 || answer.outcome() == "unknown";
            assert!(is_final, "{answer:?}");
        }
    });
    for mate in 0..4 {
        let answer = fleet.chat(1, "breeds@v1", &format!("mate {mate}"), 20);
        assert_eq!(answer.status, 200, "a mate stays condemned: {answer:?}");
    }
}
