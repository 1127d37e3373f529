//! What servers say about themselves in their answers, to real gateway processes.

mod site;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use wasabistall_testutils::{
    gateway::CallerResponse,
    platform::{ServerFaults, StoreMode},
};

use self::site::TestSite;

const LEAVING: ServerFaults = ServerFaults {
    is_leaving: true,
    retry_after: None,
};

fn turning_away(retry_after: &'static str) -> ServerFaults {
    ServerFaults {
        is_leaving: false,
        retry_after: Some(retry_after),
    }
}

impl TestSite {
    /// Requests a stream until its adapter is loaded.
    async fn stream(&self, gateway: usize, id: &str) -> CallerResponse {
        for attempt in 0..100 {
            let id = format!("{id}-{attempt}");
            let answer = self.request_stream(gateway, "a1", &id).await;
            let answer = answer.expect("response");
            if answer.status == StatusCode::OK {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("the adapter was never loaded");
    }

    /// Sends requests to a gateway, one after another, until one has reached a server.
    async fn call_until_used(&self, gateway: usize, server: &str) {
        for number in 0..500 {
            let id = format!("first-{gateway}-{number}");
            self.call(gateway, Method::POST, "/once/x", &id).await;
            if self.arrived(&id, server) {
                return;
            }
        }
        panic!("no request reached {server}");
    }

    /// Whether a request reached a server.
    fn arrived(&self, id: &str, server: &str) -> bool {
        let arrivals = self.platform.arrivals();
        let mut arrivals = arrivals.iter();
        arrivals.any(|arrival| arrival.attempt == id && arrival.server == server)
    }

    /// Number of arrivals at a server from `since` on.
    fn arrivals_since(&self, server: &str, since: Instant) -> usize {
        let arrivals = self.platform.arrivals();
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.server == server && arrival.time >= since);
        late.count()
    }
}

/// A server that announced in an answer that it leaves got requests for as long as the store listed
/// it as ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_requests_after_its_first_answer() {
    let site = TestSite::start(1).await;
    site.platform.set_mode(StoreMode::Silent);
    site.platform.set_faults("s-3", LEAVING);
    site.call_until_used(0, "s-3").await;
    let answered_at = Instant::now();
    for number in 0..60 {
        let answer = site
            .call(0, Method::POST, "/once/x", &format!("later-{number}"))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.arrivals_since("s-3", answered_at), 0);
}

/// Instances that had no answer of a leaving server went on to send requests there.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_hear_of_a_leaving_server() {
    let site = TestSite::start(3).await;
    site.platform.set_mode(StoreMode::Silent);
    site.platform.set_faults("s-3", LEAVING);
    site.call_until_used(0, "s-3").await;
    for gateway in 0..3 {
        wait_for_log(&site, gateway, "server_leaving").await;
    }
    let known_at = Instant::now();
    for number in 0..60 {
        let id = format!("later-{number}");
        let answer = site.call(number % 3, Method::POST, "/once/x", &id).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.arrivals_since("s-3", known_at), 0);
}

/// An announcement must not outlive the process that made it.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_process_of_a_server_that_left_gets_requests() {
    let site = TestSite::start(1).await;
    site.platform.set_faults("s-3", LEAVING);
    site.call_until_used(0, "s-3").await;
    site.platform.restart_server("s-3");
    for number in 0..500 {
        let id = format!("again-{number}");
        site.call(0, Method::POST, "/once/x", &id).await;
        if site.arrived(&id, "s-3") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the new process gets no requests");
}

/// The head of a stream may be the first answer that announces it. The stream goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_leaving_server_is_not_cut() {
    let site = TestSite::start(3).await;
    site.stream(0, "warm").await;
    let server = site.platform.runs().last().expect("a run").server.clone();
    site.platform.set_faults(&server, LEAVING);
    let answer = site.stream(0, "last").await;
    assert!(answer.complete && answer.headers.contains_key("server-leaving"));
    let answered_at = Instant::now();
    let answer = site.stream(0, "next").await;
    assert!(answer.complete && !answer.headers.contains_key("server-leaving"));
    assert_eq!(site.arrivals_since(&server, answered_at), 0);
}

/// A server that turned a request away for a time went on to get requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_turns_requests_away_gets_none_before_its_time() {
    let site = TestSite::start(1).await;
    site.platform.set_faults("s-3", turning_away("2.5"));
    site.call_until_used(0, "s-3").await;
    let answered_at = Instant::now();
    let end = answered_at + Duration::from_millis(2_500);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let answer = site
            .call(0, Method::POST, "/once/x", &format!("later-{number}"))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let arrivals = site.platform.arrivals();
    let early = arrivals
        .iter()
        .filter(|arrival| arrival.server == "s-3" && arrival.time > answered_at)
        .filter(|arrival| arrival.time < end);
    assert_eq!(early.count(), 0);
    site.platform.set_faults("s-3", ServerFaults::default());
    site.call_until_used(0, "s-3").await;
}

/// Callers were held until half of their objective had passed, and told to come back after 400 ms.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_the_time_after_which_a_server_takes_requests() {
    let site = TestSite::start(1).await;
    for server in ["s-3", "s-4"] {
        site.platform.set_faults(server, turning_away("60"));
    }
    // The first ones learn it from the servers.
    for number in 0..5 {
        site.call(0, Method::POST, "/once/x", &format!("first-{number}"))
            .await;
    }
    let answer = site.call(0, Method::POST, "/once/x", "later").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!site.arrived("later", "s-3") && !site.arrived("later", "s-4"));
    let value = answer.headers.get("retry-after").expect("a time");
    let seconds: f64 = value.to_str().expect("text").parse().expect("a number");
    assert!((10.0..=61.0).contains(&seconds), "{seconds}");
}

/// Waits until the log of a gateway has an event.
async fn wait_for_log(site: &TestSite, gateway: usize, event: &str) {
    let wanted = format!("\"event\":\"{event}\"");
    for _ in 0..500 {
        let log = std::fs::read_to_string(site.gateways[gateway].log()).expect("read the log");
        if log.contains(&wanted) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("gateway {gateway} has not logged {event}");
}
