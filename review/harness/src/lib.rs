#![recursion_limit = "256"]
//! Stand-ins, clients and checks that the cases of the review share.

pub mod callers;
pub mod held;
pub mod node;
pub mod proxy;
pub mod raw_engine;
pub mod record;
pub mod workers;

/// Host that all routes match.
pub const HOST: &str = "cards.example";
