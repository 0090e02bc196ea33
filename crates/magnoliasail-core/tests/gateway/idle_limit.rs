//! Servers that forget idle connections, sooner than they say.

use magnoliasail_core::gateway::IdleLimit;

/// Servers that forget a connection after 300 ms of rest.
const FORGOTTEN_MS: u64 = 300;

#[test]
fn few_requests_are_lost_before_connections_are_used_only_while_they_hold() {
    let mut trust = IdleLimit::default();
    let mut lost = 0;
    for step in 0..100 {
        let now_ms = step * 50;
        let idle_ms = (step * 37) % 700;
        if idle_ms < trust.limit_ms(now_ms) && idle_ms >= FORGOTTEN_MS {
            lost += 1;
            trust.record_loss(idle_ms, now_ms);
        }
    }
    assert_eq!(lost, 1);
    assert!(trust.limit_ms(5_000) >= 100, "connections are still used");
}

#[test]
fn trust_comes_back_while_connections_hold() {
    let mut trust = IdleLimit::default();
    let first_ms = trust.limit_ms(0);
    trust.record_loss(400, 1_000);
    assert_eq!(trust.limit_ms(1_000), 200);
    assert_eq!(trust.limit_ms(11_000), 300);
    assert_eq!(trust.limit_ms(1_000_000), first_ms);
}

/// Servers that crash or reset connections amid a busy stream of requests.
#[test]
fn losses_of_connections_in_steady_use_do_not_end_their_reuse() {
    let mut trust = IdleLimit::default();
    let first_ms = trust.limit_ms(0);
    for now_ms in 0..100 {
        trust.record_loss(now_ms % 20, now_ms);
    }
    assert_eq!(trust.limit_ms(100), first_ms);
}

#[test]
fn however_many_connections_are_lost_some_are_used_again() {
    let mut trust = IdleLimit::default();
    for now_ms in 0..1_000 {
        trust.record_loss(100, now_ms);
    }
    assert!(trust.limit_ms(1_000) > 0);
}
