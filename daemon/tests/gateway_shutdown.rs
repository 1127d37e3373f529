//! Real gateway processes that get SIGTERM while callers go on sending requests.

mod site;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wasabistall_testutils::scripted::{AnswerStep, ScriptedRequest};

use self::site::scripted::{ScriptedSite, answer, head, send};

/// Grace period of the tests' gateways.
const GRACE: Duration = Duration::from_secs(4);
/// Time between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an answer; only a gateway that never ends takes so long.
const STUCK: Duration = Duration::from_secs(30);
/// Length of an answer that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 15 * 1024 * 1024;

/// What a caller saw of one request.
#[derive(Debug)]
struct ObservedCall {
    attempt: String,
    sent: Duration,
    /// Status of the complete answer and its body; `None` when the connection was closed without one.
    answer: Option<(u16, String)>,
    /// Whether the connection was refused, so that nothing was sent.
    refused: bool,
}

fn post(path: &str, attempt: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nattempt-id: {attempt}\r\ncredential: key\r\n\
         content-length: 2\r\n\r\n{{}}"
    )
}

/// Reads a complete answer with a length; `None` when the connection is closed before its end.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut received = Vec::new();
    loop {
        if let Some(answer) = split_answer(&received) {
            return Some(answer);
        }
        let mut buffer = vec![0; 64 * 1024];
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn split_answer(received: &[u8]) -> Option<(u16, String)> {
    let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?
        .parse::<usize>()
        .ok()?;
    let body = received.get(end..end + length)?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}

async fn call(address: SocketAddr, path: &str, attempt: String, sent: Duration) -> ObservedCall {
    let mut observed = ObservedCall {
        attempt,
        sent,
        answer: None,
        refused: false,
    };
    let Ok(mut stream) = TcpStream::connect(address).await else {
        observed.refused = true;
        return observed;
    };
    let request = post(path, &observed.attempt);
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let read = tokio::time::timeout(STUCK, read_answer(&mut stream)).await;
        observed.answer = read.expect("an answer or the end of the connection");
    }
    observed
}

/// Stops the gateway and sends requests to `path` on new connections during the whole grace period.
async fn call_during_stop(site: &mut ScriptedSite, path: &'static str) -> Vec<ObservedCall> {
    let address = site.site.gateways[0].ports.callers();
    site.site.gateways[0].signal(Signal::TERM);
    let stopped = Instant::now();
    let mut callers = Vec::new();
    while stopped.elapsed() < GRACE + REQUEST_INTERVAL {
        let attempt = format!("call-{}", callers.len());
        callers.push(tokio::spawn(call(
            address,
            path,
            attempt,
            stopped.elapsed(),
        )));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut observed = Vec::new();
    for caller in callers {
        observed.push(caller.await.expect("a caller"));
    }
    assert!(site.site.gateways[0].wait_exit(Duration::from_secs(10)));
    observed
}

/// Regression test: calls that a stopping instance accepted late in its grace period, although they
/// could take longer than the rest of it, were cut off without an answer when the process ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_every_request_that_it_passes_on() {
    let work = Duration::from_millis(1_300);
    let script =
        move |request: &ScriptedRequest| vec![AnswerStep::Pause(work), answer(&request.attempt)];
    let mut site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let calls = call_during_stop(&mut site, "/once/x").await;
    let mut served = 0;
    let mut refused = 0;
    for call in &calls {
        let runs = site.server.requests_of(&call.attempt).len();
        match (&call.answer, runs) {
            (Some((200, _)), 1) => served += 1,
            (Some((503, body)), 0) => {
                assert!(body.contains(r#""run":"not_run""#), "{call:?}");
                refused += 1;
            }
            // The process may end, or close the connection, without having read the request.
            (None, 0) => {}
            _ => panic!("{runs} runs of {call:?}"),
        }
    }
    assert!(served >= 10 && refused >= 10, "{served} {refused}");
    // While connections are accepted, each request gets an answer.
    let unanswered = |call: &&ObservedCall| call.answer.is_none() && !call.refused;
    let accepted = GRACE.mul_f64(0.75);
    let early = calls.iter().filter(|call| call.sent < accepted);
    assert_eq!(early.filter(unanswered).count(), 0);
}

/// Regression test: requests that still ran when the grace period was over were cut off. Their callers
/// get an answer that promises nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_requests_that_run_for_too_long() {
    let script = move |request: &ScriptedRequest| {
        vec![AnswerStep::Pause(GRACE * 2), answer(&request.attempt)]
    };
    let mut site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let calls = call_during_stop(&mut site, "/slow/x").await;
    let early = calls.iter().filter(|call| call.sent < GRACE.mul_f64(0.3));
    for call in early {
        let (status, body) = call.answer.as_ref().expect("an answer");
        assert_eq!(*status, 502, "{call:?}");
        assert!(body.contains(r#""run":"unknown""#), "{call:?}");
    }
}

/// Regression test: a process without open requests ended while it still wrote a large answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_delivers_answers_to_slow_readers() {
    let script = |request: &ScriptedRequest| {
        let fields = format!("response-seal: seal\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
        let text = head("200 OK", &request.attempt, &fields) + &"x".repeat(LARGE_BYTES);
        vec![send(&text)]
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let address = site.site.gateways[0].ports.callers();
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = post("/once/x", "large");
    stream.write_all(request.as_bytes()).await.expect("send");
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.site.gateways[0].signal(Signal::TERM);
    tokio::time::sleep(GRACE.mul_f64(0.87)).await;
    let (status, body) = read_answer(&mut stream).await.expect("a complete answer");
    assert_eq!((status, body.len()), (200, LARGE_BYTES));
}
