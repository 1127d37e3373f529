//! Reducers connected without a network, in virtual time.
#![allow(dead_code, reason = "each test file uses some of it")]

use std::{sync::Arc, time::Duration};

use wasabistall_lib::{
    clock::ClockTime,
    config::{ConfigPatch, LogEntry},
    event::{CallTarget, CallerRequest, Effect, Event},
    key::HashedKey,
    member::InstanceListing,
    message::{PEER_PROTOCOL, PeerEnvelope},
    reducer::{Reducer, ReducerSettings},
};

/// Plaintext key of the team `elders`.
pub(crate) const ELDERS_KEY: &str = "ws_elders-1_0123456789abcdef";

/// Changes of a small configuration: `instances` instances, one engine and one service.
pub(crate) fn initial_changes(instances: usize) -> serde_json::Value {
    let hashed = HashedKey::parse(ELDERS_KEY).unwrap();
    let mut changes = vec![
        serde_json::json!({ "op": "add_owner", "owner": "sauti" }),
        serde_json::json!({
            "op": "add_region", "region": "dar", "store_loads_per_second": 4, "loads_in_flight": 8,
        }),
        serde_json::json!({ "op": "add_data_centre", "data_centre": "dar-a", "region": "dar" }),
        serde_json::json!({ "op": "add_base", "base": "nyota" }),
        serde_json::json!({
            "op": "add_team", "team": "elders", "owner": "sauti",
            "rate": {
                "tokens_per_second": 1_000, "burst_tokens": 2_000,
                "requests_per_second": 10, "burst_requests": 20,
            },
        }),
        serde_json::json!({
            "op": "grant_key", "key": "elders-1", "team": "elders", "sha256": hashed.digest,
        }),
        serde_json::json!({
            "op": "add_adapter", "adapter": "clans", "base": "nyota", "team": "elders", "version": 1,
        }),
        serde_json::json!({
            "op": "add_service", "service": "booking",
            "calls": [{ "method": "POST", "path": "/confirmations", "idempotent": false }],
        }),
        serde_json::json!({
            "op": "add_server", "server": "engine-1", "data_centre": "dar-a",
            "address": "10.0.1.1:80", "concurrency": 8,
            "role": { "engine": { "base": "nyota", "slots": 2, "enforces_fencing": true } },
        }),
        serde_json::json!({
            "op": "add_server", "server": "booking-1", "data_centre": "dar-a",
            "address": "10.0.2.1:80", "concurrency": 8,
            "role": { "service": { "service": "booking" } },
        }),
    ];
    for number in 1..=instances {
        changes.push(serde_json::json!({
            "op": "add_instance", "instance": format!("i{number}"), "data_centre": "dar-a",
            "caller_address": format!("10.0.0.{number}:80"),
            "peer_address": format!("10.0.0.{number}:81"),
        }));
    }
    serde_json::Value::from(changes)
}

/// A log entry with a patch against version `base`.
pub(crate) fn log_entry(sequence: u64, base: u64, changes: &serde_json::Value) -> LogEntry {
    let patch = serde_json::json!({ "base": base, "author": "test", "changes": changes });
    serde_json::from_value::<ConfigPatch>(patch.clone()).unwrap();
    LogEntry {
        sequence,
        text: Arc::from(patch.to_string()),
    }
}

/// A completion on the adapter `clans` with the key of its team.
pub(crate) fn completion_request(number: u64) -> CallerRequest {
    CallerRequest {
        number,
        target: CallTarget::Model("nyota:clans".into()),
        key: Ok(HashedKey::parse(ELDERS_KEY)),
        prompt_tokens: 10,
        max_tokens: 20,
        timeout: Duration::from_secs(30),
        idempotency_key: None,
        trace: "".into(),
    }
}

/// Reducers named `i1`, `i2`, … whose messages arrive immediately and in order.
pub(crate) struct ReducerCluster {
    pub(crate) now: ClockTime,
    pub(crate) reducers: Vec<Reducer>,
    /// Effects other than messages, timers and polls, one per line, with time and instance.
    pub(crate) effect_log: Vec<String>,
}

impl ReducerCluster {
    pub(crate) fn new(count: usize) -> ReducerCluster {
        let reducers = (1..=count)
            .map(|number| {
                Reducer::new(ReducerSettings {
                    fleet: "test".into(),
                    instance: format!("i{number}").into(),
                    incarnation: 1_000,
                    seed: number as u64,
                    seed_peers: Vec::new(),
                })
            })
            .collect();
        ReducerCluster {
            now: ClockTime::ZERO,
            reducers,
            effect_log: Vec::new(),
        }
    }

    /// Creates reducers with the small configuration and runs them for 5 s, so that their limit
    /// shares are active.
    pub(crate) fn started(count: usize) -> ReducerCluster {
        let mut cluster = ReducerCluster::new(count);
        let listings: Vec<InstanceListing> = (1..=count)
            .map(|number| InstanceListing {
                instance: format!("i{number}").into(),
                leaving: false,
            })
            .collect();
        for node in 0..count {
            cluster.deliver(node, Event::InstancesListed(listings.clone()));
            let log = vec![log_entry(1, 0, &initial_changes(count))];
            cluster.deliver(node, Event::LogRead(log));
        }
        cluster.run(Duration::from_secs(5));
        cluster
    }

    /// Passes an event to one reducer and delivers the messages that result.
    pub(crate) fn deliver(&mut self, node: usize, event: Event) {
        let mut pending = vec![(node, event)];
        while let Some((node, event)) = pending.pop() {
            let mut effects = Vec::new();
            self.reducers[node].reduce(self.now, event, &mut effects);
            let mut delivered = Vec::new();
            for effect in effects {
                match effect {
                    Effect::SendToPeer { to, message, .. } => {
                        let target = self.position_of(&to);
                        let envelope = PeerEnvelope {
                            protocol: PEER_PROTOCOL,
                            fleet: "test".into(),
                            from: self.reducers[node].settings().instance.clone(),
                            incarnation: self.reducers[node].settings().incarnation,
                            config_sequence: self.reducers[node].config_log().sequence(),
                            leaving: self.reducers[node].is_leaving(),
                            messages: vec![message],
                        };
                        delivered.push((target, Event::EnvelopeReceived(envelope)));
                    }
                    Effect::WakeAt(_) | Effect::PollLoad { .. } => {}
                    other => self.log_effect(node, &other),
                }
            }
            pending.extend(delivered.into_iter().rev());
        }
    }

    fn position_of(&self, name: &str) -> usize {
        self.reducers
            .iter()
            .position(|reducer| reducer.settings().instance == name)
            .unwrap()
    }

    fn log_effect(&mut self, node: usize, effect: &Effect) {
        let millis = self.now.as_micros() / 1_000;
        let name = &self.reducers[node].settings().instance;
        self.effect_log
            .push(format!("{millis} ms {name}: {effect:?}"));
    }

    /// Advances the time, with a tick of each reducer every 10 ms.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(10));
            for node in 0..self.reducers.len() {
                self.deliver(node, Event::Tick);
            }
        }
    }

    /// Takes the logged effects, one per line.
    pub(crate) fn take_effect_log(&mut self) -> String {
        std::mem::take(&mut self.effect_log).join("\n")
    }
}
