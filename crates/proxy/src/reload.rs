//! A config that is replaced while the proxy runs.

use crate::config::ConfigFile;
use crate::core::Core;
use pierloom_decision::Micros;
use pierloom_host::Signals;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// A file that cannot be used may still be being written: it is read again this often...
const AGAIN: Micros = 100_000;
/// ...for this long. What a new discovery has to tell counts as told four seconds after the signal; microseconds.
const WRITTEN_BY: Micros = 2_000_000;

/// Reads the config again at each SIGHUP and hands on where discovery is now. Jobs, their connections and all
/// that the module learned stay; whatever else the file says takes a new start.
pub async fn on_sighup(
    core: Rc<Core>,
    mut hangups: Signals,
    mut source: ConfigFile,
    discovery: watch::Sender<SocketAddr>,
) {
    while hangups.recv().await.is_some() {
        let (told, mut complained) = (core.now(), false);
        loop {
            match source.reload(&core.host) {
                Ok(Some(address)) => {
                    tracing::info!(target: "reload", "discovery is now at {address}");
                    discovery.send_replace(address);
                    break;
                }
                Ok(None) => break,
                Err(fault) if !std::mem::replace(&mut complained, true) => {
                    tracing::error!(target: "reload", "the old config stays: {fault}");
                }
                Err(_) if core.now() >= told + WRITTEN_BY => break,
                Err(_) => {}
            }
            core.deadlines.until(core.now() + AGAIN).await;
        }
    }
}
