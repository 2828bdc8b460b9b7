#![forbid(unsafe_code)]
//! Seeded worlds: the same network code as in service, on a virtual clock and a simulated network, among models
//! of execute nodes, submitters and discovery, under scripted faults, with the rules checked from outside.

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
