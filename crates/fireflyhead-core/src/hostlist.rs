//! Hosts as the platform lists them, with a lag.
//!
//! The list may still show a host as live after it was shown as leaving, or leave it
//! out for a while. The leaving mark of a host is therefore kept until the host was
//! absent for the retention period or shows another boot id. A host that is absent
//! without a mark stays usable for the same period: the list is no failure detector.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::Name;
use crate::types::Time;
use crate::types::UpstreamInfo;
use crate::types::UpstreamKind;

/// Limits of [`HostList`].
#[derive(Clone, Copy, Debug)]
pub struct HostListConfig {
    /// Time for which a host must be absent before it is forgotten.
    pub retention: Duration,
    /// Largest number of hosts; further ones are ignored.
    pub max_hosts: usize,
}

impl Default for HostListConfig {
    fn default() -> HostListConfig {
        HostListConfig { retention: Duration::from_secs(5 * 60), max_hosts: 20_000 }
    }
}

/// Kind of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostKind {
    /// Entry host with a node of this system.
    Node,
    /// Host of an upstream.
    Upstream(UpstreamKind),
}

/// Host as one read of the list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the instance.
    pub name: Name,
    /// Address as `ip:port`; the peer address of a node.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Node, engine or plain service.
    pub kind: HostKind,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Id of its last start.
    pub boot_id: Name,
}

#[derive(Debug)]
struct Entry {
    host: Host,
    /// First read since which the host is missing.
    absent_since: Option<Time>,
}

/// Hosts merged from successive reads of the list.
#[derive(Debug, Default)]
pub struct HostList {
    cfg: HostListConfig,
    hosts: BTreeMap<Name, Entry>,
}

impl HostList {
    /// List without hosts.
    pub fn new(cfg: HostListConfig) -> HostList {
        HostList { cfg, hosts: BTreeMap::new() }
    }

    /// Merges one complete read of the list. Failed reads are not passed on, so
    /// an outage of the list does not count as absence.
    pub fn update(&mut self, now: Time, listed: Vec<Host>) {
        for entry in self.hosts.values_mut() {
            entry.absent_since.get_or_insert(now);
        }
        for host in listed {
            self.merge(host);
        }
        let retention = self.cfg.retention;
        self.hosts
            .retain(|_, entry| entry.absent_since.is_none_or(|since| now.since(since) < retention));
    }

    fn merge(&mut self, mut host: Host) {
        let full = self.hosts.len() >= self.cfg.max_hosts;
        match self.hosts.get_mut(&host.name) {
            Some(entry) => {
                host.leaving |= entry.host.boot_id == host.boot_id && entry.host.leaving;
                *entry = Entry { host, absent_since: None };
            }
            None if full => {}
            None => {
                self.hosts.insert(host.name.clone(), Entry { host, absent_since: None });
            }
        }
    }

    /// Upstreams, leaving ones included.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamInfo> {
        self.hosts.values().filter_map(|entry| match entry.host.kind {
            HostKind::Upstream(kind) => Some(UpstreamInfo {
                name: entry.host.name.clone(),
                service: entry.host.service.clone(),
                zone: entry.host.zone.clone(),
                address: entry.host.address.clone(),
                kind,
                fencing: entry.host.fencing,
                leaving: entry.host.leaving,
            }),
            HostKind::Node => None,
        })
    }

    /// Peer addresses of the listed nodes, as seeds of the membership.
    pub fn node_seeds(&self) -> impl Iterator<Item = &Name> {
        let is_node = |entry: &&Entry| entry.host.kind == HostKind::Node && !entry.host.leaving;
        self.hosts.values().filter(is_node).map(|entry| &entry.host.address)
    }
}
