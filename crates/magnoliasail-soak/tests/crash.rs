//! A backend server that crashes in the middle of a stream aborts it. A normal end would make the
//! truncated answer look complete to the caller.

use {
    magnoliasail_soak::{BackendServer, Call, CallKind, Caller, Ledger, ServerKind},
    std::{net::SocketAddr, time::Duration},
    tokio::{runtime::Builder, time::sleep},
};

const SERVER_COUNT: u8 = 12;
const ROUNDS: u64 = 60;
const CALLS_PER_ROUND: u64 = 16;
const DEADLINE: Duration = Duration::from_secs(2);

/// Crashes one server repeatedly during its streams.
async fn crash_during_streams(index: u8, ledger: Ledger) {
    let address = SocketAddr::from(([127, 0, 9, index], 7100));
    let server = BackendServer::new(ServerKind::Engine, address, index.into(), ledger.clone());
    for round in 0..ROUNDS {
        server.start().await.expect("the server starts again");
        let calls: Vec<_> = (0..CALLS_PER_ROUND)
            .map(|number| {
                let mut caller = Caller::new(address, ledger.clone());
                let call = Call {
                    id: format!("call-{index}-{round}-{number}"),
                    kind: CallKind::Stream,
                    adapter: "base".to_owned(),
                    deadline: DEADLINE,
                    ..Call::default()
                };
                tokio::spawn(async move { caller.call(&call).await })
            })
            .collect();
        sleep(Duration::from_millis(20 + round % 60)).await;
        server.crash();
        for call in calls {
            call.await.expect("the caller does not panic");
        }
    }
}

#[test]
fn crashing_server_aborts_its_streams() {
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let ledger = Ledger::default();
    runtime.block_on(async {
        let tasks: Vec<_> = (1..=SERVER_COUNT)
            .map(|index| tokio::spawn(crash_during_streams(index, ledger.clone())))
            .collect();
        for task in tasks {
            task.await.expect("the task does not panic");
        }
    });
    let violations = ledger.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}
