//! Where requests go: agreement without messages, spill under load, grey and slow servers.

use magnoliasail_core::gateway::{Affinity, Candidate, Holding, Placement, Popularity};

fn candidate(name: &str, is_local: bool, load: u32) -> Candidate {
    Candidate {
        name: name.into(),
        is_local,
        load,
        slots: 32,
        failure_share: 0.0,
        first_byte_ms: 50.0,
        holding: Holding::Absent,
        adapters_waiting: 0,
        has_available_slot: true,
        ready_in_ms: 0,
    }
}

fn fleet(load: u32) -> Vec<Candidate> {
    (0..18)
        .map(|index| candidate(&format!("10.0.0.{index}:80"), index < 6, load))
        .collect()
}

const fn rare(key: &str) -> Affinity<'_> {
    Affinity {
        key,
        is_popular: false,
    }
}

const fn popular(key: &str) -> Affinity<'_> {
    Affinity {
        key,
        is_popular: true,
    }
}

#[test]
fn rare_adapters_have_one_place_whatever_data_centre_asks() {
    let here = fleet(3);
    let mut there = fleet(3);
    for candidate in &mut there {
        candidate.is_local = !candidate.is_local;
    }
    let placement = Placement::default();
    for adapter in 0..200 {
        let key = format!("m/a{adapter}");
        assert_eq!(
            placement.pick(rare(&key), &here),
            placement.pick(rare(&key), &there)
        );
    }
}

#[test]
fn a_rare_adapter_goes_where_it_is_held_though_its_first_place_is_elsewhere() {
    let placement = Placement::default();
    let mut fleet = fleet(3);
    let first = placement.pick(rare("m/a"), &fleet).expect("a server");
    let holder = (first + 7) % fleet.len();
    for holding in [Holding::Copied, Holding::Resident] {
        fleet[holder].holding = holding;
        assert_eq!(placement.pick(rare("m/a"), &fleet), Some(holder));
    }
}

/// Many engines restarted: the others' slots are all in use.
#[test]
fn an_adapter_is_not_loaded_where_every_slot_is_in_use_while_others_have_room() {
    let placement = Placement::default();
    let mut fleet = fleet(10);
    let first = placement.pick(rare("m/a"), &fleet).expect("a server");
    fleet[first].has_available_slot = false;
    fleet[first].adapters_waiting = 2;
    assert_ne!(placement.pick(rare("m/a"), &fleet), Some(first));
    fleet[first].holding = Holding::Resident;
    assert_eq!(placement.pick(rare("m/a"), &fleet), Some(first));
}

/// Slots are scarcer than places in the batch: requests for one adapter share its slot.
#[test]
fn a_popular_adapter_takes_no_second_slot_while_its_engine_is_far_from_full() {
    let placement = Placement::default();
    let mut fleet = fleet(4);
    let first = placement.pick(popular("m/a"), &fleet).expect("a server");
    fleet[first].holding = Holding::Resident;
    fleet[first].load = 14;
    assert_eq!(placement.pick(popular("m/a"), &fleet), Some(first));
}

#[test]
fn popular_adapters_are_served_in_the_callers_data_centre() {
    let placement = Placement::default();
    for adapter in 0..200 {
        let key = format!("m/a{adapter}");
        let picked = placement.pick(popular(&key), &fleet(3)).expect("a server");
        assert!(picked < 6, "{key} went to server {picked}");
    }
}

#[test]
fn a_burst_for_one_adapter_spills_over_before_its_server_is_full() {
    let placement = Placement::default();
    let mut fleet = fleet(0);
    let mut used = [0_u32; 18];
    for _ in 0..60 {
        let picked = placement.pick(popular("m/hot"), &fleet).expect("a server");
        fleet[picked].load += 1;
        used[picked] += 1;
    }
    let most = used.iter().max().copied().unwrap_or(0);
    assert!(most < 32, "{used:?}");
    assert!(
        used.iter().filter(|&&count| count > 0).count() >= 3,
        "{used:?}"
    );
}

#[test]
fn a_server_that_fails_more_than_its_peers_is_avoided() {
    let placement = Placement::default();
    let mut fleet = fleet(3);
    let first = placement.pick(popular("m/a"), &fleet).expect("a server");
    fleet[first].failure_share = 0.4;
    assert_ne!(placement.pick(popular("m/a"), &fleet), Some(first));
}

#[test]
fn failures_that_all_servers_share_turn_none_away() {
    let placement = Placement::default();
    let mut fleet = fleet(3);
    let first = placement.pick(popular("m/a"), &fleet);
    for candidate in &mut fleet {
        candidate.failure_share = 0.45;
    }
    assert_eq!(placement.pick(popular("m/a"), &fleet), first);
}

#[test]
fn an_engine_that_loads_its_model_is_asked_only_if_no_other_can_serve_sooner() {
    let placement = Placement::default();
    let mut fleet = fleet(3);
    let first = placement.pick(rare("m/a"), &fleet).expect("a server");
    fleet[first].ready_in_ms = 800;
    assert_ne!(placement.pick(rare("m/a"), &fleet), Some(first));
    for candidate in &mut fleet {
        candidate.ready_in_ms = 800;
    }
    assert_eq!(placement.pick(rare("m/a"), &fleet), Some(first));
}

#[test]
fn a_server_that_has_turned_slow_is_avoided() {
    let placement = Placement::default();
    let mut fleet = fleet(3);
    let first = placement.pick(popular("m/a"), &fleet).expect("a server");
    fleet[first].first_byte_ms = 400.0;
    assert_ne!(placement.pick(popular("m/a"), &fleet), Some(first));
}

#[test]
fn an_adapter_is_popular_only_for_as_long_as_it_is_asked_for() {
    let mut popularity = Popularity::default();
    let mut recent = 0.0;
    for _ in 0..10 {
        recent = popularity.count("m/a", 1_000);
    }
    assert!(recent > 9.0);
    assert!(popularity.count("m/a", 121_000) < 2.0);
}
