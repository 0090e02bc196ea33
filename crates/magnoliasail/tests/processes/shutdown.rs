//! Graceful shutdown on SIGTERM while streams are in flight.

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
fn terminated_entry_completes_its_streams() {
    let mut fleet = Fleet::start(&settings());
    thread::scope(|scope| {
        let answers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| fleet.send_chat(0, "breeds@v1", "shutdown", TOKENS, true)))
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
fn terminated_agent_completes_its_streams_and_gets_no_new_requests() {
    let mut fleet = Fleet::start(&settings());
    thread::scope(|scope| {
        let answers: Vec<_> = (0..6)
            .map(|index| {
                let fleet = &fleet;
                scope.spawn(move || {
                    fleet.send_chat(index % 2, "breeds@v1", "shutdown", TOKENS, true)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(800));
        fleet.agents[0].signal("TERM");
        // The list of VMs still says `live`, so only the agent's drain notice can change the state.
        thread::sleep(Duration::from_millis(300));
        for entry in [0, 1] {
            let status = fleet.status(entry);
            let is_live = status["servers"]
                .as_array()
                .into_iter()
                .flatten()
                .any(|server| server["vm"] == "runner-0" && server["state"] == "live");
            assert!(
                !is_live,
                "entry {entry} still routes to the draining server"
            );
        }
        let new_request = fleet.chat(0, "leaflets@v1", "fresh", 2);
        assert_eq!(new_request.status, 200, "{new_request:?}");
        for answer in answers {
            let answer = answer.join().expect("an answer");
            assert!(answer.is_complete);
            assert_eq!(stream_tokens(&answer.text, "breeds@v1"), TOKENS as usize);
        }
    });
    assert_eq!(fleet.agents[0].wait(), Some(0));
}
