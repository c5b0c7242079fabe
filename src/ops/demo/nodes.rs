//! Nodes of the demo, all in this process.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use fireflyhead_node::context::NodeContext;
use fireflyhead_node::hosts;
use fireflyhead_node::kv::HttpStore;
use fireflyhead_node::kv::HttpStoreConfig;
use fireflyhead_node::kv::Store;
use fireflyhead_node::members;
use fireflyhead_node::node::Listeners;
use fireflyhead_node::node::Node;
use fireflyhead_node::owners;
use fireflyhead_node::tables;
use fireflyhead_node::tables::NoPeers;
use fireflyhead_schema::NodeSettings;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Time between two looks at a node that is not ready.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a node with `settings`.
///
/// # Errors
/// An address that can't be bound.
pub async fn start(mut settings: NodeSettings) -> Result<Node> {
    let listeners = Listeners::bind(&mut settings).await.context("cannot bind a listener")?;
    let socket = UdpSocket::bind(settings.peer_address).await.context("cannot bind UDP")?;
    let cfg = HttpStoreConfig { url: settings.store_url.clone(), ..HttpStoreConfig::default() };
    let store: Arc<dyn Store> = Arc::new(HttpStore::new(cfg)?);
    let cx = NodeContext::new(settings, rand::random());
    let members = members::spawn(cx.clone(), socket);
    let _owners = owners::spawn(cx.clone(), store.clone(), members);
    hosts::spawn(cx.clone());
    tables::spawn(cx.clone(), store.clone(), Arc::new(NoPeers));
    Ok(Node::assemble(cx, store, listeners))
}

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
