//! What the proxy is told at its start, LB_CONFIG and the variables beside it, and when its config was replaced.

use crate::source::discovery::{self, EndpointsResponse};
use pierloom_decision::{Balancer, Settings};
use pierloom_host::Host;
use pierloom_wire::{self as wire, NameIndex};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A complaint in one plain line.
pub type ErrorMessage = String;

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: String,
    limits: Option<Limits>,
    #[serde(default)]
    known: EndpointsResponse,
    settings: serde_json::Value,
}

/// Everything that `serve` needs.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the machine list is told.
    pub discovery: SocketAddr,
    /// Where staff call, if anywhere.
    pub console: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The machine list as this proxy last had it.
    pub initial_endpoints: EndpointsResponse,
    /// The module's settings.
    pub settings: Settings,
    /// The names that the settings use.
    pub names: Rc<NameIndex>,
    /// Where all this was read.
    pub source: ConfigFile,
}

/// Where the config came from.
pub struct ConfigFile {
    path: PathBuf,
    /// The address of discovery in the file, which LB_DISCOVERY may have overruled.
    discovery: Option<String>,
}

impl ConfigFile {
    /// Reads the file again: the address of discovery where the file names another than before, which then
    /// comes before LB_DISCOVERY. A file that `serve` would not start with changes nothing.
    pub fn reload(&mut self, host: &Host) -> Result<Option<SocketAddr>, ErrorMessage> {
        let stated = read(host, &self.path)?.source.discovery;
        if stated == self.discovery {
            return Ok(None);
        }
        let discovery = match &stated {
            Some(text) => parsed("discovery", text)?,
            None => address(host, "discovery", "LB_DISCOVERY", None)?,
        };
        self.discovery = stated;
        Ok(Some(discovery))
    }
}

/// Descriptors assumed where no limit is stated: the usual soft limit.
const USUAL_SOCKETS: usize = 1024;

fn address(
    host: &Host,
    what: &str,
    variable: &str,
    stated: Option<String>,
) -> Result<SocketAddr, ErrorMessage> {
    let text = host.env_var(variable).or(stated);
    let text = text.ok_or_else(|| format!("{what}: neither {variable} nor the config names an address"))?;
    parsed(what, &text)
}

fn parsed(what: &str, text: &str) -> Result<SocketAddr, ErrorMessage> {
    text.parse().map_err(|_| format!("{what}: {text:?} is no address"))
}

/// Reads the config file at `path`; LB_LISTEN, LB_DISCOVERY and LB_CONSOLE come before what it says.
pub fn read(host: &Host, path: &Path) -> Result<Config, ErrorMessage> {
    let mut bytes = host.read_file(path).map_err(|e| format!("config {}: {e}", path.display()))?;
    let file: File = simd_json::serde::from_slice(&mut bytes)
        .map_err(|e| format!("config {}: {e}", path.display()).replace('\n', " "))?;
    let (mut settings, names) = wire::parse_settings_value(file.settings)?;
    // An agent that pushes stands beside the proxy, and what it has not got is not told.
    settings.max_endpoints_age = settings.ask_for_list.then_some(discovery::MAX_ENDPOINTS_AGE_US);
    settings.max_endpoints_age_after_move = discovery::MAX_ENDPOINTS_AGE_AFTER_MOVE_US;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| format!("seed: {:?} is no hex", file.seed))?;
    // What the module itself would refuse is said here, before anything is opened.
    Balancer::new(settings.clone(), seed).map_err(|e| e.to_string())?;
    let source = ConfigFile { path: path.to_path_buf(), discovery: file.discovery.clone() };
    Ok(Config {
        name: host.env_var("LB_NAME").or(file.name).unwrap_or_else(|| "pierloom".into()),
        listen: address(host, "listen", "LB_LISTEN", file.listen)?,
        discovery: address(host, "discovery", "LB_DISCOVERY", file.discovery)?,
        console: host
            .env_var("LB_CONSOLE")
            .or(file.console)
            .map(|text| parsed("console", &text))
            .transpose()?,
        seed,
        max_descriptors: file.limits.map_or(USUAL_SOCKETS, |limits| limits.sockets),
        initial_endpoints: file.known,
        settings,
        names: Rc::new(names),
        source,
    })
}
