//! Short forms of membership records, and instances of versions that do not read them.

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::format_smolstr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        FleetBounds, GatewayOptions, GatewayReducer,
        allowance::{ColdBounds, QuotaBounds, RetryBounds},
        availability::PauseBounds,
        event::{GatewayEffect, GatewayEvent},
        members::{AgedRecord, GossipTable, MemberPhase, MemberRecord},
        message::{PeerAnswer, PeerCall, PeerError},
    },
};

/// Time after which processes send digests.
const SETTLED: ClockTime = ClockTime::from_millis(6_000);
const STEP: Duration = Duration::from_millis(50);

/// A record in a message, as versions before digests decode it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PlainRecord {
    record: MemberRecord,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
    claims_revision: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8], 8_229))
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        name: format_smolstr!("n-{index}"),
        incarnation: 1_770_000_000_000,
        heartbeat: 1,
        phase: MemberPhase::Ready,
        data_centre: "dc-0".into(),
        caller_address: address(index),
        peer_address: address(index),
        suspects: Vec::new(),
        cleared: Vec::new(),
    }
}

fn table(index: usize) -> GossipTable {
    GossipTable::new(record(index), vec![address(0)], 3)
}

fn plain(record: MemberRecord) -> AgedRecord {
    AgedRecord {
        record,
        age: Duration::ZERO,
        claims_revision: 0,
        digest: None,
    }
}

fn phases(table: &GossipTable, now: ClockTime) -> Vec<(String, MemberPhase)> {
    table
        .alive(now)
        .map(|record| (record.name.to_string(), record.phase))
        .collect()
}

#[test]
fn records_without_a_digest_are_encoded_as_before() {
    let mut table = table(0);
    let records: Vec<AgedRecord> = (1..4).map(|index| plain(record(index))).collect();
    table.merge(SETTLED, &records);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let sent = rmp_serde::to_vec(&table.whole_records(SETTLED, &mut random)).unwrap();
    let decoded: Vec<PlainRecord> = rmp_serde::from_slice(&sent).unwrap();
    assert_eq!(decoded.len(), 4);
    assert_eq!(rmp_serde::to_vec(&decoded).unwrap(), sent);
    assert!(rmp_serde::from_slice::<Vec<AgedRecord>>(&sent).is_ok());
}

/// A heartbeat in short form keeps a member alive, but not one whose record is held with another
/// content: the instance would take what it holds for newer than what it lacks.
#[test]
fn digests_refresh_members_whose_record_is_held() {
    let (mut sender, mut receiver) = (table(0), table(1));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let members: Vec<AgedRecord> = (2..9).map(|index| plain(record(index))).collect();
    sender.merge(SETTLED, &members);
    receiver.merge(SETTLED, &members);
    // The changes of content that the sender learned at first are no longer whole in its messages.
    for _ in 0..8 {
        sender.begin_round(SETTLED, &mut random);
    }
    let later = SETTLED.after(Duration::from_millis(2_000));
    let mut news: Vec<AgedRecord> = (2..9).map(|index| plain(record(index))).collect();
    for aged in &mut news {
        aged.record.heartbeat = 9;
    }
    sender.merge(later, &news);
    receiver.merge(later, &[plain(record(3))]);
    let mut leaving = record(3);
    leaving.heartbeat = 5;
    leaving.phase = MemberPhase::Leaving;
    receiver.merge(later, &[plain(leaving)]);

    // One record, chosen at random, is whole; the others are in short form.
    let records = sender.records(later, &mut random);
    assert_eq!(records.len(), 2);
    assert_ne!(records[1].record.name, "n-3");
    receiver.merge(later, &records);
    let after = later.after(Duration::from_millis(2_400));
    let expected: Vec<(String, MemberPhase)> = [0, 2, 3, 4, 5, 6, 7, 8]
        .into_iter()
        .map(|index| {
            let phase = if index == 3 {
                MemberPhase::Leaving
            } else {
                MemberPhase::Ready
            };
            (format!("n-{index}"), phase)
        })
        .collect();
    assert_eq!(phases(&receiver, after), expected);
}

fn reducer(index: usize) -> GatewayReducer {
    GatewayReducer::new(GatewayOptions {
        instance: format_smolstr!("n-{index}"),
        incarnation: 1_770_000_000_000,
        seed: index as u64,
        data_centre: "dc-0".into(),
        caller_address: address(index),
        peer_address: address(index),
        seed_peers: vec![address(0)],
        min_instances: 2,
        first_start: true,
        grace_period: Duration::from_secs(8),
        queue_hold: Duration::from_millis(300),
        pause_bounds: PauseBounds {
            max: Duration::from_secs(120),
            unreadable: Duration::from_secs(1),
        },
        bounds: FleetBounds {
            quota: QuotaBounds {
                window: Duration::from_secs(8),
                overage: 0.25,
                slack: 20_000.0,
            },
            retry: RetryBounds {
                window: Duration::from_secs(10),
                ratio: 0.2,
                slack: 50.0,
            },
            cold: ColdBounds {
                overage: 1.5,
                slack: 5.0,
            },
            order_lease: Duration::from_secs(3),
        },
    })
}

/// Two instances, of which the second may be of a version that does not read digests.
struct MixedPair {
    now: ClockTime,
    reducers: [GatewayReducer; 2],
    reads_digests: bool,
    /// Per call of the first to the second one, whether it had a digest.
    calls: Vec<bool>,
}

impl MixedPair {
    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP);
            for index in 0..2 {
                self.reduce(index, GatewayEvent::Tick);
            }
        }
    }

    fn reduce(&mut self, index: usize, event: GatewayEvent) -> Vec<PeerAnswer> {
        let mut effects = Vec::new();
        self.reducers[index].reduce(self.now, event, &mut effects);
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                GatewayEffect::CallPeer {
                    call,
                    peer,
                    message,
                } => {
                    let answer = self.call(index, message);
                    self.reduce(index, GatewayEvent::PeerAnswered { call, peer, answer });
                }
                GatewayEffect::AnswerPeer { answer, .. } => answers.push(answer),
                _ => {}
            }
        }
        answers
    }

    fn call(&mut self, caller: usize, mut message: PeerCall) -> Result<PeerAnswer, PeerError> {
        if let PeerCall::Gossip(gossip) = &mut message {
            let has_digest = gossip.has_digest();
            if caller == 0 {
                self.calls.push(has_digest);
                if has_digest && !self.reads_digests {
                    return Err(PeerError::NoAnswer);
                }
            } else if !self.reads_digests {
                for aged in &mut gossip.records {
                    aged.digest = None;
                }
            }
        }
        let event = GatewayEvent::PeerCalled { call: 1, message };
        let mut answers = self.reduce(1 - caller, event);
        assert!(!self.reads_digests || answers.len() == 1);
        answers.pop().ok_or(PeerError::NoAnswer)
    }
}

/// In a rolling update, instances that read digests and instances that do not stay members of one
/// fleet, and use digests once both read them.
#[test]
fn peers_that_do_not_read_digests_get_whole_records() {
    let mut pair = MixedPair {
        now: ClockTime::from_millis(1),
        reducers: [reducer(0), reducer(1)],
        reads_digests: false,
        calls: Vec::new(),
    };
    pair.run(Duration::from_secs(20));
    // Each message with a digest is followed by one without at once.
    let with_digest = pair.calls.iter().filter(|has_digest| **has_digest).count();
    assert_eq!(with_digest, 1, "of {}", pair.calls.len());
    for reducer in &pair.reducers {
        assert_eq!(reducer.members(pair.now).len(), 2);
    }
    pair.reads_digests = true;
    pair.run(Duration::from_secs(1));
    pair.calls.clear();
    pair.run(Duration::from_secs(10));
    assert!(pair.calls.len() >= 20, "{}", pair.calls.len());
    assert!(pair.calls.iter().all(|has_digest| *has_digest));
}
