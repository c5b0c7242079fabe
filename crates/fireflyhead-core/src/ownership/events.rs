//! Configuration, inputs and effects of [`Ownership`](crate::ownership::Ownership).

use std::time::Duration;

use crate::membership::StoreViews;
use crate::types::Member;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::OwnerRecord;
use crate::types::Time;
use crate::types::UpstreamInfo;

/// Timing of ownership.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// Time to live of the node's lease.
    pub lease_ttl: Duration,
    /// Time before the end of the lease at which orders end, for delayed orders.
    pub lease_margin: Duration,
    /// Time between two keep-alives.
    pub keep_alive: Duration,
    /// Time after which a call without a result is repeated.
    pub call_timeout: Duration,
    /// Time between two reads of all records, besides the watch.
    pub read_interval: Duration,
    /// Time after the start of the node in which it takes over nothing.
    pub start_grace: Duration,
    /// Time after an outage of the service in which the node takes over nothing.
    pub grace: Duration,
    /// Extension of the right to give orders during an outage.
    pub extension: Duration,
    /// Delay of the second node in rendezvous order, and of each further one.
    pub rank_delay: Duration,
    /// Longest request and order timeouts of an owner, for which adapters stay
    /// loaded after a takeover without a handover.
    pub pin_for: Duration,
    /// Time for which the first node in rendezvous order must be alive before an
    /// upstream is handed over to it.
    pub rebalance_after: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig::with_ttl(Duration::from_secs(6))
    }
}

impl OwnershipConfig {
    /// Configuration whose times follow from the lease's time to live.
    pub fn with_ttl(lease_ttl: Duration) -> OwnershipConfig {
        OwnershipConfig {
            lease_ttl,
            lease_margin: lease_ttl / 4,
            keep_alive: lease_ttl / 6,
            // Two calls must fail before the lease's margin for an outage to be seen in time.
            call_timeout: lease_ttl / 6,
            read_interval: Duration::from_secs(30),
            start_grace: lease_ttl / 3,
            grace: lease_ttl,
            extension: lease_ttl / 6,
            rank_delay: lease_ttl / 6,
            pin_for: Duration::from_secs(90),
            rebalance_after: Duration::from_secs(60),
        }
    }
}

/// Record as read from the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Owner and operation; its fencing number is ignored in favour of `revision`.
    pub record: OwnerRecord,
    /// Revision of the record's last write.
    pub revision: i64,
    /// Lease that the record is bound to.
    pub lease: i64,
}

/// Event of ownership.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipInput {
    /// The service granted a lease; `sent` is when the call was issued.
    LeaseGranted {
        /// Lease.
        lease: i64,
        /// Time at which the call was issued.
        sent: Time,
    },
    /// The service extended the lease.
    KeptAlive {
        /// Lease.
        lease: i64,
        /// Time at which the call was issued.
        sent: Time,
    },
    /// The service does not know the lease.
    LeaseLost {
        /// Lease.
        lease: i64,
    },
    /// A call about the lease failed or gave no answer.
    LeaseCallFailed,
    /// This node's entry is written under the lease.
    Registered {
        /// Lease.
        lease: i64,
    },
    /// All records.
    Listed {
        /// Records by upstream.
        records: Vec<(Name, StoredRecord)>,
        /// Time at which the read was issued.
        sent: Time,
    },
    /// One record; `None` if there is none.
    Read {
        /// Upstream.
        upstream: Name,
        /// Record.
        stored: Option<StoredRecord>,
        /// Time at which the read was issued; the start of the clock for events of a watch.
        sent: Time,
    },
    /// Events of the watch may be missing.
    WatchLost,
    /// A compare-and-swap took effect.
    SwapDone {
        /// Upstream.
        upstream: Name,
        /// Operation of the record.
        operation: Name,
        /// Revision of the write.
        revision: i64,
    },
    /// A compare-and-swap found another revision.
    SwapConflict {
        /// Upstream.
        upstream: Name,
        /// Operation of the record that was not written.
        operation: Name,
    },
    /// A compare-and-swap gave no answer; it may have taken effect.
    SwapLost {
        /// Upstream.
        upstream: Name,
        /// Operation of the record.
        operation: Name,
    },
    /// A call to the service ended.
    Called {
        /// Whether it was answered.
        ok: bool,
    },
    /// Members changed.
    Members(Vec<Member>),
    /// Contact to other members, and their views of the service.
    Contact {
        /// Whether more than half of the members answer.
        majority: bool,
        /// Whether other members are known and none answers.
        isolated: bool,
        /// Views of the service by other members.
        views: StoreViews,
    },
    /// Upstreams changed.
    Upstreams(Vec<UpstreamInfo>),
    /// The owner of an upstream hands it over to this node.
    Handover {
        /// Upstream.
        upstream: Name,
        /// Owner that hands over.
        from: NodeRef,
        /// Fencing number of that owner.
        fencing: u64,
        /// Whether adapters are in use by its running requests.
        in_use: bool,
    },
    /// A planned stop begins: hand over everything.
    Drain,
    /// Time passed.
    Tick,
}

/// What the node must do. Each call ends in an input, within the call timeout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipEffect {
    /// Ask for a lease.
    GrantLease,
    /// Extend the lease.
    KeepAlive {
        /// Lease.
        lease: i64,
    },
    /// Write this node's entry under the lease.
    Register {
        /// Lease.
        lease: i64,
    },
    /// Read all records.
    ReadAll,
    /// Read a record.
    Read {
        /// Upstream.
        upstream: Name,
    },
    /// Create a record, provided that none exists.
    Create {
        /// Upstream.
        upstream: Name,
        /// Record.
        record: OwnerRecord,
        /// Lease to bind it to.
        lease: i64,
    },
    /// Delete this node's record, provided that it has this revision.
    Release {
        /// Upstream.
        upstream: Name,
        /// Revision.
        revision: i64,
    },
    /// Tell the next owner that this node gives no more orders.
    SendHandover {
        /// Next owner.
        to: NodeRef,
        /// Upstream.
        upstream: Name,
        /// Fencing number of this node.
        fencing: u64,
    },
    /// This node owns the upstream from now on.
    Start {
        /// Upstream.
        upstream: Name,
    },
    /// This node does not own the upstream any more.
    Stop {
        /// Upstream.
        upstream: Name,
    },
}
