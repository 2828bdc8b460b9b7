//! Reloads the config at SIGHUP while the proxy runs.

use crate::config::ConfigFile;
use crate::core::Core;
use pierloom_decision::Micros;
use pierloom_host::Signals;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// A file that cannot be used may not be written completely yet, so it is read again at this interval.
const REREAD_INTERVAL_US: Micros = 100_000;
/// The file is read again for this long. What a new discovery reports must be obeyed four seconds after the
/// signal ([`MAX_ENDPOINTS_AGE_AFTER_MOVE_US`](crate::source::discovery::MAX_ENDPOINTS_AGE_AFTER_MOVE_US)).
const REREAD_PERIOD_US: Micros = 2_000_000;

/// Reads the config again at each SIGHUP and publishes the new address of discovery. Requests, their
/// connections and the learned state stay. Any other change of the file takes effect only at the next start.
pub async fn on_sighup(
    core: Rc<Core>,
    mut hangups: Signals,
    mut config_file: ConfigFile,
    discovery: watch::Sender<SocketAddr>,
) {
    while hangups.recv().await.is_some() {
        let (signalled_at, mut error_logged) = (core.now(), false);
        loop {
            match config_file.reload(&core.host) {
                Ok(Some(address)) => {
                    tracing::info!(target: "reload", "discovery is now at {address}");
                    discovery.send_replace(address);
                    break;
                }
                Ok(None) => break,
                Err(error) if !std::mem::replace(&mut error_logged, true) => {
                    tracing::error!(target: "reload", "the old config stays: {error}");
                }
                Err(_) if core.now() >= signalled_at + REREAD_PERIOD_US => break,
                Err(_) => {}
            }
            core.deadlines.until(core.now() + REREAD_INTERVAL_US).await;
        }
    }
}
