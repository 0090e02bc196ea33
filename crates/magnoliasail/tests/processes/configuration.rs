//! Distribution of the table: every process applies it completely and never returns to an older
//! version.

use {
    crate::fleet::{Fleet, FleetSettings, adapters_page, call, wait_until},
    serde_json::json,
};

#[test]
fn every_process_applies_a_new_version() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    for entry in [0, 1] {
        wait_until("the entry applies version 2", || {
            fleet.status(entry)["table"]["version"] == 2
        });
        let answer = fleet.chat(entry, "breeds", "new", 2);
        assert_eq!(answer.json()["model"], "breeds@v2");
    }
    for agent in &fleet.agents {
        wait_until("the agent applies version 2", || {
            let url = format!("{}/status", agent.operator_url());
            call("GET", &url, None, "").json()["table"]["version"] == 2
        });
    }
}

#[test]
fn invalid_page_is_reported_and_the_last_valid_table_stays() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": "adapter,version,digest,current\nx,,d,maybe\n" }));
    wait_until("the status shows the rejection", || {
        let rejected = fleet.status(0)["table"]["rejected"].clone();
        rejected.as_str().is_some_and(|text| text.contains("row 2"))
    });
    assert_eq!(fleet.status(0)["table"]["version"], 1);
    assert_eq!(fleet.chat(0, "breeds", "still", 2).status, 200);
}

/// Guards against an entry that cannot serve if it starts during an outage of the configuration
/// service: the agents send it the table.
#[test]
fn entry_started_during_a_config_outage_gets_the_table_from_peers() {
    let mut fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    wait_until("the entries apply version 2", || {
        fleet.status(0)["table"]["version"] == 2 && fleet.status(1)["table"]["version"] == 2
    });
    Fleet::set_faults(&fleet.config, &json!({ "refuse": true }));
    fleet.entries[0].restart();
    wait_until("the entry serves", || {
        fleet.chat(0, "breeds", "from peers", 2).status == 200
    });
    let answer = fleet.chat(0, "breeds", "from peers", 2);
    assert_eq!(answer.json()["model"], "breeds@v2");
}

/// Guards against a return to an older table: the configuration service serves a stale copy while
/// version 2 is published, and the entry restarts after that.
#[test]
fn entry_restarted_after_a_stale_config_read_does_not_revert() {
    let mut fleet = Fleet::start(&FleetSettings::default());
    Fleet::set_faults(&fleet.config, &json!({ "stale": true }));
    // The stale service keeps serving what it returned to its first read.
    call("GET", &format!("{}/v1/index", fleet.config.url()), None, "");
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    Fleet::set_faults(&fleet.config, &json!({}));
    wait_until("the entries apply version 2", || {
        fleet.status(0)["table"]["version"] == 2 && fleet.status(1)["table"]["version"] == 2
    });
    wait_until("the agents apply version 2", || {
        fleet.agents.iter().all(|agent| {
            let url = format!("{}/status", agent.operator_url());
            call("GET", &url, None, "").json()["table"]["version"] == 2
        })
    });
    fleet.entries[0].restart();
    wait_until("the entry serves", || {
        let answer = fleet.chat(0, "breeds", "not reverted", 2);
        if answer.status == 200 {
            assert_eq!(answer.json()["model"], "breeds@v2");
        }
        answer.status == 200
    });
}
