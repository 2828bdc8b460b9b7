//! Many seeds, on several threads; each run is a world of its own, so that the number of threads changes nothing.

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

/// Play many seeds and name those in which a rule broke.
#[derive(FromArgs)]
#[argh(subcommand, name = "seeds")]
pub struct Seeds {
    /// the first seed
    #[argh(option, default = "0")]
    from: u64,
    /// how many
    #[argh(option)]
    count: u64,
    /// threads; as many as there are cores where this is left out
    #[argh(option)]
    jobs: Option<usize>,
    /// a file for the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// plant a defect in the proxies, and stop at the first seed that finds it
    #[argh(option)]
    defect: Option<Defect>,
}

/// One seed's run.
#[derive(Serialize)]
struct Played {
    seed: u64,
    digest: String,
    rules: Vec<Rule>,
    first: Option<String>,
    proxies: usize,
    #[serde(rename = "nodes")]
    backends: usize,
    #[serde(rename = "submitters")]
    clients: usize,
    faults: usize,
    seconds: f64,
    #[serde(rename = "crossings")]
    network_events: u64,
    #[serde(rename = "jobs")]
    requests: u64,
    service: f64,
}

fn play_one(seed: u64, defect: Option<Defect>) -> Played {
    let script = generate_script(seed);
    let report = run_script(
        &script,
        &Options {
            component_factory: defect.map(Defect::component_factory),
            injected_defect: defect.and_then(Defect::injected_defect),
            ..Options::default()
        },
    );
    Played {
        seed,
        digest: format!("{:016x}", report.digest),
        rules: report.violations.iter().map(|violation| violation.rule).collect(),
        first: report
            .violations
            .first()
            .map(|violation| format!("{:.3} s: {}", violation.at as f64 / 1e6, violation.what)),
        proxies: script.proxies.len(),
        backends: script.backends.len(),
        clients: script.clients.len(),
        faults: script.faults.len(),
        seconds: report.length as f64 / 1e6,
        network_events: report.counts.network_events,
        requests: report.counts.requests,
        service: report.service_quality(),
    }
}

/// Plays them; whether no rule broke.
pub fn run(asked: &Seeds) -> Result<bool, String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = asked.jobs.unwrap_or(cores).max(1);
    let end = asked.from.checked_add(asked.count).ok_or("--from and --count go beyond the last seed")?;
    let bar =
        if std::io::stderr().is_terminal() { ProgressBar::new(asked.count) } else { ProgressBar::hidden() };
    let style = "{bar:40} {pos}/{len} {per_sec} {eta} {msg}";
    bar.set_style(ProgressStyle::with_template(style).map_err(|e| e.to_string())?);
    let (next, stop) = (AtomicU64::new(asked.from), AtomicU64::new(end));
    let played = Mutex::new(Vec::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let one = play_one(seed, asked.defect);
                    if !one.rules.is_empty() {
                        bar.set_message(format!("seed {seed}: {:?}", one.rules[0]));
                        if asked.defect.is_some() {
                            // Seeds before it are still played: the lowest that finds it counts.
                            stop.fetch_min(seed, Ordering::Relaxed);
                        }
                    }
                    bar.inc(1);
                    if let Ok(mut played) = played.lock() {
                        played.push(one);
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let took = began.elapsed().as_secs_f64();
    let mut played = played.into_inner().map_err(|e| e.to_string())?;
    played.sort_by_key(|one| one.seed);
    tell(&played, took, jobs);
    if let Some(path) = &asked.json {
        let text = serde_json::to_string(&played).map_err(|e| e.to_string())?;
        crate::write(path, &text)?;
    }
    Ok(played.iter().all(|one| one.rules.is_empty()))
}

fn tell(played: &[Played], took: f64, jobs: usize) {
    let mean = |part: fn(&Played) -> f64| played.iter().map(part).sum::<f64>() / played.len().max(1) as f64;
    let mut rules: BTreeMap<Rule, Vec<u64>> = BTreeMap::new();
    for one in played {
        let mut broken = one.rules.clone();
        broken.sort();
        broken.dedup();
        broken.into_iter().for_each(|rule| rules.entry(rule).or_default().push(one.seed));
    }
    for (rule, seeds) in &rules {
        let shown: Vec<String> = seeds.iter().take(12).map(u64::to_string).collect();
        println!("{rule:?}: {} seeds: {}", seeds.len(), shown.join(" "));
    }
    for one in played.iter().filter(|one| !one.rules.is_empty()).take(20) {
        println!("  seed {}: {:?} {}", one.seed, one.rules[0], one.first.as_deref().unwrap_or_default());
    }
    println!(
        "{} seeds in {took:.1} s on {jobs} threads, {:.1} a second; the average run: {:.1} virtual s, {:.1} proxies, \
         {:.1} execute nodes, {:.1} submitters, {:.1} faults, {:.0} jobs, {:.0} crossings, service {:.3}",
        played.len(),
        played.len() as f64 / took,
        mean(|one| one.seconds),
        mean(|one| one.proxies as f64),
        mean(|one| one.backends as f64),
        mean(|one| one.clients as f64),
        mean(|one| one.faults as f64),
        mean(|one| one.requests as f64),
        mean(|one| one.network_events as f64),
        mean(|one| one.service),
    );
}
