//! Orders to a model server around takeovers, one step at a time.

mod gateway;

use std::time::Duration;

use gateway::engine::{FakeEngine, LEASE, engine_config, grant_request};
use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::server_scheduler::{
        FENCE_TIME_BITS, LoadLimiter, OrderAction, ServerOrder, ServerOrderOutcome, ServerScheduler,
    },
};

const ADAPTER_SLOTS: usize = 1;
const UNIX_MILLIS: u64 = 1_770_000_000_000;

fn request_adapter(scheduler: &mut ServerScheduler, now: ClockTime, request: u64, adapter: &str) {
    let mut load_limiter = LoadLimiter::new(1.0);
    load_limiter.set_server_count(8);
    let request = grant_request(request, adapter);
    let config = engine_config(ADAPTER_SLOTS);
    scheduler.decide(now, &config, &request, &mut load_limiter);
}

fn order_of_other_instance(action: OrderAction, expected: u64) -> ServerOrder {
    ServerOrder {
        action,
        model: "base".into(),
        expected,
        fence: (expected + 1) << FENCE_TIME_BITS,
    }
}

/// Regression test: two instances that both held the lease unloaded the same adapter. The server did not
/// count the second unload, but its sender did, and so took the first one for its own and went on
/// within the lease time of the other.
#[test]
fn an_uncounted_unload_does_not_account_for_an_order_of_another_instance() {
    let config = engine_config(ADAPTER_SLOTS);
    let mut engine = FakeEngine::new(ADAPTER_SLOTS);
    let start = ClockTime::from_millis(1_000);
    let load = |adapter: &str| OrderAction::LoadAdapter {
        adapter: adapter.into(),
        version: 0,
    };
    engine.order(start, &order_of_other_instance(load("a1"), 0));
    let begin = start.after(Duration::from_millis(1_000));
    engine.advance(begin);
    let mut scheduler = ServerScheduler::new(begin, LEASE, &config, &engine.report().models);
    scheduler.observe_report(begin, Some(&engine.report()));
    let active = begin.after(LEASE + Duration::from_millis(500));
    scheduler.observe_report(active, Some(&engine.report()));
    assert!(scheduler.is_active());
    // The other instance acquires the lease while this one gives no order.
    let (own, other) = (SmolStr::new("a-1"), SmolStr::new("b-1"));
    let taken_over = active.after(LEASE + Duration::from_millis(500));
    let unload = OrderAction::UnloadAdapter {
        adapter: "a1".into(),
    };
    let other_order = order_of_other_instance(unload.clone(), 1);
    let outcome = engine.order_from(taken_over, &other, &other_order);
    assert_eq!(outcome, ServerOrderOutcome::Done);
    let now = taken_over.after(Duration::from_millis(20));
    request_adapter(&mut scheduler, now, 1, "a2");
    let first = scheduler
        .next_order(now, &config, UNIX_MILLIS)
        .expect("an order");
    assert_eq!(first.action, unload);
    scheduler.order_ended(now, engine.order_from(now, &own, &first));
    let second = scheduler.next_order(now, &config, UNIX_MILLIS);
    let outcome = second.map(|order| engine.order_from(now, &own, &order));
    assert_ne!(outcome, Some(ServerOrderOutcome::Accepted));
}

/// Reads the reports that acquire the lease of a server, and returns the time at which it is held.
fn acquire_lease(
    scheduler: &mut ServerScheduler,
    engine: &FakeEngine,
    start: ClockTime,
) -> ClockTime {
    let mut now = start;
    for _ in 0..2 {
        now = now.after(LEASE + Duration::from_millis(500));
        assert!(scheduler.begin_report_read(now));
        scheduler.observe_report(now, Some(&engine.report()));
    }
    assert!(scheduler.is_active());
    now
}

/// Has `scheduler` order an adapter at `now`, and returns the token of the order.
fn order_adapter(
    scheduler: &mut ServerScheduler,
    engine: &mut FakeEngine,
    now: ClockTime,
    adapter: &str,
) -> u64 {
    let config = engine_config(ADAPTER_SLOTS);
    request_adapter(scheduler, now, 1, adapter);
    let order = scheduler
        .next_order(now, &config, UNIX_MILLIS)
        .expect("an order");
    scheduler.order_ended(now, engine.order(now, &order));
    order.fence
}

/// Regression test: an instance that had not given any order to a server kept the high token of the
/// server's process before for its new one. Its tokens are those of an instance that knows nothing of
/// the process before.
#[test]
fn tokens_of_a_process_that_got_no_order_are_forgotten_after_its_restart() {
    let config = engine_config(ADAPTER_SLOTS);
    let mut engine = FakeEngine::new(ADAPTER_SLOTS);
    let start = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    let high_token = 1_000 << FENCE_TIME_BITS;
    scheduler.raise_fence(high_token);
    // As in the gateway, the first report is requested at the time at which the server is claimed.
    assert!(scheduler.begin_report_read(start));
    scheduler.observe_report(start, Some(&engine.report()));
    for _ in 0..16 {
        engine.restart();
    }
    let active = acquire_lease(&mut scheduler, &engine, start);
    let models = engine.report().models;
    let mut other = ServerScheduler::new(start, LEASE, &config, &models);
    let token = order_adapter(&mut scheduler, &mut engine, active, "a1");
    let mut same_engine = FakeEngine::new(ADAPTER_SLOTS);
    same_engine.started = engine.started;
    let active = acquire_lease(&mut other, &same_engine, start);
    let expected = order_adapter(&mut other, &mut same_engine, active, "a1");
    assert!(token > high_token, "{token} is not higher");
    assert_eq!(token, expected);
}

/// Regression test: after a restart of the server under its id, an instance went on with the tokens of
/// the process before. All instances were killed, and the next tokens came from the count of the new
/// process alone and were lower.
#[test]
fn tokens_increase_after_a_restart_of_the_server_and_of_all_instances() {
    let config = engine_config(ADAPTER_SLOTS);
    let mut engine = FakeEngine::new(ADAPTER_SLOTS);
    let start = ClockTime::from_millis(1_000);
    for _ in 0..200 {
        engine.order_by_other_instance(start);
    }
    let mut scheduler = ServerScheduler::new(start, LEASE, &config, &engine.report().models);
    let mut now = acquire_lease(&mut scheduler, &engine, start);
    let mut tokens = vec![order_adapter(&mut scheduler, &mut engine, now, "a1")];
    engine.restart();
    now = now.after(Duration::from_secs(3));
    scheduler.check_slots(now);
    now = now.after(Duration::from_secs(1));
    assert!(scheduler.begin_report_read(now));
    scheduler.observe_report(now, Some(&engine.report()));
    tokens.push(order_adapter(&mut scheduler, &mut engine, now, "a2"));
    now = now.after(Duration::from_secs(2));
    engine.advance(now);
    let mut next = ServerScheduler::new(now, LEASE, &config, &engine.report().models);
    now = acquire_lease(&mut next, &engine, now);
    tokens.push(order_adapter(&mut next, &mut engine, now, "a3"));
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
}

/// Regression test: an instance learned of a restart from a report and gave orders to the new process.
/// When the store told of the same restart, it forgot their token and went on with lower ones.
#[test]
fn tokens_of_the_new_process_are_kept_when_the_store_tells_of_it() {
    let config = engine_config(ADAPTER_SLOTS);
    let mut engine = FakeEngine::new(ADAPTER_SLOTS);
    let lease = LEASE + Duration::from_millis(500);
    let mut now = ClockTime::from_millis(1_000);
    let mut scheduler = ServerScheduler::new(now, LEASE, &config, &engine.report().models);
    let read_report = |scheduler: &mut ServerScheduler, engine: &FakeEngine, now| {
        assert!(scheduler.begin_report_read(now));
        scheduler.observe_report(now, Some(&engine.report()));
    };
    read_report(&mut scheduler, &engine, now);
    engine.restart();
    for _ in 0..2 {
        now = now.after(lease);
        read_report(&mut scheduler, &engine, now);
    }
    // The gateway raises the token to that of the process before until the store tells of the restart.
    scheduler.raise_fence(1_000 << FENCE_TIME_BITS);
    request_adapter(&mut scheduler, now, 1, "a1");
    let first = scheduler
        .next_order(now, &config, UNIX_MILLIS)
        .expect("an order");
    scheduler.order_ended(now, engine.order(now, &first));
    now = now.after(Duration::from_secs(2));
    engine.advance(now);
    scheduler.check_slots(now);
    now = now.after(Duration::from_secs(1));
    read_report(&mut scheduler, &engine, now);
    scheduler.server_restarted(now, engine.started, &engine.report().models);
    for _ in 0..2 {
        read_report(&mut scheduler, &engine, now);
        now = now.after(lease);
    }
    request_adapter(&mut scheduler, now, 2, "a2");
    let second = scheduler
        .next_order(now, &config, UNIX_MILLIS)
        .expect("an order");
    assert!(second.fence >= first.fence, "{second:?} after {first:?}");
}
