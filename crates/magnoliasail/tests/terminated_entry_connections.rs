//! Requests on their way to an entry that was terminated, as it ends the connections that it has.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{
        Connection, Fleet, PROPAGATION_TIME, Proxy, ProxyMode, ServerFaults, lookup,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time from its SIGTERM until an entry stops accepting connections and closes idle ones.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// The status of the refusal with which an entry closes an idle connection.
const CLOSED: u16 = 408;
/// The only entry, by the number of its process.
const ENTRY: usize = 0;
/// Connections of each kind.
const CONNECTIONS: u32 = 10;

/// Opens a connection on which a request was served.
async fn open_used(fleet: &Fleet, id: &str) -> Connection {
    let mut connection = Connection::open(fleet.entry_address(0)).await;
    connection.send(&lookup(id, None)).await;
    assert_eq!(connection.status().await, Some(200), "{id}");
    connection
}

/// Asserts that each connection gets a response, which may say that the request has not run.
async fn assert_answered(fleet: &Fleet, connections: impl Iterator<Item = &mut Connection>) {
    for connection in connections {
        let status = connection.status().await;
        assert!(
            matches!(status, Some(200 | 503)),
            "{status:?}\n{}",
            fleet.output()
        );
    }
}

/// Returns the two halves of a request head.
fn halves(id: &str) -> (String, String) {
    let request = lookup(id, None);
    let (first, second) = request.split_at(request.len() / 2);
    (first.to_owned(), second.to_owned())
}

fn with_terminated_entry<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    run_with_fleet(small_fleet(network), test);
}

/// A process that gets little of a processor runs again after requests have arrived, and after the time at which it
/// closes idle connections. Guards against a close that resets what has arrived.
#[test]
fn requests_that_arrived_while_a_terminated_entry_did_not_run_are_answered() {
    with_terminated_entry(117, |fleet| async move {
        let (mut used, mut idle) = (Vec::new(), Vec::new());
        for number in 0..CONNECTIONS {
            used.push(open_used(&fleet, &format!("first-{number}")).await);
            idle.push(open_used(&fleet, &format!("idle-{number}")).await);
        }
        fleet.signal(ENTRY, "TERM");
        let terminated_at = Instant::now();
        sleep_until(terminated_at + DRAIN_NOTICE - Duration::from_millis(300)).await;
        fleet.signal(ENTRY, "STOP");
        let mut new = Vec::new();
        for (number, connection) in used.iter_mut().enumerate() {
            connection
                .send(&lookup(&format!("second-{number}"), None))
                .await;
            let mut opened = Connection::open(fleet.entry_address(0)).await;
            opened.send(&lookup(&format!("new-{number}"), None)).await;
            new.push(opened);
        }
        sleep_until(terminated_at + DRAIN_NOTICE + Duration::from_millis(200)).await;
        fleet.signal(ENTRY, "CONT");
        assert_answered(&fleet, used.iter_mut().chain(&mut new)).await;
        for connection in &mut idle {
            assert_eq!(
                connection.status().await,
                Some(CLOSED),
                "{}",
                fleet.output()
            );
            assert!(connection.is_closed_soon().await, "{}", fleet.output());
        }
        assert_no_violations(&fleet);
    });
}

/// Links hold bytes back. Guards against a close that resets a connection of which the entry has read a part of a
/// request, or whose first request has not arrived yet.
#[test]
fn requests_that_arrive_in_parts_at_a_terminated_entry_are_answered() {
    with_terminated_entry(118, |fleet| async move {
        let mut used = Vec::new();
        for number in 0..CONNECTIONS {
            used.push(open_used(&fleet, &format!("first-{number}")).await);
        }
        fleet.signal(ENTRY, "TERM");
        let terminated_at = Instant::now();
        sleep_until(terminated_at + DRAIN_NOTICE - Duration::from_millis(200)).await;
        let mut new = Vec::new();
        for (number, connection) in used.iter_mut().enumerate() {
            let (first, _) = halves(&format!("second-{number}"));
            connection.send(&first).await;
            new.push(Connection::open(fleet.entry_address(0)).await);
        }
        sleep_until(terminated_at + DRAIN_NOTICE + Duration::from_millis(400)).await;
        for (number, connection) in used.iter_mut().enumerate() {
            let (_, second) = halves(&format!("second-{number}"));
            connection.send(&second).await;
            new[number]
                .send(&lookup(&format!("new-{number}"), None))
                .await;
        }
        assert_answered(&fleet, used.iter_mut().chain(&mut new)).await;
        assert_no_violations(&fleet);
    });
}

/// Guards against a request whose caller gets no answer at the end of the grace period, because its body has not
/// arrived.
#[test]
fn requests_whose_bodies_are_on_the_way_are_refused_at_the_end_of_the_grace_period() {
    with_terminated_entry(119, |fleet| async move {
        let mut connection = open_used(&fleet, "first").await;
        fleet.signal(ENTRY, "TERM");
        sleep(Duration::from_secs(1)).await;
        connection
            .send(
                "POST /unsafe/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: late\r\n\
                 deadline-ms: 15000\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
            )
            .await;
        assert_eq!(connection.status().await, Some(503), "{}", fleet.output());
        assert!(fleet.ledger.runs("late").is_empty());
        assert_no_violations(&fleet);
    });
}

/// Guards against a request whose caller gets no answer, because it was on its way when an idle connection was closed.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_refused_as_not_run() {
    with_terminated_entry(120, |fleet| async move {
        let mut connection = open_used(&fleet, "first").await;
        fleet.signal(ENTRY, "TERM");
        sleep(DRAIN_NOTICE + Duration::from_millis(400)).await;
        connection.send(&lookup("second", None)).await;
        assert_eq!(
            connection.status().await,
            Some(CLOSED),
            "{}",
            fleet.output()
        );
        assert!(connection.is_closed_soon().await, "{}", fleet.output());
        assert!(fleet.ledger.runs("second").is_empty());
        drop(connection);
        sleep(Duration::from_millis(200)).await;
        let output = fleet.output();
        assert!(output.contains("request_crossed_close"), "{output}");
        assert_no_violations(&fleet);
    });
}

/// Sends one request after another on a connection until it ends; returns the ids of those without an answer.
async fn look_up_until_closed(mut connection: Connection, name: u32) -> Vec<String> {
    for number in 0.. {
        // The pauses differ, so that requests are on their way at all times.
        let pause_ms = u64::from((name * 613 + number * 1_709) % 5_000);
        sleep(Duration::from_millis(pause_ms)).await;
        if connection.has_ended().await {
            return Vec::new();
        }
        let id = format!("held-{name}-{number}");
        connection.send(&lookup(&id, None)).await;
        if connection.status().await.is_none() {
            return vec![id];
        }
    }
    Vec::new()
}

/// The links of callers hold bytes back in both directions while their entry drains. Guards against requests that
/// get no answer, because they were on their way when their idle connections were closed.
#[test]
fn requests_on_links_that_hold_bytes_are_answered_when_their_entry_is_terminated() {
    const CALLERS: u32 = 60;
    const HOLD_MS: u64 = 400;
    with_terminated_entry(121, |fleet| async move {
        let target = fleet.entry_address(0);
        let listen = SocketAddr::new(target.ip(), 0);
        let link = Proxy::start(listen, target)
            .await
            .expect("the port is free");
        link.set_mode(ProxyMode::Delayed { delay_ms: HOLD_MS });
        let mut tasks = Vec::new();
        for name in 0..CALLERS {
            let connection = Connection::open(link.address()).await;
            tasks.push(tokio::spawn(look_up_until_closed(connection, name)));
        }
        sleep(Duration::from_secs(2)).await;
        fleet.signal(ENTRY, "TERM");
        let mut unanswered = Vec::new();
        for task in tasks {
            unanswered.extend(task.await.expect("the caller does not panic"));
        }
        assert!(unanswered.is_empty(), "{unanswered:?}\n{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Guards against a stream that is served although the entry exits before its end, because its body arrived late in the
/// drain over a slow link.
#[test]
fn a_stream_that_would_outlast_the_drain_is_refused_as_not_run() {
    with_terminated_entry(122, |mut fleet| async move {
        fleet.publish_route_timeout(Duration::from_secs(15));
        sleep(PROPAGATION_TIME).await;
        for server in &fleet.servers {
            // A stream has five events at least.
            server.set_faults(ServerFaults {
                event_delay_ms: 900,
                ..ServerFaults::default()
            });
        }
        let mut connection = open_used(&fleet, "first").await;
        fleet.signal(ENTRY, "TERM");
        sleep(Duration::from_secs(1)).await;
        connection
            .send(
                "POST /stream/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: late\r\nmodel: base/a0\r\n\
                 token-count: 100,50\r\nprompt-prefix: aa:60,bb:40\r\ndeadline-ms: 15000\r\n\
                 transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
            )
            .await;
        sleep(Duration::from_millis(3_500)).await;
        connection.send("0\r\n\r\n").await;
        assert_eq!(connection.status().await, Some(503), "{}", fleet.output());
        assert!(fleet.ledger.runs("late").is_empty());
        assert_no_violations(&fleet);
    });
}
