//! Exchange of the configuration between nodes, for those that the store refuses.
//!
//! A key that is revoked must stop to work on all nodes within seconds, also on a node that the store
//! turns away for longer than that. Each node announces the version that it has; one that learns of a
//! higher version requests the item in parts and applies it like an item of the store. A lower version
//! never replaces a higher one, so that the order, loss and repetition of messages don't matter.
//!
//! A transfer is given up when nothing arrives, however long its bytes take: over a slow link, a large
//! version may be followed by the next before it is whole.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use siphasher::sip::SipHasher13;

use crate::Name;
use crate::Time;
use crate::era::Era;
use crate::protocol::Item;

/// Interval at which each node announces its version.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of nodes to which each node announces its version in an interval. With 60 nodes, of which a
/// third lacks a version, each of those misses all notices of an interval in one of seven cases.
pub const NOTICE_NODES: usize = 3;
/// Largest part of a configuration, in bytes. With its head it fits into a datagram.
pub const MAX_PART_BYTES: usize = 24 * 1024;
/// Largest number of parts that a node has requested and not received. They fit into the usual receive
/// buffer of a socket.
pub const MAX_PARTS_IN_FLIGHT: usize = 8;
/// Largest configuration that is exchanged, in bytes; the page of the parts names 1 MB.
pub const MAX_CONFIG_BYTES: usize = 1024 * 1024;
/// Time without any part after which the requested ones count as lost.
const PART_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of parts requested later whose arrival shows that a part is lost, as for segments of TCP.
const MAX_OVERTAKING_PARTS: u32 = 3;
/// Time without a part after which another node is asked.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest number of earlier versions that a node keeps for the nodes that are receiving them.
const MAX_RETAINED: usize = 2;
/// Time after which the offer of a node that has not repeated it is forgotten.
const OFFER_TTL: Duration = Duration::from_secs(30);
/// Largest number of nodes whose offers are remembered; a further one replaces the oldest.
const MAX_OFFERS: usize = 64;
/// Largest number of remembered configurations that can't be used.
const MAX_UNUSABLE: usize = 16;
/// Keys of the digest, fixed because all nodes must compute the same one.
const DIGEST_KEYS: (u64, u64) = (0x636f_6e66, 0x6967_7572);

/// Identity of a configuration. Of two contents with the same version, the one of the later era is
/// preferred by a node that has neither.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConfigStamp {
    /// Version.
    pub version: u64,
    /// Era of the store from which the announcing node has it.
    pub era: Era,
    /// Digest of the item's value.
    pub digest: u64,
    /// Size of the item's value in bytes.
    pub bytes: u32,
}

impl ConfigStamp {
    /// Returns whether both name the same content.
    fn is_same(&self, other: &ConfigStamp) -> bool {
        (self.version, self.digest, self.bytes) == (other.version, other.digest, other.bytes)
    }

    fn part_count(&self) -> usize {
        (self.bytes as usize).div_ceil(MAX_PART_BYTES)
    }

    /// Returns the position of part `index` in the value.
    fn part_range(&self, index: usize) -> std::ops::Range<usize> {
        let start = index * MAX_PART_BYTES;
        start..(start + MAX_PART_BYTES).min(self.bytes as usize)
    }
}

/// Announcement of the configuration that a node has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigNotice {
    /// Node that sends it.
    pub node: Name,
    /// Its configuration.
    pub stamp: ConfigStamp,
}

/// Request for parts of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRequest {
    /// Node that sends it.
    pub node: Name,
    /// Wanted configuration.
    pub stamp: ConfigStamp,
    /// Indices of the wanted parts.
    pub parts: Vec<u32>,
}

/// Part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPart {
    /// Node that sends it.
    pub node: Name,
    /// Configuration that it belongs to.
    pub stamp: ConfigStamp,
    /// Key of the item.
    pub key: Name,
    /// Revision of the item in the era of the stamp.
    pub revision: u64,
    /// Index of the part.
    pub index: u32,
    /// Content of the part.
    pub data: Bytes,
}

/// Meaning of a notice for the node that received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeOutcome {
    /// The sender has a higher version, which is wanted now.
    Newer,
    /// The sender has a lower version and should be told the own one.
    Older,
    /// The sender has the same version.
    Same,
}

/// Response to a [`ConfigRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The requested parts.
    Parts(Vec<ConfigPart>),
    /// The node no longer has the configuration, and announces its own.
    Notice(ConfigStamp),
    /// The node has no configuration.
    Nothing,
}

/// Result of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartOutcome {
    /// The part was kept, or is of no use.
    Pending,
    /// All parts have arrived.
    Whole(ConfigStamp, Item),
    /// All parts have arrived, but they don't fit together.
    Corrupt(ConfigStamp),
}

/// Offer of a node.
#[derive(Clone, Copy, Debug)]
struct Offer {
    stamp: ConfigStamp,
    at: Time,
}

/// Configuration that is being received.
#[derive(Debug)]
struct Transfer {
    stamp: ConfigStamp,
    /// Node that is asked now.
    source: Name,
    /// Time of the last new part, or at which the source was asked first.
    last_progress: Time,
    parts: BTreeMap<u32, Bytes>,
    /// Requested parts that have not arrived.
    in_flight: HashMap<u32, PartRequest>,
    /// Number of parts requested so far.
    requested: u64,
    /// Whether an unfinished transfer of a lower version was given up for this one.
    is_replacement: bool,
}

/// Request of a part that has not arrived.
#[derive(Clone, Copy, Debug)]
struct PartRequest {
    at: Time,
    /// Position among all requests of the transfer.
    number: u64,
    /// Number of parts requested later that have arrived.
    overtaken: u32,
}

impl Transfer {
    fn new(stamp: ConfigStamp, source: Name, now: Time, is_replacement: bool) -> Transfer {
        Transfer {
            stamp,
            source,
            last_progress: now,
            parts: BTreeMap::new(),
            in_flight: HashMap::new(),
            requested: 0,
            is_replacement,
        }
    }

    /// Forgets the requests of parts that are lost: no part has arrived for some time, or some that were
    /// requested later have.
    fn drop_lost_requests(&mut self, now: Time) {
        let last_progress = self.last_progress;
        self.in_flight.retain(|_, request| {
            now.since(request.at.max(last_progress)) < PART_TIMEOUT
                && request.overtaken < MAX_OVERTAKING_PARTS
        });
    }

    /// Returns the parts to request now.
    fn request_parts(&mut self, now: Time) -> Vec<u32> {
        let count = u32::try_from(self.stamp.part_count()).unwrap_or(u32::MAX);
        let parts: Vec<u32> = (0..count)
            .filter(|index| !self.parts.contains_key(index))
            .filter(|index| !self.in_flight.contains_key(index))
            .take(MAX_PARTS_IN_FLIGHT.saturating_sub(self.in_flight.len()))
            .collect();
        for index in &parts {
            let request = PartRequest { at: now, number: self.requested, overtaken: 0 };
            self.requested += 1;
            self.in_flight.insert(*index, request);
        }
        parts
    }

    /// Records a part that has arrived.
    fn record_part(&mut self, now: Time, index: u32, data: Bytes) {
        if let Some(PartRequest { number, .. }) = self.in_flight.remove(&index) {
            let earlier = self.in_flight.values_mut().filter(|request| request.number < number);
            earlier.for_each(|request| request.overtaken += 1);
        }
        if self.parts.insert(index, data).is_none() {
            self.last_progress = now;
        }
    }

    /// Returns whether the source has sent nothing for too long.
    fn is_silent(&self, now: Time) -> bool {
        now.since(self.last_progress) >= SOURCE_TIMEOUT
    }

    /// Returns whether the transfer goes on although a higher version is offered: parts of it arrive, and
    /// it has itself replaced another one, which would otherwise go on while versions follow each other.
    fn outlasts_newer(&self, now: Time) -> bool {
        self.is_replacement
            && !self.parts.is_empty()
            && now.since(self.last_progress) < PART_TIMEOUT
    }
}

/// Configuration that the node has.
#[derive(Clone, Debug)]
struct OwnConfig {
    stamp: ConfigStamp,
    item: Item,
    /// Time of the last request for it.
    requested_at: Option<Time>,
}

impl OwnConfig {
    /// Returns whether another node is receiving it.
    fn is_being_sent(&self, now: Time) -> bool {
        self.requested_at.is_some_and(|at| now.since(at) < SOURCE_TIMEOUT)
    }

    /// Returns the requested parts.
    fn parts(&self, node: &Name, wanted: &[u32]) -> Vec<ConfigPart> {
        let OwnConfig { stamp, item, .. } = self;
        let value = item.value.clone().unwrap_or_default();
        let wanted = wanted.iter().take(MAX_PARTS_IN_FLIGHT);
        let parts = wanted.filter(|index| (**index as usize) < stamp.part_count()).map(|index| {
            ConfigPart {
                node: node.clone(),
                stamp: *stamp,
                key: item.key.clone(),
                revision: item.revision,
                index: *index,
                data: value.slice(stamp.part_range(*index as usize)),
            }
        });
        parts.collect()
    }
}

/// Exchange of the configuration with the other nodes, as one node sees it.
#[derive(Debug)]
pub struct ConfigExchange {
    node: Name,
    own: Option<OwnConfig>,
    /// Earlier versions that other nodes are receiving.
    retained: Vec<OwnConfig>,
    /// Higher versions than the own one, by the nodes that announced them last.
    offers: BTreeMap<Name, Offer>,
    transfer: Option<Transfer>,
    /// Configurations that could not be parsed.
    unusable: Vec<ConfigStamp>,
    /// Whether the own version has not been announced yet.
    is_unannounced: bool,
}

impl ConfigExchange {
    /// Creates the exchange of `node`, which has no configuration.
    pub fn new(node: Name) -> ConfigExchange {
        ConfigExchange {
            node,
            own: None,
            retained: Vec::new(),
            offers: BTreeMap::new(),
            transfer: None,
            unusable: Vec::new(),
            is_unannounced: false,
        }
    }

    /// Records that the configuration `item`, which has this version and was read in `era`, is in
    /// effect. Has no effect if a version at least as high is.
    pub fn set_own(&mut self, version: u64, era: Era, item: &Item) {
        if self.version().is_some_and(|own| own >= version) {
            return;
        }
        let value = item.value.as_deref().unwrap_or_default();
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        let stamp = ConfigStamp { version, era, digest: digest(value), bytes };
        let own = OwnConfig { stamp, item: item.clone(), requested_at: None };
        let previous = self.own.replace(own);
        self.retained.extend(previous.filter(|previous| previous.requested_at.is_some()));
        if self.retained.len() > MAX_RETAINED {
            self.retained.remove(0);
        }
        self.is_unannounced = true;
        self.offers.retain(|_, offer| offer.stamp.version > version);
        if self.transfer.as_ref().is_some_and(|transfer| transfer.stamp.version <= version) {
            self.transfer = None;
        }
    }

    /// Returns the version of the configuration in effect.
    pub fn version(&self) -> Option<u64> {
        self.own.as_ref().map(|own| own.stamp.version)
    }

    /// Returns the announcement of the own configuration; `None` without one or if it is too large.
    pub fn notice(&self) -> Option<ConfigNotice> {
        let stamp = self.own.as_ref()?.stamp;
        is_exchanged(&stamp).then(|| ConfigNotice { node: self.node.clone(), stamp })
    }

    /// Returns whether the own version has not been announced yet, and resets that.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.is_unannounced)
    }

    /// Handles the announcement of another node.
    pub fn handle_notice(&mut self, now: Time, notice: &ConfigNotice) -> NoticeOutcome {
        let ConfigNotice { node, stamp } = notice;
        let outcome = match self.version() {
            Some(own) if stamp.version < own => NoticeOutcome::Older,
            Some(own) if stamp.version == own => NoticeOutcome::Same,
            Some(_) | None => NoticeOutcome::Newer,
        };
        match outcome {
            NoticeOutcome::Newer if is_exchanged(stamp) && *node != self.node => {
                if self.offers.len() >= MAX_OFFERS && !self.offers.contains_key(node) {
                    let oldest = self.offers.iter().min_by_key(|(_, offer)| offer.at);
                    let oldest = oldest.map(|(node, _)| node.clone());
                    oldest.and_then(|node| self.offers.remove(&node));
                }
                self.offers.insert(node.clone(), Offer { stamp: *stamp, at: now });
            }
            NoticeOutcome::Newer => {}
            NoticeOutcome::Older | NoticeOutcome::Same => {
                self.offers.remove(node);
            }
        }
        outcome
    }

    /// Handles the request of another node.
    pub fn handle_request(&mut self, now: Time, request: &ConfigRequest) -> RequestOutcome {
        let Some(own) = &mut self.own else { return RequestOutcome::Nothing };
        let newest = own.stamp;
        let mut held = std::iter::once(own).chain(&mut self.retained);
        match held.find(|config| config.stamp.is_same(&request.stamp)) {
            Some(config) if is_exchanged(&config.stamp) => {
                config.requested_at = Some(now);
                RequestOutcome::Parts(config.parts(&self.node, &request.parts))
            }
            Some(_) | None => RequestOutcome::Notice(newest),
        }
    }

    /// Returns the request that is due, with the node to ask.
    pub fn due_request(&mut self, now: Time) -> Option<(Name, ConfigRequest)> {
        self.offers.retain(|_, offer| now.since(offer.at) < OFFER_TTL);
        self.retained.retain(|config| config.is_being_sent(now));
        self.select_source(now);
        let transfer = self.transfer.as_mut()?;
        transfer.drop_lost_requests(now);
        let parts = transfer.request_parts(now);
        if parts.is_empty() {
            return None;
        }
        let request = ConfigRequest { node: self.node.clone(), stamp: transfer.stamp, parts };
        Some((transfer.source.clone(), request))
    }

    /// Returns the time at which the next request may be due without a further message.
    pub fn next_due(&self) -> Option<Time> {
        let transfer = self.transfer.as_ref()?;
        let last_progress = transfer.last_progress;
        let requested = transfer.in_flight.values().map(|request| request.at);
        let lost = requested.map(|at| at.max(last_progress) + PART_TIMEOUT).min();
        let silent = transfer.last_progress + SOURCE_TIMEOUT;
        Some(lost.map_or(silent, |lost| lost.min(silent)))
    }

    /// Begins to receive the highest offered version, and changes to another node that offers it if
    /// the present one has sent nothing or no longer offers it.
    fn select_source(&mut self, now: Time) {
        if self.transfer.as_ref().is_some_and(|transfer| transfer.outlasts_newer(now)) {
            return;
        }
        let silent = self.transfer.as_ref().filter(|transfer| transfer.is_silent(now));
        if let Some(Transfer { source, .. }) = silent {
            // The next announcement of the node makes it a source again. Until then, a lower version that
            // others have is better than none.
            self.offers.remove(source);
        }
        let usable = |stamp: &ConfigStamp| !self.unusable.iter().any(|bad| bad.is_same(stamp));
        let offered = self.offers.values().map(|offer| offer.stamp).filter(usable);
        let Some(wanted) = offered.max() else {
            self.transfer = None;
            return;
        };
        let sources: Vec<&Name> = self
            .offers
            .iter()
            .filter(|(_, offer)| offer.stamp.is_same(&wanted))
            .map(|(node, _)| node)
            .collect();
        match &mut self.transfer {
            Some(transfer) if transfer.stamp.is_same(&wanted) => {
                if !transfer.is_silent(now) && sources.contains(&&transfer.source) {
                    return;
                }
                let next = sources.iter().find(|node| ***node > transfer.source);
                let Some(source) = next.or(sources.first()) else { return };
                transfer.source = Name::clone(source);
                transfer.last_progress = now;
                transfer.in_flight.clear();
            }
            current => {
                // Nodes that learn of a version at the same moment ask different ones.
                let Some(source) = sources.get(spread(&self.node, sources.len())) else { return };
                let is_replacement =
                    current.as_ref().is_some_and(|transfer| !transfer.parts.is_empty());
                let source = Name::clone(source);
                *current = Some(Transfer::new(wanted, source, now, is_replacement));
            }
        }
    }

    /// Handles a part. The caller applies a whole configuration, or calls
    /// [`ConfigExchange::record_unusable`].
    pub fn handle_part(&mut self, now: Time, part: &ConfigPart) -> PartOutcome {
        let Some(transfer) = &mut self.transfer else { return PartOutcome::Pending };
        let stamp = transfer.stamp;
        let index = part.index as usize;
        let is_wanted = stamp.is_same(&part.stamp)
            && index < stamp.part_count()
            && part.data.len() == stamp.part_range(index).len();
        if !is_wanted {
            return PartOutcome::Pending;
        }
        transfer.record_part(now, part.index, part.data.clone());
        if transfer.parts.len() < stamp.part_count() {
            return PartOutcome::Pending;
        }
        let mut value = BytesMut::with_capacity(stamp.bytes as usize);
        transfer.parts.values().for_each(|data| value.extend_from_slice(data));
        self.transfer = None;
        match digest(&value) == stamp.digest {
            true => {
                let value = Some(value.freeze());
                let item = Item { key: part.key.clone(), value, revision: part.revision, lease: 0 };
                PartOutcome::Whole(part.stamp, item)
            }
            false => {
                // The next announcement of the node makes it a source again.
                self.offers.remove(&part.node);
                PartOutcome::Corrupt(stamp)
            }
        }
    }

    /// Records that a configuration can't be used, so that it is not requested again.
    pub fn record_unusable(&mut self, stamp: ConfigStamp) {
        if self.unusable.len() >= MAX_UNUSABLE {
            self.unusable.remove(0);
        }
        self.unusable.push(stamp);
    }
}

/// Returns whether a configuration of this size is exchanged.
fn is_exchanged(stamp: &ConfigStamp) -> bool {
    (1..=MAX_CONFIG_BYTES).contains(&(stamp.bytes as usize))
}

/// Returns a position below `count` that depends on the node.
fn spread(node: &Name, count: usize) -> usize {
    (digest(node.as_str().as_bytes()) % count.max(1) as u64) as usize
}

fn digest(value: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(DIGEST_KEYS.0, DIGEST_KEYS.1);
    hasher.write(value);
    hasher.finish()
}
