//! A real gateway process with a server whose answers never end, in a head or in a body. Each caller's
//! request ends, the process stays within its memory, and requests to other servers are served.

mod site;

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wasabistall_testutils::{
    gateway::MEMORY_MB,
    scripted::{AnswerStep, ScriptedRequest},
};

use self::site::scripted::{ScriptedSite, head, refusal, send};

/// Requests that are open at the same time.
const CALLERS: usize = 200;
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest wait for anything; only a gateway that never acts takes so long.
const STUCK: Duration = Duration::from_secs(60);

/// Sends a request and reads all that comes until the connection is closed.
async fn call_to_close(
    reading: Reading,
    mut stream: TcpStream,
    path: &str,
    attempt: String,
) -> String {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nattempt-id: {attempt}\r\ncredential: key\r\n\
         deadline-ms: 3000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("send");
    if reading == Reading::Late {
        tokio::time::sleep(DEADLINE * 2).await;
    }
    let mut received = 0_usize;
    let mut first = Vec::new();
    let mut last = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    // A reset ends the connection as well.
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received += count;
        if first.len() < 100 {
            first.extend_from_slice(&buffer[..count.min(100)]);
        }
        last = buffer[count.saturating_sub(7)..count].to_vec();
    }
    let first = String::from_utf8_lossy(&first).into_owned();
    let status = first.split(' ').nth(1).unwrap_or("none").to_owned();
    let end = if status.starts_with('2') && last.ends_with(b"0\r\n\r\n") {
        "complete"
    } else if status.starts_with('2') {
        "broken"
    } else {
        "refused"
    };
    format!("{status} {end}, any bytes: {}", received > 0)
}

/// Calls `path` many times at once, while the server answers with `steps` to the attempt.
async fn call_endless_server(path: &'static str, steps: fn(&str) -> Vec<AnswerStep>) {
    call_endless_server_as(Reading::AtOnce, path, steps).await;
}

/// When the callers read their answers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reading {
    AtOnce,
    /// After the request's deadline.
    Late,
}

async fn call_endless_server_as(
    reading: Reading,
    path: &'static str,
    steps: fn(&str) -> Vec<AnswerStep>,
) {
    let script = move |request: &ScriptedRequest| steps(&request.attempt);
    let site = ScriptedSite::start(&["s-8", "s-9"], Arc::new(script)).await;
    let address = site.site.gateways[0].ports.callers();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let stream = TcpStream::connect(address).await.expect("connect");
        let call = call_to_close(reading, stream, path, format!("endless-{number}"));
        callers.push(tokio::spawn(tokio::time::timeout(STUCK, call)));
    }
    let mut sound = 0;
    while !callers.iter().all(tokio::task::JoinHandle::is_finished) || sound < 10 {
        let answer = site.call("/calm/x", &format!("sound-{sound}")).await;
        assert_eq!(answer.status.as_u16(), 200, "sound request {sound}");
        sound += 1;
    }
    for caller in callers {
        let seen = caller
            .await
            .expect("a caller")
            .expect("the end of a request");
        assert!(
            !seen.contains("complete") && seen.contains("true"),
            "{seen}"
        );
    }
    for _ in 0..1_000 {
        if site.server.endless_answers() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(site.server.endless_answers(), 0);
    let peak = site.site.gateways[0].peak_memory_mb();
    println!("{path}: {peak} MB at the peak, {sound} sound requests");
    assert!(peak < MEMORY_MB, "{peak} MB");
}

fn repeat(bytes: &str) -> AnswerStep {
    AnswerStep::Repeat(bytes.to_owned())
}

fn sealed(attempt: &str, fields: &str) -> AnswerStep {
    let fields = format!("response-seal: seal\r\n{fields}\r\n");
    send(&head("200 OK", attempt, &fields))
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const EVENTS: &str = "transfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_head() {
    call_endless_server("/safe/x", |_| vec![repeat("lorem ipsum ")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_header_without_end() {
    call_endless_server("/safe/x", |attempt| {
        vec![
            send(&head("200 OK", attempt, "x-more: ")),
            repeat("lorem ipsum "),
        ]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_without_end() {
    call_endless_server("/safe/x", |attempt| {
        vec![
            send(&head("200 OK", attempt, "")),
            repeat("x-more: lorem ipsum\r\n"),
        ]
    })
    .await;
}

/// Regression test: interim heads without end kept the process from answering other requests.
#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_without_end() {
    call_endless_server("/safe/x", |_| vec![repeat("HTTP/1.1 100 Continue\r\n\r\n")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_length() {
    call_endless_server("/safe/x", |attempt| {
        vec![sealed(attempt, ""), repeat("lorem ipsum ")]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_extension_without_end() {
    call_endless_server("/safe/x", |attempt| {
        vec![
            sealed(attempt, CHUNKED),
            send("2;x="),
            repeat("lorem ipsum "),
        ]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_end() {
    call_endless_server("/safe/x", |attempt| {
        let end = send("2\r\nok\r\n0\r\n");
        vec![
            sealed(attempt, CHUNKED),
            end,
            repeat("x-more: lorem ipsum\r\n"),
        ]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_refusal() {
    call_endless_server("/safe/x", |attempt| {
        vec![refusal(attempt), repeat("lorem ipsum ")]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_with_a_body_without_end() {
    call_endless_server("/safe/x", |attempt| {
        let fields = "not-executed: 1\r\n\r\n";
        vec![
            send(&head("503 Service Unavailable", attempt, fields)),
            repeat("lorem ipsum "),
        ]
    })
    .await;
}

/// Piece of an event that does not end.
fn event_piece() -> AnswerStep {
    repeat(&format!("3e8\r\n{}\r\n", "x".repeat(1_000)))
}

/// Regression test: what had arrived of an event was kept outside the memory for bodies, up to 1 MB for
/// each stream, and searched for its end again with each piece.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_on_a_resumable_route() {
    call_endless_server("/resume/x", |attempt| {
        vec![sealed(attempt, EVENTS), event_piece()]
    })
    .await;
}

/// The same in many small pieces.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_in_small_pieces_without_end() {
    call_endless_server("/resume/x", |attempt| {
        vec![sealed(attempt, EVENTS), repeat("4\r\nabcd\r\n")]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end() {
    call_endless_server("/stream/x", |attempt| {
        vec![sealed(attempt, EVENTS), event_piece()]
    })
    .await;
}

/// Callers that do not read their streams, which a server sends as fast as it can.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_not_read() {
    call_endless_server_as(Reading::Late, "/stream/x", |attempt| {
        let event = format!("data: {}\n\n", "x".repeat(50_000));
        let piece = format!("{:x}\r\n{event}\r\n", event.len());
        vec![sealed(attempt, EVENTS), repeat(&piece)]
    })
    .await;
}
