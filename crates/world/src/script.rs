//! The script of a run, in TOML: the proxies and backends, the clients and the faults. A seed generates one.
//! A script that was printed and edited runs without the seed.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Version of the script format that this program reads and writes.
pub const FORMAT: u32 = 1;

/// The script of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Version of the format; 1.
    pub format: u32,
    /// Seed of the order of events within one instant and of all random draws during the run.
    #[serde(rename = "order")]
    pub order_seed: u64,
    /// Length of the run; virtual milliseconds, 1,000 to 600,000.
    pub length_ms: u64,
    /// The network.
    pub links: LinkSpec,
    /// Values for the proxies' settings, the backends' slow start and the observer's rules.
    pub contract: Contract,
    /// The proxies.
    #[serde(rename = "proxy")]
    pub proxies: Vec<ProxySpec>,
    /// The backends.
    #[serde(rename = "node")]
    pub backends: Vec<BackendSpec>,
    /// The clients.
    #[serde(rename = "submitter", default)]
    pub clients: Vec<ClientSpec>,
    /// The faults to inject.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// Properties of the network links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// One-way delay within a zone; microseconds.
    pub same_us: u64,
    /// One-way delay between zones; microseconds.
    pub cross_us: u64,
    /// Each delay is lengthened by a random fraction of it, up to this value; 0 to 10.
    pub jitter: f64,
    /// Maximum number of bytes in transit or unread in one direction; 16 to 1,000,000.
    pub window: usize,
    /// Share of reads and writes that transfer only part of the bytes; 0 to 1.
    pub partial: f64,
    /// Share of resets that overtake segments sent before them; 0 to 1.
    pub lossy: f64,
}

/// Values for the proxies' settings, the backends' slow start and the observer's rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Time within which a request must have its final answer; milliseconds, at least 100.
    pub deadline_ms: u64,
    /// Target for the setup of a connection; milliseconds.
    pub target_ms: u64,
    /// Target for the delay of a message; milliseconds.
    pub message_ms: u64,
    /// Share of its capacity that a backend has when slow start begins; 0.01 to 1.
    #[serde(rename = "cold_from")]
    pub slow_start_min_share: f64,
    /// Duration of slow start; milliseconds.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
    /// Multiple of its current capacity beyond which a backend overloads...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ...if the excess lasts this long; milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
}

/// A proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// Zone; 0 to 2.
    pub zone: usize,
    /// Maximum number of descriptors that the process may have open.
    pub descriptors: usize,
    /// Descriptor limit in the proxy's config, if it differs from `descriptors`.
    #[serde(rename = "told_descriptors", default, skip_serializing_if = "Option::is_none")]
    pub configured_descriptors: Option<usize>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}

/// A backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Name, which the backend keeps after a restart.
    pub name: String,
    /// Zone; 0 to 2.
    pub zone: usize,
    /// Number of cores.
    pub cores: u32,
    /// Speed of a core relative to the reference core; 0.01 to 100.
    pub speed: f64,
    /// Number of connections of mean load that fully load a reference core.
    #[serde(rename = "per_core")]
    pub connections_per_core: f64,
    /// Maximum number of connections.
    #[serde(rename = "cap")]
    pub max_connections: usize,
    /// Maximum number of requests that wait for their setup.
    pub queue: usize,
    /// Work of one setup; milliseconds on a reference core.
    pub setup_ms: f64,
    /// Work of one message; milliseconds on a reference core.
    pub message_ms: f64,
    /// Interval at which the load report is renewed; milliseconds.
    pub report_ms: u64,
    /// Maximum relative error of load reports; 0 to 1.
    pub noise: f64,
    /// Whether the backend sends MOVE to its clients when it drains.
    #[serde(rename = "sends_away", default)]
    pub sends_move_on_drain: bool,
}

/// A client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSpec {
    /// Time at which the client starts; milliseconds from the start of the run.
    pub at_ms: u64,
    /// Zone; 0 to 2.
    pub zone: usize,
    /// Key of its requests.
    pub key: u64,
    /// Group of its requests.
    pub group: u64,
    /// Time for which the client wants to be connected; milliseconds.
    pub life_ms: u64,
    /// Load of its connection, as a multiple of the mean connection's load. Scripts state it, but it is not
    /// used: the backend model draws the load of each connection itself.
    pub load: f64,
    /// Number of retries after refusals or failures until the client pauses and starts a new request.
    #[serde(default)]
    pub retries: u32,
    /// The way in which the client violates the protocol, if it does.
    #[serde(rename = "bad", default, skip_serializing_if = "Option::is_none")]
    pub misbehavior: Option<Misbehavior>,
    /// Time after its request at which the client leaves without waiting for an answer; milliseconds.
    #[serde(rename = "leaves_ms", default, skip_serializing_if = "Option::is_none")]
    pub leave_after_ms: Option<u64>,
    /// Whether the client closes its connection with a reset.
    #[serde(default)]
    pub resets: bool,
    /// Interval at which a slow client reads; milliseconds.
    #[serde(rename = "reads_ms", default, skip_serializing_if = "Option::is_none")]
    pub read_interval_ms: Option<u64>,
}

/// Ways in which clients violate the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehavior {
    /// Sends nothing.
    Silent,
    /// Sends bytes that are not a valid line.
    Garbage,
    /// Sends a line without a line end.
    NoEnd,
    /// Names a class that does not exist.
    WrongClass,
    /// Sends a deadline that is not a number.
    WrongDeadline,
    /// Sends no request id.
    NoId,
    /// Sends half a command, then an end of stream.
    Half,
    /// Sends hundreds of commands at once.
    Commands,
    /// Sends a value of 100,000 bytes or more.
    Huge,
}

/// All misbehaviors, in the order in which the generator draws from them.
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

/// A fault and its times, in virtual milliseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A backend's process dies. It may restart under its name, in slow start.
    Crash {
        /// Name of the backend.
        node: String,
        /// Time of the crash.
        at_ms: u64,
        /// Time of the restart; without it the backend does not restart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<u64>,
    },
    /// A backend drains and stops. It may restart under its name, in slow start.
    Drain {
        /// Name of the backend.
        node: String,
        /// Time at which draining starts.
        at_ms: u64,
        /// Time at which the process ends; not before `at_ms`.
        stop_ms: u64,
        /// Time of the restart; without it the backend does not restart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<u64>,
    },
    /// A backend's machine is partitioned from the network and sends nothing.
    Silence {
        /// Name of the backend.
        node: String,
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Whether the backend's connections are reset when the partition ends.
        #[serde(default)]
        reset: bool,
    },
    /// A backend is slower than usual.
    Slow {
        /// Name of the backend.
        node: String,
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Factor of the slowdown; 1 to 1,000.
        factor: f64,
    },
    /// Another program uses a share of a backend's machine in every other second.
    Neighbour {
        /// Name of the backend.
        node: String,
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Share that the other program uses; 0 to 0.95.
        share: f64,
    },
    /// Load reports of all backends are delayed.
    LateReports {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Additional delay; milliseconds.
        by_ms: u64,
    },
    /// Discovery answers each call later.
    DiscoveryLate {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Additional delay; milliseconds.
        by_ms: u64,
    },
    /// Discovery answers with status 503.
    DiscoveryFails {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
    },
    /// Discovery is partitioned from the network and sends nothing.
    DiscoveryCut {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
    },
    /// Discovery's process is down.
    DiscoveryDown {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
    },
    /// Discovery moves to another address. All proxies get a new config and SIGHUP.
    Reload {
        /// Time of the reload.
        at_ms: u64,
    },
    /// A proxy gets an invalid config and SIGHUP.
    BadReload {
        /// Index of the proxy in the script.
        proxy: usize,
        /// Time of the reload.
        at_ms: u64,
    },
    /// A planned stop and start of a proxy.
    Restart {
        /// Index of the proxy in the script.
        proxy: usize,
        /// Time of SIGTERM.
        at_ms: u64,
        /// Time of the start; at least 5,000 ms after `at_ms`.
        until_ms: u64,
    },
    /// A kill and start of a proxy.
    Kill {
        /// Index of the proxy in the script.
        proxy: usize,
        /// Time of the kill.
        at_ms: u64,
        /// Time of the start.
        until_ms: u64,
    },
}

impl Fault {
    /// Start and end of the fault; milliseconds.
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

    /// Name of the backend that the fault affects, if any.
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

    /// Index of the proxy that the fault affects, if any.
    fn proxy(&self) -> Option<usize> {
        match self {
            Fault::BadReload { proxy, .. } | Fault::Restart { proxy, .. } | Fault::Kill { proxy, .. } => {
                Some(*proxy)
            }
            _ => None,
        }
    }

    /// The first invalid value of the fault: its key and the reason.
    fn first_error(&self) -> Option<(&'static str, String)> {
        let (at, until) = self.span();
        if until < at {
            return Some(("until_ms", format!("ends at {until}, before it starts at {at}")));
        }
        match self {
            Fault::Drain { at_ms, stop_ms, .. } if stop_ms < at_ms => {
                Some(("stop_ms", format!("ends at {stop_ms}, before it starts at {at_ms}")))
            }
            Fault::Drain { stop_ms, .. } if until < *stop_ms => {
                Some(("until_ms", format!("restarts at {until}, before it stops at {stop_ms}")))
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
    /// Parses a script. An error is one line that names the file, the line and the key.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, String> {
        let line_number = |offset: usize| text.get(..offset).unwrap_or(text).matches('\n').count() + 1;
        let format_error = |key: &str, e: &toml::de::Error| {
            let at = line_number(e.span().map_or(0, |span| span.start));
            let key = if key.is_empty() || key == "." { String::new() } else { format!("{key}: ") };
            format!("{file_name}: line {at}: {key}{}", e.message().replace('\n', " "))
        };
        let deserializer = toml::Deserializer::parse(text).map_err(|e| format_error("", &e))?;
        let script: Script = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let key = e.path().to_string();
            match find_in_fault(text, &key, e.inner().message()) {
                Some((at, key_in_fault)) => {
                    format!("{file_name}: line {at}: {key}.{key_in_fault}: {}", e.inner().message())
                }
                None => format_error(&key, e.inner()),
            }
        })?;
        script.check().map_err(|(table, index, key, reason)| {
            let at = line_of_key(text, table, index, key);
            let table = if table.is_empty() { String::new() } else { format!("{table}[{index}].") };
            format!("{file_name}: line {at}: {table}{key}: {reason}")
        })?;
        Ok(script)
    }

    /// Formats the script as TOML, which can be edited and read again.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }

    /// Checks all values. The error is the first invalid one: its table, the entry's index in the table, its
    /// key and the reason.
    fn check(&self) -> Result<(), (&'static str, usize, &'static str, String)> {
        let require = |valid: bool, key, reason: &str| {
            if valid { Ok(()) } else { Err(("", 0, key, reason.to_string())) }
        };
        require(self.format == FORMAT, "format", "this version reads format 1")?;
        require((1_000..=600_000).contains(&self.length_ms), "length_ms", "not within 1000 to 600000")?;
        require((16..=1_000_000).contains(&self.links.window), "window", "not within 16 to 1000000")?;
        require((0.0..=10.0).contains(&self.links.jitter), "jitter", "not within 0 to 10")?;
        require((0.0..=1.0).contains(&self.links.partial), "partial", "not within 0 to 1")?;
        require((0.0..=1.0).contains(&self.links.lossy), "lossy", "not within 0 to 1")?;
        require(
            (0.01..=1.0).contains(&self.contract.slow_start_min_share),
            "cold_from",
            "not within 0.01 to 1",
        )?;
        require(self.contract.deadline_ms >= 100, "deadline_ms", "less than 100")?;
        require(!self.proxies.is_empty(), "proxy", "at least one is required")?;
        require(!self.backends.is_empty(), "node", "at least one is required")?;
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
                return Err((
                    "node",
                    i,
                    "name",
                    format!("{} is used by another backend as well", backend.name),
                ));
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
                return Err(("fault", i, "node", format!("there is no backend {backend}")));
            }
            if let Some(proxy) = fault.proxy().filter(|&proxy| proxy >= self.proxies.len()) {
                return Err(("fault", i, "proxy", format!("there is no proxy {proxy}")));
            }
            if let Some((key, reason)) = fault.first_error() {
                return Err(("fault", i, key, reason));
            }
        }
        Ok(())
    }

    /// The faults as text, one line each.
    pub fn faults_as_text(&self) -> String {
        let mut text = String::new();
        for fault in &self.faults {
            let _ = writeln!(text, "{fault:?}");
        }
        text
    }
}

/// Finds the line and the key of the value or key that an error message about a fault quotes, and otherwise
/// those of the fault's `kind`. The deserializer reads a fault's whole table before the kind selects the
/// variant, so its error does not say where in the table the invalid value is.
fn find_in_fault(text: &str, path: &str, message: &str) -> Option<(usize, String)> {
    let index: usize = path.strip_prefix("fault[")?.strip_suffix(']')?.parse().ok()?;
    let quoted = message.split('`').nth(1).unwrap_or_default();
    let tables = text.lines().enumerate().filter(|(_, line)| line.trim() == "[[fault]]");
    let (begin, _) = tables.clone().nth(index)?;
    let end = tables.clone().nth(index + 1).map_or(usize::MAX, |(at, _)| at);
    let keys = text.lines().enumerate().take(end).skip(begin + 1).filter_map(|(at, line)| {
        let (key, value) = line.split_once('=')?;
        Some((at + 1, key.trim().to_string(), value.trim().trim_matches('"').to_string()))
    });
    let found = keys.clone().find(|(_, _, value)| value == quoted);
    let found = found.or_else(|| keys.clone().find(|(_, key, _)| key == quoted));
    let found = found.or_else(|| keys.clone().find(|(_, key, _)| key == "kind"));
    found.map(|(at, key, _)| (at, key))
}

/// Line number of a key in the table of that name and index. If the key is missing, this is the line of the
/// last table header of that name, and 1 without any.
fn line_of_key(text: &str, table: &str, index: usize, key: &str) -> usize {
    let (mut tables_seen, mut last_header) = (0, 1);
    let header = format!("[[{table}]]");
    for (i, line) in text.lines().enumerate() {
        if line.trim() == header {
            tables_seen += 1;
            last_header = i + 1;
        }
        let in_table = if table.is_empty() { true } else { tables_seen == index + 1 };
        if in_table && line.split('=').next().is_some_and(|name| name.trim() == key) {
            return i + 1;
        }
    }
    last_header
}
