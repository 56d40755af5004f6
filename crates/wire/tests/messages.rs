//! Messages survive encoding and decoding, and the decoder rejects malformed input.

use proptest::prelude::*;
use sniperelay_core::edition::{ConfigEdition, EditMark, EditionSummary};
use sniperelay_wire::{MAX_MESSAGE_BYTES, PeerMessage, WIRE_VERSION, WireError, decode, encode};

fn messages() -> Vec<PeerMessage> {
    let mark = EditMark { edit_id: 3, generation: 4, author: "a".to_owned(), unix_millis: 5 };
    let edition = ConfigEdition {
        service: "s".to_owned(),
        mark: mark.clone(),
        history: vec![mark],
        text: "t".repeat(5000),
    };
    let summary = EditionSummary { service: "s".to_owned(), generation: 4, edit_id: 3 };
    let target = "10.0.0.1:80".parse().unwrap();
    vec![
        PeerMessage::EditionSummaries { sender: 1, summaries: vec![summary] },
        PeerMessage::EditionSummaryRequest { sender: 1, mask: 255 },
        PeerMessage::EditionFetch { sender: 1, services: vec!["s".to_owned()] },
        PeerMessage::Edition(Box::new(edition)),
        PeerMessage::SlotRequest { sender: 1, service: "s".to_owned(), count: 4 },
        PeerMessage::SlotLoan { sender: 1, service: "s".to_owned(), targets: vec![target] },
        PeerMessage::SlotReturn { service: "s".to_owned(), target },
        PeerMessage::TargetLeaving { service: "s".to_owned(), target },
    ]
}

#[test]
fn messages_round_trip() {
    for message in messages() {
        assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
    }
}

#[test]
fn malformed_messages_are_rejected() {
    let valid = encode(&messages()[0]).unwrap();
    let other_version = [&[WIRE_VERSION + 1], &valid[1..]].concat();
    type ErrorCheck = fn(&WireError) -> bool;
    let rows: [(Vec<u8>, ErrorCheck); 4] = [
        (Vec::new(), |error| matches!(error, WireError::Version(None))),
        (other_version, |error| matches!(error, WireError::Version(Some(_)))),
        (valid[..valid.len() - 1].to_vec(), |error| matches!(error, WireError::Malformed(_))),
        (vec![WIRE_VERSION; MAX_MESSAGE_BYTES + 1], |error| matches!(error, WireError::TooLarge(_))),
    ];
    for (bytes, is_expected) in rows {
        let error = decode(&bytes).unwrap_err();
        assert!(is_expected(&error), "{error}");
    }
    let huge = PeerMessage::EditionFetch { sender: 1, services: vec!["x".repeat(MAX_MESSAGE_BYTES)] };
    assert!(matches!(encode(&huge), Err(WireError::TooLarge(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_decoder_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let _ = decode(&[&[WIRE_VERSION], bytes.as_slice()].concat());
    }

    /// A valid message with a changed byte is either decoded or rejected.
    #[test]
    fn the_decoder_survives_changed_bytes(which in 0usize..8, position in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut bytes = encode(&messages()[which]).unwrap();
        let index = position.index(bytes.len());
        bytes[index] = value;
        let _ = decode(&bytes);
    }
}
