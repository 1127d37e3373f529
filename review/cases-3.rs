//! Cases of the third review. `cases-3 CASE FOLDER` plays a case, writes `record.txt` into the folder
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#[path = "rig-3.rs"]
#[macro_use]
#[allow(dead_code)]
mod rig;

use std::{
    env, fs,
    io::Write,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rig::{
    Asking, Json, Record, Seen, Store, ask, attempt_id, send_answer, send_misdirected,
    server_entry, start_gateways, start_server,
};

/// Outcome of a case: whether the rule was broken; `None` if the case could not run.
type Outcome = Option<bool>;

/// An address that no other test uses at the same time.
fn ip(host: u8) -> Ipv4Addr {
    let process = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, process[0] | 64, process[1], host)
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

struct Case {
    record: Arc<Record>,
    /// Temporary folder for settings and logs.
    folder: PathBuf,
    has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases-3 CASE FOLDER");
        exit(2);
    };
    let temporary = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let case = Case {
        record: Record::new(&Path::new(folder).join("record.txt")),
        folder: temporary.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match name.as_str() {
        "catalog" => catalog(&case),
        "endless" => endless(&case),
        "quota" => quota(&case),
        _ => None,
    };
    case.record.save();
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    match outcome {
        Some(true) => println!("the rule was broken"),
        Some(false) => println!("the rule held"),
        None => println!("the case could not run"),
    }
    exit(outcome.map_or(2, i32::from));
}

fn route(name: &str, kind: &str, service: &str, timeout: i32, aim: i32) -> Json {
    map! {
        "Name": name, "Host": "book.example", "Prefix": format!("/{name}/"), "Kind": kind,
        "Service": service, "TimeoutMs": timeout, "TargetLatencyMs": aim, "MaxAttempts": 1,
        "Priority": 2
    }
}

fn config(version: i32, routes: Vec<Json>, services: &[&str], keys: Vec<Json>) -> Json {
    let services: Vec<Json> = services
        .iter()
        .map(|name| map! { "Name": *name, "ColdStartS": 0, "ColdPerS": 0 })
        .collect();
    map! {
        "Version": version, "Routes": routes, "Services": services,
        "Tenants": vec![map! {
            "Name": "elders", "ApiKeys": keys, "Unit": "tokens", "PlainTokens": 200,
            "RatePerS": 0, "Burst": 0
        }],
        "Limits": map! {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000
        }
    }
}

/// A sound server of the booking desk: answers after `work`, and tells `ran` of each request it runs.
fn booking_server(
    host: u8,
    id: &'static str,
    work: Duration,
    ran: impl Fn(&rig::Heard) + Send + Sync + 'static,
) -> std::net::SocketAddr {
    start_server(ip(host), move |request, out| {
        if request.header("expect-instance") != id {
            return send_misdirected(request, out);
        }
        ran(request);
        thread::sleep(work);
        send_answer(request, out, "Server-Load: 1,0,6\r\n", &[b'x'; 800])
    })
}

// ---- the catalog: versions in quick succession ----

/// Largest value of the store, in bytes.
const VALUE_BYTES: usize = 1_048_576;
/// Times at which versions 2 to 6 are written, in milliseconds: two changes, then three keys that are
/// taken away, 100 ms apart.
const VERSION_TIMES: [u64; 5] = [0, 50, 100, 200, 300];
/// The same without trouble.
const CALM_INTERVAL: u64 = 1_500;
/// Version that moves the route to another service.
const MOVED_IN: i32 = 3;
/// Versions that take `key-0`, `key-1` and `key-2` away.
const FIRST_REVOKED: i32 = 4;

/// A configuration of about the largest size.
fn large_config(version: i32) -> Json {
    let revoked = (version - FIRST_REVOKED + 1).clamp(0, 3);
    let keys: Vec<Json> = (revoked..5)
        .map(|key| Json::from(format!("key-{key}")))
        .collect();
    let service = if version >= MOVED_IN {
        "booking-desk-b"
    } else {
        "booking-desk"
    };
    let services = ["booking-desk", "booking-desk-b"];
    let mut routes = vec![route("book", "unsafe", service, 1_500, 300)];
    let timeout = 1_500 + 10 * i32::from(version >= 2);
    let more = |number: usize| {
        route(
            &format!("more-{number:05}"),
            "unsafe",
            "booking-desk",
            timeout,
            300,
        )
    };
    let size = config(version, routes.clone(), &services, keys.clone())
        .text()
        .len();
    let count = (VALUE_BYTES - size) / (more(0).text().len() + 1);
    routes.extend((0..count).map(more));
    config(version, routes, &services, keys)
}

fn catalog(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start(ip(1), Duration::from_secs(20));
    // The attempts that ran, and the service that ran them.
    let runs: Arc<Mutex<Vec<(String, &'static str)>>> = Arc::default();
    let servers = [
        (2, "i-2", "booking-desk"),
        (3, "i-3", "booking-desk"),
        (4, "i-4", "booking-desk-b"),
        (5, "i-5", "booking-desk-b"),
    ];
    for (host, id, service) in servers {
        let (runs, clock) = (runs.clone(), record.clone());
        let address = booking_server(host, id, millis(60), move |request| {
            let attempt = request.header("attempt-id").to_owned();
            clock.add(format!("server {id} of {service} runs {attempt}"));
            runs.lock().unwrap().push((attempt, service));
        });
        let zone = if host % 2 == 0 { "dar-a" } else { "dar-b" };
        let entry = server_entry(service, address, zone, 6, "ready");
        store.put(&format!("servers/{id}"), Some(&entry));
    }
    let last = VERSION_TIMES.len() as i32 + 1;
    let versions: Vec<Json> = (1..=last).map(large_config).collect();
    let largest = versions.iter().map(|version| version.text().len()).max()?;
    record.say(format!(
        "configurations of up to {largest} bytes; the store takes {VALUE_BYTES}"
    ));
    store.put("op/config", Some(&versions[0]));
    let ips = [ip(10), ip(11), ip(12)];
    let gateways = start_gateways(&case.folder, &ips, &["dar-a", "dar-b"], store.address)?;
    record.say("three machines are ready");
    let ask_once = |gateway: usize, key: &str| -> (String, f64, Seen) {
        let attempt = attempt_id();
        let sent = record.now();
        let asking = Asking {
            method: "POST",
            path: "/book/x",
            key,
            attempt: &attempt,
            deadline: millis(3_000),
            gap: millis(3_000),
            more: "",
            body: b"session",
        };
        let seen = ask(gateways[gateway].callers(), &asking);
        record.add(format!(
            "client sent {attempt} with {key} to front-{gateway} at {sent:.3}: status {}",
            seen.status
        ));
        (attempt, sent, seen)
    };
    // The machines are in touch.
    thread::sleep(Duration::from_secs(5));
    for gateway in 0..gateways.len() {
        if ask_once(gateway, "key-2").2.status != 200 {
            return None;
        }
    }
    let start = Instant::now();
    let (mut moved_at, mut revoked_at) = (0.0, 0.0);
    for (index, version) in versions[1..].iter().enumerate() {
        let number = index as i32 + 2;
        let time = if case.has_trouble {
            VERSION_TIMES[index]
        } else {
            index as u64 * CALM_INTERVAL
        };
        thread::sleep(millis(time).saturating_sub(start.elapsed()));
        store.put("op/config", Some(version));
        record.say(format!("the store has accepted version {number}"));
        if number == MOVED_IN {
            moved_at = record.now();
        }
        revoked_at = record.now();
    }
    let written = record.now();
    // Requests that are sent later than ConfigApplyMs after the acknowledgement.
    let (mut of_key, mut of_route) = (Vec::new(), Vec::new());
    while record.now() < written + 14.0 {
        for gateway in 0..gateways.len() {
            let (attempt, sent, _) = ask_once(gateway, "key-2");
            if sent > revoked_at + 2.0 {
                of_key.push(attempt);
            }
            let (attempt, sent, _) = ask_once(gateway, "key-3");
            if sent > moved_at + 2.0 {
                of_route.push(attempt);
            }
        }
        thread::sleep(millis(200));
    }
    for gateway in &gateways {
        let log = fs::read_to_string(&gateway.log).unwrap_or_default();
        let applied = log
            .lines()
            .filter(|line| line.contains("config_applied"))
            .next_back();
        let failed = log.matches("\"complete\":false").count();
        let name = &gateway.name;
        record.say(format!(
            "{name}: {failed} reads of the store failed; last {applied:?}"
        ));
    }
    let runs = runs.lock().unwrap();
    let ran_by = |attempt: &String| {
        runs.iter()
            .find(|(run, _)| run == attempt)
            .map(|(_, by)| *by)
    };
    let with_key = of_key
        .iter()
        .filter(|attempt| ran_by(attempt).is_some())
        .count();
    let by_old = of_route
        .iter()
        .filter(|attempt| ran_by(attempt) == Some("booking-desk"))
        .count();
    record.say(format!(
        "{with_key} of {} requests ran whose key had been taken away over 2 s before; \
         {by_old} of {} were run by the service from which their route had moved over 2 s before",
        of_key.len(),
        of_route.len()
    ));
    Some(with_key + by_old > 0)
}

// ---- a body without end that carries no data ----

/// Lookups that come, and the time between two of them: 16.3 a second, by the sheet.
const LOOKUPS: usize = 196;
const LOOKUP_INTERVAL: u64 = 61;
/// Time without an event after which a client abandons its stream: eight times the longest pause on the
/// sheet, which is longer than two seconds and than four times the objective.
const LOOKUP_GAP: Duration = Duration::from_millis(8 * 600);
/// Requests that the model server answers at once.
const MODEL_SLOTS: usize = 64;
/// Time from the first lookup to the first booking.
const LEAD_TIME: u64 = 4_000;

fn endless(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start(ip(1), Duration::from_secs(20));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (host, id) in [(2, "i-2"), (3, "i-3")] {
        let (runs, clock) = (runs.clone(), record.clone());
        let address = booking_server(host, id, millis(60), move |request| {
            let attempt = request.header("attempt-id").to_owned();
            clock.add(format!("server {id} runs {attempt}"));
            runs.lock().unwrap().push(attempt);
        });
        let zone = if host == 2 { "dar-a" } else { "dar-b" };
        store.put(
            &format!("servers/{id}"),
            Some(&server_entry("booking-desk", address, zone, 6, "ready")),
        );
    }
    let (clock, is_faulty) = (record.clone(), case.has_trouble);
    let open = Arc::new(AtomicUsize::new(0));
    let counting = open.clone();
    let model_server = start_server(ip(4), move |request, out| {
        if request.header("expect-instance") != "i-4" {
            return send_misdirected(request, out);
        }
        let attempt = request.header("attempt-id").to_owned();
        if counting.load(Ordering::SeqCst) >= MODEL_SLOTS {
            let refusal = format!(
                "HTTP/1.1 503 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return out.write_all(refusal.as_bytes()).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.07\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let _ = out.write_all(head.as_bytes());
        if is_faulty {
            counting.fetch_add(1, Ordering::SeqCst);
            let (start, mut bytes) = (Instant::now(), 0_u64);
            // The size of a chunk that never comes.
            let mut piece = vec![b' '; 65_536];
            piece[0] = b'1';
            while out.write_all(&piece).is_ok() {
                bytes += piece.len() as u64;
                piece[0] = b' ';
            }
            counting.fetch_sub(1, Ordering::SeqCst);
            clock.add(format!(
                "server i-4: {attempt} was closed after {:.1} s and {} MB",
                start.elapsed().as_secs_f64(),
                bytes / 1_000_000
            ));
            return false;
        }
        for event in 1..=12 {
            thread::sleep(millis(25));
            let text = format!("id: {event}\ndata: story\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    });
    store.put(
        "servers/i-4",
        Some(&server_entry(
            "sauti-models",
            model_server,
            "dar-a",
            64,
            "ready",
        )),
    );
    let routes = vec![
        route("book", "unsafe", "booking-desk", 1_500, 300),
        route("lookup", "streaming", "sauti-models", 12_000, 800),
    ];
    let keys = vec![Json::from("key-0")];
    store.put(
        "op/config",
        Some(&config(1, routes, &["booking-desk", "sauti-models"], keys)),
    );
    let gateways = start_gateways(
        &case.folder,
        &[ip(10), ip(11)],
        &["dar-a", "dar-b"],
        store.address,
    )?;
    let book = |gateway: usize| -> (String, Seen) {
        let attempt = attempt_id();
        let sent = record.now();
        let asking = Asking {
            method: "POST",
            path: "/book/x",
            key: "key-0",
            attempt: &attempt,
            deadline: millis(3_000),
            gap: millis(3_000),
            more: "",
            body: b"session",
        };
        let seen = ask(gateways[gateway].callers(), &asking);
        record.add(format!(
            "client sent {attempt} (booking) to front-{gateway} at {sent:.3}: status {} after {:.3} s",
            seen.status,
            seen.elapsed.as_secs_f64()
        ));
        (attempt, seen)
    };
    thread::sleep(Duration::from_secs(5));
    if book(0).1.status != 200 || book(1).1.status != 200 {
        return None;
    }
    record.say(format!("{LOOKUPS} lookups"));
    let is_over = AtomicBool::new(false);
    let bookings: Mutex<Vec<(String, Seen)>> = Mutex::default();
    let missed_probes = AtomicUsize::new(0);
    thread::scope(|scope| {
        let callers = [gateways[0].callers(), gateways[1].callers()];
        scope.spawn(move || {
            for lookup in 0..LOOKUPS {
                let address = callers[lookup % 2];
                scope.spawn(move || {
                    let attempt = attempt_id();
                    let asking = Asking {
                        method: "POST",
                        path: "/lookup/x",
                        key: "key-0",
                        attempt: &attempt,
                        deadline: millis(12_000),
                        gap: LOOKUP_GAP,
                        more: "",
                        body: b"clan",
                    };
                    let seen = ask(address, &asking);
                    record.add(format!(
                        "client sent {attempt} (lookup): status {}, whole {}, after {:.3} s",
                        seen.status,
                        seen.is_whole,
                        seen.elapsed.as_secs_f64()
                    ));
                });
                thread::sleep(millis(LOOKUP_INTERVAL));
            }
        });
        thread::sleep(millis(LEAD_TIME));
        for gateway in &gateways {
            let (is_over, missed_probes) = (&is_over, &missed_probes);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let sent = Instant::now();
                    if !gateway.probe(Duration::from_secs(1)) {
                        missed_probes.fetch_add(1, Ordering::SeqCst);
                        record.add(format!(
                            "{}: readiness is not answered within 1 s",
                            gateway.name
                        ));
                    }
                    thread::sleep(millis(1_000).saturating_sub(sent.elapsed()));
                }
            });
        }
        let start = Instant::now();
        thread::scope(|scope| {
            // Eight bookings a second.
            for number in 0..64 {
                let (book, bookings) = (&book, &bookings);
                scope.spawn(move || {
                    let seen = book(number % 2);
                    bookings.lock().unwrap().push(seen);
                });
                thread::sleep(millis(125));
            }
            record.say(format!(
                "{} answers without end are open after {:.1} s of bookings",
                open.load(Ordering::SeqCst),
                start.elapsed().as_secs_f64()
            ));
        });
        is_over.store(true, Ordering::SeqCst);
    });
    let bookings = bookings.lock().unwrap();
    let later_than = |time: u64| {
        let is_late = |(_, seen): &&(String, Seen)| seen.status == 0 || seen.elapsed > millis(time);
        bookings.iter().filter(is_late).count()
    };
    // TimeoutMs of the route, and half a second more.
    let (at_timeout, half_a_second_later) = (later_than(1_500), later_than(2_000));
    let served = bookings
        .iter()
        .filter(|(_, seen)| seen.status == 200)
        .count();
    let runs = runs.lock().unwrap();
    let is_lost = |(attempt, seen): &&(String, Seen)| seen.status == 0 && runs.contains(attempt);
    let lost = bookings.iter().filter(is_lost).count();
    record.say(format!(
        "{} bookings, {served} served; {at_timeout} unanswered at 1.5 s, {half_a_second_later} at 2.0 s; \
         {} readiness probes missed; {lost} bookings ran and were never answered",
        bookings.len(),
        missed_probes.load(Ordering::SeqCst)
    ));
    Some(at_timeout > 0 && half_a_second_later * 2 > at_timeout)
}

// ---- a lower limit ----

/// Limits of the tenant before and after the change, in tokens per second, and the burst of each.
const OLD_RATE: f64 = 80_000.0;
const NEW_RATE: f64 = 8_000.0;
/// Tokens of a request: prompt and output.
const TOKENS: (u32, u32) = (900, 100);
/// QuotaWindowS.
const WINDOW: f64 = 8.0;

fn limited_config(version: i32, rate: f64) -> Json {
    let mut config = config(
        version,
        vec![route("ask", "unsafe", "booking-desk", 1_500, 300)],
        &["booking-desk"],
        vec![Json::from("key-0")],
    );
    if let Json::Map(fields) = &mut config {
        fields.retain(|(name, _)| name != "Tenants");
        let tenant = map! {
            "Name": "elders", "ApiKeys": vec![Json::from("key-0")], "Unit": "tokens",
            "PlainTokens": 200, "RatePerS": rate, "Burst": rate
        };
        fields.push(("Tenants".to_owned(), Json::from(vec![tenant])));
    }
    config
}

fn quota(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start(ip(1), Duration::from_secs(20));
    let runs: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    for (host, id) in [(2, "i-2"), (3, "i-3")] {
        let (runs, clock) = (runs.clone(), record.clone());
        let address = booking_server(host, id, millis(5), move |request| {
            let attempt = request.header("attempt-id").to_owned();
            clock.add(format!("server {id} runs {attempt}"));
            runs.lock().unwrap().push((clock.now(), attempt));
        });
        let zone = if host == 2 { "dar-a" } else { "dar-b" };
        store.put(
            &format!("servers/{id}"),
            Some(&server_entry("booking-desk", address, zone, 64, "ready")),
        );
    }
    let first_rate = if case.has_trouble { OLD_RATE } else { NEW_RATE };
    store.put("op/config", Some(&limited_config(1, first_rate)));
    let ips = [ip(10), ip(11), ip(12)];
    let gateways = start_gateways(&case.folder, &ips, &["dar-a", "dar-b"], store.address)?;
    let usage = format!("Token-Usage: {},{}\r\n", TOKENS.0, TOKENS.1);
    let ask_once = |gateway: usize| -> u16 {
        let attempt = attempt_id();
        let asking = Asking {
            method: "POST",
            path: "/ask/x",
            key: "key-0",
            attempt: &attempt,
            deadline: millis(3_000),
            gap: millis(3_000),
            more: &usage,
            body: b"question",
        };
        let sent = record.now();
        let seen = ask(gateways[gateway].callers(), &asking);
        record.add(format!(
            "client sent {attempt} to front-{gateway} at {sent:.3}: status {}",
            seen.status
        ));
        seen.status
    };
    thread::sleep(Duration::from_secs(5));
    for gateway in 0..gateways.len() {
        if ask_once(gateway) != 200 {
            return None;
        }
    }
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", Some(&limited_config(2, NEW_RATE)));
    record.say(format!(
        "the store has accepted version 2; the limit was {first_rate} tokens per second and is {NEW_RATE}"
    ));
    // The limit binds one window after ConfigApplyMs; the tenant is quiet for longer.
    thread::sleep(Duration::from_secs_f64(WINDOW + 2.0 + 5.0));
    let start = record.now();
    record.say("the tenant asks");
    thread::scope(|scope| {
        while record.now() < start + WINDOW - 0.5 {
            for gateway in 0..gateways.len() {
                let ask_once = &ask_once;
                scope.spawn(move || ask_once(gateway));
            }
            thread::sleep(millis(40));
        }
    });
    let runs = runs.lock().unwrap();
    let count = runs
        .iter()
        .filter(|(time, _)| (start..start + WINDOW).contains(time))
        .count();
    let tokens = count as f64 * f64::from(TOKENS.0 + TOKENS.1);
    // (RatePerS x window + Burst) x (1 + QuotaOverage) + QuotaSlack
    let bound = (NEW_RATE * WINDOW + NEW_RATE) * 1.25 + 110_000.0;
    record.say(format!(
        "{tokens} tokens ran within {WINDOW} s; the bound is {bound}"
    ));
    Some(tokens > bound)
}
