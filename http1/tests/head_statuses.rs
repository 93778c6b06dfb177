//! Statuses in heads of responses.

use pitchhitch_http1::parse_response_head;

/// Guards against an answer of an endpoint with a status such as 000 or 999 being passed on.
#[test]
fn invalid_status_malformed() {
    let statuses = [
        ("000", false),
        ("099", false),
        ("100", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ];
    for (status, is_valid) in statuses {
        let text = format!("HTTP/1.1 {status} x\r\n\r\n");
        let parsed = parse_response_head(text.as_bytes(), 1_000);
        assert_eq!(parsed.is_ok(), is_valid, "{status}");
    }
}
