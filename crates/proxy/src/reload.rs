//! Reloads the config at SIGHUP while the proxy runs.

use crate::config::ConfigFile;
use crate::core::Core;
use crate::source::service::DiscoveryService;
use pierloom_decision::Micros;
use pierloom_host::{Signals, TaskEnd};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;

/// A file that cannot be used may not be written completely yet, so it is read again at this interval.
const REREAD_INTERVAL_US: Micros = 100_000;
/// The file is read again for this long. What a new discovery reports must be obeyed four seconds after the
/// signal ([`MAX_ENDPOINTS_AGE_AFTER_MOVE_US`](crate::source::discovery::MAX_ENDPOINTS_AGE_AFTER_MOVE_US)).
const REREAD_PERIOD_US: Micros = 2_000_000;

/// Reloads the config at each SIGHUP. Each reload runs in a task of its own, so that a panic, which other
/// proxies with the same file may have too, ends that reload and no process.
pub async fn on_sighup(
    core: Rc<Core>,
    mut hangups: Signals,
    config_file: ConfigFile,
    discovery: watch::Sender<DiscoveryService>,
) {
    let config_file = Rc::new(RefCell::new(config_file));
    while hangups.recv().await.is_some() {
        let reload = reload(core.clone(), config_file.clone(), discovery.clone());
        if core.host.spawn(reload).await == TaskEnd::Aborted {
            tracing::error!(target: "reload", "the old config stays: the reload ended by a panic");
        }
    }
}

/// Reads the config again and publishes the discovery service that it names anew. Requests, their connections and the
/// learned state stay. Any other change of the file takes effect only at the next start.
async fn reload(
    core: Rc<Core>,
    config_file: Rc<RefCell<ConfigFile>>,
    discovery: watch::Sender<DiscoveryService>,
) {
    let (signalled_at, mut error_logged) = (core.now(), false);
    loop {
        let reloaded = config_file.borrow_mut().reload(&core.host);
        match reloaded {
            Ok(Some(address)) => {
                tracing::info!(target: "reload", "discovery is now at {address}");
                discovery.send_modify(|service| *service = service.followed_by(address));
                return;
            }
            Ok(None) => return,
            Err(error) if !std::mem::replace(&mut error_logged, true) => {
                tracing::error!(target: "reload", "the old config stays: {error}");
            }
            Err(_) if core.now() >= signalled_at + REREAD_PERIOD_US => return,
            Err(_) => {}
        }
        core.deadlines.until(core.now() + REREAD_INTERVAL_US).await;
    }
}
