//! Defects planted around the unchanged proxy, by wrapping its decision module or its protocol. They serve
//! experiments and tests only: the proxy's own program links none of this code.

use pierloom_decision::{Action, BackendId, Balancer, Event, Member, MemberState, Micros};
use pierloom_proxy::protocol::{ClientMessage, Protocol, Reply};
use pierloom_proxy::{Components, DecisionModule};
use pierloom_world::net::InjectedDefect;
use pierloom_world::run::ComponentFactory;
use std::rc::Rc;
use std::str::FromStr;

/// A defect that can be planted in a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A refusal is written twice.
    RefusalTwice,
    /// The decision module sees a draining backend as ready.
    DrainIgnored,
    /// The decision module sees a backend that is gone as ready.
    GoneIgnored,
    /// The decision module sees every backend as started long ago, so that it applies no slow start.
    SlowStartIgnored,
    /// The decision module's refusals are dropped.
    RefusalLost,
    /// Each `Send` action is issued twice: the second attempt is requested while the first is in progress.
    AttemptTwice,
    /// The decision module receives no `Measurement::Unanswered`, which reports a message without an answer.
    UnansweredIgnored,
    /// The decision module's subscriptions to endpoint changes are dropped.
    SubscribeLost,
    /// A client is moved without a MOVE line.
    MoveMissing,
    /// The MOVE line lacks its line end.
    MoveCutShort,
    /// The decision module panics at every 50th measurement.
    PanicAtMeasurement,
    /// Refusals are written 5 s late.
    RefusalLate,
    /// A request reaches the backend without its group.
    GroupRemoved,
    /// A malformed request is answered with nothing instead of an error.
    MalformedIgnored,
    /// A defect of the proxy's sockets or timers.
    SocketOrTimer(InjectedDefect),
}

/// All defects, each with its name on the command line.
pub const DEFECTS: [(&str, Defect); 20] = [
    ("answer-twice", Defect::RefusalTwice),
    ("drain-ignored", Defect::DrainIgnored),
    ("gone-ignored", Defect::GoneIgnored),
    ("cold-ignored", Defect::SlowStartIgnored),
    ("silence-ignored", Defect::UnansweredIgnored),
    ("watch-forgotten", Defect::SubscribeLost),
    ("move-mute", Defect::MoveMissing),
    ("move-cut-short", Defect::MoveCutShort),
    ("panic-at-note", Defect::PanicAtMeasurement),
    ("opening-changed", Defect::GroupRemoved),
    ("reset-swallowed", Defect::SocketOrTimer(InjectedDefect::ResetSwallowed)),
    ("end-swallowed", Defect::SocketOrTimer(InjectedDefect::EndSwallowed)),
    ("wake-lost", Defect::SocketOrTimer(InjectedDefect::WakeLost)),
    ("close-lost", Defect::SocketOrTimer(InjectedDefect::CloseLost)),
    ("timer-late", Defect::SocketOrTimer(InjectedDefect::TimerLate)),
    ("byte-doubled", Defect::SocketOrTimer(InjectedDefect::ByteDoubled)),
    ("refusal-lost", Defect::RefusalLost),
    ("answer-late", Defect::RefusalLate),
    ("claim-twice", Defect::AttemptTwice),
    ("bad-ignored", Defect::MalformedIgnored),
];

/// Names of the defects that break a rule. The proxy compensates for the other four. At a request's deadline
/// the proxy itself answers the client (`refusal-lost`, `answer-late`). The proxy runs one attempt of a
/// request at a time, even if the decision module issues a second one (`claim-twice`). The proxy limits the
/// time that a client has to send its request (`bad-ignored`).
pub const DETECTED_DEFECTS: [&str; 16] = [
    "answer-twice",
    "drain-ignored",
    "gone-ignored",
    "cold-ignored",
    "silence-ignored",
    "watch-forgotten",
    "move-mute",
    "move-cut-short",
    "panic-at-note",
    "opening-changed",
    "reset-swallowed",
    "end-swallowed",
    "wake-lost",
    "close-lost",
    "timer-late",
    "byte-doubled",
];

impl FromStr for Defect {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = DEFECTS.iter().find(|(name, _)| *name == text).map(|(_, defect)| *defect);
        found.ok_or_else(|| {
            let names: Vec<&str> = DEFECTS.iter().map(|(name, _)| *name).collect();
            format!("unknown defect {text:?}; known defects: {}", names.join(", "))
        })
    }
}

impl Defect {
    /// The defect for the proxies' sockets and timers, if this is one of those.
    pub fn injected_defect(self) -> Option<InjectedDefect> {
        match self {
            Defect::SocketOrTimer(injected_defect) => Some(injected_defect),
            _ => None,
        }
    }

    /// A factory of proxy components that have this defect.
    pub fn component_factory(self) -> ComponentFactory {
        Rc::new(move |config| {
            let components = Components::from_config(config)?;
            let balancer =
                Balancer::new(config.settings.clone(), config.seed).map_err(|error| error.to_string())?;
            let module = Box::new(DefectiveModule {
                defect: self,
                inner: balancer,
                delayed_refusals: Vec::new(),
                measurements: 0,
            });
            let defective_protocol = Rc::new(DefectiveProtocol { defect: self, inner: components.protocol });
            Ok(Components { module, protocol: defective_protocol })
        })
    }
}

/// A decision module with a defect.
struct DefectiveModule {
    defect: Defect,
    inner: Balancer,
    /// Refusals to be written later, each with the token of its timer.
    delayed_refusals: Vec<(u64, Action)>,
    /// Measurements received so far.
    measurements: u64,
}

/// Lowest timer token that [`DefectiveModule`] sets for itself. The wrapped module sets timers with smaller
/// tokens only.
const MIN_WRAPPER_TIMER_TOKEN: u64 = 1 << 60;
/// Delay of a refusal under [`Defect::RefusalLate`].
const REFUSAL_DELAY_US: Micros = 5_000_000;
/// Measurements from one panic to the next under [`Defect::PanicAtMeasurement`].
const MEASUREMENTS_PER_PANIC: u64 = 50;

impl DefectiveModule {
    /// An endpoint list member as the wrapped module receives it.
    fn alter_member(&self, member: &Member) -> Member {
        let mut member = member.clone();
        match self.defect {
            Defect::DrainIgnored if member.state == MemberState::Draining => {
                member.state = MemberState::Ready
            }
            Defect::GoneIgnored if member.state == MemberState::Gone => member.state = MemberState::Ready,
            Defect::SlowStartIgnored => member.started = 0,
            _ => {}
        }
        member
    }
}

impl DecisionModule for DefectiveModule {
    fn balancer(&self) -> &Balancer {
        &self.inner
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let event = match event {
            Event::Members { kind, members } => Event::Members {
                kind,
                members: members.iter().map(|member| self.alter_member(member)).collect(),
            },
            Event::Timer(token) if token >= MIN_WRAPPER_TIMER_TOKEN => {
                let due = self.delayed_refusals.iter().position(|(due_token, _)| *due_token == token);
                out.extend(due.map(|index| self.delayed_refusals.swap_remove(index).1));
                return;
            }
            Event::Measured(_, pierloom_decision::Measurement::Unanswered(_))
                if self.defect == Defect::UnansweredIgnored =>
            {
                return;
            }
            Event::Measured(..) if self.defect == Defect::PanicAtMeasurement => {
                self.measurements += 1;
                assert!(!self.measurements.is_multiple_of(MEASUREMENTS_PER_PANIC), "planted");
                event
            }
            event => event,
        };
        let first_new_action = out.len();
        self.inner.handle(now, event, out);
        match self.defect {
            Defect::RefusalLost => out.retain(|action| !matches!(action, Action::Refuse { .. })),
            Defect::SubscribeLost => out.retain(|action| !matches!(action, Action::Subscribe)),
            Defect::AttemptTwice => {
                let duplicates: Vec<Action> = out[first_new_action..]
                    .iter()
                    .filter(|action| matches!(action, Action::Send { .. }))
                    .cloned()
                    .collect();
                out.extend(duplicates);
            }
            Defect::RefusalLate => {
                let (refusals, rest) =
                    out.drain(..).partition(|action| matches!(action, Action::Refuse { .. }));
                *out = rest;
                let refusals: Vec<Action> = refusals;
                for refusal in refusals {
                    let token = MIN_WRAPPER_TIMER_TOKEN + self.delayed_refusals.len() as u64 + now;
                    self.delayed_refusals.push((token, refusal));
                    out.push(Action::Timer(REFUSAL_DELAY_US, token));
                }
            }
            _ => {}
        }
    }
}

/// A protocol with a defect.
struct DefectiveProtocol {
    defect: Defect,
    inner: Rc<dyn Protocol>,
}

/// A request that is encoded without its group.
struct RequestWithoutGroup(Box<dyn pierloom_proxy::protocol::ClientRequest>);

impl pierloom_proxy::protocol::ClientRequest for RequestWithoutGroup {
    fn request(&self) -> pierloom_decision::Request {
        self.0.request()
    }

    fn identity(&self) -> &str {
        self.0.identity()
    }

    fn timeout(&self) -> Micros {
        self.0.timeout()
    }

    fn resume_backend(&self) -> Option<BackendId> {
        self.0.resume_backend()
    }

    fn encode_for_backend(&self, wait: Micros) -> Vec<u8> {
        let line = String::from_utf8_lossy(&self.0.encode_for_backend(wait)).into_owned();
        let fields: Vec<&str> = line.trim_end().split(',').filter(|field| !field.starts_with("g=")).collect();
        format!("{}\r\n", fields.join(",")).into_bytes()
    }
}

impl Protocol for DefectiveProtocol {
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage {
        match self.inner.parse_client_line(line) {
            ClientMessage::Request(request) if self.defect == Defect::GroupRemoved => {
                ClientMessage::Request(Box::new(RequestWithoutGroup(request)))
            }
            ClientMessage::Malformed if self.defect == Defect::MalformedIgnored => {
                ClientMessage::Immediate(b"")
            }
            message => message,
        }
    }

    fn parse_backend_line(&self, line: &[u8]) -> Reply {
        self.inner.parse_backend_line(line)
    }

    fn parse_load_report(&self, line: &[u8]) -> Vec<f64> {
        self.inner.parse_load_report(line)
    }

    fn load_query(&self) -> &'static [u8] {
        self.inner.load_query()
    }

    fn refusal(&self, wait: Option<Micros>) -> Vec<u8> {
        let line = self.inner.refusal(wait);
        if self.defect == Defect::RefusalTwice { line.repeat(2) } else { line }
    }

    fn failure(&self) -> Vec<u8> {
        self.inner.failure()
    }

    fn served(&self) -> &'static [u8] {
        self.inner.served()
    }

    fn move_message(&self) -> &'static [u8] {
        match self.defect {
            Defect::MoveMissing => b"",
            Defect::MoveCutShort => b"MOVE",
            _ => self.inner.move_message(),
        }
    }
}
