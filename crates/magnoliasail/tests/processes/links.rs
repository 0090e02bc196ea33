//! Connections that stop carrying data without closing, and processes that are paused.

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

/// Guards against a stream that stalls or ends early when its link stops carrying data without
/// closing: the entry must open a new link and resume the answer.
#[test]
fn stream_continues_on_a_new_link_when_its_link_goes_silent() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 1,
        step_ms: 40,
        has_relays: true,
        ..FleetSettings::default()
    });
    let opened = fleet.relays[0].opened();
    thread::scope(|scope| {
        let answer = scope.spawn(|| fleet.send_chat(0, "breeds@v1", "silence", TOKENS, true));
        thread::sleep(Duration::from_millis(700));
        fleet.relays[0].silence();
        let answer = answer.join().expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
        assert_eq!(stream_tokens(&answer.text, "breeds@v1"), TOKENS as usize);
    });
    assert!(fleet.relays[0].opened() > opened, "no new link was opened");
}

/// Guards against requests that wait forever on an idle pooled connection that the engine no longer
/// answers.
#[test]
fn silent_engine_connection_does_not_block_a_request_forever() {
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

/// Guards against requests that are routed to a paused agent, and against an agent that stays
/// unreachable after it resumes.
#[test]
fn paused_agent_is_skipped_and_serves_again_after_it_resumes() {
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

/// Guards against an entry that answers from an outdated table after a pause.
#[test]
fn paused_entry_refreshes_its_table_before_it_serves() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.entries[0].signal("STOP");
    let adapters = crate::fleet::adapters_page("v2");
    fleet.publish(&serde_json::json!({ "adapters": adapters }));
    wait_until("the other entry has the new version", || {
        fleet.status(1)["table"]["version"] == 2
    });
    thread::sleep(Duration::from_secs(10));
    fleet.entries[0].signal("CONT");
    wait_until("the resumed entry serves", || {
        let answer = fleet.chat(0, "breeds", "after a pause", 4);
        if answer.status == 200 {
            assert_eq!(answer.json()["model"], "breeds@v2");
        }
        answer.status == 200
    });
}

#[test]
fn peer_without_a_key_receives_no_message() {
    let fleet = Fleet::start(&FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    });
    let mut stream = TcpStream::connect(fleet.agents[0].address()).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    // A nonce, and a signature that none of the keys has made.
    stream.write_all(&[7; 64]).expect("sent");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    // The agent's nonce and signature, and no byte of a message.
    assert_eq!(received.len(), 64);
}
