//! The front: what a protocol towards clients and backends has to provide.

pub mod lines;

use pierloom_decision::{BackendId, Micros, Request};

/// What a backend says in one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The connection stands.
    Up,
    /// Served to its end.
    Bye,
    /// Sent away politely.
    Move,
    /// Failed; it may have run.
    Error,
    /// Turned away unseen.
    Busy,
    /// The connection's load now; microseconds of work a second.
    Load(f64),
    /// The answer to a probe, with the report where it is on the same line.
    Pong(Vec<f64>),
    /// Anything else.
    Other,
}

/// A protocol between clients, this proxy and backends.
pub trait Protocol {
    /// Reads a client's first line.
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage;
    /// Reads a line of a backend's.
    fn parse_backend_line(&self, line: &[u8]) -> Reply;
    /// Reads a load report on a line of its own.
    fn parse_load_report(&self, line: &[u8]) -> Vec<f64>;
    /// Asks a backend for its load.
    fn load_query(&self) -> &'static [u8];
    /// The answer 'refused; come again after that time'.
    fn refusal(&self, wait: Option<Micros>) -> Vec<u8>;
    /// The answer 'failed'.
    fn failure(&self) -> Vec<u8>;
    /// The answer 'served to its end already'.
    fn served(&self) -> &'static [u8];
    /// Sends a client away whose connection stands.
    fn farewell(&self) -> &'static [u8];
}

/// A client's first line.
pub enum ClientMessage {
    /// A job.
    Request(Box<dyn ClientRequest>),
    /// Something else with its answer; another line may follow.
    Immediate(&'static [u8]),
    /// Not understood.
    Malformed,
}

/// What opens a job.
pub trait ClientRequest {
    /// What the module needs to know; its identity and deadline are the host's to set.
    fn request(&self) -> Request;
    /// What tells the job from all others.
    fn identity(&self) -> &str;
    /// How long the client waits for its answer.
    fn timeout(&self) -> Micros;
    /// The backend that holds the connection already.
    fn resume_backend(&self) -> Option<BackendId>;
    /// What a backend is sent, where this proxy waits so long for its answer.
    fn encode_for_backend(&self, wait: Micros) -> Vec<u8>;
}
