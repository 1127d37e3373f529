//! Encoding of messages between instances.

use std::io::Write;

use flate2::{Compression, write::DeflateEncoder};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabistall_lib::gateway::{
    catalog::PublishedChange,
    encoding::{MAX_MESSAGE_BYTES, decode_answer, decode_call, encode_answer},
    message::PeerAnswer,
    replica::CatalogPage,
};

fn catalog_answer(changes: u64) -> PeerAnswer {
    let changes = (0..changes)
        .map(|revision| PublishedChange {
            key: format!("servers/i-{revision:010x}").into(),
            revision,
            item: None,
        })
        .collect();
    PeerAnswer::CatalogChanges(CatalogPage {
        changes,
        is_snapshot: false,
        revision: 1,
    })
}

#[test]
fn large_messages_are_compressed() {
    for (changes, is_compressed) in [(10, false), (10_000, true)] {
        let answer = catalog_answer(changes);
        let encoded = encode_answer(&answer).unwrap();
        assert_eq!(encoded.is_compressed, is_compressed);
        let decoded = decode_answer(&encoded.body, encoded.is_compressed).unwrap();
        assert_eq!(decoded, answer);
    }
}

/// A small message that expands to more than the largest message is refused.
#[test]
fn messages_that_expand_beyond_the_limit_are_refused() {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // A string of zeros that is as long as its length says.
    let length = u32::try_from(MAX_MESSAGE_BYTES * 4).unwrap();
    encoder.write_all(&[0xc6]).unwrap();
    encoder.write_all(&length.to_be_bytes()).unwrap();
    for _ in 0..64 {
        encoder.write_all(&vec![0; MAX_MESSAGE_BYTES / 16]).unwrap();
    }
    let body = encoder.finish().unwrap();
    assert!(body.len() < MAX_MESSAGE_BYTES / 10);
    assert!(decode_call(&body, true).is_err());
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5a57_1004),
        ..Config::default()
    })]

    #[test]
    fn arbitrary_messages_never_panic(
        body in proptest::collection::vec(any::<u8>(), 0..300),
        is_compressed in any::<bool>(),
    ) {
        let _ = decode_call(&body, is_compressed);
        let _ = decode_answer(&body, is_compressed);
    }
}
