//! Upstreams that name the requests per second that they take from all nodes together.
//!
//! Handles an upstream in trouble that would be overrun by the sum of what the nodes send. One node
//! admits the requests of all nodes to it, its coordinator: the holder of an engine, or else the live
//! node that ranks first for the upstream. A node sends nothing to such an upstream without admission.
//!
//! A node prefers a limited upstream once in the time in which its share of the limit allows a request,
//! so that the limit is used and its end is noticed. At other times it goes there only if the other
//! upstreams cost more than the wait for the next such time, and asks other engines to load the
//! adapters that it would go there for.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::rendezvous;
use crate::request_limit::RequestRate;
use crate::request_limit::sent_per_second;

use super::Dispatcher;
use super::Job;
use super::pending_admissions::RESPONSE_TIMEOUT;
use super::upstreams::Upstream;

/// Shortest and longest time for which a limited upstream that admitted no request isn't asked again.
/// The longest one bounds how late a node uses an upstream whose limit ended without its knowledge.
const CLOSED_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(10));
/// Change of a limit, as a factor, below which the other nodes aren't told.
const SIGNIFICANT_CHANGE: f64 = 1.25;

/// Limit that an upstream named.
#[derive(Clone, Debug)]
pub(super) struct NamedLimit {
    rate: RequestRate,
    /// Limit that the other nodes know.
    announced: RequestRate,
    /// Time at which this node first learned that the upstream is limited.
    since: Time,
    /// Node that admits requests while the upstream has no active holder.
    coordinator: Option<Name>,
    /// Time from which the share of this node in the limit allows a further request.
    share_at: Time,
    /// Time before which no request is admitted, as the coordinator said.
    closed_until: Time,
}

/// What a reply of an upstream says about its limit, compared with what the node knew.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitNews {
    /// The upstream is not known in this run.
    Ignored,
    /// The other nodes know about as much.
    Known,
    /// The limit is new or has changed.
    Changed,
}

/// Upstream that names a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedUpstream {
    /// Entry in the store.
    pub entry: Arc<UpstreamEntry>,
    /// Limit on the requests of all nodes together.
    pub rate: RequestRate,
}

impl Dispatcher {
    /// Records that the upstream which started at `incarnation` named the limit `rate`.
    pub fn record_request_limit(
        &mut self,
        now: Time,
        id: &Name,
        incarnation: u64,
        rate: RequestRate,
    ) -> LimitNews {
        let Some(upstream) = self.upstreams.get_mut(id) else { return LimitNews::Ignored };
        if upstream.entry.incarnation != incarnation {
            return LimitNews::Ignored;
        }
        if let Some(limit) = &mut upstream.request_limit {
            limit.rate = rate;
            let (known, rate_per_s) = (limit.announced.per_second(), rate.per_second());
            let is_close = rate == limit.announced
                || rate_per_s <= known * SIGNIFICANT_CHANGE
                    && known <= rate_per_s * SIGNIFICANT_CHANGE;
            if is_close {
                return LimitNews::Known;
            }
            limit.announced = rate;
            return LimitNews::Changed;
        }
        // Random, so that the nodes, which learn of the limit together, don't ask together.
        let share = share_interval(rate, self.node_count).mul_f64(self.rng.random());
        upstream.request_limit = Some(NamedLimit {
            rate,
            announced: rate,
            since: now,
            coordinator: None,
            share_at: now + share,
            closed_until: now,
        });
        self.limited.push(id.clone());
        self.select_coordinator(id);
        LimitNews::Changed
    }

    /// Records that the upstream which started at `incarnation` answered a request that was sent at
    /// `sent` without naming a limit. Returns whether that ends a limit. An answer that may be older
    /// than the limit doesn't.
    pub fn record_no_request_limit(&mut self, id: &Name, incarnation: u64, sent: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        let ends = upstream.entry.incarnation == incarnation
            && upstream.request_limit.as_ref().is_some_and(|limit| sent > limit.since);
        if ends {
            self.end_request_limit(id);
        }
        ends
    }

    /// Returns the limit that an upstream names.
    pub fn request_limit(&self, id: &str) -> Option<RequestRate> {
        Some(self.upstreams.get(id)?.request_limit.as_ref()?.rate)
    }

    /// Returns an upstream if it names a limit.
    pub fn limited_upstream(&self, id: &str) -> Option<LimitedUpstream> {
        let upstream = self.upstreams.get(id)?;
        let limit = upstream.request_limit.as_ref()?;
        Some(LimitedUpstream { entry: Arc::clone(&upstream.entry), rate: limit.rate })
    }

    /// Returns whether an upstream names a limit.
    pub fn has_request_limits(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Returns the node that admits requests to a limited upstream.
    pub fn coordinator(&self, id: &str) -> Option<&Name> {
        self.upstreams.get(id)?.admitting_node()
    }

    /// Sets the live nodes that can be coordinators, this one included.
    pub fn set_coordinators(&mut self, nodes: Vec<Name>) {
        self.coordinators = nodes;
        for id in self.limited.clone() {
            self.select_coordinator(&id);
        }
    }

    /// Forgets the limit of an upstream.
    pub(super) fn end_request_limit(&mut self, id: &Name) {
        self.limited.retain(|limited| limited != id);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.request_limit = None;
            if upstream.holder.is_none() {
                self.withdraw_admissions(id);
            }
        }
    }

    /// Records that admission to `id` was denied for the duration of `wait`; returns `false` if the
    /// upstream is not limited.
    pub(super) fn close_limited(&mut self, now: Time, id: &Name, wait: Duration) -> bool {
        let limit = self.upstreams.get_mut(id).and_then(|upstream| upstream.request_limit.as_mut());
        let Some(limit) = limit else { return false };
        limit.closed_until = now + wait.clamp(CLOSED_RANGE.0, CLOSED_RANGE.1);
        limit.share_at = limit.closed_until;
        true
    }

    /// Records that the coordinator of a limited upstream is asked to admit `job`. A coordinator queues
    /// requests for engines only, so that a plain upstream counts as closed until the response.
    pub(super) fn record_limited_ask(&mut self, now: Time, id: &Name, job: &Job) {
        let nodes = self.node_count;
        let limit = self.upstreams.get_mut(id).and_then(|upstream| upstream.request_limit.as_mut());
        let Some(limit) = limit else { return };
        limit.share_at = limit.share_at.max(now) + share_interval(limit.rate, nodes);
        if job.model.is_none() {
            limit.closed_until = now + RESPONSE_TIMEOUT;
        }
    }

    /// Records that a request to a limited upstream was admitted.
    pub(super) fn open_limited(&mut self, now: Time, id: &Name) {
        let limit = self.upstreams.get_mut(id).and_then(|upstream| upstream.request_limit.as_mut());
        if let Some(limit) = limit {
            limit.closed_until = now;
        }
    }

    /// Returns whether an engine gets no adapter loads because it names a limit and others of its
    /// service don't. A load takes several calls, which count against the limit.
    pub(super) fn avoids_loads(&self, upstream: &Upstream) -> bool {
        let service = &upstream.entry.service;
        let is_member = |id: &&Name| {
            self.upstreams.get(*id).is_some_and(|limited| limited.entry.service == *service)
        };
        upstream.request_limit.is_some()
            && self.services.get(service).is_some_and(|service| {
                self.limited.iter().filter(is_member).count() < service.members.len()
            })
    }

    fn select_coordinator(&mut self, id: &Name) {
        let weight =
            |node: &&Name| (rendezvous::weight(id.as_str(), node.as_str()), (*node).clone());
        let first = self.coordinators.iter().max_by_key(weight).cloned();
        let limit = self.upstreams.get_mut(id).and_then(|upstream| upstream.request_limit.as_mut());
        let Some(limit) = limit else { return };
        if limit.coordinator == first {
            return;
        }
        limit.coordinator = first;
        if self.upstreams[id].holder.is_none() {
            self.pending_admissions.requeue(id, &mut self.waiting);
        }
    }
}

impl Upstream {
    /// Returns the node that admits the requests of all nodes: the holder of an engine, or the
    /// coordinator of a limited upstream.
    pub(super) fn admitting_node(&self) -> Option<&Name> {
        let limit = self.request_limit.as_ref();
        self.holder.as_ref().or_else(|| limit?.coordinator.as_ref())
    }

    /// Returns whether a request may be sent without admission.
    pub(super) fn is_unlimited(&self) -> bool {
        self.request_limit.is_none()
    }

    /// Returns whether the coordinator has said that it admits no request now.
    pub(super) fn is_closed(&self, now: Time) -> bool {
        self.request_limit.as_ref().is_some_and(|limit| now < limit.closed_until)
    }

    /// Time until the share of this node in the limit allows a request, as a cost in ms.
    pub(super) fn limit_cost(&self, now: Time) -> f64 {
        let wait = self.request_limit.as_ref().map_or(Duration::ZERO, |l| l.share_at.since(now));
        wait.as_secs_f64() * 1_000.0
    }

    /// Returns the number of requests per second that the upstream takes, given the mean time of a
    /// request in seconds.
    pub(super) fn request_capacity(&self, mean_service_time_s: f64) -> f64 {
        let capacity = f64::from(self.entry.slots) / mean_service_time_s;
        let limit = self.request_limit.as_ref().map(|limit| sent_per_second(limit.rate));
        limit.map_or(capacity, |limit| capacity.min(limit))
    }
}

/// Returns the time between two requests of one of `nodes` nodes at a limit of `rate`.
fn share_interval(rate: RequestRate, nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / sent_per_second(rate))
}
