//! Makes a failing run small: leaves out faults, submitters, execute nodes and proxies while the same rule still
//! breaks (delta debugging; Zeller and Hildebrandt, IEEE TSE 28(2), 2002).

use argh::FromArgs;
use pierloom_lab::defects::Defect;
use pierloom_world::observer::Rule;
use pierloom_world::run::{Options, run_script};
use pierloom_world::script::{Fault, Script};
use std::path::PathBuf;

/// Make a failing seed's script small while the same rule still breaks.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
pub struct Shrink {
    /// the seed, or a script's file
    #[argh(positional)]
    what: String,
    /// the file for the small script
    #[argh(option, short = 'o')]
    output: PathBuf,
    /// a defect that is planted in the proxies
    #[argh(option)]
    defect: Option<Defect>,
}

/// Whether that rule still breaks.
fn breaks(script: &Script, rule: Rule, options: &Options) -> bool {
    run_script(script, options).violations.iter().any(|violation| violation.rule == rule)
}

/// The fewest of these, as far as found, with which `still` holds; it holds with all.
fn fewest<T: Clone>(all: &[T], mut still: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut kept = all.to_vec();
    let mut parts = 2;
    while !kept.is_empty() {
        let size = kept.len().div_ceil(parts);
        let smaller = (0..kept.len()).step_by(size).find_map(|begin| {
            let mut rest = kept.clone();
            rest.drain(begin..(begin + size).min(kept.len()));
            still(&rest).then_some(rest)
        });
        match smaller {
            Some(rest) => (kept, parts) = (rest, parts.saturating_sub(1).max(2)),
            None if size == 1 => break,
            None => parts = (parts * 2).min(kept.len()),
        }
    }
    kept
}

/// Shrinks it; whether no rule broke in the first place.
pub fn run(asked: &Shrink) -> Result<bool, String> {
    let options = Options {
        component_factory: asked.defect.map(Defect::component_factory),
        injected_defect: asked.defect.and_then(Defect::injected_defect),
        ..Options::default()
    };
    let mut script = crate::script(&asked.what)?;
    let report = run_script(&script, &options);
    let Some(first) = report.violations.first() else {
        println!("no rule breaks");
        return Ok(true);
    };
    let rule = first.rule;
    let size = |script: &Script| (script.faults.len(), script.clients.len(), script.backends.len());
    let before = size(&script);
    // What comes after the breach is not needed; the end of a run looks for leftovers, so it stays an end.
    loop {
        let at = size(&script);
        script.faults = fewest(&script.faults.clone(), |faults| {
            breaks(&Script { faults: faults.to_vec(), ..script.clone() }, rule, &options)
        });
        script.clients = fewest(&script.clients.clone(), |clients| {
            breaks(&Script { clients: clients.to_vec(), ..script.clone() }, rule, &options)
        });
        script.backends = fewest(&script.backends.clone(), |backends| {
            let named =
                |fault: &Fault| fault.backend().is_none_or(|name| backends.iter().any(|n| n.name == name));
            !backends.is_empty()
                && script.faults.iter().all(named)
                && breaks(&Script { backends: backends.to_vec(), ..script.clone() }, rule, &options)
        });
        if size(&script) == at {
            break;
        }
    }
    let after = size(&script);
    crate::write(&asked.output, &script.to_toml())?;
    println!(
        "{rule:?}: {} faults, {} submitters and {} execute nodes of {}, {} and {} are left, in {} lines",
        after.0,
        after.1,
        after.2,
        before.0,
        before.1,
        before.2,
        script.to_toml().lines().count()
    );
    Ok(false)
}
