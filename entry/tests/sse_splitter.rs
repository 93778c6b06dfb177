//! Splitting streams of server-sent events at event boundaries.

use pitchhitch_entry::openai::SseSplitter;

#[test]
fn comment_is_no_data() {
    let mut splitter = SseSplitter::default();
    let events = splitter
        .feed(b": opening\n\nid: 0\nda")
        .expect("an event within the size limit");
    assert_eq!(events, b": opening\n\n");
    // A stream that is interrupted here can still be requested again from the start.
    assert!(!splitter.has_data());
    assert_eq!(splitter.last_id(), None);
    splitter
        .feed(b"ta: x\n\n")
        .expect("an event within the size limit");
    assert!(splitter.has_data());
    assert_eq!(splitter.last_id(), Some(0));
}
