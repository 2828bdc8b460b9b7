//! The log: structured events on standard error, with a limit on the number of lines per second.
// The rate limit reads the system clock directly. This file is not part of the proxy crate.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use crate::settings::{LogFormat, LogLevel, LogSettings};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::{MakeWriter, fmt};

/// Installs the global subscriber, which writes events to standard error.
pub fn init(log: &LogSettings) {
    let level = match log.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    let writer = RateLimitedLog {
        max_lines_per_second: log.lines_per_second,
        current: Mutex::default(),
        started_at: Instant::now(),
    };
    // The library would report a failed write with eprintln!, which panics where standard error takes no
    // write, in whatever task logs. A line that cannot be written is lost.
    let subscriber = fmt().with_max_level(level).with_writer(writer).log_internal_errors(false);
    match log.format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// The current second, counted from the start of the log, the lines written in it, and the lines omitted
/// since the last written one.
#[derive(Default)]
struct LineCounts {
    second: u64,
    written: u32,
    omitted: u64,
}

/// A writer that passes a limited number of lines per second.
struct RateLimitedLog {
    max_lines_per_second: u32,
    current: Mutex<LineCounts>,
    started_at: Instant,
}

impl RateLimitedLog {
    /// Returns whether a line may be written now, and how many lines were omitted since the last written one.
    fn admit(&self) -> (bool, u64) {
        let second = self.started_at.elapsed().as_secs();
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.second != second {
            (current.second, current.written) = (second, 0);
        }
        if current.written == self.max_lines_per_second {
            current.omitted += 1;
            return (false, 0);
        }
        current.written += 1;
        (true, std::mem::take(&mut current.omitted))
    }
}

impl<'a> MakeWriter<'a> for RateLimitedLog {
    type Writer = EventWriter;

    fn make_writer(&'a self) -> EventWriter {
        let (admitted, omitted) = self.admit();
        if omitted > 0 {
            // A failure to write the log cannot be logged either.
            let _ = writeln!(io::stderr(), "{omitted} log lines omitted by the limit log.lines_per_second");
        }
        EventWriter(admitted)
    }
}

/// Writes one event if the field is true, which means that the event is within the limit, and discards it
/// otherwise.
struct EventWriter(bool);

impl Write for EventWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 { io::stderr().write(bytes) } else { Ok(bytes.len()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
