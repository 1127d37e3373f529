//! Published capacity of model servers: its encoding, its errors, and the choices made by it.

mod gateway;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use assert_matches::assert_matches;
use gateway::{
    desk::{server, serving_config},
    engine::{FakeEngine, LEASE, engine_config, grant_key, grant_request},
    instance::InstanceHarness,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{LoadedModel, PublishedItem},
        claims::{MemberClaims, ServerClaim, WholeClaims},
        event::{GatewayEffect, GatewayEvent, GatewayRequest, ModelName},
        members::{AgedRecord, MemberPhase, MemberRecord},
        message::{GossipMessage, PeerAnswer, PeerCall},
        server_scheduler::{DeclineReason, GrantRelease, GrantReply, LoadLimiter, ServerScheduler},
        server_status::{
            ExpectedStatus, MAX_GOSSIP_STATUSES, ServerCost, ServerHash, ServerStatus, StatusList,
            StatusTable, pick_server,
        },
    },
    key::KeyDigest,
    rendezvous,
};

const INSTANCES: usize = 77;
const STEP: Duration = Duration::from_millis(10);
/// Time for an entry to reach another instance.
const TRANSIT_STEPS: usize = 5;
const HOLD_TIME: Duration = Duration::from_millis(3_000);

/// What the instances of a [`Fleet`] know about the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// Nothing but the replies that they get themselves.
    Replies,
    /// Entries, which each instance receives at this interval.
    Entries(Duration),
    /// Entries of the initial state, over and over.
    Frozen,
    /// Entries of the servers in the instance's half of a partition.
    Partitioned(Duration),
    /// The state of each server.
    Complete,
}

struct FleetServer {
    id: String,
    speed: f64,
    /// Ends of the requests that hold adapter slots.
    slots: Vec<ClockTime>,
    prefill_until: ClockTime,
    busy: Duration,
}

/// Servers that instances send requests to, in steps of virtual time.
struct Fleet {
    now: ClockTime,
    knowledge: Knowledge,
    slot_count: usize,
    servers: Vec<FleetServer>,
    tables: Vec<StatusTable>,
    /// Per instance and server, the backlog in its last reply.
    replies: Vec<Vec<ClockTime>>,
    /// Per instance and server, the end of the pause after a decline.
    pauses: Vec<Vec<ClockTime>>,
    history: VecDeque<Vec<StatusList>>,
    random: ChaCha8Rng,
    asks: usize,
    declines: usize,
    waits: Vec<Duration>,
}

impl Fleet {
    fn new(count: usize, slot_count: usize, knowledge: Knowledge) -> Fleet {
        let server = |number: usize| FleetServer {
            id: format!("i-{number:010x}"),
            speed: if number.is_multiple_of(4) { 0.55 } else { 1.2 },
            slots: Vec::new(),
            prefill_until: ClockTime::ZERO,
            busy: Duration::ZERO,
        };
        Fleet {
            now: ClockTime::from_millis(10_000),
            knowledge,
            slot_count,
            servers: (0..count).map(server).collect(),
            tables: (0..INSTANCES).map(|_| StatusTable::default()).collect(),
            replies: vec![vec![ClockTime::ZERO; count]; INSTANCES],
            pauses: vec![vec![ClockTime::ZERO; count]; INSTANCES],
            history: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(3),
            asks: 0,
            declines: 0,
            waits: Vec::new(),
        }
    }

    fn status(&self, server: usize) -> ServerStatus {
        let server = &self.servers[server];
        ServerStatus {
            age: Duration::ZERO,
            free_slots: (self.slot_count - server.slots.len()) as u32,
            queued: 0,
            backlog: server.prefill_until.since(self.now),
            speed: Some(server.speed),
        }
    }

    /// Entries of some servers, in lists of the size of a message.
    fn lists(&self, servers: impl Iterator<Item = usize>) -> Vec<StatusList> {
        let servers: Vec<usize> = servers.collect();
        let list = |chunk: &[usize]| {
            let mut list = StatusList::default();
            for server in chunk {
                list.push(
                    ServerHash::new(&self.servers[*server].id),
                    &self.status(*server),
                );
            }
            list
        };
        servers.chunks(MAX_GOSSIP_STATUSES).map(list).collect()
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        for server in &mut self.servers {
            server.slots.retain(|end| *end > self.now);
        }
        let interval = match self.knowledge {
            Knowledge::Entries(interval) | Knowledge::Partitioned(interval) => interval,
            Knowledge::Frozen => Duration::from_millis(200),
            Knowledge::Replies | Knowledge::Complete => return,
        };
        let is_frozen = self.knowledge == Knowledge::Frozen;
        match self.history.front().filter(|_| is_frozen) {
            Some(first) => self.history.push_back(first.clone()),
            None => self.history.push_back(self.lists(0..self.servers.len())),
        }
        if self.history.len() <= TRANSIT_STEPS {
            return;
        }
        let steps = (interval.as_millis() / STEP.as_millis()) as usize;
        let step = (self.now.as_micros() / STEP.as_micros() as u64) as usize;
        let is_partitioned = matches!(self.knowledge, Knowledge::Partitioned(_));
        let lists = self.history.pop_front().into_iter().flatten();
        for (half, list) in lists.enumerate() {
            let mut aged = StatusList::default();
            for (server, status) in list.iter() {
                let age = STEP * TRANSIT_STEPS as u32;
                aged.push(server, &ServerStatus { age, ..status });
            }
            for (instance, table) in self.tables.iter_mut().enumerate() {
                let is_cut = is_partitioned && instance % 2 != half % 2;
                if (step + instance).is_multiple_of(steps) && !is_cut {
                    table.merge(self.now, &aged, MAX_GOSSIP_STATUSES);
                    table.expire(self.now);
                    table.set_fleet(INSTANCES - 1, self.servers.len());
                }
            }
        }
    }

    fn expected(&self, instance: usize, server: usize) -> Option<ExpectedStatus> {
        match self.knowledge {
            Knowledge::Replies => None,
            Knowledge::Entries(_) | Knowledge::Frozen | Knowledge::Partitioned(_) => {
                let hash = ServerHash::new(&self.servers[server].id);
                self.tables[instance].expected(self.now, hash)
            }
            Knowledge::Complete => Some(ExpectedStatus::current(self.status(server))),
        }
    }

    fn ask(&mut self, instance: usize, server: usize, prefill: Duration, needs_slot: bool) -> bool {
        self.asks += 1;
        let hash = ServerHash::new(&self.servers[server].id);
        // The request arrives at its scheduler later than it was recorded.
        let asked_at = self.now.before(Duration::from_millis(1));
        self.tables[instance].record_request(asked_at, hash, prefill, needs_slot);
        let is_granted = !needs_slot || self.servers[server].slots.len() < self.slot_count;
        let now = self.now;
        if is_granted {
            let server = &mut self.servers[server];
            let start = server.prefill_until.max(now);
            let time = prefill.div_f64(server.speed);
            server.prefill_until = start.after(time);
            server.busy += time;
            self.waits.push(start.since(now) + time);
            if needs_slot {
                let hold = HOLD_TIME.mul_f64(-self.random.random_range(0.001_f64..1.0).ln());
                server.slots.push(now.after(hold));
            }
        } else {
            self.declines += 1;
            self.pauses[instance][server] = now.after(Duration::from_millis(60));
        }
        self.replies[instance][server] = self.servers[server].prefill_until;
        for list in self.lists([server].into_iter()) {
            self.tables[instance].merge(now, &list, 1);
        }
        is_granted
    }

    /// Sends a request by the terms of the cost of `choice.rs` that differ between these servers.
    fn send(&mut self, prefill: Duration, needs_slot: bool) {
        let instance = self.random.random_range(0..INSTANCES);
        let adapter = format!("a{}", self.random.random_range(0..10_000));
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.sort_by_key(|server| {
            std::cmp::Reverse(rendezvous::weight(&adapter, &self.servers[*server].id))
        });
        let mut tried = Vec::new();
        while tried.len() < 4 {
            let mut costs = Vec::new();
            for (rank, server) in order.iter().enumerate() {
                if tried.contains(server)
                    || (needs_slot && self.pauses[instance][*server] > self.now)
                {
                    continue;
                }
                let known = self.expected(instance, *server);
                let interval = HOLD_TIME / self.slot_count as u32;
                let backlog = self.replies[instance][*server].since(self.now);
                let (backlog, speed, wait) =
                    known.map_or((backlog, 1.0, Duration::ZERO), |known| {
                        (
                            known.status.backlog,
                            known.status.speed.unwrap_or(1.0),
                            known.slot_wait(interval),
                        )
                    });
                let wait = if needs_slot { wait } else { Duration::ZERO };
                let first = backlog.max(wait) + prefill.div_f64(speed);
                let millis = first.as_secs_f64() * 1_000.0;
                let rank = if needs_slot { rank as f64 * 10.0 } else { 0.0 };
                let cost = millis * 0.2 + (millis - 400.0).max(0.0) * 1.5 + rank;
                let other_work = known.filter(|_| !needs_slot).map(|known| known.other_work);
                costs.push(ServerCost {
                    cost,
                    fixed: 0.0,
                    other_work: other_work.map(|work| work.as_secs_f64() * 200.0),
                    choice: *server,
                });
            }
            let Some(server) = pick_server(&mut self.random, &costs) else {
                return;
            };
            if self.ask(instance, server, prefill, needs_slot) {
                return;
            }
            tried.push(server);
        }
    }

    /// Sends `rate` requests a second for `seconds`.
    fn run(&mut self, seconds: u32, rate: f64, prefill: Duration, needs_slot: bool) {
        for _ in 0..seconds * 100 {
            self.step();
            let mut due = rate / 100.0;
            while due > self.random.random_range(0.0..1.0) {
                due -= 1.0;
                self.send(prefill, needs_slot);
            }
        }
    }
}

/// Share of asks that are declined for want of an adapter slot while most slots are in use.
fn declined_share(count: usize, slots: usize, knowledge: Knowledge) -> f64 {
    let mut fleet = Fleet::new(count, slots, knowledge);
    let rate = 0.9 * (count * slots) as f64 / HOLD_TIME.as_secs_f64();
    fleet.run(20, rate, Duration::ZERO, true);
    fleet.declines as f64 / fleet.asks as f64
}

/// Requests for adapters that are not loaded were sent to servers without a free slot, which cost a
/// round trip each.
#[test]
fn few_asks_are_declined_for_want_of_a_slot() {
    for (count, slots) in [(60, 7), (140, 6)] {
        let share = |knowledge| declined_share(count, slots, knowledge);
        let before = share(Knowledge::Replies);
        let interval = Duration::from_millis;
        for (knowledge, bound) in [
            (Knowledge::Entries(interval(50)), 0.4),
            (Knowledge::Entries(interval(200)), 0.6),
            (Knowledge::Entries(interval(500)), 0.8),
            (Knowledge::Entries(interval(1_000)), 1.0),
            (Knowledge::Partitioned(interval(200)), 1.05),
            (Knowledge::Frozen, 1.05),
        ] {
            let share = share(knowledge);
            println!("{count} servers, {knowledge:?}: {share:.3} declined, before {before:.3}");
            assert!(share < before * bound, "{knowledge:?}: {share} of {before}");
        }
    }
}

/// Busiest server relative to the mean, by its own time, and the 99th percentile of waits.
fn balance(count: usize, knowledge: Knowledge) -> (f64, Duration) {
    let mut fleet = Fleet::new(count, 1, knowledge);
    let prefill = Duration::from_millis(76);
    let speeds: f64 = fleet.servers.iter().map(|server| server.speed).sum();
    fleet.run(20, 0.8 * speeds / prefill.as_secs_f64(), prefill, false);
    let busy = fleet.servers.iter().map(|server| server.busy.as_secs_f64());
    let mean = busy.clone().sum::<f64>() / count as f64;
    fleet.waits.sort_unstable();
    let wait = fleet.waits[fleet.waits.len() * 99 / 100];
    (busy.fold(0.0, f64::max) / mean, wait)
}

/// Servers at half of the nominal speed got as much work as the others, and many instances chose the
/// same server.
#[test]
fn work_goes_where_the_backlog_is_shortest_by_own_speed() {
    for count in [60, 140] {
        let (ratio_before, wait_before) = balance(count, Knowledge::Replies);
        let complete = balance(count, Knowledge::Complete);
        println!("{count} servers, before {ratio_before} {wait_before:?}, complete {complete:?}");
        for interval_ms in [50, 200, 500, 1_000] {
            let knowledge = Knowledge::Entries(Duration::from_millis(interval_ms));
            let (ratio, wait) = balance(count, knowledge);
            println!("{count} servers, {interval_ms} ms: {ratio} {wait:?}");
            assert!(ratio < ratio_before * 0.95, "{interval_ms} ms: {ratio}");
            assert!(wait < wait_before / 5, "{interval_ms} ms: {wait:?}");
        }
    }
}

/// Entries of peers that are lost, out of range or of unknown servers are bounded or dropped.
#[test]
fn lost_and_absurd_entries_do_no_harm() {
    let now = ClockTime::from_millis(500);
    let mut table = StatusTable::default();
    let server = ServerHash::new("s-1");
    let mut list = StatusList::default();
    let absurd = ServerStatus {
        age: Duration::from_secs(1),
        free_slots: u32::MAX,
        queued: u32::MAX,
        backlog: Duration::MAX,
        speed: Some(f64::INFINITY),
    };
    list.push(server, &absurd);
    table.merge(now, &list, 1);
    let known = table.expected(now, server).unwrap().status;
    assert_eq!(
        (known.free_slots, known.queued, known.speed),
        (255, 255, None)
    );
    assert_eq!(known.backlog, Duration::from_millis(1_550));
    assert_eq!(
        table.expected(now.after(Duration::from_secs(2)), server),
        None
    );
    let mut random = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..5_000 {
        let bytes: Vec<u8> = (0..101).map(|_| random.random()).collect();
        // Header of 101 bytes in MessagePack.
        let body = [[0xc4, 101].to_vec(), bytes].concat();
        let list: StatusList = rmp_serde::from_slice(&body).unwrap();
        table.merge(now, &list, MAX_GOSSIP_STATUSES);
        for (_, status) in list.iter() {
            assert!(
                status
                    .speed
                    .is_none_or(|speed| (0.125..4.0).contains(&speed))
            );
        }
    }
    let mut newest = StatusList::default();
    table.append_newest(now, None, usize::MAX, &mut newest);
    assert!(newest.len() <= 4_096, "{}", newest.len());
}

/// Reply of builds without entries.
#[derive(Debug, PartialEq, Deserialize)]
enum EarlierReply {
    Declined { reason: DeclineReason, backlog: u64 },
}

#[test]
fn entries_are_small_and_ignored_by_earlier_builds() {
    let mut statuses = StatusList::default();
    for number in 0..16 {
        let id = format!("s-{number}");
        statuses.push(ServerHash::new(&id), &ServerStatus::default());
    }
    let (reason, backlog) = (DeclineReason::NoPlace, Duration::from_millis(40));
    let reply = GrantReply::Declined {
        reason,
        backlog,
        statuses,
    };
    let body = rmp_serde::to_vec(&reply).unwrap();
    assert!(body.len() <= 180, "{} bytes", body.len());
    assert_eq!(rmp_serde::from_slice::<GrantReply>(&body).unwrap(), reply);
    let earlier = EarlierReply::Declined {
        reason,
        backlog: 40,
    };
    assert_eq!(
        rmp_serde::from_slice::<EarlierReply>(&body).unwrap(),
        earlier
    );
    let earlier = rmp_serde::to_vec(&BTreeMap::from([("Declined", (reason, 40))])).unwrap();
    let read: GrantReply = rmp_serde::from_slice(&earlier).unwrap();
    assert_matches!(read, GrantReply::Declined { statuses, .. } if statuses.is_empty());
}

/// The published number of free slots must agree with the decisions of the scheduler, and a successor
/// must start from the published speed.
#[test]
fn a_scheduler_publishes_what_it_grants() {
    let engine = FakeEngine::new(3);
    let config = engine_config(3);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    assert_eq!(
        scheduler.status(start, &config).free_slots,
        0,
        "no lease yet"
    );
    let now = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(now, Some(&engine.report()));
    let mut limiter = LoadLimiter::new(1.0);
    limiter.set_server_count(8);
    for free in [3, 2, 1, 0] {
        assert_eq!(scheduler.status(now, &config).free_slots, free);
        let request = grant_request(free.into(), &format!("a{free}"));
        let reply = scheduler.decide(now, &config, &request, &mut limiter);
        assert_eq!(matches!(reply, GrantReply::Granted { .. }), free > 0);
    }
    assert_eq!(scheduler.speed(), None);
    for number in 10..60 {
        let now = now.after(Duration::from_secs(number));
        let mut request = grant_request(number, "a1");
        request.prompt_tokens = 4_000;
        let reply = scheduler.decide(now, &config, &request, &mut limiter);
        assert_matches!(reply, GrantReply::Granted { .. });
        // 133 ms at nominal speed, and the interval of events.
        let first_event = Some(Duration::from_millis(133 * 2 + 30));
        scheduler.release(
            now.after(Duration::from_millis(300)),
            &GrantRelease {
                server: "s-1".into(),
                key: grant_key(number),
                first_event,
                adapter_missing: false,
                ended: true,
                late_pause: None,
            },
        );
    }
    let speed = scheduler.speed().unwrap();
    assert!((0.45..0.6).contains(&speed), "{speed}");
    let mut successor = ServerScheduler::new(now, LEASE, &config, &[]);
    successor.set_initial_speed(speed);
    assert!((successor.speed().unwrap() - speed).abs() < 0.01);
}

/// An instance and what it knows of five servers, which another instance schedules.
fn informed_instance(free_slots: [u32; 5]) -> InstanceHarness {
    let mut harness = InstanceHarness::new(0);
    let mut config = serving_config(2, &[b"key"]);
    config.services[0].engine = Some(engine_config(6));
    harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
    let models = vec![LoadedModel {
        name: "base".into(),
        adapters: Vec::new(),
    }];
    let mut statuses = StatusList::default();
    let mut claims = Vec::new();
    for (number, free_slots) in (1..).zip(free_slots) {
        let mut record = server(number, false);
        record.data_centre = "dc-0".into();
        claims.push(Arc::new(ServerClaim {
            server: record.id.clone(),
            started: 1,
            active: true,
            fence: 0,
            models: models.clone(),
            recently_evicted: Vec::new(),
        }));
        let status = ServerStatus {
            free_slots,
            ..ServerStatus::default()
        };
        statuses.push(ServerHash::new(&record.id), &status);
        harness.publish(
            &format!("servers/{}", record.id),
            PublishedItem::Server(record),
        );
    }
    let address = "10.1.0.2:7000".parse().unwrap();
    let record = MemberRecord {
        name: "n-2".into(),
        incarnation: 1,
        heartbeat: 1,
        phase: MemberPhase::Ready,
        data_centre: "dc-0".into(),
        caller_address: address,
        peer_address: address,
        suspects: Vec::new(),
        cleared: Vec::new(),
    };
    let whole = WholeClaims {
        member: "n-2".into(),
        incarnation: 1,
        revision: 1,
        claims,
    };
    let message = PeerCall::Gossip(GossipMessage {
        records: vec![AgedRecord {
            record,
            age: Duration::ZERO,
            claims_revision: 1,
            digest: None,
        }],
        claims: vec![MemberClaims::Whole(whole)],
        wanted: Vec::new(),
        revision: 0,
        last_change: 0,
        catalog_age: Duration::ZERO,
        era: 0,
        leaving: Vec::new(),
        load_time: None,
        statuses,
        crashes: Default::default(),
    });
    harness.handle(GatewayEvent::PeerCalled { call: 0, message });
    harness
}

/// Call and server of the grant that the effects request.
fn asked(effects: &[GatewayEffect]) -> Option<(u64, String)> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::CallPeer {
            call,
            message: PeerCall::Grant(request),
            ..
        } => Some((*call, request.server.to_string())),
        _ => None,
    })
}

/// Requests for adapters that are not loaded went to the servers first in the adapter's order, whether
/// they had a free slot or not.
#[test]
fn requests_for_adapters_go_to_servers_with_a_free_slot() {
    for adapter in 0..10 {
        let mut harness = informed_instance([0, 0, 1, 0, 1]);
        let request = |harness: &mut InstanceHarness| {
            harness.number += 1;
            let effects = harness.handle(GatewayEvent::RequestArrived(GatewayRequest {
                number: harness.number,
                attempt: "id".into(),
                host: "host".into(),
                path: "/safe/".into(),
                key: Some(KeyDigest::of(b"key")),
                model: Some(ModelName {
                    model: "base".into(),
                    adapter: Some(format!("a{adapter}-{}", harness.number).into()),
                }),
                tokens: Some((100, 100)),
                prompt_parts: Vec::new(),
                deadline: harness.deadline,
                content_hash: harness.number,
            }));
            asked(&effects).unwrap()
        };
        let (_, first) = request(&mut harness);
        let (call, second) = request(&mut harness);
        let mut servers = [first, second.clone()];
        servers.sort();
        assert_eq!(servers, ["s-3", "s-5"], "the first request takes its slot");
        // The reply that declines names the server that has a slot now.
        let mut statuses = StatusList::default();
        for (id, free_slots) in [(second.as_str(), 0), ("s-2", 1)] {
            let status = ServerStatus {
                free_slots,
                ..ServerStatus::default()
            };
            statuses.push(ServerHash::new(id), &status);
        }
        let reply = GrantReply::Declined {
            reason: DeclineReason::NoPlace,
            backlog: Duration::ZERO,
            statuses,
        };
        let effects = harness.handle(GatewayEvent::PeerAnswered {
            call,
            peer: "10.1.0.2:7000".parse().unwrap(),
            answer: Ok(PeerAnswer::Grant(reply)),
        });
        assert_eq!(asked(&effects).unwrap().1, "s-2");
    }
}
