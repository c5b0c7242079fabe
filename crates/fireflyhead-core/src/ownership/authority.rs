//! Lease of the node, state of the service, and the right to give orders.

use crate::membership::StoreViews;
use crate::ownership::OwnershipConfig;
use crate::ownership::OwnershipEffect;
use crate::types::Time;

/// Consecutive calls without an answer after which the service counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

#[derive(Debug)]
struct Lease {
    id: i64,
    /// End by this node's clock, counted from when the call was issued.
    ends: Time,
    registered: bool,
}

/// Lease and contact of one node.
#[derive(Debug)]
pub(super) struct Authority {
    cfg: OwnershipConfig,
    lease: Option<Lease>,
    /// Call about the lease without a result.
    lease_call: Option<Time>,
    next_lease_call: Time,
    /// End of the extensions during an outage.
    extended_until: Time,
    reachable: bool,
    failures: u32,
    /// Whether any call failed since the start.
    failed: bool,
    last_answer: Time,
    /// No takeover before.
    takeover_from: Option<Time>,
    majority: bool,
    isolated: bool,
    views: StoreViews,
    /// Since when this node is in contact with most members and no majority of
    /// their views says that the service is down.
    agreed_since: Option<Time>,
    /// Whether views may have differed since the last agreement: a member that was
    /// not heard before, or one that does not reach the service.
    views_differed: bool,
    /// Fewest members heard since the last agreement.
    heard: usize,
}

impl Authority {
    pub(super) fn new(cfg: OwnershipConfig) -> Authority {
        Authority {
            cfg,
            lease: None,
            lease_call: None,
            next_lease_call: Time::default(),
            extended_until: Time::default(),
            reachable: false,
            failures: 0,
            failed: false,
            last_answer: Time::default(),
            takeover_from: None,
            majority: false,
            isolated: false,
            views: StoreViews::default(),
            agreed_since: None,
            views_differed: true,
            heard: 0,
        }
    }

    pub(super) fn lease(&self) -> Option<i64> {
        self.lease.as_ref().map(|lease| lease.id)
    }

    pub(super) fn store_reachable(&self) -> bool {
        self.reachable
    }

    pub(super) fn majority(&self) -> bool {
        self.majority
    }

    /// Whether this node reaches neither the service nor any other member.
    pub(super) fn isolated(&self) -> bool {
        self.isolated && !self.reachable
    }

    /// Whether the owner may give orders now.
    pub(super) fn orders_allowed(&self, now: Time) -> bool {
        now < self.holds_until()
    }

    fn holds_until(&self) -> Time {
        let leased = match &self.lease {
            Some(lease) => lease.ends - self.cfg.lease_margin,
            None => Time::default(),
        };
        leased.max(self.extended_until)
    }

    /// Takes a new lease; false if there is one already. Records are bound to the
    /// first, so the late answer to a repeated call must not replace it.
    pub(super) fn granted(&mut self, now: Time, id: i64, sent: Time) -> bool {
        self.lease_call = None;
        if self.lease.is_some() {
            return false;
        }
        self.next_lease_call = now + self.cfg.keep_alive;
        self.lease = Some(Lease { id, ends: sent + self.cfg.lease_ttl, registered: false });
        true
    }

    pub(super) fn kept_alive(&mut self, id: i64, sent: Time) {
        self.lease_call = None;
        match &mut self.lease {
            Some(lease) if lease.id == id => {
                lease.ends = lease.ends.max(sent + self.cfg.lease_ttl);
            }
            _ => {}
        }
    }

    pub(super) fn call_ended(&mut self) {
        self.lease_call = None;
    }

    pub(super) fn registered(&mut self, id: i64) {
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) {
            lease.registered = true;
        }
    }

    /// Ends the lease; true if an unbroken chain of extensions held until now.
    pub(super) fn lost(&mut self, now: Time) -> bool {
        let held = now < self.extended_until;
        self.lease = None;
        self.lease_call = None;
        self.next_lease_call = now;
        self.extended_until = Time::default();
        held
    }

    /// Notes whether a call was answered; true if an outage ended.
    pub(super) fn called(&mut self, now: Time, ok: bool) -> bool {
        self.failures = if ok { 0 } else { self.failures.saturating_add(1) };
        self.failed |= !ok;
        if ok {
            self.last_answer = now;
        }
        match ok {
            true if !self.reachable => {
                // A new node may have started in an outage that others see as well.
                let calm = self.takeover_from.is_none() && !self.failed;
                let grace = if calm { self.cfg.start_grace } else { self.cfg.grace };
                self.reachable = true;
                self.takeover_from = Some(now + grace);
                true
            }
            true => false,
            false => {
                // Single lost replies among answered calls are no outage.
                let silent = now.since(self.last_answer) >= self.cfg.keep_alive;
                self.reachable &= !(silent && self.failures >= UNREACHABLE_AFTER);
                false
            }
        }
    }

    pub(super) fn set_contact(
        &mut self,
        now: Time,
        majority: bool,
        isolated: bool,
        views: StoreViews,
    ) {
        let agreed = majority && views.reachable >= views.unreachable;
        let heard = views.reachable + views.unreachable;
        self.views_differed |= views.unreachable > 0 || heard > self.heard;
        self.heard = self.heard.min(heard);
        if agreed && self.agreed_since.is_none() {
            self.agreed_since = Some(now);
            // An owner without the service may not know yet that the views changed. If
            // no contact returned and the silent members were declared dead meanwhile,
            // nobody's view changes, and the wait would only delay the next owner.
            if self.views_differed {
                let settled = self.takeover_from.map(|from| from.max(now + self.cfg.grace));
                self.takeover_from = settled;
            }
        }
        if agreed {
            self.views_differed = false;
            self.heard = heard;
        }
        self.agreed_since = self.agreed_since.filter(|_| agreed);
        self.majority = majority;
        self.isolated = isolated;
        self.views = views;
    }

    /// First time at which a takeover is allowed.
    pub(super) fn takeover_start(&self) -> Time {
        self.takeover_from.unwrap_or_default()
    }

    /// Whether the service answers and the lease is valid.
    pub(super) fn has_lease(&self, now: Time) -> bool {
        let valid = |lease: &Lease| now < lease.ends - self.cfg.lease_margin;
        self.reachable && self.lease.as_ref().is_some_and(valid)
    }

    /// Whether this node may take over upstreams without a record.
    pub(super) fn may_take_over(&self, now: Time) -> bool {
        self.has_lease(now)
            && self.takeover_from.is_some_and(|from| now >= from)
            && self.agreed_since.is_some()
    }

    /// Extends the right to give orders during an outage, and keeps the lease alive.
    pub(super) fn advance(&mut self, now: Time, effects: &mut Vec<OwnershipEffect>) {
        let agreed = self.majority && self.views.reachable <= self.views.unreachable;
        if !self.reachable && agreed && self.lease.is_some() && now < self.holds_until() {
            self.extended_until = now + self.cfg.extension;
        }
        let waiting = self.lease_call.is_some_and(|sent| now.since(sent) < self.cfg.call_timeout);
        if waiting || now < self.next_lease_call {
            return;
        }
        self.lease_call = Some(now);
        self.next_lease_call = now + self.cfg.keep_alive;
        match &self.lease {
            Some(lease) => {
                let (lease, registered) = (lease.id, lease.registered);
                effects.push(OwnershipEffect::KeepAlive { lease });
                if !registered {
                    effects.push(OwnershipEffect::Register { lease });
                }
            }
            None => effects.push(OwnershipEffect::GrantLease),
        }
    }
}
