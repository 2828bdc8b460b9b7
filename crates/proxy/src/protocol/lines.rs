//! The platform's line protocol.

use super::{ClientMessage, ClientRequest, Protocol, Reply};
use pierloom_decision::{BackendId, Micros, Request, Settings};
use pierloom_wire::{NameIndex, key_hash};
use std::rc::Rc;
use winnow::Result;
use winnow::ascii::{alpha1, dec_uint, float};
use winnow::combinator::{alt, opt, preceded, separated, separated_pair};
use winnow::prelude::*;
use winnow::token::{rest, take_while};

/// Nobody waits this many of the longest deadlines for a job: what says so has gone wrong.
const PATIENCE: u64 = 10;

/// The platform's grammar, for one proxy's settings.
pub struct LineProtocol {
    names: Rc<NameIndex>,
    longest_wait: Micros,
}

impl LineProtocol {
    /// The grammar for the names of these settings.
    pub fn new(names: Rc<NameIndex>, settings: &Settings) -> Self {
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        LineProtocol { names, longest_wait: longest.saturating_mul(PATIENCE) }
    }
}

/// An `OPEN` line as it came.
struct Open {
    id: String,
    key: String,
    fields: Vec<(String, String)>,
    class: usize,
    wait: Micros,
    hint: Option<f64>,
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
            load_hint: self.hint,
            reconnecting: self.field("again") == Some("1"),
            ..Request::default()
        }
    }

    fn identity(&self) -> &str {
        &self.id
    }

    fn timeout(&self) -> Micros {
        self.wait
    }

    fn resume_backend(&self) -> Option<BackendId> {
        self.field("at").map(Into::into)
    }

    fn encode_for_backend(&self, wait: Micros) -> Vec<u8> {
        let mut line = format!("OPEN {} {} ", self.id, self.key);
        for (i, (name, value)) in self.fields.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            match name.as_str() {
                "d" => line += &format!("{comma}d={}", (wait / 1_000).max(1)),
                _ => line += &format!("{comma}{name}={value}"),
            }
        }
        line += "\r\n";
        line.into_bytes()
    }
}

/// Characters of an id or a key.
fn word<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., '!'..='~').parse_next(input)
}

/// Characters of a name or a value in the list.
fn part<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |c: char| c.is_ascii_graphic() && c != ',' && c != '=').parse_next(input)
}

fn field(input: &mut &str) -> Result<(String, String)> {
    separated_pair(part, '=', part).map(|(name, value)| (name.into(), value.into())).parse_next(input)
}

type Words = (String, String, Vec<(String, String)>);

/// `OPEN ID KEY NAME=VALUE,...`
fn open(input: &mut &str) -> Result<Words> {
    let id = preceded("OPEN ", word).parse_next(input)?;
    let key = preceded(' ', word).parse_next(input)?;
    let fields = preceded(' ', separated(1.., field, ',')).parse_next(input)?;
    Ok((id.into(), key.into(), fields))
}

/// A load report: `NAME=NUMBER,...`
fn report<'a>(input: &mut &'a str) -> Result<Vec<(&'a str, f64)>> {
    separated(1.., separated_pair(part, '=', float::<_, f64, _>), ',').parse_next(input)
}

enum Said<'a> {
    Load(f64),
    Word(&'a str, &'a str),
}

/// A word that a backend may say, and what follows it.
fn said<'a>(input: &mut &'a str) -> Result<Said<'a>> {
    alt((
        preceded("LOAD ", float).map(Said::Load),
        (alpha1, opt(preceded(' ', rest))).map(|(word, more)| Said::Word(word, more.unwrap_or(""))),
    ))
    .parse_next(input)
}

impl LineProtocol {
    /// The values of a report in the order of the settings; none where the first is missing.
    fn values(&self, text: &str) -> Vec<f64> {
        let Ok(report) = report.parse(text) else { return Vec::new() };
        let value = |column: &String| report.iter().find(|(name, _)| name == column).map(|&(_, value)| value);
        self.names.report_columns().iter().map(|column| value(column).unwrap_or(0.0)).collect()
    }

    fn open(&self, line: &str) -> Option<Open> {
        let (id, key, fields) = open.parse(line).ok()?;
        let mut open = Open { id, key, fields, class: 0, wait: 0, hint: None };
        // A name that comes twice has no one meaning.
        let named = |name: &str| open.fields.iter().filter(|(n, _)| n == name).count();
        if ["c", "d", "g", "at"].into_iter().any(|name| named(name) > 1) {
            return None;
        }
        open.class = self.names.class(open.field("c")?)?;
        let wait: u32 = dec_uint::<_, u32, winnow::error::ContextError>.parse(open.field("d")?).ok()?;
        open.wait = Micros::from(wait) * 1_000;
        // One that stood before may be given all the time there is.
        if open.wait > self.longest_wait && open.resume_backend().is_none() {
            return None;
        }
        open.hint = open.field("h").and_then(|h| h.parse::<f64>().ok()).filter(|h| h.is_finite());
        // The hint is seconds of work a second; the module counts microseconds.
        open.hint = open.hint.map(|seconds| seconds * 1e6);
        Some(open)
    }
}

impl Protocol for LineProtocol {
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage {
        let Ok(line) = std::str::from_utf8(line) else { return ClientMessage::Malformed };
        if line == "PING" {
            return ClientMessage::Immediate(b"PONG\r\n");
        }
        self.open(line).map_or(ClientMessage::Malformed, |open| ClientMessage::Request(Box::new(open)))
    }

    fn parse_backend_line(&self, line: &[u8]) -> Reply {
        let Ok(line) = std::str::from_utf8(line) else { return Reply::Other };
        match said.parse(line) {
            Ok(Said::Load(load)) => Reply::Load(load),
            Ok(Said::Word("UP", _)) => Reply::Up,
            Ok(Said::Word("BYE", _)) => Reply::Bye,
            Ok(Said::Word("MOVE", _)) => Reply::Move,
            Ok(Said::Word("ERR", _)) => Reply::Error,
            Ok(Said::Word("BUSY", _)) => Reply::Busy,
            Ok(Said::Word("PONG", report)) => Reply::Pong(self.values(report)),
            _ => Reply::Other,
        }
    }

    fn parse_load_report(&self, line: &[u8]) -> Vec<f64> {
        std::str::from_utf8(line).map_or_else(|_| Vec::new(), |line| self.values(line))
    }

    fn load_query(&self) -> &'static [u8] {
        b"STATS\r\n"
    }

    fn refusal(&self, wait: Option<Micros>) -> Vec<u8> {
        match wait {
            Some(wait) => format!("BUSY {}\r\n", wait.div_ceil(1_000)).into_bytes(),
            None => b"BUSY\r\n".to_vec(),
        }
    }

    fn failure(&self) -> Vec<u8> {
        b"ERR\r\n".to_vec()
    }

    fn served(&self) -> &'static [u8] {
        b"BYE\r\n"
    }

    fn farewell(&self) -> &'static [u8] {
        b"MOVE\r\n"
    }
}
