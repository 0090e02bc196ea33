//! Graceful shutdown under load.

use {
    crate::fleet::{Fleet, FleetSettings, stream_tokens},
    std::{thread, time::Duration},
};

const TOKENS: u64 = 50;

fn settings() -> FleetSettings {
    FleetSettings {
        step_ms: 40,
        ..FleetSettings::default()
    }
}

#[test]
fn an_entry_that_is_terminated_finishes_its_streams() {
    let mut fleet = Fleet::start(&settings());
    thread::scope(|scope| {
        let answers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| fleet.ask(0, "breeds@v1", "shutdown", TOKENS, true)))
            .collect();
        thread::sleep(Duration::from_millis(800));
        fleet.entries[0].signal("TERM");
        for answer in answers {
            let answer = answer.join().expect("an answer");
            assert!(answer.is_complete);
            assert_eq!(stream_tokens(&answer.text, "breeds@v1"), TOKENS as usize);
        }
    });
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

#[test]
fn an_agent_that_is_terminated_finishes_its_streams_and_takes_nothing_new() {
    let mut fleet = Fleet::start(&settings());
    thread::scope(|scope| {
        let answers: Vec<_> = (0..6)
            .map(|index| {
                let fleet = &fleet;
                scope.spawn(move || fleet.ask(index % 2, "breeds@v1", "shutdown", TOKENS, true))
            })
            .collect();
        thread::sleep(Duration::from_millis(800));
        fleet.agents[0].signal("TERM");
        // The list still calls the server live: only the agent's own word counts here.
        thread::sleep(Duration::from_millis(300));
        for entry in [0, 1] {
            let status = fleet.status(entry);
            let is_live = status["servers"]
                .as_array()
                .into_iter()
                .flatten()
                .any(|server| server["vm"] == "runner-0" && server["state"] == "live");
            assert!(!is_live, "new work still goes to a leaving server");
        }
        let fresh = fleet.chat(0, "leaflets@v1", "fresh", 2);
        assert_eq!(fresh.status, 200, "{fresh:?}");
        for answer in answers {
            let answer = answer.join().expect("an answer");
            assert!(answer.is_complete);
            assert_eq!(stream_tokens(&answer.text, "breeds@v1"), TOKENS as usize);
        }
    });
    assert_eq!(fleet.agents[0].wait(), Some(0));
}
