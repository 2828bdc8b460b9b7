//! The `ledger` command: sums the event counts that all proxies wrote to their logs, second by second.

use argh::FromArgs;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Sum the ledger lines (event counts) of all logs in a folder, second by second.
#[derive(FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct SumEventCounts {
    /// the folder; all files in it with a name that ends in .log are read
    #[argh(positional)]
    folder: PathBuf,
    /// print the sums as JSON
    #[argh(switch)]
    json: bool,
}

/// Counts by name.
type Counts = BTreeMap<String, u64>;

/// Event counts summed over the logs of several proxies.
#[derive(Default)]
pub struct EventCountSums {
    /// The sums of each second, by Unix time.
    pub by_second: BTreeMap<u64, Counts>,
    /// The number of log files read.
    pub file_count: usize,
    /// The number of ledger lines read.
    pub line_count: usize,
}

/// Counts that are gauges: they add up over proxies, but not over time.
const GAUGES: [&str; 2] = ["standing", "list_age_ms"];

/// The counts of a ledger line as text, from a log in text or JSON format; `None` for other lines.
fn ledger_message(line: &str) -> Option<Result<String, String>> {
    if let Some(start) = line.find('{').filter(|_| line.contains("\"target\":\"ledger\"")) {
        let value: Result<Value, _> = serde_json::from_str(&line[start..]);
        return Some(value.map_err(|error| error.to_string()).and_then(|value| {
            let message = value["fields"]["message"].as_str();
            message.map(str::to_string).ok_or_else(|| "the log record has no message".to_string())
        }));
    }
    line.split_once(" ledger: ").map(|(_, message)| Ok(message.to_string()))
}

/// Parses a ledger message into its second and its counts.
fn parse_counts(message: &str) -> Result<(u64, Counts), String> {
    let mut counts = Counts::new();
    for pair in message.split_whitespace() {
        let (name, count) = pair.split_once('=').ok_or_else(|| format!("{pair:?} is not a count"))?;
        let count = count.parse().map_err(|_| format!("{pair:?} is not a count"))?;
        if counts.insert(name.to_string(), count).is_some() {
            return Err(format!("{name} occurs twice"));
        }
    }
    let second = counts.remove("at").ok_or("the second (at) is missing")?;
    Ok((second, counts))
}

impl EventCountSums {
    /// Adds the text of one log; the error for a malformed line names the file and the line.
    pub fn add_log(&mut self, name: &str, text: &str) -> Result<(), String> {
        self.file_count += 1;
        for (index, line) in text.lines().enumerate() {
            let Some(message) = ledger_message(line) else { continue };
            let parsed = message.and_then(|message| parse_counts(&message));
            let (second, counts) =
                parsed.map_err(|reason| format!("{name}, line {}: {reason}", index + 1))?;
            let sums = self.by_second.entry(second).or_default();
            for (name, count) in counts {
                let sum = sums.entry(name).or_default();
                *sum = sum.saturating_add(count);
            }
            self.line_count += 1;
        }
        Ok(())
    }

    /// The total of each count over all seconds; for a gauge, its highest value.
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::new();
        for (name, &count) in self.by_second.values().flatten() {
            let total = totals.entry(name.clone()).or_default();
            let is_gauge = GAUGES.contains(&name.as_str());
            *total = if is_gauge { (*total).max(count) } else { total.saturating_add(count) };
        }
        totals
    }

    /// Prints one line for each second, counted from the first, and one for the totals.
    fn print(&self) {
        let Some(&first_second) = self.by_second.keys().next() else { return };
        let names: BTreeSet<&String> = self.by_second.values().flat_map(BTreeMap::keys).collect();
        let print_row = |head: &str, counts: &Counts| {
            let counts = names.iter().filter_map(|name| Some(format!("{name}={}", counts.get(*name)?)));
            println!("{head:>6}  {}", counts.collect::<Vec<_>>().join(" "));
        };
        self.by_second
            .iter()
            .for_each(|(second, counts)| print_row(&(second - first_second).to_string(), counts));
        print_row("all", &self.totals());
    }
}

/// Reads all logs of a folder. Fails if the logs hold no ledger line.
pub fn read_folder(folder: &Path) -> Result<EventCountSums, String> {
    let folder_error = |error: std::io::Error| format!("{}: {error}", folder.display());
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(folder_error)? {
        let path = entry.map_err(folder_error)?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut sums = EventCountSums::default();
    for path in paths {
        let text = std::fs::read(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        sums.add_log(&path.display().to_string(), &String::from_utf8_lossy(&text))?;
    }
    if sums.line_count == 0 {
        return Err(format!("{}: no ledger line in {} logs", folder.display(), sums.file_count));
    }
    Ok(sums)
}

/// Runs the `ledger` command. The result is always `true`, because the command checks no rule.
pub fn run(args: &SumEventCounts) -> Result<bool, String> {
    let sums = read_folder(&args.folder)?;
    if args.json {
        println!("{}", serde_json::to_string(&sums.by_second).map_err(|error| error.to_string())?);
    } else {
        println!(
            "{} logs, {} ledger lines; seconds from the first, sums over all proxies",
            sums.file_count, sums.line_count
        );
        sums.print();
    }
    Ok(true)
}

#[cfg(test)]
mod tests {
    use super::EventCountSums;

    #[test]
    fn ledger_lines_of_text_and_json_logs_are_summed_and_other_lines_ignored() {
        let mut sums = EventCountSums::default();
        let text = "0.1 2026-12-01T00:00:00Z  INFO proxy: n0 listening on 10.0.0.1:7070\n\
                    1.1 2026-12-01T00:00:01Z  INFO ledger: at=100 claims=2 standing=3\n\
                    2.1 2026-12-01T00:00:02Z  INFO ledger: at=101 claims=1 standing=4\n";
        let json = r#"{"level":"INFO","fields":{"message":"at=100 claims=5 standing=1"},"target":"ledger"}"#;
        sums.add_log("n0.log", text).unwrap();
        sums.add_log("n1.log", json).unwrap();
        assert_eq!(sums.by_second[&100]["claims"], 7);
        assert_eq!((sums.totals()["claims"], sums.totals()["standing"]), (8, 4));
        assert_eq!((sums.file_count, sums.line_count), (2, 3));
    }

    #[test]
    fn malformed_ledger_line_is_reported_with_file_and_line_number() {
        for (line, reason) in [
            ("INFO ledger: at=100 claims", "\"claims\" is not a count"),
            ("INFO ledger: at=100 claims=-1", "\"claims=-1\" is not a count"),
            ("INFO ledger: claims=1", "the second (at) is missing"),
            ("INFO ledger: at=1 claims=1 claims=2", "claims occurs twice"),
        ] {
            let text = format!("0 INFO proxy: hello\n0 {line}\n");
            assert_eq!(
                EventCountSums::default().add_log("a.log", &text),
                Err(format!("a.log, line 2: {reason}"))
            );
        }
    }
}
