//! The platform's line protocol between clients, this proxy and backends.

use super::{ClientMessage, ClientRequest, Protocol, Reply};
use pierloom_decision::{BackendId, Micros, Request, Settings};
use pierloom_wire::{NameIndex, key_hash};
use std::rc::Rc;
use winnow::Result;
use winnow::ascii::{alpha1, dec_uint, float};
use winnow::combinator::{alt, opt, preceded, separated, separated_pair};
use winnow::prelude::*;
use winnow::token::{rest, take_while};

/// The longest timeout of a new request, as a multiple of the longest class deadline. No correct client waits
/// longer for a request.
const MAX_TIMEOUT_FACTOR: u64 = 10;

/// The platform's line protocol, with the names and limits of one proxy's settings.
pub struct LineProtocol {
    names: Rc<NameIndex>,
    max_timeout: Micros,
}

impl LineProtocol {
    /// Creates the protocol for the given names and settings.
    pub fn new(names: Rc<NameIndex>, settings: &Settings) -> Self {
        let max_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        LineProtocol { names, max_timeout: max_deadline.saturating_mul(MAX_TIMEOUT_FACTOR) }
    }
}

/// An `OPEN` line from a client.
struct Open {
    id: String,
    key: String,
    fields: Vec<(String, String)>,
    class: usize,
    timeout: Micros,
    load_hint: Option<f64>,
}

impl Open {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

impl ClientRequest for Open {
    fn request(&self) -> Request {
        Request {
            class: self.class,
            key: key_hash(&self.key),
            group: self.field("g").and_then(key_hash),
            load_hint: self.load_hint,
            reconnecting: self.field("again") == Some("1"),
            ..Request::default()
        }
    }

    fn identity(&self) -> &str {
        &self.id
    }

    fn timeout(&self) -> Micros {
        self.timeout
    }

    fn resume_backend(&self) -> Option<BackendId> {
        self.field("at").map(Into::into)
    }

    fn encode_for_backend(&self, timeout: Micros) -> Vec<u8> {
        let mut line = format!("OPEN {} {} ", self.id, self.key);
        for (i, (name, value)) in self.fields.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            match name.as_str() {
                "d" => line += &format!("{comma}d={}", (timeout / 1_000).max(1)),
                _ => line += &format!("{comma}{name}={value}"),
            }
        }
        line += "\r\n";
        line.into_bytes()
    }
}

/// Parses an id or a key.
fn token<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., '!'..='~').parse_next(input)
}

/// Parses the name or the value of a field.
fn name_or_value<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |c: char| c.is_ascii_graphic() && c != ',' && c != '=').parse_next(input)
}

/// Parses a field, `NAME=VALUE`.
fn field(input: &mut &str) -> Result<(String, String)> {
    separated_pair(name_or_value, '=', name_or_value)
        .map(|(name, value)| (name.into(), value.into()))
        .parse_next(input)
}

/// The id, the key and the fields of an `OPEN` line.
type OpenParts = (String, String, Vec<(String, String)>);

/// Parses `OPEN ID KEY NAME=VALUE,...`.
fn open_line(input: &mut &str) -> Result<OpenParts> {
    let id = preceded("OPEN ", token).parse_next(input)?;
    let key = preceded(' ', token).parse_next(input)?;
    let fields = preceded(' ', separated(1.., field, ',')).parse_next(input)?;
    Ok((id.into(), key.into(), fields))
}

/// Parses a load report, `NAME=NUMBER,...`.
fn load_report<'a>(input: &mut &'a str) -> Result<Vec<(&'a str, f64)>> {
    separated(1.., separated_pair(name_or_value, '=', float::<_, f64, _>), ',').parse_next(input)
}

/// A line from a backend.
enum BackendLine<'a> {
    /// `LOAD`, with the connection's load in microseconds of work per second.
    Load(f64),
    /// A keyword, with the text that follows it.
    Keyword(&'a str, &'a str),
}

/// Parses a line from a backend.
fn backend_line<'a>(input: &mut &'a str) -> Result<BackendLine<'a>> {
    alt((
        preceded("LOAD ", float).map(BackendLine::Load),
        (alpha1, opt(preceded(' ', rest)))
            .map(|(keyword, arguments)| BackendLine::Keyword(keyword, arguments.unwrap_or(""))),
    ))
    .parse_next(input)
}

impl LineProtocol {
    /// Returns the values of a load report in the order of the settings. A column that the report lacks is 0.
    /// An empty or malformed report gives no values.
    fn report_values(&self, text: &str) -> Vec<f64> {
        let Ok(report) = load_report.parse(text) else { return Vec::new() };
        let value = |column: &String| report.iter().find(|(name, _)| name == column).map(|&(_, value)| value);
        self.names.report_columns().iter().map(|column| value(column).unwrap_or(0.0)).collect()
    }

    fn parse_open(&self, line: &str) -> Option<Open> {
        let (id, key, fields) = open_line.parse(line).ok()?;
        let mut open = Open { id, key, fields, class: 0, timeout: 0, load_hint: None };
        // A field that occurs twice is ambiguous.
        let occurrences = |name: &str| open.fields.iter().filter(|(n, _)| n == name).count();
        if ["c", "d", "g", "at"].into_iter().any(|name| occurrences(name) > 1) {
            return None;
        }
        open.class = self.names.class(open.field("c")?)?;
        let timeout: u32 = dec_uint::<_, u32, winnow::error::ContextError>.parse(open.field("d")?).ok()?;
        open.timeout = Micros::from(timeout) * 1_000;
        // A request that resumes an established connection may have any timeout.
        if open.timeout > self.max_timeout && open.resume_backend().is_none() {
            return None;
        }
        open.load_hint = open.field("h").and_then(|h| h.parse::<f64>().ok()).filter(|h| h.is_finite());
        // The hint is in seconds of work per second; the decision module uses microseconds.
        open.load_hint = open.load_hint.map(|seconds| seconds * 1e6);
        Some(open)
    }
}

impl Protocol for LineProtocol {
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage {
        let Ok(line) = std::str::from_utf8(line) else { return ClientMessage::Malformed };
        if line == "PING" {
            return ClientMessage::Immediate(b"PONG\r\n");
        }
        self.parse_open(line).map_or(ClientMessage::Malformed, |open| ClientMessage::Request(Box::new(open)))
    }

    fn parse_backend_line(&self, line: &[u8]) -> Reply {
        let Ok(line) = std::str::from_utf8(line) else { return Reply::Other };
        match backend_line.parse(line) {
            Ok(BackendLine::Load(load)) => Reply::Load(load),
            Ok(BackendLine::Keyword("UP", _)) => Reply::Up,
            Ok(BackendLine::Keyword("BYE", _)) => Reply::Bye,
            Ok(BackendLine::Keyword("MOVE", _)) => Reply::Move,
            Ok(BackendLine::Keyword("ERR", _)) => Reply::Error,
            Ok(BackendLine::Keyword("BUSY", _)) => Reply::Busy,
            Ok(BackendLine::Keyword("PONG", report)) => Reply::Pong(self.report_values(report)),
            _ => Reply::Other,
        }
    }

    fn parse_load_report(&self, line: &[u8]) -> Vec<f64> {
        std::str::from_utf8(line).map_or_else(|_| Vec::new(), |line| self.report_values(line))
    }

    fn load_query(&self) -> &'static [u8] {
        b"STATS\r\n"
    }

    fn refusal(&self, retry_after: Option<Micros>) -> Vec<u8> {
        match retry_after {
            Some(retry_after) => format!("BUSY {}\r\n", retry_after.div_ceil(1_000)).into_bytes(),
            None => b"BUSY\r\n".to_vec(),
        }
    }

    fn failure(&self) -> Vec<u8> {
        b"ERR\r\n".to_vec()
    }

    fn served(&self) -> &'static [u8] {
        b"BYE\r\n"
    }

    fn move_message(&self) -> &'static [u8] {
        b"MOVE\r\n"
    }
}
