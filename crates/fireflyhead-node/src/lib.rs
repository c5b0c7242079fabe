//! Actors and network edges of a node.
//!
//! A kameo actor owns each state machine of `fireflyhead-core` and carries out
//! its effects. What an actor knows and others need is published as a snapshot
//! in [`context::NodeContext`]; requests travel through messages.

pub mod clock;
pub mod context;
pub mod dispatchers;
pub mod entry;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod members;
pub mod node;
pub mod once;
pub mod operators;
pub mod owners;
pub mod peer;
pub mod probe;
pub mod tables;
pub mod telemetry;
pub mod upstream;
