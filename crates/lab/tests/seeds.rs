//! The runs of CI: a fixed range of seeds, the corpus of scripts that once broke a rule, and planted defects.
//! Equal seeds give equal digests however they are run.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // runs the lab's program and reads its files

use pierloom_lab::defects::{DEFECTS, DETECTED_DEFECTS};
use pierloom_world::generate::generate_script;
use pierloom_world::run::{Options, run_script};
use pierloom_world::script::Script;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Runs the lab's program to its end.
fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pierloom-lab")).args(arguments).output().unwrap()
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The path of a file in the tests' temporary folder. No other process that runs at the same time uses it.
fn temporary_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()))
}

/// Guards against a broken rule in any of 200 generated scripts, and against runs on several threads that
/// affect each other: 4 and 3 threads must give the same results, and each seed its own digest.
#[test]
fn two_hundred_seeds_keep_every_rule_with_equal_digests_on_any_number_of_threads() {
    let run_seeds = |name: &str, jobs: &str| {
        let path = temporary_file(name);
        let output = run_lab(&["seeds", "--count", "200", "--jobs", jobs, "--json", path.to_str().unwrap()]);
        assert!(output.status.success(), "{}{}", lossy_text(&output.stdout), lossy_text(&output.stderr));
        std::fs::read_to_string(path).unwrap()
    };
    let four_threads = run_seeds("four.json", "4");
    let three_threads = run_seeds("three.json", "3");
    assert!(three_threads == four_threads, "the results of equal seeds differ between 3 and 4 threads");
    let digests: std::collections::BTreeSet<&str> =
        four_threads.split("\"digest\":\"").skip(1).map(|rest| &rest[..16]).collect();
    assert_eq!(digests.len(), 200, "one digest for each seed");
}

/// Runs a seed and checks that no rule broke.
fn assert_no_violations(seed: u64) {
    let report = run_script(&generate_script(seed), &Options::default());
    assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
}

/// Guards against more requests at a backend in slow start than its overload multiple allows. In this seed
/// 16 come within one overload window, where 6.1 are allowed.
#[test]
fn seed_39020_does_not_overload_a_backend_in_slow_start() {
    assert_no_violations(39_020);
}

/// Guards against backoff delays that are short too often while discovery fails. In this seed a proxy makes 13
/// calls in a second.
#[test]
fn seed_30047_does_not_overload_a_failing_discovery() {
    assert_no_violations(30_047);
}

/// Guards against the return of faults that were found before; the corpus holds scripts that showed them.
#[test]
fn corpus_scripts_keep_every_rule() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut script_count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let script = std::fs::read_to_string(&path).unwrap();
        let script = Script::parse(path.to_str().unwrap(), &script).unwrap();
        let report = run_script(&script, &Options::default());
        assert!(report.violations.is_empty(), "{}: {:#?}", path.display(), report.violations);
        script_count += 1;
    }
    assert!(script_count > 0, "the corpus folder holds no script");
}

/// Guards against a script that is printed incompletely: read back, it must equal the generated script
/// and give the same digest.
#[test]
fn printed_script_gives_the_same_digest_as_its_seed() {
    for seed in 0..5 {
        let generated = generate_script(seed);
        let read = Script::parse("printed", &generated.to_toml()).unwrap();
        assert_eq!(read, generated);
        let digest = |script| run_script(script, &Options::default()).digest;
        assert_eq!(digest(&read), digest(&generated));
    }
}

/// Guards against an observer that misses a broken rule: each defect must break one in the first 60 seeds.
#[test]
fn planted_defects_break_a_rule_within_60_seeds() {
    for (name, defect) in DEFECTS.iter().filter(|(name, _)| DETECTED_DEFECTS.contains(name)) {
        let detecting_seed = (0..60).find(|&seed| {
            let options = Options {
                component_factory: Some(defect.component_factory()),
                injected_defect: defect.injected_defect(),
                ..Options::default()
            };
            !run_script(&generate_script(seed), &options).violations.is_empty()
        });
        assert!(detecting_seed.is_some(), "{name} is not detected in 60 seeds");
    }
}

/// Guards against an error for an invalid script that does not show its place: one line names the file,
/// the line and the key.
#[test]
fn invalid_script_is_rejected_with_file_line_and_key() {
    let valid = generate_script(3).to_toml();
    let with_fault = |text: &str| format!("{valid}\n[[fault]]\n{text}");
    let lines = valid.lines().count();
    let cases = [
        (with_fault("kind = \"earthquake\"\nat_ms = 5\n"), lines + 3, "kind"),
        (with_fault("kind = \"reload\"\nat_ms = -5\n"), lines + 4, "at_ms"),
        (with_fault("kind = \"discovery-down\"\nat_ms = 9\nuntil_ms = 3\n"), lines + 5, "until_ms"),
        (with_fault("kind = \"crash\"\nnode = \"nobody\"\nat_ms = 9\n"), lines + 4, "node"),
        (with_fault("kind = \"kill\"\nproxy = 9\nat_ms = 9\nuntil_ms = 10\n"), lines + 4, "proxy"),
        (valid.replace("length_ms = ", "length_ms = -"), 3, "length_ms"),
        (valid.replace("window = ", "windows = "), 9, "windows"),
    ];
    let path = temporary_file("bad.toml");
    let name = path.to_str().unwrap();
    for (script, line, key) in cases {
        std::fs::write(&path, &script).unwrap();
        let output = run_lab(&["replay", name]);
        let stderr = lossy_text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(name) && stderr.contains(key), "{key}: {stderr}");
        assert!(stderr.contains(&format!("line {line}:")), "line {line}: {stderr}");
    }
}

/// Guards against an invalid seed that is accepted, or whose error takes more than one line.
#[test]
fn invalid_seed_prints_one_line_and_exits_with_code_2() {
    for arguments in [["replay", "seven"], ["digest", "-1"], ["script", "1.5"]] {
        let output = run_lab(&arguments);
        let stderr = lossy_text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(arguments[1]), "{stderr}");
    }
}
