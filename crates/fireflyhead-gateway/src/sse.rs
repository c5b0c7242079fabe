//! Parser for streams of server-sent events.
//!
//! A resumable stream is passed to the caller in complete events only, so that an event that was
//! cut off by a failing upstream never reaches the caller.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest size of an event that an [`EventScanner`] keeps back until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a stream into complete events and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct EventScanner {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Creates a scanner. `last_id` is the id of the last event that the caller has already received,
    /// if the stream is resumed; `None` for a stream from its first event on.
    pub fn new(last_id: Option<u64>) -> EventScanner {
        EventScanner { buf: BytesMut::new(), last_id }
    }

    /// Adds received bytes and returns the complete events that the caller doesn't have yet.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        // The bytes that are kept back hold no end of an event.
        let mut searched = self.buf.len();
        self.buf.extend_from_slice(data);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.buf, searched) {
            let event = self.buf.split_to(end);
            searched = 0;
            match (event_id(&event), self.last_id) {
                // An upstream that resumes a stream may repeat events that the caller has.
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            events.extend_from_slice(&event);
        }
        events.freeze()
    }

    /// Returns whether the incomplete event is larger than the limit of 1 MiB.
    pub fn is_oversized(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Returns the id of the last complete event that has one; before the first such event, the id
    /// that was passed to [`EventScanner::new`].
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
    }

    /// Returns the bytes after the last blank line, at the end of a whole stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Returns whether bytes of an incomplete event have been received.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the position after the blank line that ends the first event; none ends within the first
/// `searched` bytes.
fn event_end(buf: &[u8], searched: usize) -> Option<usize> {
    let mut end = searched;
    while let Some(offset) = buf[end..].iter().position(|&byte| byte == b'\n') {
        end += offset + 1;
        let event = &buf[..end];
        if event.ends_with(b"\n\n") || event.ends_with(b"\r\n\r\n") {
            return Some(end);
        }
    }
    None
}

/// Parses the numeric `id:` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:"))?.trim().parse().ok()
}

/// Tracks whether a stream that is passed on unchanged ends between two events.
#[derive(Debug)]
pub struct EventEnd {
    /// Last bytes of the stream. A line ends with CR, LF or both, so that three bytes show whether
    /// the last line is blank.
    tail: [u8; 3],
}

impl Default for EventEnd {
    fn default() -> EventEnd {
        // A stream without data doesn't end inside an event.
        EventEnd { tail: *b"\n\n\n" }
    }
}

impl EventEnd {
    /// Adds received bytes.
    pub fn push(&mut self, data: &[u8]) {
        for &byte in &data[data.len().saturating_sub(self.tail.len())..] {
            self.tail = [self.tail[1], self.tail[2], byte];
        }
    }

    /// Returns whether the received bytes end with a blank line.
    pub fn is_complete(&self) -> bool {
        match self.tail {
            [b'\n' | b'\r', b'\r', b'\n'] => true,
            [_, b'\n' | b'\r', b'\n' | b'\r'] => self.tail[1..] != *b"\r\n",
            _ => false,
        }
    }
}

/// Tracks whether a stream has gone on after its first event, however its data is split.
///
/// An event is a block of lines with a `data` field that ends with a blank line; comments and blank
/// lines before it don't count.
#[derive(Debug, Default)]
pub struct FirstEvent {
    /// Number of bytes of the current line.
    line_len: usize,
    /// Whether the current line may be, or is, a `data` field.
    is_data_line: bool,
    /// Whether the current block has a `data` field.
    has_data: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    ended: bool,
    passed: bool,
}

impl FirstEvent {
    /// Adds received bytes.
    pub fn push(&mut self, data: &[u8]) {
        for &byte in data {
            if self.passed {
                return;
            }
            self.push_byte(byte);
        }
    }

    /// Returns whether data has followed the first event.
    pub fn is_passed(&self) -> bool {
        self.passed
    }

    fn push_byte(&mut self, byte: u8) {
        const FIELD: &[u8] = b"data:";
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => {}
            b'\n' | b'\r' if self.line_len > 0 => {
                self.has_data |= self.is_data_line && self.line_len >= FIELD.len();
                self.line_len = 0;
            }
            b'\n' | b'\r' => self.ended |= std::mem::take(&mut self.has_data),
            _ if self.ended => self.passed = true,
            _ => {
                let matches = FIELD.get(self.line_len).is_none_or(|expected| *expected == byte);
                self.is_data_line = matches && (self.is_data_line || self.line_len == 0);
                self.line_len = self.line_len.saturating_add(1);
            }
        }
    }
}
