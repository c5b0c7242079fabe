//! Inputs and outputs of one node.
//!
//! A node takes callers ([`ingress`]), chooses an upstream with the decisions of
//! `fireflyhead-policy` and sends the request there itself ([`forward`], [`pool`]). It
//! learns the configuration and the upstreams from the store ([`sync`]), tells the other
//! nodes what it has in flight ([`beats`]) and gives orders to the engines in its custody
//! ([`keeper`]). How the platform spells all this is behind a
//! [`PlatformProtocol`](fireflyhead_policy::protocol::PlatformProtocol).
//!
//! Everything runs on one thread; state that tasks share is in [`state::Shared`].

pub mod beats;
pub mod body;
pub mod clock;
pub mod directory;
pub mod feeds;
pub mod forward;
pub mod ingress;
pub mod keeper;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod outgoing;
pub mod pool;
pub mod settings;
pub mod state;
pub mod store;
pub mod stream;
pub mod sync;
