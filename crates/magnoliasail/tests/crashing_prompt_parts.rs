//! Tests of parts late in long prompts that crash each engine which runs them.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, Outcome, Poison},
    std::{
        iter,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const ENTRIES: u8 = 2;
const ENGINES: u8 = 4;
const FIRST_PART: &str = "aa";
const BAD_PART: &str = "bad";

/// A stream whose prompt has the bad part after this many parts of its own; no two are alike.
fn bad_stream(number: u32, own_parts: u32) -> Call {
    let own = (0..own_parts).map(|part| format!("{:x}:1", 0x1000_0000 + number * 0x1000 + part));
    let parts: Vec<String> = iter::once(format!("{FIRST_PART}:1"))
        .chain(own)
        .chain([format!("{BAD_PART}:1"), format!("{number:x}:1")])
        .collect();
    Call {
        id: format!("bad-{number}"),
        kind: CallKind::ResumableStream,
        content: format!("bad-{number}"),
        prompt_parts: parts.join(","),
        ..Call::default()
    }
}

fn sound_stream(number: u32) -> Call {
    Call {
        id: format!("sound-{number}"),
        kind: CallKind::ResumableStream,
        content: format!("sound-{number}"),
        prompt_parts: format!("{FIRST_PART}:50,sound{}:30,own{number}:20", number % 8),
        ..Call::default()
    }
}

/// Makes calls in turn until `end`; returns the share of the calls after `found` that were served.
async fn call_until(
    fleet: &Fleet,
    entry: u8,
    call: impl Fn(u32) -> Call,
    found: Instant,
    end: Instant,
) -> f64 {
    const PAUSE: Duration = Duration::from_millis(60);
    let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
    let (mut served, mut count) = (0, 0);
    let mut number = u32::from(entry) * 10_000;
    while Instant::now() < end {
        let is_counted = Instant::now() >= found;
        let outcome = caller.call(&call(number)).await;
        if is_counted {
            count += 1;
            served += u32::from(outcome == Outcome::Served);
        }
        number += 1;
        sleep(PAUSE).await;
    }
    f64::from(served) / f64::from(count.max(1))
}

fn assert_found_after(network: u8, own_parts: u32, poison: Poison) {
    /// Time in which the part must be found.
    const ATTACK_TIME: Duration = Duration::from_secs(4);
    const OBSERVATION_TIME: Duration = Duration::from_secs(4);
    const MIN_SERVED_SHARE: f64 = 0.5;
    let settings = FleetSettings {
        entries: ENTRIES,
        engines: ENGINES,
        ..small_fleet(network)
    };
    run_with_fleet(settings, |fleet| async move {
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
        let found = Instant::now() + ATTACK_TIME;
        let end = found + OBSERVATION_TIME;
        let bad = |number| bad_stream(number, own_parts);
        let (_, _, _, served_share) = tokio::join!(
            call_until(&fleet, 0, bad, found, end),
            call_until(&fleet, 1, bad, found, end),
            call_until(&fleet, 0, sound_stream, found, found),
            call_until(&fleet, 1, sound_stream, found, end)
        );
        let crashes = poison.crashes();
        assert!(crashes >= 3, "the part crashed {crashes} engines");
        assert_no_violations(&fleet);
        assert!(
            served_share >= MIN_SERVED_SHARE,
            "{served_share} of the sound calls were served\n{}",
            fleet.output()
        );
    });
}

/// Guards against parts beyond the 32nd that no process watches, so that the first part, which all prompts
/// share, is refused in their place.
#[test]
fn part_late_in_prompts_that_crashes_engines_is_refused_and_the_shared_first_part_is_not() {
    assert_found_after(95, 40, Poison::part(BAD_PART));
}

/// The same at the end of a header that is nearly as long as the configuration allows.
#[test]
fn part_at_the_end_of_the_longest_prompts_that_crashes_engines_is_refused() {
    assert_found_after(96, 1_300, Poison::part(BAD_PART));
}

/// Guards against engines that end their answer properly as they crash on it, so that the part seems to be sound and the
/// first part is refused in its place.
#[test]
fn part_whose_answers_look_complete_as_they_crash_engines_is_refused_and_the_first_part_is_not() {
    assert_found_after(97, 40, Poison::part(BAD_PART).with_answers());
}
