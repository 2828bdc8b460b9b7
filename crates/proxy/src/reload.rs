//! A config that is replaced while the proxy runs.

use crate::config::Source;
use pierloom_host::{Host, Signals};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Reads the config again at each SIGHUP and hands on where discovery is now. Jobs, their connections and all
/// that the module learned stay; whatever else the file says takes a new start.
pub async fn on_sighup(
    host: Host,
    mut hangups: Signals,
    mut source: Source,
    discovery: watch::Sender<SocketAddr>,
) {
    while hangups.recv().await.is_some() {
        match source.reread(&host) {
            Ok(Some(address)) => {
                tracing::info!(target: "reload", "discovery is now at {address}");
                discovery.send_replace(address);
            }
            Ok(None) => {}
            Err(fault) => tracing::error!(target: "reload", "the old config stays: {fault}"),
        }
    }
}
