//! Stand-ins and cases of the review's scripts: `review-cases-3 CASE RECORD`.

mod adapter_slots;
mod cut_answer;
mod engine;
mod fleet;
mod forgotten_versions;
mod grown_config;
mod http;
mod late_heartbeat;
mod link;
mod plain;
mod shared_path;
mod store;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, record) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = runtime.block_on(async {
        match case.as_str() {
            "adapter-slots" => adapter_slots::run(&record, has_trouble).await,
            "cut-answer" => cut_answer::run(&record, has_trouble).await,
            "forgotten-versions" => forgotten_versions::run(&record, has_trouble).await,
            "late-heartbeat" => late_heartbeat::run(&record, has_trouble).await,
            "shared-path" => shared_path::run(&record, has_trouble).await,
            "grown-config" => grown_config::run(&record, has_trouble).await,
            _ => 2,
        }
    });
    drop(runtime);
    println!("exit {code}");
    std::process::exit(code);
}
