//! Connections that fall silent, and processes that are paused.

use {
    crate::fleet::{Fleet, FleetSettings, call, stream_tokens, wait_until},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::Duration,
    },
};

const TOKENS: u64 = 60;

#[test]
fn a_stream_goes_on_when_its_link_falls_silent() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 1,
        step_ms: 40,
        has_relays: true,
        ..FleetSettings::default()
    });
    let opened = fleet.relays[0].opened();
    thread::scope(|scope| {
        let answer = scope.spawn(|| fleet.ask(0, "breeds@v1", "silence", TOKENS, true));
        thread::sleep(Duration::from_millis(700));
        fleet.relays[0].silence();
        let answer = answer.join().expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
        assert_eq!(stream_tokens(&answer.text, "breeds@v1"), TOKENS as usize);
    });
    assert!(fleet.relays[0].opened() > opened, "no new link was opened");
}

#[test]
fn an_engine_whose_connections_fall_silent_does_not_hold_a_request_for_ever() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 2,
        agent_lines: "server_timeout_ms = 1000\nload_timeout_ms = 1000\n",
        ..FleetSettings::default()
    });
    assert_eq!(fleet.chat(0, "breeds@v1", "before", 4).status, 200);
    for engine in &fleet.engines {
        call("POST", &format!("{}/admin/silence", engine.url()), None, "");
    }
    for round in 0..3 {
        let answer = fleet.chat(round % 2, "breeds@v1", "after", 4);
        let is_final = answer.status == 200 || !answer.outcome().is_empty();
        assert!(is_final, "{answer:?}");
    }
    wait_until("the engines answer again", || {
        fleet.chat(0, "breeds@v1", "again", 4).status == 200
    });
}

#[test]
fn a_paused_agent_is_passed_over_and_serves_again_when_it_wakes() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.agents[0].signal("STOP");
    for round in 0..6 {
        let answer = fleet.chat(round % 2, "leaflets@v2", "while paused", 4);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json()["model"], "leaflets@v2");
    }
    thread::sleep(Duration::from_secs(10));
    fleet.agents[0].signal("CONT");
    fleet.wait_until_live(2);
    let answer = fleet.chat(0, "leaflets@v2", "after", 4);
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn a_paused_entry_renews_what_it_knows_before_it_acts() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.entries[0].signal("STOP");
    let adapters = crate::fleet::adapters_page("v2");
    fleet.publish(&serde_json::json!({ "adapters": adapters }));
    wait_until("the other entry has the new version", || {
        fleet.status(1)["table"]["version"] == 2
    });
    thread::sleep(Duration::from_secs(10));
    fleet.entries[0].signal("CONT");
    wait_until("the woken entry answers", || {
        let answer = fleet.chat(0, "breeds", "after a pause", 4);
        if answer.status == 200 {
            assert_eq!(answer.json()["model"], "breeds@v2");
        }
        answer.status == 200
    });
}

#[test]
fn a_peer_without_a_key_gets_nothing() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    });
    let mut stream = TcpStream::connect(fleet.agents[0].address()).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    // A nonce, and a proof that no key has made.
    stream.write_all(&[7; 64]).expect("sent");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    // The agent's own nonce and proof, and not a byte of a message.
    assert_eq!(received.len(), 64);
}
