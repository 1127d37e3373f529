//! Numbers that a caller or a server chose, up to the largest, have no effect beyond their request.

mod gateway;

use std::time::Duration;

use assert_matches::assert_matches;
use gateway::engine::{FakeEngine, LEASE, engine_config, grant_request};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::ServerRecord,
        plain_choice::{PlainCandidate, PlainLoad, choose_candidate},
        server_scheduler::{DeclineReason, GrantReply, GrantRequest, LoadLimiter, ServerScheduler},
        servers::{GatewayServers, ServerLoad},
    },
};

fn prompt_request(request: u64, prompt_tokens: u64, output_tokens: u64) -> GrantRequest {
    GrantRequest {
        adapter: None,
        prompt_tokens,
        output_tokens,
        ..grant_request(request, "")
    }
}

/// Regression test: the prefill time of a prompt whose tokens a caller had counted as 2^64 - 1 exceeded
/// the range of a duration, which ended the process of the server's scheduler.
#[test]
fn a_prompt_that_no_server_holds_is_declined() {
    let config = engine_config(3);
    let now = ClockTime::from_millis(1_000);
    let models = FakeEngine::new(3).report().models;
    let mut scheduler = ServerScheduler::new(now, LEASE, &config, &models);
    let mut limiter = LoadLimiter::new(1.0);
    let mut replies = Vec::new();
    let counts = [
        (u64::MAX, u64::MAX),
        (u64::MAX, 0),
        (1 << 40, 1),
        (config.cache_tokens + 1, 0),
    ];
    for (number, (prompt, output)) in counts.into_iter().enumerate() {
        let request = prompt_request(number as u64, prompt, output);
        replies.push(scheduler.decide(now, &config, &request, &mut limiter));
    }
    for reply in replies {
        assert_matches!(
            reply,
            GrantReply::Declined {
                reason: DeclineReason::Full,
                backlog: Duration::ZERO,
                ..
            }
        );
    }
    let request = prompt_request(9, 1_000, u64::MAX);
    let reply = scheduler.decide(now, &config, &request, &mut limiter);
    assert_matches!(reply, GrantReply::Granted { .. });
    let request = prompt_request(10, 1_000, u64::MAX);
    let reply = scheduler.decide(now, &config, &request, &mut limiter);
    assert_matches!(reply, GrantReply::Declined { .. });
}

/// Regression test: the sum of the counts that a server reports about its load exceeded their type.
#[test]
fn a_load_of_any_size_is_compared() {
    let now = ClockTime::from_millis(1_000);
    let mut servers = GatewayServers::default();
    let record = ServerRecord {
        id: "s-1".into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc".into(),
        slots: u32::MAX,
        draining: false,
        cold_for: Duration::ZERO,
        sequence: 0,
        started: u64::MAX,
        models: Vec::new(),
    };
    let (key, _) = servers.apply_record(now, record);
    let load = ServerLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: Some(0),
        pace: Some(u32::MAX),
    };
    servers.record_load(now, key, load);
    let candidate = |load, slots| PlainCandidate {
        load,
        slots,
        in_flight: u32::MAX,
        is_local: true,
        failure_share: 0.0,
    };
    let unknown = PlainLoad::default();
    let service = servers.service_load("desk");
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for (slots, least) in [(0, 1), (u32::MAX, 0)] {
        let reported = candidate(&servers.get(key).load, slots);
        let candidates = [reported, candidate(&unknown, 6)];
        for instances in [0, 1, usize::MAX] {
            let chosen = choose_candidate(now, &candidates, &service, instances, &mut random);
            assert_eq!(chosen, Some(least));
        }
    }
}
