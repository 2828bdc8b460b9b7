#![forbid(unsafe_code)]
#![deny(missing_docs)]
//! The decision module of the load balancer pierloom, for long-lived connections. It decides which requests
//! to admit, at which backend to place each connection, when to retry and when to give up. It does no I/O and
//! reads no clock: the host passes events and the current time to [`Balancer::handle`] and carries out the
//! actions that come back. [`api`] describes settings, events and actions.
//!
//! ```
//! use pierloom_decision::{Action, Balancer, Event, ListKind, Member, Request, Settings};
//!
//! let mut settings = Settings::default();
//! settings.classes[0].deadline = 1_200_000;
//! let mut balancer = Balancer::new(settings, 7).unwrap();
//! let mut actions = Vec::new();
//! let members = vec![Member::ready("10.0.0.1:7000"), Member::ready("10.0.0.2:7000")];
//! let list = Event::Members { kind: ListKind::Full, members: members.into() };
//! balancer.handle(0, list, &mut actions);
//! actions.clear();
//! let request = Request { id: 1, deadline: 1_200_000, ..Request::default() };
//! balancer.handle(10, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: 1, .. }));
//! ```

mod admission;
pub mod api;
mod endpoints;
mod fair_share;
mod freshness;
mod learned_state;
pub mod logic;
mod setup_limit;
mod state;
mod table;

pub use api::*;
pub use learned_state::{ClockOffset, LearnedState, with_clock_offset};
pub use logic::Balancer;

/// Keeps the example in the README compiling and running.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
