use bytes::{Bytes, BytesMut};

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a server-sent event stream at event boundaries, so that an incomplete event is never
/// forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_event: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending[searched..])? + searched;
        let events = self.pending.split_to(end).freeze();
        self.record_ids(&events);
        Some(events)
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

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    fn record_ids(&mut self, events: &[u8]) {
        self.events += events.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
        let lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines
            .filter_map(|line| line.strip_prefix(b"id:"))
            .find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_event = id.or(self.last_event);
    }
}

/// Returns the offset after the last blank line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}
