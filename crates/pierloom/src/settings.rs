//! The settings of our own, a TOML file that an installation may leave out. What the platform's config says is
//! not said here again.

use pierloom_host::Host;
use serde::Deserialize;
use std::path::Path;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{text:?} is neither text nor json")),
        }
    }
}

/// The least severe events that are logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// The log, on standard error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: Format,
    pub level: Level,
    /// Most lines in a second; what is left out is counted in a line of its own. 1 to 100,000.
    pub lines_per_second: u32,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: Format::default(), level: Level::default(), lines_per_second: 50 }
    }
}

/// All settings of our own.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    pub log: Log,
}

impl Settings {
    /// Reads a file; a fault is one line that names file, line and what is wrong there.
    pub fn read(host: &Host, path: &Path) -> Result<Self, String> {
        let named = |fault: String| format!("settings {}: {fault}", path.display());
        let bytes = host.read_file(path).map_err(|e| named(e.to_string()))?;
        let text = String::from_utf8(bytes).map_err(|_| named("not UTF-8".into()))?;
        let line = |at: usize| text[..at].matches('\n').count() + 1;
        let deserializer = toml::Deserializer::parse(&text)
            .map_err(|e| named(format!("line {}: {}", line(e.span().map_or(0, |s| s.start)), plain(&e))))?;
        let settings: Settings = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let (key, inner) = (e.path().to_string(), e.into_inner());
            named(format!("line {}: {key}: {}", line(inner.span().map_or(0, |s| s.start)), plain(&inner)))
        })?;
        if !(1..=100_000).contains(&settings.log.lines_per_second) {
            let at = text.find("lines_per_second").unwrap_or(0);
            return Err(named(format!("line {}: log.lines_per_second: not within 1 to 100000", line(at))));
        }
        Ok(settings)
    }
}

fn plain(fault: &toml::de::Error) -> String {
    fault.message().replace('\n', " ")
}
