//! Splits a body into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// the event is larger than the limit
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub struct EventTooLarge;

impl std::error::Error for EventTooLarge {}

/// One event as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event with its terminating empty line.
    pub raw: Bytes,
    /// Text of its `data` lines.
    pub data: String,
}

/// Splits received bytes into events; it buffers at most one incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Next complete event.
    ///
    /// # Errors
    /// An event above the limit.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        match self.find_end() {
            Some(end) if end > MAX_EVENT_BYTES => Err(EventTooLarge),
            Some(end) => {
                self.scanned = 0;
                let raw = self.buf.split_to(end).freeze();
                let data = data_of(&raw);
                Ok(Some(Event { raw, data }))
            }
            None if self.buf.len() > MAX_EVENT_BYTES => Err(EventTooLarge),
            None => Ok(None),
        }
    }

    /// End of the first event: after an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(found) = self.buf[at..].iter().position(|&byte| byte == b'\n') {
            let next = at + found + 1;
            match self.buf.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                Some([] | [b'\r']) | None => {
                    self.scanned = at + found;
                    return None;
                }
                Some(_) => at = next,
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn data_of(raw: &[u8]) -> String {
    let text = String::from_utf8_lossy(raw);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    lines.join("\n")
}
