#![forbid(unsafe_code)]
//! Simulated worlds that test the proxy: deterministic on a virtual clock (`run`), or in real time on sockets
//! (`real`).
//!
//! A seeded world runs the production network code on a virtual clock and a simulated network, with models of
//! backends, clients and discovery, and injects scripted faults. The rules are checked from outside the
//! proxies.

pub mod backend;
pub mod client;
pub mod discovery;
pub mod generate;
pub mod lines;
pub mod net;
pub mod observer;
pub mod panics;
pub mod real;
pub mod rng;
pub mod run;
pub mod script;
pub mod sim;
