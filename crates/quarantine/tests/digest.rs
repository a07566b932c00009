//! Digests of whole requests.

use quarantine::Part;

/// Guards against nodes that take one request for two: its body may come in other pieces
/// at another node.
#[test]
fn digest_depends_on_fields_and_not_on_pieces() {
    let whole = Part::request(&[b"account", b"body"]);
    let same: [&[&[u8]]; 3] = [&[b"body"], &[b"bo", b"dy"], &[b"", b"b", b"ody"]];
    for body in same {
        let pieces = Part::request_in_pieces(&[&[b"account"], body]);
        assert_eq!(pieces, whole, "{body:?}");
    }
    let other: [&[&[&[u8]]]; 3] = [
        &[&[b"account", b"body"]],
        &[&[b"accountb"], &[b"ody"]],
        &[&[b"account"], &[b"body"], &[]],
    ];
    for fields in other {
        assert_ne!(Part::request_in_pieces(fields), whole, "{fields:?}");
    }
}
