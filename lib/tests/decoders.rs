//! Decoders do not panic on any input, and altered envelopes are refused.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabistall_lib::{
    config::{ConfigLog, LogEntry},
    envelope,
    idempotency::KeyRegistry,
    key::HashedKey,
    message::{PEER_PROTOCOL, PeerEnvelope, PeerMessage},
    settings::{InstanceSettings, PeerSecret},
};

fn secrets() -> Vec<PeerSecret> {
    let text = include_str!("../../docs/examples/sauti.jsonc");
    InstanceSettings::parse(text).unwrap().peer_secrets
}

fn envelope() -> PeerEnvelope {
    PeerEnvelope {
        protocol: PEER_PROTOCOL,
        fleet: "fleet".into(),
        from: "i1".into(),
        incarnation: 1,
        config_sequence: 1,
        leaving: false,
        messages: vec![PeerMessage::Hello, PeerMessage::ConfigPull { after: 3 }],
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5a57_1003),
        ..Config::default()
    })]

    #[test]
    fn settings_never_panic(text in "\\PC{0,200}") {
        let _ = InstanceSettings::parse(&text);
    }

    #[test]
    fn patches_never_panic(text in "\\PC{0,200}") {
        let mut log = ConfigLog::default();
        let outcome = log.append(LogEntry { sequence: 1, text: text.into() });
        prop_assert!(outcome.is_some());
    }

    #[test]
    fn keys_never_panic(text in "\\PC{0,300}") {
        let _ = HashedKey::parse(&text);
        let mut registry = KeyRegistry::new("i1".into(), 1);
        prop_assert!(registry.claim(Default::default(), &text).is_err());
    }

    #[test]
    fn altered_envelopes_are_refused(position in any::<prop::sample::Index>(), change in 1..=255_u8) {
        let secrets = secrets();
        let mut signed = envelope::encode(&envelope(), &secrets).unwrap();
        prop_assert!(envelope::decode(&signed.body, &signed.signature, &secrets, "fleet").is_ok());
        prop_assert!(envelope::decode(&signed.body, &signed.signature, &secrets, "other").is_err());
        let position = position.index(signed.body.len());
        signed.body[position] ^= change;
        prop_assert!(envelope::decode(&signed.body, &signed.signature, &secrets, "fleet").is_err());
    }

    #[test]
    fn arbitrary_envelopes_never_panic(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = rmp_serde::from_slice::<PeerEnvelope>(&body);
    }
}
