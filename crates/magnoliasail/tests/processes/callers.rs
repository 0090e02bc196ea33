//! Refusals of invalid requests, and cancellation when a caller disconnects.

use {
    crate::fleet::{Fleet, FleetSettings, KEY, call, chat_body, wait_until},
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

fn settings() -> FleetSettings {
    FleetSettings {
        engines: 1,
        step_ms: 20,
        ..FleetSettings::default()
    }
}

#[test]
fn invalid_requests_are_refused_with_a_code_and_not_run() {
    let fleet = Fleet::start(&settings());
    let base = fleet.base_url(0);
    let chat = format!("{base}/chat/completions");
    let unknown_model = chat_body("nobody@v1", "hello", 1, false);
    let too_large = chat_body("breeds@v1", &"x".repeat(2 << 20), 1, false);
    let cases = [
        ("POST", chat.clone(), "{", 400, "bad_request"),
        (
            "POST",
            chat.clone(),
            "{\"model\":\"breeds\"}",
            400,
            "bad_request",
        ),
        (
            "POST",
            chat.clone(),
            unknown_model.as_str(),
            404,
            "unknown_model",
        ),
        ("POST", chat.clone(), too_large.as_str(), 413, "too_large"),
        ("GET", format!("{base}/nothing"), "", 404, "bad_request"),
        (
            "POST",
            format!("{base}/services/none/x"),
            "{}",
            404,
            "unknown_service",
        ),
    ];
    for (method, url, body, status, code) in cases {
        let answer = call(method, &url, None, body);
        assert_eq!(answer.status, status, "{method} {url}: {answer:?}");
        assert_eq!(answer.code(), code, "{method} {url}");
        assert_eq!(answer.outcome(), "not_run", "{method} {url}");
    }
}

/// Guards against a caller that occupies a connection by never completing its request head.
#[test]
fn incomplete_request_head_times_out() {
    let fleet = Fleet::start(&settings());
    let mut stream = TcpStream::connect(fleet.entries[0].address()).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    stream.write_all(b"POST /v1/chat/comp").expect("sent");
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received);
    assert!(
        ended.is_ok(),
        "the connection was not closed in time: {ended:?}"
    );
    assert_eq!(fleet.chat(0, "breeds@v1", "others", 2).status, 200);
}

/// Guards against an engine that keeps generating for a caller that has disconnected.
#[test]
fn request_is_cancelled_at_the_engine_when_the_caller_disconnects() {
    let fleet = Fleet::start(&settings());
    assert_eq!(
        fleet.chat(0, "breeds@v1", "loads the adapter", 1).status,
        200
    );
    let body = chat_body("breeds@v1", "long", 4_000, true);
    let mut stream = TcpStream::connect(fleet.entries[0].address()).expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(body.as_bytes()).expect("sent");
    let running_requests = || {
        let url = format!("{}/admin/state", fleet.engines[0].url());
        call("GET", &url, None, "").json()["running"].as_u64()
    };
    wait_until("the engine runs the request", || {
        running_requests() == Some(1)
    });
    drop(stream);
    wait_until("the engine cancels the request", || {
        running_requests() == Some(0)
    });
}
