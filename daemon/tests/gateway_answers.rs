//! Real gateway processes with servers whose answers are faulty, or end with their connection.

mod site;

use std::{sync::Arc, time::Duration};

use hyper::Method;
use wasabistall_testutils::{
    gateway::{CallerConnection, CallerResponse},
    scripted::{AnswerStep, ScriptedRequest},
};

use self::site::scripted::{ScriptedSite, answer, head, refusal, send};

/// Time in which bytes that were sent have arrived.
const ARRIVAL: Duration = Duration::from_millis(100);

/// Regression test: a refusal of an earlier request, written once more on a kept connection, was taken
/// for the answer to the next request, which then ran a second time.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_written_again_is_not_that_of_the_next_request() {
    let script = |request: &ScriptedRequest| match request.attempt.as_str() {
        "first" if request.earlier_of_attempt == 0 => vec![refusal("first")],
        "next" if request.earlier_of_attempt == 0 => {
            vec![refusal("first"), AnswerStep::Pause(ARRIVAL), answer("next")]
        }
        attempt => vec![answer(attempt)],
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    assert_eq!(site.status_and_arrivals("first").await, (200, 2));
    assert_eq!(site.status_and_arrivals("next").await, (502, 1));
    assert_eq!(site.status_and_arrivals("last").await, (200, 1));
}

/// Regression test: a refusal without an attempt id was taken for that of any request.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_attempt_id_promises_nothing() {
    let script = |request: &ScriptedRequest| {
        let status = match request.attempt.as_str() {
            "full" => "503 Service Unavailable",
            "limited" => "429 Too Many Requests",
            "misdirected" => "421 Misdirected Request",
            "malformed" => "400 Bad Request",
            attempt => return vec![answer(attempt)],
        };
        let head = format!("HTTP/1.1 {status}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n");
        vec![send(&head)]
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    for attempt in ["full", "limited", "misdirected", "malformed"] {
        let seen = site.status_and_arrivals(attempt).await;
        assert_eq!((attempt, seen), (attempt, (502, 1)));
    }
}

/// Regression test: an attempt that a server had refused was sent to it once more on the same
/// connection, where a second copy of that refusal was taken for the answer while the request ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_attempt_does_not_return_on_the_same_connection() {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        if request.earlier_of_attempt == 0 {
            vec![refusal(attempt)]
        } else if request.earlier_on_connection > 0 {
            vec![
                refusal(attempt),
                AnswerStep::Pause(ARRIVAL),
                answer(attempt),
            ]
        } else {
            vec![answer(attempt)]
        }
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    assert_eq!(site.status_and_arrivals("one").await, (200, 2));
    let connections: Vec<usize> = site
        .server
        .requests_of("one")
        .iter()
        .map(|request| request.connection)
        .collect();
    assert_ne!(connections[0], connections[1]);
}

/// Bytes that arrive on an idle connection end it; none of them answers the next request.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_on_an_idle_connection_end_it() {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        match attempt {
            "copied" => vec![answer(attempt), AnswerStep::Pause(ARRIVAL), answer(attempt)],
            "refused" => vec![answer(attempt), AnswerStep::Pause(ARRIVAL), refusal("next")],
            _ => vec![answer(attempt)],
        }
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    for attempt in ["copied", "second", "refused", "next", "last"] {
        let seen = site.status_and_arrivals(attempt).await;
        assert_eq!((attempt, seen), (attempt, (200, 1)));
        tokio::time::sleep(ARRIVAL * 3).await;
    }
}

/// Regression test: the answer to a caller's request, written once more, was taken for that to an order,
/// so that an order which the server carried out counted as refused.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_request_is_not_that_of_an_order() {
    let script = |request: &ScriptedRequest| match request.path.as_str() {
        "/order" => vec![
            refusal("earlier"),
            AnswerStep::Pause(ARRIVAL),
            send("HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"),
        ],
        _ => vec![refusal(&request.attempt)],
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let platform = &site.site.platform;
    platform.register("e-1", "models", site.server.address, true, "ready");
    for id in ["s-1", "s-2"] {
        platform.put(&format!("servers/{id}"), None);
    }
    site.wait_logged("server_withdrawn", "s-2").await;
    let address = site.site.gateways[0].ports.callers();
    for attempt in 0..200 {
        if site.log().contains("order_failed") {
            break;
        }
        let mut connection = CallerConnection::open(address).await.expect("connect");
        let attempt = format!("model-{attempt}");
        let headers = [
            ("host", "host"),
            ("attempt-id", attempt.as_str()),
            ("credential", "key"),
            ("deadline-ms", "500"),
            ("model", "base/a1"),
            ("token-usage", "100,20"),
        ];
        let answer = connection.call(Method::POST, "/chat/x", &headers, b"");
        assert_eq!(answer.await.expect("response").status.as_u16(), 503);
    }
    site.wait_logged("order_failed", "server=e-1 outcome=Lost")
        .await;
}

fn events(ids: std::ops::Range<u32>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token\n\n")).collect()
}

/// Head and some events of a stream without a length.
fn stream(attempt: &str, ids: std::ops::Range<u32>) -> AnswerStep {
    let fields = "response-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n";
    send(&(head("200 OK", attempt, fields) + &events(ids)))
}

/// What a caller saw: the status, whether the answer looked complete, and its body with sound events
/// `id: N` shortened to `N`.
fn summary(answer: &CallerResponse) -> String {
    if let Ok(refusal) = serde_json::from_slice::<serde_json::Value>(&answer.body) {
        return format!(
            "{} [{}]",
            answer.status.as_u16(),
            refusal["kind"].as_str().unwrap_or_default()
        );
    }
    let mut body = String::from_utf8_lossy(&answer.body).into_owned();
    for id in 0..20 {
        body = body.replace(&format!("id: {id}\ndata: token\n\n"), &format!("{id} "));
    }
    let end = if answer.complete {
        "complete"
    } else {
        "broken"
    };
    format!(
        "{} {end} [{}]",
        answer.status.as_u16(),
        body.trim_end().escape_debug()
    )
}

/// The answer to an attempt to go on with a stream after event 1.
fn odd_continuation(case: &str, attempt: &str) -> Vec<AnswerStep> {
    let text = "id: 9\ndata: oops\n\n";
    let length = text.len();
    let sealed = |status: &str, fields: &str| {
        let fields =
            format!("response-seal: seal\r\n{fields}content-length: {length}\r\n\r\n{text}");
        vec![send(&head(status, attempt, &fields))]
    };
    let events_type = "content-type: text/event-stream\r\n";
    let sealed_events = |events: &str| {
        let fields = format!("response-seal: seal\r\n{events_type}\r\n{events}");
        vec![send(&head("200 OK", attempt, &fields)), AnswerStep::Close]
    };
    match case {
        "failure" => sealed("500 Internal Server Error", ""),
        "failure-of-the-request" => sealed("400 Bad Request", events_type),
        "failure-without-a-seal" => {
            let fields = format!("content-length: {length}\r\n\r\n{text}");
            vec![send(&head("500 Internal Server Error", attempt, &fields))]
        }
        "refusal" => vec![refusal(attempt)],
        "refusal-of-another" => vec![refusal("other")],
        "text" => sealed("200 OK", "content-type: text/plain\r\n"),
        "no-type" => sealed("200 OK", ""),
        "other-request" => vec![stream("other", 2..4), AnswerStep::Close],
        "no-seal" => {
            let fields = format!("{events_type}\r\n{}", events(2..4));
            vec![send(&head("200 OK", attempt, &fields)), AnswerStep::Close]
        }
        "no-ids" => sealed_events("data: error\n\n"),
        "head-in-body" => {
            sealed_events("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops\n\n")
        }
        "from-the-start" => sealed_events(&events(0..4)),
        "last-event-again" => sealed_events(&events(1..4)),
        "gap" => sealed_events(&events(5..8)),
        "empty" => sealed_events(""),
        "torn" => sealed_events("id: 2\ndata: tok"),
        "torn-head" => vec![send("HTTP/1.1 200 OK\r\nattempt-id"), AnswerStep::Close],
        "garbage" => vec![send("lorem ipsum\r\n\r\n"), AnswerStep::Close],
        "nothing" => vec![AnswerStep::Reset],
        _ => panic!("no such case"),
    }
}

/// Calls a resumable route whose streams break off after event 1. The first attempt to go on gets an
/// odd answer, the second a sound one.
async fn continue_streams(cases: &[&str]) -> String {
    let mut lines = Vec::new();
    // A gateway's budget of retries allows a few cases.
    for cases in cases.chunks(2) {
        lines.extend(continue_streams_of_site(cases).await);
    }
    lines.join("\n")
}

async fn continue_streams_of_site(cases: &[&str]) -> Vec<String> {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        match request.earlier_of_attempt {
            0 => vec![
                stream(attempt, 0..2),
                AnswerStep::Pause(ARRIVAL),
                AnswerStep::Reset,
            ],
            1 => odd_continuation(attempt, attempt),
            _ => vec![stream(attempt, 2..4), AnswerStep::Close],
        }
    };
    let site = ScriptedSite::start(&["s-8", "s-9"], Arc::new(script)).await;
    let mut lines = Vec::new();
    for case in cases {
        let answer = site.call("/resume/x", case).await;
        let requests = site.server.requests_of(case);
        let resumed: Vec<&str> = requests
            .iter()
            .skip(1)
            .map(|request| request.last_event.as_deref().unwrap_or("-"))
            .collect();
        lines.push(format!("{case}: {}, after {resumed:?}", summary(&answer)));
    }
    lines
}

/// Regression test: an error that a server gave with status 200 instead of the rest of a stream, or a
/// stream that did not go on at the next event, was passed to the caller within its stream.
#[tokio::test(flavor = "multi_thread")]
async fn successes_that_do_not_go_on_with_a_stream_are_not_forwarded() {
    let seen = continue_streams(&["text", "no-type", "no-ids", "head-in-body"]).await;
    insta::assert_snapshot!(seen, @r#"
    text: 200 complete [0 1 2 3], after ["1", "1"]
    no-type: 200 complete [0 1 2 3], after ["1", "1"]
    no-ids: 200 complete [0 1 2 3], after ["1", "1"]
    head-in-body: 200 complete [0 1 2 3], after ["1", "1"]
    "#);
}

/// The same for streams that go on at another event than the next one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_go_on_elsewhere_are_not_forwarded() {
    let seen = continue_streams(&["from-the-start", "last-event-again", "gap", "empty"]).await;
    insta::assert_snapshot!(seen, @r#"
    from-the-start: 200 complete [0 1 2 3], after ["1", "1"]
    last-event-again: 200 complete [0 1 2 3], after ["1", "1"]
    gap: 200 complete [0 1 2 3], after ["1", "1"]
    empty: 200 complete [0 1 2 3], after ["1", "1"]
    "#);
}

/// An error of the server that should go on with a stream is not forwarded within it.
#[tokio::test(flavor = "multi_thread")]
async fn failures_to_go_on_with_a_stream_are_not_forwarded() {
    let cases = [
        "failure",
        "failure-of-the-request",
        "failure-without-a-seal",
        "refusal",
    ];
    let seen = continue_streams(&cases).await;
    insta::assert_snapshot!(seen, @r#"
    failure: 200 complete [0 1 2 3], after ["1", "1"]
    failure-of-the-request: 200 complete [0 1 2 3], after ["1", "1"]
    failure-without-a-seal: 200 complete [0 1 2 3], after ["1", "1"]
    refusal: 200 complete [0 1 2 3], after ["1", "1"]
    "#);
}

/// Bytes that are no answer to the attempt to go on with a stream are not forwarded within it.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_do_not_answer_the_continuation_are_not_forwarded() {
    let seen =
        continue_streams(&["other-request", "no-seal", "refusal-of-another", "garbage"]).await;
    insta::assert_snapshot!(seen, @r#"
    other-request: 200 complete [0 1 2 3], after ["1", "1"]
    no-seal: 200 complete [0 1 2 3], after ["1", "1"]
    refusal-of-another: 200 complete [0 1 2 3], after ["1", "1"]
    garbage: 200 complete [0 1 2 3], after ["1", "1"]
    "#);
    let seen = continue_streams(&["torn", "torn-head", "nothing"]).await;
    insta::assert_snapshot!(seen, @r#"
    torn: 200 complete [0 1 2 3], after ["1", "1"]
    torn-head: 200 complete [0 1 2 3], after ["1", "1"]
    nothing: 200 complete [0 1 2 3], after ["1", "1"]
    "#);
}

/// Regression test: a resumed stream was forwarded with the length of its first server's answer, so
/// that it looked complete when that many bytes had been sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_has_no_length() {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        let length = events(0..4).len();
        let fields = format!(
            "response-seal: seal\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n"
        );
        match request.earlier_of_attempt {
            0 => vec![
                send(&(head("200 OK", attempt, &fields) + &events(0..2))),
                AnswerStep::Pause(ARRIVAL),
                AnswerStep::Close,
            ],
            _ => vec![stream(attempt, 2..6), AnswerStep::Close],
        }
    };
    let site = ScriptedSite::start(&["s-8", "s-9"], Arc::new(script)).await;
    let answer = site.call("/resume/x", "one").await;
    insta::assert_snapshot!(summary(&answer), @"200 complete [0 1 2 3 4 5]");
}

/// Regression test: events that end with CR LF were held back on a resumable route, and lost at the end
/// of the stream, which looked complete.
#[tokio::test(flavor = "multi_thread")]
async fn events_with_any_line_end_are_forwarded() {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        let fields = "response-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n";
        let crlf = |ids| events(ids).replace('\n', "\r\n");
        let start = head("200 OK", attempt, fields) + &crlf(0..2);
        match (request.earlier_of_attempt, attempt) {
            (0, "broken") => vec![send(&start), AnswerStep::Pause(ARRIVAL), AnswerStep::Reset],
            (0, _) => vec![send(&(start + &crlf(2..4) + "\r\n")), AnswerStep::Close],
            _ => vec![stream(attempt, 2..4), AnswerStep::Close],
        }
    };
    let site = ScriptedSite::start(&["s-8", "s-9"], Arc::new(script)).await;
    let whole = (events(0..4) + "\n").replace('\n', "\r\n");
    for (path, attempt) in [("/stream/x", "forwarded"), ("/resume/x", "buffered")] {
        let answer = site.call(path, attempt).await;
        assert_eq!(
            (answer.complete, &answer.body[..]),
            (true, whole.as_bytes())
        );
    }
    let resumed = events(0..2).replace('\n', "\r\n") + &events(2..4);
    let answer = site.call("/resume/x", "broken").await;
    assert_eq!(
        (answer.complete, &answer.body[..]),
        (true, resumed.as_bytes())
    );
}

/// How an answer without a length ends.
fn connection_end(case: &str, attempt: &str) -> Vec<AnswerStep> {
    let events_type = "content-type: text/event-stream\r\n";
    let text_type = "content-type: text/plain\r\n";
    let (kind, end) = case.split_once('-').unwrap_or((case, ""));
    let (fields, body) = match kind {
        "plain" => (text_type, "the whole answer".to_owned()),
        "between" => (events_type, events(0..2)),
        "within" => (events_type, events(0..2) + "id: 2\nda"),
        _ => panic!("no such case"),
    };
    let status = match end {
        "fin10" | "rst10" => "HTTP/1.0 200 OK",
        _ => "HTTP/1.1 200 OK",
    };
    let connection = match end {
        "fin" | "rst" => "",
        _ => "connection: close\r\n",
    };
    let head = format!(
        "{status}\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\n{fields}{connection}\r\n"
    );
    let last = if end.starts_with("fin") {
        AnswerStep::Close
    } else {
        AnswerStep::Reset
    };
    vec![send(&(head + &body)), AnswerStep::Pause(ARRIVAL), last]
}

/// Calls a route whose server ends its answers with the connection, between requests that are answered
/// on kept connections.
async fn end_with_connection(path: &str, kind: &str) -> String {
    let script = |request: &ScriptedRequest| {
        let attempt = request.attempt.as_str();
        let is_stream = !request.path.starts_with("/once/") && !request.path.starts_with("/safe/");
        match (attempt.strip_prefix("kept-"), request.earlier_of_attempt) {
            (Some(_), _) => vec![answer(attempt)],
            (None, 0) => connection_end(attempt, attempt),
            (None, _) if is_stream => vec![stream(attempt, 2..4), AnswerStep::Close],
            (None, _) => vec![answer(attempt)],
        }
    };
    let site = ScriptedSite::start(&["s-8", "s-9"], Arc::new(script)).await;
    let mut lines = Vec::new();
    for end in ["fin", "finclose", "fin10", "rst", "rstclose", "rst10"] {
        let case = format!("{kind}-{end}");
        let kept = site.call("/once/x", &format!("kept-{case}")).await;
        assert_eq!((kept.status.as_u16(), &kept.body[..]), (200, &b"ok"[..]));
        let answer = site.call(path, &case).await;
        let arrivals = site.server.requests_of(&case).len();
        lines.push(format!("{case}: {}, arrivals {arrivals}", summary(&answer)));
    }
    lines.join("\n")
}

/// A plain answer without a length is whole when its connection is closed, and broken off when it is
/// reset: then a request that may run again does.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_end_with_their_connection() {
    let seen = end_with_connection("/once/x", "plain").await;
    insta::assert_snapshot!(seen, @r"
    plain-fin: 200 complete [the whole answer], arrivals 1
    plain-finclose: 200 complete [the whole answer], arrivals 1
    plain-fin10: 200 complete [the whole answer], arrivals 1
    plain-rst: 502 [server_lost], arrivals 1
    plain-rstclose: 502 [server_lost], arrivals 1
    plain-rst10: 502 [server_lost], arrivals 1
    ");
    let seen = end_with_connection("/safe/x", "plain").await;
    insta::assert_snapshot!(seen, @r"
    plain-fin: 200 complete [the whole answer], arrivals 1
    plain-finclose: 200 complete [the whole answer], arrivals 1
    plain-fin10: 200 complete [the whole answer], arrivals 1
    plain-rst: 200 complete [ok], arrivals 2
    plain-rstclose: 200 complete [ok], arrivals 2
    plain-rst10: 200 complete [ok], arrivals 2
    ");
}

/// A stream without a length is whole when its connection is closed between two events, and broken off
/// when it is closed within one or reset. A resumable one goes on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn streams_end_with_their_connection() {
    let seen = end_with_connection("/stream/x", "between").await;
    insta::assert_snapshot!(seen, @r"
    between-fin: 200 complete [0 1], arrivals 1
    between-finclose: 200 complete [0 1], arrivals 1
    between-fin10: 200 complete [0 1], arrivals 1
    between-rst: 200 broken [0 1], arrivals 1
    between-rstclose: 200 broken [0 1], arrivals 1
    between-rst10: 200 broken [0 1], arrivals 1
    ");
    let seen = end_with_connection("/stream/x", "within").await;
    insta::assert_snapshot!(seen, @r"
    within-fin: 200 broken [0 1 id: 2\nda], arrivals 1
    within-finclose: 200 broken [0 1 id: 2\nda], arrivals 1
    within-fin10: 200 broken [0 1 id: 2\nda], arrivals 1
    within-rst: 200 broken [0 1 id: 2\nda], arrivals 1
    within-rstclose: 200 broken [0 1 id: 2\nda], arrivals 1
    within-rst10: 200 broken [0 1 id: 2\nda], arrivals 1
    ");
    let seen = end_with_connection("/resume/x", "between").await;
    insta::assert_snapshot!(seen, @r"
    between-fin: 200 complete [0 1], arrivals 1
    between-finclose: 200 complete [0 1], arrivals 1
    between-fin10: 200 complete [0 1], arrivals 1
    between-rst: 200 complete [0 1 2 3], arrivals 2
    between-rstclose: 200 complete [0 1 2 3], arrivals 2
    between-rst10: 200 complete [0 1 2 3], arrivals 2
    ");
    let seen = end_with_connection("/resume/x", "within").await;
    insta::assert_snapshot!(seen, @r"
    within-fin: 200 complete [0 1 2 3], arrivals 2
    within-finclose: 200 complete [0 1 2 3], arrivals 2
    within-fin10: 200 complete [0 1 2 3], arrivals 2
    within-rst: 200 complete [0 1 2 3], arrivals 2
    within-rstclose: 200 complete [0 1 2 3], arrivals 2
    within-rst10: 200 complete [0 1 2 3], arrivals 2
    ");
}
