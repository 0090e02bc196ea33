//! Jobs that may run at most once, while processes die and freeze.

use {
    crate::fleet::{Fleet, FleetSettings, LEASE_MS, job_key, wait_until},
    std::{thread, time::Duration},
};

fn settings() -> FleetSettings {
    FleetSettings {
        engines: 0,
        services: 1,
        service_ms: 800,
        ..FleetSettings::default()
    }
}

#[test]
fn a_job_sent_again_through_another_entry_runs_once() {
    let fleet = Fleet::start(&settings());
    let key = job_key();
    let first = fleet.order(0, &key);
    let second = fleet.order(1, &key);
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.text, second.text);
    assert_eq!(fleet.runs(&key), 1);
}

#[test]
fn a_job_under_a_killed_agent_never_runs_twice() {
    let mut fleet = Fleet::start(&settings());
    let key = job_key();
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.order(0, &key));
        wait_until("the job runs", || fleet.runs(&key) == 1);
        fleet.agents[0].signal("KILL");
        let first = first.join().expect("an answer");
        assert_eq!(first.outcome(), "unknown", "{first:?}");
    });
    fleet.agents[0].restart();
    fleet.wait_until_live(1);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    for entry in [0, 1] {
        let again = fleet.order(entry, &key);
        assert_eq!(again.outcome(), "unknown", "{again:?}");
        assert_eq!(again.code(), "job_may_have_run");
    }
    assert_eq!(fleet.runs(&key), 1);
    let fresh = job_key();
    assert_eq!(fleet.order(1, &fresh).status, 200);
    assert_eq!(fleet.runs(&fresh), 1);
}

#[test]
fn a_job_under_a_paused_agent_runs_once() {
    let fleet = Fleet::start(&settings());
    let key = job_key();
    fleet.agents[0].signal("STOP");
    let first = fleet.order(0, &key);
    assert_ne!(first.status, 200);
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    thread::sleep(Duration::from_secs(3));
    fleet.agents[0].signal("CONT");
    fleet.wait_until_live(1);
    wait_until("the job is answered", || fleet.order(1, &key).status != 503);
    assert!(fleet.runs(&key) <= 1);
}

#[test]
fn a_call_without_a_key_that_may_not_be_repeated_is_refused() {
    let fleet = Fleet::start(&settings());
    let url = format!("{}/services/orders/print", fleet.base_url(0));
    let answer = crate::fleet::call("POST", &url, None, "{}");
    assert_eq!(answer.status, 400);
    assert_eq!(answer.code(), "key_missing");
    assert_eq!(answer.outcome(), "not_run");
}
