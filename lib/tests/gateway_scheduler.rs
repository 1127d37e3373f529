//! Tests of the scheduler of a model server against a server that follows the documented rules.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use assert_matches::assert_matches;
use gateway::engine::{FakeEngine, LEASE, engine_config, grant_key, grant_request};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::server_scheduler::{
        DeclineReason, FENCE_TIME_BITS, GrantRelease, GrantReply, GrantRequest, LoadLimiter,
        LoadTiming, OrderAction, ServerOrder, ServerOrderOutcome, ServerScheduler,
    },
};

fn release(request: u64, first_event: Option<Duration>, adapter_missing: bool) -> GrantRelease {
    GrantRelease {
        server: "s-1".into(),
        key: grant_key(request),
        first_event,
        adapter_missing,
        ended: true,
        late_pause: None,
    }
}

fn unix_millis(now: ClockTime) -> u64 {
    1_770_000_000_000 + now.as_micros() / 1_000
}

fn load_limiter(count: usize) -> LoadLimiter {
    let mut load_limiter = LoadLimiter::new(1.0);
    load_limiter.set_server_count(count);
    load_limiter
}

/// Returns a scheduler that holds the order lease, and the time at which it acquired it.
fn active_scheduler(engine: &FakeEngine) -> (ServerScheduler, ClockTime) {
    let config = engine_config(3);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    let later = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(later, Some(&engine.report()));
    assert!(scheduler.order_lease().is_active());
    (scheduler, later)
}

fn execute_orders(
    scheduler: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
) -> Vec<ServerOrder> {
    let mut orders = Vec::new();
    while let Some(order) = scheduler.next_order(now, &engine_config(3), unix_millis(now)) {
        let outcome = engine.order(now, &order);
        scheduler.order_ended(now, outcome);
        orders.push(order);
    }
    orders
}

#[test]
fn orders_wait_for_the_lease_of_an_earlier_scheduler() {
    let engine = FakeEngine::new(3);
    let config = engine_config(3);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    let reply = scheduler.decide(
        start,
        &config,
        &grant_request(1, "a1"),
        &mut load_limiter(8),
    );
    assert_matches!(
        reply,
        GrantReply::Declined {
            reason: DeclineReason::NoRight,
            ..
        }
    );
    let early = start.after(LEASE - Duration::from_millis(1));
    scheduler.observe_report(early, Some(&engine.report()));
    assert!(!scheduler.order_lease().is_active());
    assert_eq!(scheduler.next_order(early, &config, 7), None);
}

#[test]
fn an_order_of_another_instance_restarts_the_lease_wait() {
    let mut engine = FakeEngine::new(3);
    let config = engine_config(3);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    engine.order_by_other_instance(start.after(Duration::from_millis(2_900)));
    let later = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(later, Some(&engine.report()));
    assert!(!scheduler.order_lease().is_active());
    let still_later = later.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(still_later, Some(&engine.report()));
    assert!(scheduler.order_lease().is_active());
}

#[test]
fn a_conditional_order_fails_after_an_order_of_another_instance() {
    let mut engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    engine.order_by_other_instance(now);
    let mut load_limiter = load_limiter(8);
    scheduler.decide(
        now,
        &engine_config(3),
        &grant_request(1, "a1"),
        &mut load_limiter,
    );
    let orders = execute_orders(&mut scheduler, &mut engine, now);
    assert_eq!(orders.len(), 1);
    assert!(!scheduler.order_lease().is_active());
    let report_time = now.after(Duration::from_millis(400));
    scheduler.observe_report(report_time, Some(&engine.report()));
    // The order whose outcome is unknown explains the count. The next order settles it.
    assert!(engine.overfilled.is_none());
}

/// Regression test: a request that failed on a faulty server counted as proof that the adapter was
/// loaded.
#[test]
fn only_a_first_event_confirms_an_adapter() {
    let mut engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        scheduler.decide(
            now,
            &config,
            &grant_request(request, adapter),
            &mut load_limiter,
        );
    }
    execute_orders(&mut scheduler, &mut engine, now);
    let later = now.after(Duration::from_millis(300));
    for request in [1, 2, 3] {
        assert_eq!(
            scheduler.release(later, &release(request, None, false)),
            None
        );
    }
    let reply = scheduler.decide(later, &config, &grant_request(4, "a4"), &mut load_limiter);
    assert_matches!(
        reply,
        GrantReply::Declined {
            reason: DeclineReason::NoPlace,
            ..
        }
    );
}

/// Regression test: a slot was freed after a 421 response while its adapter was still loading.
#[test]
fn a_late_adapter_keeps_its_slot() {
    let mut engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        scheduler.decide(
            now,
            &config,
            &grant_request(request, adapter),
            &mut load_limiter,
        );
    }
    execute_orders(&mut scheduler, &mut engine, now);
    let later = now.after(Duration::from_millis(800));
    assert_eq!(
        scheduler.release(later, &release(1, None, true)),
        Some(LoadTiming::Late)
    );
    scheduler.decide(later, &config, &grant_request(4, "a4"), &mut load_limiter);
    execute_orders(&mut scheduler, &mut engine, later);
    assert_eq!(engine.overfilled, None);
}

/// Regression test: a base model was ordered twice when the lease was acquired while an order was
/// queued.
#[test]
fn a_base_model_is_ordered_once() {
    let mut engine = FakeEngine::new(3);
    engine.remove_model();
    let config = engine_config(3);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    scheduler.observe_report(start, Some(&engine.report()));
    scheduler.load_model_if_missing(start, &config, true);
    let later = start.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(later, Some(&engine.report()));
    scheduler.load_model_if_missing(later, &config, true);
    let orders = execute_orders(&mut scheduler, &mut engine, later);
    scheduler.load_model_if_missing(later, &config, true);
    let again = execute_orders(&mut scheduler, &mut engine, later);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].action, OrderAction::LoadModel);
    assert_eq!(again, Vec::new());
}

/// Regression test: refused orders increased the fencing token, so that a later lease holder had a
/// lower one.
#[test]
fn a_refused_order_does_not_raise_the_fencing_token() {
    let engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    scheduler.decide(now, &config, &grant_request(1, "a1"), &mut load_limiter);
    let first = scheduler.next_order(now, &config, 7).unwrap();
    scheduler.order_ended(now, ServerOrderOutcome::Conflict);
    let later = now.after(Duration::from_millis(500));
    scheduler.observe_report(later, Some(&engine.report()));
    scheduler.decide(later, &config, &grant_request(2, "a2"), &mut load_limiter);
    let second = scheduler.next_order(later, &config, 7).unwrap();
    // The count makes up the high bits of the token. The time of day in its low bits doesn't matter
    // here.
    assert_eq!(
        second.fence >> FENCE_TIME_BITS,
        first.fence >> FENCE_TIME_BITS
    );
}

/// Regression test: an adapter chosen for eviction by a queued load was requested again and evicted
/// nevertheless.
#[test]
fn an_adapter_requested_again_is_not_evicted() {
    let mut engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(1);
    let mut time = now;
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        scheduler.decide(
            time,
            &config,
            &grant_request(request, adapter),
            &mut load_limiter,
        );
        execute_orders(&mut scheduler, &mut engine, time);
        time = time.after(Duration::from_millis(300));
        engine.advance(time);
        scheduler.release(
            time,
            &release(request, Some(Duration::from_millis(50)), false),
        );
    }
    // The second load waits for the load slot of the first. It would evict a2.
    scheduler.decide(time, &config, &grant_request(4, "a4"), &mut load_limiter);
    execute_orders(&mut scheduler, &mut engine, time);
    scheduler.decide(time, &config, &grant_request(5, "a5"), &mut load_limiter);
    execute_orders(&mut scheduler, &mut engine, time);
    let reply = scheduler.decide(time, &config, &grant_request(6, "a2"), &mut load_limiter);
    assert_matches!(reply, GrantReply::Granted { wait, .. } if wait.is_zero());
    let due = time.after(Duration::from_millis(290));
    engine.advance(due);
    execute_orders(&mut scheduler, &mut engine, due);
    assert!(engine.holds("a2"));
    assert_eq!(engine.overfilled, None);
}

/// A newer version replaces the loaded one, and no request is granted on the old one meanwhile.
#[test]
fn a_newer_version_is_loaded_before_it_is_granted() {
    let mut engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    scheduler.decide(now, &config, &grant_request(1, "a1"), &mut load_limiter);
    execute_orders(&mut scheduler, &mut engine, now);
    let later = now.after(Duration::from_millis(400));
    engine.advance(later);
    scheduler.release(later, &release(1, Some(Duration::from_millis(40)), false));
    let mut newer = grant_request(2, "a1");
    newer.version = 2;
    let reply = scheduler.decide(later, &config, &newer, &mut load_limiter);
    assert_matches!(reply, GrantReply::Granted { wait, .. } if !wait.is_zero());
    let order = scheduler.next_order(later, &config, 7).unwrap();
    assert_matches!(order.action, OrderAction::LoadAdapter { version: 2, .. });
}

/// Requests, releases, lost responses and reports in any order never overfill the server, unload an
/// adapter in use or lower the fencing token of an accepted order.
#[test]
fn no_schedule_overfills_the_server() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut engine = FakeEngine::new(3);
        let (mut scheduler, start) = active_scheduler(&engine);
        let config = engine_config(3);
        let mut load_limiter = load_limiter(3);
        let mut now = start;
        let mut running: BTreeMap<u64, (String, ClockTime)> = BTreeMap::new();
        for request in 0..400 {
            now = now.after(Duration::from_millis(random.random_range(1..120)));
            engine.advance(now);
            let adapter = format!("a{}", random.random_range(0..9));
            let reply = scheduler.decide(
                now,
                &config,
                &grant_request(request, &adapter),
                &mut load_limiter,
            );
            if let GrantReply::Granted { wait, .. } = reply {
                running.insert(request, (adapter, now.after(wait)));
            }
            execute_orders_with_losses(&mut scheduler, &mut engine, now, &mut random);
            end_some_requests(&mut scheduler, &mut engine, now, &mut running, &mut random);
            if scheduler
                .order_lease()
                .report_due_at()
                .is_some_and(|time| time <= now)
                && random.random_bool(0.5)
            {
                let report = (!random.random_bool(0.1)).then(|| engine.lagging_report(now));
                scheduler.observe_report(now, report.as_ref());
            }
            assert_eq!(engine.overfilled, None, "seed {seed}");
            assert_eq!(engine.fence_regression, None, "seed {seed}");
            assert_eq!(engine.unloaded_in_use, None, "seed {seed}");
        }
    }
}

fn execute_orders_with_losses(
    scheduler: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
    random: &mut ChaCha8Rng,
) {
    while let Some(order) = scheduler.next_order(now, &engine_config(3), unix_millis(now)) {
        let outcome = engine.order(now, &order);
        let outcome = if random.random_bool(0.03) {
            ServerOrderOutcome::Lost
        } else {
            outcome
        };
        scheduler.order_ended(now, outcome);
    }
}

fn end_some_requests(
    scheduler: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
    running: &mut BTreeMap<u64, (String, ClockTime)>,
    random: &mut ChaCha8Rng,
) {
    let due: Vec<u64> = running
        .iter()
        .filter(|(_, (_, start))| *start <= now)
        .map(|(request, _)| *request)
        .collect();
    for request in due {
        let (adapter, _) = &running[&request];
        let holds = engine.holds(adapter);
        engine.set_in_use(adapter, holds);
        if holds && random.random_bool(0.6) {
            continue;
        }
        let adapter = adapter.clone();
        running.remove(&request);
        let still_used = running
            .values()
            .any(|(other, start)| *other == adapter && *start <= now);
        engine.set_in_use(&adapter, still_used && holds);
        let first = holds.then_some(Duration::from_millis(40));
        scheduler.release(now, &release(request, first, !holds));
    }
}

/// A server whose prompts are serialized declines a request that would rather go elsewhere than
/// wait.
#[test]
fn a_busy_server_declines_requests_that_would_not_wait() {
    let engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    let long = |request, patience_ms| GrantRequest {
        prompt_tokens: 9_000,
        max_wait: Duration::from_millis(patience_ms),
        ..grant_request(request, "a1")
    };
    assert_matches!(
        scheduler.decide(now, &config, &long(1, 0), &mut load_limiter),
        GrantReply::Granted { .. }
    );
    let backlog = scheduler.backlog(now);
    let declined = scheduler.decide(now, &config, &long(2, 100), &mut load_limiter);
    assert_eq!(
        declined,
        GrantReply::Declined {
            reason: DeclineReason::Busy,
            backlog,
            statuses: Default::default(),
        }
    );
    // A declined request leaves the state unchanged.
    assert_eq!(scheduler.backlog(now), backlog);
    assert_matches!(
        scheduler.decide(now, &config, &long(2, 2_000), &mut load_limiter),
        GrantReply::Granted { wait, .. } if wait >= backlog
    );
    // A short prompt is prefilled between the chunks of a long one.
    assert_matches!(
        scheduler.decide(
            now,
            &config,
            &GrantRequest {
                max_wait: Duration::ZERO,
                ..grant_request(3, "a1")
            },
            &mut load_limiter
        ),
        GrantReply::Granted { .. }
    );
}

/// Time until the last of `loads` new adapters, requested alternately at two servers, is loaded, or
/// `None` if that request was declined.
fn last_load_wait(load_limiter: &mut LoadLimiter, loads: u64) -> Option<Duration> {
    let engine = FakeEngine::new(3);
    let config = engine_config(16);
    let (mut first, now) = active_scheduler(&engine);
    let (mut second, _) = active_scheduler(&engine);
    load_limiter.set_server_count(2);
    let mut last = None;
    for request in 0..loads {
        let scheduler = if request % 2 == 0 {
            &mut first
        } else {
            &mut second
        };
        last = match scheduler.decide(
            now,
            &config,
            &grant_request(request, &format!("a{request}")),
            load_limiter,
        ) {
            GrantReply::Granted { wait, .. } => Some(wait),
            GrantReply::Declined { .. } => None,
        };
    }
    last
}

/// Late loads reduce the number of concurrent loads, with pauses between loads if it is below one
/// per instance.
#[test]
fn late_loads_shrink_the_window() {
    let initial_wait = last_load_wait(&mut LoadLimiter::new(1.0), 2);
    assert_eq!(initial_wait, Some(Duration::from_millis(262)));
    let mut load_limiter = LoadLimiter::new(1.0);
    for late in 0..20 {
        load_limiter.record_late_load(ClockTime::from_millis(late * 400));
    }
    assert_eq!(last_load_wait(&mut load_limiter, 2), None);
}

/// Loads that are late together shrink the window once.
#[test]
fn loads_late_together_shrink_the_window_once() {
    let mut load_limiter = LoadLimiter::new(1.0);
    for _ in 0..20 {
        load_limiter.record_late_load(ClockTime::from_millis(400));
    }
    assert_eq!(
        last_load_wait(&mut load_limiter, 2),
        Some(Duration::from_millis(262))
    );
}

/// Requests one new adapter at each of eight servers every 200 ms for 1.6 s; returns how many of the
/// last eight loads start at once.
fn loads_started_at_once(load_limiter: &mut LoadLimiter) -> usize {
    let engine = FakeEngine::new(3);
    let config = engine_config(16);
    let (mut schedulers, times): (Vec<_>, Vec<_>) =
        (0..8).map(|_| active_scheduler(&engine)).unzip();
    load_limiter.set_server_count(schedulers.len());
    let mut started = 0;
    for step in 0..9 {
        let now = times[0].after(Duration::from_millis(200) * step);
        started = 0;
        let mut timings = Vec::new();
        for scheduler in &mut schedulers {
            // Adapters are known to be loaded once a report lists them.
            let request = grant_request(u64::from(step), &format!("a{step}"));
            let reply = scheduler.decide(now, &config, &request, load_limiter);
            if matches!(reply, GrantReply::Granted { wait, .. } if wait < Duration::from_millis(270))
            {
                started += 1;
            }
            let release = release(u64::from(step), Some(Duration::ZERO), false);
            timings.extend(scheduler.release(now, &release));
        }
        load_limiter.adjust(now);
        for timing in timings {
            load_limiter.record_timing(now, timing);
        }
        load_limiter.set_server_count(schedulers.len());
    }
    started
}

/// Pattern: cold start of all. Every adapter is missing at once, and the store bears more loads than
/// the limiter assumes at first; it has to find that out within two seconds.
#[test]
fn cold_start_of_all_finds_the_capacity_of_the_store() {
    let started = loads_started_at_once(&mut LoadLimiter::default());
    assert!(started >= 6, "{started} of 8");
}

/// The first late load ends the fast growth.
#[test]
fn cold_start_of_all_at_a_slow_store_grows_slowly_after_a_late_load() {
    let mut load_limiter = LoadLimiter::default();
    load_limiter.record_late_load(ClockTime::from_millis(500));
    let started = loads_started_at_once(&mut load_limiter);
    assert!(started <= 4, "{started} of 8");
}

/// Pattern: retry storm at a server without the adapter. Several requests that find one adapter missing
/// tell of one late load; counting each of them would stop nearly all loads of the instance.
#[test]
fn requests_for_one_late_adapter_count_as_one_late_load() {
    let engine = FakeEngine::new(3);
    let config = engine_config(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let mut load_limiter = load_limiter(8);
    let mut timings = Vec::new();
    for request in 0..6 {
        let now = now.after(Duration::from_millis(400) * u32::try_from(request).unwrap());
        scheduler.decide(
            now,
            &config,
            &grant_request(request, "a1"),
            &mut load_limiter,
        );
        timings.extend(scheduler.release(now, &release(request, None, true)));
    }
    assert_eq!(timings, [LoadTiming::Late]);
}

/// A first event, reported long before the stream ends, moves the start of later prompts.
#[test]
fn a_first_event_corrects_the_backlog() {
    let engine = FakeEngine::new(3);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    let long = |request| GrantRequest {
        prompt_tokens: 9_000,
        adapter: None,
        ..grant_request(request, "a1")
    };
    scheduler.decide(now, &config, &long(1), &mut load_limiter);
    scheduler.decide(now, &config, &long(2), &mut load_limiter);
    let expected = scheduler.backlog(now);
    // Half of the expected time is the prefill of the first prompt, which precedes its first event.
    let first_event = GrantRelease {
        ended: false,
        ..release(1, Some(expected.mul_f64(0.8)), false)
    };
    scheduler.release(now, &first_event);
    let corrected = scheduler.backlog(now);
    assert!(
        corrected > expected + Duration::from_millis(100),
        "{corrected:?}"
    );
    scheduler.release(now, &first_event);
    assert_eq!(scheduler.backlog(now), corrected);
}

/// An adapter counts as loading until the first event of its first request, not until the end of
/// the request.
#[test]
fn long_streams_do_not_block_loads() {
    let mut engine = FakeEngine::new(6);
    let (mut scheduler, now) = active_scheduler(&engine);
    let config = engine_config(6);
    let mut load_limiter = load_limiter(8);
    for request in 1..=4 {
        scheduler.decide(
            now,
            &config,
            &grant_request(request, &format!("a{request}")),
            &mut load_limiter,
        );
        execute_orders(&mut scheduler, &mut engine, now);
    }
    let later = now.after(Duration::from_millis(400));
    engine.advance(later);
    for request in 1..=4 {
        scheduler.release(
            later,
            &GrantRelease {
                ended: false,
                ..release(request, Some(Duration::from_millis(60)), false)
            },
        );
    }
    assert_matches!(
        scheduler.decide(later, &config, &grant_request(5, "a5"), &mut load_limiter),
        GrantReply::Granted { .. }
    );
}

/// The prefill time of long prompts grows faster than their length. The estimates must follow the
/// measurements.
#[test]
fn prefill_estimates_follow_measurements() {
    let engine = FakeEngine::new(3);
    let (mut scheduler, mut now) = active_scheduler(&engine);
    let config = engine_config(3);
    let mut load_limiter = load_limiter(8);
    // Prefill time of the simulated server in milliseconds, with attention to all earlier tokens.
    let actual_ms = |tokens: u64| {
        let tokens = tokens as f64;
        tokens / 50.0 + tokens * tokens / 2.0 * 1e-6
    };
    let mut request = 0;
    let mut run_prompt = |scheduler: &mut ServerScheduler, now: ClockTime, tokens: u64| {
        request += 1;
        let long = GrantRequest {
            prompt_tokens: tokens,
            adapter: None,
            ..grant_request(request, "a1")
        };
        scheduler.decide(now, &config, &long, &mut load_limiter);
        let backlog = scheduler.backlog(now);
        let first =
            Duration::from_secs_f64(actual_ms(tokens) / 1_000.0) + Duration::from_millis(30);
        scheduler.release(now, &release(request, Some(first), false));
        backlog.as_secs_f64() * 1_000.0
    };
    for round in 0..60 {
        now = now.after(Duration::from_millis(2_000));
        run_prompt(&mut scheduler, now, 3_000 + 400 * (round * 7 % 30));
    }
    for tokens in [4_000, 9_000, 20_000] {
        now = now.after(Duration::from_millis(5_000));
        let planned = run_prompt(&mut scheduler, now, tokens);
        let error = (planned / actual_ms(tokens) - 1.0).abs();
        assert!(error < 0.15, "{tokens} tokens: {planned} ms");
    }
}

/// Time between the grants of two long prompts, requested at once, that remains after the first one's
/// prefill.
fn long_prefill_wait(scheduler: &mut ServerScheduler, now: ClockTime) -> Duration {
    let config = engine_config(3);
    let long = |request| GrantRequest {
        prompt_tokens: 9_000,
        adapter: None,
        max_wait: Duration::from_secs(5),
        ..grant_request(request, "a1")
    };
    let mut load_limiter = load_limiter(8);
    let first = scheduler.decide(now, &config, &long(901), &mut load_limiter);
    let second = scheduler.decide(now, &config, &long(902), &mut load_limiter);
    for request in [901, 902] {
        scheduler.release(now, &release(request, None, false));
    }
    match (first, second) {
        (GrantReply::Granted { backlog, .. }, GrantReply::Granted { wait, .. }) => {
            wait.saturating_sub(backlog)
        }
        other => panic!("not granted: {other:?}"),
    }
}

/// Pattern: a burst of long prompts beside streams. Guards against a fixed gap between prefills, which
/// leaves a fifth of the server idle although no stream is late, and against no gap at all where
/// streams are.
#[test]
fn the_gap_between_long_prefills_follows_the_pauses_of_streams() {
    let engine = FakeEngine::new(3);
    let gap_after = |late_pause: Option<bool>| {
        let (mut scheduler, now) = active_scheduler(&engine);
        for request in 0..100 {
            let short = GrantRequest {
                adapter: None,
                ..grant_request(request, "a1")
            };
            scheduler.decide(now, &engine_config(3), &short, &mut load_limiter(8));
            let end = GrantRelease {
                late_pause,
                ..release(request, None, false)
            };
            scheduler.release(now, &end);
        }
        long_prefill_wait(&mut scheduler, now)
    };
    let initial = gap_after(None);
    assert!(initial > Duration::ZERO);
    assert_eq!(gap_after(Some(true)), initial);
    assert_eq!(gap_after(Some(false)), Duration::ZERO);
}
