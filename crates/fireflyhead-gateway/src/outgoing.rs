//! Datagrams to other nodes. Those that are sent from decisions can't wait for the socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use fireflyhead_policy::message::Datagram;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use tokio::net::UdpSocket;

/// Largest datagram.
pub(crate) const MAX_DATAGRAM: usize = 60_000;

/// Socket for datagrams to other nodes.
#[derive(Debug, Default)]
pub struct Outgoing {
    socket: OnceLock<Arc<UdpSocket>>,
}

impl Outgoing {
    /// Opens the way out; a second socket is ignored.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            tracing::error!(event = "second_socket");
        }
    }

    /// Sends a datagram if the socket takes it now. A lost datagram costs its sender a timeout.
    pub fn send(&self, target: SocketAddr, datagram: &Datagram) {
        self.send_all(&[target], datagram);
    }

    /// Sends a datagram to several nodes as [`Outgoing::send`] does.
    pub fn send_all(&self, targets: &[SocketAddr], datagram: &Datagram) {
        let (Some(socket), Some(buf)) = (self.socket.get(), encode(datagram)) else { return };
        for target in targets {
            report(*target, socket.try_send_to(&buf, *target));
        }
    }

    /// Sends a datagram to several nodes and waits for the socket.
    pub async fn send_all_waiting(&self, targets: &[SocketAddr], datagram: &Datagram) {
        let (Some(socket), Some(buf)) = (self.socket.get(), encode(datagram)) else { return };
        for target in targets {
            report(*target, socket.send_to(&buf, *target).await);
        }
    }
}

fn report(target: SocketAddr, result: io::Result<usize>) {
    match result {
        Ok(_) => {}
        // A port without listener is reported by the host; the node is found silent anyway.
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
        Err(error) => tracing::debug!(event = "datagram_not_sent", %target, %error),
    }
}

/// Encodes a datagram; `None` if it is too large, which is logged.
fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    match codec::encode(&wire::Datagram::from(datagram)) {
        Ok(buf) if buf.len() <= MAX_DATAGRAM => Some(buf),
        Ok(buf) => {
            tracing::error!(event = "datagram_too_large", len = buf.len());
            None
        }
        Err(error) => {
            tracing::error!(event = "datagram_not_encoded", %error);
            None
        }
    }
}
