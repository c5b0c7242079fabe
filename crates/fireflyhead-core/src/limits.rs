//! Limits of table rows over all entry nodes, without a call per request.
//!
//! Each node enforces its share of a row's limit. Before anything is known, a
//! share is the limit divided by the live entry nodes. Nodes advertise their
//! demand now and then; each node then divides the limit among the advertised
//! demands, its own last advertised one included, so that all nodes come to the
//! same division and the shares add up to the limit.
//!
//! Retries are limited to a fraction of the fresh requests in a sliding window.
//! Retries of callers and of entries count against the same budget.

mod share;
#[cfg(test)]
mod tests;
mod window;

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use self::share::divide;
use self::share::whole_part;
use self::window::Window;
use crate::table::Policy;
use crate::types::Name;
use crate::types::RefuseReason;
use crate::types::RowId;
use crate::types::Time;

/// Rows kept before rows without recent requests are dropped.
const ROWS_BEFORE_SWEEP: usize = 4096;

/// Time of requests at the full rate that a row may save up.
const BURST: Duration = Duration::from_secs(1);

/// Settings of [`RowLimits`].
#[derive(Clone, Debug)]
pub struct LimitsConfig {
    /// Sliding window for demand and retry budgets.
    pub window: Duration,
    /// Age from which the figures of a peer no longer count.
    pub usage_ttl: Duration,
    /// Shortest time between two divisions of one row's limit.
    pub refresh: Duration,
}

impl Default for LimitsConfig {
    fn default() -> LimitsConfig {
        LimitsConfig {
            window: Duration::from_secs(10),
            usage_ttl: Duration::from_secs(10),
            refresh: Duration::from_millis(200),
        }
    }
}

/// Kind of a request for its limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// First attempt of a caller.
    Fresh,
    /// Retry by a caller that causes work of its own; one that joins a run is not counted.
    CallerRetry,
    /// Retry by the entry of a request that has been admitted and not released.
    EntryRetry,
}

/// Refusal of a request by the limits of its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitRefusal {
    /// [`RefuseReason::RowLimit`] or [`RefuseReason::RetryBudget`].
    pub reason: RefuseReason,
    /// Time after which another attempt may succeed, without jitter.
    pub retry_after: Duration,
}

/// Demand for one row at one node.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowUsage {
    /// Row with a limit.
    pub row: RowId,
    /// Requests a second that arrived, refused ones included.
    pub rate: f32,
    /// Requests in flight, and those refused because of the in-flight limit.
    pub in_flight: u32,
}

/// Demand of a node that is compared with the demand of others.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate: f64,
    in_flight: f64,
}

/// Figures of one peer.
#[derive(Clone, Debug)]
struct PeerUsage {
    at: Time,
    rows: HashMap<RowId, Demand>,
}

/// Budget and limits of one row.
#[derive(Clone, Debug, Default)]
struct RowState {
    arrivals: Window,
    /// Requests refused because of the in-flight limit.
    crowded: Window,
    fresh: Window,
    retries: Window,
    in_flight: u32,
    /// Own demand as last advertised.
    advertised: Option<Demand>,
    /// Division of the limit: time, requests a second, in flight.
    share: Option<(Time, f64, u32)>,
    tokens: f64,
    tokens_at: Time,
    limited: bool,
}

/// Row limits and retry budgets at one entry node.
#[derive(Debug)]
pub struct RowLimits {
    cfg: LimitsConfig,
    me: Name,
    /// Live entry nodes in the order of their names, this one included.
    nodes: Vec<Name>,
    peers: HashMap<Name, PeerUsage>,
    rows: HashMap<RowId, RowState>,
    /// Fresh requests and retries of each class.
    classes: HashMap<RowId, (Window, Window)>,
    sweep_at: usize,
}

impl RowLimits {
    /// Limits of the node `me`, which is alone until [`RowLimits::set_nodes`].
    pub fn new(cfg: LimitsConfig, me: Name) -> RowLimits {
        RowLimits {
            cfg,
            nodes: vec![me.clone()],
            me,
            peers: HashMap::new(),
            rows: HashMap::new(),
            classes: HashMap::new(),
            sweep_at: ROWS_BEFORE_SWEEP,
        }
    }

    /// Puts the live entry nodes in force; this one is added if missing.
    pub fn set_nodes(&mut self, mut nodes: Vec<Name>) {
        nodes.push(self.me.clone());
        nodes.sort_unstable();
        nodes.dedup();
        self.peers.retain(|peer, _| nodes.binary_search(peer).is_ok());
        self.nodes = nodes;
        for row in self.rows.values_mut() {
            row.share = None;
        }
    }

    /// Replaces the figures of a peer; rows that it does not name have no demand there.
    pub fn update_peer(&mut self, now: Time, peer: Name, usage: &[RowUsage]) {
        let demand = |usage: &RowUsage| Demand {
            rate: f64::from(usage.rate.max(0.0)),
            in_flight: f64::from(usage.in_flight),
        };
        let rows = usage.iter().map(|usage| (usage.row, demand(usage))).collect();
        if peer != self.me && self.nodes.binary_search(&peer).is_ok() {
            self.peers.insert(peer, PeerUsage { at: now, rows });
        }
    }

    /// Own figures for the peers: rows with a limit and demand for them.
    ///
    /// They are part of the next divisions here as well, so they must be sent.
    pub fn advertise(&mut self, now: Time) -> Vec<RowUsage> {
        let window = self.cfg.window;
        let mut usage = Vec::new();
        for (id, row) in self.rows.iter_mut().filter(|(_, row)| row.limited) {
            let rate = row.arrivals.sum(now, window) / window.as_secs_f64();
            let in_flight = f64::from(row.in_flight) + row.crowded.sum(now, window);
            row.advertised = Some(Demand { rate, in_flight });
            if rate > 0.0 || in_flight > 0.0 {
                let (rate, in_flight) = (rate as f32, in_flight as u32);
                usage.push(RowUsage { row: *id, rate, in_flight });
            }
        }
        usage.sort_unstable_by_key(|usage| usage.row);
        usage
    }

    /// Admits a request, which must be released when it ends, or says why not.
    ///
    /// # Errors
    /// The row's limit or its retry budget is reached.
    pub fn admit(
        &mut self,
        now: Time,
        policy: &Policy,
        attempt: Attempt,
    ) -> Result<(), LimitRefusal> {
        self.sweep(now);
        self.rows.entry(policy.row).or_default().limited =
            policy.terms.rate.is_some() || policy.terms.in_flight.is_some();
        if attempt != Attempt::Fresh {
            self.check_budget(now, policy)?;
        }
        if attempt != Attempt::EntryRetry {
            self.check_limits(now, policy)?;
        }
        self.count(now, policy, attempt);
        Ok(())
    }

    /// An admitted request ended.
    pub fn release(&mut self, row: RowId) {
        if let Some(row) = self.rows.get_mut(&row) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Whether a retry fits the budget of its row, or is the row's only one and fits the
    /// budget of its class: most rows see less than one request in a window.
    fn check_budget(&mut self, now: Time, policy: &Policy) -> Result<(), LimitRefusal> {
        let window = self.cfg.window;
        let budget = policy.terms.retry_budget;
        let row = self.rows.entry(policy.row).or_default();
        let (fresh, retries) = (row.fresh.sum(now, window), row.retries.sum(now, window));
        if retries + 1.0 <= budget * fresh {
            return Ok(());
        }
        let (class_fresh, class_retries) = self.classes.entry(policy.class).or_default();
        let in_class =
            class_retries.sum(now, window) + 1.0 <= budget * class_fresh.sum(now, window);
        if retries < 1.0 && in_class {
            return Ok(());
        }
        Err(LimitRefusal { reason: RefuseReason::RetryBudget, retry_after: window })
    }

    fn check_limits(&mut self, now: Time, policy: &Policy) -> Result<(), LimitRefusal> {
        let window = self.cfg.window;
        let (rate, in_flight) = self.shares(now, policy);
        let row = self.rows.entry(policy.row).or_default();
        row.arrivals.add(now, window);
        let reason = RefuseReason::RowLimit;
        if policy.terms.in_flight.is_some() && row.in_flight >= in_flight {
            row.crowded.add(now, window);
            return Err(LimitRefusal { reason, retry_after: BURST });
        }
        if policy.terms.rate.is_some() {
            row.refill(now, rate);
            if row.tokens < 1.0 {
                let wait = ((1.0 - row.tokens) / rate.max(1e-3)).min(window.as_secs_f64());
                return Err(LimitRefusal { reason, retry_after: Duration::from_secs_f64(wait) });
            }
            row.tokens -= 1.0;
        }
        Ok(())
    }

    fn count(&mut self, now: Time, policy: &Policy, attempt: Attempt) {
        let window = self.cfg.window;
        let row = self.rows.entry(policy.row).or_default();
        let (fresh, retries) = self.classes.entry(policy.class).or_default();
        if attempt == Attempt::Fresh {
            row.fresh.add(now, window);
            fresh.add(now, window);
        } else {
            row.retries.add(now, window);
            retries.add(now, window);
        }
        if attempt != Attempt::EntryRetry {
            row.in_flight += 1;
        }
    }

    /// This node's requests a second and requests in flight for a row.
    fn shares(&mut self, now: Time, policy: &Policy) -> (f64, u32) {
        let row = self.rows.get(&policy.row);
        match row.and_then(|row| row.share) {
            Some((at, rate, in_flight)) if now.since(at) < self.cfg.refresh => (rate, in_flight),
            _ => {
                let (rate, in_flight) = self.divide_row(now, policy);
                let row = self.rows.entry(policy.row).or_default();
                row.share = Some((now, rate, in_flight));
                (rate, in_flight)
            }
        }
    }

    fn divide_row(&self, now: Time, policy: &Policy) -> (f64, u32) {
        let place = self.nodes.binary_search(&self.me).unwrap_or(0);
        let own = self.rows.get(&policy.row).and_then(|row| row.advertised);
        let demands: Vec<Option<Demand>> = self
            .nodes
            .iter()
            .map(|node| if *node == self.me { own } else { self.demand_at(now, node, policy.row) })
            .collect();
        let of = |limit: f64, figure: fn(&Demand) -> f64| {
            divide(limit, demands.iter().map(|demand| demand.as_ref().map(figure)))
        };
        let rate = policy.terms.rate.map_or(0.0, |limit| of(limit, |d| d.rate)[place]);
        let in_flight = policy.terms.in_flight.map_or(0, |limit| {
            whole_part(&of(f64::from(limit), |d| d.in_flight), place, policy.row.0)
        });
        (rate, in_flight)
    }

    /// Demand of a peer; `None` if unknown.
    fn demand_at(&self, now: Time, node: &Name, row: RowId) -> Option<Demand> {
        let peer = self.peers.get(node).filter(|peer| now.since(peer.at) <= self.cfg.usage_ttl)?;
        Some(peer.rows.get(&row).copied().unwrap_or_default())
    }

    /// Drops rows without recent requests, so that memory follows the rows in use.
    fn sweep(&mut self, now: Time) {
        if self.rows.len() < self.sweep_at {
            return;
        }
        let window = self.cfg.window;
        self.rows.retain(|_, row| {
            row.in_flight > 0 || row.arrivals.sum(now, window) + row.retries.sum(now, window) > 0.0
        });
        self.sweep_at = (self.rows.len() * 2).max(ROWS_BEFORE_SWEEP);
    }
}

impl RowState {
    /// Adds the tokens of the time since the last call. A new row starts with a full burst.
    fn refill(&mut self, now: Time, rate: f64) {
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = match self.tokens_at {
            at if at == Time::default() => most,
            at => (self.tokens + rate * now.since(at).as_secs_f64()).min(most),
        };
        self.tokens_at = now;
    }
}
