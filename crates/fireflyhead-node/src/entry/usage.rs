//! Exchange of the demand for limited rows between entries.

use std::time::Duration;

use fireflyhead_core::limits::RowUsage;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::RowId;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Usage;
use fireflyhead_schema::messages::call_request;
use tokio::time::sleep;

use crate::entry::Entry;

/// Shortest time between two messages to each node.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Additional time for each node, so that the messages of a large fleet stay few.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(15);

/// Longest wait for a peer.
const USAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rows in one message; rows beyond them keep an equal share of their limit.
const MAX_ROWS: usize = 10_000;

impl Entry {
    /// Tells the other entries about the demand here, until the node stops.
    pub(super) async fn share_usage(self) {
        let stop = self.inner.parts.stop.clone();
        let mut told = false;
        loop {
            let peers = self.live_peers();
            let nodes = u32::try_from(peers.len()).unwrap_or(u32::MAX);
            let interval = MIN_INTERVAL.max(INTERVAL_PER_NODE * nodes);
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(interval) => {}
            }
            let mut usage = self.inner.admission.advertise(self.now());
            usage.truncate(MAX_ROWS);
            // An empty message after others takes the former demand back.
            if told || !usage.is_empty() {
                told = !usage.is_empty();
                self.tell_usage(&peers, &usage).await;
            }
        }
    }

    async fn tell_usage(&self, peers: &[Name], usage: &[RowUsage]) {
        let rows = usage.iter().map(|usage| messages::RowUsage {
            row: usage.row.0,
            rate: usage.rate,
            in_flight: usage.in_flight,
        });
        let message = Usage { rows: rows.collect() };
        let calls = peers.iter().map(|address| {
            let body = call_request::Body::Usage(message.clone());
            self.inner.parts.peers.call(address, body, USAGE_TIMEOUT)
        });
        for result in futures::future::join_all(calls).await {
            if let Err(e) = result {
                tracing::debug!(error = %e, "demand not shared");
            }
        }
    }

    fn live_peers(&self) -> Vec<Name> {
        let members = self.cx().members.borrow().clone();
        let live = members.iter().filter(|member| {
            member.state == MemberState::Alive && member.node.id != self.cx().me.id
        });
        live.map(|member| member.peer_address.clone()).collect()
    }

    /// Takes note of the demand at a peer.
    pub(crate) fn learn_usage(&self, from: NodeRef, usage: &Usage) {
        let rows: Vec<RowUsage> = usage
            .rows
            .iter()
            .filter(|usage| usage.rate.is_finite())
            .map(|usage| RowUsage {
                row: RowId(usage.row),
                rate: usage.rate,
                in_flight: usage.in_flight,
            })
            .collect();
        self.inner.admission.update_peer(self.now(), from.id, &rows);
    }
}
