//! The config: the file named by LB_CONFIG, the environment variables that override it, and its reload.

use crate::source::discovery;
use crate::source::endpoints::EndpointsResponse;
use pierloom_decision::{Balancer, Settings};
use pierloom_host::Host;
use pierloom_wire::{self as wire, NameIndex};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// An error message of one line.
pub type ErrorMessage = String;

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
}

/// The config file as it is written.
#[derive(Deserialize)]
struct RawConfig {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: String,
    limits: Option<Limits>,
    #[serde(default, rename = "known")]
    initial_endpoints: EndpointsResponse,
    settings: serde_json::Value,
}

/// The complete config of a proxy.
pub struct Config {
    /// Name of the proxy, the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery, which reports the endpoints.
    pub discovery: SocketAddr,
    /// Address of the operators' console, if there is one.
    pub console: Option<SocketAddr>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoints as this proxy last knew them.
    pub initial_endpoints: EndpointsResponse,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, zones and report columns in the settings.
    pub names: Rc<NameIndex>,
    /// The file that the config was read from.
    pub source: ConfigFile,
}

/// A config file that can be read again.
pub struct ConfigFile {
    path: PathBuf,
    /// Address of discovery in the file, which LB_DISCOVERY may override.
    discovery: Option<String>,
}

impl ConfigFile {
    /// Reads the file again. Returns the address of discovery where the file names another than before, which
    /// then takes precedence over LB_DISCOVERY. A file that `serve` would not start with changes nothing.
    pub fn reload(&mut self, host: &Host) -> Result<Option<SocketAddr>, ErrorMessage> {
        let configured = read(host, &self.path)?.source.discovery;
        if configured == self.discovery {
            return Ok(None);
        }
        let discovery = match &configured {
            Some(text) => parse_address("discovery", text)?,
            None => resolve_address(host, "discovery", "LB_DISCOVERY", None)?,
        };
        self.discovery = configured;
        Ok(Some(discovery))
    }
}

/// Limit of descriptors where the file states none: the usual soft limit of a process.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// The address in the environment variable, or else the one that the file states.
fn resolve_address(
    host: &Host,
    name: &str,
    variable: &str,
    configured: Option<String>,
) -> Result<SocketAddr, ErrorMessage> {
    let text = host.env_var(variable).or(configured);
    let text = text.ok_or_else(|| format!("{name}: neither {variable} nor the config names an address"))?;
    parse_address(name, &text)
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, ErrorMessage> {
    text.parse().map_err(|_| format!("{name}: {text:?} is not an address"))
}

/// Reads the config file at `path`. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONSOLE take precedence over its
/// values.
pub fn read(host: &Host, path: &Path) -> Result<Config, ErrorMessage> {
    let mut bytes = host.read_file(path).map_err(|e| format!("config {}: {e}", path.display()))?;
    let file: RawConfig = simd_json::serde::from_slice(&mut bytes)
        .map_err(|e| format!("config {}: {e}", path.display()).replace('\n', " "))?;
    let (mut settings, names) = wire::parse_settings_value(file.settings)?;
    // The maximum age applies only if the proxy requests the endpoints. If an agent beside the proxy pushes
    // them, the proxy cannot learn of changes that the agent has not received, so no maximum age applies.
    settings.max_endpoints_age = settings.ask_for_list.then_some(discovery::MAX_ENDPOINTS_AGE_US);
    settings.max_endpoints_age_after_move = discovery::MAX_ENDPOINTS_AGE_AFTER_MOVE_US;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: {:?} is not hexadecimal", file.seed))?;
    // Settings that the decision module rejects are reported here, before any socket is opened.
    Balancer::new(settings.clone(), seed).map_err(|e| e.to_string())?;
    let source = ConfigFile { path: path.to_path_buf(), discovery: file.discovery.clone() };
    Ok(Config {
        name: host.env_var("LB_NAME").or(file.name).unwrap_or_else(|| "pierloom".into()),
        listen: resolve_address(host, "listen", "LB_LISTEN", file.listen)?,
        discovery: resolve_address(host, "discovery", "LB_DISCOVERY", file.discovery)?,
        console: host
            .env_var("LB_CONSOLE")
            .or(file.console)
            .map(|text| parse_address("console", &text))
            .transpose()?,
        seed,
        max_descriptors: file.limits.map_or(DEFAULT_MAX_DESCRIPTORS, |limits| limits.max_descriptors),
        initial_endpoints: file.initial_endpoints,
        settings,
        names: Rc::new(names),
        source,
    })
}
