//! Versions of the protocol between nodes, as the nodes announce them in the store.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use fireflyhead_policy::Name;
use fireflyhead_policy::message::Heartbeat;

/// Protocol version that a node announced in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Version of the protocol between nodes.
    pub version: u32,
    /// Start of the process that announced it. A process of another build may follow under the same
    /// name before its entry in the store changes.
    pub incarnation: u64,
}

impl Announcement {
    /// Encodes the announcement as the value of its key in the store.
    pub fn encode(self) -> String {
        format!("{} {}", self.version, self.incarnation)
    }

    /// Decodes the value of a key in the store; `None` if it is malformed. Later versions may
    /// append further fields.
    pub fn decode(value: &[u8]) -> Option<Announcement> {
        let mut fields = std::str::from_utf8(value).ok()?.split_ascii_whitespace();
        let version = fields.next()?.parse().ok()?;
        let incarnation = fields.next()?.parse().ok()?;
        Some(Announcement { version, incarnation })
    }
}

/// Announced version of each node.
#[derive(Debug, Default)]
pub struct ProtocolVersions {
    /// Kept when the entry of a node lapses: the incarnation tells whether it is still valid.
    announcements: Mutex<HashMap<Name, Announcement>>,
}

impl ProtocolVersions {
    /// Records the announcement of a node.
    pub(crate) fn announce(&self, node: &Name, announcement: Announcement) {
        let mut announcements = self.announcements.lock().unwrap_or_else(PoisonError::into_inner);
        announcements.insert(node.clone(), announcement);
    }

    /// Returns whether the process that sent `heartbeat` has announced at least `version`.
    pub(crate) fn understands(&self, heartbeat: &Heartbeat, version: u32) -> bool {
        let announcements = self.announcements.lock().unwrap_or_else(PoisonError::into_inner);
        announcements.get(&heartbeat.node).is_some_and(|announcement| {
            announcement.version >= version && announcement.incarnation == heartbeat.incarnation
        })
    }
}
