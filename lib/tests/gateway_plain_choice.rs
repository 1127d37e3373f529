//! Load of servers without model engines, while many instances choose at the same time from responses
//! of some age.

mod gateway;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    fmt::Write,
    time::Duration,
};

use gateway::instance::{InstanceHarness, dispatched};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        event::{AttemptEnd, AttemptStats, GatewayEvent},
        plain_choice::{PlainCandidate, PlainLoad, ServiceLoad, choose_candidate},
        servers::ServerLoad,
    },
};

const SLOTS: u32 = 6;
/// Mean service time of a server of speed 1.
const SERVICE_MS: f64 = 100.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Selector {
    /// The selection before `plain_choice`.
    Previous,
    Current,
    /// One selector that knows all servers' queues.
    Complete,
}

#[derive(Clone, Copy)]
struct Scenario {
    instances: usize,
    servers: usize,
    /// Offered load as a share of the capacity.
    utilization: f64,
    /// Whether a quarter of the servers has speed 0.55 and the others 1.2.
    uneven: bool,
    /// Whether the offered load alternates between 1.4 and 0.6 of its mean every 500 ms.
    bursts: bool,
    requests: usize,
    /// Whether an instance reads the load of a server again only after 50 ms to 1 s.
    aged: bool,
    /// Number of data centres, over which instances and servers are spread.
    data_centres: usize,
    /// Changes what a server reports, by its number.
    report: fn(usize, ServerLoad) -> Option<ServerLoad>,
    /// Change of the fleet after half of the requests.
    change: fn(&mut Fleet),
}

struct View {
    loads: Vec<PlainLoad>,
    in_flight: Vec<u32>,
    /// Per server, the time of the newest load that was read and the requests of others in it.
    read: Vec<(u64, f64)>,
    service: ServiceLoad,
}

#[derive(Clone, Default)]
struct Server {
    speed: f64,
    pace: f64,
    is_listed: bool,
    running: u32,
    queue: VecDeque<(u64, usize)>,
}

impl Server {
    fn finish(&self, more: f64) -> f64 {
        (f64::from(self.running) + self.queue.len() as f64 + more) * self.pace / self.speed
    }
}

struct Fleet {
    scenario: Scenario,
    views: Vec<View>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    now: u64,
    random: ChaCha8Rng,
    waits: Vec<f64>,
    remote: f64,
    imbalance: f64,
    idle: f64,
    samples: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End {
        server: usize,
        instance: usize,
        sent: u64,
    },
    Sample,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let server = |number| Server {
            speed: match (scenario.uneven, number % 4) {
                (false, _) => 1.0,
                (true, 0) => 0.55,
                (true, _) => 1.2,
            },
            pace: 1.0,
            is_listed: true,
            ..Server::default()
        };
        let mut fleet = Fleet {
            scenario,
            views: Vec::new(),
            servers: (0..scenario.servers).map(server).collect(),
            events: BinaryHeap::new(),
            number: 0,
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            waits: Vec::new(),
            remote: 0.0,
            imbalance: 0.0,
            idle: 0.0,
            samples: 0.0,
        };
        fleet.views = (0..scenario.instances)
            .map(|_| fleet.empty_view())
            .collect();
        for view in &mut fleet.views {
            for _ in 0..24 {
                for (server, load) in fleet.servers.iter().zip(&mut view.loads) {
                    let time = Duration::from_secs_f64(
                        fleet.random.random_range(0.5..1.5) * SERVICE_MS / 1000.0 / server.speed,
                    );
                    load.record_response(
                        ClockTime::from_millis(1),
                        time,
                        None,
                        SLOTS,
                        &mut view.service,
                    );
                }
            }
        }
        fleet.push(0, Event::Arrival);
        fleet.push(0, Event::Sample);
        fleet
    }

    fn empty_view(&self) -> View {
        View {
            loads: vec![PlainLoad::default(); self.servers.len()],
            in_flight: vec![0; self.servers.len()],
            read: vec![(0, 0.0); self.servers.len()],
            service: ServiceLoad::default(),
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    fn time(&self) -> ClockTime {
        ClockTime::from_micros(1_000_000 + self.now)
    }

    fn select(&mut self, selector: Selector, instance: usize) -> usize {
        let now = self.time();
        let view = &self.views[instance];
        let listed = (0..self.servers.len()).filter(|server| self.servers[*server].is_listed);
        let data_centres = self.scenario.data_centres;
        let is_local = |server| server % data_centres == instance % data_centres;
        match selector {
            Selector::Complete => listed
                .min_by(|one, other| {
                    let finish = |server: &usize| self.servers[*server].finish(1.0);
                    finish(one).total_cmp(&finish(other))
                })
                .unwrap(),
            Selector::Previous => {
                let mut best = (f64::MAX, 0);
                for server in listed {
                    let (time, others) = view.read[server];
                    let age = (self.now - time) as f64 / 400_000.0;
                    let load = f64::from(view.in_flight[server]) + others * 0.5_f64.powf(age);
                    let remote = if is_local(server) { 0.0 } else { 0.15 };
                    let jitter = self.random.random_range(0.0..0.05);
                    let cost = load / f64::from(SLOTS) + remote + jitter;
                    if cost < best.0 {
                        best = (cost, server);
                    }
                }
                best.1
            }
            Selector::Current => {
                let listed: Vec<usize> = listed.collect();
                let candidates: Vec<PlainCandidate<'_>> = listed
                    .iter()
                    .map(|server| PlainCandidate {
                        load: &view.loads[*server],
                        slots: SLOTS,
                        in_flight: view.in_flight[*server],
                        is_local: is_local(*server),
                        failure_share: 0.0,
                    })
                    .collect();
                let position = choose_candidate(
                    now,
                    &candidates,
                    &view.service,
                    self.views.len(),
                    &mut self.random,
                );
                listed[position.unwrap()]
            }
        }
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running < SLOTS
            && let Some((sent, instance)) = self.servers[server].queue.pop_front()
        {
            self.waits.push((self.now - sent) as f64 / 1_000.0);
            let state = &mut self.servers[server];
            state.running += 1;
            let mean = SERVICE_MS * state.pace / state.speed;
            let time = (self.random.random_range(0.5..1.5) * mean * 1_000.0) as u64;
            self.push(
                self.now + time,
                Event::End {
                    server,
                    instance,
                    sent,
                },
            );
        }
    }

    fn end(&mut self, server: usize, instance: usize, sent: u64) {
        self.servers[server].running -= 1;
        self.start(server);
        let state = &self.servers[server];
        let load = ServerLoad {
            running: state.running,
            waiting: state.queue.len() as u32,
            slots: Some(SLOTS),
            pace: Some((state.pace * 100.0) as u32),
        };
        let load = (self.scenario.report)(server, load);
        let now = self.time();
        let view = &mut self.views[instance];
        let time = Duration::from_micros(self.now - sent);
        view.in_flight[server] = view.in_flight[server].saturating_sub(1);
        view.loads[server].record_response(now, time, load, SLOTS, &mut view.service);
        let age = 50_000 + instance as u64 * 950_000 / self.scenario.instances as u64;
        let last = view.read[server].0;
        if let Some(load) = load
            && (!self.scenario.aged || last == 0 || self.now >= last + age)
        {
            let in_flight = view.in_flight[server];
            let total = f64::from(load.running) + f64::from(load.waiting);
            view.read[server] = (self.now, (total - f64::from(in_flight)).max(0.0));
            view.loads[server].record_load(now, load, in_flight, SLOTS, &mut view.service);
        }
    }

    fn sample(&mut self) {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        let finishes: Vec<f64> = listed.clone().map(|server| server.finish(0.0)).collect();
        let mean = finishes.iter().sum::<f64>() / finishes.len() as f64;
        if mean > 0.0 {
            self.imbalance += finishes.iter().fold(0.0_f64, |one, other| one.max(*other)) / mean;
            self.samples += 1.0;
        }
        let free: u32 = listed
            .clone()
            .map(|server| SLOTS - server.running.min(SLOTS))
            .sum();
        let waiting: usize = listed.map(|server| server.queue.len()).sum();
        let slots = f64::from(SLOTS) * finishes.len() as f64;
        self.idle += f64::from(free).min(waiting as f64) / slots;
    }

    fn run(mut self, selector: Selector) -> Outcome {
        let scenario = self.scenario;
        let speed: f64 = self.servers.iter().map(|server| server.speed).sum();
        let per_ms = scenario.utilization * speed * f64::from(SLOTS) / SERVICE_MS;
        let mut sent = 0;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrival => {
                    let is_high = time / 500_000 % 2 == 0;
                    let factor = match (scenario.bursts, is_high) {
                        (false, _) => 1.0,
                        (true, true) => 1.4,
                        (true, false) => 0.6,
                    };
                    let pause = -self.random.random_range(f64::EPSILON..1.0_f64).ln();
                    let pause = (pause / per_ms / factor * 1_000.0) as u64;
                    sent += 1;
                    if sent < scenario.requests {
                        self.push(time + pause, Event::Arrival);
                    }
                    if sent == scenario.requests / 2 {
                        (scenario.change)(&mut self);
                        self.waits.clear();
                        self.remote = 0.0;
                        (self.imbalance, self.idle, self.samples) = (0.0, 0.0, 0.0);
                    }
                    let instance = self.random.random_range(0..scenario.instances);
                    let server = self.select(selector, instance);
                    self.views[instance].in_flight[server] += 1;
                    let data_centres = scenario.data_centres;
                    if server % data_centres != instance % data_centres {
                        self.remote += 1.0;
                    }
                    self.servers[server].queue.push_back((time, instance));
                    self.start(server);
                }
                Event::End {
                    server,
                    instance,
                    sent,
                } => self.end(server, instance, sent),
                Event::Sample if sent < scenario.requests => {
                    self.sample();
                    self.push(time + 20_000, Event::Sample);
                }
                Event::Sample => {}
            }
        }
        self.waits.sort_unstable_by(f64::total_cmp);
        Outcome {
            imbalance: self.imbalance / self.samples,
            idle: self.idle / self.samples,
            wait: self.waits[self.waits.len() * 99 / 100],
            remote: self.remote / self.waits.len() as f64,
        }
    }
}

#[derive(Clone, Copy)]
struct Outcome {
    /// Largest expected finish time of a server relative to the mean, averaged over time.
    imbalance: f64,
    /// Share of the slots that are free while requests wait elsewhere, averaged over time.
    idle: f64,
    /// 99th percentile of the waits for a slot, in milliseconds.
    wait: f64,
    /// Share of the requests that went to another data centre.
    remote: f64,
}

const STEADY: Scenario = Scenario {
    instances: 68,
    servers: 4,
    utilization: 0.8,
    uneven: false,
    bursts: false,
    requests: 16_000,
    aged: false,
    data_centres: 1,
    report: |_, load| Some(load),
    change: |_| {},
};

/// Runs the scenario with the previous, the current and the complete selection.
fn compare(scenario: Scenario) -> [Outcome; 3] {
    [Selector::Previous, Selector::Current, Selector::Complete]
        .map(|selector| Fleet::new(scenario, 1).run(selector))
}

/// Whether the current selection does as well as the previous one in each respect, with some room for
/// other versions of the mathematical functions, and its waits stay near those of complete
/// information.
fn is_within_bounds([previous, current, complete]: [Outcome; 3]) -> bool {
    current.wait <= previous.wait * 1.02
        && current.wait <= complete.wait + 1.6 * SERVICE_MS
        && current.imbalance <= previous.imbalance * 1.02
        && current.idle <= previous.idle + 0.002
}

/// Checks fleets of all sizes, with fresh reports and steady load and with old reports and bursts.
fn check_fleets(uneven: bool) {
    let mut table = String::new();
    let mut violations = 0;
    for varying in [false, true] {
        for instances in [6, 68, 340] {
            for servers in [4, 140, 1_200] {
                let outcomes = compare(Scenario {
                    instances,
                    servers,
                    uneven,
                    bursts: varying,
                    aged: varying,
                    requests: if servers < 1_000 { 60_000 } else { 40_000 },
                    ..STEADY
                });
                let is_kept = is_within_bounds(outcomes);
                violations += usize::from(!is_kept);
                write!(
                    table,
                    "{instances}x{servers} varying={varying} kept={is_kept}"
                )
                .unwrap();
                for outcome in outcomes {
                    let Outcome {
                        imbalance,
                        idle,
                        wait,
                        ..
                    } = outcome;
                    write!(table, " {imbalance:.2}/{idle:.3}/{wait:.0}").unwrap();
                }
                table.push('\n');
            }
        }
    }
    println!("{table}");
    assert_eq!(violations, 0, "{table}");
}

/// Instances that chose from the same reports sent to the same servers.
#[test]
fn servers_of_equal_speed_get_equal_loads() {
    check_fleets(false);
}

/// Slow servers got as many requests as fast ones, of all instances without a recent report.
#[test]
fn slow_servers_get_fewer_requests() {
    check_fleets(true);
}

/// Even loads must not be bought with billed traffic between data centres.
#[test]
fn requests_stay_in_their_data_centre_as_before() {
    for (instances, servers) in [(6, 6), (68, 4), (68, 140)] {
        let scenario = Scenario {
            instances,
            servers,
            data_centres: 3,
            ..STEADY
        };
        let outcomes = compare(scenario);
        let [previous, current, _] = outcomes.map(|outcome| (outcome.wait, outcome.remote));
        println!("{instances}x{servers}: {previous:.3?} {current:.3?}");
        assert!(current.1 <= previous.1 + 0.02, "{previous:?} {current:?}");
        assert!(current.0 <= previous.0 * 1.1, "{previous:?} {current:?}");
    }
}

/// Checks that the 99th percentile of waits is at most `most` milliseconds.
#[track_caller]
fn check_fault(most: f64, fault: Scenario) {
    let waits = compare(fault).map(|outcome| outcome.wait);
    println!("{waits:.0?}");
    assert!(waits[1] <= most, "{waits:?}");
}

const UNEVEN: Scenario = Scenario {
    uneven: true,
    ..STEADY
};

/// Servers that report nothing must get their share by their service times alone.
#[test]
fn servers_without_reports_are_used_by_service_time() {
    check_fault(
        150.0,
        Scenario {
            report: |_, _| None,
            ..UNEVEN
        },
    );
    check_fault(
        115.0,
        Scenario {
            report: |server, load| (server > 1).then_some(load),
            ..UNEVEN
        },
    );
    check_fault(
        115.0,
        Scenario {
            report: |_, load| Some(ServerLoad { pace: None, ..load }),
            ..UNEVEN
        },
    );
}

/// A figure out of range must neither exclude a server for good nor draw all requests to it.
#[test]
fn figures_out_of_range_are_bounded() {
    let report = |server, load| match server {
        0 => Some(ServerLoad {
            running: u32::MAX,
            waiting: u32::MAX,
            ..load
        }),
        1 => Some(ServerLoad {
            pace: Some(0),
            ..load
        }),
        2 => Some(ServerLoad {
            pace: Some(u32::MAX),
            ..load
        }),
        _ => Some(load),
    };
    check_fault(
        62.0,
        Scenario {
            utilization: 0.5,
            report,
            ..UNEVEN
        },
    );
}

/// A server that always reports the same must not be flooded while others are free.
#[test]
fn stuck_and_incorrect_figures_do_not_flood_a_server() {
    let stuck = |server, load| match server {
        1 => Some(ServerLoad {
            running: 0,
            waiting: 0,
            pace: Some(25),
            ..load
        }),
        _ => Some(load),
    };
    let incorrect = |server, load| match server {
        1 => Some(ServerLoad {
            pace: Some(800),
            ..load
        }),
        2 => Some(ServerLoad {
            pace: Some(50),
            ..load
        }),
        _ => Some(load),
    };
    check_fault(
        80.0,
        Scenario {
            utilization: 0.6,
            report: stuck,
            ..UNEVEN
        },
    );
    check_fault(
        80.0,
        Scenario {
            utilization: 0.6,
            report: incorrect,
            ..UNEVEN
        },
    );
}

/// When half of the servers became slow at once, the others idled while requests queued there.
#[test]
fn servers_that_become_slow_get_fewer_requests() {
    let change = |fleet: &mut Fleet| {
        for server in fleet.servers.iter_mut().step_by(2) {
            server.pace = 2.5;
        }
    };
    let slow = Scenario {
        utilization: 0.5,
        change,
        ..STEADY
    };
    check_fault(290.0, slow);
    check_fault(
        390.0,
        Scenario {
            report: |_, load| Some(ServerLoad { pace: None, ..load }),
            ..slow
        },
    );
}

/// Instances without information must not all start with the same server.
#[test]
fn instances_and_servers_that_join_and_leave_keep_waits_bounded() {
    let instances_join = |fleet: &mut Fleet| {
        for instance in (0..fleet.views.len()).step_by(2) {
            fleet.views[instance] = fleet.empty_view();
        }
    };
    check_fault(
        125.0,
        Scenario {
            change: instances_join,
            ..STEADY
        },
    );
    let servers_change = |fleet: &mut Fleet| {
        for server in 0..3 {
            fleet.servers[server].is_listed = false;
            for view in &mut fleet.views {
                view.loads[server] = PlainLoad::default();
            }
        }
        fleet.servers[0].is_listed = true;
    };
    check_fault(
        110.0,
        Scenario {
            servers: 6,
            utilization: 0.5,
            change: servers_change,
            ..STEADY
        },
    );
}

/// An instance that reaches no other one must still follow what servers report.
#[test]
fn an_instance_without_peers_follows_reports() {
    let mut harness = InstanceHarness::new(3);
    let mut busy_count = 0;
    for _ in 0..300 {
        let effects = harness.request("/once/x");
        let busy = dispatched(&effects).expect("a server").id == "s-1";
        busy_count += usize::from(busy);
        let load = ServerLoad {
            running: if busy { 6 } else { 0 },
            waiting: if busy { 30 } else { 0 },
            slots: None,
            pace: None,
        };
        harness.now = harness.now.after(Duration::from_millis(20));
        harness.handle(GatewayEvent::AttemptEnded {
            request: harness.number,
            end: AttemptEnd::Completed { success: true },
            stats: AttemptStats {
                load: Some(load),
                ..AttemptStats::default()
            },
        });
    }
    // An even share is 100.
    assert!(busy_count <= 30, "{busy_count}");
}
