//! Keys, revisions, leases and the events of watches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;

use tokio::sync::broadcast;
use tokio::time::Instant;

/// Value of a key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    pub(super) created: i64,
    pub(super) modified: i64,
    pub(super) version: i64,
    pub(super) lease: i64,
}

/// Change of one key; `entry.version` is 0 if it was deleted.
#[derive(Clone, Debug)]
pub(super) struct Event {
    pub(super) revision: i64,
    pub(super) entry: Entry,
}

/// What the channel of events carries.
#[derive(Clone, Debug)]
pub(super) enum Notice {
    Event(Event),
    /// All watches end.
    Close,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Keys from `key` up to `end`; only `key` if `end` is empty.
#[derive(Clone, Debug)]
pub(super) struct Range {
    pub(super) key: Vec<u8>,
    pub(super) end: Vec<u8>,
}

impl Range {
    pub(super) fn covers(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            // The end `\0` stands for all keys from `key` on.
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// Events kept for watches that start at an earlier revision.
const MAX_HISTORY: usize = 20_000;
/// Events that a slow watch may lag behind.
const CHANNEL_EVENTS: usize = 16_384;

pub(super) struct Data {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Event>,
    notices: broadcast::Sender<Notice>,
}

impl Data {
    pub(super) fn new() -> Data {
        Data {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1_000,
            history: VecDeque::new(),
            notices: broadcast::Sender::new(CHANNEL_EVENTS),
        }
    }

    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    pub(super) fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    pub(super) fn changes(&self, key: &[u8]) -> i64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }

    pub(super) fn modified(&self, key: &[u8]) -> i64 {
        self.entries.get(key).map_or(0, |entry| entry.modified)
    }

    pub(super) fn keys(&self, prefix: &[u8]) -> Vec<String> {
        let matching = self.entries.keys().filter(|key| key.starts_with(prefix));
        matching.map(|key| String::from_utf8_lossy(key).into_owned()).collect()
    }

    pub(super) fn range(&self, range: &Range) -> Vec<Entry> {
        let from = self.entries.range((Bound::Included(range.key.clone()), Bound::Unbounded));
        from.take_while(|(key, _)| range.covers(key)).map(|(_, entry)| entry.clone()).collect()
    }

    pub(super) fn has_lease(&self, lease: i64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    pub(super) fn put(&mut self, key: &[u8], value: &[u8], lease: i64) {
        self.revision += 1;
        let old = self.entries.get(key);
        let entry = Entry {
            key: key.to_vec(),
            value: value.to_vec(),
            created: old.map_or(self.revision, |old| old.created),
            modified: self.revision,
            version: old.map_or(0, |old| old.version) + 1,
            lease,
        };
        self.entries.insert(key.to_vec(), entry.clone());
        self.publish(entry);
    }

    pub(super) fn delete(&mut self, range: &Range) -> usize {
        let found = self.range(range);
        if !found.is_empty() {
            self.revision += 1;
        }
        for entry in &found {
            self.entries.remove(&entry.key);
            self.publish(Entry {
                value: Vec::new(),
                created: 0,
                modified: self.revision,
                version: 0,
                lease: 0,
                key: entry.key.clone(),
            });
        }
        found.len()
    }

    fn publish(&mut self, entry: Entry) {
        let event = Event { revision: self.revision, entry };
        self.history.push_back(event.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        let _ = self.notices.send(Notice::Event(event));
    }

    /// Events since `start` (0: none) and the channel of those to come.
    pub(super) fn watch(&self, start: i64) -> (Vec<Event>, broadcast::Receiver<Notice>) {
        let past = match start {
            0 => Vec::new(),
            _ => self.history.iter().filter(|event| event.revision >= start).cloned().collect(),
        };
        (past, self.notices.subscribe())
    }

    pub(super) fn close_watches(&self) {
        let _ = self.notices.send(Notice::Close);
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends: Instant::now() + ttl });
        self.next_lease
    }

    /// Extends a lease by its time to live, which is the result.
    pub(super) fn keep_alive(&mut self, lease: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.ends = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn extend_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.ends = Instant::now() + lease.ttl;
        }
    }

    /// Ends a lease and deletes its keys; whether it existed.
    pub(super) fn revoke(&mut self, lease: i64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let bound = self.entries.values().filter(|entry| entry.lease == lease);
        let keys: Vec<Vec<u8>> = bound.map(|entry| entry.key.clone()).collect();
        if existed {
            for key in keys {
                self.delete(&Range { key, end: Vec::new() });
            }
        }
        existed
    }

    /// Ends the leases whose time is over, or `all`; how many ended.
    pub(super) fn expire_leases(&mut self, all: bool) -> u64 {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| all || lease.ends <= now);
        let over: Vec<i64> = over.map(|(id, _)| *id).collect();
        over.iter().map(|lease| u64::from(self.revoke(*lease))).sum()
    }
}
