//! Runs one case: `review-cases CASE REPOSITORY RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod engine;
mod limited;
mod plain;
mod processes;
mod setup;
mod store;
mod world;

use {
    std::{
        fs::{self, File},
        panic::{AssertUnwindSafe, catch_unwind},
        path::Path,
        process::exit,
        time::Duration,
    },
    tokio::{runtime::Builder, time::timeout},
    world::World,
};

const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, address, id] = &arguments[..]
        && mode == "plain-server"
    {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime starts");
        runtime.block_on(plain::serve(
            address.parse().expect("an address"),
            id.clone(),
        ));
        return;
    }
    let [case, repository, record] = &arguments[..] else {
        eprintln!("usage: review-cases CASE REPOSITORY RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("review-cases-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder is made");
    let record = File::create(record).expect("the record is made");
    let runtime = Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("the runtime starts");
    // All processes are ended, also if the case itself fails.
    let running = || runtime.block_on(run(case, Path::new(repository), &folder, record, trouble));
    let broken = catch_unwind(AssertUnwindSafe(running)).unwrap_or(None);
    for process in processes::end_all() {
        println!("ended by itself: {process}");
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs are in {}", folder.display());
    }
    runtime.shutdown_background();
    match broken {
        Some(0) => exit(0),
        Some(count) => {
            println!("broken {count} times");
            exit(1);
        }
        None => exit(2),
    }
}

async fn run(
    case: &str,
    repository: &Path,
    folder: &Path,
    record: File,
    trouble: bool,
) -> Option<usize> {
    let world = World::new(record, (8, 250.0));
    world.log(format!("case {case}, trouble {trouble}"));
    let running = async {
        match case {
            "republished" => cases::republished(&world, repository, folder, trouble).await,
            "retrained" => cases::retrained(&world, repository, folder, trouble).await,
            "paused" => cases::paused(&world, repository, folder, trouble).await,
            "upgraded" => cases::upgraded(&world, repository, folder, trouble).await,
            "killed" => cases::killed(&world, repository, folder, trouble).await,
            "reclaimed" => cases::reclaimed(&world, repository, folder, trouble).await,
            "oversized" => cases::oversized(&world, repository, folder, trouble).await,
            "poisoned" => cases::poisoned(&world, repository, folder, trouble).await,
            "restarted" => cases::restarted(&world, repository, folder, trouble).await,
            "limited" => cases::limited(&world, repository, folder, trouble).await,
            "bodies" => cases::bodies(&world, repository, folder, trouble).await,
            _ => None,
        }
    };
    timeout(LIMIT, running).await.ok().flatten()
}
