//! Measures the time of a decision while 10,000 requests wait at 140 servers.

use std::time::{Duration, Instant};

use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{EngineConfig, LoadedModel, ServerReport},
        server_scheduler::{
            GrantCaller, GrantKey, GrantRelease, GrantReply, GrantRequest, LoadLimiter,
            ServerOrderOutcome, ServerScheduler,
        },
    },
};

const SERVERS: u64 = 140;
const WAITING: u64 = 10_000;
const SLOTS: u64 = 6;
/// Requests that run on each server.
const RUNNING: u64 = 48;
const ROUNDS: u64 = 20;
const LEASE: Duration = Duration::from_secs(3);

fn config() -> EngineConfig {
    EngineConfig {
        slots: 96,
        cache_tokens: 238_616,
        adapter_slots: SLOTS as usize,
        event_tokens: 6,
        fetches_prompts: false,
        models: Vec::new(),
    }
}

fn request(number: u64, adapter: &str) -> GrantRequest {
    GrantRequest {
        key: GrantKey {
            instance: "n-1".into(),
            incarnation: 1,
            number,
        },
        server: "s-1".into(),
        model: "base".into(),
        adapter: Some(adapter.into()),
        version: 0,
        prompt_tokens: 826,
        output_tokens: 292,
        parts: Vec::new(),
        max_wait: Duration::ZERO,
        lifetime: Duration::from_secs(60),
        priority: (number % 5) as u8,
        team: Some(format!("team-{}", number % 16).into()),
        objective_left: Duration::from_millis(600 + number % 400),
        hold: Duration::from_millis(300),
        place_hold: Duration::from_millis(300),
        waited: Duration::from_millis(number % 300),
    }
}

fn execute_orders(scheduler: &mut ServerScheduler, now: ClockTime) {
    while scheduler.next_order(now, &config(), 1).is_some() {
        scheduler.order_ended(now, ServerOrderOutcome::Accepted);
    }
}

/// Returns a scheduler whose slots are in use.
fn busy_scheduler() -> (ServerScheduler, ClockTime) {
    let mut limiter = LoadLimiter::new(2.0);
    limiter.set_server_count(4);
    let models = vec![LoadedModel {
        name: "base".into(),
        adapters: Vec::new(),
    }];
    let report = ServerReport {
        sequence: 0,
        started: Some(1),
        busy: false,
        models: models.clone(),
        cached_models: Vec::new(),
        loading_adapters: Vec::new(),
    };
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config(), &models);
    scheduler.observe_report(start, Some(&report));
    let mut now = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(now, Some(&report));
    for number in 0..RUNNING {
        let request = request(number, &format!("a-{}", number % SLOTS));
        let reply = scheduler.decide(now, &config(), &request, &mut limiter);
        assert!(matches!(reply, GrantReply::Granted { .. }), "{reply:?}");
        execute_orders(&mut scheduler, now);
        now = now.after(Duration::from_millis(300));
        release(&mut scheduler, now, number, false);
    }
    (scheduler, now)
}

fn release(scheduler: &mut ServerScheduler, now: ClockTime, number: u64, ended: bool) {
    let release = GrantRelease {
        server: "s-1".into(),
        key: request(number, "").key,
        first_event: Some(Duration::from_millis(40)),
        adapter_missing: false,
        ended,
        late_pause: None,
    };
    scheduler.release(now, &release);
}

fn print(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let micros =
        |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    println!(
        "{name:<46} {:>8} {:>9.1} {:>9.1} {:>9.1}",
        times.len(),
        micros(0.5),
        micros(0.99),
        micros(1.0)
    );
}

fn main() {
    let mut limiter = LoadLimiter::new(2.0);
    limiter.set_server_count(SERVERS as usize);
    let mut servers: Vec<(ServerScheduler, ClockTime)> =
        (0..SERVERS).map(|_| busy_scheduler()).collect();
    let mut number = 1_000;
    let (mut queueing, mut declining, mut granting) = (Vec::new(), Vec::new(), Vec::new());
    let mut enqueue = |scheduler: &mut ServerScheduler,
                       now: ClockTime,
                       adapter: &str,
                       limiter: &mut LoadLimiter| {
        number += 1;
        let request = request(number, adapter);
        let began = Instant::now();
        let caller = GrantCaller::Peer { call: number };
        scheduler.enqueue(now, request, caller).ok();
        let answers = scheduler.serve_queue(now, &config(), limiter);
        (began.elapsed(), answers.len())
    };
    for waiting in 0..WAITING {
        let (scheduler, now) = &mut servers[(waiting % SERVERS) as usize];
        let adapter = format!("b-{}", waiting / SERVERS);
        let (time, answered) = enqueue(scheduler, *now, &adapter, &mut limiter);
        assert_eq!(answered, 0);
        if waiting >= WAITING / 2 {
            queueing.push(time);
        }
    }
    let queued: usize = servers
        .iter()
        .map(|(server, _)| server.queued_count())
        .sum();
    assert_eq!(queued, WAITING as usize);
    for round in 0..ROUNDS {
        for (scheduler, now) in &mut servers {
            let adapter = format!("a-{}", round % SLOTS);
            let (time, answered) = enqueue(scheduler, *now, &adapter, &mut limiter);
            assert_eq!(answered, 1);
            granting.push(time);
            *now = now.after(Duration::from_millis(1));
            let began = Instant::now();
            release(scheduler, *now, round, true);
            let answers = scheduler.serve_queue(*now, &config(), &mut limiter);
            declining.push(began.elapsed());
            assert!(answers.is_empty());
        }
    }
    println!(
        "{:<46} {:>8} {:>9} {:>9} {:>9}",
        "decision, in microseconds", "count", "median", "p99", "max"
    );
    print("new request, no free slot", queueing);
    print("new request for a loaded adapter, granted", granting);
    print("release that frees no slot", declining);
}
