//! Queues of requests at the schedulers of model servers.

mod gateway;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use gateway::{
    engine::{FakeEngine, LEASE, engine_config, grant_key, grant_request},
    world::{GatewayWorld, RequestEnd, config, team},
};
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{
    clock::ClockTime,
    error::ErrorKind,
    gateway::{
        catalog::PublishedItem,
        server_scheduler::{
            DeclineReason, GrantAnswer, GrantCaller, GrantRelease, GrantReply, GrantRequest,
            LoadLimiter, ServerScheduler,
            wait_queue::{MAX_WAITING, WaitQueue, WaitTerms},
        },
    },
};

/// Time of a load at a simulated server, and of the order for it.
const LOAD_TIME: Duration = Duration::from_millis(270);
const HOLD: Duration = Duration::from_millis(300);

fn millis(time: u64) -> ClockTime {
    ClockTime::from_millis(time)
}

fn terms(priority: u8, team: &str, objective_at: u64) -> WaitTerms {
    WaitTerms {
        priority,
        team: Some(team.into()),
        objective_at: millis(objective_at),
        service_time: Duration::from_millis(100),
        waiting_since: millis(10_000),
    }
}

/// Terms of a request that arrives at `now`, in milliseconds.
fn arriving(team: &str, now: u64) -> WaitTerms {
    WaitTerms {
        waiting_since: millis(now),
        ..terms(1, team, now + 800)
    }
}

/// Guards against an order in which a request that is late anyway, or a team that was served much,
/// takes the place of one that can be in time.
#[test]
fn requests_leave_in_order() {
    let mut queue = WaitQueue::default();
    queue.record_served(millis(5_000), &Some("busy".into()), 64_000);
    queue.record_served(millis(10_000), &Some("quiet".into()), 31_000);
    let starving = WaitTerms {
        waiting_since: millis(8_000),
        ..terms(9, "busy", 0)
    };
    let waiting = [
        ("late", terms(0, "quiet", 10_099)),
        ("busy", terms(1, "busy", 10_200)),
        ("second", terms(1, "quiet", 10_900)),
        ("first", terms(1, "quiet", 10_800)),
        ("urgent", terms(0, "busy", 11_000)),
        ("starving", starving),
    ];
    for (name, terms) in waiting {
        queue.push(terms, name).unwrap();
    }
    let mut order = Vec::new();
    while let Some(ticket) = queue.first(millis(10_000), |_| true) {
        order.extend(queue.remove(ticket).map(|(name, _)| name));
    }
    assert_eq!(
        order,
        ["starving", "urgent", "first", "second", "busy", "late"]
    );
    assert_eq!(
        queue.recent_tokens(millis(10_000), &Some("busy".into())),
        32_000.0
    );
}

/// Guards against a team that sends nine times its rate and makes others wait. The server serves a
/// request in 10 ms; fifteen teams need 60 % of it, and the loud team alone asks for 36 %, in bursts
/// that fill the queue.
#[test]
fn a_loud_team_waits_behind_its_own_requests() {
    let mut queue = WaitQueue::default();
    let mut longest = BTreeMap::<SmolStr, u64>::new();
    let mut served = BTreeMap::<SmolStr, u64>::new();
    for now in 0..20_000_u64 {
        for team in 0..15_u64 {
            if (now + team * 17) % 250 == 0 {
                let team = format_smolstr!("team-{team}");
                let quiet = arriving(&team, now);
                queue.push(quiet, (team, now)).ok();
            }
        }
        if now % 250 == 0 {
            for _ in 0..27 {
                queue.push(arriving("loud", now), ("loud".into(), now)).ok();
            }
        }
        // Callers leave after 1.5 s.
        while let Some(ticket) = queue.find(|(_, arrived)| arrived + 1_500 <= now) {
            queue.remove(ticket);
        }
        if now % 10 == 0
            && let Some(ticket) = queue.first(millis(now), |_| true)
            && let Some(((team, arrived), _)) = queue.remove(ticket)
        {
            queue.record_served(millis(now), &Some(team.clone()), 1_000);
            let wait = longest.entry(team.clone()).or_default();
            *wait = (*wait).max(now - arrived);
            *served.entry(team).or_default() += 1;
        }
    }
    let loud_wait = longest.remove("loud").unwrap();
    let quiet_wait = *longest.values().max().unwrap();
    assert_eq!(longest.len(), 15);
    assert!(loud_wait >= 500, "the loud team waits {loud_wait} ms");
    assert!(quiet_wait <= 100, "a quiet team waits {quiet_wait} ms");
    // The loud team still gets what the others leave.
    assert!(served["loud"] >= 780, "{served:?}");
}

/// A scheduler whose three adapter slots are in use, and its server.
struct BusyServer {
    scheduler: ServerScheduler,
    engine: FakeEngine,
    limiter: LoadLimiter,
    now: ClockTime,
}

impl BusyServer {
    fn new() -> BusyServer {
        let engine = FakeEngine::new(3);
        let start = millis(1_000);
        let models = engine.report().models;
        let mut scheduler = ServerScheduler::new(start, LEASE, &engine_config(3), &models);
        scheduler.observe_report(start, Some(&engine.report()));
        let now = start.after(LEASE + Duration::from_millis(500));
        scheduler.observe_report(now, Some(&engine.report()));
        let mut limiter = LoadLimiter::new(2.0);
        limiter.set_server_count(4);
        let mut server = BusyServer {
            scheduler,
            engine,
            limiter,
            now,
        };
        for number in 1..=3 {
            let request = grant_request(number, &format!("a{number}"));
            let config = engine_config(3);
            server
                .scheduler
                .decide(now, &config, &request, &mut server.limiter);
        }
        server.execute_orders();
        server.now = server.now.after(Duration::from_millis(300));
        for number in 1..=3 {
            server.release(number, Some(Duration::from_millis(40)), false);
        }
        server
    }

    fn execute_orders(&mut self) {
        let config = engine_config(3);
        while let Some(order) = self.scheduler.next_order(self.now, &config, 1) {
            let outcome = self.engine.order(self.now, &order);
            self.scheduler.order_ended(self.now, outcome);
        }
    }

    fn release(&mut self, number: u64, first_event: Option<Duration>, ended: bool) {
        let release = GrantRelease {
            server: "s-1".into(),
            key: grant_key(number),
            first_event,
            adapter_missing: false,
            ended,
            late_pause: None,
        };
        self.scheduler.release(self.now, &release);
    }

    fn queue(&mut self, number: u64, adapter: &str, priority: u8) -> Result<(), GrantAnswer> {
        let request = GrantRequest {
            priority,
            hold: HOLD,
            place_hold: HOLD,
            ..grant_request(number, adapter)
        };
        let caller = GrantCaller::Peer { call: number };
        self.scheduler.enqueue(self.now, request, caller)
    }

    /// Serves the queue; returns the granted calls and those that were declined.
    fn serve(&mut self) -> (Vec<u64>, Vec<(u64, DeclineReason)>) {
        let (mut granted, mut declined) = (Vec::new(), Vec::new());
        let config = engine_config(3);
        let answers = self
            .scheduler
            .serve_queue(self.now, &config, &mut self.limiter);
        for answer in answers {
            let GrantCaller::Peer { call } = answer.caller else {
                panic!("no request of the instance itself");
            };
            match answer.reply {
                GrantReply::Granted { .. } => granted.push(call),
                GrantReply::Declined { reason, .. } => declined.push((call, reason)),
            }
        }
        self.execute_orders();
        (granted, declined)
    }
}

/// Guards against an urgent request that waits behind less urgent ones, a request for a loaded adapter
/// that waits for a slot, and two slots for one adapter.
#[test]
fn an_urgent_request_gets_the_next_slot() {
    let mut server = BusyServer::new();
    for number in 10..210 {
        server
            .queue(number, &format!("b{}", number % 50), 5)
            .unwrap();
    }
    assert_eq!(server.serve(), (vec![], vec![]));
    server.queue(300, "b7", 1).unwrap();
    server.queue(301, "a2", 9).unwrap();
    assert_eq!(server.serve(), (vec![301], vec![]));
    server.release(1, None, true);
    // Those that wait for the same adapter share its slot.
    assert_eq!(server.serve(), (vec![300, 57, 107, 157, 207], vec![]));
    assert!(!server.engine.holds("a1"));
    let counts = server
        .scheduler
        .take_overtakes(server.now, Duration::from_secs(1))
        .unwrap();
    assert_eq!((counts.grants, counts.overtaken), (6, 883));
    server.now = server.now.after(HOLD);
    let (granted, declined) = server.serve();
    assert_eq!((granted.len(), declined.len()), (0, 196));
    assert!(
        declined
            .iter()
            .all(|(_, reason)| *reason == DeclineReason::NoPlace)
    );
    assert!(server.engine.overfilled.is_none());
}

/// Guards against requests whose callers have left taking a slot, and a queue that grows without
/// bounds.
#[test]
fn a_request_that_is_released_leaves_the_queue() {
    let mut server = BusyServer::new();
    for number in 0..MAX_WAITING as u64 {
        server.queue(1_000 + number, "b1", 1).unwrap();
    }
    let refused = server.queue(2_000, "b1", 0).unwrap_err();
    assert!(matches!(refused.reply, GrantReply::Declined { .. }));
    for number in 0..MAX_WAITING as u64 {
        let answer = server
            .scheduler
            .cancel_queued(server.now, &grant_key(1_000 + number));
        assert!(answer.is_some());
    }
    server.queue(3_000, "b2", 1).unwrap();
    server.release(1, None, true);
    assert_eq!(server.serve(), (vec![3_000], vec![]));
}

/// How the scheduler of a full queue fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SchedulerFailure {
    None,
    Killed,
    Frozen,
    Leaving,
    ServerRemoved,
    CallersLeave,
}

/// Sends more requests than a server has slots for, and lets its scheduler fail. Returns the number of
/// requests that were served and refused.
fn run_failure(seed: u64, failure: SchedulerFailure) -> (usize, usize) {
    let objective = Duration::from_secs(1);
    let mut world = GatewayWorld::new(seed, 4, 2);
    let mut config = config(2, Some(team(0.0, 0.0)));
    // Requests that found no server are refused after a quarter of this.
    config.routes[0].timeout = objective.mul_f64(3.2);
    let item = PublishedItem::Config(Arc::new(config));
    world.publish("op/config", Some(item));
    world.run(Duration::from_secs(9));
    let mut sent = BTreeMap::new();
    for round in 0..40 {
        for index in 0..4 {
            for part in 0..4 {
                let adapter = format!("ad-{}", (round * 7 + index * 3 + part * 5) % 60);
                let number = world.request(index, &adapter, 400);
                sent.insert(number, (index, world.now));
            }
        }
        world.run(Duration::from_millis(10));
    }
    let queued = |world: &GatewayWorld, index: usize| -> usize {
        world.reducer(index).queued_grants().iter().sum()
    };
    let owner = (0..4).max_by_key(|index| queued(&world, *index)).unwrap();
    let longest = queued(&world, owner);
    assert!(longest >= 10, "seed {seed}: {longest} queued");
    let mut left = Vec::new();
    match failure {
        SchedulerFailure::None => {}
        SchedulerFailure::Killed => world.kill(owner),
        SchedulerFailure::Frozen => world.pause(owner, Duration::from_secs(4)),
        SchedulerFailure::Leaving => world.shut_down(owner),
        SchedulerFailure::ServerRemoved => world.publish("servers/s-0", None),
        SchedulerFailure::CallersLeave => {
            let ended: BTreeSet<u64> = world
                .outcomes
                .iter()
                .map(|(_, number, _)| *number)
                .collect();
            for (number, (index, _)) in sent.iter().filter(|(number, _)| !ended.contains(number)) {
                world.disconnect(*index, *number);
                left.push(*number);
            }
        }
    }
    world.run(Duration::from_millis(20));
    if failure == SchedulerFailure::CallersLeave {
        let queued: usize = (0..4).map(|index| queued(&world, index)).sum();
        assert_eq!(queued, 0, "seed {seed}: requests of callers that left");
    }
    world.run(Duration::from_secs(4));
    let mut ends = BTreeMap::<u64, (ClockTime, RequestEnd)>::new();
    for (time, number, end) in &world.outcomes {
        // The harness records a request as served when it is sent. An instance that is paused then
        // wakes after the deadline and ends the request, whose response it has not read.
        let is_past_deadline = failure == SchedulerFailure::Frozen
            && sent.get(number).is_some_and(|(index, _)| *index == owner)
            && *end == RequestEnd::Refused(ErrorKind::DeadlineExceeded);
        let known = ends.insert(*number, (*time, *end));
        assert!(
            known.is_none() || is_past_deadline,
            "seed {seed}: {number} ended twice"
        );
    }
    let is_lost = matches!(failure, SchedulerFailure::Killed | SchedulerFailure::Frozen);
    for (number, (index, arrived)) in &sent {
        if is_lost && *index == owner {
            continue;
        }
        if left.contains(number) {
            assert!(!ends.contains_key(number), "seed {seed}: {number} ran");
            continue;
        }
        let (time, _) = ends[number];
        // A grant that came in time may include the time of a load.
        let (waited, bound) = match world.first_waits.get(number) {
            Some(waited) => (*waited, objective + LOAD_TIME),
            None => (time.since(*arrived), objective),
        };
        assert!(
            waited <= bound,
            "seed {seed}, {failure:?}: {number} waited {waited:?}"
        );
    }
    let served = ends.values().filter(|(_, end)| *end == RequestEnd::Served);
    let served = served.count();
    (served, ends.len() - served)
}

/// Guards against requests that run twice, are forgotten or wait for a scheduler that is gone.
#[test]
fn queued_requests_survive_their_scheduler() {
    let failures = [
        SchedulerFailure::None,
        SchedulerFailure::Killed,
        SchedulerFailure::Frozen,
        SchedulerFailure::Leaving,
        SchedulerFailure::ServerRemoved,
        SchedulerFailure::CallersLeave,
    ];
    for failure in failures {
        for seed in 0..8 {
            let (served, _) = run_failure(seed, failure);
            assert!(served > 0, "seed {seed}, {failure:?}");
        }
    }
}
