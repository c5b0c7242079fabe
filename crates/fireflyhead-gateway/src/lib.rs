//! Network and storage side of one node.
//!
//! A node accepts requests from callers ([`ingress`]), selects an upstream with the decisions of
//! `fireflyhead-policy` and forwards the request there ([`forward`], [`pool`]). It watches the
//! store for the configuration and the upstreams ([`store_watch`]), exchanges its load with the
//! other nodes ([`heartbeats`]) and sends orders to the engines that it owns
//! ([`engine_controller`]). Requests that crash upstreams are refused ([`quarantine`]), and upstreams
//! that announce that they leave are spared at once ([`departures`]). The limits that upstreams name
//! hold for all nodes together ([`request_limits`]). Client accounts may use their quotas over all
//! nodes ([`quota`]). The headers, paths and bodies of the platform are behind a
//! [`PlatformProtocol`](fireflyhead_policy::protocol::PlatformProtocol).
//!
//! All tasks run on one thread and share [`state::Shared`].

pub mod account_metrics;
pub mod body;
pub mod clock;
pub mod config_exchange;
pub mod config_state;
pub mod datagram_sender;
pub mod departures;
pub mod directory;
pub mod engine_controller;
pub mod explain;
pub mod feed_queue;
pub mod forward;
pub mod heartbeats;
pub mod ingress;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod pool;
pub mod protocol_versions;
pub mod quarantine;
pub mod quota;
pub mod request_limits;
pub mod request_memory;
pub mod response_memory;
pub mod serving;
pub mod settings;
pub mod sse;
pub mod state;
pub mod store;
pub mod store_watch;
