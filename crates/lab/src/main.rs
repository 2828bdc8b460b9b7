#![forbid(unsafe_code)]
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // a tool on the real machine, not the proxy
//! `pierloom-lab`: runs the proxy in a simulated world, from seeds or scripts, and shrinks failing scripts.

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
    Script(PrintScript),
    Shrink(shrink::Shrink),
    Digest(Digest),
    Ledger(ledger::SumEventCounts),
}

/// Run one seed or script, and print each broken rule with the events that preceded it.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// a seed, or the path of a script
    #[argh(positional, arg_name = "what")]
    seed_or_script: String,
    /// print each network event: connections opened, bytes sent and received, ends and resets
    #[argh(switch)]
    trace: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// plant this defect in the proxies, to check that it is detected
    #[argh(option)]
    defect: Option<Defect>,
}

/// Print the script that a seed generates, to be edited and replayed.
#[derive(FromArgs)]
#[argh(subcommand, name = "script")]
struct PrintScript {
    /// the seed
    #[argh(positional)]
    seed: String,
}

/// Print one hash of all network events of a run, with their times.
#[derive(FromArgs)]
#[argh(subcommand, name = "digest")]
struct Digest {
    /// a seed, or the path of a script
    #[argh(positional, arg_name = "what")]
    seed_or_script: String,
}

/// Exit code when a rule broke.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code for invalid arguments or input.
const EXIT_BAD_INPUT: u8 = 2;

/// Parses a seed: a decimal number.
fn parse_seed(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("invalid seed {text:?}: expected a number from 0 to {}", u64::MAX))
}

/// Reads the script from a file if the name ends in `.toml`; otherwise generates it from a seed.
fn load_script(seed_or_script: &str) -> Result<Script, String> {
    if Path::new(seed_or_script).extension().is_some_and(|extension| extension == "toml") {
        let text =
            std::fs::read_to_string(seed_or_script).map_err(|error| format!("{seed_or_script}: {error}"))?;
        return Script::parse(seed_or_script, &text);
    }
    parse_seed(seed_or_script).map(generate_script)
}

/// Prints the broken rules with the events that preceded them, and one line of totals.
fn print_report(report: &Report) {
    for violation in &report.violations {
        println!("{:?} at {:.6} s: {}", violation.rule, violation.at as f64 / 1e6, violation.description);
        violation.preceding_events.iter().for_each(|line| println!("    {line}"));
    }
    let counts = &report.counts;
    println!(
        "{} s, {} connections, {} jobs ({} served, {} refused, {} failed), {} claims, {} moves, \
         {} crossings; service {:.4}; digest {:016x}; {} rules broken",
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

/// Runs the `replay` command; returns whether every rule was kept.
fn replay(args: &Replay) -> Result<bool, String> {
    let script = load_script(&args.seed_or_script)?;
    let component_factory = args.defect.map(Defect::component_factory);
    let trace = if args.trace { Trace::Print } else { Trace::None };
    let report = run_script(
        &script,
        &Options { trace, component_factory, injected_defect: args.defect.and_then(Defect::injected_defect) },
    );
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    } else {
        print_report(&report);
    }
    Ok(report.violations.is_empty())
}

/// Writes a file. The error message starts with the file's path.
fn write_file(path: &PathBuf, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn main() -> ExitCode {
    let command_line: Vec<String> = std::env::args().skip(1).collect();
    let command_line: Vec<&str> = command_line.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["pierloom-lab"], &command_line) {
        Ok(arguments) => arguments,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!("pierloom-lab: {}", early_exit.output.lines().next().unwrap_or_default());
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    let rules_kept = match arguments.command {
        Command::Seeds(args) => seeds::run(&args),
        Command::Replay(args) => replay(&args),
        Command::Script(args) => parse_seed(&args.seed).map(|seed| {
            print!("{}", generate_script(seed).to_toml());
            true
        }),
        Command::Shrink(args) => shrink::run(&args),
        Command::Ledger(args) => ledger::run(&args),
        Command::Digest(args) => load_script(&args.seed_or_script).map(|script| {
            println!("{:016x}", run_script(&script, &Options::default()).digest);
            true
        }),
    };
    match rules_kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_RULE_BROKEN),
        Err(error) => {
            eprintln!("pierloom-lab: {error}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}
