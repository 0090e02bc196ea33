//! Rates that servers name: how long they hold, and what the server gets meanwhile.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    magnoliasail_core::gateway::{
        Directory, GrantCandidate, Ineligibility, RateChange, RateLimit, RateSource, RateStatement,
        RequestRate, SendGrants, ServerEntry, VersionConstraint, pick_grant_agent,
        rate_without_agent,
    },
    std::collections::BTreeMap,
};

const WINDOW_MS: u64 = 4_000;
const NOW_MS: u64 = 1_000_000;
const SERVER_START: u64 = 7;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

fn named(per_s: f64) -> RateStatement {
    RateStatement::Named(rate(per_s))
}

/// Returns the most requests within any window of four seconds.
fn worst_window(sent_ms: &[u64]) -> usize {
    let count_from = |first: u64| {
        let in_window = sent_ms
            .iter()
            .filter(|&&at| at >= first && at < first + WINDOW_MS);
        in_window.count()
    };
    sent_ms
        .iter()
        .map(|&first| count_from(first))
        .max()
        .unwrap_or(0)
}

/// Returns what the users' rule allows within four seconds.
fn max_in_window(per_s: f64) -> f64 {
    1.5 * 4.0 * per_s + 5.0
}

#[test]
fn numbers_that_are_no_rates_are_not_taken_for_one() {
    for per_s in [-0.1, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::from_per_s(per_s), None);
    }
    let longest_us = rate(0.0).interval_us();
    assert_eq!(longest_us, 30_000_000);
    assert_eq!(rate(0.001).interval_us(), longest_us);
    assert_eq!(rate(1e308).interval_us(), 1);
    assert_eq!(rate(5.2).interval_us(), 192_308);
}

/// A response that was overtaken says what the server wanted before.
#[test]
fn only_a_response_to_a_later_request_lifts_or_changes_a_rate() {
    let mut limit = RateLimit::default();
    let mut apply = |statement, source, sent_ms| limit.apply(statement, source, sent_ms, NOW_MS);
    let request = RateSource::Request;
    assert_eq!(apply(RateStatement::Unnamed, request, 100), None);
    assert_eq!(
        apply(named(2.0), request, 200),
        Some(RateChange::Named(rate(2.0)))
    );
    assert_eq!(apply(RateStatement::Unnamed, request, 150), None);
    assert_eq!(apply(named(9.0), request, 199), None);
    assert_eq!(apply(RateStatement::Unreadable, request, 300), None);
    // Reports of a server that names its rate in other responses only do not lift it.
    assert_eq!(apply(RateStatement::Unnamed, RateSource::Report, 400), None);
    assert_eq!(
        apply(named(1.0), request, 201),
        Some(RateChange::Named(rate(1.0)))
    );
    assert_eq!(
        apply(RateStatement::Unnamed, request, 202),
        Some(RateChange::Lifted)
    );
    assert_eq!(limit.rate(), None);
    assert_eq!(limit.available(NOW_MS), usize::MAX);
}

#[test]
fn the_lower_of_two_rates_holds_that_requests_and_reports_name() {
    let mut limit = RateLimit::default();
    limit.apply(named(4.0), RateSource::Report, 1, NOW_MS);
    limit.apply(named(2.0), RateSource::Request, 2, NOW_MS);
    assert_eq!(limit.rate(), Some(rate(2.0)));
    let change = limit.apply(RateStatement::Unnamed, RateSource::Request, 3, NOW_MS);
    assert_eq!(change, Some(RateChange::Named(rate(4.0))));
}

/// What was saved up before a rate is named, or under a higher one, must not arrive under the lower one.
#[test]
fn nothing_is_saved_up_when_a_rate_starts_or_falls() {
    let mut limit = RateLimit::default();
    limit.apply(named(10.0), RateSource::Request, 1, NOW_MS);
    assert_eq!(limit.available(NOW_MS), 0);
    assert_eq!(limit.available(NOW_MS + 100), 1);
    let later_ms = NOW_MS + 900;
    assert_eq!(limit.available(later_ms), 6);
    limit.apply(named(0.5), RateSource::Request, 2, later_ms);
    assert_eq!(limit.available(later_ms), 1);
    limit.take(later_ms);
    assert_eq!(limit.available(later_ms + 1_999), 0);
    assert_eq!(limit.available(later_ms + 2_000), 1);
}

/// Draws the time between two requests: bursts, a steady flow and pauses.
fn draw_gap_ms(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<u64> {
    Ok(match source.int_in_range(0..=9)? {
        0..=4 => 0,
        5..=8 => source.int_in_range(1..=150)?,
        _ => source.int_in_range(500..=5_000)?,
    })
}

#[test]
fn a_server_gets_no_more_than_its_rate_and_what_is_saved_for_half_a_second() {
    arbtest(|source| {
        let per_s = f64::from(source.int_in_range(5..=2_000)?) / 10.0;
        let mut limit = RateLimit::default();
        limit.apply(named(per_s), RateSource::Request, 1, NOW_MS);
        let mut now_ms = NOW_MS;
        let mut sent_ms = Vec::new();
        while !source.is_empty() && sent_ms.len() < 3_000 {
            now_ms += draw_gap_ms(source)?;
            if limit.available(now_ms) > 0 {
                limit.take(now_ms);
                sent_ms.push(now_ms);
            }
        }
        let worst = worst_window(&sent_ms) as f64;
        assert!(worst <= 4.5 * per_s + 1.0, "{worst} at {per_s} a second");
        assert!(worst <= max_in_window(per_s));
        Ok(())
    });
}

#[test]
fn demand_above_the_rate_gets_nearly_all_of_it() {
    const DURATION_MS: u64 = 60_000;
    const MIN_USED_SHARE: f64 = 0.8;
    for per_s in [0.5, 3.4, 5.2, 50.0, 200.0] {
        let mut limit = RateLimit::default();
        limit.apply(named(per_s), RateSource::Request, 1, NOW_MS);
        let mut sent = 0;
        for now_ms in (NOW_MS..NOW_MS + DURATION_MS).step_by(3) {
            if limit.available(now_ms) > 0 {
                limit.take(now_ms);
                sent += 1;
            }
        }
        let expected = MIN_USED_SHARE * per_s * DURATION_MS as f64 / 1_000.0;
        assert!(f64::from(sent) >= expected, "{sent} at {per_s} a second");
    }
}

/// Returns agents of which the first `up_from` in rank cannot be reached.
fn agents(up_from: usize) -> Vec<GrantCandidate> {
    let mut agents: Vec<GrantCandidate> = (1..=5)
        .map(|number| GrantCandidate {
            vm: [10, 0, 0, number].into(),
            is_up: true,
        })
        .collect();
    for _ in 0..up_from {
        let first = pick_grant_agent(SERVER_START, rate(1.0), agents.clone());
        let first = first.expect("an agent is up").vm;
        let agent = agents.iter_mut().find(|agent| agent.vm == first);
        agent.expect("it is a candidate").is_up = false;
    }
    agents
}

#[test]
fn all_entries_ask_the_same_agent_and_one_that_cannot_gets_less_from_another() {
    let pick = |agents| pick_grant_agent(SERVER_START, rate(8.0), agents);
    let first = pick(agents(0)).expect("an agent is up");
    let mut reversed = agents(0);
    reversed.reverse();
    assert_eq!(pick(reversed), Some(first));
    assert_eq!(first.rate, rate(8.0));
    let next = pick(agents(1)).expect("an agent is up");
    assert_ne!(next.vm, first.vm);
    assert!(next.rate.interval_us() >= 3 * first.rate.interval_us());
    assert_eq!(pick(agents(5)), None);
    let own = rate_without_agent(rate(8.0), 6);
    assert!(own.interval_us() >= 6 * next.rate.interval_us());
}

/// Entries of which some reach the first agent and the others only the next one, which grants a quarter.
#[derive(Default)]
struct Fleet {
    first_agent: SendGrants,
    next_agent: SendGrants,
    /// When the server gets the requests that were granted.
    arrivals_ms: BTreeMap<u64, usize>,
}

impl Fleet {
    fn ask(&mut self, is_cut_off: bool, per_s: f64, max_wait_ms: u64, now_ms: u64) {
        let picked = pick_grant_agent(SERVER_START, rate(per_s), agents(is_cut_off.into()));
        let rate = picked.expect("an agent is up").rate;
        let agent = if is_cut_off {
            &mut self.next_agent
        } else {
            &mut self.first_agent
        };
        let grant = agent.ask(SERVER_START, rate, max_wait_ms, now_ms);
        if grant.is_granted {
            *self.arrivals_ms.entry(now_ms + grant.wait_ms).or_default() += 1;
        }
    }

    fn arrivals(&self) -> Vec<u64> {
        let arrivals = self.arrivals_ms.iter();
        arrivals
            .flat_map(|(&at_ms, &count)| std::iter::repeat_n(at_ms, count))
            .collect()
    }
}

#[test]
fn entries_of_unequal_demand_keep_to_the_rate_together_whichever_agents_they_reach() {
    arbtest(|source| {
        let per_s = f64::from(source.int_in_range(5..=500)?) / 10.0;
        let entries: usize = source.int_in_range(1..=68)?;
        let cut_off: usize = source.int_in_range(0..=entries)?;
        let mut fleet = Fleet::default();
        let mut now_ms = NOW_MS;
        for _ in 0..2_000 {
            now_ms += draw_gap_ms(source)?.min(400);
            // A few entries send most of the requests.
            let entry = source
                .int_in_range(0..=entries)?
                .min(source.int_in_range(0..=entries)?);
            let max_wait_ms = *source.choose(&[0, 0, 75])?;
            fleet.ask(entry < cut_off, per_s, max_wait_ms, now_ms);
        }
        let worst = worst_window(&fleet.arrivals()) as f64;
        assert!(worst <= max_in_window(per_s), "{worst} at {per_s} a second");
        Ok(())
    });
}

#[test]
fn a_refusal_to_send_names_the_time_at_which_the_next_request_is_allowed() {
    let mut grants = SendGrants::default();
    let refused = grants.ask(SERVER_START, rate(2.0), 0, NOW_MS);
    assert_eq!((refused.is_granted, refused.wait_ms), (false, 500));
    let waiting = grants.ask(SERVER_START, rate(2.0), 500, NOW_MS);
    assert_eq!((waiting.is_granted, waiting.wait_ms), (true, 500));
    let refused = grants.ask(SERVER_START, rate(2.0), 500, NOW_MS);
    assert_eq!((refused.is_granted, refused.wait_ms), (false, 1_000));
}

#[test]
fn an_agent_remembers_a_bounded_number_of_servers() {
    const CAPACITY: usize = 4_096;
    let mut grants = SendGrants::default();
    for server_start in 0..3 * CAPACITY as u64 {
        grants.ask(server_start, rate(2.0), 0, NOW_MS + server_start);
    }
    assert_eq!(grants.len(), CAPACITY);
}

fn entry(id: &str, started_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 4,
        is_draining: false,
        started_ms: Some(started_ms),
        software_version: None,
        models: Vec::new(),
    }
}

#[test]
fn a_rate_holds_for_one_start_of_a_server_also_after_its_row_was_away() {
    let mut directory = Directory::default();
    directory.insert(entry("a", 1), NOW_MS);
    directory.apply_rate("a", Some(1), named(2.0), NOW_MS, NOW_MS);
    let reason = directory.soonest_available("s", &VersionConstraint::Any, NOW_MS);
    assert_eq!(reason, Some(Ineligibility::Limited { left_ms: 500 }));
    directory.remove("a", NOW_MS);
    directory.prune(NOW_MS + 10);
    directory.insert(entry("a", 1), NOW_MS + 20);
    let named_rate = |directory: &Directory| directory.get("a").and_then(|server| server.rate());
    assert_eq!(named_rate(&directory), Some(rate(2.0)));
    directory.insert(entry("a", 2), NOW_MS + 30);
    assert_eq!(named_rate(&directory), None);
    let late = directory.apply_rate("a", Some(1), named(2.0), NOW_MS + 40, NOW_MS + 40);
    assert_eq!(late, None);
}
