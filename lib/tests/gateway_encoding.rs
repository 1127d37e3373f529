//! Encoding of messages between instances.

use std::{io::Write, time::Duration};

use flate2::{Compression, write::DeflateEncoder};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wasabistall_lib::gateway::{
    catalog::PublishedChange,
    claims::{MemberClaims, WantedClaims},
    encoding::{MAX_MESSAGE_BYTES, decode_answer, decode_call, encode_answer, encode_call},
    members::AgedRecord,
    message::{ChangesQuery, GossipMessage, PeerAnswer, PeerCall},
    prompt::PromptPart,
    replica::CatalogPage,
    revision::StoreRevision,
    server_scheduler::{GrantKey, GrantRequest},
};

/// Gossip of builds that do not know eras of the store.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierGossip {
    records: Vec<AgedRecord>,
    claims: Vec<MemberClaims>,
    wanted: Vec<SmolStr>,
    revision: u64,
    changed: u64,
    board_age: u64,
}

/// Page of such builds.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierPage {
    changes: Vec<PublishedChange>,
    whole: bool,
    revision: u64,
}

/// Calls and answers of such builds.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Gossip(EarlierGossip),
    Board { after: u64 },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierAnswer {
    Gossip(EarlierGossip),
    Board(EarlierPage),
}

fn gossip(era: u64) -> GossipMessage {
    GossipMessage {
        records: Vec::new(),
        claims: Vec::new(),
        wanted: vec![WantedClaims::Whole("n-1".into())],
        revision: 40,
        last_change: 39,
        catalog_age: Duration::from_millis(120),
        era,
        leaving: Vec::new(),
        load_time: None,
        statuses: Default::default(),
        crashes: Default::default(),
    }
}

fn earlier_gossip() -> EarlierGossip {
    EarlierGossip {
        records: Vec::new(),
        claims: Vec::new(),
        wanted: vec!["n-1".into()],
        revision: 40,
        changed: 39,
        board_age: 120,
    }
}

/// During a rolling update, builds with and without eras read each other's messages.
#[test]
fn messages_are_readable_by_builds_that_do_not_know_eras() {
    let sent = |call| encode_call(&call).unwrap().body;
    let read = |body: &[u8]| rmp_serde::from_slice::<EarlierMessage>(body).unwrap();
    assert_eq!(
        read(&sent(PeerCall::Gossip(gossip(3)))),
        EarlierMessage::Gossip(earlier_gossip())
    );
    let query = ChangesQuery::new(StoreRevision::new(3, 17));
    assert_eq!(
        read(&sent(PeerCall::CatalogChanges(query))),
        EarlierMessage::Board { after: 17 }
    );
    let page = CatalogPage {
        changes: Vec::new(),
        is_snapshot: true,
        revision: 8,
        era: 3,
    };
    let body = encode_answer(&PeerAnswer::CatalogChanges(page))
        .unwrap()
        .body;
    let expected = EarlierPage {
        changes: Vec::new(),
        whole: true,
        revision: 8,
    };
    let decoded: EarlierAnswer = rmp_serde::from_slice(&body).unwrap();
    assert_eq!(decoded, EarlierAnswer::Board(expected));
}

/// The other direction of the same: without an era, messages are of era 0.
#[test]
fn messages_without_an_era_are_readable() {
    let sent = |message: &EarlierMessage| rmp_serde::to_vec(message).unwrap();
    let body = sent(&EarlierMessage::Gossip(earlier_gossip()));
    assert_eq!(
        decode_call(&body, false).unwrap(),
        PeerCall::Gossip(gossip(0))
    );
    let body = sent(&EarlierMessage::Board { after: 17 });
    let query = ChangesQuery::new(StoreRevision::new(0, 17));
    assert_eq!(
        decode_call(&body, false).unwrap(),
        PeerCall::CatalogChanges(query)
    );
    let page = EarlierPage {
        changes: Vec::new(),
        whole: false,
        revision: 8,
    };
    let body = rmp_serde::to_vec(&EarlierAnswer::Board(page)).unwrap();
    let PeerAnswer::CatalogChanges(page) = decode_answer(&body, false).unwrap() else {
        panic!("no page of changes");
    };
    assert_eq!((page.era, page.revision), (0, 8));
}

/// The era costs gossip a few bytes a message only.
#[test]
fn field_names_cost_few_bytes() {
    let named = encode_call(&PeerCall::Gossip(gossip(3)))
        .unwrap()
        .body
        .len();
    let earlier = rmp_serde::to_vec(&EarlierMessage::Gossip(earlier_gossip())).unwrap();
    assert!(named < earlier.len() + 64, "{named} bytes");
}

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
        era: 0,
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

/// Grant request of builds that do not queue requests.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierGrant {
    key: GrantKey,
    server: SmolStr,
    model: SmolStr,
    adapter: Option<SmolStr>,
    version: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    parts: Vec<PromptPart>,
    patience: u64,
    lifetime: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCall {
    Grant(EarlierGrant),
}

/// Guards against requests that find no scheduler during a rolling update, because builds with and
/// without queues cannot read each other's grant requests.
#[test]
fn builds_without_queues_read_grant_requests() {
    let request = GrantRequest {
        key: GrantKey {
            instance: "n-1".into(),
            incarnation: 1,
            number: 7,
        },
        server: "s-1".into(),
        model: "base".into(),
        adapter: Some("a1".into()),
        version: 3,
        prompt_tokens: 826,
        output_tokens: 292,
        parts: Vec::new(),
        max_wait: Duration::from_millis(120),
        lifetime: Duration::from_millis(3_000),
        priority: 2,
        team: Some("team".into()),
        objective_left: Duration::from_millis(600),
        hold: Duration::from_millis(300),
        place_hold: Duration::from_millis(150),
        waited: Duration::from_millis(90),
    };
    let body = encode_call(&PeerCall::Grant(request.clone())).unwrap().body;
    let decoded = decode_call(&body, false).unwrap();
    assert_eq!(decoded, PeerCall::Grant(request.clone()));
    let EarlierCall::Grant(earlier) = rmp_serde::from_slice(&body).unwrap();
    assert_eq!((earlier.patience, earlier.lifetime), (120, 3_000));
    let body = rmp_serde::to_vec(&EarlierCall::Grant(earlier)).unwrap();
    let unqueued = GrantRequest {
        priority: 0,
        team: None,
        objective_left: Duration::ZERO,
        hold: Duration::ZERO,
        place_hold: Duration::ZERO,
        waited: Duration::ZERO,
        ..request
    };
    let decoded = decode_call(&body, false).unwrap();
    assert_eq!(decoded, PeerCall::Grant(unqueued));
}
