//! Sending of datagrams to other nodes.
//!
//! Datagrams that result from a decision are sent without waiting for the socket, since decisions
//! are synchronous.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use fireflyhead_policy::message::Datagram;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Encodes datagrams and sends them to other nodes. Sends nothing before the socket is set.
#[derive(Debug, Default)]
pub struct DatagramSender {
    socket: OnceLock<Arc<UdpSocket>>,
}

impl DatagramSender {
    /// Sets the socket. A second call has no effect and is logged as an error.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            tracing::error!(event = "second_socket");
        }
    }

    /// Sends a datagram, or drops it if the socket can't accept it at once. The protocol recovers
    /// from a lost datagram by a timeout.
    pub fn send(&self, target: SocketAddr, datagram: &Datagram) {
        self.send_all(&[target], datagram);
    }

    /// Sends a datagram to several nodes, without waiting like [`DatagramSender::send`].
    pub fn send_all(&self, targets: &[SocketAddr], datagram: &Datagram) {
        let (Some(socket), Some(buf)) = (self.socket.get(), encode(datagram)) else { return };
        for target in targets {
            log_failure(*target, socket.try_send_to(&buf, *target));
        }
    }

    /// Sends a datagram to several nodes and waits until the socket has accepted it.
    pub async fn send_all_waiting(&self, targets: &[SocketAddr], datagram: &Datagram) {
        let (Some(socket), Some(buf)) = (self.socket.get(), encode(datagram)) else { return };
        for target in targets {
            log_failure(*target, socket.send_to(&buf, *target).await);
        }
    }
}

/// Logs a failed send.
fn log_failure(target: SocketAddr, result: io::Result<usize>) {
    match result {
        Ok(_) => {}
        // The target's port is closed. Its missing heartbeats show that anyway.
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
        Err(error) => tracing::debug!(event = "datagram_not_sent", %target, %error),
    }
}

/// Encodes a datagram; `None` if that fails or it is too large, which is logged.
fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    match codec::encode(&wire::Datagram::from(datagram)) {
        Ok(buf) if buf.len() <= MAX_DATAGRAM_BYTES => Some(buf),
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
