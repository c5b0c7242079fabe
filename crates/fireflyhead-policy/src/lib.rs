//! Serving decisions without I/O.
//!
//! Each module holds one decision and names the load pattern that it answers. Time and
//! randomness are arguments, so the same code runs in a node and in tests that replay a
//! load in virtual time.
//!
//! - [`table`]: the operators' table and the configuration that follows from it
//! - [`limits`]: which requests exceed their route's rate or number in flight
//! - [`config`]: which route and service a request belongs to
//! - [`fleet`]: which upstreams exist, also while the store is unavailable
//! - [`dispatch`]: which upstream a request goes to, what waits and what is rejected
//! - [`admission`]: when an engine takes a prompt, decided for all nodes by its holder
//! - [`health`]: which upstreams are avoided after failures
//! - [`budget`]: how many repeats a service may receive
//! - [`ownership`]: which node gives orders to an upstream
//! - [`residency`]: which adapters an upstream holds
//! - [`peers`]: which nodes are alive and what they reported
//! - [`readers`]: which nodes follow the store for the others of their zone

pub mod admission;
pub mod budget;
pub mod config;
pub mod dispatch;
pub mod fleet;
pub mod health;
pub mod limits;
pub mod message;
pub mod ownership;
pub mod peers;
pub mod protocol;
pub mod readers;
pub mod rendezvous;
pub mod residency;
pub mod table;
pub mod types;

pub use types::Name;
pub use types::Time;
