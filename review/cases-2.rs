//! The cases. Each plays one small deployment and judges one rule.

use super::*;

const CONTACT: f64 = 3.0;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let Ok(folder) = TemporaryFolder::new() else {
        return Verdict::NotRun;
    };
    match case {
        "6" => crashing_part_under_load(&folder.0, trouble, record),
        "7" => crashing_call_beside_sound_ones(&folder.0, trouble, record),
        "8" => sound_part_after_a_pause(&folder.0, trouble, record),
        "9" => tokens_after_a_restart(&folder.0, trouble, record),
        "10" => crashing_part_and_restarts(&folder.0, trouble, record),
        _ => {
            record.say("no such case");
            Verdict::NotRun
        }
    }
}

/// A configuration with one streaming route to model servers.
fn model_config(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"lookup","Host":"host.example","Prefix":"/lookup/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":800,"GapAimMs":600,"Priority":0,"Service":"models","MaxAttempts":1,"Resumable":false,"Sticky":true}}],
"Services":[{{"Name":"models","HealthPath":"/health","MaxConnections":360,"ColdStartS":0,"ColdPerS":0,"Engine":{{"Slots":64,"KvCapacityTokens":224867,"AdapterSlots":6,"WeightsMb":66000,"LoadsPerS":2.1,"Stride":5,"Models":[{{"Name":"m0","WeightsMb":65100,"LoadS":1.9,"Adapters":3000,"AdapterMb":12}}]}}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"clans","ApiKeys":["k-clans-1"],"RatePerS":0,"Burst":0,"Unit":"tokens","PlainTokens":200}}]}}"#
    )
}

/// A configuration with a safe and an unsafe route to a plain service.
fn plain_config(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"check","Host":"host.example","Prefix":"/calendar/","Kind":"safe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"desk","MaxAttempts":2}},
{{"Name":"confirm","Host":"host.example","Prefix":"/confirm/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"desk","MaxAttempts":1}}],
"Services":[{{"Name":"desk","HealthPath":"/health","MaxConnections":96,"ColdStartS":0,"ColdPerS":0}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"clans","ApiKeys":["k-clans-1"],"RatePerS":0,"Burst":0}}]}}"#
    )
}

/// A running deployment with servers of one service.
struct Fleet {
    gateways: Vec<Gateway>,
    sightings: Arc<Sightings>,
    servers: Vec<Arc<ModelServer>>,
}

fn start_fleet(
    folder: &Path,
    record: &Record,
    gateway_count: usize,
    server_count: usize,
    options: &ModelOptions,
) -> Option<Fleet> {
    let store = Store::start();
    let config = match options.plain {
        Some(_) => plain_config(3),
        None => model_config(3),
    };
    store.put("op/config", Some(config));
    let sightings = Arc::new(Sightings::default());
    let servers = (0..server_count)
        .map(|number| {
            let name = format!("s{number}");
            ModelServer::start(&name, options.clone(), &store, &sightings, record)
        })
        .collect();
    let plans: Vec<GatewayPlan> = (1..=gateway_count)
        .map(|number| GatewayPlan::new(&format!("front-dar-a-{number}"), options.zone))
        .collect();
    let gateways = start_gateways(folder, &plans, &[options.zone], store.address).ok()?;
    if !wait_ready(&gateways, Duration::from_secs(10)) {
        record.say("the gateways are not ready");
        return None;
    }
    // Traffic starts ten seconds after the machines do.
    thread::sleep(Duration::from_secs_f64((10.0 - record.now()).max(0.0)));
    Some(Fleet {
        gateways,
        sightings,
        servers,
    })
}

/// Sends a request for a stream; `parts` are the shared parts of its prompt.
fn send_stream(record: &Record, front: SocketAddr, attempt: &str, parts: &str) -> Answer {
    send_to_model(record, front, attempt, "m0", parts)
}

fn send_to_model(
    record: &Record,
    front: SocketAddr,
    attempt: &str,
    model: &str,
    parts: &str,
) -> Answer {
    let headers = format!(
        "Host: host.example\r\nModel: {model}\r\nToken-Usage: 826,290\r\nDeadline-Ms: 12000\r\n\
         Credential: k-clans-1\r\nPrompt-Prefix: {parts},{attempt}:628\r\n"
    );
    let body = format!("question {attempt}");
    let line = "POST /lookup/ask";
    let patience = Duration::from_millis(12_000);
    send_request(
        record,
        front,
        line,
        &headers,
        attempt,
        body.as_bytes(),
        patience,
    )
}

fn crashing_part_under_load(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let rate: f64 = std::env::var("RATE")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(40.0);
    let options = ModelOptions {
        service: "models",
        zone: "dar-a",
        slots: 64,
        events: 58,
        event_interval: Duration::from_millis(60),
        crash_part: Some("bad0c0de".into()),
        down: Duration::from_secs(4),
        plain: None,
    };
    let Some(fleet) = start_fleet(folder, record, 2, 4, &options) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let start = record.now();
    let (mut next_sound, mut next_bad) = (start, start + 12.0);
    let mut number = 0_u64;
    while record.now() < start + 75.0 {
        let now = record.now();
        let is_bad = trouble && now >= next_bad && now < start + 70.0;
        let is_sound = now >= next_sound;
        if !is_bad && !is_sound {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        number += 1;
        let attempt = format!("{number:016x}");
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let parts = if is_bad {
            next_bad += 2.5;
            record.line(&format!(
                "sends {attempt} with the part bad0c0de to {front}"
            ));
            "aaaa0001:119,bad0c0de:79".to_owned()
        } else {
            next_sound += 1.0 / rate;
            format!("aaaa0001:119,5eed{:04x}:79", random.below(40))
        };
        let (record, answers) = (record.clone(), answers.clone());
        let caller = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                let answer = send_stream(&record, front, &attempt, &parts);
                record.line(&format!(
                    "answer to {attempt}: status {} complete {} bytes {} after {:.3} s",
                    answer.status,
                    answer.complete,
                    answer.body.len(),
                    answer.ended - answer.sent
                ));
                answers.lock().unwrap().push((is_bad, answer));
            });
        callers.extend(caller);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let sound: Vec<&Answer> = answers
        .iter()
        .filter(|(bad, _)| !bad)
        .map(|(_, answer)| answer)
        .collect();
    let complete = sound
        .iter()
        .filter(|answer| answer.status == 200 && answer.complete)
        .count();
    let cut = sound
        .iter()
        .filter(|answer| answer.status == 200 && !answer.complete)
        .count();
    record.say(&format!(
        "sound requests: {} sent, {complete} complete, {cut} cut off",
        sound.len()
    ));
    judge_crashing_part(&fleet, record, "bad0c0de")
}

/// BUDGET: at most three requests with a part that crashes servers reach servers later than
/// `ContactMs` after the fifth crash.
fn judge_crashing_part(fleet: &Fleet, record: &Record, part: &str) -> Verdict {
    if !fleet.gateways.iter().all(Gateway::is_running) {
        record.say("a gateway has ended");
    }
    let crashes = fleet.sightings.crashes.lock().unwrap();
    record.say(&format!("crashes: {}", crashes.len()));
    let Some((fifth, _)) = crashes.get(4) else {
        return Verdict::Held;
    };
    let arrivals = fleet.sightings.arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.prefix.contains(part) && arrival.at > fifth + CONTACT)
        .count();
    record.say(&format!(
        "requests with the part that reached servers later than {CONTACT} s after the fifth crash \
         (at {fifth:.1} s): {late}; allowed: 3"
    ));
    if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn crashing_call_beside_sound_ones(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    const CRASHES: &str = "/calendar/slots?elder=13 ";
    let options = ModelOptions {
        service: "desk",
        zone: "dar-a",
        slots: 6,
        events: 0,
        event_interval: Duration::ZERO,
        crash_part: None,
        down: Duration::from_secs(4),
        plain: Some((Duration::from_millis(60), CRASHES)),
    };
    let Some(fleet) = start_fleet(folder, record, 2, 4, &options) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let start = record.now();
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let (mut next_safe, mut next_unsafe, mut next_bad) = (start, start, start + 6.0);
    let (mut number, mut callers) = (0_u64, Vec::new());
    let answers = Arc::new(Mutex::new(Vec::new()));
    while record.now() < start + 60.0 {
        let now = record.now();
        let line = if trouble && now >= next_bad {
            next_bad += 2.5;
            format!("GET {}", CRASHES.trim_end())
        } else if now >= next_safe {
            next_safe += 0.1;
            format!("GET /calendar/slots?elder={}", 20 + random.below(60))
        } else if now >= next_unsafe {
            next_unsafe += 0.125;
            "POST /confirm/session".to_owned()
        } else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        number += 1;
        let attempt = format!("{number:016x}");
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let (record, answers) = (record.clone(), answers.clone());
        let caller = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                let headers =
                    "Host: host.example\r\nDeadline-Ms: 3000\r\nCredential: k-clans-1\r\n";
                let is_post = line.starts_with("POST");
                let body = if is_post {
                    format!("session {attempt}")
                } else {
                    String::new()
                };
                let patience = Duration::from_millis(3_000);
                let answer = send_request(
                    &record,
                    front,
                    &line,
                    headers,
                    &attempt,
                    body.as_bytes(),
                    patience,
                );
                record.line(&format!(
                    "answer to {attempt} ({line}) from {front}: status {} after {:.3} s",
                    answer.status,
                    answer.ended - answer.sent
                ));
                answers.lock().unwrap().push((line, answer.status));
            });
        callers.extend(caller);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let count = |start: &str, is_wanted: &dyn Fn(u16) -> bool| {
        answers
            .iter()
            .filter(|(line, status)| {
                line.starts_with(start) && !CRASHES.starts_with(&line[4..]) && is_wanted(*status)
            })
            .count()
    };
    record.say(&format!(
        "sound calls: {} of {} safe ones and {} of {} unsafe ones answered with 200",
        count("GET", &|status| status == 200),
        count("GET", &|_| true),
        count("POST", &|status| status == 200),
        count("POST", &|_| true)
    ));
    let crashes = fleet.sightings.crashes.lock().unwrap();
    record.say(&format!("crashes: {}", crashes.len()));
    let Some((third, _)) = crashes.get(2) else {
        return Verdict::Held;
    };
    let arrivals = fleet.sightings.arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.target.contains(CRASHES) && arrival.at > third + CONTACT)
        .count();
    record.say(&format!(
        "arrivals of the call that crashes servers later than {CONTACT} s after the third crash (at \
         {third:.1} s): {late}; allowed: 3"
    ));
    if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn sound_part_after_a_pause(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let options = ModelOptions {
        service: "models",
        zone: "dar-a",
        slots: 64,
        events: 58,
        event_interval: Duration::from_millis(30),
        crash_part: Some("bad0c0de".into()),
        down: Duration::from_secs(4),
        plain: None,
    };
    let Some(fleet) = start_fleet(folder, record, 2, 4, &options) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let start = record.now();
    // Requests with the first part c0ffee01 pause from 8 s to 32 s. Others go on all the while.
    let first_part_at = |now: f64| now < start + 8.0 || (start + 32.0..start + 85.0).contains(&now);
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    let (mut next_sound, mut next_other, mut next_bad) = (start, start, start + 20.0);
    let (mut number, mut callers) = (0_u64, Vec::new());
    let answers = Arc::new(Mutex::new(Vec::new()));
    while record.now() < start + 85.0 {
        let now = record.now();
        let parts = if trouble && now >= next_bad {
            next_bad += 2.5;
            "c0ffee01:119,bad0c0de:79".to_owned()
        } else if now >= next_sound {
            next_sound += 0.25;
            if !first_part_at(now) {
                continue;
            }
            format!("c0ffee01:119,5eed{:04x}:79", random.below(40))
        } else if now >= next_other {
            next_other += 0.2;
            format!("0dd00001:119,5eed{:04x}:79", random.below(40))
        } else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        number += 1;
        let attempt = format!("{number:016x}");
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let (record, answers) = (record.clone(), answers.clone());
        let caller = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                let answer = send_stream(&record, front, &attempt, &parts);
                record.line(&format!(
                    "answer to {attempt} with {parts}: status {} complete {} after {:.3} s",
                    answer.status,
                    answer.complete,
                    answer.ended - answer.sent
                ));
                answers.lock().unwrap().push((parts, answer));
            });
        callers.extend(caller);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let last_bad = answers
        .iter()
        .filter(|(parts, _)| parts.contains("bad0c0de"))
        .map(|(_, answer)| answer.sent)
        .fold(0.0, f64::max);
    let crashes: Vec<f64> = {
        let crashes = fleet.sightings.crashes.lock().unwrap();
        crashes.iter().map(|(at, _)| *at).collect()
    };
    record.say(&format!("crashes: {crashes:.1?}"));
    let begun: std::collections::HashSet<String> = {
        let arrivals = fleet.sightings.arrivals.lock().unwrap();
        let begun = arrivals.iter().filter(|arrival| arrival.began);
        begun.map(|arrival| arrival.attempt.clone()).collect()
    };
    // Sound requests with a first part, and how many of them began, sent in a time.
    let count = |first: &str, from: f64, to: f64| {
        let sent: Vec<&Answer> = answers
            .iter()
            .filter(|(parts, _)| parts.starts_with(first) && !parts.contains("bad0c0de"))
            .map(|(_, answer)| answer)
            .filter(|answer| answer.sent >= from && answer.sent < to)
            .collect();
        let began = sent
            .iter()
            .filter(|answer| begun.contains(&answer.attempt))
            .count();
        (began, sent.len())
    };
    let before_end = crashes.first().copied().unwrap_or(f64::MAX);
    let fifth_or_last = crashes.get(4).or(crashes.last()).copied();
    let from = fifth_or_last.map_or(start + 32.0, |at| at + 2.0 * CONTACT);
    let to = if trouble { last_bad } else { f64::MAX };
    let mut verdict = Verdict::Held;
    for first in ["c0ffee01", "0dd00001"] {
        let (began_before, sent_before) = count(first, 0.0, before_end.min(start + 20.0));
        let (began_after, sent_after) = count(first, from, to);
        record.say(&format!(
            "first part {first}: {began_before} of {sent_before} sound requests began before the first \
             crash, {began_after} of {sent_after} from {from:.1} s on"
        ));
        if sent_before < 20 || sent_after < 20 {
            return Verdict::NotRun;
        }
        let share = |began: usize, sent: usize| began as f64 / sent as f64;
        if share(began_after, sent_after) < 0.5 * share(began_before, sent_before) {
            verdict = Verdict::Broken;
        }
    }
    verdict
}

/// Stops a gateway with SIGTERM, starts it and waits until it is ready.
fn restart(gateway: &Gateway, record: &Record) -> bool {
    record.line(&format!("SIGTERM to {}", gateway.name));
    gateway.stop(Duration::from_secs(8));
    gateway.kill();
    if gateway.start().is_err() {
        return false;
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while !gateway.is_ready() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{} is ready again", gateway.name));
    true
}

/// Time from which a gateway is not in touch, and until when.
type OutOfTouch = Arc<Mutex<Vec<(SocketAddr, f64, f64)>>>;

fn crashing_part_and_restarts(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let options = ModelOptions {
        service: "models",
        zone: "dar-a",
        slots: 64,
        events: 58,
        event_interval: Duration::from_millis(20),
        crash_part: Some("bad0c0de".into()),
        down: Duration::from_secs(4),
        plain: None,
    };
    let Some(fleet) = start_fleet(folder, record, 2, 4, &options) else {
        return Verdict::NotRun;
    };
    let fleet = Arc::new(fleet);
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let out_of_touch: OutOfTouch = Arc::default();
    let start = record.now();
    let stop: StopFlag = Arc::default();
    let roller = {
        let (fleet, record, stop, out) = (
            fleet.clone(),
            record.clone(),
            stop.clone(),
            out_of_touch.clone(),
        );
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(12));
            for gateway in fleet.gateways.iter().cycle().take(8) {
                if stop.load(Ordering::Relaxed) || !trouble {
                    return;
                }
                out.lock()
                    .unwrap()
                    .push((gateway.front, record.now(), f64::MAX));
                if !restart(gateway, &record) {
                    return;
                }
                if let Some(last) = out.lock().unwrap().last_mut() {
                    last.2 = record.now() + CONTACT;
                }
                thread::sleep(Duration::from_millis(1_300));
            }
        })
    };
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let (mut next_sound, mut next_bad) = (start, start + 4.0);
    let (mut number, mut callers) = (0_u64, Vec::new());
    let sent_by = Arc::new(Mutex::new(HashMap::new()));
    while record.now() < start + 82.0 {
        let now = record.now();
        let parts = if trouble && now >= next_bad {
            next_bad += 1.0;
            "aaaa0001:119,bad0c0de:79".to_owned()
        } else if now >= next_sound {
            next_sound += 0.2;
            format!("aaaa0001:119,5eed{:04x}:79", random.below(40))
        } else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        number += 1;
        let attempt = format!("{number:016x}");
        let front = fronts[random.below(fronts.len() as u64) as usize];
        sent_by.lock().unwrap().insert(attempt.clone(), front);
        let record = record.clone();
        let caller = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                let answer = send_stream(&record, front, &attempt, &parts);
                record.line(&format!(
                    "answer to {attempt} with {parts} from {front}: status {} complete {}",
                    answer.status, answer.complete
                ));
            });
        callers.extend(caller);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let _ = roller.join();
    let crashes = fleet.sightings.crashes.lock().unwrap();
    record.say(&format!("crashes: {}", crashes.len()));
    let Some((fifth, _)) = crashes.get(4) else {
        return Verdict::Held;
    };
    let (sent_by, out_of_touch) = (sent_by.lock().unwrap(), out_of_touch.lock().unwrap());
    let is_in_touch = |arrival: &&Arrival| {
        let front = sent_by.get(&arrival.attempt);
        !out_of_touch
            .iter()
            .any(|(other, from, to)| Some(other) == front && (*from..*to).contains(&arrival.at))
    };
    let arrivals = fleet.sightings.arrivals.lock().unwrap();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.prefix.contains("bad0c0de") && arrival.at > fifth + CONTACT)
        .collect();
    let in_touch = late
        .iter()
        .copied()
        .filter(|arrival| is_in_touch(arrival))
        .count();
    record.say(&format!(
        "requests with the part that reached servers later than {CONTACT} s after the fifth crash \
         (at {fifth:.1} s): {}, {in_touch} of them from gateways in touch; allowed: 3",
        late.len()
    ));
    if in_touch > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn tokens_after_a_restart(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let options = ModelOptions {
        service: "models",
        zone: "dar-a",
        slots: 64,
        events: 10,
        event_interval: Duration::from_millis(30),
        crash_part: None,
        down: Duration::from_secs(2),
        plain: None,
    };
    let Some(fleet) = start_fleet(folder, record, 3, 6, &options) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let start = record.now();
    let fleet = Arc::new(fleet);
    let roller = {
        let (fleet, record) = (fleet.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(4));
            for gateway in &fleet.gateways {
                if !trouble || !restart(gateway, &record) {
                    return;
                }
                thread::sleep(Duration::from_millis(1_300));
            }
        })
    };
    // After the planned restarts a server restarts under its id, then all gateways are killed.
    let (mut crashed, mut killed) = (!trouble, !trouble);
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let mut next = start;
    let (mut number, mut callers) = (0_u64, Vec::new());
    while record.now() < start + 85.0 {
        let now = record.now();
        if !crashed && now >= start + 34.0 {
            crashed = true;
            fleet.servers[0].crash_under_id();
        }
        if !killed && now >= start + 60.0 {
            killed = true;
            record.line("SIGKILL to all gateways");
            fleet.gateways.iter().for_each(Gateway::kill);
            thread::sleep(Duration::from_millis(500));
            if fleet
                .gateways
                .iter()
                .any(|gateway| gateway.start().is_err())
            {
                return Verdict::NotRun;
            }
        }
        if now < next {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        next = (next + 1.0 / 15.0).max(now - 0.2);
        number += 1;
        let attempt = format!("{number:016x}");
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let model = format!("m0/a{}", random.below(90));
        let record = record.clone();
        let caller = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                let parts = "aaaa0001:119,5eed0001:79";
                let answer = send_to_model(&record, front, &attempt, &model, parts);
                record.line(&format!(
                    "answer to {attempt} for {model} from {front}: status {} complete {}",
                    answer.status, answer.complete
                ));
            });
        callers.extend(caller);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let _ = roller.join();
    judge_tokens(&fleet, record)
}

/// ONE: no lower token after a higher one at one process of a server, and no turns of two holders
/// within `LeaseMs`.
fn judge_tokens(fleet: &Fleet, record: &Record) -> Verdict {
    let orders = fleet.sightings.orders.lock().unwrap();
    record.say(&format!("orders: {}", orders.len()));
    let mut highest: BTreeMap<&str, &Order> = BTreeMap::new();
    let mut last: BTreeMap<&str, &Order> = BTreeMap::new();
    let (mut lower, mut turns) = (0, 0);
    for order in orders.iter() {
        if let Some(other) = highest.get(order.server.as_str())
            && order.fence < other.fence
        {
            lower += 1;
            if lower <= 3 {
                record.say(&format!(
                    "{}: token {} of {} at {:.3} s ({}), after {} of {} at {:.3} s ({})",
                    order.server,
                    order.fence,
                    order.holder,
                    order.at,
                    order.status,
                    other.fence,
                    other.holder,
                    other.at,
                    other.status
                ));
            }
        } else {
            highest.insert(&order.server, order);
        }
        if let Some(other) = last.insert(&order.server, order)
            && other.holder != order.holder
            && order.at - other.at < 3.0
        {
            turns += 1;
            record.say(&format!(
                "{}: {} at {:.3} s, {:.3} s after {}",
                order.server,
                order.holder,
                order.at,
                order.at - other.at,
                other.holder
            ));
        }
    }
    record.say(&format!(
        "orders with a lower token than one before: {lower}; turns: {turns}"
    ));
    if lower + turns > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
