//! Which node dispatches to an upstream.

use fireflyhead_core::placement::Candidate;
use fireflyhead_core::placement::rendezvous;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Role;
use fireflyhead_schema::messages::Dispatch;

use crate::entry::Entry;
use crate::peer::client::PeerError;
use crate::peer::stream;
use crate::peer::stream::RunStream;

/// Node that dispatches to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// This node.
    Local,
    /// The node with this peer address.
    Peer(Name),
}

impl Entry {
    /// Route to `upstream`; `None` if no live node is known to dispatch to it.
    ///
    /// An owner that is dead is replaced by the live node that rendezvous hashing
    /// selects, which becomes its owner or its substitute.
    pub(super) fn route(&self, upstream: &Name) -> Option<Route> {
        if self.role(upstream) != Role::None {
            return Some(Route::Local);
        }
        let owners = self.cx().owners.borrow().clone();
        let record = owners.get(upstream).and_then(|owned| owned.record.clone());
        let members = self.cx().members.borrow().clone();
        let usable =
            |member: &&Member| !matches!(member.state, MemberState::Dead | MemberState::Suspect);
        let owner = record.and_then(|record| {
            members.iter().filter(usable).find(|member| member.node == record.owner)
        });
        let chosen = match owner {
            Some(owner) => owner,
            None => {
                let alive: Vec<&Member> =
                    members.iter().filter(|member| member.state == MemberState::Alive).collect();
                let candidates: Vec<Candidate> =
                    alive.iter().map(|member| Candidate::new(member.node.id.clone())).collect();
                alive[*rendezvous(upstream.as_str().as_bytes(), &candidates).first()?]
            }
        };
        // The snapshot of roles says that this node does not dispatch to it.
        (chosen.node.id != self.cx().me.id).then(|| Route::Peer(chosen.peer_address.clone()))
    }

    /// Opens the stream of a request to the node that dispatches to its upstream.
    pub(super) async fn open(
        &self,
        route: &Route,
        dispatch: Dispatch,
    ) -> Result<RunStream, PeerError> {
        match route {
            Route::Local => {
                let (run, port) = stream::pair();
                self.inner.parts.dispatchers.submit(dispatch, port);
                Ok(run)
            }
            Route::Peer(address) => self.inner.parts.peers.dispatch(address, dispatch).await,
        }
    }
}
