//! Small breakages round the unchanged proxy: the decision module in a wrapper, or the front. They exist for
//! experiments and tests only; the proxy's own program links nothing of this.

use pierloom_decision::{Action, BackendId, Balancer, Event, Member, MemberState, Micros};
use pierloom_proxy::protocol::{ClientMessage, Protocol, Reply};
use pierloom_proxy::{Components, DecisionModule};
use pierloom_world::net::InjectedDefect;
use pierloom_world::run::ComponentFactory;
use std::rc::Rc;
use std::str::FromStr;

/// A breakage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A refusal is written twice.
    AnswerTwice,
    /// The module never hears that an execute node drains.
    DrainIgnored,
    /// The module never hears that an execute node is gone.
    GoneIgnored,
    /// The module takes every execute node for one that has run for long.
    ColdIgnored,
    /// Refusals get lost.
    RefusalLost,
    /// Each claim is ordered a second time while the first is out.
    ClaimTwice,
    /// The module does not hear of a message without its answer.
    SilenceIgnored,
    /// The module does not ask for the list again.
    WatchForgotten,
    /// Moves are sent without a word.
    MoveMute,
    /// Moves lack the end of their line.
    MoveCutShort,
    /// The module panics at a load note now and then.
    PanicAtNote,
    /// Claims to a node that drains are ordered elsewhere a second late.
    AnswerLate,
    /// An opening loses its group on the way to the execute node.
    OpeningChanged,
    /// Bad openings are taken for silence.
    BadIgnored,
    /// Of sockets or timers.
    Net(InjectedDefect),
}

/// All of them, with their names.
pub const DEFECTS: [(&str, Defect); 20] = [
    ("answer-twice", Defect::AnswerTwice),
    ("drain-ignored", Defect::DrainIgnored),
    ("gone-ignored", Defect::GoneIgnored),
    ("cold-ignored", Defect::ColdIgnored),
    ("silence-ignored", Defect::SilenceIgnored),
    ("watch-forgotten", Defect::WatchForgotten),
    ("move-mute", Defect::MoveMute),
    ("move-cut-short", Defect::MoveCutShort),
    ("panic-at-note", Defect::PanicAtNote),
    ("opening-changed", Defect::OpeningChanged),
    ("reset-swallowed", Defect::Net(InjectedDefect::ResetSwallowed)),
    ("end-swallowed", Defect::Net(InjectedDefect::EndSwallowed)),
    ("wake-lost", Defect::Net(InjectedDefect::WakeLost)),
    ("close-lost", Defect::Net(InjectedDefect::CloseLost)),
    ("timer-late", Defect::Net(InjectedDefect::TimerLate)),
    ("byte-doubled", Defect::Net(InjectedDefect::ByteDoubled)),
    ("refusal-lost", Defect::RefusalLost),
    ("answer-late", Defect::AnswerLate),
    ("claim-twice", Defect::ClaimTwice),
    ("bad-ignored", Defect::BadIgnored),
];

/// Those that break a rule. The other four the proxy makes good by itself: its own answer at a job's deadline,
/// one claim at a time whatever is ordered, and the time that a submitter has to open its job.
pub const FOUND: [&str; 16] = [
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
            format!("there is no defect {text:?}; there are {}", names.join(", "))
        })
    }
}

impl Defect {
    /// What of it is planted in the proxies' sockets and timers.
    pub fn injected_defect(self) -> Option<InjectedDefect> {
        match self {
            Defect::Net(injected_defect) => Some(injected_defect),
            _ => None,
        }
    }

    /// Builds proxies that have it.
    pub fn component_factory(self) -> ComponentFactory {
        Rc::new(move |config| {
            let parts = Components::from_config(config)?;
            let module = Balancer::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
            let module = Box::new(Module { defect: self, inner: module, late: Vec::new(), notes: 0 });
            let front = Rc::new(Bent { defect: self, inner: parts.protocol });
            Ok(Components { module, protocol: front })
        })
    }
}

struct Module {
    defect: Defect,
    inner: Balancer,
    late: Vec<(u64, Action)>,
    notes: u64,
}

/// Tokens of timers that the module does not set.
const OWN_TOKENS: u64 = 1 << 60;

impl Module {
    /// What the list says, bent.
    fn member(&self, member: &Member) -> Member {
        let mut member = member.clone();
        match self.defect {
            Defect::DrainIgnored if member.state == MemberState::Draining => {
                member.state = MemberState::Ready
            }
            Defect::GoneIgnored if member.state == MemberState::Gone => member.state = MemberState::Ready,
            Defect::ColdIgnored => member.started = 0,
            _ => {}
        }
        member
    }
}

impl DecisionModule for Module {
    fn balancer(&self) -> &Balancer {
        &self.inner
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let event = match event {
            Event::Members { kind, members } => {
                Event::Members { kind, members: members.iter().map(|member| self.member(member)).collect() }
            }
            Event::Timer(token) if token >= OWN_TOKENS => {
                let due = self.late.iter().position(|(of, _)| *of == token);
                out.extend(due.map(|at| self.late.swap_remove(at).1));
                return;
            }
            Event::Measured(_, pierloom_decision::Measurement::Unanswered(_))
                if self.defect == Defect::SilenceIgnored =>
            {
                return;
            }
            Event::Measured(..) if self.defect == Defect::PanicAtNote => {
                self.notes += 1;
                assert!(!self.notes.is_multiple_of(50), "planted");
                event
            }
            event => event,
        };
        let begin = out.len();
        self.inner.handle(now, event, out);
        match self.defect {
            Defect::RefusalLost => out.retain(|action| !matches!(action, Action::Refuse { .. })),
            Defect::WatchForgotten => out.retain(|action| !matches!(action, Action::Subscribe)),
            Defect::ClaimTwice => {
                let again: Vec<Action> = out[begin..]
                    .iter()
                    .filter(|action| matches!(action, Action::Send { .. }))
                    .cloned()
                    .collect();
                out.extend(again);
            }
            Defect::AnswerLate => {
                let (refusals, rest) =
                    out.drain(..).partition(|action| matches!(action, Action::Refuse { .. }));
                *out = rest;
                let refusals: Vec<Action> = refusals;
                for refusal in refusals {
                    let token = OWN_TOKENS + self.late.len() as u64 + now;
                    self.late.push((token, refusal));
                    out.push(Action::Timer(5_000_000, token));
                }
            }
            _ => {}
        }
    }
}

struct Bent {
    defect: Defect,
    inner: Rc<dyn Protocol>,
}

struct BentOpening(Box<dyn pierloom_proxy::protocol::ClientRequest>);

impl pierloom_proxy::protocol::ClientRequest for BentOpening {
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
        let kept: Vec<&str> = line.trim_end().split(',').filter(|field| !field.starts_with("g=")).collect();
        format!("{}\r\n", kept.join(",")).into_bytes()
    }
}

impl Protocol for Bent {
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage {
        match self.inner.parse_client_line(line) {
            ClientMessage::Request(opening) if self.defect == Defect::OpeningChanged => {
                ClientMessage::Request(Box::new(BentOpening(opening)))
            }
            ClientMessage::Malformed if self.defect == Defect::BadIgnored => ClientMessage::Immediate(b""),
            first => first,
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
        let words = self.inner.refusal(wait);
        if self.defect == Defect::AnswerTwice { words.repeat(2) } else { words }
    }

    fn failure(&self) -> Vec<u8> {
        self.inner.failure()
    }

    fn served(&self) -> &'static [u8] {
        self.inner.served()
    }

    fn move_message(&self) -> &'static [u8] {
        match self.defect {
            Defect::MoveMute => b"",
            Defect::MoveCutShort => b"MOVE",
            _ => self.inner.move_message(),
        }
    }
}
