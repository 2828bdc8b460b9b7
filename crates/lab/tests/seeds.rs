//! Seeds as CI plays them: a fixed lot of them, the corpus of what was found, the same digests however they are
//! played, and planted defects.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // the lab's program and its files

use pierloom_lab::defects::{DEFECTS, FOUND};
use pierloom_world::generate::generate_script;
use pierloom_world::run::{Options, run_script};
use pierloom_world::script::Script;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pierloom-lab")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file of that name in a folder for tests.
fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test]
fn two_hundred_seeds_keep_every_rule_and_replay_alike() {
    let play = |name: &str, jobs: &str| {
        let path = file(name);
        let output = lab(&["seeds", "--count", "200", "--jobs", jobs, "--json", path.to_str().unwrap()]);
        assert!(output.status.success(), "{}{}", text(&output.stdout), text(&output.stderr));
        std::fs::read_to_string(path).unwrap()
    };
    let four = play("four.json", "4");
    let one = play("some.json", "3");
    assert!(one == four, "the same seeds, other digests");
    let digests: std::collections::BTreeSet<&str> =
        four.split("\"digest\":\"").skip(1).map(|rest| &rest[..16]).collect();
    assert_eq!(digests.len(), 200, "one digest for each seed");
}

#[test]
fn the_corpus_of_what_was_found_keeps_every_rule() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut played = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let script = std::fs::read_to_string(&path).unwrap();
        let script = Script::read(path.to_str().unwrap(), &script).unwrap();
        let report = run_script(&script, &Options::default());
        assert!(report.violations.is_empty(), "{}: {:#?}", path.display(), report.violations);
        played += 1;
    }
    assert!(played > 0, "there is no corpus");
}

#[test]
fn a_printed_script_plays_as_its_seed_does() {
    for seed in 0..5 {
        let drawn = generate_script(seed);
        let read = Script::read("printed", &drawn.to_toml()).unwrap();
        assert_eq!(read, drawn);
        let digest = |script| run_script(script, &Options::default()).digest;
        assert_eq!(digest(&read), digest(&drawn));
    }
}

#[test]
fn planted_defects_are_found() {
    for (name, defect) in DEFECTS.iter().filter(|(name, _)| FOUND.contains(name)) {
        let found = (0..60).find(|&seed| {
            let options = Options {
                component_factory: Some(defect.component_factory()),
                injected_defect: defect.injected_defect(),
                ..Options::default()
            };
            !run_script(&generate_script(seed), &options).violations.is_empty()
        });
        assert!(found.is_some(), "{name} is not found in 60 seeds");
    }
}

#[test]
fn a_bad_script_is_refused_with_file_line_and_key() {
    let good = generate_script(3).to_toml();
    let fault = |text: &str| format!("{good}\n[[fault]]\n{text}");
    let lines = good.lines().count();
    let cases = [
        (fault("kind = \"earthquake\"\nat_ms = 5\n"), lines + 3, "kind"),
        (fault("kind = \"reload\"\nat_ms = -5\n"), lines + 4, "at_ms"),
        (fault("kind = \"discovery-down\"\nat_ms = 9\nuntil_ms = 3\n"), lines + 5, "until_ms"),
        (fault("kind = \"crash\"\nnode = \"nobody\"\nat_ms = 9\n"), lines + 4, "node"),
        (fault("kind = \"kill\"\nproxy = 9\nat_ms = 9\nuntil_ms = 10\n"), lines + 4, "proxy"),
        (good.replace("length_ms = ", "length_ms = -"), 3, "length_ms"),
        (good.replace("window = ", "windows = "), 9, "windows"),
    ];
    let path = file("bad.toml");
    let name = path.to_str().unwrap();
    for (script, line, key) in cases {
        std::fs::write(&path, &script).unwrap();
        let output = lab(&["replay", name]);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(name) && said.contains(key), "{key}: {said}");
        assert!(said.contains(&format!("line {line}:")), "line {line}: {said}");
    }
}

#[test]
fn a_seed_that_is_no_number_is_one_line_and_code_2() {
    for arguments in [["replay", "seven"], ["digest", "-1"], ["script", "1.5"]] {
        let output = lab(&arguments);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(arguments[1]), "{said}");
    }
}
