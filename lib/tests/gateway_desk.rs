//! The scheduler of a model server against a server that keeps its promises exactly.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use assert_matches::assert_matches;
use gateway::engine::{FakeEngine, engine_rule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::server_scheduler::{
        DeclineReason, FENCE_TIME_BITS, GrantKey, GrantRelease, GrantReply, GrantRequest,
        LoadLimiter, OrderAction, ServerOrder, ServerOrderOutcome, ServerScheduler,
    },
};

const LEASE: Duration = Duration::from_millis(3_000);

fn ask(request: u64, adapter: &str) -> GrantRequest {
    GrantRequest {
        key: GrantKey {
            instance: "a-1".into(),
            incarnation: 1,
            request,
        },
        server: "s-1".into(),
        model: "base".into(),
        adapter: Some(adapter.into()),
        version: 0,
        prompt_tokens: 1_000,
        output_tokens: 50,
        parts: Vec::new(),
        max_wait: Duration::from_secs(10),
        lifetime: Duration::from_secs(10),
    }
}

fn release(request: u64, first_event: Option<Duration>, adapter_missing: bool) -> GrantRelease {
    GrantRelease {
        server: "s-1".into(),
        key: ask(request, "a1").key,
        first_event,
        adapter_missing,
        ended: true,
    }
}

fn unix_millis(now: ClockTime) -> u64 {
    1_770_000_000_000 + now.as_micros() / 1_000
}

fn lanes(count: usize) -> LoadLimiter {
    let mut lanes = LoadLimiter::new(1.0);
    lanes.resize(count);
    lanes
}

/// A desk with the right to order, and the time at which it got it.
fn active_desk(engine: &FakeEngine) -> (ServerScheduler, ClockTime) {
    let rule = engine_rule(3);
    let start = ClockTime::from_millis(1_000);
    let mut desk = ServerScheduler::new(start, LEASE, &rule, &engine.report().models);
    desk.observe(start, Some(&engine.report()));
    let later = start.after(LEASE + Duration::from_millis(500));
    desk.observe(later, Some(&engine.report()));
    assert!(desk.right().is_active());
    (desk, later)
}

fn carry_out(
    desk: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
) -> Vec<ServerOrder> {
    let mut orders = Vec::new();
    while let Some(order) = desk.next_order(now, &engine_rule(3), unix_millis(now)) {
        let outcome = engine.order(now, &order);
        desk.order_ended(now, outcome);
        orders.push(order);
    }
    orders
}

#[test]
fn orders_wait_for_the_lease_of_an_earlier_scheduler() {
    let engine = FakeEngine::new(3);
    let rule = engine_rule(3);
    let start = ClockTime::from_millis(1_000);
    let mut desk = ServerScheduler::new(start, LEASE, &rule, &engine.report().models);
    desk.observe(start, Some(&engine.report()));
    let reply = desk.ask(start, &rule, &ask(1, "a1"), &mut lanes(8));
    assert_matches!(
        reply,
        GrantReply::Declined {
            reason: DeclineReason::NoRight,
            ..
        }
    );
    let early = start.after(LEASE - Duration::from_millis(1));
    desk.observe(early, Some(&engine.report()));
    assert!(!desk.right().is_active());
    assert_eq!(desk.next_order(early, &rule, 7), None);
}

#[test]
fn an_order_of_somebody_else_starts_the_wait_anew() {
    let mut engine = FakeEngine::new(3);
    let rule = engine_rule(3);
    let start = ClockTime::from_millis(1_000);
    let mut desk = ServerScheduler::new(start, LEASE, &rule, &engine.report().models);
    desk.observe(start, Some(&engine.report()));
    engine.order_by_other(start.after(Duration::from_millis(2_900)));
    let later = start.after(LEASE + Duration::from_millis(500));
    desk.observe(later, Some(&engine.report()));
    assert!(!desk.right().is_active());
    let still_later = later.after(LEASE + Duration::from_millis(500));
    desk.observe(still_later, Some(&engine.report()));
    assert!(desk.right().is_active());
}

#[test]
fn a_conditional_order_fails_after_somebody_else_ordered() {
    let mut engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    engine.order_by_other(now);
    let mut lanes = lanes(8);
    desk.ask(now, &engine_rule(3), &ask(1, "a1"), &mut lanes);
    let orders = carry_out(&mut desk, &mut engine, now);
    assert_eq!(orders.len(), 1);
    assert!(!desk.right().is_active());
    let report_time = now.after(Duration::from_millis(400));
    desk.observe(report_time, Some(&engine.report()));
    // The count is explained by the order that may have been accepted; the next one settles it.
    assert!(engine.overfilled.is_none());
}

/// Regression: a failure of a grey server counted as a run on the adapter.
#[test]
fn only_a_run_confirms_an_adapter() {
    let mut engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        desk.ask(now, &rule, &ask(request, adapter), &mut lanes);
    }
    carry_out(&mut desk, &mut engine, now);
    let later = now.after(Duration::from_millis(300));
    for request in [1, 2, 3] {
        assert!(!desk.release(later, &release(request, None, false)));
    }
    let reply = desk.ask(later, &rule, &ask(4, "a4"), &mut lanes);
    assert_matches!(
        reply,
        GrantReply::Declined {
            reason: DeclineReason::NoPlace,
            ..
        }
    );
}

/// Regression: a place was given up after a 421 while its adapter was still on the way.
#[test]
fn a_late_adapter_keeps_its_place() {
    let mut engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        desk.ask(now, &rule, &ask(request, adapter), &mut lanes);
    }
    carry_out(&mut desk, &mut engine, now);
    let later = now.after(Duration::from_millis(800));
    assert!(desk.release(later, &release(1, None, true)));
    desk.ask(later, &rule, &ask(4, "a4"), &mut lanes);
    carry_out(&mut desk, &mut engine, later);
    assert_eq!(engine.overfilled, None);
}

/// Regression: weights were ordered twice when the right came while an order waited.
#[test]
fn weights_are_ordered_once() {
    let mut engine = FakeEngine::new(3);
    engine.lose_model();
    let rule = engine_rule(3);
    let start = ClockTime::from_millis(1_000);
    let mut desk = ServerScheduler::new(start, LEASE, &rule, &engine.report().models);
    desk.observe(start, Some(&engine.report()));
    desk.want_model(start, &rule, true);
    let later = start.after(LEASE + Duration::from_millis(500));
    desk.observe(later, Some(&engine.report()));
    desk.want_model(later, &rule, true);
    let orders = carry_out(&mut desk, &mut engine, later);
    desk.want_model(later, &rule, true);
    let again = carry_out(&mut desk, &mut engine, later);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].action, OrderAction::LoadModel);
    assert_eq!(again, Vec::new());
}

/// Regression: tokens grew with refused orders, so that a later holder was lower.
#[test]
fn a_refused_order_does_not_raise_the_token() {
    let engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    desk.ask(now, &rule, &ask(1, "a1"), &mut lanes);
    let first = desk.next_order(now, &rule, 7).unwrap();
    desk.order_ended(now, ServerOrderOutcome::Conflict);
    let later = now.after(Duration::from_millis(500));
    desk.observe(later, Some(&engine.report()));
    desk.ask(later, &rule, &ask(2, "a2"), &mut lanes);
    let second = desk.next_order(later, &rule, 7).unwrap();
    // The count leads the token; the time of day in its low bits does not matter here.
    assert_eq!(
        second.fence >> FENCE_TIME_BITS,
        first.fence >> FENCE_TIME_BITS
    );
}

/// Regression: the victim of a load that waits for its turn was asked for again, and dropped.
#[test]
fn an_adapter_asked_for_again_is_no_victim() {
    let mut engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(1);
    let mut time = now;
    for (request, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        desk.ask(time, &rule, &ask(request, adapter), &mut lanes);
        carry_out(&mut desk, &mut engine, time);
        time = time.after(Duration::from_millis(300));
        engine.advance(time);
        desk.release(
            time,
            &release(request, Some(Duration::from_millis(50)), false),
        );
    }
    // The second load waits for the first one's turn; its victim would be a2.
    desk.ask(time, &rule, &ask(4, "a4"), &mut lanes);
    carry_out(&mut desk, &mut engine, time);
    desk.ask(time, &rule, &ask(5, "a5"), &mut lanes);
    carry_out(&mut desk, &mut engine, time);
    let reply = desk.ask(time, &rule, &ask(6, "a2"), &mut lanes);
    assert_matches!(reply, GrantReply::Granted { wait, .. } if wait.is_zero());
    let turn = time.after(Duration::from_millis(290));
    engine.advance(turn);
    carry_out(&mut desk, &mut engine, turn);
    assert!(engine.holds("a2"));
    assert_eq!(engine.overfilled, None);
}

/// A newer version replaces the one in place; nothing is granted on the old one meanwhile.
#[test]
fn a_newer_version_is_loaded_before_it_is_granted() {
    let mut engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    desk.ask(now, &rule, &ask(1, "a1"), &mut lanes);
    carry_out(&mut desk, &mut engine, now);
    let later = now.after(Duration::from_millis(400));
    engine.advance(later);
    desk.release(later, &release(1, Some(Duration::from_millis(40)), false));
    let mut newer = ask(2, "a1");
    newer.version = 2;
    let reply = desk.ask(later, &rule, &newer, &mut lanes);
    assert_matches!(reply, GrantReply::Granted { wait, .. } if !wait.is_zero());
    let order = desk.next_order(later, &rule, 7).unwrap();
    assert_matches!(order.action, OrderAction::LoadAdapter { version: 2, .. });
}

/// Requests, releases, lost answers and reports in any order never overfill the server, drop an
/// adapter in use or lower the token of an accepted order.
#[test]
fn no_schedule_overfills_the_server() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut engine = FakeEngine::new(3);
        let (mut desk, start) = active_desk(&engine);
        let rule = engine_rule(3);
        let mut lanes = lanes(3);
        let mut now = start;
        let mut running: BTreeMap<u64, (String, ClockTime)> = BTreeMap::new();
        for request in 0..400 {
            now = now.after(Duration::from_millis(random.random_range(1..120)));
            engine.advance(now);
            let adapter = format!("a{}", random.random_range(0..9));
            let reply = desk.ask(now, &rule, &ask(request, &adapter), &mut lanes);
            if let GrantReply::Granted { wait, .. } = reply {
                running.insert(request, (adapter, now.after(wait)));
            }
            give_orders(&mut desk, &mut engine, now, &mut random);
            end_some(&mut desk, &mut engine, now, &mut running, &mut random);
            if desk.right().read_at().is_some_and(|time| time <= now) && random.random_bool(0.5) {
                let report = (!random.random_bool(0.1)).then(|| engine.lagging_report(now));
                desk.observe(now, report.as_ref());
            }
            assert_eq!(engine.overfilled, None, "seed {seed}");
            assert_eq!(engine.fence_regression, None, "seed {seed}");
            assert_eq!(engine.dropped_in_use, None, "seed {seed}");
        }
    }
}

fn give_orders(
    desk: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
    random: &mut ChaCha8Rng,
) {
    while let Some(order) = desk.next_order(now, &engine_rule(3), unix_millis(now)) {
        let outcome = engine.order(now, &order);
        let outcome = if random.random_bool(0.03) {
            ServerOrderOutcome::Lost
        } else {
            outcome
        };
        desk.order_ended(now, outcome);
    }
}

fn end_some(
    desk: &mut ServerScheduler,
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
        desk.release(now, &release(request, first, !holds));
    }
}

/// Prompts that are read one after another do not pile up behind a request that would go elsewhere.
#[test]
fn a_busy_server_declines_requests_that_would_not_wait() {
    let engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    let long = |request, patience_ms| GrantRequest {
        prompt_tokens: 9_000,
        max_wait: Duration::from_millis(patience_ms),
        ..ask(request, "a1")
    };
    assert_matches!(
        desk.ask(now, &rule, &long(1, 0), &mut lanes),
        GrantReply::Granted { .. }
    );
    let backlog = desk.backlog(now);
    let declined = desk.ask(now, &rule, &long(2, 100), &mut lanes);
    assert_eq!(
        declined,
        GrantReply::Declined {
            reason: DeclineReason::Busy,
            backlog
        }
    );
    // Nothing is kept for a request that was declined.
    assert_eq!(desk.backlog(now), backlog);
    assert_matches!(
        desk.ask(now, &rule, &long(2, 2_000), &mut lanes),
        GrantReply::Granted { wait, .. } if wait >= backlog
    );
    // A short prompt is read between the pieces of a long one.
    assert_matches!(
        desk.ask(
            now,
            &rule,
            &GrantRequest {
                max_wait: Duration::ZERO,
                ..ask(3, "a1")
            },
            &mut lanes
        ),
        GrantReply::Granted { .. }
    );
}

/// Time until the last of `loads` new adapters, asked for in turn at two servers, is in place.
fn last_turn(lanes: &mut LoadLimiter, loads: u64) -> Option<Duration> {
    let engine = FakeEngine::new(3);
    let rule = engine_rule(16);
    let (mut first, now) = active_desk(&engine);
    let (mut second, _) = active_desk(&engine);
    lanes.resize(2);
    let mut last = None;
    for request in 0..loads {
        let desk = if request % 2 == 0 {
            &mut first
        } else {
            &mut second
        };
        last = match desk.ask(now, &rule, &ask(request, &format!("a{request}")), lanes) {
            GrantReply::Granted { wait, .. } => Some(wait),
            GrantReply::Declined { .. } => None,
        };
    }
    last
}

/// Loads that were late are followed by fewer at once, with pauses below one for each instance.
#[test]
fn late_loads_make_way_for_fewer() {
    let untroubled = last_turn(&mut LoadLimiter::new(1.0), 2);
    assert_eq!(untroubled, Some(Duration::from_millis(262)));
    let mut lanes = LoadLimiter::new(1.0);
    for late in 0..20 {
        lanes.note_late(ClockTime::from_millis(late * 400));
    }
    assert_eq!(last_turn(&mut lanes, 2), None);
}

/// Loads that are late together count once.
#[test]
fn one_slow_moment_of_the_store_is_one_cut() {
    let mut lanes = LoadLimiter::new(1.0);
    for _ in 0..20 {
        lanes.note_late(ClockTime::from_millis(400));
    }
    assert_eq!(last_turn(&mut lanes, 2), Some(Duration::from_millis(262)));
}

/// What a server tells with a first event, long before the stream ends, moves the turns of prompts.
#[test]
fn a_first_event_corrects_the_backlog() {
    let engine = FakeEngine::new(3);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    let long = |request| GrantRequest {
        prompt_tokens: 9_000,
        adapter: None,
        ..ask(request, "a1")
    };
    desk.ask(now, &rule, &long(1), &mut lanes);
    desk.ask(now, &rule, &long(2), &mut lanes);
    let expected = desk.backlog(now);
    // The first prompt is read for half of that, before its first event.
    let first_event = GrantRelease {
        ended: false,
        ..release(1, Some(expected.mul_f64(0.8)), false)
    };
    desk.release(now, &first_event);
    let corrected = desk.backlog(now);
    assert!(
        corrected > expected + Duration::from_millis(100),
        "{corrected:?}"
    );
    desk.release(now, &first_event);
    assert_eq!(desk.backlog(now), corrected);
}

/// An adapter counts as on its way until its first request has its first event, not its last.
#[test]
fn long_streams_do_not_hold_up_loads() {
    let mut engine = FakeEngine::new(6);
    let (mut desk, now) = active_desk(&engine);
    let rule = engine_rule(6);
    let mut lanes = lanes(8);
    for request in 1..=4 {
        desk.ask(
            now,
            &rule,
            &ask(request, &format!("a{request}")),
            &mut lanes,
        );
        carry_out(&mut desk, &mut engine, now);
    }
    let later = now.after(Duration::from_millis(400));
    engine.advance(later);
    for request in 1..=4 {
        desk.release(
            later,
            &GrantRelease {
                ended: false,
                ..release(request, Some(Duration::from_millis(60)), false)
            },
        );
    }
    assert_matches!(
        desk.ask(later, &rule, &ask(5, "a5"), &mut lanes),
        GrantReply::Granted { .. }
    );
}

/// Long prompts take longer than their length in tokens says; what is planned for them follows.
#[test]
fn the_time_to_read_follows_what_was_measured() {
    let engine = FakeEngine::new(3);
    let (mut desk, mut now) = active_desk(&engine);
    let rule = engine_rule(3);
    let mut lanes = lanes(8);
    // Milliseconds that such a server takes, with attention to all earlier tokens.
    let truth = |tokens: u64| {
        let tokens = tokens as f64;
        tokens / 50.0 + tokens * tokens / 2.0 * 1e-6
    };
    let mut request = 0;
    let mut plan = |desk: &mut ServerScheduler, now: ClockTime, tokens: u64| {
        request += 1;
        let long = GrantRequest {
            prompt_tokens: tokens,
            adapter: None,
            ..ask(request, "a1")
        };
        desk.ask(now, &rule, &long, &mut lanes);
        let backlog = desk.backlog(now);
        let first = Duration::from_secs_f64(truth(tokens) / 1_000.0) + Duration::from_millis(30);
        desk.release(now, &release(request, Some(first), false));
        backlog.as_secs_f64() * 1_000.0
    };
    for round in 0..60 {
        now = now.after(Duration::from_millis(2_000));
        plan(&mut desk, now, 3_000 + 400 * (round * 7 % 30));
    }
    for tokens in [4_000, 9_000, 20_000] {
        now = now.after(Duration::from_millis(5_000));
        let planned = plan(&mut desk, now, tokens);
        let error = (planned / truth(tokens) - 1.0).abs();
        assert!(error < 0.15, "{tokens} tokens: {planned} ms");
    }
}
