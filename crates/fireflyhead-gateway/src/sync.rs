//! Configuration and upstreams as the store has them.
//!
//! One watch covers all keys. It is paced, because upstreams write often and each return of a
//! watch is a call; changes still arrive well within the bounds for configuration and
//! draining. A history that is gone is replaced by a full read. The readers of a zone hand
//! changes on to its other nodes, which watch the store only while nothing is handed on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::FleetChange;
use fireflyhead_policy::fleet::LAPSE_GRACE;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreRecord;
use fireflyhead_policy::protocol::StoreReply;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::FeedOutcome;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use crate::beats::keeper_tell;
use crate::clock;
use crate::keeper::Keeper;
use crate::keeper::KeeperMsg;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::StoreClient;

/// Prefix of all keys.
const ALL_KEYS: &str = "";
/// Longest wait of a watch. A third of the lease at most, because a holder acts on a view of
/// the store that is younger than its lease.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Share of the bound for changes that passes between two watches.
const PACE_SHARE: f64 = 0.4;
/// Time past the pace for which changes from a reader are waited for.
const FEED_MARGIN: Duration = Duration::from_millis(400);
/// Delay of a feed from which the node itself is taken to have stood still: what waits is old.
const STOOD_STILL: Duration = Duration::from_millis(1_000);
/// Largest feed, in bytes of its items; a larger one is read from the store by each node.
const MAX_FEED: usize = 24 * 1024;
/// First and longest wait after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_000));

/// Follows the store until the process ends.
pub async fn follow(shared: Arc<Shared>, store: Arc<StoreClient>, keeper: ActorRef<Keeper>) {
    let mut follower = Follower {
        backoff: Backoff::new(BACKOFF.0, BACKOFF.1),
        shared,
        store,
        keeper,
        connected: false,
    };
    loop {
        let revision = follower.load().await;
        follower.watch(revision).await;
    }
}

struct Follower {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    keeper: ActorRef<Keeper>,
    backoff: Backoff,
    connected: bool,
}

impl Follower {
    /// Reads everything and returns the revision from which changes are to be followed.
    async fn load(&mut self) -> u64 {
        loop {
            match self.pages().await {
                Ok((items, revision)) => {
                    self.up();
                    self.replace(&items).await;
                    tracing::info!(event = "store_read", items = items.len(), revision);
                    return revision;
                }
                Err(reason) => self.down(&reason).await,
            }
        }
    }

    /// All items, with the revision before the first page.
    async fn pages(&self) -> Result<(Vec<Item>, u64), String> {
        let mut all: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = all.last().map(|item| item.key.clone());
            let call = StoreCall::Range { prefix: Name::from(ALL_KEYS), after };
            match self.store.call(&call).await {
                Ok(StoreReply::Items { items, more, revision }) => {
                    // Pages are not a snapshot; changes after the first one are seen again by the watch.
                    let revision = *first.get_or_insert(revision);
                    let last = items.is_empty();
                    all.extend(items);
                    if !more || last {
                        return Ok((all, revision));
                    }
                }
                Ok(reply) => return Err(format!("{reply:?}")),
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Follows changes until the history is gone.
    async fn watch(&mut self, mut after: u64) {
        loop {
            after = self.fed(after).await;
            let sent = clock::now();
            let wait = WATCH_WAIT.min(self.shared.settings.lease_ttl / 3);
            let call = StoreCall::Watch { prefix: Name::from(ALL_KEYS), after, wait };
            match self.store.call(&call).await {
                Ok(StoreReply::Items { items, revision, .. }) => {
                    self.up();
                    let news = self.apply(&items).await;
                    if self.shared.is_reader(clock::now()) {
                        self.hand_on(after, revision, news);
                        sleep(self.pace().saturating_sub(clock::now().since(sent))).await;
                    }
                    after = revision.max(after);
                }
                Ok(StoreReply::Compacted) => {
                    tracing::info!(event = "store_history_gone", after);
                    return;
                }
                Ok(reply) => self.down(&format!("{reply:?}")).await,
                Err(e) => self.down(&e.to_string()).await,
            }
        }
    }

    fn pace(&self) -> Duration {
        self.shared.settings.apply_bound.mul_f64(PACE_SHARE)
    }

    /// Applies what readers hand on, while they do and this node is none; returns the revision
    /// up to which the store is known.
    async fn fed(&mut self, mut after: u64) -> u64 {
        let limit = self.pace() + FEED_MARGIN;
        while !self.shared.is_reader(clock::now()) {
            let asked = clock::now();
            let Some(feed) = self.shared.feeds.next(limit).await else {
                tracing::info!(event = "no_feed", after);
                return after;
            };
            let now = clock::now();
            if now.since(asked) >= limit + STOOD_STILL {
                self.shared.feeds.clear();
                return after;
            }
            let since_outage = feed.since_outage;
            match feed.changes_after(after) {
                FeedOutcome::Apply(items, to) => {
                    self.up();
                    if let Some(since_outage) = since_outage {
                        self.shared.fleet().record_outage_end(now - since_outage);
                    }
                    self.apply(&items).await;
                    after = to;
                }
                FeedOutcome::Gap => {
                    tracing::info!(event = "feed_gap", after);
                    return after;
                }
            }
        }
        after
    }

    /// Hands changes on to the other nodes of the zone.
    fn hand_on(&self, from: u64, to: u64, items: Vec<Item>) {
        let now = clock::now();
        let bytes: usize = items.iter().map(|item| item.value.as_ref().map_or(0, Bytes::len)).sum();
        let returned = self.shared.fleet().outage_end();
        let since_outage = returned.map(|at| now.since(at)).filter(|age| *age < LAPSE_GRACE);
        let feed = match bytes <= MAX_FEED {
            true => Feed { from, to, since_outage, items },
            // The others see a gap and read the store.
            false => Feed { from: to, to, since_outage, items: Vec::new() },
        };
        self.shared.hand_on(now, feed);
    }

    fn up(&mut self) {
        self.backoff.reset();
        if !self.connected {
            self.connected = true;
            self.shared.fleet().end_outage(clock::now());
            tracing::info!(event = "store_reached");
        }
    }

    async fn down(&mut self, reason: &str) {
        if self.connected {
            self.connected = false;
            self.shared.fleet().start_outage();
            tracing::warn!(event = "store_lost", reason);
        }
        sleep(self.backoff.wait()).await;
    }

    /// Applies a full read.
    async fn replace(&self, items: &[Item]) {
        let now = clock::now();
        let mut listed = HashMap::new();
        for item in items {
            match self.shared.protocol.parse_store_item(item) {
                StoreRecord::Upstream { id, entry: Some(entry) } => {
                    listed.insert(id, entry);
                }
                record => self.take(item, record),
            }
        }
        let changes = self.shared.fleet().replace(now, &listed);
        self.changed(changes).await;
        self.own(items, true).await;
    }

    /// Applies changes; returns those that other nodes must know.
    async fn apply(&self, items: &[Item]) -> Vec<Item> {
        let now = clock::now();
        let mut changes = Vec::new();
        let mut news = Vec::new();
        for item in items {
            match self.shared.protocol.parse_store_item(item) {
                StoreRecord::Upstream { id, entry } => {
                    if entry.is_none() && item.value.is_some() {
                        tracing::debug!(event = "entry_ignored", key = %item.key);
                    }
                    let gone = entry.is_none();
                    let change = self.shared.fleet().apply(now, &id, entry);
                    if gone || change.iter().any(|c| !matches!(c, FleetChange::Updated(_))) {
                        news.push(item.clone());
                    }
                    changes.extend(change);
                }
                record => {
                    news.push(item.clone());
                    self.take(item, record);
                }
            }
        }
        self.changed(changes).await;
        self.own(items, false).await;
        news
    }

    /// Takes a record that concerns no upstream.
    fn take(&self, item: &Item, record: StoreRecord) {
        let now = clock::now();
        match record {
            StoreRecord::Config(Some(config)) => {
                let version = config.version;
                let routes = config.route_count();
                if self.shared.set_config(*config) {
                    tracing::info!(
                        event = "config_in_force",
                        version,
                        routes,
                        revision = item.revision
                    );
                }
            }
            StoreRecord::Config(None) => {
                tracing::warn!(event = "config_ignored", revision = item.revision);
            }
            StoreRecord::Version { target: ModelRef { model, adapter }, version } => {
                // The empty name stands for the base model itself.
                let adapter = adapter.unwrap_or_else(|| Name::from(""));
                tracing::info!(event = "version_named", %model, %adapter, version);
                self.shared.dispatcher().set_newest_version(now, &model, &adapter, version);
            }
            StoreRecord::Upstream { .. } | StoreRecord::Internal | StoreRecord::Unknown => {}
        }
    }

    async fn changed(&self, changes: Vec<FleetChange>) {
        for change in &changes {
            match change {
                FleetChange::Listed(entry) => {
                    tracing::info!(
                        event = "upstream_listed",
                        upstream = %entry.id,
                        service = %entry.service,
                        state = ?entry.state,
                        born = entry.incarnation,
                        adapters = entry.adapters.len()
                    );
                    self.shared.dispatcher().upsert_upstream(entry);
                }
                // Frequent, and the adapters are known from beats; not worth a line.
                FleetChange::Updated(entry) => self.shared.dispatcher().upsert_upstream(entry),
                FleetChange::Removed(id) => {
                    tracing::info!(event = "upstream_gone", upstream = %id);
                    self.shared.dispatcher().remove_upstream(id);
                    self.shared.pool.forget(id.as_str());
                }
            }
        }
        self.shared.pump(clock::now());
    }

    async fn own(&self, items: &[Item], full: bool) {
        let own = items
            .iter()
            .filter(|item| self.shared.protocol.parse_store_item(item) == StoreRecord::Internal)
            .cloned()
            .collect();
        keeper_tell(&self.keeper, KeeperMsg::Store { items: own, full }).await;
    }
}

/// Drops upstreams whose grace after an outage has ended.
pub fn tick(shared: &Shared) {
    let changes = shared.fleet().remove_lapsed(clock::now());
    for change in changes {
        if let FleetChange::Removed(id) = change {
            tracing::info!(event = "upstream_gone", upstream = %id, reason = "not listed again");
            shared.dispatcher().remove_upstream(&id);
            shared.pool.forget(id.as_str());
        }
    }
}
