//! Requests that crash the servers that run them.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use gateway::world::{GatewayWorld, RequestEnd};
use rand::Rng;
use wasabistall_lib::{clock::ClockTime, gateway::prompt::PromptPart};

/// Part of prompts on which servers crash.
const DEADLY_PART: u64 = 666;
/// Part with more tokens than others.
const LONG_PART: u64 = 1;
/// Crashes after which requests with the part may no longer reach servers, given some time.
const BUDGETED_CRASHES: usize = 5;
/// Requests with the part that may reach servers later than that.
const LATE_ARRIVALS: usize = 3;
const STEP: Duration = Duration::from_millis(20);

/// A fleet that receives sound requests, and some with a part that crashes servers.
struct TaintedFleet {
    world: GatewayWorld,
    instances: usize,
    sound_per_s: f64,
    deadly_per_s: f64,
    /// Sound requests with the times at which they were sent.
    sound: BTreeMap<u64, ClockTime>,
}

impl TaintedFleet {
    fn new(seed: u64, instances: usize, engines: usize, sound_per_s: f64) -> TaintedFleet {
        let mut world = GatewayWorld::new(seed, instances, engines);
        world.crash_table.deadly_part = Some(DEADLY_PART);
        world.run(Duration::from_secs(8));
        TaintedFleet {
            world,
            instances,
            sound_per_s,
            deadly_per_s: sound_per_s / 20.0,
            sound: BTreeMap::new(),
        }
    }

    fn send(&mut self, is_deadly: bool) {
        let subject = self.world.random().random_range(1_000..1_034);
        // Sound requests share all other parts with those that crash servers.
        let mut shared = vec![LONG_PART, subject];
        if is_deadly {
            shared.push(DEADLY_PART);
        }
        let number = self.send_parts(&shared, 12);
        if !is_deadly {
            self.sound.insert(number, self.world.now);
        }
    }

    /// Sends a request with these shared parts for one of `adapters` adapters to an instance that runs.
    fn send_parts(&mut self, shared: &[u64], adapters: usize) -> u64 {
        let mut index = self.world.random().random_range(0..self.instances);
        while !self.world.is_up(index) {
            index = self.world.random().random_range(0..self.instances);
        }
        let adapter = format!("a{}", self.world.random().random_range(0..adapters));
        let own = self.world.random().random_range(1 << 32..1 << 40);
        let ids = shared.iter().copied().chain([own]);
        let parts = ids.map(|id| PromptPart {
            id,
            tokens: if id == LONG_PART { 300 } else { 100 },
        });
        self.world.prompt_parts = parts.collect();
        self.world.request(index, &adapter, 600)
    }

    /// Sends requests with these shared parts at a steady rate. Returns their numbers and times.
    fn run_parts(
        &mut self,
        time: Duration,
        flows: &[(f64, &[u64])],
    ) -> Vec<BTreeMap<u64, ClockTime>> {
        let start = self.world.now;
        let mut sent = vec![BTreeMap::new(); flows.len()];
        while self.world.now < start.after(time) {
            for (sent, (per_s, shared)) in sent.iter_mut().zip(flows) {
                let due = self.world.now.since(start).as_secs_f64() * per_s;
                while (sent.len() as f64) < due {
                    let number = self.send_parts(shared, 4);
                    sent.insert(number, self.world.now);
                }
            }
            self.world.run(STEP);
        }
        sent
    }

    /// Number of these requests that were served.
    fn served_count(&self, sent: &BTreeMap<u64, ClockTime>) -> usize {
        let outcomes = self.world.outcomes.iter();
        outcomes
            .filter(|(_, number, end)| *end == RequestEnd::Served && sent.contains_key(number))
            .count()
    }

    fn run(&mut self, time: Duration, with_deadly: bool) {
        let end = self.world.now.after(time);
        while self.world.now < end {
            let step = STEP.as_secs_f64();
            let sound = self.sound_per_s * step;
            let deadly = if with_deadly {
                self.deadly_per_s * step
            } else {
                0.0
            };
            for (rate, is_deadly) in [(sound, false), (deadly, true)] {
                let draw = self.world.random().random_range(0.0..1.0);
                let count = rate.floor() + f64::from(draw < rate.fract());
                for _ in 0..count as usize {
                    self.send(is_deadly);
                }
            }
            self.world.run(STEP);
        }
    }

    /// Share of the sound requests sent in a span that were served.
    fn served_share(&self, from: ClockTime, to: ClockTime) -> f64 {
        let sent: Vec<u64> = self
            .sound
            .iter()
            .filter(|(_, time)| (from..to).contains(time))
            .map(|(number, _)| *number)
            .collect();
        let served = self
            .world
            .outcomes
            .iter()
            .filter(|(_, number, end)| *end == RequestEnd::Served && sent.contains(number))
            .count();
        served as f64 / sent.len() as f64
    }
}

/// What a fleet did under requests with a part that crashes servers.
#[derive(Debug)]
struct TaintedOutcome {
    crashes: usize,
    late_arrivals: usize,
    served_before: f64,
    served_after: f64,
}

/// Plays 25 s of such requests. `contact_time` is the time within which instances learn of each
/// other's state.
fn play(
    seed: u64,
    instances: usize,
    engines: usize,
    sound_per_s: f64,
    contact_time: Duration,
) -> TaintedOutcome {
    let mut fleet = TaintedFleet::new(seed, instances, engines, sound_per_s);
    // The first seconds load the adapters.
    fleet.run(Duration::from_secs(4), false);
    let measured_from = fleet.world.now;
    fleet.run(Duration::from_secs(6), false);
    let tainted_from = fleet.world.now;
    fleet.run(Duration::from_secs(25), true);
    let tainted_to = fleet.world.now;
    fleet.world.run(Duration::from_secs(6));
    let table = &fleet.world.crash_table;
    // With fewer crashes there is no late arrival, and the last one counts.
    let fifth = table.crashes.get(BUDGETED_CRASHES - 1);
    let last = table.crashes.last().copied().unwrap_or(tainted_from);
    let settled = fifth.copied().unwrap_or(last).after(contact_time * 2);
    TaintedOutcome {
        crashes: table.crashes.len(),
        late_arrivals: late_arrivals(&fleet, contact_time),
        served_before: fleet.served_share(measured_from, tainted_from),
        served_after: fleet.served_share(settled, tainted_to),
    }
}

fn check(outcome: &TaintedOutcome, seed: u64) {
    println!("seed {seed}: {outcome:?}");
    assert!(outcome.crashes > 0, "seed {seed}: {outcome:?}");
    assert!(
        outcome.late_arrivals <= LATE_ARRIVALS,
        "seed {seed}: {outcome:?}"
    );
    assert!(
        outcome.served_after >= outcome.served_before * 0.5,
        "seed {seed}: {outcome:?}"
    );
}

/// Regression test: requests that differ, but share a part on which servers crash, crashed one server
/// after the other.
#[test]
fn a_part_that_crashes_servers_is_refused() {
    for seed in 0..10 {
        let outcome = play(seed, 7, 12, 36.0, Duration::from_millis(3_000));
        check(&outcome, seed);
    }
}

/// The same in a fleet where each instance sees only a few of the crashes.
#[test]
fn a_large_fleet_refuses_a_part_that_crashes_servers() {
    for seed in 0..2 {
        let outcome = play(seed, 80, 60, 120.0, Duration::from_millis(4_000));
        check(&outcome, seed);
    }
}

/// Number of requests with the part that reached servers later than `contact_time` after the fifth
/// crash.
fn late_arrivals(fleet: &TaintedFleet, contact_time: Duration) -> usize {
    let table = &fleet.world.crash_table;
    let Some(fifth) = table.crashes.get(BUDGETED_CRASHES - 1) else {
        return 0;
    };
    let late = fifth.after(contact_time);
    let arrivals = table.deadly_arrivals.iter();
    arrivals.filter(|time| **time > late).count()
}

/// Fails if no server has crashed, or too many requests with the part reached servers too late.
fn check_budget(fleet: &TaintedFleet, seed: u64) {
    let late = late_arrivals(fleet, Duration::from_millis(3_000));
    let crashes = fleet.world.crash_table.crashes.len();
    println!("seed {seed}: {crashes} crashes, {late} late");
    assert!(crashes > 0 && late <= LATE_ARRIVALS, "seed {seed}: {late}");
}

/// Regression test: a sound part that nobody had asked for in the ten seconds before the crashes was
/// refused with the one that crashed servers, and no answer could clear it.
#[test]
fn a_sound_part_is_served_again_after_crashes_that_it_shared() {
    const FIRST: u64 = 7;
    for seed in 0..10 {
        let mut fleet = TaintedFleet::new(seed, 2, 4, 0.0);
        let other: (f64, &[u64]) = (5.0, &[8, 1_000]);
        let deadly: (f64, &[u64]) = (0.4, &[FIRST, DEADLY_PART]);
        let sound: (f64, &[u64]) = (4.0, &[FIRST, 1_001]);
        // The first seconds load the adapters.
        fleet.run_parts(Duration::from_secs(20), &[other]);
        let before = fleet.run_parts(Duration::from_secs(8), &[other, sound]);
        fleet.run_parts(Duration::from_secs(12), &[other]);
        fleet.run_parts(Duration::from_secs(12), &[other, deadly]);
        let crashes = fleet.world.crash_table.crashes.len();
        fleet.run_parts(Duration::from_secs(6), &[other, deadly, sound]);
        let after = fleet.run_parts(Duration::from_secs(40), &[other, deadly, sound]);
        fleet.world.run(Duration::from_secs(6));
        let share =
            |sent: &BTreeMap<u64, ClockTime>| fleet.served_count(sent) as f64 / sent.len() as f64;
        let (served_before, served_after) = (share(&before[1]), share(&after[2]));
        let total = fleet.world.crash_table.crashes.len();
        println!("seed {seed}: {crashes} then {total} crashes, {served_before} {served_after}");
        assert!(crashes >= 3 && total == crashes, "seed {seed}: {total}");
        assert!(served_after >= served_before * 0.5, "seed {seed}");
    }
}

/// Trials of a part that does crash servers are few, however many instances could try it.
#[test]
fn trials_of_a_part_that_crashes_servers_are_few() {
    const SOUND: u64 = 9;
    for seed in 0..4 {
        let mut fleet = TaintedFleet::new(seed, 80, 24, 0.0);
        let other: (f64, &[u64]) = (20.0, &[8, 1_000]);
        fleet.run_parts(Duration::from_secs(8), &[other]);
        // The parts come together, and then each without the other.
        let together: (f64, &[u64]) = (1.0, &[DEADLY_PART, SOUND]);
        fleet.run_parts(Duration::from_secs(10), &[other, together]);
        let crashes = fleet.world.crash_table.crashes.len();
        let deadly: (f64, &[u64]) = (10.0, &[DEADLY_PART]);
        let sound: (f64, &[u64]) = (10.0, &[SOUND]);
        fleet.run_parts(Duration::from_secs(20), &[other, deadly, sound]);
        let late = fleet.run_parts(Duration::from_secs(10), &[other, deadly, sound]);
        fleet.world.run(Duration::from_secs(6));
        let total = fleet.world.crash_table.crashes.len();
        let share = fleet.served_count(&late[2]) as f64 / late[2].len() as f64;
        println!("seed {seed}: {crashes} then {total} crashes, sound ones served {share}");
        assert!(total <= crashes + 4, "seed {seed}: {crashes} then {total}");
        assert!(share > 0.5, "seed {seed}: {share}");
    }
}

/// Regression test: the contents of the requests that ran on a busy server took all places of the list
/// that instances share, and the part was never refused.
#[test]
fn a_part_is_refused_while_servers_are_busy() {
    for seed in 0..10 {
        let mut fleet = TaintedFleet::new(seed, 2, 4, 40.0);
        fleet.deadly_per_s = 0.4;
        fleet.world.crash_table.response_time = Some(Duration::from_millis(3_400));
        fleet.run(Duration::from_secs(10), false);
        fleet.run(Duration::from_secs(60), true);
        check_budget(&fleet, seed);
    }
}

/// Regression test: each restart of an instance took away the crashes that it had met, and the part
/// crashed servers again.
#[test]
fn restarts_of_instances_do_not_undo_the_refusal_of_a_part() {
    for seed in 0..10 {
        let mut fleet = TaintedFleet::new(seed, 3, 8, 24.0);
        fleet.run(Duration::from_secs(4), false);
        fleet.run(Duration::from_secs(12), true);
        for round in 0..9 {
            let index = round % 3;
            if round % 2 == 0 {
                fleet.world.kill(index);
            } else {
                fleet.world.shut_down(index);
                fleet.run(Duration::from_secs(2), true);
                fleet.world.kill(index);
            }
            fleet.run(Duration::from_millis(500), true);
            fleet.world.start(index);
            fleet.run(Duration::from_secs(2), true);
        }
        check_budget(&fleet, seed);
    }
}

/// Crashes that one side of a partition has met outlive all instances of that side.
#[test]
fn crashes_outlive_the_side_of_a_partition_that_met_them() {
    let deadly: (f64, &[u64]) = (1.0, &[LONG_PART, DEADLY_PART]);
    let sound: (f64, &[u64]) = (10.0, &[LONG_PART, 1_000]);
    for seed in 0..10 {
        let mut fleet = TaintedFleet::new(seed, 5, 8, 0.0);
        fleet.run_parts(Duration::from_secs(20), &[sound]);
        for index in [3, 4] {
            fleet.world.nodes[index].is_partitioned = true;
        }
        // The other side sees none of the requests.
        fleet.instances = 3;
        fleet.run_parts(Duration::from_secs(10), &[sound, deadly]);
        let crashes = fleet.world.crash_table.crashes.len();
        for index in 0..3 {
            fleet.world.kill(index);
            fleet.world.start(index);
            fleet.run_parts(Duration::from_secs(2), &[sound]);
        }
        for index in [3, 4] {
            fleet.world.nodes[index].is_partitioned = false;
        }
        fleet.world.run(Duration::from_secs(2));
        for index in 0..3 {
            fleet.world.kill(index);
        }
        for index in 0..3 {
            fleet.world.start(index);
        }
        fleet.world.run(Duration::from_secs(8));
        fleet.instances = 5;
        let sent = fleet.run_parts(Duration::from_secs(30), &[sound, deadly]);
        fleet.world.run(Duration::from_secs(6));
        let total = fleet.world.crash_table.crashes.len();
        let served = fleet.served_count(&sent[0]);
        println!("seed {seed}: {crashes} then {total} crashes, {served} served");
        assert!(crashes >= 3 && total == crashes, "seed {seed}: {total}");
        assert!(served * 2 > sent[0].len(), "seed {seed}: {served}");
    }
}

/// Regression test: crashes were forgotten after two minutes, and the part crashed servers again for as
/// long as requests with it came.
#[test]
fn a_part_stays_refused_while_requests_with_it_come() {
    for seed in 0..3 {
        let mut fleet = TaintedFleet::new(seed, 3, 6, 8.0);
        fleet.run(Duration::from_secs(4), false);
        fleet.run(Duration::from_secs(600), true);
        check_budget(&fleet, seed);
    }
}

/// Servers that crash for another reason do not get sound requests refused.
#[test]
fn crashes_without_a_common_part_refuse_nothing() {
    let mut refused = Vec::new();
    for seed in 0..10 {
        let mut fleet = TaintedFleet::new(seed, 7, 12, 36.0);
        fleet.run(Duration::from_secs(6), false);
        for _ in 0..15 {
            let engine = fleet.world.random().random_range(0..12);
            fleet.world.crash_engine(engine);
            fleet.run(Duration::from_secs(2), false);
        }
        let events = fleet.world.events.iter();
        let count = events
            .filter(|(_, _, event)| *event == "cause_refused")
            .count();
        refused.push((seed, count));
    }
    let expected: Vec<(u64, usize)> = (0..10).map(|seed| (seed, 0)).collect();
    assert_eq!(refused, expected, "(seed, causes refused by an instance)");
}
