//! The log: structured events on standard error, bounded under a flood.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // its own seconds, outside the proxy

use crate::settings::{Format, Level, Log};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::{MakeWriter, fmt};

/// Sends what is traced to standard error from here on.
pub fn start(log: &Log) {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    };
    let bounded = Bounded { most: log.lines_per_second, second: Mutex::default(), since: Instant::now() };
    let subscriber = fmt().with_max_level(level).with_writer(bounded);
    match log.format {
        Format::Text => subscriber.init(),
        Format::Json => subscriber.json().init(),
    }
}

/// The second that is counted: its number, the lines written in it and the lines left out.
#[derive(Default)]
struct Second {
    number: u64,
    written: u32,
    left_out: u64,
}

/// Lets so many lines through in a second.
struct Bounded {
    most: u32,
    second: Mutex<Second>,
    since: Instant,
}

impl Bounded {
    /// Whether a line of now goes through, and how many were left out since the last one that did.
    fn admit(&self) -> (bool, u64) {
        let number = self.since.elapsed().as_secs();
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.number != number {
            (second.number, second.written) = (number, 0);
        }
        if second.written == self.most {
            second.left_out += 1;
            return (false, 0);
        }
        second.written += 1;
        (true, std::mem::take(&mut second.left_out))
    }
}

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Through;

    fn make_writer(&'a self) -> Through {
        let (through, left_out) = self.admit();
        if left_out > 0 {
            // A log that cannot be written cannot be complained about either.
            let _ = writeln!(io::stderr(), "{left_out} lines were left out");
        }
        Through(through)
    }
}

/// One event's way out, or nowhere.
struct Through(bool);

impl Write for Through {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 { io::stderr().write(bytes) } else { Ok(bytes.len()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
