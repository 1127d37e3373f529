//! The scheduler of a model server over a network that delays orders, reports and their answers.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use gateway::engine::{FakeEngine, LEASE, engine_config, grant_key, grant_request};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::ServerReport,
        server_scheduler::{
            GrantRelease, GrantReply, LoadLimiter, ServerOrder, ServerOrderOutcome, ServerScheduler,
        },
    },
};

const STEP: Duration = Duration::from_millis(20);
/// Time after which the driver gives up on an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const ADAPTER_SLOTS: usize = 7;
const ADAPTERS: u64 = 40;

/// The arrival of a message at the server or at its scheduler.
enum NetworkEvent {
    OrderArrived { order: ServerOrder, sent: ClockTime },
    OrderAnswered(ServerOrderOutcome),
    ReportRequested { sent: ClockTime },
    ReportAnswered(Option<ServerReport>),
}

/// A scheduler and its server, with the messages between them.
struct SlowLink {
    now: ClockTime,
    random: ChaCha8Rng,
    max_delay: Duration,
    engine: FakeEngine,
    scheduler: ServerScheduler,
    load_limiter: LoadLimiter,
    events: BTreeMap<(ClockTime, u64), NetworkEvent>,
    next_event: u64,
    /// Granted requests with their adapters and the times at which they are sent.
    running: BTreeMap<u64, (String, ClockTime)>,
}

impl SlowLink {
    fn new(seed: u64, max_delay: Duration) -> SlowLink {
        let now = ClockTime::from_millis(1_000);
        let engine = FakeEngine::new(ADAPTER_SLOTS);
        let config = engine_config(ADAPTER_SLOTS);
        let mut load_limiter = LoadLimiter::new(1.0);
        load_limiter.set_server_count(8);
        SlowLink {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            max_delay,
            scheduler: ServerScheduler::new(now, LEASE, &config, &engine.report().models),
            engine,
            load_limiter,
            events: BTreeMap::new(),
            next_event: 0,
            running: BTreeMap::new(),
        }
    }

    /// Time of arrival of a message that is sent now.
    fn arrival(&mut self) -> ClockTime {
        let max_millis = self.max_delay.as_millis() as u64;
        let delay = self.random.random_range(1..=max_millis);
        self.now.after(Duration::from_millis(delay))
    }

    fn push(&mut self, time: ClockTime, event: NetworkEvent) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn step(&mut self) {
        let end = self.now.after(STEP);
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = end;
        self.engine.advance(end);
        let load_millis = self.random.random_range(100..1_500);
        self.engine.load_time = Duration::from_millis(load_millis);
        self.scheduler.check_slots(end);
        if self.scheduler.begin_report_read(end) {
            let arrival = self.arrival();
            self.push(arrival, NetworkEvent::ReportRequested { sent: end });
        }
        self.send_order();
    }

    fn handle(&mut self, event: NetworkEvent) {
        let now = self.now;
        match event {
            NetworkEvent::OrderArrived { order, sent } => {
                let outcome = self.engine.order(now, &order);
                let answered = self.arrival();
                let timeout = sent.after(CALL_TIMEOUT);
                let event = if answered < timeout {
                    NetworkEvent::OrderAnswered(outcome)
                } else {
                    NetworkEvent::OrderAnswered(ServerOrderOutcome::Lost)
                };
                self.push(answered.min(timeout).max(now), event);
            }
            NetworkEvent::OrderAnswered(outcome) => {
                self.scheduler.order_ended(now, outcome);
                self.send_order();
            }
            NetworkEvent::ReportRequested { sent } => {
                let report = self.engine.lagging_report(now);
                let answered = self.arrival();
                let timeout = sent.after(CALL_TIMEOUT);
                let event = NetworkEvent::ReportAnswered((answered < timeout).then_some(report));
                self.push(answered.min(timeout).max(now), event);
            }
            NetworkEvent::ReportAnswered(report) => {
                self.scheduler.observe_report(now, report.as_ref());
            }
        }
    }

    fn send_order(&mut self) {
        let config = engine_config(ADAPTER_SLOTS);
        let unix_millis = 1_770_000_000_000 + self.now.as_micros() / 1_000;
        if let Some(order) = self.scheduler.next_order(self.now, &config, unix_millis) {
            let arrival = self.arrival();
            let sent = self.now;
            self.push(arrival, NetworkEvent::OrderArrived { order, sent });
        }
    }

    /// Requests a grant for a random adapter.
    fn request(&mut self, request: u64) {
        let adapter = format!("a{}", self.random.random_range(0..ADAPTERS));
        let grant = grant_request(request, &adapter);
        let config = engine_config(ADAPTER_SLOTS);
        let reply = self
            .scheduler
            .decide(self.now, &config, &grant, &mut self.load_limiter);
        if let GrantReply::Granted { wait, .. } = reply {
            let sent = self.now.after(wait);
            self.running.insert(request, (adapter, sent));
        }
        self.send_order();
    }

    /// Ends some of the requests that were sent, and rejects those whose adapter is missing.
    fn end_requests(&mut self) {
        let due: Vec<(u64, String)> = self
            .running
            .iter()
            .filter(|(_, (_, sent))| *sent <= self.now)
            .map(|(request, (adapter, _))| (*request, adapter.clone()))
            .collect();
        for (request, adapter) in due {
            let holds = self.engine.holds(&adapter);
            if holds && self.random.random_bool(0.6) {
                continue;
            }
            self.running.remove(&request);
            let release = GrantRelease {
                server: "s-1".into(),
                key: grant_key(request),
                first_event: holds.then_some(Duration::from_millis(40)),
                adapter_missing: !holds,
                ended: true,
                late_pause: None,
            };
            self.scheduler.release(self.now, &release);
        }
    }
}

/// Regression test: a report that was sampled before a load was accepted freed the slot of that
/// load, so that another load was ordered and the server was overfilled.
#[test]
fn delayed_reports_do_not_free_the_slots_of_newer_loads() {
    let mut overfilled = Vec::new();
    for max_delay in [20, 200, 480, 700] {
        for seed in 0..50 {
            let mut link = SlowLink::new(seed, Duration::from_millis(max_delay));
            for request in 0..3_000 {
                link.step();
                link.request(request);
                link.end_requests();
            }
            if link.engine.overfilled.is_some() {
                overfilled.push((max_delay, seed));
            }
        }
    }
    assert_eq!(overfilled, [], "(maximum delay in milliseconds, seed)");
}

/// A server answers an unload of an adapter that it doesn't hold without counting it. The scheduler,
/// whose count is then too high, must be able to order again.
#[test]
fn an_order_that_was_not_counted_does_not_end_the_lease() {
    let mut link = SlowLink::new(1, Duration::from_millis(20));
    for request in 0..1_000 {
        link.step();
        link.request(request);
        link.end_requests();
    }
    let held: Vec<String> = (0..ADAPTERS)
        .map(|number| format!("a{number}"))
        .filter(|adapter| link.engine.holds(adapter))
        .collect();
    for adapter in &held {
        link.engine.lose_adapter(adapter);
    }
    for request in 1_000..2_000 {
        link.step();
        link.request(request);
        link.end_requests();
    }
    let orders = link.engine.report().sequence;
    for request in 2_000..3_000 {
        link.step();
        link.request(request);
        link.end_requests();
    }
    assert!(link.engine.report().sequence > orders + 10);
    assert_eq!(link.engine.overfilled, None);
}
