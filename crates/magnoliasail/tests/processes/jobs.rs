//! At-most-once execution of jobs while agents are killed, restarted and paused.

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
fn job_resent_through_another_entry_runs_once() {
    let fleet = Fleet::start(&settings());
    let key = job_key();
    let first = fleet.send_job(0, &key);
    let second = fleet.send_job(1, &key);
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.text, second.text);
    assert_eq!(fleet.runs(&key), 1);
}

/// Guards against a second run of a job whose agent is killed while the job runs: the restarted
/// agent has no record of the job and must refuse its key.
#[test]
fn job_of_a_killed_agent_never_runs_twice() {
    let mut fleet = Fleet::start(&settings());
    let key = job_key();
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.send_job(0, &key));
        wait_until("the job runs", || fleet.runs(&key) == 1);
        fleet.agents[0].signal("KILL");
        let first = first.join().expect("an answer");
        assert_eq!(first.outcome(), "unknown", "{first:?}");
    });
    fleet.agents[0].restart();
    fleet.wait_until_live(1);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    for entry in [0, 1] {
        let resent = fleet.send_job(entry, &key);
        assert_eq!(resent.outcome(), "unknown", "{resent:?}");
        assert_eq!(resent.code(), "job_may_have_run");
    }
    assert_eq!(fleet.runs(&key), 1);
    let other_key = job_key();
    assert_eq!(fleet.send_job(1, &other_key).status, 200);
    assert_eq!(fleet.runs(&other_key), 1);
}

/// Guards against a second run of a job that was sent to a paused agent: when the agent resumes,
/// the job may still be in its socket buffer although the caller got the outcome `unknown`.
#[test]
fn job_of_a_paused_agent_runs_at_most_once() {
    let fleet = Fleet::start(&settings());
    let key = job_key();
    fleet.agents[0].signal("STOP");
    let first = fleet.send_job(0, &key);
    assert_ne!(first.status, 200);
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    thread::sleep(Duration::from_secs(3));
    fleet.agents[0].signal("CONT");
    fleet.wait_until_live(1);
    wait_until("the job is answered", || {
        fleet.send_job(1, &key).status != 503
    });
    assert!(fleet.runs(&key) <= 1);
}

#[test]
fn unrepeatable_call_without_an_idempotency_key_is_refused() {
    let fleet = Fleet::start(&settings());
    let url = format!("{}/services/orders/print", fleet.base_url(0));
    let answer = crate::fleet::call("POST", &url, None, "{}");
    assert_eq!(answer.status, 400);
    assert_eq!(answer.code(), "key_missing");
    assert_eq!(answer.outcome(), "not_run");
}
