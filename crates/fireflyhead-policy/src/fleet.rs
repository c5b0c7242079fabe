//! Upstreams as the store lists them.
//!
//! Answers store outages: entries that lapse while the store is unavailable stay in use
//! until [`LAPSE_GRACE`] after its return, because their upstreams still serve.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::protocol::HeldAdapter;

/// Time after the return of the store in which an entry that lapsed meanwhile is kept.
///
/// The platform states that live upstreams are listed again within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// State of an upstream as it reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// Takes requests.
    Ready,
    /// Takes no new requests and leaves.
    Draining,
}

/// Entry of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream; a restart may keep it.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: UpstreamState,
    /// Start of the upstream in milliseconds of Unix time; 0 if unknown.
    pub incarnation: u64,
    /// Base models in place with their versions.
    pub models: Vec<(Name, u64)>,
    /// Adapters in place when the entry was written.
    pub adapters: Vec<HeldAdapter>,
}

/// Change of the set of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// An upstream was listed, changed its state or started anew.
    Listed(Arc<UpstreamEntry>),
    /// Something else in the entry of an upstream changed, such as its adapters.
    Updated(Arc<UpstreamEntry>),
    /// An upstream is gone.
    Removed(Name),
}

/// Listed upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: HashMap<Name, Arc<UpstreamEntry>>,
    lapsed: HashMap<Name, Time>,
    outage: bool,
    returned: Option<Time>,
}

impl Fleet {
    /// Records that the store can't be reached.
    pub fn start_outage(&mut self) {
        self.outage = true;
    }

    /// Records that the store answers again.
    pub fn end_outage(&mut self, now: Time) {
        if self.outage {
            self.outage = false;
            self.returned = Some(now);
        }
    }

    /// Records that the store was away until `at`, as another node saw it.
    pub fn record_outage_end(&mut self, at: Time) {
        self.returned = self.returned.max(Some(at));
    }

    /// Time at which the store returned from an outage.
    pub fn outage_end(&self) -> Option<Time> {
        self.returned
    }

    /// Applies an entry; `None` removes the upstream.
    pub fn apply(
        &mut self,
        now: Time,
        id: &Name,
        entry: Option<UpstreamEntry>,
    ) -> Vec<FleetChange> {
        let recent = self.returned.is_some_and(|at| now.since(at) < LAPSE_GRACE);
        match entry {
            Some(entry) => {
                self.lapsed.remove(id);
                match self.entries.get(id) {
                    Some(old) if **old == entry => Vec::new(),
                    old => {
                        let same = old.is_some_and(|old| {
                            (old.state, old.incarnation, old.address)
                                == (entry.state, entry.incarnation, entry.address)
                        });
                        let entry = Arc::new(entry);
                        self.entries.insert(id.clone(), Arc::clone(&entry));
                        match same {
                            true => vec![FleetChange::Updated(entry)],
                            false => vec![FleetChange::Listed(entry)],
                        }
                    }
                }
            }
            None if (self.outage || recent) && self.entries.contains_key(id) => {
                self.lapsed.entry(id.clone()).or_insert(now);
                Vec::new()
            }
            None => self.remove(id),
        }
    }

    /// Applies a full read: entries that are missing from it are treated as removed.
    pub fn replace(
        &mut self,
        now: Time,
        listed: &HashMap<Name, UpstreamEntry>,
    ) -> Vec<FleetChange> {
        let missing: Vec<Name> =
            self.entries.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        let mut changes = Vec::new();
        for (id, entry) in listed {
            changes.extend(self.apply(now, id, Some(entry.clone())));
        }
        for id in missing {
            changes.extend(self.apply(now, &id, None));
        }
        changes
    }

    /// Drops the entries whose grace has ended.
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<FleetChange> {
        let over = match self.returned {
            Some(at) if !self.outage => now.since(at) >= LAPSE_GRACE,
            Some(_) | None => false,
        };
        if !over || self.lapsed.is_empty() {
            return Vec::new();
        }
        let ids: Vec<Name> = self.lapsed.drain().map(|(id, _)| id).collect();
        ids.iter().flat_map(|id| self.remove(id)).collect()
    }

    /// Entry of an upstream.
    pub fn get(&self, id: &str) -> Option<&Arc<UpstreamEntry>> {
        self.entries.get(id)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        self.entries.values()
    }

    fn remove(&mut self, id: &Name) -> Vec<FleetChange> {
        self.lapsed.remove(id);
        match self.entries.remove(id) {
            Some(_) => vec![FleetChange::Removed(id.clone())],
            None => Vec::new(),
        }
    }
}
