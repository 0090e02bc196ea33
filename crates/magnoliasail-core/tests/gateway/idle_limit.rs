//! Idle limits against servers that drop idle connections earlier than announced.

use magnoliasail_core::gateway::IdleLimit;

/// Idle time after which the server drops a connection.
const DROP_MS: u64 = 300;

#[test]
fn the_limit_falls_below_the_drop_time_after_one_loss() {
    let mut limit = IdleLimit::default();
    let mut lost = 0;
    for step in 0..100 {
        let now_ms = step * 50;
        let idle_ms = (step * 37) % 700;
        if idle_ms < limit.limit_ms(now_ms) && idle_ms >= DROP_MS {
            lost += 1;
            limit.record_loss(idle_ms, now_ms);
        }
    }
    assert_eq!(lost, 1);
    assert!(limit.limit_ms(5_000) >= 100, "connections are still reused");
}

#[test]
fn the_limit_rises_again_while_no_connection_is_lost() {
    let mut limit = IdleLimit::default();
    let initial_ms = limit.limit_ms(0);
    limit.record_loss(400, 1_000);
    assert_eq!(limit.limit_ms(1_000), 200);
    assert_eq!(limit.limit_ms(11_000), 300);
    assert_eq!(limit.limit_ms(1_000_000), initial_ms);
}

/// Servers that crash or reset connections in steady use say nothing about idle connections.
#[test]
fn losses_of_connections_in_steady_use_do_not_lower_the_limit() {
    let mut limit = IdleLimit::default();
    let initial_ms = limit.limit_ms(0);
    for now_ms in 0..100 {
        limit.record_loss(now_ms % 20, now_ms);
    }
    assert_eq!(limit.limit_ms(100), initial_ms);
}

#[test]
fn the_limit_stays_above_zero_after_many_losses() {
    let mut limit = IdleLimit::default();
    for now_ms in 0..1_000 {
        limit.record_loss(100, now_ms);
    }
    assert!(limit.limit_ms(1_000) > 0);
}
