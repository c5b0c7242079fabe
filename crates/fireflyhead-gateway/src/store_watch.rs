//! Watch of the store, for the configuration and the upstreams.
//!
//! One watch covers all keys. It is paced, because upstreams write often and each return of a
//! watch costs another call; changes still arrive well within the bounds for configuration and
//! draining. If the store has compacted the history after the known revision, or was restored,
//! everything is read again. Only some nodes of a zone, its readers, watch the store. They send the
//! changes to the other nodes of the zone as feeds; those watch the store themselves only while no
//! feed arrives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::era::Position;
use fireflyhead_policy::fleet::FleetChange;
use fireflyhead_policy::fleet::LAPSE_GRACE;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreRecord;
use fireflyhead_policy::protocol::StoreReply;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::FeedFilter;
use fireflyhead_policy::readers::FeedOutcome;
use fireflyhead_policy::readers::WatchProgress;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use crate::clock;
use crate::config_exchange;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
use crate::engine_controller::View;
use crate::heartbeats::send_to_controller;
use crate::quarantine;
use crate::quota;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::CallError;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store::StoreResponse;

/// Prefix that matches all keys.
const ALL_KEYS: &str = "";
/// Longest wait of a watch. The wait is also limited to a third of the lease TTL, because a holder
/// may send orders only while its view of the store is younger than its lease.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Wait of a watch of a node that may be several replies behind.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Interval between two watches of a reader, as a share of the time within which a change must be
/// in effect.
const WATCH_INTERVAL_SHARE: f64 = 0.4;
/// Longest wait of a watch that confirms the configuration, as a share of the same time. With the
/// interval before it the reply comes after 0.9 of the bound; a wait of 1.67 s and a bound of 2 s left
/// unknown keys without a verdict for half a second in some seconds of an idle store.
const CONFIRMING_WAIT_SHARE: f64 = 0.5;
/// Time beyond the watch interval for which a node waits for a feed.
const FEED_MARGIN: Duration = Duration::from_millis(400);
/// Wait of a reader's watch that follows the watch interval since the last feed, so that both end
/// before the other nodes stop waiting for a feed.
const READER_WATCH_WAIT: Duration = Duration::from_millis(200);
/// If a wait for a feed lasts longer than its timeout by this time, the process was suspended, and
/// the feeds in the queue are outdated.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Largest size of the values in a feed, in bytes. Larger changes are read from the store by each
/// node.
const MAX_FEED_BYTES: usize = 24 * 1024;
/// Age of a reply from which on it is not forwarded: the other nodes take a feed for the present state.
const MAX_FEED_AGE: Duration = Duration::from_millis(1_000);
/// Size of a reply of a watch, as a multiple of all that the store holds, from which on a full read is
/// cheaper: most of the reply is superseded by the rest of it.
const MAX_CHANGES_RATIO: f64 = 1.5;
/// Size in bytes of a reply that is always read: one version of the largest configuration, as the store
/// sends it.
const MIN_CHANGES_LIMIT: usize = 3 * 512 * 1024;
/// Size in bytes of a reply from which on the nodes of the zone don't wait for it. The slowest links
/// carry it in 0.4 s.
const LARGE_REPLY_BYTES: u64 = 512 * 1024;
/// Shortest and longest wait after a failed call.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));

/// Watches the store and applies its changes until the process ends.
pub async fn run(
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    controller: ActorRef<EngineController>,
) {
    let mut watcher = StoreWatcher {
        backoff: Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1),
        shared,
        store,
        controller,
        connected: false,
        era: Era::FIRST,
        store_bytes: 0,
        feed_filter: FeedFilter::default(),
    };
    let mut eras = watcher.store.subscribe();
    loop {
        let position = watcher.read_all().await;
        tokio::select! {
            () = watcher.watch(position) => {}
            // Can't fail: the sender lives as long as the watcher's client.
            _ = eras.wait_for(|era| *era > position.era) => {}
        }
    }
}

/// Changes that have not been sent to the other nodes of the zone. They are sent once they lead to a
/// complete view, for which the other nodes take a feed.
struct Unsent {
    /// Position after which the changes are.
    after: Position,
    items: Vec<Item>,
}

impl Unsent {
    fn after(after: Position) -> Unsent {
        Unsent { after, items: Vec::new() }
    }
}

/// Client of the store that keeps the shared state up to date.
struct StoreWatcher {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    controller: ActorRef<EngineController>,
    backoff: Backoff,
    /// Whether the store is reachable, directly or through the feeds of a reader.
    connected: bool,
    /// Era of the last full read.
    era: Era,
    /// Size of the replies of the last full read.
    store_bytes: usize,
    feed_filter: FeedFilter,
}

/// Content of the store, read page by page.
struct FullRead {
    items: Vec<Item>,
    /// Position of the first page.
    position: Position,
    /// Size of all pages as they were sent.
    bytes: usize,
}

impl StoreWatcher {
    /// Reads all items, retrying until that succeeds, and returns the position after which to watch
    /// for changes.
    async fn read_all(&mut self) -> Position {
        loop {
            let sent = clock::now();
            match self.read_pages().await {
                Ok(FullRead { items, position, bytes }) => {
                    self.store_bytes = bytes;
                    self.shared.record_store_reply(clock::now());
                    self.mark_store_reachable();
                    self.apply_snapshot(&items, position.era).await;
                    self.shared.confirm_config(sent);
                    let Position { era, revision } = position;
                    let ms = clock::now().since(sent).as_millis() as u64;
                    let items = items.len();
                    tracing::info!(event = "store_read", items, revision, %era, bytes, ms);
                    return position;
                }
                Err(reason) => self.handle_store_failure(&reason).await,
            }
        }
    }

    /// Reads all pages of items.
    async fn read_pages(&self) -> Result<FullRead, String> {
        let mut all: Vec<Item> = Vec::new();
        let mut first = None;
        let mut read_bytes = 0;
        loop {
            let after = all.last().map(|item| item.key.clone());
            let call = StoreCall::Range { prefix: Name::from(ALL_KEYS), after };
            let StoreResponse { era, reply, bytes, .. } =
                self.store.call(&call).await.map_err(|e| e.to_string())?;
            read_bytes += bytes;
            match reply {
                StoreReply::Items { items, more, revision } => {
                    // The pages are not a snapshot. The watch starts at the revision of the first
                    // one, so it returns all changes that later pages may have missed.
                    let first = *first.get_or_insert(Position { era, revision });
                    if era != first.era {
                        return Err("the store was restored between two pages".to_owned());
                    }
                    let empty = items.is_empty();
                    all.extend(items);
                    if !more || empty {
                        return Ok(FullRead { items: all, position: first, bytes: read_bytes });
                    }
                }
                reply => return Err(format!("{reply:?}")),
            }
        }
    }

    /// Applies the changes after a position, from feeds or own watches, until the store has
    /// compacted the history or was restored.
    async fn watch(&mut self, mut position: Position) {
        let mut progress = WatchProgress::default();
        let mut unsent = Unsent::after(position);
        let mut sent = clock::now();
        let mut last_complete = sent;
        let mut last_reply_empty = false;
        let mut has_failed = false;
        loop {
            // Feeds lead to a complete view, also while the store refuses this node.
            if !progress.is_behind() || std::mem::take(&mut has_failed) {
                let known = self.apply_feeds(position).await;
                if known != position.revision {
                    last_complete = clock::now();
                    progress = WatchProgress::up_to_date();
                }
                position.revision = known;
                unsent = Unsent::after(position);
                sent = clock::now();
                if sent.since(last_complete) >= self.max_view_age() {
                    progress.record_gap();
                }
            }
            let Position { era, revision: after } = position;
            let wait = match progress.is_behind() {
                true => CATCH_UP_WAIT,
                false => self.watch_wait(last_reply_empty),
            };
            let call = StoreCall::Watch { prefix: Name::from(ALL_KEYS), after, wait };
            let max_bytes = self.max_changes_bytes();
            let on_head = |length| self.announce_large_reply(position, length);
            match self.store.call_in_up_to(era, &call, max_bytes, on_head).await {
                Ok(StoreResponse {
                    reply: StoreReply::Items { items, revision, .. },
                    answered,
                    ..
                }) => {
                    self.shared.record_store_reply(clock::now());
                    self.mark_store_reachable();
                    last_reply_empty = items.is_empty();
                    let is_complete = progress.record_reply(items.len());
                    let view = if is_complete { View::Complete } else { View::Partial };
                    unsent.items.extend(self.apply_changes(&items, era, view, answered).await);
                    position.revision = revision.max(after);
                    if !is_complete {
                        tracing::debug!(event = "watch_behind", after, changes = items.len());
                        continue;
                    }
                    last_complete = answered;
                    self.shared.confirm_config(last_complete);
                    if self.shared.is_reader(clock::now()) {
                        let Unsent { after, items } =
                            std::mem::replace(&mut unsent, Unsent::after(position));
                        self.forward_changes(after, position.revision, items, answered);
                        // Without changes, the wait of the watch limits the rate of calls.
                        if !last_reply_empty {
                            let elapsed = clock::now().since(sent);
                            sleep(self.watch_interval().saturating_sub(elapsed)).await;
                        }
                    }
                }
                Ok(StoreResponse { reply: StoreReply::Compacted, .. }) => {
                    tracing::info!(event = "store_history_gone", after);
                    return;
                }
                Ok(StoreResponse { reply, .. }) => {
                    has_failed = true;
                    progress.record_gap();
                    self.handle_store_failure(&format!("{reply:?}")).await;
                }
                Err(StoreError::Transport(CallError::TooLarge(limit))) => {
                    tracing::info!(event = "watch_too_large", after, limit);
                    return;
                }
                Err(e) => {
                    has_failed = true;
                    progress.record_gap();
                    self.handle_store_failure(&e.to_string()).await;
                }
            }
        }
    }

    /// Returns the time for which the store may hold a watch. A reader's watch begins at once after an
    /// empty reply, and otherwise at the end of the watch interval.
    fn watch_wait(&self, last_reply_empty: bool) -> Duration {
        match self.shared.is_reader(clock::now()) {
            true if last_reply_empty => self.watch_interval(),
            true => READER_WATCH_WAIT,
            false => self.max_watch_wait(),
        }
    }

    /// Returns the largest size of a reply with changes. Of a larger one, a full read returns the
    /// present state sooner: with several versions of a large configuration, a slow link would carry
    /// each of them before the last.
    fn max_changes_bytes(&self) -> usize {
        let bytes = (self.store_bytes as f64 * MAX_CHANGES_RATIO) as usize;
        bytes.max(MIN_CHANGES_LIMIT)
    }

    /// Returns the age of the view from which on the node may be several replies behind.
    fn max_view_age(&self) -> Duration {
        self.watch_interval() * 2
    }

    /// Returns the interval between two watches of a reader.
    fn watch_interval(&self) -> Duration {
        self.shared.settings.apply_bound.mul_f64(WATCH_INTERVAL_SHARE)
    }

    /// Returns the longest wait of a watch. With accounts, a reply must come within the bound for
    /// changes also while nothing changes, because it confirms the configuration.
    fn max_watch_wait(&self) -> Duration {
        let settings = &self.shared.settings;
        let wait = MAX_WATCH_WAIT.min(settings.lease_ttl / 3);
        match self.shared.config().is_some_and(|config| config.accounts.is_some()) {
            true => wait.min(settings.apply_bound.mul_f64(CONFIRMING_WAIT_SHARE)),
            false => wait,
        }
    }

    /// Applies feeds from the readers of the zone. Returns the last applied revision once this node
    /// must watch the store itself: it is a reader, no feed arrived in time, or a feed is missing.
    async fn apply_feeds(&mut self, Position { era, revision: mut after }: Position) -> u64 {
        let limit = self.watch_interval() + FEED_MARGIN;
        let mut last_feed = clock::now();
        while !self.shared.is_reader(clock::now()) {
            let left = (last_feed + limit).since(clock::now());
            let Some(feed) = self.shared.feed_queue.next(left).await else {
                tracing::info!(event = "no_feed", after);
                return after;
            };
            let now = clock::now();
            if now.since(last_feed) >= limit + SUSPENSION_THRESHOLD {
                self.shared.feed_queue.clear();
                return after;
            }
            let feed_era = feed.era;
            match feed.changes_after(Position { era, revision: after }) {
                FeedOutcome::Apply(items, to) => {
                    last_feed = now;
                    self.mark_store_reachable();
                    self.apply_changes(&items, era, View::Complete, now).await;
                    self.shared.confirm_config(now);
                    after = to;
                }
                FeedOutcome::Gap => {
                    tracing::info!(event = "feed_gap", after);
                    self.store.observe_era(feed_era);
                    return after;
                }
                FeedOutcome::Outdated => {
                    tracing::debug!(event = "feed_outdated", era = %feed_era);
                }
            }
        }
        after
    }

    /// Makes the other nodes of the zone watch the store themselves at once if a reply to this reader
    /// is too large for a feed and takes long over a slow link.
    fn announce_large_reply(&self, position: Position, length: u64) {
        let now = clock::now();
        if length <= LARGE_REPLY_BYTES || !self.shared.is_reader(now) {
            return;
        }
        tracing::info!(event = "large_reply", after = position.revision, length);
        // The revision of the change is not known yet. The other nodes may know more than this one, and
        // one of the two readers' messages may be lost: the feed has a gap for each node.
        self.shared.forward_feed(now, Feed::gap(position.era, u64::MAX));
    }

    /// Sends changes to the other nodes of the zone, as the store answered at `answered`.
    fn forward_changes(&self, after: Position, to: u64, items: Vec<Item>, answered: Time) {
        let now = clock::now();
        let Position { era, revision: from } = after;
        let bytes: usize = items.iter().map(|item| item.value.as_ref().map_or(0, Bytes::len)).sum();
        let outage_end = self.shared.fleet().outage_end();
        let since_outage = outage_end.map(|at| now.since(at)).filter(|age| *age < LAPSE_GRACE);
        let protocol = &self.shared.protocol;
        let items: Option<Vec<Item>> =
            items.into_iter().map(|item| protocol.shareable_item(item)).collect();
        let feed = match items {
            Some(items) if bytes <= MAX_FEED_BYTES && now.since(answered) < MAX_FEED_AGE => {
                Feed { era, from, to, since_outage, items }
            }
            Some(_) | None => Feed { since_outage, ..Feed::gap(era, to) },
        };
        self.shared.forward_feed(now, feed);
    }

    /// Marks the store as reachable, directly or through a feed.
    fn mark_store_reachable(&mut self) {
        self.backoff.reset();
        if !self.connected {
            self.connected = true;
            tracing::info!(event = "store_reached");
        }
    }

    /// Marks the store as unreachable from this node, and waits before the next call.
    async fn handle_store_failure(&mut self, reason: &str) {
        if self.connected {
            self.connected = false;
            tracing::warn!(event = "store_lost", reason);
        }
        sleep(self.backoff.next_delay()).await;
    }

    /// Applies all items of the store in `era`. Upstreams that are not among them are removed, after
    /// an outage or a restore only once their grace period has passed.
    async fn apply_snapshot(&mut self, items: &[Item], era: Era) {
        let now = clock::now();
        if era > self.era {
            self.era = era;
            self.shared.fleet().begin_era(now);
        }
        let mut listed = HashMap::new();
        for item in items {
            match self.shared.protocol.parse_store_item(item) {
                StoreRecord::Upstream { id, entry: Some(entry) } => {
                    listed.insert(id, entry);
                }
                record => self.apply_record(item, era, record),
            }
        }
        self.feed_filter.replace(&listed);
        let changes = self.shared.fleet().replace(now, &listed);
        apply_fleet_changes(&self.shared, changes);
        self.send_internal_items(items, era, View::Snapshot, now).await;
    }

    /// Applies changed items of a view of the store at `viewed`. Returns those that other nodes need,
    /// see [`FeedFilter`].
    async fn apply_changes(
        &mut self,
        items: &[Item],
        era: Era,
        view: View,
        viewed: Time,
    ) -> Vec<Item> {
        let now = clock::now();
        let mut changes = Vec::new();
        let mut relevant = Vec::new();
        for item in items {
            match self.shared.protocol.parse_store_item(item) {
                StoreRecord::Upstream { id, entry } => {
                    if entry.is_none() && item.value.is_some() {
                        tracing::debug!(event = "entry_ignored", key = %item.key);
                    }
                    if self.feed_filter.apply(&id, entry.as_ref()) {
                        relevant.push(item.clone());
                    }
                    changes.extend(self.shared.fleet().apply(now, &id, entry));
                }
                record => {
                    relevant.push(item.clone());
                    self.apply_record(item, era, record);
                }
            }
        }
        apply_fleet_changes(&self.shared, changes);
        self.send_internal_items(items, era, view, viewed).await;
        relevant
    }

    /// Applies a record that doesn't concern an upstream.
    fn apply_record(&self, item: &Item, era: Era, record: StoreRecord) {
        let now = clock::now();
        match record {
            StoreRecord::Config(Some(config)) => {
                config_exchange::apply(&self.shared, item, era, *config, None);
            }
            StoreRecord::Config(None) => {
                tracing::warn!(event = "config_ignored", revision = item.revision);
            }
            StoreRecord::Version { target: ModelRef { model, adapter }, version } => {
                // The empty name represents the base model itself.
                let adapter = adapter.unwrap_or_else(|| Name::from(""));
                tracing::info!(event = "version_named", %model, %adapter, version);
                self.shared.dispatcher().set_newest_version(now, &model, &adapter, version);
            }
            StoreRecord::Upstream { .. } | StoreRecord::Internal | StoreRecord::Unknown => {}
        }
    }

    /// Sends the membership entries and ownership records among `items` to the engine controller, and
    /// applies those of quota slots and the evidence on crashes.
    async fn send_internal_items(&self, items: &[Item], era: Era, view: View, viewed: Time) {
        quota::apply_store_items(&self.shared, items, era, view == View::Snapshot);
        quarantine::stored::apply_store_items(&self.shared, items, view == View::Snapshot);
        let internal = items
            .iter()
            .filter(|item| self.shared.protocol.parse_store_item(item) == StoreRecord::Internal)
            .cloned()
            .collect();
        send_to_controller(
            &self.controller,
            ControllerMsg::StoreItems { items: internal, era, view, viewed },
        )
        .await;
    }
}

/// Ends the grace periods of upstreams after an outage or a restore of the store.
pub fn end_grace(shared: &Shared) {
    let changes = shared.fleet().end_grace(clock::now());
    if !changes.is_empty() {
        apply_fleet_changes(shared, changes);
    }
}

/// Applies changes of the upstreams to the dispatcher and the connection pool.
pub(crate) fn apply_fleet_changes(shared: &Shared, changes: Vec<FleetChange>) {
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
                quarantine::handle_listed(shared, entry);
                shared.dispatcher().upsert_upstream(entry);
            }
            // Not logged: updates are frequent, and their adapters are known from heartbeats.
            FleetChange::Updated(entry) => shared.dispatcher().upsert_upstream(entry),
            FleetChange::Removed(id) => {
                tracing::info!(event = "upstream_gone", upstream = %id);
                quarantine::handle_removed(shared, id);
                shared.dispatcher().remove_upstream(id);
                shared.pool.close_idle(id.as_str());
            }
        }
    }
    shared.dispatch_waiting(clock::now());
}
