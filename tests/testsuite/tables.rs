//! The table under faults of the key-value service: one effect for each edit, none reverted.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::table::COLUMNS;
use fireflyhead_core::table::RowChange;
use fireflyhead_core::table::Table;
use fireflyhead_node::context::NodeContext;
use fireflyhead_node::kv::HttpStore;
use fireflyhead_node::kv::HttpStoreConfig;
use fireflyhead_node::tables;
use fireflyhead_node::tables::Edit;
use fireflyhead_node::tables::EditError;
use fireflyhead_node::tables::HEAD_KEY;
use fireflyhead_node::tables::History;
use fireflyhead_node::tables::PeerTable;
use fireflyhead_node::tables::TablePeers;
use fireflyhead_node::tables::Tables;
use fireflyhead_schema::NodeSettings;
use fireflyhead_standin::kv;
use fireflyhead_standin::kv::Kv;
use fireflyhead_standin::kv::KvConfig;
use fireflyhead_standin::kv::KvFaults;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use tokio::time::timeout;

/// Longest wait for a version that must come into force, from the stated bound of 2 s.
const IN_FORCE: Duration = Duration::from_secs(2);

struct Peers(Vec<PeerTable>);

impl TablePeers for Peers {
    fn fetch(&self, known: u64) -> BoxFuture<'_, Vec<PeerTable>> {
        let newer = self.0.iter().filter(|table| table.version > known);
        std::future::ready(newer.cloned().collect()).boxed()
    }
}

struct Node {
    cx: NodeContext,
    tables: ActorRef<Tables>,
}

impl Node {
    fn start(kv: &Kv, id: &str, peers: Vec<PeerTable>) -> Node {
        let lookup = |name: &str| (name == "node-id").then(|| id.to_owned());
        let settings = NodeSettings::read(lookup).expect("valid settings");
        let cx = NodeContext::new(settings, 1);
        let cfg = HttpStoreConfig {
            url: kv.url(),
            call_timeout: Duration::from_millis(500),
            ..HttpStoreConfig::default()
        };
        let store = Arc::new(HttpStore::new(cfg).expect("the client can be set up"));
        let tables = tables::spawn(cx.clone(), store, Arc::new(Peers(peers)));
        Node { cx, tables }
    }

    async fn edit(&self, id: &str, changes: Vec<RowChange>) -> Result<u64, EditError> {
        let edit = Edit { id: id.to_owned(), summary: "a test".to_owned(), changes };
        match self.tables.ask(edit).await {
            Ok(version) => Ok(version),
            Err(kameo::error::SendError::HandlerError(error)) => Err(error),
            Err(error) => panic!("the actor failed: {error}"),
        }
    }

    fn table(&self) -> Arc<Table> {
        self.cx.table.borrow().clone()
    }

    async fn wait_for(&self, version: u64) -> Arc<Table> {
        let mut table = self.cx.table.subscribe();
        let wait = table.wait_for(|table| table.version >= version);
        let found = timeout(IN_FORCE, wait).await;
        found.expect("in force in time").expect("the context lives").clone()
    }
}

async fn service() -> Kv {
    kv::start(KvConfig::default()).await.expect("a free port")
}

fn cells(adapter: &str, weight: u32) -> Vec<String> {
    let row = format!("adapter,{adapter},drafts,,,v1,,{weight},,,,,,,");
    row.split(',').map(str::to_owned).collect()
}

fn change(adapter: &str, before: Option<u32>, after: u32) -> RowChange {
    RowChange {
        kind: "adapter".to_owned(),
        name: adapter.to_owned(),
        before: before.map(|weight| cells(adapter, weight)),
        after: Some(cells(adapter, after)),
    }
}

fn class() -> RowChange {
    let row = "class,drafts,,models,,,standard,1,,,,,,,";
    RowChange {
        kind: "class".to_owned(),
        name: "drafts".to_owned(),
        before: None,
        after: Some(row.split(',').map(str::to_owned).collect()),
    }
}

fn csv(version: u64, adapters: &[(&str, u32)]) -> PeerTable {
    let rows = [class()].into_iter().chain(adapters.iter().map(|(a, w)| change(a, None, *w)));
    let rows = rows.filter_map(|change| change.after).map(|cells| cells.join(",") + "\n");
    PeerTable { version, csv: format!("{}\n{}", COLUMNS.join(","), rows.collect::<String>()) }
}

fn weight(table: &Table, adapter: &str) -> Option<u32> {
    let row = table.rows().find(|row| row.name.as_str() == adapter)?;
    row.cells()[7].parse().ok()
}

/// Guards against an edit applied twice or reverted because its reply was lost.
#[tokio::test]
async fn lost_replies_give_one_effect_each() {
    const EDITS: u32 = 30;
    let kv = service().await;
    let node = Node::start(&kv, "n1", Vec::new());
    let other = Node::start(&kv, "n2", Vec::new());
    node.edit("first", vec![class(), change("a", None, 1)]).await.expect("in force");
    kv.set_faults(KvFaults { lose_replies: 0.3, lose_requests: 0.1, ..KvFaults::default() });
    let mut versions = Vec::new();
    for i in 1..=EDITS {
        let id = format!("edit-{i}");
        let version = node.edit(&id, vec![change("a", Some(i), i + 1)]).await.expect("in force");
        versions.push(version);
        // The author sends the edit again, as after a timeout of its own.
        let again = node.edit(&id, vec![change("a", Some(i), i + 1)]).await.expect("in force");
        assert_eq!(again, version);
    }
    assert!(versions.windows(2).all(|pair| pair[1] == pair[0] + 1), "{versions:?}");
    assert!(kv.counters().lost_replies > 0);
    assert_eq!(kv.changes(HEAD_KEY), i64::from(EDITS) + 1);
    let table = other.wait_for(versions[versions.len() - 1]).await;
    assert_eq!(weight(&table, "a"), Some(EDITS + 1));
    let history = node.tables.ask(History).await.expect("an answer");
    let ids: std::collections::BTreeSet<&str> = history.iter().map(|e| e.id.as_str()).collect();
    assert_eq!((history.len(), ids.len()), (EDITS as usize + 1, EDITS as usize + 1));
}

/// Guards against a lost edit when two operators edit at once, and against a
/// silent overwrite when both edit the same row.
#[tokio::test]
async fn two_operators_at_once() {
    let kv = service().await;
    let (left, right) = (Node::start(&kv, "n1", Vec::new()), Node::start(&kv, "n2", Vec::new()));
    let first = vec![class(), change("a", None, 1), change("b", None, 1), change("c", None, 1)];
    left.edit("first", first).await.expect("in force");
    kv.set_faults(KvFaults { lose_replies: 0.3, ..KvFaults::default() });
    for i in 1..=10 {
        let (l, r) = (format!("left-{i}"), format!("right-{i}"));
        let (one, two) = tokio::join!(
            left.edit(&l, vec![change("a", Some(i), i + 1)]),
            right.edit(&r, vec![change("b", Some(i), i + 1)]),
        );
        one.expect("another row");
        two.expect("another row");
    }
    let (one, two) = tokio::join!(
        left.edit("left-c", vec![change("c", Some(1), 7)]),
        right.edit("right-c", vec![change("c", Some(1), 9)]),
    );
    let (winner, refusal) = match (one, two) {
        (Ok(_), Err(refusal)) => (7, refusal),
        (Err(refusal), Ok(_)) => (9, refusal),
        other => panic!("expected one edit and one conflict, got {other:?}"),
    };
    let EditError::Conflicts(conflicts) = refusal else { panic!("{refusal:?}") };
    let current = conflicts[0].current.as_ref().expect("the row exists");
    assert_eq!(current, &cells("c", winner));
    assert_eq!(conflicts[0].after, Some(cells("c", if winner == 7 { 9 } else { 7 })));
    assert_eq!(kv.changes(HEAD_KEY), 22);
    for node in [&left, &right] {
        let table = node.wait_for(22).await;
        let weights = ["a", "b", "c"].map(|adapter| weight(&table, adapter));
        assert_eq!(weights, [Some(11), Some(11), Some(winner)]);
    }
}

/// Guards against a table at the planned scale that exceeds the value limit.
#[tokio::test]
async fn the_planned_table_stays_under_the_value_limit() {
    const ROWS: usize = 23_000;
    let kv = service().await;
    let node = Node::start(&kv, "n1", Vec::new());
    let names: Vec<String> = (0..ROWS).map(|i| format!("adapter-{i:05}")).collect();
    let rows = names.iter().map(|name| change(name, None, 1));
    let version = node.edit("all", [class()].into_iter().chain(rows).collect()).await;
    assert_eq!(version, Ok(1));
    let pages = kv.counters().writes;
    node.edit("one", vec![change("adapter-12345", Some(1), 2)]).await.expect("in force");
    assert!(kv.counters().writes - pages <= 3, "an edit of one row wrote most pages");
    assert!(kv.counters().largest_value < 512 << 10, "{:?}", kv.counters());
    let fresh = Node::start(&kv, "n2", Vec::new());
    let table = fresh.wait_for(2).await;
    assert_eq!(table.rows().count(), ROWS + 1);
    assert_eq!(weight(&table, "adapter-12345"), Some(2));
}

/// Guards against a node that starts without a table, or with an old one, during an outage.
#[tokio::test]
async fn a_node_starts_from_the_highest_version_known() {
    let newest = csv(5, &[("a", 5)]);
    let older = csv(4, &[("a", 4)]);
    let kv = service().await;
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    let node = Node::start(&kv, "n1", vec![older, newest]);
    assert_eq!(weight(&*node.wait_for(5).await, "a"), Some(5));
    let refused = node.edit("during the outage", vec![change("a", Some(5), 6)]).await;
    assert!(matches!(refused, Err(EditError::StoreUnavailable(_))), "{refused:?}");
    assert_eq!(node.table().version, 5);
}

/// Guards against an older table of a peer or of the service that replaces a newer one.
#[tokio::test]
async fn versions_only_rise() {
    let kv = service().await;
    let node = Node::start(&kv, "n1", Vec::new());
    node.edit("first", vec![class(), change("a", None, 1)]).await.expect("in force");
    node.edit("second", vec![change("a", Some(1), 2)]).await.expect("in force");
    node.tables.ask(tables::Learned(csv(1, &[("a", 9)]))).await.expect("handled");
    assert_eq!((node.table().version, weight(&node.table(), "a")), (2, Some(2)));
    node.tables.ask(tables::Learned(csv(3, &[("a", 3)]))).await.expect("handled");
    node.tables.ask(tables::Refresh).await.expect("handled");
    assert_eq!((node.table().version, weight(&node.table(), "a")), (3, Some(3)));
}

/// Guards against a node without a table that waits for the slow poll when the service comes back.
#[tokio::test]
async fn a_node_gets_its_table_soon_after_an_outage() {
    let kv = service().await;
    let author = Node::start(&kv, "n1", Vec::new());
    author.edit("first", vec![class(), change("a", None, 1)]).await.expect("in force");
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    let node = Node::start(&kv, "n2", Vec::new());
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(node.table().version, 0);
    kv.set_faults(KvFaults::default());
    assert_eq!(weight(&*node.wait_for(1).await, "a"), Some(1));
}
