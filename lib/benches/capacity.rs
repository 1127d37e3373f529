//! Measures how costs grow with the numbers of instances, servers and adapters: bytes of each
//! control message, time per reducer event, and memory of the tables. `docs/CAPACITY.md` is derived
//! from the results.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use wasabistall_lib::{
    clock::ClockTime,
    config::LogEntry,
    engine::LoadReport,
    envelope,
    event::{CallTarget, CallerRequest, Effect, Event},
    key::HashedKey,
    limits::{LimitAmount, LoanReport},
    member::InstanceListing,
    message::{
        NamedLimit, NamedTarget, PEER_PROTOCOL, PeerEnvelope, PeerMessage, PermitHolding,
        PermitOutcome, PermitRequest,
    },
    reducer::{Reducer, ReducerSettings},
};

const TEAM_KEY: &str = "ws_team-0_0123456789abcdef";
const TEAMS: usize = 100;
const REQUESTS: u64 = 2_000;
const CHANGES: u64 = 50;

/// Counts allocations and the bytes in use.
struct CountingAllocator;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

#[allow(
    unsafe_code,
    reason = "`GlobalAlloc` can only be implemented with unsafe code"
)]
// SAFETY: both methods pass their arguments to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn entry(sequence: u64, changes: &[Value]) -> LogEntry {
    let patch = json!({ "base": sequence - 1, "author": "bench", "changes": changes });
    LogEntry {
        sequence,
        text: patch.to_string().into(),
    }
}

/// Configuration log of a fleet, split into patches of at most 5,000 changes.
fn log(instances: usize, servers: usize, adapters: usize) -> Vec<LogEntry> {
    let mut changes = vec![
        json!({ "op": "add_owner", "owner": "owner" }),
        json!({ "op": "add_region", "region": "r", "store_loads_per_second": 50,
                "loads_in_flight": 8 }),
        json!({ "op": "add_base", "base": "nyota" }),
    ];
    for number in 0..10 {
        changes.push(
            json!({ "op": "add_data_centre", "data_centre": format!("d{number}"),
                             "region": "r" }),
        );
    }
    for number in 0..TEAMS {
        let team = format!("team-{number}");
        changes.push(
            json!({ "op": "add_team", "team": team, "owner": "owner", "rate": {
            "tokens_per_second": 10_000_000, "burst_tokens": 20_000_000,
            "requests_per_second": 100_000, "burst_requests": 200_000 } }),
        );
    }
    let hashed = HashedKey::parse(TEAM_KEY).expect("the key parses");
    changes.push(
        json!({ "op": "grant_key", "key": "team-0", "team": "team-0",
                         "sha256": hashed.digest }),
    );
    for number in 0..adapters {
        changes.push(
            json!({ "op": "add_adapter", "adapter": format!("adapter-{number}"),
                             "base": "nyota", "team": format!("team-{}", number % TEAMS),
                             "version": 1 }),
        );
    }
    for number in 0..servers {
        changes.push(
            json!({ "op": "add_server", "server": format!("engine-{number}"),
            "data_centre": format!("d{}", number % 10), "address": "10.1.0.1:80",
            "concurrency": 32,
            "role": { "engine": { "base": "nyota", "slots": 32, "enforces_fencing": true } } }),
        );
    }
    for number in 0..instances {
        changes.push(
            json!({ "op": "add_instance", "instance": format!("instance-{number}"),
            "data_centre": format!("d{}", number % 10), "caller_address": "10.0.0.1:80",
            "peer_address": "10.0.0.1:81" }),
        );
    }
    changes
        .chunks(5_000)
        .enumerate()
        .map(|(number, chunk)| entry(number as u64 + 1, chunk))
        .collect()
}

/// A reducer that has read the configuration, and the sequence number of its last log entry.
fn started_reducer(instances: usize, servers: usize, adapters: usize) -> (Reducer, u64) {
    let mut reducer = Reducer::new(ReducerSettings {
        fleet: "bench".into(),
        instance: "instance-0".into(),
        incarnation: 1,
        seed: 1,
        seed_peers: Vec::new(),
    });
    let entries = log(instances, servers, adapters);
    let sequence = entries.len() as u64;
    let mut effects = Vec::new();
    reducer.reduce(
        ClockTime::from_millis(1),
        Event::LogRead(entries),
        &mut effects,
    );
    let listings = (0..instances)
        .map(|number| InstanceListing {
            instance: format!("instance-{number}").into(),
            leaving: false,
        })
        .collect();
    let listed = Event::InstancesListed(listings);
    reducer.reduce(ClockTime::from_millis(1), listed, &mut effects);
    (reducer, sequence)
}

/// Calls `run` `count` times; returns mean time and mean number of allocations.
fn mean_per_event(count: u64, mut run: impl FnMut(u64)) -> (Duration, usize) {
    let allocations = ALLOCATIONS.load(Ordering::Relaxed);
    let start = Instant::now();
    for number in 0..count {
        run(number);
    }
    let new_allocations = ALLOCATIONS.load(Ordering::Relaxed) - allocations;
    let divisor = u32::try_from(count).unwrap_or(u32::MAX);
    (
        start.elapsed() / divisor,
        new_allocations / divisor as usize,
    )
}

fn request(number: u64, adapters: usize) -> CallerRequest {
    let adapter = number as usize * TEAMS % adapters;
    CallerRequest {
        number,
        target: CallTarget::Model(format!("nyota:adapter-{adapter}").into()),
        key: Ok(HashedKey::parse(TEAM_KEY)),
        prompt_tokens: 1,
        max_tokens: 1,
        timeout: Duration::from_secs(30),
        idempotency_key: None,
        trace: "".into(),
    }
}

/// Memory of one reducer in bytes, and time and allocations per event.
fn measure(instances: usize, servers: usize, adapters: usize) -> Value {
    let before = BYTES.load(Ordering::Relaxed);
    let (mut reducer, sequence) = started_reducer(instances, servers, adapters);
    let state = BYTES.load(Ordering::Relaxed) - before;
    let mut effects: Vec<Effect> = Vec::new();
    let mut now = ClockTime::from_millis(10);
    let (arrival, arrival_allocations) = mean_per_event(REQUESTS, |number| {
        reducer.reduce(
            now,
            Event::RequestArrived(request(number + 1, adapters)),
            &mut effects,
        );
        effects.clear();
    });
    let (cancel, _) = mean_per_event(REQUESTS, |number| {
        reducer.reduce(now, Event::CallerDisconnected(number + 1), &mut effects);
        effects.clear();
    });
    let (tick, tick_allocations) = mean_per_event(100, |_| {
        now = now.after(Duration::from_millis(100));
        reducer.reduce(now, Event::Tick, &mut effects);
        effects.clear();
    });
    let (change, change_allocations) = mean_per_event(CHANGES, |number| {
        let version = number + 2;
        let changes = [json!({ "op": "set_version", "adapter": "adapter-0", "version": version })];
        let entry = entry(sequence + number + 1, &changes);
        reducer.reduce(now, Event::LogRead(vec![entry]), &mut effects);
        effects.clear();
    });
    json!({
        "instances": instances, "servers": servers, "adapters": adapters,
        "state_bytes": state,
        "arrival_ns": arrival.as_nanos() as u64, "arrival_allocations": arrival_allocations,
        "cancel_ns": cancel.as_nanos() as u64,
        "tick_ns": tick.as_nanos() as u64, "tick_allocations": tick_allocations,
        "change_ns": change.as_nanos() as u64, "change_allocations": change_allocations,
    })
}

/// Encoded size of an envelope, in bytes.
fn envelope_bytes(messages: Vec<PeerMessage>) -> usize {
    let envelope = PeerEnvelope {
        protocol: PEER_PROTOCOL,
        fleet: "fleet".into(),
        from: "instance-100".into(),
        incarnation: 1_800_000_000_000,
        config_sequence: 1_000_000,
        leaving: false,
        messages,
    };
    rmp_serde::to_vec(&envelope).map_or(0, |bytes| bytes.len())
}

fn message_sizes() -> Value {
    let limit = NamedLimit::Team("team-100".into());
    let target = NamedTarget::Adapter("adapter-10000".into(), 12);
    let pool = "data-centre-1/nyota-7b";
    let report = LoanReport {
        incarnation: 1_800_000_000_000,
        spent: LimitAmount::from_units(1_000_000, 10_000),
        returned: LimitAmount::from_units(1_000, 10),
    };
    let messages = [
        (
            "permit_request",
            PeerMessage::PermitRequest(PermitRequest {
                request: 1_000_000,
                pool: pool.into(),
                team: Some("team-100".into()),
                target: target.clone(),
                tokens: 500,
                time_left: Duration::from_secs(30),
                avoid: Vec::new(),
                trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".into(),
            }),
        ),
        (
            "permit_grant",
            PeerMessage::PermitGrant {
                request: 1_000_000,
                pool: pool.into(),
                server: "engine-1000".into(),
            },
        ),
        (
            "permit_release",
            PeerMessage::PermitRelease {
                request: 1_000_000,
                pool: pool.into(),
                outcome: PermitOutcome::Answered,
            },
        ),
        (
            "permit_renew_of_ten",
            PeerMessage::PermitRenew {
                pool: pool.into(),
                holdings: vec![
                    PermitHolding {
                        request: 1_000_000,
                        server: "engine-1000".into(),
                        target,
                    };
                    10
                ],
            },
        ),
        (
            "limit_ask",
            PeerMessage::LimitAsk {
                limit: limit.clone(),
                number: 1_000_000,
                amount: LimitAmount::from_units(500, 1),
                minimum: LimitAmount::from_units(500, 1),
                waited: Duration::from_millis(100),
                report,
            },
        ),
        (
            "limit_grant",
            PeerMessage::LimitGrant {
                limit: limit.clone(),
                number: 1_000_000,
                amount: LimitAmount::from_units(500, 1),
                wait: Duration::from_millis(100),
            },
        ),
        ("loan_report", PeerMessage::LoanReport { limit, report }),
        ("config_pull", PeerMessage::ConfigPull { after: 1_000_000 }),
        ("hello", PeerMessage::Hello),
    ];
    let sizes = messages
        .into_iter()
        .map(|(name, message)| (name.to_owned(), json!(envelope_bytes(vec![message]))));
    Value::Object(sizes.collect())
}

fn main() {
    let signature = envelope::SIGNATURE_HEADER.len() + 64;
    let report = LoadReport {
        epoch: 1,
        age_ms: 100,
        running: 10,
        fence: 1_800_000_000_000,
        slots: Vec::new(),
    };
    let result = json!({
        "messages": message_sizes(),
        "signature_header_bytes": signature,
        "empty_report_bytes": serde_json::to_vec(&report).map_or(0, |bytes| bytes.len()),
        "reducer": [
            measure(6, 12, 300), measure(6, 12, 3_000), measure(6, 12, 31_000),
            measure(6, 120, 3_000), measure(6, 1_200, 3_000),
            measure(48, 12, 3_000), measure(340, 12, 3_000),
            measure(340, 1_200, 31_000),
        ],
    });
    let text = serde_json::to_string_pretty(&result).expect("figures serialize");
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/capacity.json");
    std::fs::write(path, &text).expect("the target directory can be written");
    println!("{text}\nwritten: {path}");
}
