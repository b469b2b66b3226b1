use bytes::{Bytes, BytesMut};

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a server-sent event stream at event boundaries, so that an incomplete event is never
/// forwarded. Events whose ids do not continue the stream are not returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_event: Option<u64>,
    events: u64,
    /// Whether each id so far was the previous one plus 1; `None` before the second id.
    has_consecutive_ids: Option<bool>,
    /// The next event is the first one of a continuation.
    is_at_continuation: bool,
    is_out_of_order: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that begins after `last_event`.
    pub fn after(last_event: Option<u64>) -> EventSplitter {
        EventSplitter { last_event, ..EventSplitter::default() }
    }

    /// Creates a splitter for the continuation of this stream at another endpoint.
    pub fn continuation(&self) -> EventSplitter {
        EventSplitter {
            pending: BytesMut::new(),
            is_at_continuation: self.events > 0,
            is_out_of_order: false,
            ..*self
        }
    }

    /// Appends received bytes and returns the events that are now complete; `None` also if one of
    /// them is out of order.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending[searched..])? + searched;
        let events = self.pending.split_to(end).freeze();
        if !self.record_ids(&events) {
            self.is_out_of_order = true;
            return None;
        }
        Some(events)
    }

    /// Returns whether an event had an id that was sent before, or does not continue the stream.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
    }

    /// Id of the last complete event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the incomplete event is longer than any event may be. The bytes are then not
    /// a stream of events, and may have no end.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns whether the stream is continued at another endpoint that has sent no event yet.
    pub fn is_at_continuation(&self) -> bool {
        self.is_at_continuation
    }

    /// Memory of the buffer once `more` bytes have been pushed. It grows by doubling.
    pub fn buffer_bytes_after(&self, more: usize) -> usize {
        2 * (self.pending.len() + more)
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records the ids of complete events. Returns false if one is out of order.
    fn record_ids(&mut self, events: &[u8]) -> bool {
        let mut last_event = self.last_event;
        let mut has_consecutive_ids = self.has_consecutive_ids;
        for id in event_ids(events) {
            let is_next = last_event.is_none_or(|last| last.checked_add(1) == Some(id));
            let is_later = last_event.is_none_or(|last| id > last);
            // After a single event nothing is known of the ids. A gap may then be an omitted event.
            let is_gap = self.is_at_continuation && has_consecutive_ids != Some(false) && !is_next;
            if !is_later || is_gap {
                return false;
            }
            if last_event.is_some() {
                has_consecutive_ids = Some(is_next && has_consecutive_ids != Some(false));
            }
            last_event = Some(id);
            self.is_at_continuation = false;
        }
        // An endpoint that continues a stream begins with a numbered event. Anything else is not
        // part of the stream, for example the text of an error.
        if self.is_at_continuation {
            return false;
        }
        self.last_event = last_event;
        self.has_consecutive_ids = has_consecutive_ids;
        self.events += events.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
        true
    }
}

/// Returns the ids of complete events, in order.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

/// Returns the offset after the last blank line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}
