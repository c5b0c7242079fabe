//! Borrower, owner and view of the slots of one node together.

use std::net::SocketAddr;

use crate::Name;
use crate::Time;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::quota::QuotaSettings;
use crate::quota::SLOT_COUNT;
use crate::quota::Slot;
use crate::quota::borrower::OwnerState;
use crate::quota::borrower::QuotaBorrower;
use crate::quota::owner::QuotaOwner;
use crate::quota::slots::QuotaSlots;

/// Owner of a slot as the borrower knows it: the address and the start of its process.
type KnownOwner = (OwnerState, Option<(SocketAddr, u64)>);

/// Change of the slots that this node owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotChange {
    /// The node owns the slot now.
    Taken(Slot),
    /// The node no longer owns the slot.
    Lost(Slot),
}

/// Quotas on one node.
#[derive(Debug)]
pub struct QuotaNode {
    /// Tokens that the node has borrowed.
    pub borrower: QuotaBorrower,
    /// Buckets of the slots that the node owns.
    pub owner: QuotaOwner,
    /// View of the slots. [`QuotaNode::update_owners`] must follow each change.
    pub slots: QuotaSlots,
    node: Name,
    known_owners: [KnownOwner; SLOT_COUNT],
}

impl QuotaNode {
    /// Creates the state of a node that owns no slot and has no tokens; see [`QuotaBorrower::new`] for
    /// `first_seq`.
    pub fn new(
        settings: QuotaSettings,
        node: &Name,
        peer: SocketAddr,
        incarnation: u64,
        first_seq: u64,
    ) -> QuotaNode {
        QuotaNode {
            borrower: QuotaBorrower::new(settings, node.clone(), incarnation, first_seq),
            owner: QuotaOwner::new(settings),
            slots: QuotaSlots::new(node.clone(), peer, incarnation),
            node: node.clone(),
            known_owners: [(OwnerState::Absent, None); SLOT_COUNT],
        }
    }

    /// Makes borrower and owner follow the view of the slots. `running` returns the start of the
    /// process of a node that was heard last.
    pub fn update_owners(
        &mut self,
        now: Time,
        running: impl Fn(&str) -> Option<u64>,
    ) -> Vec<SlotChange> {
        let mut changes = Vec::new();
        for slot in Slot::all() {
            let is_owned = self.slots.owns(slot);
            let record = self.slots.owner(slot);
            let owner = record.map(|record| (record.peer, record.incarnation));
            // The process that wrote the record may have ended.
            let is_running = record.is_some_and(|record| {
                record.node != self.node
                    && running(record.node.as_str()).is_none_or(|run| run == record.incarnation)
            });
            let known = match (is_owned, is_running) {
                (true, _) => (OwnerState::Local, None),
                (false, true) => (OwnerState::Remote, owner),
                (false, false) => (OwnerState::Absent, None),
            };
            let previous = &mut self.known_owners[slot.index()];
            if *previous != known {
                *previous = known;
                self.borrower.set_owner(slot, known.0);
            }
            match (is_owned, self.owner.owns(slot)) {
                (true, false) => {
                    self.owner.add_slot(now, slot);
                    changes.push(SlotChange::Taken(slot));
                }
                (false, true) => {
                    self.owner.remove_slot(slot);
                    changes.push(SlotChange::Lost(slot));
                }
                (true, true) | (false, false) => {}
            }
        }
        changes
    }

    /// Asks for the tokens that are needed. Returns the requests to other nodes.
    pub fn exchange(&mut self, now: Time) -> Vec<(SocketAddr, QuotaRequest)> {
        let mut remote = Vec::new();
        // A slot of this node replies at once, and what it refuses may be asked of the next slot.
        for _ in 0..=SLOT_COUNT {
            let mut has_reply = false;
            for request in self.borrower.due_requests(now) {
                match self.known_owners[request.slot.index()] {
                    (OwnerState::Local, _) => {
                        if let Some(grant) = self.grant(now, &request) {
                            has_reply = true;
                            self.borrower.handle_grant(now, &grant);
                        }
                    }
                    (OwnerState::Remote, Some((address, _))) => remote.push((address, request)),
                    (OwnerState::Remote | OwnerState::Absent, _) => {}
                }
            }
            if !has_reply {
                break;
            }
        }
        remote
    }

    /// Returns what this node grants to a request; `None` if it may not grant for the slot.
    pub fn grant(&mut self, now: Time, request: &QuotaRequest) -> Option<QuotaGrant> {
        match self.slots.may_grant(now, request.slot) {
            true => self.owner.grant(now, request),
            false => None,
        }
    }
}
