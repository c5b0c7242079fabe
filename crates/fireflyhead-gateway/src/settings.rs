//! Settings of a node.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_schema::NodeSettings;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node, unique in the deployment.
    pub node: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for readiness checks; `None` for none.
    pub readiness: Option<SocketAddr>,
    /// Address on which callers ask for addresses; `None` for none.
    pub directory: Option<SocketAddr>,
    /// UDP address for the other nodes.
    pub peer: SocketAddr,
    /// Address of the metrics page; `None` for none.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time to live of the node's lease.
    ///
    /// Long enough that orders go on during a short outage of the store, short enough that the
    /// engines of a lost node get another holder within a quarter of a minute.
    pub lease_ttl: Duration,
    /// Shortest time between the orders of two nodes to one engine.
    pub turn: Duration,
    /// Time within which a change in the store must be in force.
    pub apply_bound: Duration,
    /// Processor time in cores.
    pub capacity: f64,
    /// File descriptors that the process may open.
    pub max_descriptors: u64,
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Repeated sends allowed as a fraction of the requests of a service.
    pub retry_ratio: f64,
    /// Repeated sends allowed besides, over all nodes.
    pub retry_slack: f64,
    /// Window over which repeated sends are counted.
    pub retry_window: Duration,
    /// Time after which requests must not begin on an older adapter version.
    pub version_bound: Duration,
    /// Time for which callers may keep an answer with addresses.
    pub resolve_ttl: Duration,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        GatewaySettings {
            node: Name::from("node-1"),
            zone: Name::from("zone-1"),
            caller: local,
            readiness: None,
            directory: None,
            peer: local,
            metrics: None,
            store: SocketAddr::from((Ipv4Addr::LOCALHOST, 2379)),
            lease_ttl: Duration::from_secs(5),
            turn: Duration::from_secs(3),
            apply_bound: Duration::from_secs(2),
            capacity: 1.0,
            max_descriptors: 1_024,
            grace: Duration::from_secs(7),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            version_bound: Duration::from_secs(5),
            resolve_ttl: Duration::from_secs(2),
        }
    }
}

impl From<NodeSettings> for GatewaySettings {
    fn from(settings: NodeSettings) -> GatewaySettings {
        GatewaySettings {
            node: Name::from(settings.node_id),
            zone: Name::from(settings.zone),
            caller: settings.caller_address,
            readiness: None,
            directory: Some(settings.directory_address),
            peer: settings.peer_address,
            metrics: Some(settings.metrics_address),
            store: settings.store_address,
            lease_ttl: settings.lease_ttl,
            turn: settings.order_turn,
            apply_bound: settings.apply_bound,
            capacity: settings.capacity,
            max_descriptors: settings.max_descriptors,
            grace: settings.grace,
            retry_ratio: settings.retry_ratio,
            retry_slack: settings.retry_slack,
            retry_window: settings.retry_window,
            version_bound: settings.version_bound,
            resolve_ttl: settings.resolve_ttl,
        }
    }
}
