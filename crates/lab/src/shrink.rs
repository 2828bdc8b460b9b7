//! The `shrink` command: removes faults, clients and backends from a failing script while the same rule still
//! breaks (delta debugging; Zeller and Hildebrandt, IEEE TSE 28(2), 2002).

use argh::FromArgs;
use pierloom_lab::defects::Defect;
use pierloom_world::observer::Rule;
use pierloom_world::run::{Options, run_script};
use pierloom_world::script::{Fault, Script};
use std::path::PathBuf;

/// Remove faults, clients and backends from a failing script while the same rule still breaks.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
pub struct Shrink {
    /// a seed, or the path of a script
    #[argh(positional, arg_name = "what")]
    seed_or_script: String,
    /// write the reduced script to this file
    #[argh(option, short = 'o')]
    output: PathBuf,
    /// plant this defect in the proxies
    #[argh(option)]
    defect: Option<Defect>,
}

/// Whether the rule breaks when the script runs.
fn breaks_rule(script: &Script, rule: Rule, options: &Options) -> bool {
    run_script(script, options).violations.iter().any(|violation| violation.rule == rule)
}

/// Removes items while `still_fails` holds for the rest. `still_fails` must hold for `all`.
/// No single item of the result can be removed, but a smaller set may exist.
fn minimize<T: Clone>(all: &[T], mut still_fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut kept = all.to_vec();
    let mut chunk_count = 2;
    while !kept.is_empty() {
        let chunk_size = kept.len().div_ceil(chunk_count);
        let reduced = (0..kept.len()).step_by(chunk_size).find_map(|start| {
            let mut rest = kept.clone();
            rest.drain(start..(start + chunk_size).min(kept.len()));
            still_fails(&rest).then_some(rest)
        });
        match reduced {
            Some(rest) => (kept, chunk_count) = (rest, chunk_count.saturating_sub(1).max(2)),
            None if chunk_size == 1 => break,
            None => chunk_count = (chunk_count * 2).min(kept.len()),
        }
    }
    kept
}

/// Runs the `shrink` command; returns whether the script kept every rule, so that there is nothing to shrink.
pub fn run(args: &Shrink) -> Result<bool, String> {
    let options = Options {
        component_factory: args.defect.map(Defect::component_factory),
        injected_defect: args.defect.and_then(Defect::injected_defect),
        ..Options::default()
    };
    let mut script = crate::load_script(&args.seed_or_script)?;
    let report = run_script(&script, &options);
    let Some(first_violation) = report.violations.first() else {
        println!("no rule breaks");
        return Ok(true);
    };
    let rule = first_violation.rule;
    let sizes = |script: &Script| (script.faults.len(), script.clients.len(), script.backends.len());
    let sizes_before = sizes(&script);
    // The script keeps its length, although nothing after the violation is needed: the check for leftover
    // tasks, descriptors and connections runs at the end.
    loop {
        let sizes_at_start = sizes(&script);
        script.faults = minimize(&script.faults.clone(), |faults| {
            breaks_rule(&Script { faults: faults.to_vec(), ..script.clone() }, rule, &options)
        });
        script.clients = minimize(&script.clients.clone(), |clients| {
            breaks_rule(&Script { clients: clients.to_vec(), ..script.clone() }, rule, &options)
        });
        script.backends = minimize(&script.backends.clone(), |backends| {
            let names_kept_backend = |fault: &Fault| {
                fault.backend().is_none_or(|name| backends.iter().any(|backend| backend.name == name))
            };
            !backends.is_empty()
                && script.faults.iter().all(names_kept_backend)
                && breaks_rule(&Script { backends: backends.to_vec(), ..script.clone() }, rule, &options)
        });
        if sizes(&script) == sizes_at_start {
            break;
        }
    }
    let sizes_after = sizes(&script);
    crate::write_file(&args.output, &script.to_toml())?;
    println!(
        "{rule:?}: {} faults, {} submitters and {} execute nodes of {}, {} and {} are left, in {} lines",
        sizes_after.0,
        sizes_after.1,
        sizes_after.2,
        sizes_before.0,
        sizes_before.1,
        sizes_before.2,
        script.to_toml().lines().count()
    );
    Ok(false)
}
