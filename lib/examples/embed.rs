//! Embeds the reducer without the daemon: passes events to it and prints the effects.

use std::sync::Arc;

use wasabistall_lib::{
    clock::ClockTime,
    config::LogEntry,
    event::{CallTarget, CallerRequest, Event},
    member::InstanceListing,
    reducer::{Reducer, ReducerSettings},
};

const PATCH: &str = r#"{
    "base": 0, "author": "example", "changes": [
        { "op": "add_region", "region": "r", "store_loads_per_second": 2, "loads_in_flight": 8 },
        { "op": "add_data_centre", "data_centre": "d", "region": "r" },
        { "op": "add_base", "base": "nyota", "open": true },
        { "op": "add_instance", "instance": "i1", "data_centre": "d",
          "caller_address": "10.0.0.1:80", "peer_address": "10.0.0.1:81" },
        { "op": "add_server", "server": "e1", "data_centre": "d", "address": "10.0.1.1:80",
          "concurrency": 4,
          "role": { "engine": { "base": "nyota", "slots": 2, "enforces_fencing": true } } }
    ]
}"#;

fn main() {
    let mut reducer = Reducer::new(ReducerSettings {
        fleet: "example".into(),
        instance: "i1".into(),
        incarnation: 1,
        seed: 1,
        seed_peers: Vec::new(),
    });
    let request = CallerRequest {
        number: 1,
        target: CallTarget::Model("nyota".into()),
        key: Ok(None),
        prompt_tokens: 8,
        max_tokens: 16,
        timeout: std::time::Duration::from_secs(30),
        idempotency_key: None,
        trace: "".into(),
    };
    let listing = InstanceListing {
        instance: "i1".into(),
        leaving: false,
    };
    let events = [
        Event::LogRead(vec![LogEntry {
            sequence: 1,
            text: Arc::from(PATCH),
        }]),
        Event::InstancesListed(vec![listing]),
        Event::RequestArrived(request),
    ];
    let mut effects = Vec::new();
    for event in events {
        reducer.reduce(ClockTime::ZERO, event, &mut effects);
    }
    for effect in effects {
        println!("{effect:?}");
    }
}
