//! Packed documents: round trips, compression and invalid input.

use gingerkeel_protocol::{encode_document, pack_document, unpack_document};
use proptest::prelude::*;

proptest! {
    #[test]
    fn packed_documents_round_trip(texts in prop::collection::vec(".{0,40}", 0..200)) {
        let packed = pack_document(&texts).expect("a document");
        let back: Vec<String> = unpack_document(&packed).expect("the same document");
        prop_assert_eq!(back, texts);
    }

    #[test]
    fn unpacking_arbitrary_bytes_never_panics(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = unpack_document::<Vec<String>>(&bytes);
    }
}

#[test]
fn a_repetitive_document_is_compressed() {
    let route = |number| format!("route-{number} host.example /path/");
    let routes: Vec<String> = (0..400).map(route).collect();
    let plain = encode_document(&routes).expect("a document");
    let packed = pack_document(&routes).expect("a document");
    assert!(packed.len() * 5 < plain.len(), "{} of {}", packed.len(), plain.len());
}

#[test]
fn a_truncated_document_is_rejected() {
    let packed = pack_document(&vec!["x".repeat(50); 100]).expect("a document");
    for length in 0..packed.len() {
        assert!(unpack_document::<Vec<String>>(&packed[..length]).is_err(), "{length} bytes");
    }
}
