//! The `seeds` command: runs many seeds on several threads. Each run has its own simulated world, so that the
//! number of threads does not change the results.

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use pierloom_lab::defects::Defect;
use pierloom_world::generate::generate_script;
use pierloom_world::observer::Rule;
use pierloom_world::run::{Options, run_script};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Highest number of seeds that the summary names for each broken rule.
const MAX_SHOWN_SEEDS_PER_RULE: usize = 12;
/// Highest number of failing seeds that the summary shows with their first violation.
const MAX_SHOWN_FAILING_SEEDS: usize = 20;

/// Run many seeds, and list those in which a rule broke.
#[derive(FromArgs)]
#[argh(subcommand, name = "seeds")]
pub struct Seeds {
    /// the first seed
    #[argh(option, default = "0")]
    from: u64,
    /// the number of seeds
    #[argh(option)]
    count: u64,
    /// the number of threads; the default is the number of cores
    #[argh(option)]
    jobs: Option<usize>,
    /// write the results to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// plant this defect in the proxies, and stop at the first seed that detects it
    #[argh(option)]
    defect: Option<Defect>,
}

/// The result of one seed's run.
#[derive(Serialize)]
struct SeedResult {
    seed: u64,
    digest: String,
    #[serde(rename = "rules")]
    broken_rules: Vec<Rule>,
    #[serde(rename = "first")]
    first_violation: Option<String>,
    proxies: usize,
    #[serde(rename = "nodes")]
    backends: usize,
    #[serde(rename = "submitters")]
    clients: usize,
    faults: usize,
    #[serde(rename = "seconds")]
    virtual_seconds: f64,
    #[serde(rename = "crossings")]
    network_events: u64,
    #[serde(rename = "jobs")]
    requests: u64,
    #[serde(rename = "service")]
    service_quality: f64,
}

/// Runs one seed.
fn run_seed(seed: u64, defect: Option<Defect>) -> SeedResult {
    let script = generate_script(seed);
    let report = run_script(
        &script,
        &Options {
            component_factory: defect.map(Defect::component_factory),
            injected_defect: defect.and_then(Defect::injected_defect),
            ..Options::default()
        },
    );
    SeedResult {
        seed,
        digest: format!("{:016x}", report.digest),
        broken_rules: report.violations.iter().map(|violation| violation.rule).collect(),
        first_violation: report
            .violations
            .first()
            .map(|violation| format!("{:.3} s: {}", violation.at as f64 / 1e6, violation.description)),
        proxies: script.proxies.len(),
        backends: script.backends.len(),
        clients: script.clients.len(),
        faults: script.faults.len(),
        virtual_seconds: report.length as f64 / 1e6,
        network_events: report.counts.network_events,
        requests: report.counts.requests,
        service_quality: report.service_quality(),
    }
}

/// Runs the `seeds` command; returns whether every rule was kept.
pub fn run(args: &Seeds) -> Result<bool, String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = args.jobs.unwrap_or(cores).max(1);
    let end_seed = args.from.checked_add(args.count).ok_or("--from plus --count exceeds the highest seed")?;
    let progress =
        if std::io::stderr().is_terminal() { ProgressBar::new(args.count) } else { ProgressBar::hidden() };
    let style = "{bar:40} {pos}/{len} {per_sec} {eta} {msg}";
    progress.set_style(ProgressStyle::with_template(style).map_err(|error| error.to_string())?);
    let (next_seed, stop_seed) = (AtomicU64::new(args.from), AtomicU64::new(end_seed));
    let results = Mutex::new(Vec::new());
    let started = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= stop_seed.load(Ordering::Relaxed) {
                        return;
                    }
                    let result = run_seed(seed, args.defect);
                    if !result.broken_rules.is_empty() {
                        progress.set_message(format!("seed {seed}: {:?}", result.broken_rules[0]));
                        if args.defect.is_some() {
                            // Lower seeds still run, so that the lowest seed that detects the
                            // defect is reported.
                            stop_seed.fetch_min(seed, Ordering::Relaxed);
                        }
                    }
                    progress.inc(1);
                    if let Ok(mut results) = results.lock() {
                        results.push(result);
                    }
                }
            });
        }
    });
    progress.finish_and_clear();
    let elapsed_seconds = started.elapsed().as_secs_f64();
    let mut results = results.into_inner().map_err(|error| error.to_string())?;
    results.sort_by_key(|result| result.seed);
    print_summary(&results, elapsed_seconds, threads);
    if let Some(path) = &args.json {
        let text = serde_json::to_string(&results).map_err(|error| error.to_string())?;
        crate::write_file(path, &text)?;
    }
    Ok(results.iter().all(|result| result.broken_rules.is_empty()))
}

/// Prints the seeds of each broken rule, the first violations, and the averages over all runs.
fn print_summary(results: &[SeedResult], elapsed_seconds: f64, threads: usize) {
    let mean =
        |value: fn(&SeedResult) -> f64| results.iter().map(value).sum::<f64>() / results.len().max(1) as f64;
    let mut seeds_by_rule: BTreeMap<Rule, Vec<u64>> = BTreeMap::new();
    for result in results {
        let mut broken_rules = result.broken_rules.clone();
        broken_rules.sort();
        broken_rules.dedup();
        broken_rules.into_iter().for_each(|rule| seeds_by_rule.entry(rule).or_default().push(result.seed));
    }
    for (rule, seeds) in &seeds_by_rule {
        let shown: Vec<String> = seeds.iter().take(MAX_SHOWN_SEEDS_PER_RULE).map(u64::to_string).collect();
        println!("{rule:?}: {} seeds: {}", seeds.len(), shown.join(" "));
    }
    for result in
        results.iter().filter(|result| !result.broken_rules.is_empty()).take(MAX_SHOWN_FAILING_SEEDS)
    {
        println!(
            "  seed {}: {:?} {}",
            result.seed,
            result.broken_rules[0],
            result.first_violation.as_deref().unwrap_or_default()
        );
    }
    println!(
        "{} seeds in {elapsed_seconds:.1} s on {threads} threads, {:.1} a second; \
         the average run: {:.1} virtual s, {:.1} proxies, {:.1} execute nodes, \
         {:.1} submitters, {:.1} faults, {:.0} jobs, {:.0} crossings, service {:.3}",
        results.len(),
        results.len() as f64 / elapsed_seconds,
        mean(|result| result.virtual_seconds),
        mean(|result| result.proxies as f64),
        mean(|result| result.backends as f64),
        mean(|result| result.clients as f64),
        mean(|result| result.faults as f64),
        mean(|result| result.requests as f64),
        mean(|result| result.network_events as f64),
        mean(|result| result.service_quality),
    );
}
