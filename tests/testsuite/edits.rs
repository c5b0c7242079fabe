//! Edits of the table at running nodes.

use std::time::Duration;

use fireflyhead::ops::client::OperatorClient;
use fireflyhead::ops::table;
use fireflyhead_core::table::Table;
use fireflyhead_node::operators::api::EditBody;
use fireflyhead_schema::settings::Secret;
use fireflyhead_standin::kv::KvFaults;

use crate::cluster::Cluster;
use crate::cluster::within;

fn operator(cluster: &Cluster, node: usize) -> OperatorClient {
    let url = format!("http://{}", cluster.nodes[node].addresses().operator);
    OperatorClient::new(&url, Secret::from("demo-operator".to_owned()))
}

async fn weight_edit(operator: &OperatorClient, id: &str, weight: u32) -> EditBody {
    let body = operator.table().await.expect("a table");
    let base = Table::from_csv(body.version, &body.csv).expect("a valid table");
    let assignment = format!("weight={weight}");
    let change = table::change_cells(&base, "adapter", "adapter-0003", &[&assignment]);
    let changes = vec![change.expect("the row exists")];
    EditBody { id: id.to_owned(), summary: "a test".to_owned(), changes }
}

fn in_force(cluster: &Cluster, version: u64) -> bool {
    cluster.nodes.iter().all(|node| node.context().table.borrow().version >= version)
}

/// Guards against an accepted edit that is not in force on all nodes within the stated time,
/// or that reverts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_edit_is_in_force_everywhere_in_time() {
    let cluster = Cluster::start().await;
    let cases = [
        ("no fault", KvFaults::default(), Duration::from_secs(2)),
        ("slow", KvFaults { slow_ms: 500, ..KvFaults::default() }, Duration::from_secs(19)),
        (
            "lost replies",
            KvFaults { lose_replies: 0.3, ..KvFaults::default() },
            Duration::from_secs(2),
        ),
    ];
    for (index, (name, faults, bound)) in cases.into_iter().enumerate() {
        cluster.fleet.kv.set_faults(faults);
        for round in 1..=5 {
            let author = operator(&cluster, (index + round) % 3);
            let weight = u32::try_from(10 * index + round).expect("a small number") + 1;
            let edit = weight_edit(&author, &format!("{name}-{round}"), weight).await;
            let accepted = author.edit(&edit).await.expect("accepted");
            let version = accepted.version;
            assert!(within(bound, || in_force(&cluster, version)).await, "{name} {round}");
            for node in &cluster.nodes {
                let table = node.context().table.borrow().clone();
                let row = table.rows().find(|row| row.name.as_str() == "adapter-0003");
                assert_eq!(row.expect("the row exists").cells()[7], weight.to_string(), "{name}");
            }
        }
    }
    let history = operator(&cluster, 0).history().await.expect("a history");
    assert_eq!(history.len(), 16, "{history:?}");
}
