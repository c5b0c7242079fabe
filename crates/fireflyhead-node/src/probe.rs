//! Datagrams of the membership: encoding, authentication and replay protection.
//!
//! A datagram is the bincode form of `ProbeDatagram` followed by a truncated
//! HMAC-SHA256 under the peers' key. Nothing of a datagram is decoded before its
//! code is checked. A receiver accepts each sequence number of a sender once and
//! nothing from incarnations older than the newest one that it heard from.

#[cfg(test)]
mod tests;
pub(crate) mod wire;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use fireflyhead_core::membership::Message;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages::ProbeDatagram;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use tokio::net::UdpSocket;

/// Largest datagram, in bytes; it fits into one packet of common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of the truncated code at the end of a datagram.
const MAC_BYTES: usize = 16;
/// Largest memory that a decoded datagram may claim, in bytes.
const MAX_DECODED_BYTES: usize = 64 << 10;
/// Sequence numbers behind the newest one that may still arrive.
const REPLAY_WINDOW: u64 = 128;
/// Senders whose sequence numbers are remembered.
const MAX_SENDERS: usize = 16_384;

/// Reason for which a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum DatagramError {
    /// the datagram is longer than 1,200 bytes or shorter than its code
    Size,
    /// the code of the datagram does not match
    Mac,
    /// the datagram is malformed
    Malformed,
    /// the datagram was received before or is older than the replay window
    Replayed,
}

impl std::error::Error for DatagramError {}

/// Keyed hash with the peers' key.
fn mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC accepts keys of any length")
}

/// Encoder of the datagrams of one incarnation.
#[derive(Debug)]
pub struct Encoder {
    key: Vec<u8>,
    me: NodeRef,
    sequence: u64,
}

impl Encoder {
    /// Encoder of `me` under the peers' key.
    pub fn new(key: &[u8], me: NodeRef) -> Encoder {
        Encoder { key: key.to_vec(), me, sequence: 0 }
    }

    /// Datagram of `message`. Rumors and members that don't fit are left out, the
    /// last ones first; they travel with later messages.
    ///
    /// # Errors
    /// [`DatagramError::Size`] if the message does not fit without them.
    pub fn encode(&mut self, message: &Message) -> Result<Vec<u8>, DatagramError> {
        self.sequence += 1;
        let mut datagram = wire::message_to_wire(&self.me, self.sequence, message);
        loop {
            let mut bytes = codec::encode(&datagram).map_err(|_| DatagramError::Malformed)?;
            if bytes.len() + MAC_BYTES <= MAX_DATAGRAM_BYTES {
                let code = mac(&self.key).chain_update(&bytes).finalize().into_bytes();
                bytes.extend(&code[..MAC_BYTES]);
                return Ok(bytes);
            }
            if datagram.members.pop().is_none() && datagram.rumors.pop().is_none() {
                return Err(DatagramError::Size);
            }
        }
    }
}

/// Sequence numbers of one sender.
#[derive(Debug)]
struct Window {
    incarnation: u64,
    newest: u64,
    /// Bit `n` stands for the number `newest - n`.
    seen: u128,
}

impl Window {
    /// Notes a sequence number; false if it was seen or is too old.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let step = sequence - self.newest;
            self.seen = if step < REPLAY_WINDOW { self.seen << step } else { 0 };
            self.seen |= 1;
            self.newest = sequence;
            return true;
        }
        let bit = match self.newest - sequence {
            age if age < REPLAY_WINDOW => 1_u128 << age,
            _ => return false,
        };
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

/// Decoder of datagrams from other nodes.
#[derive(Debug)]
pub struct Decoder {
    key: Vec<u8>,
    windows: HashMap<Name, Window>,
}

impl Decoder {
    /// Decoder under the peers' key.
    pub fn new(key: &[u8]) -> Decoder {
        Decoder { key: key.to_vec(), windows: HashMap::new() }
    }

    /// Sender and message of a datagram.
    ///
    /// # Errors
    /// Datagrams that are not authentic, malformed or replayed.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<(NodeRef, Message), DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Size);
        }
        let (body, code) = match bytes.len().checked_sub(MAC_BYTES) {
            Some(at) => bytes.split_at(at),
            None => return Err(DatagramError::Size),
        };
        let check = mac(&self.key).chain_update(body).verify_truncated_left(code);
        check.map_err(|_| DatagramError::Mac)?;
        let datagram = decode_body(body).ok_or(DatagramError::Malformed)?;
        let (from, sequence, message) =
            wire::message_from_wire(datagram).ok_or(DatagramError::Malformed)?;
        match self.accept(&from, sequence) {
            true => Ok((from, message)),
            false => Err(DatagramError::Replayed),
        }
    }

    fn accept(&mut self, from: &NodeRef, sequence: u64) -> bool {
        let room = self.windows.len() < MAX_SENDERS;
        let fresh = Window { incarnation: from.incarnation, newest: sequence, seen: 1 };
        match self.windows.get_mut(&from.id) {
            Some(window) if window.incarnation == from.incarnation => window.accept(sequence),
            Some(window) if window.incarnation > from.incarnation => false,
            Some(window) => {
                *window = fresh;
                true
            }
            None if room => {
                self.windows.insert(from.id.clone(), fresh);
                true
            }
            None => false,
        }
    }
}

/// Decodes the body within the memory limit of a datagram.
fn decode_body(body: &[u8]) -> Option<ProbeDatagram> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (datagram, used) = bincode::serde::decode_from_slice(body, config).ok()?;
    (used == body.len()).then_some(datagram)
}

/// Sending half of the probe socket.
#[derive(Debug)]
pub struct Sender {
    socket: Arc<UdpSocket>,
    encoder: Encoder,
}

impl Sender {
    /// Sends a message. Losses are not reported: probes detect them.
    pub fn send(&mut self, to: &str, message: &Message) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            tracing::warn!(%to, "the peer address of a member is not valid");
            return;
        };
        match self.encoder.encode(message) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    tracing::debug!(%error, %address, "a datagram was not sent");
                }
            }
            Err(error) => tracing::warn!(%error, "a message does not fit into a datagram"),
        }
    }
}

/// Receiving half of the probe socket.
#[derive(Debug)]
pub struct Receiver {
    socket: Arc<UdpSocket>,
    decoder: Decoder,
}

impl Receiver {
    /// Next valid message; others are dropped.
    ///
    /// # Errors
    /// Failures of the socket.
    pub async fn recv(&mut self) -> io::Result<(NodeRef, Message)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (len, address) = self.socket.recv_from(&mut buf).await?;
            match self.decoder.decode(&buf[..len]) {
                Ok(received) => return Ok(received),
                Err(error) => tracing::debug!(%error, %address, "a datagram was dropped"),
            }
        }
    }
}

/// Both halves of the probe socket of `me`.
pub fn split(socket: UdpSocket, key: &[u8], me: NodeRef) -> (Sender, Receiver) {
    let socket = Arc::new(socket);
    let sender = Sender { socket: socket.clone(), encoder: Encoder::new(key, me) };
    (sender, Receiver { socket, decoder: Decoder::new(key) })
}
