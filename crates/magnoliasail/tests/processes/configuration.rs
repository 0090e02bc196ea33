//! The table: in force everywhere, whole or not at all, and never an older one.

use {
    crate::fleet::{Fleet, FleetSettings, adapters_page, call, wait_until},
    serde_json::json,
};

#[test]
fn a_new_version_comes_into_force_in_every_process() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    for entry in [0, 1] {
        wait_until("the entry has the version", || {
            fleet.status(entry)["table"]["version"] == 2
        });
        let answer = fleet.chat(entry, "breeds", "new", 2);
        assert_eq!(answer.json()["model"], "breeds@v2");
    }
    for agent in &fleet.agents {
        wait_until("the agent has the version", || {
            let url = format!("{}/status", agent.operator_url());
            call("GET", &url, None, "").json()["table"]["version"] == 2
        });
    }
}

#[test]
fn an_invalid_page_leaves_the_last_good_one_in_force_and_says_so() {
    let fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": "adapter,version,digest,current\nx,,d,maybe\n" }));
    wait_until("the rejection shows", || {
        let rejected = fleet.status(0)["table"]["rejected"].clone();
        rejected.as_str().is_some_and(|text| text.contains("row 2"))
    });
    assert_eq!(fleet.status(0)["table"]["version"], 1);
    assert_eq!(fleet.chat(0, "breeds", "still", 2).status, 200);
}

#[test]
fn an_entry_that_starts_while_the_service_is_down_hears_the_table_from_peers() {
    let mut fleet = Fleet::start(&FleetSettings::default());
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    wait_until("the version is in force", || {
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

#[test]
fn an_entry_that_starts_on_a_stale_service_does_not_revert() {
    let mut fleet = Fleet::start(&FleetSettings::default());
    Fleet::set_faults(&fleet.config, &json!({ "stale": true }));
    // One reading fixes what the stale service goes on to serve.
    call("GET", &format!("{}/v1/index", fleet.config.url()), None, "");
    fleet.publish(&json!({ "adapters": adapters_page("v2") }));
    Fleet::set_faults(&fleet.config, &json!({}));
    wait_until("the version is in force", || {
        fleet.status(0)["table"]["version"] == 2 && fleet.status(1)["table"]["version"] == 2
    });
    wait_until("the agents have it", || {
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
