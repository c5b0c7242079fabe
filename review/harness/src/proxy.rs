//! Proxy between one node and the store whose link can be unsteady.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::record::Record;

/// Length of a cut.
const CUT: Duration = Duration::from_millis(100);
/// Time between the opening of a connection and the first call on it that is cut.
const MIN_AGE: Duration = Duration::from_millis(300);
/// Maximum number of bytes per read.
const BUF_SIZE: usize = 16 * 1024;

/// Link that forwards connections to one address.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    name: String,
    record: Record,
    unsteady: watch::Sender<bool>,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Starts a link to `target`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(name: &str, target: SocketAddr, record: &Record) -> io::Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            name: name.to_owned(),
            record: record.clone(),
            unsteady: watch::Sender::new(false),
            cut: watch::Sender::new(false),
        });
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                tokio::spawn(async move {
                    let mut cuts = state.cut.subscribe();
                    tokio::select! {
                        // The connection is closed while the link is cut.
                        _ = cuts.wait_for(|cut| *cut) => {}
                        () = forward(&state, client, target) => {}
                    }
                });
            }
        });
        Ok(Link { address, state })
    }

    /// Returns the address on which the link accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the link unsteady or steady. An unsteady link is cut for a moment when a call is made on
    /// a connection that has been open for some time.
    pub fn set_unsteady(&self, unsteady: bool) {
        self.state.unsteady.send_replace(unsteady);
    }
}

impl State {
    /// Closes all connections, and each new one for the length of a cut.
    async fn cut(&self) {
        self.record.add(format!("{} cut for {} ms", self.name, CUT.as_millis()));
        self.cut.send_replace(true);
        sleep(CUT).await;
        self.cut.send_replace(false);
    }
}

async fn forward(state: &Arc<State>, client: TcpStream, target: SocketAddr) {
    let opened = Instant::now();
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let requests = async {
        let mut buf = vec![0; BUF_SIZE];
        loop {
            match client_read.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) if *state.unsteady.borrow() && opened.elapsed() >= MIN_AGE => {
                    let state = Arc::clone(state);
                    // In a task of its own, because the cut ends this one.
                    tokio::spawn(async move { state.cut().await });
                    std::future::pending::<()>().await;
                }
                Ok(len) if server_write.write_all(&buf[..len]).await.is_err() => return,
                Ok(_) => {}
            }
        }
    };
    tokio::select! {
        () = requests => {}
        _ = copy(&mut server_read, &mut client_write) => {}
    }
}
