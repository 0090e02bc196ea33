//! Which agents keep the origin of a stream.

use {
    magnoliasail_core::gateway::{ReplicaCandidate, pick_replicas},
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr},
    },
};

fn vm(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn candidate(number: u8, data_centre: &str) -> ReplicaCandidate {
    ReplicaCandidate {
        vm: vm(number),
        data_centre: data_centre.into(),
    }
}

#[test]
fn origin_is_kept_outside_the_data_centre_of_the_running_engine() {
    let candidates = vec![
        candidate(1, "a"),
        candidate(2, "a"),
        candidate(3, "b"),
        candidate(4, "c"),
    ];
    for key in 0..100 {
        let picked = pick_replicas(key, Some("a"), candidates.clone());
        let picked: HashSet<IpAddr> = picked.into_iter().collect();
        assert_eq!(picked, HashSet::from([vm(3), vm(4)]));
    }
}

#[test]
fn origin_is_kept_in_the_same_data_centre_if_there_is_no_other() {
    let candidates = vec![candidate(1, "a"), candidate(2, "a")];
    assert_eq!(pick_replicas(1, Some("a"), candidates).len(), 2);
    assert!(pick_replicas(1, Some("a"), Vec::new()).is_empty());
}

#[test]
fn origins_of_many_streams_are_spread_over_all_agents() {
    let candidates: Vec<_> = (1..=8).map(|number| candidate(number, "b")).collect();
    let picked: HashSet<IpAddr> = (0..200)
        .flat_map(|key| pick_replicas(key, Some("a"), candidates.clone()))
        .collect();
    assert_eq!(picked.len(), candidates.len());
}
