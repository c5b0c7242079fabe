//! Events of a stream.
//!
//! A stream that may go on at another upstream is passed on in whole events, so that what a
//! broken upstream left half-written never reaches the caller.

use bytes::Bytes;
use bytes::BytesMut;

/// Splits a stream into whole events and remembers the last id.
#[derive(Debug, Default)]
pub struct EventScanner {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Scanner for a stream that goes on after `last_id`.
    pub fn after(last_id: Option<u64>) -> EventScanner {
        EventScanner { buf: BytesMut::new(), last_id }
    }

    /// Takes bytes and returns the events that are complete and new.
    pub fn feed(&mut self, data: &[u8]) -> Bytes {
        self.buf.extend_from_slice(data);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.buf) {
            let event = self.buf.split_to(end);
            match (event_id(&event), self.last_id) {
                // An upstream that goes on may repeat the event that the caller has.
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            events.extend_from_slice(&event);
        }
        events.freeze()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops a half-written event.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Whether an event is half-written.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// End of the first event: the position after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let lf = find(buf, b"\n\n").map(|at| at + 2);
    let crlf = find(buf, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:"))?.trim().parse().ok()
}
