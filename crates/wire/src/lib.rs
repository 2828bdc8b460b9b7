//! Parses and writes the bench's line protocol, and parses settings from JSON. Each line is one message: a
//! name and fields, separated by single spaces. Malformed lines are errors; unknown settings are ignored.

use pierloom_decision::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Error text, one line: what is wrong with a message, with settings or with a standard stream.
pub type ParseError = String;

/// One line of a batch.
#[derive(Debug)]
pub enum Line {
    /// `MARK`: a batch begins at this time.
    Mark(Micros),
    /// `EOF_BATCH`: the batch is complete.
    EndOfBatch,
    /// `CONTEXT`: the messages that follow concern this instance.
    Context(u64),
    /// `INIT`: the instance starts with this seed and these settings (JSON).
    Init(u64, String),
    /// `PAGE`: number of an endpoint list and number of entries that follow.
    ListStart(usize, usize),
    /// `M`: the whole line of one entry of an endpoint list.
    ListEntry(String),
    /// `ROSTER_CHANGE`: the kind of report, and the number of its endpoint list; `None` after a failed call.
    ListChange(ListKind, Option<usize>),
    /// `SHUTDOWN`: the instance ends.
    Shutdown,
    /// The whole line of an event that [`parse_event`] reads with the names of the instance.
    Event(String),
}

/// Highest number of an endpoint list that `PAGE` may define.
const MAX_LIST_NUMBER: u64 = 15;
/// Bit of the field `state-bits`: the load hint is valid.
const STATE_BIT_LOAD_HINT: u64 = 1;
/// Bit of the field `state-bits`: packets of an established connection arrive.
const STATE_BIT_MID_FLOW: u64 = 8;
/// Bit of the field `state-bits`: the client reconnects.
const STATE_BIT_RECONNECTING: u64 = 16;
/// Topic of `NOTE`: the connection's load, in microseconds of work per second.
const TOPIC_LOAD: u64 = 1;
/// Topic of `NOTE`: a message's delay, in milliseconds.
const TOPIC_DELAY: u64 = 2;

/// Window of a retry budget whose settings state none.
const DEFAULT_RETRY_WINDOW_US: Micros = 5_000_000;

/// Names that the settings of one instance define: classes and zones with their indexes, and the columns of
/// probe reports. Also holds warnings about the settings.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    zones: BTreeMap<String, u16>,
    report_columns: Vec<String>,
    /// What was wrong with the settings and replaced by a default; one line of text each.
    pub warnings: Vec<String>,
}

impl NameIndex {
    /// Index of a class in [`Settings::classes`], if the settings name it.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// Names of the classes in the order of their indexes.
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<(usize, &String)> = self.classes.iter().map(|(name, &i)| (i, name)).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Index of a zone. All zones that the settings do not name share one index.
    pub fn zone(&self, name: &str) -> u16 {
        self.zones.get(name).copied().unwrap_or(u16::MAX)
    }

    /// Names of the values in a probe's report, in order. Setting `feedback.columns`.
    pub fn report_columns(&self) -> &[String] {
        &self.report_columns
    }
}

/// Stable hash of the text of a key or group; `None` for `-`, which stands for an absent one.
pub fn key_hash(text: &str) -> Option<u64> {
    (text != "-").then(|| xxh3_64(text.as_bytes()))
}

/// One object of the setting `classes`. Times are in seconds.
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

/// The setting `bounds`. Times are in seconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireBounds {
    max_attempts: Option<u32>,
    connect_timeout: Option<f64>,
    retry_after: bool,
    max_retry_after: f64,
    may_probe: bool,
}

/// The setting `feedback`: what a probe's report contains.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireFeedback {
    columns: Vec<String>,
}

/// The setting `contract`. Times (`ask-within`, `cold`, `fall`, `ratio-span`) are in seconds.
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

/// The setting `goal`: how the bench scores a run. The values are checked but not used.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireGoal {
    nines_part: f64,
    top_nines: f64,
}

/// The setting `family-info`. `message-aim` holds a time in seconds per class, in the order of `classes`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireFamilyInfo {
    groups: bool,
    message_aim: Vec<Option<f64>>,
}

/// The setting `penalties`. A price is a share of the result, 0 to 1.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WirePenalties {
    cross_zone: f64,
}

/// The whole JSON object of the settings: the text of `INIT`, or `settings` in a proxy's config file. All
/// times in it are in seconds.
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
    family_info: WireFamilyInfo,
    #[serde(default)]
    penalties: WirePenalties,
    #[serde(default)]
    feedback: WireFeedback,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    weights: String,
}

/// Number of proxies assumed if the settings state none or an invalid one. It exceeds any planned number,
/// because the limit on what all proxies send to a backend in slow start holds only up to the assumed number.
const DEFAULT_PROXIES: u32 = 1_000;
/// A larger number of proxies is a mistake in the settings.
const MAX_PROXIES: u32 = 100_000;

/// The number of proxies, and a warning if the stated one is invalid.
fn proxy_count(value: &serde_json::Value) -> (u32, Option<String>) {
    let count = value.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=MAX_PROXIES).contains(n));
    let json_text: String = value.to_string().chars().take(40).collect();
    let stated = if value.is_null() { "not stated".to_string() } else { json_text };
    let warning =
        || format!("settings: balancers is {stated}, not 1 to {MAX_PROXIES}: {DEFAULT_PROXIES} are assumed");
    (count.unwrap_or(DEFAULT_PROXIES), count.is_none().then(warning))
}

/// Maximum time that is read, about thirty years: longer ones are capped, so that sums do not overflow.
const MAX_TIME_SECONDS: f64 = 1e9;

/// Converts seconds to microseconds. Negative times become 0, and long ones are capped at
/// [`MAX_TIME_SECONDS`].
fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds.clamp(0.0, MAX_TIME_SECONDS) * 1e6).round() as Micros
}

/// Removes keys with the value null, which count as absent.
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

/// Parses the settings of an instance from JSON.
pub fn parse_settings(json: &str) -> Result<(Settings, NameIndex), ParseError> {
    parse_settings_value(serde_json::from_str(json).map_err(|e| format!("INIT settings: {e}"))?)
}

/// Reads the settings of an instance from parsed JSON. Unknown keys are ignored.
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
    let (proxy_count, warning) = proxy_count(&wire.balancers);
    names.warnings.extend(warning);
    let next = names.zones.len() as u16;
    let zone = *names.zones.entry(wire.zone.clone()).or_insert(next);
    let mut classes = Vec::new();
    for (i, class) in wire.classes.iter().enumerate() {
        names.classes.insert(class.name.clone(), i);
        let key_scope = match class.group.as_deref() {
            None | Some("all") => KeyScope::All,
            Some("zone") => KeyScope::Zone,
            Some("cell") => KeyScope::Cell,
            Some(other) => return Err(format!("INIT settings: classes[].group {other:?}")),
        };
        let effect = match class.effect.as_deref() {
            Some("repeatable") => Effect::Repeatable,
            Some("by_key") => Effect::Keyed(key_scope),
            // Without a stated effect a request must never run twice, which is the safe assumption.
            None | Some("once") => Effect::Once,
            Some(other) => return Err(format!("INIT settings: classes[].effect {other:?}")),
        };
        let message_target = wire.family_info.message_aim.get(i).copied().flatten().unwrap_or(0.0);
        classes.push(Class {
            setup_target: micros_from_seconds(class.target),
            deadline: micros_from_seconds(class.deadline),
            message_target: micros_from_seconds(message_target),
            effect,
            repeat_window: micros_from_seconds(class.window),
        });
    }
    let defaults = Settings::default();
    let has_budget = contract.extra_free.is_some() || contract.repeat_ratio.is_some();
    let budget = has_budget.then(|| RetryBudget {
        min_retries: contract.extra_free.unwrap_or(0.0),
        ratio: contract.repeat_ratio.unwrap_or(0.0),
        window: contract.ratio_span.map_or(DEFAULT_RETRY_WINDOW_US, micros_from_seconds),
    });
    let micros_from_seconds_or =
        |value: Option<f64>, default: Micros| value.map_or(default, micros_from_seconds);
    let column_index =
        |name: &str| wire.feedback.columns.iter().position(|c| c == name).filter(|_| wire.bounds.may_probe);
    let settings = Settings {
        proxies: proxy_count,
        zone,
        classes,
        max_attempts: wire.bounds.max_attempts.unwrap_or(defaults.max_attempts),
        budget,
        exclude_removed: !wire.contract.removal_not_binding,
        connect_timeout: micros_from_seconds_or(wire.bounds.connect_timeout, defaults.connect_timeout),
        retry_after: wire.bounds.retry_after,
        max_retry_after: micros_from_seconds(wire.bounds.max_retry_after),
        ask_for_list: wire.membership_mode == "ask",
        ask_within: micros_from_seconds_or(wire.contract.ask_within, defaults.ask_within),
        // These limits are part of the proxies' protocol with discovery; the bench's wire does not have them.
        max_endpoints_age: None,
        max_endpoints_age_after_move: 0,
        sized_weights: matches!(wire.weights.as_str(), "nominal" | "rough" | "live"),
        live_weights: wire.weights == "live",
        groups: wire.family_info.groups,
        may_probe: wire.bounds.may_probe,
        load_report: column_index("x0"),
        delay_report: column_index("svc_ms"),
        slow_start_min_share: wire.contract.cold_from.unwrap_or(defaults.slow_start_min_share),
        slow_start_duration: micros_from_seconds_or(wire.contract.cold, defaults.slow_start_duration),
        overload_multiple: wire.contract.fall_multiple.unwrap_or(defaults.overload_multiple),
        cross_zone_price: wire.penalties.cross_zone,
        overload_window: micros_from_seconds_or(wire.contract.fall, defaults.overload_window),
    };
    settings.check().map_err(|e| format!("INIT {e}"))?;
    Ok((settings, names))
}

/// Reads the fields of one message in order.
struct Fields<'a> {
    /// Name of the message.
    message: &'a str,
    parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
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

    fn invalid_value(&self, field: &str, value: &str) -> ParseError {
        format!("{}: field {field} has the bad value {value:?}", self.message)
    }

    fn integer(&mut self, field: &str) -> Result<u64, ParseError> {
        let part = self.text(field)?;
        part.parse().map_err(|_| self.invalid_value(field, part))
    }

    fn number(&mut self, field: &str) -> Result<f64, ParseError> {
        let part = self.text(field)?;
        match part.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => Err(self.invalid_value(field, part)),
        }
    }

    /// A number; `None` for `-`.
    fn optional_number(&mut self, field: &str) -> Result<Option<f64>, ParseError> {
        let mut rest = self.parts.clone();
        if rest.next() == Some("-") {
            self.parts = rest;
            return Ok(None);
        }
        self.number(field).map(Some)
    }

    /// A time in seconds.
    fn time(&mut self, field: &str) -> Result<Micros, ParseError> {
        self.number(field).map(micros_from_seconds)
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
            _ => return Err(self.invalid_value(field, part)),
        })
    }

    fn flag(&mut self, field: &str) -> Result<bool, ParseError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            part => Err(self.invalid_value(field, part)),
        }
    }

    /// A list of numbers, separated by commas; empty for `-`. A missing number (`-`) in it counts as 0.
    fn numbers(&mut self, field: &str) -> Result<Vec<f64>, ParseError> {
        let part = self.text(field)?;
        if part == "-" {
            return Ok(Vec::new());
        }
        let value = |v: &str| match v.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ if v == "-" => Ok(0.0),
            _ => Err(self.invalid_value(field, part)),
        };
        part.split(',').map(value).collect()
    }

    /// Returns the value unless fields are left over.
    fn finish<T>(mut self, value: T) -> Result<T, ParseError> {
        match self.parts.next() {
            None => Ok(value),
            Some(_) => Err(format!("{}: too many fields", self.message)),
        }
    }
}

/// Parses one line of a batch. Endpoint entries and events are returned as text, because parsing them needs
/// the class and zone names of an instance.
pub fn parse_line(text: &str) -> Result<Line, ParseError> {
    let mut fields = Fields::new(text);
    match fields.message {
        "MARK" => {
            let now = fields.time("clock")?;
            fields.finish(Line::Mark(now))
        }
        "EOF_BATCH" => fields.finish(Line::EndOfBatch),
        "CONTEXT" => {
            let instance = fields.integer("relay")?;
            fields.finish(Line::Context(instance))
        }
        "INIT" => {
            let seed = fields.integer("nonce64")?;
            let rest: Vec<&str> = fields.parts.collect();
            Ok(Line::Init(seed, rest.join(" ")))
        }
        "PAGE" => {
            let list = fields.integer("list")?;
            let entries = fields.integer("items")?;
            if list > MAX_LIST_NUMBER {
                return Err(format!("PAGE: field list has the bad value \"{list}\""));
            }
            fields.finish(Line::ListStart(list as usize, entries as usize))
        }
        "M" => Ok(Line::ListEntry(text.to_string())),
        "ROSTER_CHANGE" => {
            fields.integer("stamp")?;
            let list = fields.text("list")?;
            let mode = fields.text("mode")?;
            let kind = match mode {
                "delta" => ListKind::Delta,
                "full" | "cached" => ListKind::Full,
                "failed" => ListKind::Failed,
                _ => return Err(fields.invalid_value("mode", mode)),
            };
            let list_number = match kind {
                ListKind::Failed
                | ListKind::Unreachable
                | ListKind::DiscoveryMoved
                | ListKind::Superseded => None,
                _ => Some(list.parse().map_err(|_| fields.invalid_value("list", list))?),
            };
            fields.finish(Line::ListChange(kind, list_number))
        }
        "SHUTDOWN" => fields.finish(Line::Shutdown),
        "ACCEPT" | "NOTE" | "OPEN" | "GONE" | "PONG" | "DUE" | "COMPLETED" | "FIRST_BYTE" | "DATAGRAM" => {
            Ok(Line::Event(text.to_string()))
        }
        other => Err(format!("unknown message {other:?}")),
    }
}

/// Parses one entry of an endpoint list, message `M`.
pub fn parse_member(text: &str, names: &NameIndex) -> Result<Member, ParseError> {
    let mut fields = Fields::new(text);
    let health = fields.text("health")?;
    let state = match health {
        "healthy" => MemberState::Ready,
        "cordoned" => MemberState::Draining,
        "deregistered" => MemberState::Gone,
        _ => return Err(fields.invalid_value("health", health)),
    };
    fields.text("class-of-host")?;
    let zone = fields.text("site")?;
    let cell = fields.optional_number("cell")?.unwrap_or(0.0) as u64;
    let weight = fields.optional_number("power-hint")?.unwrap_or(1.0);
    let started = fields.optional_number("ready-at")?.map_or(0, micros_from_seconds);
    let backend = fields.text("backend")?.into();
    let zone = names.zone(zone);
    fields.finish(Member { backend, state, zone, cell, weight, started })
}

/// Parses the fields that `ACCEPT` and `OPEN` share.
fn parse_request(fields: &mut Fields<'_>, names: &NameIndex) -> Result<Request, ParseError> {
    let id = fields.integer("ref")?;
    let class = fields.text("tier-class")?;
    fields.text("tenant")?;
    let item = fields.text("item")?;
    let deadline = fields.optional_number("client-deadline")?.map_or(0, micros_from_seconds);
    let load_hint = fields.optional_number("weight-hint")?;
    let channel = fields.text("channel")?;
    let bits = fields.text("state-bits")?;
    let bits: u64 = match bits {
        "-" => 0,
        _ => bits.parse().map_err(|_| fields.invalid_value("state-bits", bits))?,
    };
    Ok(Request {
        id,
        class: names.class(class).unwrap_or(usize::MAX),
        key: key_hash(item),
        group: key_hash(channel),
        deadline,
        load_hint: load_hint.filter(|_| bits & STATE_BIT_LOAD_HINT != 0).map(|seconds| seconds * 1e6),
        mid_flow: bits & STATE_BIT_MID_FLOW != 0,
        reconnecting: bits & STATE_BIT_RECONNECTING != 0,
    })
}

/// Parses an event; `None` for a valid message that the decision module has no use for.
pub fn parse_event(text: &str, names: &NameIndex) -> Result<Option<Event>, ParseError> {
    let mut fields = Fields::new(text);
    let event = match fields.message {
        "ACCEPT" => Event::Request(parse_request(&mut fields, names)?),
        "OPEN" => {
            let request = parse_request(&mut fields, names)?;
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
            fields.numbers("pressure")?;
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
                TOPIC_LOAD => Event::Measured(id, Measurement::Load(level)),
                TOPIC_DELAY => Event::Measured(id, Measurement::Delay(micros_from_seconds(level / 1e3))),
                _ => return fields.finish(None),
            }
        }
        "PONG" => {
            let backend = fields.text("backend")?.into();
            fields.time("rtt")?;
            let status = fields.status("how")?;
            Event::Probed { backend, status, report: fields.numbers("pressure")? }
        }
        // `DATAGRAM`, the only other event that `parse_line` accepts.
        _ => {
            fields.integer("src")?;
            fields.text("content")?;
            return fields.finish(None);
        }
    };
    fields.finish(Some(event))
}

/// Writes one action as a line.
pub fn write_action(action: &Action, out: &mut String) {
    let seconds = |time: Micros| format!("{}.{:06}", time / 1_000_000, time % 1_000_000);
    let written = match action {
        Action::Send { id, backend, until } => {
            writeln!(out, "HAND_OFF {id} {backend} {}", seconds(*until))
        }
        Action::Refuse { id, retry_after: Some(wait) } => {
            writeln!(out, "REJECT {id} {}", seconds(*wait))
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

/// Parses the entries of an endpoint list with the zones of one instance.
pub fn parse_members(lines: &[String], names: &NameIndex) -> Result<Arc<[Member]>, ParseError> {
    lines.iter().map(|text| parse_member(text, names)).collect()
}
