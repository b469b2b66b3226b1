use almondroad::forward::EventSplitter;

/// Guards against forwarding a partial event to the caller before the connection breaks.
#[test]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), None);
    assert_eq!(splitter.push(b"\n\nid: 2\nda").unwrap(), &b"id: 1\ndata: a\n\n"[..]);
    assert_eq!(splitter.last_event(), Some(1));
    assert!(splitter.has_partial());
    assert_eq!(splitter.push(b"ta: b\n").as_deref(), None);
    assert_eq!(splitter.push(b"\n").unwrap(), &b"id: 2\ndata: b\n\n"[..]);
    assert_eq!((splitter.last_event(), splitter.events()), (Some(2), 2));
    assert!(!splitter.has_partial());
}

/// Guards against resuming a stream after an event that the caller has received only in part.
#[test]
fn a_partial_event_does_not_count_as_received() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: a\n\nid: 8\ndata: b");
    assert_eq!(splitter.last_event(), Some(7));
}
