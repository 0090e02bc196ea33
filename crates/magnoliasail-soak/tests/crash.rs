//! A stand-in that crashes breaks its streams off; it never ends one in order.

use {
    magnoliasail_soak::{BackendServer, Call, CallKind, Caller, Ledger, ServerKind},
    std::{net::SocketAddr, time::Duration},
    tokio::{runtime::Builder, time::sleep},
};

const LANES: u8 = 12;
const ROUNDS: u64 = 60;
const CALLS: u64 = 16;
const DEADLINE: Duration = Duration::from_secs(2);

/// Starts a server; its address is free once the tasks of the one before have ended.
async fn start(server: &BackendServer) {
    const PAUSE: Duration = Duration::from_millis(5);
    while server.start().await.is_err() {
        sleep(PAUSE).await;
    }
}

/// Crashes a server again and again amid its streams.
async fn crash_amid_streams(lane: u8, ledger: Ledger) {
    let address = SocketAddr::from(([127, 0, 9, lane], 7100));
    let server = BackendServer::new(ServerKind::Engine, address, lane.into(), ledger.clone());
    for round in 0..ROUNDS {
        start(&server).await;
        let calls: Vec<_> = (0..CALLS)
            .map(|number| {
                let mut caller = Caller::new(address, ledger.clone());
                let call = Call {
                    id: format!("call-{lane}-{round}-{number}"),
                    kind: CallKind::Stream,
                    adapter: "base".to_owned(),
                    deadline: DEADLINE,
                };
                tokio::spawn(async move { caller.call(&call).await })
            })
            .collect();
        sleep(Duration::from_millis(20 + round % 60)).await;
        server.crash();
        for call in calls {
            call.await.expect("a caller does not panic");
        }
    }
}

#[test]
fn a_server_that_crashes_never_ends_a_stream_in_order() {
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let ledger = Ledger::default();
    runtime.block_on(async {
        let lanes: Vec<_> = (1..=LANES)
            .map(|lane| tokio::spawn(crash_amid_streams(lane, ledger.clone())))
            .collect();
        for lane in lanes {
            lane.await.expect("a lane does not panic");
        }
    });
    let verdict = ledger.violations();
    assert!(verdict.is_empty(), "{verdict:#?}");
}
