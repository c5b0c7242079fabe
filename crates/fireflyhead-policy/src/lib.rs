//! Serving decisions without I/O.
//!
//! Each module makes one kind of decision and names the load pattern or failure that it handles.
//! Time and randomness are arguments, so that a node and the tests, which replay load in virtual
//! time, run the same code.
//!
//! - [`table`]: the operators' table and the configuration that is derived from it
//! - [`config`]: routes and services, and which of them a request belongs to
//! - [`accounts`]: which client account a request belongs to
//! - [`authentication`]: whether a request is served for that account
//! - [`config_exchange`]: which node sends the configuration to one that the store refuses
//! - [`quota`]: which requests exceed the quota of their account over all nodes
//! - [`limits`]: which requests exceed their route's limit on rate or on requests in flight
//! - [`fleet`]: which upstreams exist, also while the store is unavailable
//! - [`dispatch`]: which upstream a request is sent to, which requests wait and which are rejected
//! - [`admission`]: when an engine accepts a prompt, decided by the engine's holder for all nodes
//! - [`health`]: which upstreams are ejected after failures
//! - [`response`]: whether a response proves that its request was executed, or was not
//! - [`quarantine`]: which prompt parts crash engines, so that requests with them are refused
//! - [`budget`]: how many retries a service may receive
//! - [`ownership`]: which node, the holder, may send orders to an engine
//! - [`request_limit`]: how many requests an upstream takes that names a limit
//! - [`residency`]: which adapters an engine holds
//! - [`peers`]: which nodes are reachable and what they reported
//! - [`readers`]: which nodes read the store on behalf of their zone
//! - [`serving`]: which nodes callers are directed to
//!
//! The other modules hold shared types: [`protocol`] translates to and from the HTTP protocol of a
//! platform, [`message`] defines the datagrams between nodes, [`rendezvous`] ranks nodes and
//! upstreams, and [`types`] defines names, times and ranks.

pub mod accounts;
pub mod admission;
pub mod authentication;
pub mod budget;
pub mod config;
pub mod config_exchange;
pub mod dispatch;
pub mod era;
pub mod fleet;
pub mod health;
pub mod limits;
pub mod message;
pub mod ownership;
pub mod peers;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod readers;
pub mod rendezvous;
pub mod request_limit;
pub mod residency;
pub mod response;
pub mod service_times;
pub mod serving;
pub mod table;
pub mod types;

pub use types::Name;
pub use types::Time;
