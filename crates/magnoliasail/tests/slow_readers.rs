//! Callers that read slowly, and bodies that arrive slowly.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Fleet, ServerFaults},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

async fn send(fleet: &Fleet, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.entry_address(0))
        .await
        .expect("the entry accepts");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream
}

fn stream_head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\
         deadline-ms: {deadline_ms}\r\nmodel: base/a0\r\ntoken-count: 100,50\r\n\
         prompt-prefix: aa:60,bb:40\r\nconnection: close\r\n\r\n"
    )
}

#[test]
fn a_caller_that_pauses_for_some_seconds_gets_its_whole_stream() {
    run_with_fleet(small_fleet(164), |fleet| async move {
        for server in &fleet.servers[..2] {
            server.set_faults(ServerFaults {
                event_delay_ms: 100,
                ..ServerFaults::default()
            });
        }
        let mut stream = send(&fleet, &stream_head("paused", 15_000)).await;
        sleep(Duration::from_secs(4)).await;
        let mut response = Vec::new();
        let read = timeout(Duration::from_secs(8), stream.read_to_end(&mut response)).await;
        assert!(read.is_ok(), "the stream ends");
        let response = String::from_utf8_lossy(&response);
        assert!(
            response.ends_with("0\r\n\r\n"),
            "{response}\n{}",
            fleet.output()
        );
    });
}

#[test]
fn a_body_that_does_not_arrive_in_time_is_refused_as_not_run() {
    run_with_fleet(small_fleet(165), |fleet| async move {
        let head = "POST /unsafe/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: slow-body\r\n\
                    deadline-ms: 800\r\ncontent-length: 100\r\n\r\nfirst bytes";
        let started_at = Instant::now();
        let mut stream = send(&fleet, head).await;
        let mut response = vec![0; 4_096];
        let read = timeout(Duration::from_secs(10), stream.read(&mut response)).await;
        let length = read.expect("an answer").expect("the connection holds");
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        assert!(response.contains("body_too_slow"), "{response}");
        assert!(response.contains("not_run"), "{response}");
        assert!(started_at.elapsed() >= Duration::from_millis(800));
        assert!(fleet.ledger.runs("slow-body").is_empty());
        assert_no_violations(&fleet);
    });
}

/// The settings name no memory, so that the process holds 32 MB; each body may have 1 MB.
#[test]
fn bodies_that_fill_the_buffers_of_a_process_are_refused_as_not_run() {
    run_with_fleet(small_fleet(166), |fleet| async move {
        const BODY_BYTES: usize = 1 << 20;
        let mut streams = Vec::new();
        for number in 0..40 {
            let head = format!(
                "POST /unsafe/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: big-{number}\r\n\
                 deadline-ms: 4000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
            );
            let mut stream = send(&fleet, &head).await;
            // All but the last byte, so that the entry has to hold it.
            let _ = stream.write_all(&vec![b'x'; BODY_BYTES - 1]).await;
            streams.push(stream);
        }
        let mut refused = 0;
        for mut stream in streams {
            let mut response = vec![0; 4_096];
            let read = timeout(Duration::from_secs(10), stream.read(&mut response)).await;
            if let Ok(Ok(length)) = read {
                let response = String::from_utf8_lossy(&response[..length]);
                let is_refused = response.contains("buffers_full");
                let has_retry_time = response.to_lowercase().contains("\r\nretry-after: ");
                assert_eq!(is_refused, has_retry_time, "{response}");
                refused += u32::from(is_refused);
            }
        }
        assert!(
            (1..20).contains(&refused),
            "{refused} of 40\n{}",
            fleet.output()
        );
        // The buffers are free again.
        let mut stream = send(&fleet, &stream_head("after", 3_000)).await;
        let mut response = Vec::new();
        let _ = timeout(Duration::from_secs(4), stream.read_to_end(&mut response)).await;
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    });
}
