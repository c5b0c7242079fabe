//! Nodes of the demo, all in this process.

use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use fireflyhead_node::node::Node;
use tokio::time::Instant;

/// Time between two looks at a node that is not ready.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until `node` has the table and every one of `upstreams` upstreams has an owner.
///
/// # Errors
/// The limit passed.
pub async fn wait_until_ready(node: &Node, upstreams: usize, limit: Duration) -> Result<()> {
    let end = Instant::now() + limit;
    loop {
        let cx = node.context();
        let version = cx.table.borrow().version;
        let owned = cx.owners.borrow().values().filter(|o| o.record.is_some()).count();
        let listed = cx.upstreams.borrow().len();
        match () {
            () if version > 0 && owned >= upstreams && listed >= upstreams => return Ok(()),
            () if Instant::now() > end => bail!(
                "node {} is not ready: table version {version}, {listed} upstreams, {owned} with an owner",
                cx.me.id
            ),
            () => tokio::time::sleep(READY_INTERVAL).await,
        }
    }
}
