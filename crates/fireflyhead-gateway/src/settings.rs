//! Settings of a node.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::UPSTREAM_HEARTBEAT;
use fireflyhead_policy::quota::QuotaSettings;
use fireflyhead_schema::NodeSettings;

/// Settings with which a node is started.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node, unique in the deployment.
    pub node: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address on which requests from callers are accepted.
    pub caller: SocketAddr,
    /// Address of a separate listener for readiness checks; `None` for no such listener.
    pub readiness: Option<SocketAddr>,
    /// Address for readiness checks and for the queries of callers for node addresses; `None` for no
    /// such listener.
    pub directory: Option<SocketAddr>,
    /// UDP address for datagrams from other nodes.
    pub peer: SocketAddr,
    /// Address on which metrics are served; `None` for no such listener.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time to live of the node's lease.
    ///
    /// Long enough that a node continues to send orders during a short outage of the store, and
    /// short enough that the engines of a failed node get another holder within 15 seconds.
    pub lease_ttl: Duration,
    /// Shortest time between the orders of two successive holders to one engine.
    pub turn: Duration,
    /// Time within which a change in the store must be in effect.
    pub apply_bound: Duration,
    /// Interval at which upstreams renew their entries in the store.
    pub upstream_heartbeat: Duration,
    /// CPU capacity of the node, in cores.
    pub capacity: f64,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Largest number of file descriptors that the process may open.
    pub max_descriptors: u64,
    /// Longest time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Allowed retries, as a fraction of the requests of a service.
    pub retry_ratio: f64,
    /// Number of retries allowed in addition, over all nodes.
    pub retry_slack: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Time after the announcement of a new adapter version from which on no request may start on
    /// an older one.
    pub version_bound: Duration,
    /// Time for which callers may cache a response with node addresses.
    pub resolve_ttl: Duration,
    /// Time after the revocation of a key within which its open streams must end; `None` if they go
    /// on.
    pub revoke_closes_streams: Option<Duration>,
    /// Settings of the quotas of client accounts; `None` to enforce none.
    pub quota: Option<QuotaSettings>,
    /// Whether the decisions for insufficient capacity are in effect for all services, not only for
    /// those whose upstreams report their pace.
    pub pressure: bool,
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
            upstream_heartbeat: UPSTREAM_HEARTBEAT,
            capacity: 1.0,
            memory: 256 * 1024 * 1024,
            max_descriptors: 1_024,
            grace: Duration::from_secs(7),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            version_bound: Duration::from_secs(5),
            resolve_ttl: Duration::from_secs(2),
            revoke_closes_streams: None,
            quota: None,
            pressure: false,
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
            quota: (!settings.quota_window.is_zero()).then_some(QuotaSettings {
                window: settings.quota_window,
                overage: settings.quota_overage,
                slack: settings.quota_slack,
            }),
            ..GatewaySettings::default()
        }
    }
}
