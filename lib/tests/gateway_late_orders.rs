//! Orders to a model server that arrive seconds after they were sent, from one instance and from two
//! that take over from each other.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use gateway::engine::{FakeEngine, LEASE, engine_config, grant_key, grant_request};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
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
/// Time after which an instance gives up on an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which the instances tell each other the largest token of each server's process.
const GOSSIP_INTERVAL_STEPS: u64 = 20;
const MAX_HOLD_MILLIS: u64 = 8_000;
const ADAPTER_SLOTS: usize = 4;
/// Few adapters, so that an order often asks for the same as one that is still under way.
const ADAPTERS: u64 = 8;
const UNIX_MILLIS: u64 = 1_770_000_000_000;

/// What becomes of an order that its sender has given up before it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbandonedOrders {
    /// It is lost, because its sender resets the connection, or its operating system does while the
    /// sender does not run.
    Dropped,
    /// It arrives later, because the server had received it and reads it late.
    Delivered,
}

enum NetworkEvent {
    OrderArrived(u64),
    OrderAnswered(u64, ServerOrderOutcome),
    OrderTimedOut(u64),
    /// The sender's operating system gives up on delivering an order.
    DeliveryTimedOut(u64),
    /// The instances learn from the store that the server has restarted.
    RestartPublished,
    ReportAnswered {
        holder: usize,
        life: u32,
        report: Option<ServerReport>,
    },
}

struct SentOrder {
    holder: usize,
    life: u32,
    server_started: u64,
    order: ServerOrder,
    arrived: bool,
    dropped: bool,
    ended: bool,
}

/// An instance that may schedule the server.
struct OrderHolder {
    name: SmolStr,
    /// Counts its processes.
    life: u32,
    scheduler: Option<ServerScheduler>,
    load_limiter: LoadLimiter,
    clock_offset_millis: u64,
    paused_until: ClockTime,
    cut_until: ClockTime,
    running: BTreeMap<u64, (String, ClockTime)>,
}

impl OrderHolder {
    fn new(name: &str) -> OrderHolder {
        let mut load_limiter = LoadLimiter::new(1.0);
        load_limiter.set_server_count(8);
        OrderHolder {
            name: name.into(),
            life: 0,
            scheduler: None,
            load_limiter,
            clock_offset_millis: 10_000,
            paused_until: ClockTime::ZERO,
            cut_until: ClockTime::ZERO,
            running: BTreeMap::new(),
        }
    }
}

/// The instances, the server, and the messages between them.
struct LateNetwork {
    now: ClockTime,
    random: ChaCha8Rng,
    abandoned: AbandonedOrders,
    engine: FakeEngine,
    holders: Vec<OrderHolder>,
    orders: BTreeMap<u64, SentOrder>,
    events: BTreeMap<(ClockTime, u64), NetworkEvent>,
    next_number: u64,
    steps: u64,
    /// Start of the server's process according to the store.
    published_start: u64,
    /// Start of the server's process, and the largest token that the instances know.
    known_fence: (u64, u64),
    violations: Vec<String>,
}

impl LateNetwork {
    fn new(seed: u64, abandoned: AbandonedOrders, holders: &[&str]) -> LateNetwork {
        LateNetwork {
            now: ClockTime::from_millis(1_000),
            random: ChaCha8Rng::seed_from_u64(seed),
            abandoned,
            engine: FakeEngine::new(ADAPTER_SLOTS),
            holders: holders.iter().map(|name| OrderHolder::new(name)).collect(),
            orders: BTreeMap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            steps: 0,
            published_start: 1,
            known_fence: (0, 0),
            violations: Vec::new(),
        }
    }

    fn push(&mut self, time: ClockTime, event: NetworkEvent) {
        self.next_number += 1;
        self.events.insert((time, self.next_number), event);
    }

    /// Most messages take milliseconds; some are held back for seconds.
    fn delay(&mut self) -> Duration {
        let millis = if self.random.random_bool(0.05) {
            self.random.random_range(200..=MAX_HOLD_MILLIS)
        } else {
            self.random.random_range(1..=10)
        };
        Duration::from_millis(millis)
    }

    fn claim(&mut self, holder: usize) {
        let config = engine_config(ADAPTER_SLOTS);
        let models = self.engine.report().models;
        let scheduler = ServerScheduler::new(self.now, LEASE, &config, &models);
        self.holders[holder].scheduler = Some(scheduler);
    }

    fn share_fences(&mut self) {
        for scheduler in self
            .holders
            .iter()
            .filter_map(|holder| holder.scheduler.as_ref())
        {
            let started = scheduler.order_lease().known_start(self.published_start);
            let claim = (started, scheduler.last_fence());
            self.known_fence = self.known_fence.max(claim);
        }
        let (started, fence) = self.known_fence;
        for holder in &mut self.holders {
            if let Some(scheduler) = &mut holder.scheduler
                && started == scheduler.order_lease().known_start(self.published_start)
            {
                scheduler.raise_fence(fence);
            }
        }
    }

    /// Replaces the holder's process, whose wall clock may differ from that of the one before.
    fn kill(&mut self, holder: usize) {
        self.holders[holder].scheduler = None;
        self.holders[holder].running.clear();
        self.holders[holder].life += 1;
        self.holders[holder].clock_offset_millis = self.random.random_range(0..20_000);
        // The operating system resets the connections of a process that ends.
        let life = self.holders[holder].life;
        if self.abandoned == AbandonedOrders::Dropped {
            self.orders
                .retain(|_, sent| sent.holder != holder || sent.life == life || sent.arrived);
        }
    }

    fn restart_server(&mut self) {
        self.note_violations();
        self.engine.restart();
        // Connections to the process before are gone.
        self.orders.retain(|_, sent| sent.arrived);
        let millis = self.random.random_range(100..1_500);
        let published = self.now.after(Duration::from_millis(millis));
        self.push(published, NetworkEvent::RestartPublished);
    }

    fn note_violations(&mut self) {
        if let Some(fences) = self.engine.fence_regression.take() {
            let log = self.engine.log.join("\n");
            self.violations
                .push(format!("token {fences:?} at {:?}\n{log}", self.now));
        }
        if let Some(fence) = self.engine.shared_fence.take() {
            let log = self.engine.log.join("\n");
            self.violations
                .push(format!("shared token {fence:?} at {:?}\n{log}", self.now));
        }
        if let Some(turn) = self.engine.lease_violation.take() {
            let log = self.engine.log.join("\n");
            self.violations
                .push(format!("turn {turn:?} at {:?}\n{log}", self.now));
        }
        if let Some(slots) = self.engine.overfilled.take() {
            self.violations.push(format!("overfilled {slots}"));
        }
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
        for holder in 0..self.holders.len() {
            self.run_holder(holder);
        }
        self.steps += 1;
        if self.steps.is_multiple_of(GOSSIP_INTERVAL_STEPS) {
            self.share_fences();
        }
        self.note_violations();
    }

    fn run_holder(&mut self, number: usize) {
        let now = self.now;
        let holder = &mut self.holders[number];
        if holder.paused_until > now {
            return;
        }
        let was_paused = now.since(holder.paused_until) <= STEP;
        let (life, is_cut) = (holder.life, holder.cut_until > now);
        let Some(scheduler) = &mut holder.scheduler else {
            return;
        };
        if was_paused {
            scheduler.suspend(now);
        }
        scheduler.check_slots(now);
        if scheduler.begin_report_read(now) {
            let (time, report) = if is_cut {
                (now.after(CALL_TIMEOUT), None)
            } else {
                let report = self.engine.lagging_report(now);
                (now.after(Duration::from_millis(5)), Some(report))
            };
            let event = NetworkEvent::ReportAnswered {
                holder: number,
                life,
                report,
            };
            self.push(time, event);
        }
        self.send_order(number);
        self.end_requests(number);
    }

    fn send_order(&mut self, number: usize) {
        let config = engine_config(ADAPTER_SLOTS);
        let now = self.now;
        let holder = &mut self.holders[number];
        let unix_millis = UNIX_MILLIS + holder.clock_offset_millis + now.as_micros() / 1_000;
        let life = holder.life;
        let Some(scheduler) = &mut holder.scheduler else {
            return;
        };
        let Some(order) = scheduler.next_order(now, &config, unix_millis) else {
            return;
        };
        let mut arrival = now.after(self.delay());
        if self.holders[number].cut_until > now {
            let healed = self.holders[number].cut_until;
            arrival = healed.after(Duration::from_millis(900));
        }
        let sent = SentOrder {
            holder: number,
            life,
            server_started: self.engine.started,
            order,
            arrived: false,
            dropped: false,
            ended: false,
        };
        self.next_number += 1;
        let key = self.next_number;
        self.orders.insert(key, sent);
        self.push(arrival, NetworkEvent::OrderArrived(key));
        self.push(now.after(CALL_TIMEOUT), NetworkEvent::OrderTimedOut(key));
        if self.abandoned == AbandonedOrders::Dropped {
            let time = now.after(CALL_TIMEOUT);
            self.push(time, NetworkEvent::DeliveryTimedOut(key));
        }
    }

    /// Instance that must run for the event to happen.
    fn actor(&self, event: &NetworkEvent) -> Option<usize> {
        match event {
            NetworkEvent::OrderAnswered(key, _) | NetworkEvent::OrderTimedOut(key) => {
                self.orders.get(key).map(|sent| sent.holder)
            }
            NetworkEvent::ReportAnswered { holder, .. } => Some(*holder),
            NetworkEvent::OrderArrived(_)
            | NetworkEvent::DeliveryTimedOut(_)
            | NetworkEvent::RestartPublished => None,
        }
    }

    fn handle(&mut self, event: NetworkEvent) {
        let now = self.now;
        // A paused process neither reads what has arrived nor resets a connection.
        if let Some(holder) = self.actor(&event)
            && self.holders[holder].paused_until > now
        {
            let resumed = self.holders[holder].paused_until.after(STEP * 2);
            self.push(resumed, event);
            return;
        }
        match event {
            NetworkEvent::DeliveryTimedOut(key) => {
                if let Some(sent) = self.orders.get_mut(&key) {
                    sent.dropped = !sent.arrived;
                }
            }
            NetworkEvent::OrderArrived(key) => {
                let Some(sent) = self.orders.get_mut(&key) else {
                    return;
                };
                if sent.dropped {
                    return;
                }
                if sent.server_started != self.engine.started {
                    return;
                }
                sent.arrived = true;
                let name = self.holders[sent.holder].name.clone();
                let outcome = self.engine.order_from(now, &name, &sent.order);
                let answered = now.after(self.delay());
                self.push(answered, NetworkEvent::OrderAnswered(key, outcome));
            }
            NetworkEvent::OrderAnswered(key, outcome) => self.end_order(key, outcome),
            NetworkEvent::OrderTimedOut(key) => {
                self.end_order(key, ServerOrderOutcome::Lost);
                if self.abandoned == AbandonedOrders::Dropped {
                    self.orders.remove(&key);
                }
            }
            NetworkEvent::RestartPublished => {
                self.published_start = self.engine.started;
                let models = self.engine.report().models;
                for holder in &mut self.holders {
                    if let Some(scheduler) = &mut holder.scheduler {
                        scheduler.server_restarted(now, self.published_start, &models);
                    }
                }
            }
            NetworkEvent::ReportAnswered {
                holder,
                life,
                report,
            } => {
                let holder = &mut self.holders[holder];
                if let Some(scheduler) = &mut holder.scheduler
                    && holder.life == life
                {
                    scheduler.observe_report(now, report.as_ref());
                }
            }
        }
    }

    fn end_order(&mut self, key: u64, outcome: ServerOrderOutcome) {
        let now = self.now;
        let Some(sent) = self.orders.get_mut(&key) else {
            return;
        };
        let holder = &mut self.holders[sent.holder];
        if sent.ended || sent.life != holder.life {
            return;
        }
        sent.ended = true;
        if let Some(scheduler) = &mut holder.scheduler {
            scheduler.order_ended(now, outcome);
        }
    }

    /// Requests a grant for a random adapter.
    fn request(&mut self, number: usize, request: u64) {
        let now = self.now;
        if self.holders[number].paused_until > now {
            return;
        }
        let adapter = format!("a{}", self.random.random_range(0..ADAPTERS));
        let grant = grant_request(request, &adapter);
        let config = engine_config(ADAPTER_SLOTS);
        let holder = &mut self.holders[number];
        let Some(scheduler) = &mut holder.scheduler else {
            return;
        };
        let reply = scheduler.decide(now, &config, &grant, &mut holder.load_limiter);
        if let GrantReply::Granted { wait, .. } = reply {
            holder.running.insert(request, (adapter, now.after(wait)));
        }
        self.send_order(number);
    }

    fn end_requests(&mut self, number: usize) {
        let now = self.now;
        let holder = &mut self.holders[number];
        let Some(scheduler) = &mut holder.scheduler else {
            return;
        };
        let due: Vec<(u64, String)> = holder
            .running
            .iter()
            .filter(|(_, (_, sent))| *sent <= now)
            .map(|(request, (adapter, _))| (*request, adapter.clone()))
            .collect();
        for (request, adapter) in due {
            holder.running.remove(&request);
            let holds = self.engine.holds(&adapter);
            let release = GrantRelease {
                server: "s-1".into(),
                key: grant_key(request),
                first_event: holds.then_some(Duration::from_millis(40)),
                adapter_missing: !holds,
                ended: true,
                late_pause: None,
            };
            scheduler.release(now, &release);
        }
    }
}

/// Fails if anything broke in a play.
fn assert_no_violations(violations: &[String]) {
    assert!(
        violations.is_empty(),
        "{} violations, the first: {}",
        violations.len(),
        violations[0]
    );
}

/// Regression test: an order that its sender had given up arrived seconds later and was accepted,
/// with a lower fencing token than the orders that the same instance had given since.
#[test]
fn late_orders_of_one_instance_do_not_lower_the_fencing_token() {
    let mut violations = Vec::new();
    for seed in 0..50 {
        let mut network = LateNetwork::new(seed, AbandonedOrders::Delivered, &["a-1"]);
        network.claim(0);
        for request in 0..3_000 {
            network.step();
            network.request(0, request);
            if network.random.random_bool(0.002) {
                let cut = Duration::from_millis(network.random.random_range(500..6_000));
                network.holders[0].cut_until = network.now.after(cut);
            }
        }
        let tokens = network.violations.into_iter();
        violations.extend(tokens.map(|violation| format!("seed {seed}: {violation}")));
    }
    assert_no_violations(&violations);
}

/// Plays 50 seeds with two instances and returns what broke. `may_overlap` says whether an instance
/// may claim the server while the other one does.
fn play_two_instances(may_overlap: bool) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in 0..50 {
        let mut network = LateNetwork::new(seed, AbandonedOrders::Dropped, &["a-1", "b-1"]);
        network.claim(0);
        for request in 0..6_000 {
            network.step();
            network.request(usize::from(request % 2 == 1), request);
            play_faults(&mut network, may_overlap);
        }
        let found = network.violations.into_iter();
        violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
    }
    violations
}

/// Regression test: after a restart of the server, an instance went on with the high tokens of the
/// process before, and the next instance had lower ones; or the new process accepted an order that
/// was sent before the restart was known, and later ones had lower tokens.
#[test]
fn tokens_increase_across_takeovers_and_restarts_of_the_server() {
    let violations = play_two_instances(false);
    assert_no_violations(&violations);
}

/// Regression test: two instances that both hold the lease of a server, while orders are held back,
/// processes are killed or paused, wall clocks differ and the server restarts, never give orders in
/// turn within the lease time or lower the fencing token.
#[test]
fn late_orders_of_two_instances_keep_the_order_lease() {
    let violations = play_two_instances(true);
    assert_no_violations(&violations);
}

/// Regression test: an instance was paused with an order under way, which its operating system went on
/// delivering. It arrived after an order of the instance that took over meanwhile.
#[test]
fn orders_of_paused_processes_do_not_arrive_after_a_takeover() {
    let mut violations = Vec::new();
    for seed in 0..200 {
        let mut network = LateNetwork::new(seed, AbandonedOrders::Dropped, &["a-1", "b-1"]);
        network.claim(0);
        for request in 0..2_000 {
            network.step();
            network.request(usize::from(request % 2 == 1), request);
            play_pauses(&mut network);
        }
        let found = network.violations.into_iter();
        violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
    }
    assert_no_violations(&violations);
}

/// Pauses the instance that schedules the server, for at most ten seconds. The other one claims the
/// server after two, and the first one yields when it resumes.
fn play_pauses(network: &mut LateNetwork) {
    for number in 0..2 {
        let (now, other) = (network.now, 1 - number);
        let is_paused = network.holders[number].paused_until > now;
        let has_rival = network.holders[other].scheduler.is_some();
        if !is_paused && has_rival && network.holders[other].paused_until <= now {
            let resumed = network.holders[number].paused_until;
            if resumed > ClockTime::ZERO && now.since(resumed) < STEP * 10 {
                network.holders[number].scheduler = None;
            }
        }
        if is_paused && !has_rival {
            let left = network.holders[number].paused_until.since(now);
            if left <= Duration::from_secs(8) {
                network.claim(other);
            }
        }
        if !is_paused
            && !has_rival
            && network.holders[number].scheduler.is_some()
            && network.random.random_bool(0.01)
        {
            let pause = Duration::from_secs(10);
            network.holders[number].paused_until = now.after(pause);
        }
    }
}

/// Gives one order, which ends with `outcome` after another instance has given one, and returns whether
/// the scheduler then still holds the lease.
fn holds_lease_after_other_order(outcome: ServerOrderOutcome) -> bool {
    let config = engine_config(ADAPTER_SLOTS);
    let mut engine = FakeEngine::new(ADAPTER_SLOTS);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    let active = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(active, Some(&engine.report()));
    assert!(scheduler.is_active());
    let mut load_limiter = LoadLimiter::new(1.0);
    load_limiter.set_server_count(8);
    let grant = grant_request(1, "a1");
    scheduler.decide(active, &config, &grant, &mut load_limiter);
    assert!(scheduler.next_order(active, &config, UNIX_MILLIS).is_some());
    engine.order_by_other_instance(active);
    scheduler.order_ended(active, outcome);
    let settled = active.after(Duration::from_millis(500));
    assert!(scheduler.begin_report_read(settled));
    scheduler.observe_report(settled, Some(&engine.report()));
    scheduler.order_lease().is_active()
}

/// Regression test: an instance whose order was rejected, because another one had given an order,
/// took that order for its own and went on within the lease time of the other.
#[test]
fn a_rejected_order_does_not_account_for_an_order_of_another_instance() {
    assert!(!holds_lease_after_other_order(ServerOrderOutcome::Conflict));
}

/// Regression test: an instance whose order was lost, and whose lease another one may have taken over
/// meanwhile, took an order of the other for its own.
#[test]
fn a_lost_order_does_not_account_for_an_order_of_another_instance() {
    assert!(!holds_lease_after_other_order(ServerOrderOutcome::Lost));
}

fn play_faults(network: &mut LateNetwork, may_overlap: bool) {
    let number = network.random.random_range(0..2_usize);
    let pause = Duration::from_millis(network.random.random_range(500..6_000));
    match network.random.random_range(0..4_000) {
        0..4 => network.holders[number].cut_until = network.now.after(pause),
        4..7 => network.holders[number].paused_until = network.now.after(pause),
        7..12 => network.kill(number),
        12..14 => network.restart_server(),
        14..20 => {
            // A running process remembers the tokens that it has given.
            network.share_fences();
            network.holders[number].scheduler = None;
        }
        20..40
            if network.holders[number].scheduler.is_none()
                && (may_overlap || network.holders[1 - number].scheduler.is_none()) =>
        {
            network.claim(number);
        }
        _ => {}
    }
}
