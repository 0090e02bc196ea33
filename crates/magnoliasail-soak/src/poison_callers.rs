//! Callers of a soak whose requests crash servers.

use {
    crate::{
        account_callers::{OTHER_KEY, USUAL_KEY},
        caller::{Call, CallKind, Caller, Outcome},
        fleet::Fleet,
        standin::Poison,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Time between two calls of a caller.
const PAUSE: Duration = Duration::from_millis(400);
/// Time in which a process hears of crashes although the soak disturbs its paths meanwhile, or has
/// just restarted it.
const DETECTION_TIME: Duration = Duration::from_secs(6);
const POISONED_PART: &str = "poisoned";

/// What a caller sends.
#[derive(Clone, Copy, Debug)]
enum Attack {
    /// The same request, at plain servers.
    Request,
    /// The same request of another account, which is sound.
    EqualRequest,
    /// Different requests with one part in their prompts, at engines.
    Part,
}

/// Starts callers that send what crashes servers, through all entries in turn, until `is_stopped`.
pub(crate) fn start_poison_callers(
    fleet: &Fleet,
    is_stopped: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let entry_count = fleet.entry_count();
    let mut part = Poison::part(POISONED_PART);
    if fleet.seed().is_multiple_of(2) {
        part = part.with_answers();
    }
    let (_, account) = USUAL_KEY;
    for poison in [Poison::request("poisonous").of_account(account), part] {
        let poison = poison.with_detection_time(DETECTION_TIME);
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
    }
    let mut tasks = Vec::new();
    for attack in [Attack::Request, Attack::EqualRequest, Attack::Part] {
        let entries = (0..entry_count).map(|entry| fleet.entry_address(entry));
        let callers = entries.map(|entry| Caller::new(entry, fleet.ledger.clone()));
        tasks.push(tokio::spawn(keep_calling(
            attack,
            callers.collect(),
            Arc::clone(is_stopped),
        )));
    }
    tasks
}

/// Records a violation if an entry does not serve the sound request that equals the poisonous one of another account.
pub(crate) async fn check_equal_request(fleet: &Fleet) {
    const TRIES: usize = 3;
    for entry in 0..fleet.entry_count() {
        let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
        let mut outcomes = Vec::new();
        for number in 0..TRIES {
            let call = Call {
                id: format!("last-equal-{entry}-{number}"),
                ..poisoned_call(Attack::EqualRequest, number)
            };
            outcomes.push(caller.call(&call).await);
        }
        if !outcomes.contains(&Outcome::Served) {
            let detail = format!("entry {entry}: {outcomes:?}");
            fleet
                .ledger
                .record_violation("equal requests of another account are served", detail);
        }
    }
}

async fn keep_calling(attack: Attack, mut callers: Vec<Caller>, is_stopped: Arc<AtomicBool>) {
    let mut number = 0;
    while !is_stopped.load(Ordering::SeqCst) {
        let caller_count = callers.len();
        let caller = &mut callers[number % caller_count];
        let _ = caller.call(&poisoned_call(attack, number)).await;
        number += 1;
        sleep(PAUSE).await;
    }
}

fn poisoned_call(attack: Attack, number: usize) -> Call {
    match attack {
        Attack::Request => Call {
            id: format!("poison-{number}"),
            kind: CallKind::Safe,
            content: "poisonous".to_owned(),
            key: Some(USUAL_KEY),
            ..Call::default()
        },
        Attack::EqualRequest => Call {
            id: format!("equal-{number}"),
            key: Some(OTHER_KEY),
            ..poisoned_call(Attack::Request, number)
        },
        Attack::Part => Call {
            id: format!("poisoned-part-{number}"),
            kind: CallKind::ResumableStream,
            content: format!("poisoned-{number}"),
            prompt_parts: format!("aa:40,{POISONED_PART}:30,own{number}:30"),
            key: Some(USUAL_KEY),
            ..Call::default()
        },
    }
}
