//! Sums the ledgers of a fleet: the log lines of all proxies in a folder, second by second.

use argh::FromArgs;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Sum the ledger lines of all logs in a folder, second by second.
#[derive(FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct SumEventCounts {
    /// the folder; every file in it whose name ends in .log is read
    #[argh(positional)]
    folder: PathBuf,
    /// print the sums as JSON
    #[argh(switch)]
    json: bool,
}

type Counts = BTreeMap<String, u64>;

/// The sums of each second, and how many files gave them.
#[derive(Default)]
pub struct Sums {
    pub seconds: BTreeMap<u64, Counts>,
    pub files: usize,
    pub lines: usize,
}

/// These say how things stand, so that they add up over proxies and not over time.
const GAUGES: [&str; 2] = ["standing", "list_age_ms"];

/// The words of a ledger line, whichever format the log has; nothing for other lines.
fn words(line: &str) -> Option<Result<String, String>> {
    if let Some(at) = line.find('{').filter(|_| line.contains("\"target\":\"ledger\"")) {
        let value: Result<Value, _> = serde_json::from_str(&line[at..]);
        return Some(value.map_err(|e| e.to_string()).and_then(|value| {
            let message = value["fields"]["message"].as_str();
            message.map(str::to_string).ok_or_else(|| "it has no message".to_string())
        }));
    }
    line.split_once(" ledger: ").map(|(_, words)| Ok(words.to_string()))
}

fn counts(words: &str) -> Result<(u64, Counts), String> {
    let mut counts = Counts::new();
    for word in words.split_whitespace() {
        let (name, count) = word.split_once('=').ok_or_else(|| format!("{word:?} is no count"))?;
        let count = count.parse().map_err(|_| format!("{word:?} is no count"))?;
        if counts.insert(name.to_string(), count).is_some() {
            return Err(format!("{name} stands twice"));
        }
    }
    let second = counts.remove("at").ok_or("no second (at) is named")?;
    Ok((second, counts))
}

impl Sums {
    /// Adds the text of one log; a line that cannot be read is named.
    pub fn add(&mut self, name: &str, text: &str) -> Result<(), String> {
        self.files += 1;
        for (n, line) in text.lines().enumerate() {
            let Some(words) = words(line) else { continue };
            let read = words.and_then(|words| counts(&words));
            let (second, counts) = read.map_err(|why| format!("{name}, line {}: {why}", n + 1))?;
            let sums = self.seconds.entry(second).or_default();
            for (name, count) in counts {
                let sum = sums.entry(name).or_default();
                *sum = sum.saturating_add(count);
            }
            self.lines += 1;
        }
        Ok(())
    }

    /// The sum over all seconds; of gauges the highest.
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::new();
        for (name, &count) in self.seconds.values().flatten() {
            let total = totals.entry(name.clone()).or_default();
            let gauge = GAUGES.contains(&name.as_str());
            *total = if gauge { (*total).max(count) } else { total.saturating_add(count) };
        }
        totals
    }

    fn print(&self) {
        let Some(&first) = self.seconds.keys().next() else { return };
        let names: BTreeSet<&String> = self.seconds.values().flat_map(BTreeMap::keys).collect();
        let row = |head: &str, counts: &Counts| {
            let counts = names.iter().filter_map(|name| Some(format!("{name}={}", counts.get(*name)?)));
            println!("{head:>6}  {}", counts.collect::<Vec<_>>().join(" "));
        };
        self.seconds.iter().for_each(|(second, counts)| row(&(second - first).to_string(), counts));
        row("all", &self.totals());
    }
}

/// Reads all logs of a folder.
pub fn read(folder: &Path) -> Result<Sums, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut sums = Sums::default();
    for path in paths {
        let text = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        sums.add(&path.display().to_string(), &String::from_utf8_lossy(&text))?;
    }
    if sums.lines == 0 {
        return Err(format!("{}: no ledger line in {} logs", folder.display(), sums.files));
    }
    Ok(sums)
}

pub fn run(asked: &SumEventCounts) -> Result<bool, String> {
    let sums = read(&asked.folder)?;
    if asked.json {
        println!("{}", serde_json::to_string(&sums.seconds).map_err(|e| e.to_string())?);
    } else {
        println!(
            "{} logs, {} ledger lines; seconds from the first, sums over all proxies",
            sums.files, sums.lines
        );
        sums.print();
    }
    Ok(true)
}

#[cfg(test)]
mod tests {
    use super::Sums;

    #[test]
    fn logs_in_either_format_add_up_and_other_lines_are_left_alone() {
        let mut sums = Sums::default();
        let text = "0.1 2026-12-01T00:00:00Z  INFO proxy: n0 listening on 10.0.0.1:7070\n\
                    1.1 2026-12-01T00:00:01Z  INFO ledger: at=100 claims=2 standing=3\n\
                    2.1 2026-12-01T00:00:02Z  INFO ledger: at=101 claims=1 standing=4\n";
        let json = r#"{"level":"INFO","fields":{"message":"at=100 claims=5 standing=1"},"target":"ledger"}"#;
        sums.add("n0.log", text).unwrap();
        sums.add("n1.log", json).unwrap();
        assert_eq!(sums.seconds[&100]["claims"], 7);
        assert_eq!((sums.totals()["claims"], sums.totals()["standing"]), (8, 4));
        assert_eq!((sums.files, sums.lines), (2, 3));
    }

    #[test]
    fn a_line_that_cannot_be_read_is_named_by_file_and_number() {
        for (line, why) in [
            ("INFO ledger: at=100 claims", "\"claims\" is no count"),
            ("INFO ledger: at=100 claims=-1", "\"claims=-1\" is no count"),
            ("INFO ledger: claims=1", "no second (at) is named"),
            ("INFO ledger: at=1 claims=1 claims=2", "claims stands twice"),
        ] {
            let text = format!("0 INFO proxy: hello\n0 {line}\n");
            assert_eq!(Sums::default().add("a.log", &text), Err(format!("a.log, line 2: {why}")));
        }
    }
}
