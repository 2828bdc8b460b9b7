//! The watch of the discovery service: asks for the endpoint list, then for its changes.

use super::departures::Departures;
use super::discovery_call::{
    CallError, CallResponse, LateCalls, PendingCall, Query, RequestSender, WATCH_HOLD_MS, call_discovery,
};
use super::endpoints::{Endpoints, apply_endpoints, apply_superseded_endpoints};
use super::service::DiscoveryService;
use crate::core::Core;
use pierloom_decision::{Event, ListKind, Micros};
use pierloom_wire::NameIndex;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::watch;

/// A change at discovery must be obeyed once discovery has had it this long, whether or not it has reached
/// the proxy. The platform's protocol sets the value.
pub const MAX_ENDPOINTS_AGE_US: Micros = 6_000_000;
/// The same limit after SIGHUP named another discovery address.
pub const MAX_ENDPOINTS_AGE_AFTER_MOVE_US: Micros = 4_000_000;
/// Time that a held call may take beyond its hold. With 300 callers this is seldom more than 10 ms, but up to
/// a second while all callers reconnect at once.
const HOLD_SLACK_US: Micros = 1_000_000;
/// Time limit for a call that opens a watch, including its wait in discovery's queue behind the calls of all
/// other proxies. After this limit another call is made beside the first. Discovery itself ends a call that
/// has waited too long. The limit is what is left of [`MAX_ENDPOINTS_AGE_US`] after a watch that went silent.
const WATCH_OPEN_TIMEOUT_US: Micros = MAX_ENDPOINTS_AGE_US - WATCH_HOLD_MS * 1_000 - HOLD_SLACK_US;
/// Delay after a failed call where the endpoints are pushed. The delay is short, since the proxy then calls
/// an agent of its own, which no other proxy calls.
const PUSH_RETRY_DELAY_US: Micros = 100_000;

/// The outcome of a wait for discovery.
enum WaitOutcome {
    Received(CallResponse),
    Failed(CallError),
    /// Another discovery service is responsible.
    DiscoveryMoved,
    /// The next call is due.
    CallDue,
}

/// The watch of one discovery service. It is replaced as a whole when another service becomes responsible, so
/// that no index and no connection outlasts the service that it came from.
struct ServiceWatch {
    service: DiscoveryService,
    /// The last index received; `None` before the first response of this service, which has to be a whole list.
    from_index: Option<u64>,
    kept_sender: Option<RequestSender>,
    /// What earlier services have reported since this one became responsible.
    departures: Departures,
}

impl ServiceWatch {
    /// What the next call asks for. A call that has to settle whether backends are back is not held.
    fn next_query(&self) -> Query {
        let hold_ms = if self.departures.are_unsettled() { 0 } else { WATCH_HOLD_MS };
        Query { service: self.service, from_index: self.from_index, hold_ms }
    }

    /// The watch of a service that has sent nothing yet.
    fn new(service: DiscoveryService) -> Self {
        ServiceWatch { service, from_index: None, kept_sender: None, departures: Departures::default() }
    }
}

/// The state of watching discovery.
struct Watcher<'a> {
    core: &'a Core,
    names: &'a NameIndex,
    endpoints: &'a RefCell<Endpoints>,
    service_changes: watch::Receiver<DiscoveryService>,
    current: ServiceWatch,
    late_calls: LateCalls<'a>,
}

/// Watches discovery, and follows it to a new service. With a known index, the watch continues from that
/// index once the decision module asks for a call; without one, a snapshot is requested at once. After a
/// move of discovery a snapshot is requested at once too, whatever is left of a backoff, and until it has
/// arrived every call to the new service asks for one.
///
/// Where the proxy asks for endpoints, the decision module decides whether and when to call again after a
/// failure. Where endpoints are pushed, the changes that the agent beside this proxy has must be obeyed
/// whether or not a watch is open. A watch is therefore opened at the start, and again soon after each one
/// that ended.
///
/// A call that times out counts as failed, and another one follows. The connection of the late call is still
/// read until the responsible service answers, and so is that of a call to an earlier service: what discovery
/// has written there counts as received. Besides, an abandoned call keeps its place in discovery's
/// queue: if all proxies abandoned their queued calls, discovery would be kept busy with calls whose
/// responses no proxy reads.
pub async fn watch(
    core: Rc<Core>,
    names: Rc<NameIndex>,
    endpoints: Rc<RefCell<Endpoints>>,
    mut service_changes: watch::Receiver<DiscoveryService>,
    from_index: Option<u64>,
) {
    let service = *service_changes.borrow_and_update();
    let (core, names, endpoints) = (&*core, &*names, &*endpoints);
    let current = ServiceWatch { from_index, ..ServiceWatch::new(service) };
    let late_calls = LateCalls::default();
    let mut watcher = Watcher { core, names, endpoints, service_changes, current, late_calls };
    let wait_first = from_index.is_some() && core.settings().ask_for_list;
    let mut outcome = if wait_first { watcher.wait_for_next_call().await } else { WaitOutcome::CallDue };
    loop {
        outcome = match outcome {
            WaitOutcome::Received(response) => {
                watcher.apply_response(response);
                watcher.make_call().await
            }
            WaitOutcome::Failed(CallError { reachable, reason }) => {
                tracing::warn!(target: "machine_list", "call to discovery failed: {reason}");
                core.clear_list_request();
                let kind = if reachable { ListKind::Failed } else { ListKind::Unreachable };
                core.dispatch_event(Event::Members { kind, members: [].into() });
                watcher.wait_for_next_call().await
            }
            WaitOutcome::DiscoveryMoved => {
                core.dispatch_event(Event::Members { kind: ListKind::DiscoveryMoved, members: [].into() });
                let service = *watcher.service_changes.borrow_and_update();
                watcher.current = ServiceWatch::new(service);
                endpoints.borrow_mut().set_index_source(None);
                watcher.make_call().await
            }
            WaitOutcome::CallDue => watcher.make_call().await,
        }
    }
}

impl<'a> Watcher<'a> {
    /// Applies a response of the responsible service.
    fn apply_response(&mut self, response: CallResponse) {
        let CallResponse { mut update, is_snapshot, asked_at, sender, .. } = response;
        self.current.departures.settle(&mut update, &self.endpoints.borrow(), asked_at, is_snapshot);
        (self.current.from_index, self.current.kept_sender) = (Some(update.index()), Some(sender));
        self.late_calls = LateCalls::default();
        self.endpoints.borrow_mut().set_index_source(Some(self.current.service.address()));
        apply_endpoints(
            self.core,
            self.names,
            self.endpoints,
            update,
            if is_snapshot { ListKind::Full } else { ListKind::Delta },
        );
    }

    /// Handles the response to a late call, and returns it if it is from the responsible service. Of an earlier
    /// service's response only that counts which restricts the use of a backend. That service is watched further
    /// while it still answers, until the responsible one answers.
    fn handle_late(&mut self, response: CallResponse) -> Option<CallResponse> {
        if response.service == self.current.service {
            return Some(response);
        }
        let CallResponse { update, is_snapshot, service, sender, .. } = response;
        let core = self.core;
        let leaving = apply_superseded_endpoints(core, self.names, self.endpoints, &update, is_snapshot);
        self.current.departures.record(leaving, core.now());
        let query = Query { service, from_index: Some(update.index()), hold_ms: WATCH_HOLD_MS };
        let next_call = Box::pin(call_discovery(core, Some(sender), query));
        self.late_calls.0.push((core.now(), next_call));
        None
    }

    /// Makes a call. If a late call is answered first, the watch continues there and this call is dropped.
    async fn make_call(&mut self) -> WaitOutcome {
        let (core, started_at) = (self.core, self.core.now());
        let open_sender = self.current.kept_sender.take().filter(|sender| !sender.is_closed());
        let timeout =
            if open_sender.is_some() { WATCH_HOLD_MS * 1_000 + HOLD_SLACK_US } else { WATCH_OPEN_TIMEOUT_US };
        let mut pending_call: PendingCall<'a> =
            Box::pin(call_discovery(core, open_sender, self.current.next_query()));
        let mut timed_out = pin!(core.deadlines.until(started_at + timeout));
        let outcome = loop {
            tokio::select! {
                biased;
                result = &mut pending_call => {
                    return result.map_or_else(WaitOutcome::Failed, WaitOutcome::Received)
                }
                late = self.late_calls.next_response() => if let Some(response) = self.handle_late(late) {
                    return WaitOutcome::Received(response);
                },
                Ok(()) = self.service_changes.changed() => break WaitOutcome::DiscoveryMoved,
                () = &mut timed_out => {
                    let reason = format!("timeout after {} ms", timeout / 1_000);
                    break WaitOutcome::Failed(CallError::at_stage("no response", reason));
                }
            }
        };
        self.late_calls.0.retain(|(started_at, _)| core.now() < started_at + core.settings().ask_within);
        self.late_calls.0.push((started_at, pending_call));
        outcome
    }

    /// Waits until the next call is due.
    async fn wait_for_next_call(&mut self) -> WaitOutcome {
        let core = self.core;
        let mut call_due = pin!(async {
            match core.settings().ask_for_list {
                true => core.list_requested().await,
                false => core.deadlines.until(core.now() + PUSH_RETRY_DELAY_US).await,
            }
        });
        loop {
            tokio::select! {
                biased;
                late = self.late_calls.next_response() => if let Some(response) = self.handle_late(late) {
                    return WaitOutcome::Received(response);
                },
                Ok(()) = self.service_changes.changed() => return WaitOutcome::DiscoveryMoved,
                () = &mut call_due => return WaitOutcome::CallDue,
            }
        }
    }
}
