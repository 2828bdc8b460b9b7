//! The endpoint list: its form on the wire, and what the proxy knows of it.

use crate::core::Core;
use pierloom_decision::{Event, ListKind, Member, MemberState};
use pierloom_wire::NameIndex;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Upper limit of a backend's weight; a larger reported weight is lowered to it. No backend is larger than
/// this many of the smallest backends.
const MAX_WEIGHT: f64 = 1e6;

#[derive(Clone, Copy, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Ready,
    Draining,
    Gone,
}

/// A backend as discovery reports it.
#[derive(Clone, Deserialize, Serialize)]
pub struct Endpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u64,
    status: Status,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

/// An entry of a response. An entry that cannot be parsed does not affect the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Valid(Endpoint),
    Invalid {
        #[serde(default)]
        name: String,
    },
    Unreadable(IgnoredAny),
}

/// A response of discovery, with its valid entries separated from the invalid ones. The initial endpoints in
/// the config file have the same form.
#[derive(Deserialize, Default)]
#[serde(from = "RawResponse")]
pub struct EndpointsResponse {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
    /// Names of the backends whose entries are invalid; empty for an entry without a readable name.
    invalid: Vec<String>,
}

/// A response of discovery as it arrives.
#[derive(Deserialize)]
struct RawResponse {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<Entry>,
}

impl From<RawResponse> for EndpointsResponse {
    fn from(raw: RawResponse) -> Self {
        let mut response =
            EndpointsResponse { index: raw.index, snapshot: raw.snapshot, ..EndpointsResponse::default() };
        for entry in raw.endpoints {
            match entry {
                Entry::Valid(endpoint) => response.endpoints.push(endpoint),
                Entry::Invalid { name } => response.invalid.push(name),
                Entry::Unreadable(_) => response.invalid.push(String::new()),
            }
        }
        response
    }
}

impl Endpoint {
    /// Name of the backend.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the backend drains or is gone.
    fn leaves(&self) -> bool {
        self.status != Status::Ready
    }

    fn to_member(&self, names: &NameIndex) -> Member {
        Member {
            backend: self.name.as_str().into(),
            state: match self.status {
                Status::Ready => MemberState::Ready,
                Status::Draining => MemberState::Draining,
                Status::Gone => MemberState::Gone,
            },
            zone: names.zone(&self.zone),
            cell: self.group,
            // The bound keeps sums of weights finite, whatever discovery reports.
            weight: self.weight.unwrap_or(1.0).min(MAX_WEIGHT),
            started: self.since_ms.saturating_mul(1_000),
        }
    }
}

/// The known endpoints: all that discovery has reported so far, without the backends that are gone.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Endpoints {
    index: u64,
    /// Address of the discovery service that the index belongs to. `None` while the responsible service has not
    /// sent its list, and from a predecessor of a version that does not tell.
    #[serde(rename = "index_of", default)]
    index_source: Option<SocketAddr>,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Endpoints {
    /// Applies a response: a snapshot replaces all endpoints, a delta changes those that it names.
    fn apply(&mut self, update: &EndpointsResponse, kind: ListKind) {
        if kind == ListKind::Full {
            self.endpoints.clear();
        }
        self.index = update.index;
        update.endpoints.iter().for_each(|endpoint| self.apply_entry(endpoint));
    }

    /// Applies one entry.
    fn apply_entry(&mut self, endpoint: &Endpoint) {
        match endpoint.status {
            Status::Gone => self.endpoints.remove(&endpoint.name),
            _ => self.endpoints.insert(endpoint.name.clone(), endpoint.clone()),
        };
    }

    /// Applies what an earlier discovery service reported, and returns the entries that bind: backends that
    /// leave, by their status or because a snapshot leaves them out, and later starts. All else waits for the
    /// responsible service, whose index stays as it is.
    fn apply_superseded(&mut self, update: &EndpointsResponse, is_snapshot: bool) -> Vec<Endpoint> {
        let mut binding: Vec<Endpoint> =
            update.endpoints.iter().filter_map(|reported| self.binding_part(reported)).collect();
        if is_snapshot {
            binding.extend(self.left_out_of(update));
        }
        binding.iter().for_each(|endpoint| self.apply_entry(endpoint));
        binding
    }

    /// The entry of a backend, unless it is gone.
    pub fn get(&self, backend: &str) -> Option<&Endpoint> {
        self.endpoints.get(backend)
    }

    /// The part of an entry of an earlier discovery service that binds and is not known yet.
    fn binding_part(&self, reported: &Endpoint) -> Option<Endpoint> {
        let known = self.get(&reported.name);
        match reported.status {
            Status::Gone => known.map(|_| reported.clone()),
            Status::Draining => {
                let is_known = known.is_some_and(|known| known.status == Status::Draining);
                (!is_known).then(|| reported.clone())
            }
            Status::Ready => known
                .filter(|known| reported.since_ms > known.since_ms)
                .map(|known| Endpoint { since_ms: reported.since_ms, ..known.clone() }),
        }
    }

    /// The known backends that a snapshot does not name, as backends that are gone.
    fn left_out_of(&self, snapshot: &EndpointsResponse) -> Vec<Endpoint> {
        let valid = snapshot.entries().map(Endpoint::name);
        let named: BTreeSet<&str> = valid.chain(snapshot.invalid.iter().map(String::as_str)).collect();
        let left_out = self.endpoints.values().filter(|known| !named.contains(known.name.as_str()));
        left_out.map(|known| Endpoint { status: Status::Gone, ..known.clone() }).collect()
    }

    /// The index from which the service at `address` can be watched, if that service has sent its list.
    pub fn index_at(&self, address: SocketAddr) -> Option<u64> {
        (self.index_source == Some(address)).then_some(self.index)
    }

    /// Records which service the index belongs to; `None` when another service becomes responsible.
    pub fn set_index_source(&mut self, source: Option<SocketAddr>) {
        self.index_source = source;
    }

    /// Returns the endpoints as discovery would report them in a snapshot.
    pub fn snapshot(&self) -> EndpointsResponse {
        let endpoints = self.endpoints.values().cloned().collect();
        EndpointsResponse { index: self.index, snapshot: true, endpoints, invalid: Vec::new() }
    }
}

/// Passes a response of discovery to the core. The addresses go first, so that the proxy can connect to
/// whichever backend the decision module picks. An invalid entry leaves the backend that it names unchanged.
pub fn apply_endpoints(
    core: &Core,
    names: &NameIndex,
    endpoints: &RefCell<Endpoints>,
    mut update: EndpointsResponse,
    kind: ListKind,
) {
    for name in &update.invalid {
        tracing::warn!(target: "machine_list", "endpoint {name:?} has an invalid entry");
        let previous = endpoints.borrow().endpoints.get(name).cloned();
        update.endpoints.extend(previous.filter(|_| kind == ListKind::Full));
    }
    endpoints.borrow_mut().apply(&update, kind);
    for endpoint in &update.endpoints {
        match endpoint.address.parse() {
            Ok(address) => core.set_address(endpoint.name.as_str().into(), address),
            // A backend that is gone may be reported without an address.
            Err(_) if matches!(endpoint.status, Status::Gone) => {}
            Err(_) => {
                tracing::warn!(
                    target: "machine_list",
                    "endpoint {} has the invalid address {:?}",
                    endpoint.name,
                    endpoint.address
                )
            }
        }
    }
    let members = update.endpoints.iter().map(|endpoint| endpoint.to_member(names)).collect();
    core.dispatch_event(Event::Members { kind, members });
}

/// Passes what an earlier discovery service reported to the core, as far as it binds and is new. Addresses stay as
/// the responsible service reported them. Returns the names of all backends that it reported as leaving.
pub fn apply_superseded_endpoints(
    core: &Core,
    names: &NameIndex,
    endpoints: &RefCell<Endpoints>,
    update: &EndpointsResponse,
    is_snapshot: bool,
) -> Vec<String> {
    let binding = endpoints.borrow_mut().apply_superseded(update, is_snapshot);
    if !binding.is_empty() {
        dispatch_superseded(core, names, &binding);
    }
    let leaving = update.entries().chain(&binding).filter(|endpoint| endpoint.leaves());
    leaving.map(|endpoint| endpoint.name.clone()).collect()
}

/// Passes the binding entries of an earlier discovery service to the decision module.
fn dispatch_superseded(core: &Core, names: &NameIndex, binding: &[Endpoint]) {
    let backends: Vec<&str> = binding.iter().map(|endpoint| endpoint.name.as_str()).collect();
    tracing::info!(
        target: "machine_list",
        "a discovery service that is no longer responsible reported that backends leave or have restarted: {}",
        backends.join(" ")
    );
    let members = binding.iter().map(|endpoint| endpoint.to_member(names)).collect();
    core.dispatch_event(Event::Members { kind: ListKind::Superseded, members });
}

impl EndpointsResponse {
    /// The index from which to watch.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether the response says that it holds the whole list.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot
    }

    /// The valid entries.
    pub fn entries(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Adds entries of backends for which the response has no valid entry.
    pub fn add_missing(&mut self, entries: impl Iterator<Item = Endpoint>) {
        let named: BTreeSet<String> = self.entries().map(|endpoint| endpoint.name.clone()).collect();
        self.endpoints.extend(entries.filter(|entry| !named.contains(&entry.name)));
    }

    /// Removes and returns the entries of ready backends that `selects` returns true for.
    pub fn take_ready(&mut self, selects: impl Fn(&Endpoint) -> bool) -> Vec<Endpoint> {
        self.endpoints.extract_if(.., |entry| !entry.leaves() && selects(entry)).collect()
    }

    /// Whether the response names no backend with a valid entry.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
