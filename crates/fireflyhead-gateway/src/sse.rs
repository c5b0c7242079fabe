//! Parser for streams of server-sent events.
//!
//! A resumable stream is passed to the caller in complete events only, so that an event that was
//! cut off by a failing upstream never reaches the caller.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest size of an event that an [`EventScanner`] keeps back until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Reason why a stream can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum EventFault {
    /// the response doesn't go on after the last event
    NotContinued,
    /// the stream holds text that is no event
    NoEvent,
}

/// Splits a stream into complete events and keeps the id of the last one.
///
/// A response that resumes the stream must go on where it was interrupted: a run that begins again,
/// or the text of an error, must not be joined to what the caller has.
#[derive(Debug, Default)]
pub struct EventScanner {
    buf: BytesMut,
    last_id: Option<u64>,
    /// Number of successive ids, up to the last one, that each rose by one.
    consecutive: u64,
    /// Whether the next event must follow the last one, because the stream is being resumed.
    is_resuming: bool,
    /// Whether an event was cut off and has not been received whole since.
    misses_event: bool,
    fault: Option<EventFault>,
}

impl EventScanner {
    /// Creates a scanner. `last_id` is the id of the last event that the caller has already received,
    /// if the stream is resumed; `None` for a stream from its first event on.
    pub fn new(last_id: Option<u64>) -> EventScanner {
        EventScanner { last_id, is_resuming: last_id.is_some(), ..EventScanner::default() }
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
            match Block::parse(&event) {
                Block::Blank => {}
                Block::NoEvent => {
                    self.fault = self.fault.or(Some(EventFault::NoEvent));
                    break;
                }
                Block::Event { id } => {
                    if !self.accept(id) {
                        continue;
                    }
                }
            }
            events.extend_from_slice(&event);
        }
        if self.buf.is_empty() {
            // Frees the memory of the last event.
            self.buf = BytesMut::new();
        }
        events.freeze()
    }

    /// Records an event; returns whether the caller doesn't have it yet.
    fn accept(&mut self, id: Option<u64>) -> bool {
        let follows = match (id, self.last_id) {
            (Some(id), Some(last)) => last.checked_add(1) == Some(id),
            (Some(_) | None, None) => true,
            (None, Some(_)) => false,
        };
        let is_new = id.is_none() || id > self.last_id;
        if self.is_resuming && !(follows || is_new && id.is_some() && self.consecutive == 0) {
            self.fault = self.fault.or(Some(EventFault::NotContinued));
        }
        self.is_resuming = false;
        if !is_new {
            // An upstream that resumes a stream may repeat events that the caller has.
            return false;
        }
        self.misses_event = false;
        if id.is_some() {
            self.consecutive = match self.last_id {
                Some(_) if follows => self.consecutive.saturating_add(1),
                Some(_) | None => 0,
            };
            self.last_id = id;
        }
        true
    }

    /// Returns why the stream can't be passed on; `None` if it can.
    pub fn fault(&self) -> Option<EventFault> {
        self.fault
    }

    /// Returns whether the incomplete event is larger than the limit of 1 MiB.
    pub fn is_oversized(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Returns the memory of the incomplete event, in bytes.
    pub fn memory(&self) -> usize {
        self.buf.capacity()
    }

    /// Returns the id of the last complete event that has one; before the first such event, the id
    /// that was passed to [`EventScanner::new`].
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the bytes of an incomplete event and expects the response of another upstream.
    pub fn begin_resume(&mut self) {
        self.misses_event |= self.has_partial_event();
        self.buf = BytesMut::new();
        self.is_resuming = self.last_id.is_some();
        self.fault = None;
    }

    /// Returns whether an event was cut off and no response has brought a further one since, so that
    /// the stream can't be at its end.
    pub fn misses_event(&self) -> bool {
        self.misses_event
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

/// Lines up to a blank one, and what they are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Block {
    /// Comments or nothing.
    Blank,
    /// Event with the numeric value of its `id` field.
    Event { id: Option<u64> },
    /// Text without a field that an event may have.
    NoEvent,
}

impl Block {
    fn parse(block: &[u8]) -> Block {
        let lines = block.split(|byte| matches!(byte, b'\n' | b'\r'));
        let mut result = Block::Blank;
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with(b":")) {
            let name_len = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
            result = match (result, &line[..name_len]) {
                (Block::Event { id: None }, b"id") | (Block::Blank | Block::NoEvent, b"id") => {
                    Block::Event { id: numeric(&line[name_len..]) }
                }
                (Block::Blank | Block::NoEvent, b"data" | b"event" | b"retry") => {
                    Block::Event { id: None }
                }
                (Block::Blank, _) => Block::NoEvent,
                (result, _) => result,
            };
        }
        result
    }
}

/// Parses the value of a field, with the colon before it.
fn numeric(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    text.strip_prefix(':')?.trim().parse().ok()
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
