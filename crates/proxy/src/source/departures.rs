//! Backends that an earlier discovery service reported as leaving, until the responsible service settles whether
//! they are back.

use super::endpoints::{Endpoint, Endpoints, EndpointsResponse};
use pierloom_decision::Micros;
use std::collections::BTreeMap;

/// Reports of earlier services that backends leave. A response that the responsible service may have made before
/// such a report does not bring the backend back: only one to a call that was sent after the report does.
#[derive(Default)]
pub struct Departures {
    /// When each backend was reported as leaving.
    reported_at: BTreeMap<String, Micros>,
    /// Entries of the responsible service that call such a backend ready, and may be older than the report.
    unsettled: BTreeMap<String, Endpoint>,
}

impl Departures {
    /// Records that an earlier service reported these backends as leaving.
    pub fn record(&mut self, backends: Vec<String>, now: Micros) {
        self.reported_at.extend(backends.into_iter().map(|backend| (backend, now)));
    }

    /// Whether a further response of the responsible service has to settle whether a backend is back.
    pub fn are_unsettled(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Withholds the entries of a response of the responsible service that may be older than a report, and adds
    /// those withheld before that this response settles.
    pub fn settle(
        &mut self,
        response: &mut EndpointsResponse,
        known: &Endpoints,
        asked_at: Micros,
        is_snapshot: bool,
    ) {
        // An entry is withheld only for a report.
        if self.reported_at.is_empty() {
            return;
        }
        let withheld = std::mem::take(&mut self.unsettled);
        if !is_snapshot {
            response.add_missing(withheld.into_values());
        }
        let reported_at = &self.reported_at;
        let may_be_older = |entry: &Endpoint| reported_at.get(entry.name()).is_some_and(|&at| asked_at <= at);
        let older = response.take_ready(may_be_older);
        if is_snapshot {
            response.add_missing(older.iter().filter_map(|entry| known.get(entry.name()).cloned()));
        }
        self.unsettled = older.into_iter().map(|entry| (entry.name().to_string(), entry)).collect();
        if self.unsettled.is_empty() {
            self.reported_at.clear();
        }
    }
}

#[cfg(test)]
mod tests;
