//! Proxy between one node and the store that holds back one transaction: the node gets no reply, and
//! the store executes it later.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::record::Record;

/// Maximum number of bytes per read.
const BUF_SIZE: usize = 16 * 1024;

/// Link that forwards connections to the store.
#[derive(Clone, Debug)]
pub struct HoldingLink {
    address: SocketAddr,
    held: watch::Sender<bool>,
}

/// What is held back, and for how long.
#[derive(Clone, Debug)]
struct Rule {
    store: SocketAddr,
    /// Key whose removal is held back; `None` to hold back nothing.
    key: Option<String>,
    delay: Duration,
    record: Record,
}

impl HoldingLink {
    /// Starts a link to the store. If `key` is given, the first transaction that removes it reaches the
    /// store after `delay`, and its connection returns nothing further.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(
        store: SocketAddr,
        key: Option<String>,
        delay: Duration,
        record: &Record,
    ) -> io::Result<HoldingLink> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let link = HoldingLink { address: listener.local_addr()?, held: watch::Sender::new(false) };
        let held = link.held.clone();
        let rule = Arc::new(Rule { store, key, delay, record: record.clone() });
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (rule, held) = (Arc::clone(&rule), held.clone());
                tokio::spawn(async move { forward(rule, held, client).await });
            }
        });
        Ok(link)
    }

    /// Returns the address on which the link accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the transaction is held back.
    pub async fn wait_until_held(&self) {
        // Can't fail: the sender lives as long as the link.
        drop(self.held.subscribe().wait_for(|held| *held).await);
    }
}

async fn forward(rule: Arc<Rule>, held: watch::Sender<bool>, client: TcpStream) {
    let Ok(server) = TcpStream::connect(rule.store).await else { return };
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let requests = async {
        loop {
            let Some(bytes) = read_request(&mut client_read).await else { return };
            if rule.removes_key(&bytes) && !held.send_replace(true) {
                rule.record.add("the removal of the record gets no reply");
                tokio::spawn(execute_late(Arc::clone(&rule), bytes));
                // The connection returns nothing further; it ends with that of the node.
                while client_read.read(&mut [0; 64]).await.is_ok_and(|len| len > 0) {}
                return;
            }
            if server_write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        _ = copy(&mut server_read, &mut client_write) => {}
    }
}

/// Reads bytes of requests; a transaction is read to its end.
async fn read_request(client: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buf = vec![0; BUF_SIZE];
    loop {
        let len = client.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        bytes.extend_from_slice(&buf[..len]);
        let text = String::from_utf8_lossy(&bytes);
        if !text.contains("/api/kv-txn") || text.ends_with("]}") {
            return Some(bytes);
        }
    }
}

impl Rule {
    fn removes_key(&self, request: &[u8]) -> bool {
        let text = String::from_utf8_lossy(request);
        let removed = text.split_once("\"remove\":").map(|(_, keys)| keys);
        match (&self.key, removed) {
            (Some(key), Some(keys)) => keys.contains(key.as_str()),
            (None, _) | (_, None) => false,
        }
    }
}

/// Sends a transaction to the store after the delay and records the status of the reply.
async fn execute_late(rule: Arc<Rule>, request: Vec<u8>) {
    sleep(rule.delay).await;
    let reply = async {
        let mut server = TcpStream::connect(rule.store).await?;
        server.write_all(&request).await?;
        let mut buf = vec![0; BUF_SIZE];
        let len = server.read(&mut buf).await?;
        io::Result::Ok(String::from_utf8_lossy(&buf[..len]).lines().next().map(str::to_owned))
    };
    rule.record.add(format!("the store executes it: {:?}", reply.await));
}
