//! How one instance treats answers of the store and of peers from different eras of the store.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        FleetBounds, GatewayOptions, GatewayReducer,
        allowance::{ColdBounds, QuotaBounds, RetryBounds},
        availability::PauseBounds,
        catalog::{PublishedChange, PublishedItem, ServerRecord},
        event::{GatewayEffect, GatewayEvent, StoreError, StoreRead},
        members::{AgedRecord, MemberPhase, MemberRecord},
        message::{GossipMessage, PeerAnswer, PeerCall},
        replica::CatalogPage,
    },
};

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 7_000))
}

fn server(id: &str, draining: bool, started: u64) -> PublishedItem {
    PublishedItem::Server(ServerRecord {
        id: id.into(),
        service: "plain".into(),
        address: address(200),
        data_centre: "dc-1".into(),
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        sequence: 0,
        started,
        models: Vec::new(),
    })
}

fn page(era: u64, revision: u64, changes: &[(&str, u64, Option<PublishedItem>)]) -> CatalogPage {
    CatalogPage {
        changes: changes
            .iter()
            .map(|(key, revision, item)| PublishedChange {
                key: (*key).into(),
                revision: *revision,
                item: item.clone(),
            })
            .collect(),
        is_snapshot: true,
        revision,
        era,
    }
}

fn changes(page: CatalogPage) -> CatalogPage {
    CatalogPage {
        is_snapshot: false,
        ..page
    }
}

/// A single instance whose store and peers are played by the test.
struct EraHarness {
    reducer: GatewayReducer,
    now: ClockTime,
    /// Events of the log lines about the store.
    log: Vec<SmolStr>,
    reads: Vec<StoreRead>,
    fetches: Vec<(u64, SocketAddr)>,
}

impl EraHarness {
    fn new() -> EraHarness {
        let reducer = GatewayReducer::new(GatewayOptions {
            instance: "n-1".into(),
            incarnation: 1,
            seed: 1,
            data_centre: "dc-1".into(),
            caller_address: address(1),
            peer_address: address(1),
            seed_peers: Vec::new(),
            min_instances: 1,
            first_start: true,
            grace_period: secs(8),
            queue_hold: Duration::from_millis(300),
            pause_bounds: PauseBounds {
                max: secs(120),
                unreadable: secs(1),
            },
            bounds: FleetBounds {
                quota: QuotaBounds {
                    window: secs(8),
                    overage: 0.25,
                    slack: 100.0,
                },
                retry: RetryBounds {
                    window: secs(10),
                    ratio: 0.2,
                    slack: 50.0,
                },
                cold: ColdBounds {
                    overage: 1.5,
                    slack: 5.0,
                },
                order_lease: secs(3),
            },
        });
        let mut harness = EraHarness {
            reducer,
            now: ClockTime::from_millis(1),
            log: Vec::new(),
            reads: Vec::new(),
            fetches: Vec::new(),
        };
        harness.handle(GatewayEvent::Tick);
        harness
    }

    fn handle(&mut self, event: GatewayEvent) {
        let mut effects = Vec::new();
        self.reducer.reduce(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                GatewayEffect::ReadStore(read) => self.reads.push(read),
                GatewayEffect::CallPeer {
                    call,
                    peer,
                    message: PeerCall::CatalogChanges(_),
                } => self.fetches.push((call, peer)),
                GatewayEffect::Log(line) if line.event.starts_with("store_") => {
                    let reason = line
                        .detail
                        .split(' ')
                        .find(|part| part.starts_with("reason="));
                    let text = format_smolstr!("{} {}", line.event, reason.unwrap_or_default());
                    self.log.push(text.trim_end().into());
                }
                _ => {}
            }
        }
    }

    /// Runs until the next read of the store, which `answer` answers.
    fn answer_read(&mut self, answer: Result<CatalogPage, StoreError>) {
        while self.reads.is_empty() {
            self.advance(Duration::from_millis(20));
        }
        self.reads.clear();
        self.handle(GatewayEvent::StoreAnswered(answer));
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(20));
            self.handle(GatewayEvent::Tick);
        }
    }

    /// A gossip message of a peer, whose replica is complete up to a revision.
    fn gossip(&mut self, era: u64, revision: u64) {
        let record = MemberRecord {
            name: "n-2".into(),
            incarnation: 1,
            heartbeat: self.now.as_micros(),
            phase: MemberPhase::Ready,
            data_centre: "dc-1".into(),
            caller_address: address(2),
            peer_address: address(2),
            suspects: Vec::new(),
            cleared: Vec::new(),
        };
        let message = PeerCall::Gossip(GossipMessage {
            records: vec![AgedRecord {
                record,
                age: Duration::ZERO,
                claims_revision: 0,
                digest: None,
            }],
            claims: Vec::new(),
            wanted: Vec::new(),
            revision,
            last_change: revision,
            catalog_age: Duration::ZERO,
            era,
            leaving: Vec::new(),
            load_time: None,
            statuses: Default::default(),
            crashes: Default::default(),
        });
        self.handle(GatewayEvent::PeerCalled { call: 0, message });
    }

    fn answer_fetch(&mut self, page: CatalogPage) {
        let (call, peer) = self.fetches.pop().expect("a fetch of changes");
        let answer = Ok(PeerAnswer::CatalogChanges(page));
        self.handle(GatewayEvent::PeerAnswered { call, peer, answer });
    }

    fn revision(&self) -> String {
        self.reducer.catalog_revision().to_string()
    }
}

/// An answer of the store from before its restore, delivered late, is ignored.
#[test]
fn a_late_answer_of_an_earlier_era_is_ignored() {
    let mut harness = EraHarness::new();
    harness.answer_read(Ok(page(
        1,
        50,
        &[("servers/a", 7, Some(server("a", false, 1)))],
    )));
    harness.answer_read(Ok(page(2, 30, &[])));
    let late = page(1, 90, &[("servers/b", 80, Some(server("b", false, 1)))]);
    harness.answer_read(Ok(late));
    assert_eq!(harness.revision(), "2/30");
    assert_eq!(harness.reducer.is_server_in_service("b"), None);
    insta::assert_debug_snapshot!(harness.log, @r#"
    [
        "store_restored",
        "store_answer_ignored reason=earlier_era",
        "store_lost",
    ]
    "#);
}

/// A watch that the restored store answers lacks the changes before it.
#[test]
fn a_watch_across_a_restore_leads_to_a_snapshot() {
    let mut harness = EraHarness::new();
    harness.answer_read(Ok(page(1, 50, &[])));
    harness.answer_read(Ok(changes(page(2, 55, &[]))));
    assert_eq!(harness.revision(), "1/50");
    assert_eq!(harness.reads, [StoreRead::Snapshot]);
    harness.answer_read(Ok(page(2, 55, &[])));
    assert_eq!(harness.revision(), "2/55");
}

/// An era that skips others counts only once a second answer confirms it.
#[test]
fn an_absurd_era_does_not_lock_the_instance_out() {
    let mut harness = EraHarness::new();
    harness.answer_read(Ok(page(1, 50, &[])));
    harness.answer_read(Ok(page(9_000_000, 1, &[])));
    assert_eq!(harness.revision(), "1/50");
    harness.answer_read(Ok(page(1, 60, &[])));
    assert_eq!(harness.revision(), "1/60");
    // Several restores in a row may go unnoticed.
    harness.answer_read(Ok(page(4, 20, &[])));
    harness.answer_read(Ok(page(4, 20, &[])));
    assert_eq!(harness.revision(), "4/20");
}

/// A store that states an earlier era for long is believed in the end, and peers with the later one
/// are not.
#[test]
fn a_lower_era_is_believed_after_a_while() {
    let mut harness = EraHarness::new();
    harness.answer_read(Ok(page(7, 50, &[])));
    harness.answer_read(Ok(page(7, 50, &[])));
    assert_eq!(harness.revision(), "7/50");
    let start = harness.now;
    while harness.revision() != "2/60" {
        harness.answer_read(Ok(page(2, 60, &[])));
        assert!(harness.now.since(start) < secs(13));
    }
    assert!(harness.now.since(start) >= secs(10));
    harness.gossip(7, 50);
    assert!(harness.fetches.is_empty());
}

#[test]
fn pages_of_two_eras_are_read_again() {
    let mut harness = EraHarness::new();
    harness.answer_read(Err(StoreError::MixedEras));
    assert_eq!(harness.reads, [StoreRead::Snapshot]);
    assert_eq!(harness.revision(), "0/0");
}

/// A peer in a later era is followed, and one in an earlier era neither confirms the replica nor
/// changes it.
#[test]
fn pages_and_confirmations_of_peers_count_within_their_era() {
    let mut harness = EraHarness::new();
    harness.answer_read(Ok(page(1, 50, &[])));
    harness.gossip(2, 20);
    let item = ("servers/a", 18, Some(server("a", false, 1)));
    harness.answer_fetch(page(2, 20, std::slice::from_ref(&item)));
    assert_eq!(harness.revision(), "2/20");
    assert_eq!(harness.reducer.is_server_in_service("a"), Some(true));
    harness.gossip(1, 70);
    assert!(harness.fetches.is_empty());
    assert_eq!(harness.revision(), "2/20");
    // Announced by a peer that is behind by the time of its answer.
    harness.gossip(2, 25);
    harness.answer_fetch(page(
        1,
        70,
        &[("servers/b", 70, Some(server("b", false, 1)))],
    ));
    assert_eq!(harness.reducer.is_server_in_service("b"), None);
    harness.gossip(2, 25);
    let page = changes(page(
        2,
        25,
        &[("servers/b", 25, Some(server("b", false, 1)))],
    ));
    harness.answer_fetch(page);
    assert_eq!(harness.revision(), "2/25");
    assert_eq!(harness.reducer.is_server_in_service("b"), Some(true));
}

/// A server that is known to be draining or gone stays so, unless it writes again or has started
/// again.
#[test]
fn a_copy_does_not_bring_servers_back_that_have_left() {
    let mut harness = EraHarness::new();
    let ready = |id| Some(server(id, false, 1));
    let ids = ["drained", "gone", "rewritten", "restarted"];
    let keys = ids.map(|id| format!("servers/{id}"));
    let listed: Vec<_> = ids
        .iter()
        .zip(&keys)
        .map(|(id, key)| (key.as_str(), 7, ready(id)))
        .collect();
    harness.answer_read(Ok(page(1, 10, &listed)));
    let mut left: Vec<_> = ids
        .iter()
        .zip(&keys)
        .map(|(id, key)| (key.as_str(), 20, Some(server(id, true, 1))))
        .collect();
    left[1].2 = None;
    harness.answer_read(Ok(changes(page(1, 20, &left))));
    let mut copy = listed.clone();
    copy[3].2 = Some(server("restarted", false, 2));
    harness.answer_read(Ok(page(2, 10, &copy)));
    let in_service = |harness: &EraHarness| {
        ids.map(|id| harness.reducer.is_server_in_service(id).unwrap_or(false))
    };
    assert_eq!(in_service(&harness), [false, false, false, true]);
    let rewritten = ("servers/rewritten", 12, ready("rewritten"));
    let page = page(2, 12, &[rewritten]);
    harness.answer_read(Ok(changes(page)));
    assert_eq!(in_service(&harness), [false, false, true, true]);
}
