//! One instance and single requests: retries, correct refusals and retry budgets.

mod gateway;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use assert_matches::assert_matches;
use gateway::{
    desk::{server, serving_config},
    instance::{InstanceHarness, dispatched, refused, refused_kind},
};
use insta::assert_debug_snapshot;
use wasabistall_lib::{
    error::ErrorKind,
    gateway::{
        availability::{RetryAfter, ServerNotice},
        catalog::{PublishedItem, QuotaUnit},
        event::{
            AttemptEnd, AttemptStats, GatewayEffect, GatewayEvent, GatewayRequest, RequestNumber,
        },
    },
    key::KeyDigest,
};

#[test]
fn a_request_that_may_run_once_is_sent_once() {
    for end in [AttemptEnd::Broken, AttemptEnd::Silent] {
        let mut harness = InstanceHarness::new(3);
        assert!(dispatched(&harness.request("/once/x")).is_some());
        let effects = harness.end(end);
        assert_eq!(dispatched(&effects), None);
        assert_eq!(refused_kind(&effects), Some(ErrorKind::ServerLost));
    }
}

#[test]
fn a_rejected_request_goes_to_another_server() {
    for end in [
        AttemptEnd::NotConnected,
        AttemptEnd::Rejected { misdirected: true },
    ] {
        let mut harness = InstanceHarness::new(3);
        let effects = harness.request("/once/x");
        let first = dispatched(&effects).unwrap().server;
        let effects = harness.end(end);
        let second = dispatched(&effects).unwrap().server;
        assert_ne!(first, second);
    }
}

#[test]
fn an_idempotent_request_runs_at_most_as_often_as_its_route_allows() {
    let mut harness = InstanceHarness::new(4);
    harness.request("/safe/x");
    assert!(dispatched(&harness.end(AttemptEnd::Failed)).is_some());
    assert!(dispatched(&harness.end(AttemptEnd::Broken)).is_some());
    let effects = harness.end(AttemptEnd::Broken);
    assert_eq!(dispatched(&effects), None);
    assert_eq!(refused_kind(&effects), Some(ErrorKind::ServerLost));
}

/// A refusal must not claim that a request did not run once a server may have run it, whatever
/// happens afterwards.
#[test]
fn a_request_that_may_have_run_is_never_called_not_run() {
    let mut harness = InstanceHarness::new(2);
    harness.request("/safe/x");
    harness.end(AttemptEnd::Broken);
    harness.end(AttemptEnd::Rejected { misdirected: false });
    let effects = harness.advance(Duration::from_secs(4));
    let kind = refused_kind(&effects).unwrap();
    assert!(
        kind.response().status >= 502 && kind.response().status != 503,
        "{kind:?}"
    );
}

#[test]
fn the_deadline_ends_a_sent_and_an_unsent_request() {
    let mut harness = InstanceHarness::new(1);
    harness.request("/once/x");
    let effects = harness.advance(Duration::from_millis(3_100));
    assert_eq!(refused_kind(&effects), Some(ErrorKind::DeadlineExceeded));
    let mut empty = InstanceHarness::new(0);
    let mut effects = empty.request("/once/x");
    effects.extend(empty.advance(Duration::from_millis(3_100)));
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.kind, ErrorKind::NoServer);
    assert_matches!(refusal.retry_after, Some(_));
}

#[test]
fn a_broken_stream_continues_at_another_server() {
    let mut harness = InstanceHarness::new(3);
    harness.request("/stream/x");
    harness.handle(GatewayEvent::ResponseStarted {
        request: 1,
        first_event: Duration::from_millis(50),
    });
    let effects = harness.end(AttemptEnd::Interrupted);
    assert!(dispatched(&effects).is_some());
}

#[test]
fn keys_and_routes_follow_the_current_configuration() {
    let mut harness = InstanceHarness::new(1);
    let kinds = [
        refused_kind(&harness.request_with("/once/x", None, 1)),
        refused_kind(&harness.request_with("/once/x", Some(b"wrong"), 1)),
        refused_kind(&harness.request("/nowhere/x")),
    ];
    assert_eq!(
        kinds,
        [
            Some(ErrorKind::MissingKey),
            Some(ErrorKind::InvalidKey),
            Some(ErrorKind::UnknownRoute),
        ]
    );
    harness.publish(
        "op/config",
        PublishedItem::Config(Arc::new(serving_config(2, &[b"new"]))),
    );
    assert_eq!(
        refused_kind(&harness.request("/once/x")),
        Some(ErrorKind::InvalidKey)
    );
    let effects = harness.request_with("/once/x", Some(b"new"), 1);
    assert!(dispatched(&effects).is_some());
}

/// A waiting request is refused when its key is withdrawn.
#[test]
fn a_waiting_request_is_refused_when_its_key_is_withdrawn() {
    let mut harness = InstanceHarness::new(0);
    harness.request("/once/x");
    let effects = harness.publish(
        "op/config",
        PublishedItem::Config(Arc::new(serving_config(2, &[b"new"]))),
    );
    assert_eq!(refused_kind(&effects), Some(ErrorKind::KeyWithdrawn));
}

#[test]
fn a_draining_server_gets_no_more_requests() {
    let mut harness = InstanceHarness::new(2);
    harness.publish("servers/s-1", PublishedItem::Server(server(1, true)));
    for _ in 0..20 {
        let effects = harness.request("/once/x");
        assert_eq!(dispatched(&effects).unwrap().id, "s-2");
        harness.end(AttemptEnd::Completed { success: true });
    }
}

#[test]
fn an_evacuated_data_centre_gets_no_requests() {
    let mut harness = InstanceHarness::new(2);
    let out = PublishedItem::Evacuation("dc-2".into());
    harness.publish("op/evacuate/dc-2", out);
    for _ in 0..20 {
        let effects = harness.request("/once/x");
        assert_eq!(dispatched(&effects).unwrap().id, "s-1");
        harness.end(AttemptEnd::Completed { success: true });
    }
}

/// Retries stay within the ratio and this instance's share of the slack.
#[test]
fn retries_stay_within_the_budget() {
    let mut harness = InstanceHarness::new(8);
    let mut sends = 0;
    for _ in 0..100 {
        sends += usize::from(dispatched(&harness.request("/safe/x")).is_some());
        for _ in 0..4 {
            let effects = harness.end(AttemptEnd::Rejected { misdirected: false });
            sends += usize::from(dispatched(&effects).is_some());
        }
        harness.advance(Duration::from_millis(40));
    }
    let retries = sends - 100;
    assert!(retries as f64 <= 0.2 * 100.0 + 8.0, "{retries} retries");
    assert!(retries > 10, "{retries} retries");
}

/// A request that crashed two servers is refused immediately, as not run.
#[test]
fn a_request_that_crashes_servers_is_recognised_by_its_content() {
    let mut harness = InstanceHarness::new(6);
    for _ in 0..2 {
        let effects = harness.request_with("/safe/poison", Some(b"key"), 99);
        let id = dispatched(&effects).unwrap().id.clone();
        harness.end(AttemptEnd::Broken);
        let mut record = server(1, false);
        record.id.clone_from(&id);
        record.started = 1_000 + harness.number;
        let index: u8 = id.trim_start_matches("s-").parse().unwrap();
        record.address = format!("10.0.0.{index}:80").parse().unwrap();
        harness.publish(&format!("servers/{id}"), PublishedItem::Server(record));
    }
    let effects = harness.request_with("/safe/poison", Some(b"key"), 99);
    assert_eq!(refused_kind(&effects), Some(ErrorKind::NoServer));
    assert!(dispatched(&harness.request_with("/safe/other", Some(b"key"), 98)).is_some());
}

#[test]
fn an_instance_shutting_down_refuses_what_it_could_not_complete() {
    let mut harness = InstanceHarness::new(1);
    harness.handle(GatewayEvent::ShutdownRequested);
    assert!(dispatched(&harness.request("/stream/x")).is_some());
    harness.end(AttemptEnd::Completed { success: true });
    harness.advance(Duration::from_millis(3_000));
    assert_eq!(
        refused_kind(&harness.request("/stream/x")),
        Some(ErrorKind::ShuttingDown)
    );
    assert!(dispatched(&harness.request("/once/x")).is_some());
}

/// The capacity of a cold server is divided among the instances that may be running, and this one
/// uses only its share.
#[test]
fn a_cold_server_gets_this_instances_share_of_its_capacity() {
    let mut harness = InstanceHarness::new(0);
    let mut config = serving_config(2, &[b"key"]);
    config.services[0].cold_rate = 6.9;
    harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
    let mut record = server(1, false);
    record.cold_for = Duration::from_secs(3);
    harness.publish("servers/s-1", PublishedItem::Server(record));
    let mut in_first_second = 0;
    for _ in 0..50 {
        let effects = harness.request("/once/x");
        in_first_second += usize::from(dispatched(&effects).is_some());
        harness.end(AttemptEnd::Completed { success: true });
        harness.advance(Duration::from_millis(20));
    }
    // (6.9 x 1.5 + 5) for two instances, the minimum set in the options.
    assert_eq!(in_first_second, 7);
}

/// Servers of a data centre that returns from an evacuation may be cold even if they report
/// otherwise.
#[test]
fn servers_of_a_returned_data_centre_count_as_cold() {
    let mut harness = InstanceHarness::new(1);
    let mut config = serving_config(2, &[b"key"]);
    config.services[0].cold_rate = 6.9;
    harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
    harness.publish("op/evacuate/dc-1", PublishedItem::Evacuation("dc-1".into()));
    assert_eq!(dispatched(&harness.request("/once/x")), None);
    harness.remove("op/evacuate/dc-1");
    let mut sent = 0;
    for _ in 0..20 {
        sent += usize::from(dispatched(&harness.request("/once/x")).is_some());
        harness.end(AttemptEnd::Completed { success: true });
    }
    assert_eq!(sent, 7);
}

/// Regression test: the cost of a request whose tokens its caller had counted as 2^64 - 1 each exceeded
/// its type.
#[test]
fn token_counts_of_any_size_are_charged() {
    let mut harness = InstanceHarness::new(1);
    let mut config = serving_config(2, &[b"key"]);
    config.teams[0].unit = QuotaUnit::Tokens;
    harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
    let effects = harness.handle(GatewayEvent::RequestArrived(GatewayRequest {
        number: 1,
        attempt: "id".into(),
        host: "host".into(),
        path: "/once/x".into(),
        key: Some(KeyDigest::of(b"key")),
        model: None,
        tokens: Some((u64::MAX, u64::MAX)),
        prompt_parts: Vec::new(),
        deadline: Some(Duration::MAX),
        content_hash: 1,
    }));
    assert!(dispatched(&effects).is_some());
}

impl InstanceHarness {
    /// Passes on an answer of the process of `s-1` that started at `started`, in which it announces
    /// that it leaves.
    fn announce_leaving(&mut self, started: u64) -> Vec<GatewayEffect> {
        let effects = self.request("/once/x");
        let mut server =
            dispatched(&effects).map(|dispatch| (dispatch.id.clone(), dispatch.server));
        while server.as_ref().is_some_and(|(id, _)| id != "s-1") {
            self.end(AttemptEnd::Completed { success: true });
            let effects = self.request("/once/x");
            server = dispatched(&effects).map(|dispatch| (dispatch.id.clone(), dispatch.server));
        }
        let (_, server) = server.expect("a request that went to the server");
        let mut effects = self.handle(GatewayEvent::ServerNoticed {
            server,
            started,
            notice: ServerNotice {
                is_leaving: true,
                retry_after: None,
            },
        });
        effects.extend(self.end(AttemptEnd::Completed { success: true }));
        effects
    }

    /// Servers to which 20 requests go.
    fn used_servers(&mut self) -> String {
        let mut used = BTreeSet::new();
        for _ in 0..20 {
            let effects = self.request("/once/x");
            used.extend(dispatched(&effects).map(|dispatch| dispatch.id.to_string()));
            self.end(AttemptEnd::Completed { success: true });
        }
        used.into_iter().collect::<Vec<String>>().join(" ")
    }
}

/// A server that announced in an answer that it leaves got requests for as long as the store listed
/// it as ready.
#[test]
fn a_server_that_announces_its_leaving_gets_no_more_requests() {
    let mut harness = InstanceHarness::new(2);
    harness.announce_leaving(1);
    let mut used = vec![("announced", harness.used_servers())];
    harness.publish("servers/s-1", PublishedItem::Server(server(1, false)));
    used.push(("published as ready", harness.used_servers()));
    harness.remove("servers/s-1");
    harness.publish("servers/s-1", PublishedItem::Server(server(1, false)));
    used.push(("listed again", harness.used_servers()));
    harness.now = harness.now.after(Duration::from_secs(30));
    used.push(("after a pause", harness.used_servers()));
    let mut restarted = server(1, false);
    restarted.started = 2;
    harness.publish("servers/s-1", PublishedItem::Server(restarted));
    used.push(("another process", harness.used_servers()));
    assert_debug_snapshot!(used, @r#"
    [
        (
            "announced",
            "s-2",
        ),
        (
            "published as ready",
            "s-2",
        ),
        (
            "listed again",
            "s-2",
        ),
        (
            "after a pause",
            "s-2",
        ),
        (
            "another process",
            "s-1 s-2",
        ),
    ]
    "#);
}

/// An answer of an earlier process must not shut out its successor.
#[test]
fn an_announcement_of_an_earlier_process_is_ignored() {
    let mut harness = InstanceHarness::new(1);
    let mut restarted = server(1, false);
    restarted.started = 2;
    harness.publish("servers/s-1", PublishedItem::Server(restarted));
    harness.announce_leaving(1);
    assert_eq!(harness.used_servers(), "s-1");
}

/// Requests waited for half of their objective, or a quarter of their timeout, although no server
/// was going to take them.
#[test]
fn requests_are_refused_at_once_when_all_servers_leave() {
    let mut harness = InstanceHarness::new(1);
    harness.announce_leaving(1);
    let refusal = refused(&harness.request("/safe/x")).expect("a refusal");
    assert_eq!(refusal.kind, ErrorKind::NoServer);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
}

impl InstanceHarness {
    /// Has `s-1` turn the newest request away, if it was sent there.
    fn turn_away(&mut self, effects: &[GatewayEffect], after: RetryAfter) -> Vec<GatewayEffect> {
        let dispatch = dispatched(effects).filter(|dispatch| dispatch.id == "s-1");
        let dispatch = dispatch.expect("a request that went to the server");
        let mut effects = self.handle(GatewayEvent::ServerNoticed {
            server: dispatch.server,
            started: dispatch.started,
            notice: ServerNotice {
                is_leaving: false,
                retry_after: Some(after),
            },
        });
        effects.extend(self.end(AttemptEnd::Rejected { misdirected: false }));
        effects
    }

    /// Time until `s-1`, which is the only server, gets a request again, and which one; requests come
    /// every 20 ms.
    fn time_until_used(&mut self) -> (Duration, RequestNumber) {
        let start = self.now;
        loop {
            let mut effects = self.request("/once/x");
            if dispatched(&effects).is_none() {
                effects = self.advance(Duration::from_millis(20));
            }
            if let Some(dispatch) = dispatched(&effects) {
                return (self.now.since(start), dispatch.request);
            }
        }
    }
}

/// Requests went on to a server that had turned some away for a time, in first attempts and retries.
#[test]
fn a_server_that_turns_requests_away_gets_none_before_its_time() {
    let mut harness = InstanceHarness::new(2);
    let mut effects = harness.request("/once/x");
    while dispatched(&effects).expect("a server").id != "s-1" {
        harness.end(AttemptEnd::Completed { success: true });
        effects = harness.request("/once/x");
    }
    let time = Duration::from_secs(2);
    let effects = harness.turn_away(&effects, RetryAfter::Time(time));
    assert_eq!(dispatched(&effects).expect("another server").id, "s-2");
    harness.end(AttemptEnd::Completed { success: true });
    let end = harness.now.after(time);
    let mut used = BTreeSet::new();
    while harness.now < end {
        used.insert(harness.used_servers());
        harness.advance(Duration::from_millis(100));
    }
    assert_eq!(used, BTreeSet::from(["s-2".into()]));
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.used_servers(), "s-1 s-2");
}

/// When the time ended, all requests that had waited came back at once.
#[test]
fn requests_to_a_server_grow_from_one_after_its_time() {
    let mut harness = InstanceHarness::new(1);
    let effects = harness.request("/once/x");
    harness.turn_away(&effects, RetryAfter::Time(Duration::from_secs(2)));
    let (_, first) = harness.time_until_used();
    let mut sent = vec![vec![first]];
    // In each round, what the last one sent is answered, and as many requests as may be are sent.
    for _ in 0..4 {
        for request in sent.last().cloned().unwrap_or_default() {
            harness.handle(GatewayEvent::AttemptEnded {
                request,
                end: AttemptEnd::Completed { success: true },
                stats: AttemptStats::default(),
            });
        }
        let mut round = Vec::new();
        for _ in 0..40 {
            let effects = harness.request("/once/x");
            round.extend(dispatched(&effects).map(|dispatch| dispatch.request));
        }
        sent.push(round);
    }
    let counts: Vec<usize> = sent.iter().map(Vec::len).collect();
    assert_eq!(counts, [1, 2, 4, 8, 16]);
}

/// A request that no server takes in time was held until its selection deadline, and told to come
/// back after 400 ms.
#[test]
fn requests_are_refused_with_the_time_when_all_servers_turn_them_away() {
    let mut harness = InstanceHarness::new(1);
    let effects = harness.request("/once/x");
    let effects = harness.turn_away(&effects, RetryAfter::Time(Duration::from_secs(8)));
    let refusal = refused(&effects).expect("a refusal");
    assert_eq!(refusal.kind, ErrorKind::NoServer);
    let time = refusal.retry_after.expect("a time");
    harness.advance(Duration::from_secs(3));
    let later = refused(&harness.request("/once/x")).expect("a refusal");
    assert_eq!(later.retry_after, Some(time - Duration::from_secs(3)));
    harness.advance(time - Duration::from_secs(3));
    assert!(dispatched(&harness.request("/once/x")).is_some());
}

/// A request waits for a server that takes it again before its selection deadline.
#[test]
fn requests_wait_for_a_server_that_takes_them_in_time() {
    let mut harness = InstanceHarness::new(1);
    let effects = harness.request("/once/x");
    let mut effects = harness.turn_away(&effects, RetryAfter::Time(Duration::from_millis(300)));
    assert_eq!(refused(&effects), None);
    effects.extend(harness.advance(Duration::from_millis(500)));
    assert_eq!(dispatched(&effects).expect("the server").id, "s-1");
}

/// A time of days, or one that cannot be read, took a server out for good or not at all.
#[test]
fn the_time_of_a_server_is_bounded() {
    let times = [
        RetryAfter::Time(Duration::ZERO),
        RetryAfter::Time(Duration::from_millis(700)),
        RetryAfter::Time(Duration::from_secs(200_000)),
        RetryAfter::Time(Duration::MAX),
        RetryAfter::Unreadable,
    ];
    let mut bounded = Vec::new();
    for time in times {
        let mut harness = InstanceHarness::new(1);
        let effects = harness.request("/once/x");
        harness.turn_away(&effects, time);
        let (pause, _) = harness.time_until_used();
        bounded.push(format!("{time:?}: {} s", pause.as_secs()));
    }
    assert_debug_snapshot!(bounded, @r#"
    [
        "Time(0ns): 0 s",
        "Time(700ms): 0 s",
        "Time(200000s): 120 s",
        "Time(18446744073709551615.999999999s): 120 s",
        "Unreadable: 1 s",
    ]
    "#);
}

/// The time must not outlive the process that named it.
#[test]
fn a_new_process_of_a_server_that_turned_requests_away_gets_them() {
    let mut harness = InstanceHarness::new(1);
    let effects = harness.request("/once/x");
    harness.turn_away(&effects, RetryAfter::Time(Duration::from_secs(60)));
    assert_eq!(dispatched(&harness.request("/once/x")), None);
    let mut restarted = server(1, false);
    restarted.started = 2;
    harness.publish("servers/s-1", PublishedItem::Server(restarted));
    assert!(dispatched(&harness.request("/once/x")).is_some());
}
