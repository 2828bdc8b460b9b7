//! A run as a script: the site, the submitters and the faults, in TOML. A seed draws one; a script that was
//! printed and edited plays without the seed's draws.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// The form that this version reads and writes.
pub const FORMAT: u32 = 1;

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The form; 1.
    pub format: u32,
    /// Orders what falls into one instant, and draws what is left to chance while the script plays.
    pub order: u64,
    /// Length of the run; virtual milliseconds, 1,000 to 600,000.
    pub length_ms: u64,
    /// The network.
    pub links: LinkSpec,
    /// The figures that the proxies are told.
    pub contract: Contract,
    /// The proxies.
    #[serde(rename = "proxy")]
    pub proxies: Vec<ProxySpec>,
    /// The execute nodes.
    #[serde(rename = "node")]
    pub backends: Vec<BackendSpec>,
    /// The submitters.
    #[serde(rename = "submitter", default)]
    pub clients: Vec<ClientSpec>,
    /// What goes wrong.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// How the links are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// One way within a zone; microseconds.
    pub same_us: u64,
    /// One way between zones; microseconds.
    pub cross_us: u64,
    /// A delay is longer by up to this part of it; 0 to 10.
    pub jitter: f64,
    /// Bytes on the way and unread; 16 to 1,000,000.
    pub window: usize,
    /// Share of reads and writes that take only a part; 0 to 1.
    pub partial: f64,
    /// Share of resets that overtake what was sent before; 0 to 1.
    pub lossy: f64,
}

/// What the settings say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// A job waits this long for its answer; milliseconds.
    pub deadline_ms: u64,
    /// Its set-up is wanted within this; milliseconds.
    pub target_ms: u64,
    /// A message is wanted within this; milliseconds.
    pub message_ms: u64,
    /// Share of its capacity that a cold execute node has; 0 to 1.
    pub cold_from: f64,
    /// It is warm after this; milliseconds.
    pub cold_ms: u64,
    /// It falls over beyond this multiple of what it can do.
    pub fall_multiple: f64,
    /// ...kept up for this; milliseconds.
    pub fall_ms: u64,
}

/// One proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// Its zone; 0 to 2.
    pub zone: usize,
    /// Descriptors that it may hold.
    pub descriptors: usize,
    /// Descriptors that its config speaks of, where they are others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told_descriptors: Option<usize>,
    /// Seed of its module's random numbers.
    pub seed: u64,
}

/// One execute node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Its name, the same when it comes back.
    pub name: String,
    /// Its zone; 0 to 2.
    pub zone: usize,
    /// Cores.
    pub cores: u32,
    /// Speed of a core beside the yardstick's; 0.01 to 100.
    pub speed: f64,
    /// Connections of mean load that fill a yardstick core.
    pub per_core: f64,
    /// Connections that it holds at most.
    pub cap: usize,
    /// Openings that wait for their set-up at most.
    pub queue: usize,
    /// Work of one set-up; milliseconds on a yardstick core.
    pub setup_ms: f64,
    /// Work of a message; milliseconds.
    pub message_ms: f64,
    /// Reports are made anew this often; milliseconds.
    pub report_ms: u64,
    /// Reports are wrong by up to this part; 0 to 1.
    pub noise: f64,
    /// While it drains, it asks its clients to leave.
    #[serde(default)]
    pub sends_away: bool,
}

/// One submitter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSpec {
    /// When it comes; milliseconds.
    pub at_ms: u64,
    /// Its zone; 0 to 2.
    pub zone: usize,
    /// Its key.
    pub key: u64,
    /// Its group.
    pub group: u64,
    /// How long it wants its connection; milliseconds.
    pub life_ms: u64,
    /// Its load, in mean connections.
    pub load: f64,
    /// It tries again by itself this often after a failure.
    #[serde(default)]
    pub retries: u32,
    /// It keeps no protocol, in this way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bad: Option<Misbehavior>,
    /// It leaves without waiting, this long after it opened its job; milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_ms: Option<u64>,
    /// It ends by a reset.
    #[serde(default)]
    pub resets: bool,
    /// It reads only this often; milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reads_ms: Option<u64>,
}

/// The ways of the bad submitters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehavior {
    /// Says nothing.
    Silent,
    /// Bytes that are no line.
    Garbage,
    /// A line without an end.
    NoEnd,
    /// A class that does not exist.
    WrongClass,
    /// A deadline that is no number.
    WrongDeadline,
    /// No id.
    NoId,
    /// Half a command, then an end.
    Half,
    /// Hundreds of commands at once.
    Commands,
    /// A value of a hundred thousand bytes and more.
    Huge,
}

/// All of them.
pub const ALL_MISBEHAVIORS: [Misbehavior; 9] = [
    Misbehavior::Silent,
    Misbehavior::Garbage,
    Misbehavior::NoEnd,
    Misbehavior::WrongClass,
    Misbehavior::WrongDeadline,
    Misbehavior::NoId,
    Misbehavior::Half,
    Misbehavior::Commands,
    Misbehavior::Huge,
];

/// What goes wrong, and when. Times are virtual milliseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// An execute node's process dies and comes back cold under its name, or never.
    Crash {
        /// Its name.
        node: String,
        /// When.
        at_ms: u64,
        /// When it is back.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<u64>,
    },
    /// An execute node drains, stops, and comes back cold under its name, or never.
    Drain {
        /// Its name.
        node: String,
        /// When it begins.
        at_ms: u64,
        /// When its process ends.
        stop_ms: u64,
        /// When it is back.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<u64>,
    },
    /// An execute node's machine is cut off and says nothing.
    Silence {
        /// Its name.
        node: String,
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// Its connections break when it is back.
        #[serde(default)]
        reset: bool,
    },
    /// An execute node is slower.
    Slow {
        /// Its name.
        node: String,
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// By this factor; 1 to 1,000.
        factor: f64,
    },
    /// Another program takes a share of an execute node's machine, on and off by the second.
    Neighbour {
        /// Its name.
        node: String,
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// The share; 0 to 0.95.
        share: f64,
    },
    /// Execute nodes' reports come later.
    LateReports {
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// By this; milliseconds.
        by_ms: u64,
    },
    /// Discovery takes longer for each call.
    DiscoveryLate {
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// By this; milliseconds.
        by_ms: u64,
    },
    /// Discovery answers 503.
    DiscoveryFails {
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Discovery is cut off and says nothing.
    DiscoveryCut {
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Discovery is down.
    DiscoveryDown {
        /// When.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Discovery moves to another address: config replaced, SIGHUP to all.
    Reload {
        /// When.
        at_ms: u64,
    },
    /// A config that cannot be used, and SIGHUP.
    BadReload {
        /// The proxy's place.
        proxy: usize,
        /// When.
        at_ms: u64,
    },
    /// A planned stop and a start.
    Restart {
        /// The proxy's place.
        proxy: usize,
        /// When SIGTERM comes.
        at_ms: u64,
        /// When it starts again; at least 5 s later.
        until_ms: u64,
    },
    /// A kill and a start.
    Kill {
        /// The proxy's place.
        proxy: usize,
        /// When.
        at_ms: u64,
        /// When it starts again.
        until_ms: u64,
    },
}

impl Fault {
    /// Its span; milliseconds.
    pub fn span(&self) -> (u64, u64) {
        match *self {
            Fault::Crash { at_ms, until_ms, .. } => (at_ms, until_ms.unwrap_or(at_ms)),
            Fault::Drain { at_ms, stop_ms, until_ms, .. } => (at_ms, until_ms.unwrap_or(stop_ms)),
            Fault::Silence { at_ms, until_ms, .. }
            | Fault::Slow { at_ms, until_ms, .. }
            | Fault::Neighbour { at_ms, until_ms, .. }
            | Fault::LateReports { at_ms, until_ms, .. }
            | Fault::DiscoveryLate { at_ms, until_ms, .. }
            | Fault::DiscoveryFails { at_ms, until_ms }
            | Fault::DiscoveryCut { at_ms, until_ms }
            | Fault::DiscoveryDown { at_ms, until_ms }
            | Fault::Restart { at_ms, until_ms, .. }
            | Fault::Kill { at_ms, until_ms, .. } => (at_ms, until_ms),
            Fault::Reload { at_ms } | Fault::BadReload { at_ms, .. } => (at_ms, at_ms),
        }
    }

    /// The execute node that it names.
    pub fn backend(&self) -> Option<&str> {
        match self {
            Fault::Crash { node: backend, .. }
            | Fault::Drain { node: backend, .. }
            | Fault::Silence { node: backend, .. }
            | Fault::Slow { node: backend, .. }
            | Fault::Neighbour { node: backend, .. } => Some(backend),
            _ => None,
        }
    }

    fn proxy(&self) -> Option<usize> {
        match self {
            Fault::BadReload { proxy, .. } | Fault::Restart { proxy, .. } | Fault::Kill { proxy, .. } => {
                Some(*proxy)
            }
            _ => None,
        }
    }

    /// What of it is out of range: the key, and why.
    fn wrong(&self) -> Option<(&'static str, String)> {
        let (at, until) = self.span();
        if until < at {
            return Some(("until_ms", format!("ends at {until}, before it starts at {at}")));
        }
        match self {
            Fault::Drain { at_ms, stop_ms, .. } if stop_ms < at_ms => {
                Some(("stop_ms", format!("ends at {stop_ms}, before it starts at {at_ms}")))
            }
            Fault::Drain { stop_ms, .. } if until < *stop_ms => {
                Some(("until_ms", format!("is back at {until}, before it stops at {stop_ms}")))
            }
            Fault::Slow { factor, .. } if !(1.0..=1e3).contains(factor) => {
                Some(("factor", format!("{factor} is not within 1 to 1000")))
            }
            Fault::Neighbour { share, .. } if !(0.0..=0.95).contains(share) => {
                Some(("share", format!("{share} is not within 0 to 0.95")))
            }
            Fault::Restart { at_ms, until_ms, .. } if until_ms - at_ms < 5_000 => {
                Some(("until_ms", "a planned stop takes up to 5000 ms".into()))
            }
            _ => None,
        }
    }
}

impl Script {
    /// Reads a script; a fault is one line that names the file, the line and the key.
    pub fn read(name: &str, text: &str) -> Result<Self, String> {
        let line = |at: usize| text.get(..at).unwrap_or(text).matches('\n').count() + 1;
        let fault = |key: &str, e: &toml::de::Error| {
            let at = line(e.span().map_or(0, |span| span.start));
            let key = if key.is_empty() || key == "." { String::new() } else { format!("{key}: ") };
            format!("{name}: line {at}: {key}{}", e.message().replace('\n', " "))
        };
        let deserializer = toml::Deserializer::parse(text).map_err(|e| fault("", &e))?;
        let script: Script = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let key = e.path().to_string();
            match literal_of(text, &key, e.inner().message()) {
                Some((at, within)) => format!("{name}: line {at}: {key}.{within}: {}", e.inner().message()),
                None => fault(&key, e.inner()),
            }
        })?;
        script.check().map_err(|(table, place, key, why)| {
            let at = place_of(text, table, place, key);
            let table = if table.is_empty() { String::new() } else { format!("{table}[{place}].") };
            format!("{name}: line {at}: {table}{key}: {why}")
        })?;
        Ok(script)
    }

    /// Prints it, so that it can be edited and read again.
    pub fn print(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }

    /// What is out of range: table, place in it, key, and why.
    fn check(&self) -> Result<(), (&'static str, usize, &'static str, String)> {
        let top = |good: bool, key, why: &str| if good { Ok(()) } else { Err(("", 0, key, why.to_string())) };
        top(self.format == FORMAT, "format", "this version reads format 1")?;
        top((1_000..=600_000).contains(&self.length_ms), "length_ms", "not within 1000 to 600000")?;
        top((16..=1_000_000).contains(&self.links.window), "window", "not within 16 to 1000000")?;
        top((0.0..=10.0).contains(&self.links.jitter), "jitter", "not within 0 to 10")?;
        top((0.0..=1.0).contains(&self.links.partial), "partial", "not within 0 to 1")?;
        top((0.0..=1.0).contains(&self.links.lossy), "lossy", "not within 0 to 1")?;
        top((0.01..=1.0).contains(&self.contract.cold_from), "cold_from", "not within 0.01 to 1")?;
        top(self.contract.deadline_ms >= 100, "deadline_ms", "under 100")?;
        top(!self.proxies.is_empty(), "proxy", "there is none")?;
        top(!self.backends.is_empty(), "node", "there is none")?;
        for (i, proxy) in self.proxies.iter().enumerate() {
            if proxy.zone > 2 {
                return Err(("proxy", i, "zone", format!("{} is not within 0 to 2", proxy.zone)));
            }
        }
        for (i, backend) in self.backends.iter().enumerate() {
            if backend.zone > 2 {
                return Err(("node", i, "zone", format!("{} is not within 0 to 2", backend.zone)));
            }
            if !(0.01..=100.0).contains(&backend.speed) {
                return Err(("node", i, "speed", format!("{} is not within 0.01 to 100", backend.speed)));
            }
            if self.backends[..i].iter().any(|other| other.name == backend.name) {
                return Err(("node", i, "name", format!("{} is there twice", backend.name)));
            }
        }
        for (i, client) in self.clients.iter().enumerate() {
            if client.zone > 2 {
                return Err(("submitter", i, "zone", format!("{} is not within 0 to 2", client.zone)));
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            if let Some(backend) =
                fault.backend().filter(|backend| self.backends.iter().all(|other| other.name != **backend))
            {
                return Err(("fault", i, "node", format!("there is no execute node {backend}")));
            }
            if let Some(proxy) = fault.proxy().filter(|&proxy| proxy >= self.proxies.len()) {
                return Err(("fault", i, "proxy", format!("there is no proxy {proxy}")));
            }
            if let Some((key, why)) = fault.wrong() {
                return Err(("fault", i, key, why));
            }
        }
        Ok(())
    }

    /// The faults, in a line each.
    pub fn faults_in_words(&self) -> String {
        let mut words = String::new();
        for fault in &self.faults {
            let _ = writeln!(words, "{fault:?}");
        }
        words
    }
}

/// A fault's table is read before its kind says what its keys are, and where in it something is wrong gets lost.
/// The line and the key of the value that the message quotes; without one, those of the table's kind.
fn literal_of(text: &str, path: &str, message: &str) -> Option<(usize, String)> {
    let place: usize = path.strip_prefix("fault[")?.strip_suffix(']')?.parse().ok()?;
    let literal = message.split('`').nth(1).unwrap_or_default();
    let tables = text.lines().enumerate().filter(|(_, line)| line.trim() == "[[fault]]");
    let (begin, _) = tables.clone().nth(place)?;
    let end = tables.clone().nth(place + 1).map_or(usize::MAX, |(at, _)| at);
    let keys = text.lines().enumerate().take(end).skip(begin + 1).filter_map(|(at, line)| {
        let (key, value) = line.split_once('=')?;
        Some((at + 1, key.trim().to_string(), value.trim().trim_matches('"').to_string()))
    });
    let found = keys.clone().find(|(_, _, value)| value == literal);
    let found = found.or_else(|| keys.clone().find(|(_, key, _)| key == literal));
    let found = found.or_else(|| keys.clone().find(|(_, key, _)| key == "kind"));
    found.map(|(at, key, _)| (at, key))
}

/// The line of a key in the so-manieth table of that name.
fn place_of(text: &str, table: &str, place: usize, key: &str) -> usize {
    let (mut seen, mut last) = (0, 1);
    let header = format!("[[{table}]]");
    for (i, line) in text.lines().enumerate() {
        if line.trim() == header {
            seen += 1;
            last = i + 1;
        }
        let within = if table.is_empty() { true } else { seen == place + 1 };
        if within && line.split('=').next().is_some_and(|name| name.trim() == key) {
            return i + 1;
        }
    }
    last
}
