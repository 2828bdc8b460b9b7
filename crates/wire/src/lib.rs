//! Strict parsing and printing of the bench's line protocol; it decides nothing.

use pierloom_decision::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// A complaint about a message, in one plain line.
pub type ParseError = String;

/// One line of a batch.
#[derive(Debug)]
pub enum Line {
    /// A batch begins at this time.
    Mark(Micros),
    /// The batch is complete.
    EndOfBatch,
    /// Events that follow concern this instance.
    Context(u64),
    /// An instance starts with this seed and these settings.
    Init(u64, String),
    /// A numbered list begins, with so many entries to follow.
    Page(usize, usize),
    /// An entry of a list: everything after its name.
    Entry(String),
    /// News of the list: kind and number of the page.
    Roster(ListKind, Option<usize>),
    /// The instance is gone.
    Shutdown,
    /// An event that needs no more context than the instance's names.
    Event(String),
}

/// Span of an attempt budget whose span is not stated.
const BUDGET_SPAN: Micros = 5_000_000;

/// The names of one instance's settings: they turn words into indexes.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    zones: BTreeMap<String, u16>,
    report_columns: Vec<String>,
    /// What was wrong with the settings and is met with a default; one plain line each.
    pub warnings: Vec<String>,
}

impl NameIndex {
    /// Index of a class, if the settings name it.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The classes in the order of their indexes.
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<(usize, &String)> = self.classes.iter().map(|(name, &i)| (i, name)).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Index of a zone. Zones that the settings do not name share one.
    pub fn zone(&self, name: &str) -> u16 {
        self.zones.get(name).copied().unwrap_or(u16::MAX)
    }

    /// The values that a load report holds, in order.
    pub fn report_columns(&self) -> &[String] {
        &self.report_columns
    }
}

/// Stable hash of a key or a group; none for an absent one.
pub fn key_hash(text: &str) -> Option<u64> {
    (text != "-").then(|| xxh3_64(text.as_bytes()))
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireClass {
    name: String,
    target: f64,
    deadline: f64,
    #[serde(default)]
    effect: Option<String>,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireBounds {
    max_attempts: Option<u32>,
    connect_timeout: Option<f64>,
    retry_after: bool,
    max_retry_after: f64,
    may_probe: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireFeedback {
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireContract {
    ask_within: Option<f64>,
    cold: Option<f64>,
    cold_from: Option<f64>,
    fall: Option<f64>,
    fall_multiple: Option<f64>,
    extra_free: Option<f64>,
    repeat_ratio: Option<f64>,
    ratio_span: Option<f64>,
    removal_not_binding: bool,
}

/// Parts of the goal are weights of the result; they are checked, and no decision uses them.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireGoal {
    nines_part: f64,
    top_nines: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireFamily {
    groups: bool,
    message_aim: Vec<Option<f64>>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WirePrices {
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireSettings {
    #[serde(default)]
    balancers: serde_json::Value,
    classes: Vec<WireClass>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    bounds: WireBounds,
    #[serde(default)]
    contract: WireContract,
    #[serde(default)]
    goal: WireGoal,
    #[serde(default)]
    family_info: WireFamily,
    #[serde(default)]
    penalties: WirePrices,
    #[serde(default)]
    feedback: WireFeedback,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    weights: String,
}

/// Relays assumed where their number is not stated or cannot be: more than any fleet that is planned, as the bound on
/// what all send to a cold backend holds for no more than are assumed.
const USUAL_RELAYS: u32 = 1_000;
/// More relays than this are no fleet, but a mistake.
const MOST_RELAYS: u32 = 100_000;

/// The number of relays, and what is wrong with it, if anything.
fn relays(stated: &serde_json::Value) -> (u32, Option<String>) {
    let number =
        stated.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=MOST_RELAYS).contains(n));
    let shown: String = stated.to_string().chars().take(40).collect();
    let shown = if stated.is_null() { "not stated".to_string() } else { shown };
    let doubt =
        || format!("settings: balancers is {shown}, not 1 to {MOST_RELAYS}: {USUAL_RELAYS} are assumed");
    (number.unwrap_or(USUAL_RELAYS), number.is_none().then(doubt))
}

/// Times longer than thirty years are as good as for ever; seconds. Sums of them have to stay in range.
const FOR_EVER: f64 = 1e9;

fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, FOR_EVER) * 1e6).round() as Micros
}

/// A key with the value null counts as absent.
fn drop_nulls(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|_, value| !value.is_null());
            map.values_mut().for_each(drop_nulls);
        }
        serde_json::Value::Array(values) => values.iter_mut().for_each(drop_nulls),
        _ => {}
    }
}

/// Reads settings.
pub fn parse_settings(json: &str) -> Result<(Settings, NameIndex), ParseError> {
    parse_settings_value(serde_json::from_str(json).map_err(|e| format!("INIT settings: {e}"))?)
}

/// Reads settings that are parsed already.
pub fn parse_settings_value(mut value: serde_json::Value) -> Result<(Settings, NameIndex), ParseError> {
    drop_nulls(&mut value);
    let wire: WireSettings =
        serde_path_to_error::deserialize(value).map_err(|e| format!("INIT settings: {e}"))?;
    let contract = &wire.contract;
    for (field, value) in [
        ("contract.extra-free", contract.extra_free),
        ("contract.repeat-ratio", contract.repeat_ratio),
        ("contract.ratio-span", contract.ratio_span),
        ("goal.nines-part", Some(wire.goal.nines_part)),
        ("goal.top-nines", Some(wire.goal.top_nines)),
    ] {
        if value.is_some_and(|value| value < 0.0) {
            return Err(format!("INIT settings: {field} is negative"));
        }
    }
    let mut names = NameIndex { report_columns: wire.feedback.columns.clone(), ..NameIndex::default() };
    for zone in &wire.zones {
        let next = names.zones.len() as u16;
        names.zones.entry(zone.clone()).or_insert(next);
    }
    let (relays, doubt) = relays(&wire.balancers);
    names.warnings.extend(doubt);
    let next = names.zones.len() as u16;
    let zone = *names.zones.entry(wire.zone.clone()).or_insert(next);
    let mut classes = Vec::new();
    for (i, class) in wire.classes.iter().enumerate() {
        names.classes.insert(class.name.clone(), i);
        let group = match class.group.as_deref() {
            None | Some("all") => KeyScope::All,
            Some("zone") => KeyScope::Zone,
            Some("cell") => KeyScope::Cell,
            Some(other) => return Err(format!("INIT settings: classes[].group {other:?}")),
        };
        let effect = match class.effect.as_deref() {
            Some("repeatable") => Effect::Repeatable,
            Some("by_key") => Effect::Keyed(group),
            // With nothing stated the careful reading holds.
            None | Some("once") => Effect::Once,
            Some(other) => return Err(format!("INIT settings: classes[].effect {other:?}")),
        };
        let message_aim = wire.family_info.message_aim.get(i).copied().flatten().unwrap_or(0.0);
        classes.push(Class {
            setup_target: micros(class.target),
            deadline: micros(class.deadline),
            message_target: micros(message_aim),
            effect,
            repeat_window: micros(class.window),
        });
    }
    let base = Settings::default();
    let stated = contract.extra_free.is_some() || contract.repeat_ratio.is_some();
    let budget = stated.then(|| RetryBudget {
        min_retries: contract.extra_free.unwrap_or(0.0),
        ratio: contract.repeat_ratio.unwrap_or(0.0),
        window: contract.ratio_span.map_or(BUDGET_SPAN, micros),
    });
    let or = |value: Option<f64>, default: Micros| value.map_or(default, micros);
    let column =
        |name: &str| wire.feedback.columns.iter().position(|c| c == name).filter(|_| wire.bounds.may_probe);
    let settings = Settings {
        proxies: relays,
        zone,
        classes,
        max_attempts: wire.bounds.max_attempts.unwrap_or(base.max_attempts),
        budget,
        exclude_removed: !wire.contract.removal_not_binding,
        connect_timeout: or(wire.bounds.connect_timeout, base.connect_timeout),
        retry_after: wire.bounds.retry_after,
        max_retry_after: micros(wire.bounds.max_retry_after),
        ask_for_list: wire.membership_mode == "ask",
        ask_within: or(wire.contract.ask_within, base.ask_within),
        // Figures of the real proxies' protocol, which the wire does not have.
        max_endpoints_age: None,
        max_endpoints_age_after_move: 0,
        sized_weights: matches!(wire.weights.as_str(), "nominal" | "rough" | "live"),
        live_weights: wire.weights == "live",
        groups: wire.family_info.groups,
        may_probe: wire.bounds.may_probe,
        load_report: column("x0"),
        delay_report: column("svc_ms"),
        slow_start_min_share: wire.contract.cold_from.unwrap_or(base.slow_start_min_share),
        slow_start_duration: or(wire.contract.cold, base.slow_start_duration),
        overload_multiple: wire.contract.fall_multiple.unwrap_or(base.overload_multiple),
        cross_zone_price: wire.penalties.cross_zone,
        overload_window: or(wire.contract.fall, base.overload_window),
    };
    settings.check().map_err(|e| format!("INIT {e}"))?;
    Ok((settings, names))
}

/// The values of one message, taken in order.
struct Fields<'a> {
    message: &'a str,
    parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn of(line: &'a str) -> Self {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        Fields { message, parts }
    }

    fn text(&mut self, field: &str) -> Result<&'a str, ParseError> {
        match self.parts.next() {
            Some(part) if !part.is_empty() => Ok(part),
            _ => Err(format!("{}: field {field} is missing", self.message)),
        }
    }

    fn bad(&self, field: &str, value: &str) -> ParseError {
        format!("{}: field {field} has the bad value {value:?}", self.message)
    }

    fn integer(&mut self, field: &str) -> Result<u64, ParseError> {
        let part = self.text(field)?;
        part.parse().map_err(|_| self.bad(field, part))
    }

    fn number(&mut self, field: &str) -> Result<f64, ParseError> {
        let part = self.text(field)?;
        match part.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => Err(self.bad(field, part)),
        }
    }

    fn maybe_number(&mut self, field: &str) -> Result<Option<f64>, ParseError> {
        let mut rest = self.parts.clone();
        if rest.next() == Some("-") {
            self.parts = rest;
            return Ok(None);
        }
        self.number(field).map(Some)
    }

    fn time(&mut self, field: &str) -> Result<Micros, ParseError> {
        self.number(field).map(micros)
    }

    fn status(&mut self, field: &str) -> Result<Status, ParseError> {
        let part = self.text(field)?;
        Ok(match part {
            "200" => Status::Ok,
            "502" => Status::Error,
            "429" => Status::Overloaded,
            "408" => Status::Timeout,
            "521" => Status::ConnectFailed,
            "520" => Status::Reset,
            "444" => Status::Cancelled,
            "409" => Status::NotSent,
            _ => return Err(self.bad(field, part)),
        })
    }

    fn flag(&mut self, field: &str) -> Result<bool, ParseError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            part => Err(self.bad(field, part)),
        }
    }

    fn row(&mut self, field: &str) -> Result<Vec<f64>, ParseError> {
        let part = self.text(field)?;
        if part == "-" {
            return Ok(Vec::new());
        }
        let value = |v: &str| match v.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ if v == "-" => Ok(0.0),
            _ => Err(self.bad(field, part)),
        };
        part.split(',').map(value).collect()
    }

    fn end<T>(mut self, value: T) -> Result<T, ParseError> {
        match self.parts.next() {
            None => Ok(value),
            Some(_) => Err(format!("{}: too many fields", self.message)),
        }
    }
}

/// Reads one line of a batch.
pub fn parse_line(text: &str) -> Result<Line, ParseError> {
    let mut fields = Fields::of(text);
    match fields.message {
        "MARK" => {
            let now = fields.time("clock")?;
            fields.end(Line::Mark(now))
        }
        "EOF_BATCH" => fields.end(Line::EndOfBatch),
        "CONTEXT" => {
            let relay = fields.integer("relay")?;
            fields.end(Line::Context(relay))
        }
        "INIT" => {
            let seed = fields.integer("nonce64")?;
            let rest: Vec<&str> = fields.parts.collect();
            Ok(Line::Init(seed, rest.join(" ")))
        }
        "PAGE" => {
            let list = fields.integer("list")?;
            let entries = fields.integer("items")?;
            if list > 15 {
                return Err(format!("PAGE: field list has the bad value \"{list}\""));
            }
            fields.end(Line::Page(list as usize, entries as usize))
        }
        "M" => Ok(Line::Entry(text.to_string())),
        "ROSTER_CHANGE" => {
            fields.integer("stamp")?;
            let list = fields.text("list")?;
            let mode = fields.text("mode")?;
            let kind = match mode {
                "delta" => ListKind::Delta,
                "full" | "cached" => ListKind::Full,
                "failed" => ListKind::Failed,
                _ => return Err(fields.bad("mode", mode)),
            };
            let page = match kind {
                ListKind::Failed | ListKind::Unreachable | ListKind::DiscoveryMoved => None,
                _ => Some(list.parse().map_err(|_| fields.bad("list", list))?),
            };
            fields.end(Line::Roster(kind, page))
        }
        "SHUTDOWN" => fields.end(Line::Shutdown),
        "ACCEPT" | "NOTE" | "OPEN" | "GONE" | "PONG" | "DUE" | "COMPLETED" | "FIRST_BYTE" | "DATAGRAM" => {
            Ok(Line::Event(text.to_string()))
        }
        other => Err(format!("unknown message {other:?}")),
    }
}

/// Reads one entry of a list.
pub fn parse_member(text: &str, names: &NameIndex) -> Result<Member, ParseError> {
    let mut fields = Fields::of(text);
    let health = fields.text("health")?;
    let state = match health {
        "healthy" => MemberState::Ready,
        "cordoned" => MemberState::Draining,
        "deregistered" => MemberState::Gone,
        _ => return Err(fields.bad("health", health)),
    };
    fields.text("class-of-host")?;
    let zone = fields.text("site")?;
    let cell = fields.maybe_number("cell")?.unwrap_or(0.0) as u64;
    let weight = fields.maybe_number("power-hint")?.unwrap_or(1.0);
    let started = fields.maybe_number("ready-at")?.map_or(0, micros);
    let backend = fields.text("backend")?.into();
    let zone = names.zone(zone);
    fields.end(Member { backend, state, zone, cell, weight, started })
}

/// Reads the part that `ACCEPT` and `OPEN` share.
fn request(fields: &mut Fields<'_>, names: &NameIndex) -> Result<Request, ParseError> {
    let id = fields.integer("ref")?;
    let class = fields.text("tier-class")?;
    fields.text("tenant")?;
    let item = fields.text("item")?;
    let deadline = fields.maybe_number("client-deadline")?.map_or(0, micros);
    let hint = fields.maybe_number("weight-hint")?;
    let channel = fields.text("channel")?;
    let bits = fields.text("state-bits")?;
    let bits: u64 = match bits {
        "-" => 0,
        _ => bits.parse().map_err(|_| fields.bad("state-bits", bits))?,
    };
    Ok(Request {
        id,
        class: names.class(class).unwrap_or(usize::MAX),
        key: key_hash(item),
        group: key_hash(channel),
        deadline,
        load_hint: hint.filter(|_| bits & 1 != 0).map(|seconds| seconds * 1e6),
        mid_flow: bits & 8 != 0,
        reconnecting: bits & 16 != 0,
    })
}

/// Reads an event; `None` for one that means nothing to this library.
pub fn parse_event(text: &str, names: &NameIndex) -> Result<Option<Event>, ParseError> {
    let mut fields = Fields::of(text);
    let event = match fields.message {
        "ACCEPT" => Event::Request(request(&mut fields, names)?),
        "OPEN" => {
            let request = request(&mut fields, names)?;
            Event::Resumed(request, fields.text("backend")?.into())
        }
        "FIRST_BYTE" => {
            let id = fields.integer("ref")?;
            let attempt = fields.integer("round-no")? as u32;
            fields.text("backend")?;
            Event::Established { id, attempt, latency: fields.time("rtt")? }
        }
        "COMPLETED" => {
            let id = fields.integer("ref")?;
            let closed = fields.flag("finished")?;
            let latency = fields.time("rtt")?;
            fields.text("backend")?;
            let status = fields.status("how")?;
            let attempt = fields.integer("round-no")? as u32;
            fields.row("pressure")?;
            Event::AttemptEnded(AttemptResult { id, attempt, status, latency, closed })
        }
        "GONE" => Event::ClientGone(fields.integer("ref")?),
        "DUE" => Event::Timer(fields.integer("label")?),
        "NOTE" => {
            let id = fields.integer("ref")?;
            fields.integer("round-no")?;
            fields.text("backend")?;
            let topic = fields.integer("topic")?;
            let level = fields.number("level")?;
            match topic {
                1 => Event::Measured(id, Measurement::Load(level)),
                2 => Event::Measured(id, Measurement::Delay(micros(level / 1e3))),
                _ => return fields.end(None),
            }
        }
        "PONG" => {
            let backend = fields.text("backend")?.into();
            fields.time("rtt")?;
            let status = fields.status("how")?;
            Event::Probed { backend, status, report: fields.row("pressure")? }
        }
        _ => {
            fields.integer("src")?;
            fields.text("content")?;
            return fields.end(None);
        }
    };
    fields.end(Some(event))
}

/// Prints one action as a line.
pub fn write_action(action: &Action, out: &mut String) {
    let seconds = |t: Micros| format!("{}.{:06}", t / 1_000_000, t % 1_000_000);
    let written = match action {
        Action::Send { id, backend, until } => {
            writeln!(out, "HAND_OFF {id} {backend} {}", seconds(*until))
        }
        Action::Refuse { id, retry_after: Some(t) } => {
            writeln!(out, "REJECT {id} {}", seconds(*t))
        }
        Action::Refuse { id, retry_after: None } => writeln!(out, "REJECT {id} -"),
        Action::Fail(id) => writeln!(out, "GIVE_UP {id}"),
        Action::Move(id) => writeln!(out, "GO_AWAY {id}"),
        Action::Probe(backend) => writeln!(out, "SAMPLE {backend}"),
        Action::Subscribe => writeln!(out, "SUBSCRIBE 1"),
        Action::Timer(after, token) => writeln!(out, "WAKE_ME {} {token}", seconds(*after)),
    };
    written.expect("writing to a string cannot fail");
}

/// Turns the lines of a page into members, for one instance's zones.
pub fn parse_members(lines: &[String], names: &NameIndex) -> Result<Arc<[Member]>, ParseError> {
    lines.iter().map(|text| parse_member(text, names)).collect()
}
