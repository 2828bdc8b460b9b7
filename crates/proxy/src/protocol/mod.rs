//! The interface that a protocol towards clients and backends implements.

pub mod lines;

use pierloom_decision::{BackendId, Micros, Request};

/// A line from a backend.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The connection is established.
    Up,
    /// The request was served to its end.
    Bye,
    /// The client is asked to reconnect elsewhere.
    Move,
    /// The request failed. The backend may have executed it.
    Error,
    /// The backend refused the request without processing it.
    Busy,
    /// The connection's current load, in microseconds of work per second.
    Load(f64),
    /// The answer to a probe, with the load report if that is on the same line.
    Pong(Vec<f64>),
    /// Any other line.
    Other,
}

/// A protocol between clients, this proxy and backends.
pub trait Protocol {
    /// Parses a line from a client that has not sent a request yet.
    fn parse_client_line(&self, line: &[u8]) -> ClientMessage;
    /// Parses a line from a backend.
    fn parse_backend_line(&self, line: &[u8]) -> Reply;
    /// Parses a load report on a line of its own.
    fn parse_load_report(&self, line: &[u8]) -> Vec<f64>;
    /// The line that asks a backend for its load.
    fn load_query(&self) -> &'static [u8];
    /// The answer that refuses a request, with the time after which the client may retry, if any.
    fn refusal(&self, retry_after: Option<Micros>) -> Vec<u8>;
    /// The answer that a request has failed.
    fn failure(&self) -> Vec<u8>;
    /// The answer that a request has already been served to its end.
    fn served(&self) -> &'static [u8];
    /// The move message: the line that asks a client with an established connection to reconnect elsewhere.
    fn move_message(&self) -> &'static [u8];
}

/// A line from a client that has not sent a request yet.
pub enum ClientMessage {
    /// A request.
    Request(Box<dyn ClientRequest>),
    /// Another valid line, with the answer to it. Further lines may follow.
    Immediate(&'static [u8]),
    /// A line that cannot be parsed.
    Malformed,
}

/// A request as a client sends it.
pub trait ClientRequest {
    /// The request for the decision module. The caller sets its id and deadline.
    fn request(&self) -> Request;
    /// The client's identifier of the request, which no other active request shares.
    fn identity(&self) -> &str;
    /// How long the client waits for an answer.
    fn timeout(&self) -> Micros;
    /// The backend that already holds the connection, if the client resumes one.
    fn resume_backend(&self) -> Option<BackendId>;
    /// The line to send to a backend. `timeout` is how long this proxy waits for the backend's answer.
    fn encode_for_backend(&self, timeout: Micros) -> Vec<u8>;
}
