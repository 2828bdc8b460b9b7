//! Config files of proxies.

use std::ffi::OsStr;
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The default settings of these tests.
pub const SETTINGS: &str = r#"{"balancers":1,"zone":"a","zones":["a"],"membership-mode":"ask","weights":"nominal",
 "bounds":{"max-attempts":4,"connect-timeout":0.2,"retry-after":true,"max-retry-after":2.0},
 "classes":[{"name":"feed","target":0.8,"deadline":4.8,"effect":"repeatable","group":"all"}],
 "feedback":{"columns":["x0","svc_ms"],"how":"probe"},
 "family-info":{"groups":true,"message-aim":[0.06]}}"#;

/// A config file in its own folder, which is removed when the value is dropped.
pub struct ConfigFile(PathBuf);

impl Deref for ConfigFile {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl AsRef<Path> for ConfigFile {
    fn as_ref(&self) -> &Path {
        &self.0
    }
}

impl AsRef<OsStr> for ConfigFile {
    fn as_ref(&self) -> &OsStr {
        self.0.as_ref()
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.0.parent().unwrap());
    }
}

/// Writes a config file into its own folder. No other call, in this process or another one that runs at the
/// same time, uses that folder.
pub fn write_config_file(name: &str, text: &str) -> ConfigFile {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{process}-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    std::fs::write(&path, text).unwrap();
    ConfigFile(path)
}

/// The text of a config file with this discovery address, descriptor limit, endpoint entries and settings.
pub fn config_text(
    discovery: SocketAddr,
    configured_descriptors: u32,
    entries: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"p0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"00000000000000a7",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{configured_descriptors}}},
 "known":{{"index":1,"snapshot":true,"endpoints":[{entries}]}},"settings":{settings}}}"#
    )
}
