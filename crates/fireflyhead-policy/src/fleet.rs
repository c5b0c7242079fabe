//! Upstreams that are registered in the store.
//!
//! Survives store outages: an entry that lapses while the store is unavailable stays in use until
//! [`LAPSE_GRACE`] after the end of the outage, because its upstream still serves requests. An outage
//! is a pause in the store's replies to all nodes that this one hears from, in which upstreams miss
//! several heartbeats: calls of a single node also fail while only its own link is cut. Survives
//! restores of the store from an older copy too: the copy doesn't bring back an upstream that has
//! left, or make one ready again that drains. An upstream that announces in a response that it leaves
//! drains from that moment on, whatever its entry says, until it starts anew.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::protocol::HeldAdapter;

/// Time after the end of a store outage for which entries that lapsed during it are kept.
///
/// The platform documents that live upstreams register again within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Number of heartbeats that an upstream misses at least in an outage after which its entry may have
/// lapsed. The store removes an entry after three intervals without a heartbeat.
const MIN_MISSED_HEARTBEATS: u32 = 2;
/// Default interval of the upstreams' heartbeats.
pub const UPSTREAM_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after a restore of the store within which upstreams have written their entries again, or
/// those of the copy have expired.
const RESTORE_GRACE: Duration = Duration::from_millis(5_000);
/// Number of remembered starts from which those are forgotten that were recorded earlier than
/// [`REMEMBERED_TTL`] ago.
const MAX_REMEMBERED: usize = 4_096;
/// Time for which an upstream that left, or announced that it leaves, is remembered at least. It is
/// longer than any copy is old.
const REMEMBERED_TTL: Duration = Duration::from_secs(600);

/// Start time of an upstream that publishes none.
const UNKNOWN_INCARNATION: u64 = 0;

/// State that an upstream publishes in its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and is about to stop.
    Draining,
}

/// Entry of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream; it may stay the same across a restart.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that the upstream published.
    pub state: UpstreamState,
    /// Start time of the upstream process in milliseconds of Unix time; 0 if unknown.
    pub incarnation: u64,
    /// Loaded base models with their versions.
    pub models: Vec<(Name, u64)>,
    /// Adapters that were loaded when the entry was written.
    pub adapters: Vec<HeldAdapter>,
}

/// Change to the set of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// An upstream was added, or its state, address or start time changed.
    Listed(Arc<UpstreamEntry>),
    /// Anything else in the entry of an upstream changed, such as its adapters.
    Updated(Arc<UpstreamEntry>),
    /// An upstream was removed.
    Removed(Name),
}

/// Known upstreams.
#[derive(Debug)]
pub struct Fleet {
    entries: HashMap<Name, Arc<UpstreamEntry>>,
    /// Entries that lapsed during or shortly after an outage, with the time of the lapse.
    lapsed: HashMap<Name, Time>,
    /// Start times of upstreams that were removed, with the time of the removal.
    removed: HashMap<Name, (u64, Time)>,
    /// Start times of upstreams that announced that they leave, with the time of the announcement.
    leaving: HashMap<Name, (u64, Time)>,
    /// Entries of the copy from which the store was restored that seem to be outdated.
    outdated: HashMap<Name, UpstreamEntry>,
    /// Start of the store's era; `None` before the first restore.
    era_began: Option<Time>,
    /// Shortest pause between two replies of the store that is an outage.
    min_outage: Duration,
    /// Time of the last reply of the store.
    last_reply: Option<Time>,
    /// End of the last store outage.
    outage_end: Option<Time>,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet::new(UPSTREAM_HEARTBEAT)
    }
}

impl Fleet {
    /// Creates a fleet without upstreams. `heartbeat` is the interval at which upstreams renew their
    /// entries.
    pub fn new(heartbeat: Duration) -> Fleet {
        Fleet {
            entries: HashMap::new(),
            lapsed: HashMap::new(),
            removed: HashMap::new(),
            leaving: HashMap::new(),
            outdated: HashMap::new(),
            era_began: None,
            min_outage: heartbeat * MIN_MISSED_HEARTBEATS,
            last_reply: None,
            outage_end: None,
        }
    }

    /// Records that the store has replied to this node, or to a node that forwards its changes.
    /// Returns the time since the last reply if that was an outage.
    pub fn record_store_reply(&mut self, now: Time) -> Option<Duration> {
        let pause = self.store_pause(now);
        self.last_reply = self.last_reply.max(Some(now));
        if pause.is_some() {
            self.outage_end = Some(now);
        }
        pause
    }

    /// Records that the store was restored from a copy, after an outage.
    pub fn begin_era(&mut self, now: Time) {
        self.outage_end = Some(now);
        self.era_began = Some(now);
    }

    /// Returns the time since the last reply of the store if that is an outage.
    fn store_pause(&self, now: Time) -> Option<Duration> {
        self.last_reply.map(|at| now.since(at)).filter(|pause| *pause >= self.min_outage)
    }

    /// Returns the end of the last store outage; `None` if there was none.
    pub fn outage_end(&self) -> Option<Time> {
        self.outage_end
    }

    /// Applies the entry of upstream `id`, or its removal from the store if `entry` is `None`.
    ///
    /// An entry that is removed during an outage or within [`LAPSE_GRACE`] after its end is kept
    /// until [`Fleet::end_grace`] removes it.
    pub fn apply(
        &mut self,
        now: Time,
        id: &Name,
        entry: Option<UpstreamEntry>,
    ) -> Vec<FleetChange> {
        self.outdated.remove(id);
        let entry = entry.map(|entry| self.with_known_state(entry));
        let outage_ended_recently = self.outage_end.is_some_and(|at| now.since(at) < LAPSE_GRACE);
        match entry {
            Some(entry) => {
                self.lapsed.remove(id);
                self.removed.remove(id);
                match self.entries.get(id) {
                    Some(old) if **old == entry => Vec::new(),
                    old => {
                        let routing_unchanged = old.is_some_and(|old| {
                            (old.state, old.incarnation, old.address)
                                == (entry.state, entry.incarnation, entry.address)
                        });
                        let entry = Arc::new(entry);
                        self.entries.insert(id.clone(), Arc::clone(&entry));
                        match routing_unchanged {
                            true => vec![FleetChange::Updated(entry)],
                            false => vec![FleetChange::Listed(entry)],
                        }
                    }
                }
            }
            None if (self.store_pause(now).is_some() || outage_ended_recently)
                && self.entries.contains_key(id) =>
            {
                self.lapsed.entry(id.clone()).or_insert(now);
                Vec::new()
            }
            None => self.remove(now, id),
        }
    }

    /// Records that the upstream which started at `incarnation` announced that it leaves. Has no
    /// effect if that was known or its entry is of another start.
    pub fn record_departure(&mut self, now: Time, id: &Name, incarnation: u64) -> Vec<FleetChange> {
        if self.entries.get(id).is_some_and(|entry| entry.incarnation != incarnation) {
            return Vec::new();
        }
        prune(&mut self.leaving, now);
        self.leaving.insert(id.clone(), (incarnation, now));
        match self.entries.get(id) {
            Some(entry) if entry.state == UpstreamState::Ready => {
                let entry = UpstreamEntry::clone(entry);
                self.apply(now, id, Some(entry))
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Returns `entry` as that of a draining upstream if its upstream announced that it leaves.
    fn with_known_state(&self, entry: UpstreamEntry) -> UpstreamEntry {
        match self.leaving.get(&entry.id) {
            Some((incarnation, _)) if *incarnation == entry.incarnation => {
                UpstreamEntry { state: UpstreamState::Draining, ..entry }
            }
            Some(_) | None => entry,
        }
    }

    /// Applies a full read of the store: known entries that are missing from it count as removed.
    /// Shortly after a restore, entries that seem to be older than the known state wait until
    /// [`Fleet::end_grace`].
    pub fn replace(
        &mut self,
        now: Time,
        listed: &HashMap<Name, UpstreamEntry>,
    ) -> Vec<FleetChange> {
        let missing: Vec<Name> =
            self.entries.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        let mut changes = Vec::new();
        let may_be_old = self.era_began.is_some_and(|began| now.since(began) < RESTORE_GRACE);
        for (id, entry) in listed {
            if may_be_old && self.is_outdated(id, entry) {
                self.outdated.insert(id.clone(), entry.clone());
                continue;
            }
            changes.extend(self.apply(now, id, Some(entry.clone())));
        }
        for id in missing {
            changes.extend(self.apply(now, &id, None));
        }
        changes
    }

    /// Removes the lapsed entries once [`LAPSE_GRACE`] has passed since the end of the outage, and
    /// applies those of a restored copy that the store still has [`RESTORE_GRACE`] after the restore.
    pub fn end_grace(&mut self, now: Time) -> Vec<FleetChange> {
        let mut changes = self.remove_lapsed(now);
        if self.era_began.is_some_and(|began| now.since(began) >= RESTORE_GRACE) {
            for (id, entry) in std::mem::take(&mut self.outdated) {
                changes.extend(self.apply(now, &id, Some(entry)));
            }
        }
        changes
    }

    fn remove_lapsed(&mut self, now: Time) -> Vec<FleetChange> {
        let grace_over = match self.outage_end {
            Some(at) if self.store_pause(now).is_none() => now.since(at) >= LAPSE_GRACE,
            Some(_) | None => false,
        };
        if !grace_over || self.lapsed.is_empty() {
            return Vec::new();
        }
        let ids: Vec<Name> = self.lapsed.drain().map(|(id, _)| id).collect();
        ids.iter().flat_map(|id| self.remove(now, id)).collect()
    }

    /// Returns whether the upstream had left, drained or restarted after `entry` was written.
    fn is_outdated(&self, id: &Name, entry: &UpstreamEntry) -> bool {
        match (self.entries.get(id), self.removed.get(id)) {
            (Some(known), _) if known.incarnation == entry.incarnation => {
                known.state == UpstreamState::Draining && entry.state == UpstreamState::Ready
            }
            (Some(known), _) => entry.incarnation < known.incarnation,
            (None, Some((incarnation, _))) => entry.incarnation <= *incarnation,
            (None, None) => false,
        }
    }

    /// Returns the entry of upstream `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<UpstreamEntry>> {
        self.entries.get(id)
    }

    /// Returns the entries of all known upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        self.entries.values()
    }

    fn remove(&mut self, now: Time, id: &Name) -> Vec<FleetChange> {
        self.lapsed.remove(id);
        let Some(entry) = self.entries.remove(id) else { return Vec::new() };
        prune(&mut self.removed, now);
        self.removed.insert(id.clone(), (entry.incarnation, now));
        if entry.incarnation == UNKNOWN_INCARNATION {
            // Only its entry can tell a new start.
            self.leaving.remove(id);
        }
        vec![FleetChange::Removed(id.clone())]
    }
}

/// Makes room for a further start time with the time at which it was recorded.
fn prune(remembered: &mut HashMap<Name, (u64, Time)>, now: Time) {
    if remembered.len() >= MAX_REMEMBERED {
        remembered.retain(|_, (_, at)| now.since(*at) < REMEMBERED_TTL);
    }
}
