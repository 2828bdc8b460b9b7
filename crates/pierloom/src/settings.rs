//! The settings of the program itself, an optional TOML file. Values of the platform's config are not
//! repeated in this file.

use pierloom_host::Host;
use serde::Deserialize;
use std::path::Path;

/// Log lines per second where the settings file states no limit.
const DEFAULT_LOG_LINES_PER_SECOND: u32 = 50;
/// Largest limit of log lines per second that the settings file may state.
const MAX_LOG_LINES_PER_SECOND: u32 = 100_000;

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("{text:?} is neither text nor json")),
        }
    }
}

/// The lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events of normal operation.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
    /// All events.
    Trace,
}

/// Settings of the log on standard error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Lowest severity that is logged.
    pub level: LogLevel,
    /// Maximum number of lines per second, 1 to 100,000. The number of omitted lines is logged in a separate
    /// line.
    pub lines_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            format: LogFormat::default(),
            level: LogLevel::default(),
            lines_per_second: DEFAULT_LOG_LINES_PER_SECOND,
        }
    }
}

/// Settings of the program itself, apart from the config.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProgramSettings {
    /// Settings of the log.
    pub log: LogSettings,
}

impl ProgramSettings {
    /// Reads a settings file. An error is one line that names the file, the line in it and the problem.
    pub fn read(host: &Host, path: &Path) -> Result<Self, String> {
        let with_path = |error: String| format!("settings {}: {error}", path.display());
        let bytes = host.read_file(path).map_err(|e| with_path(e.to_string()))?;
        let text = String::from_utf8(bytes).map_err(|_| with_path("not UTF-8".into()))?;
        let line_number = |offset: usize| text[..offset].matches('\n').count() + 1;
        let deserializer = toml::Deserializer::parse(&text).map_err(|e| {
            with_path(format!("line {}: {}", line_number(e.span().map_or(0, |s| s.start)), one_line(&e)))
        })?;
        let settings: ProgramSettings = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let (key, inner) = (e.path().to_string(), e.into_inner());
            with_path(format!(
                "line {}: {key}: {}",
                line_number(inner.span().map_or(0, |s| s.start)),
                one_line(&inner)
            ))
        })?;
        if !(1..=MAX_LOG_LINES_PER_SECOND).contains(&settings.log.lines_per_second) {
            let offset = text.find("lines_per_second").unwrap_or(0);
            return Err(with_path(format!(
                "line {}: log.lines_per_second: not within 1 to 100000",
                line_number(offset)
            )));
        }
        Ok(settings)
    }
}

/// The message of a TOML error on one line.
fn one_line(error: &toml::de::Error) -> String {
    error.message().replace('\n', " ")
}
