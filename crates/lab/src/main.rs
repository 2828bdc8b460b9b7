#![forbid(unsafe_code)]
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // a tool on the real machine, not the proxy
//! `pierloom-lab`: seeds, replays, shrinking and digests on the proxy's simulated world.

mod ledger;
mod seeds;
mod shrink;

use argh::FromArgs;
use pierloom_lab::defects::Defect;
use pierloom_world::generate::generate_script;
use pierloom_world::observer::Trace;
use pierloom_world::run::{Options, Report, run_script};
use pierloom_world::script::Script;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments on the proxy's simulated world. Exit codes: 0 no rule broken, 1 a rule broken, 2 bad input.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Seeds(seeds::Seeds),
    Replay(Replay),
    Script(Print),
    Shrink(shrink::Shrink),
    Digest(Digest),
    Ledger(ledger::SumEventCounts),
}

/// Play one seed or one script, and say which rules broke and what led there.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// a seed, or a script's file
    #[argh(positional)]
    what: String,
    /// print everything that crosses the sockets
    #[argh(switch)]
    trace: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// plant a defect in the proxies; to see that it is found
    #[argh(option)]
    defect: Option<Defect>,
}

/// Print the script of a seed, to be edited and replayed.
#[derive(FromArgs)]
#[argh(subcommand, name = "script")]
struct Print {
    /// the seed
    #[argh(positional)]
    seed: String,
}

/// Print one hash of everything that crossed the sockets in a seed's run, with its times.
#[derive(FromArgs)]
#[argh(subcommand, name = "digest")]
struct Digest {
    /// the seed, or a script's file
    #[argh(positional)]
    what: String,
}

/// Exit code where a rule broke, and for input that cannot be used.
const BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;

/// Reads a seed: a decimal number.
fn seed(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is no seed: a number from 0 to {} is wanted", u64::MAX))
}

/// The script that a seed draws, or that a file holds.
fn script(what: &str) -> Result<Script, String> {
    if Path::new(what).extension().is_some_and(|extension| extension == "toml") {
        let text = std::fs::read_to_string(what).map_err(|e| format!("{what}: {e}"))?;
        return Script::read(what, &text);
    }
    seed(what).map(generate_script)
}

fn tell(report: &Report) {
    for violation in &report.violations {
        println!("{:?} at {:.6} s: {}", violation.rule, violation.at as f64 / 1e6, violation.what);
        violation.preceding_events.iter().for_each(|line| println!("    {line}"));
    }
    let counts = &report.counts;
    println!(
        "{} s, {} connections, {} jobs ({} served, {} refused, {} failed), {} claims, {} moves, {} crossings; \
         service {:.4}; digest {:016x}; {} rules broken",
        report.length / 1_000_000,
        counts.connections,
        counts.requests,
        counts.served,
        counts.refused,
        counts.failed,
        counts.attempts,
        counts.moves,
        counts.network_events,
        report.service_quality(),
        report.digest,
        report.violations.len()
    );
}

fn replay(asked: &Replay) -> Result<bool, String> {
    let script = script(&asked.what)?;
    let component_factory = asked.defect.map(Defect::component_factory);
    let trace = if asked.trace { Trace::Print } else { Trace::None };
    let report = run_script(
        &script,
        &Options {
            trace,
            component_factory,
            injected_defect: asked.defect.and_then(Defect::injected_defect),
        },
    );
    if asked.json {
        println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
    } else {
        tell(&report);
    }
    Ok(report.violations.is_empty())
}

fn write(path: &PathBuf, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["pierloom-lab"], &words) {
        Ok(arguments) => arguments,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("pierloom-lab: {}", early.output.lines().next().unwrap_or_default());
            return ExitCode::from(BAD_INPUT);
        }
    };
    let done = match arguments.command {
        Command::Seeds(asked) => seeds::run(&asked),
        Command::Replay(asked) => replay(&asked),
        Command::Script(asked) => seed(&asked.seed).map(|seed| {
            print!("{}", generate_script(seed).to_toml());
            true
        }),
        Command::Shrink(asked) => shrink::run(&asked),
        Command::Ledger(asked) => ledger::run(&asked),
        Command::Digest(asked) => script(&asked.what).map(|script| {
            println!("{:016x}", run_script(&script, &Options::default()).digest);
            true
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(fault) => {
            eprintln!("pierloom-lab: {fault}");
            ExitCode::from(BAD_INPUT)
        }
    }
}
