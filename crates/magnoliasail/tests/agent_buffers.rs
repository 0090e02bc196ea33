//! Bodies that wait at one agent, more than its process may hold.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    futures_util::future::join_all,
    magnoliasail_soak::{Fleet, FleetSettings, ServerFaults},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

const ENTRIES: u8 = 4;
/// Requests through each entry.
const REQUESTS: usize = 24;
/// The longest body that the configuration of the fleet allows.
const BODY_BYTES: usize = 1 << 20;

struct Answer {
    id: String,
    text: String,
}

async fn call(fleet: &Fleet, entry: u8, id: String, body_bytes: usize) -> Answer {
    const LIMIT: Duration = Duration::from_secs(20);
    let head = format!(
        "POST /stream/{id} HTTP/1.1\r\nhost: soak.example\r\nrequest-id: {id}\r\n\
         content-length: {body_bytes}\r\ndeadline-ms: 12000\r\nmodel: base/a0\r\ntoken-count: 100,50\r\n\
         prompt-prefix: aa:60,{id}:40\r\nconnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(fleet.entry_address(entry))
        .await
        .expect("the entry accepts");
    let mut request = head.into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    stream.write_all(&request).await.expect("it is sent");
    let mut response = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "{id} has no answer\n{}", fleet.output());
    Answer {
        id,
        text: String::from_utf8_lossy(&response).into_owned(),
    }
}

/// The settings name no memory, so that each process holds 32 MB: an entry all bodies that it gets, and the agent
/// a third of what all entries send it.
///
/// Guards against an agent that holds whatever the entries send until the platform ends it.
#[test]
fn bodies_that_an_agent_cannot_hold_are_refused_as_not_run_and_the_others_are_served() {
    let settings = FleetSettings {
        entries: ENTRIES,
        engines: 1,
        ..small_fleet(167)
    };
    run_with_fleet(settings, |fleet| async move {
        fleet.servers[0].set_faults(ServerFaults {
            event_delay_ms: 150,
            ..ServerFaults::default()
        });
        let ids = (0..ENTRIES).flat_map(|entry| (0..REQUESTS).map(move |number| (entry, number)));
        let calls = ids.map(|(entry, number)| {
            call(&fleet, entry, format!("large-{entry}-{number}"), BODY_BYTES)
        });
        let answers = join_all(calls).await;
        let is_refused = |answer: &&Answer| answer.text.contains("buffers_full");
        let refused: Vec<&Answer> = answers.iter().filter(is_refused).collect();
        for answer in &refused {
            let text = answer.text.to_lowercase();
            assert!(text.starts_with("http/1.1 503 "), "{text}");
            assert!(text.contains("retry-after: "), "{text}");
            assert!(text.contains("not_run"), "{text}");
            assert!(fleet.ledger.runs(&answer.id).is_empty(), "{}", answer.id);
        }
        let is_served = |answer: &&Answer| answer.text.starts_with("HTTP/1.1 200 ");
        let served = answers.iter().filter(is_served).count();
        let counts = format!("{served} served, {} refused", refused.len());
        assert!(!refused.is_empty(), "{counts}\n{}", fleet.output());
        assert!(served >= 1, "{counts}\n{}", fleet.output());
        // Nothing is held any more.
        let after = call(&fleet, 0, "after".to_owned(), BODY_BYTES).await;
        assert!(after.text.starts_with("HTTP/1.1 200 "), "{}", after.text);
        assert_no_violations(&fleet);
    });
}
