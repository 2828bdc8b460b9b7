//! The log: structured events on standard error, with a limit on the number of lines per second.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // seconds of the real clock; outside the proxy

use crate::settings::{Format, Level, Log};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::{MakeWriter, fmt};

/// Starts to write traced events to standard error.
pub fn start(log: &Log) {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    };
    let writer = RateLimitedLog {
        max_lines_per_second: log.lines_per_second,
        current: Mutex::default(),
        started_at: Instant::now(),
    };
    let subscriber = fmt().with_max_level(level).with_writer(writer);
    match log.format {
        Format::Text => subscriber.init(),
        Format::Json => subscriber.json().init(),
    }
}

/// The current second: its number, the lines written in it, and the lines omitted since the last written one.
#[derive(Default)]
struct LineCounts {
    number: u64,
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
        let number = self.started_at.elapsed().as_secs();
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.number != number {
            (current.number, current.written) = (number, 0);
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
            let _ = writeln!(io::stderr(), "{omitted} lines were left out");
        }
        EventWriter(admitted)
    }
}

/// Writes one event if it is within the limit, and discards it otherwise.
struct EventWriter(bool);

impl Write for EventWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 { io::stderr().write(bytes) } else { Ok(bytes.len()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
