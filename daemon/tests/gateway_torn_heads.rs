//! A real gateway process with a server that stops anywhere in an answer and closes its connection.

mod site;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use wasabistall_testutils::scripted::{AnswerStep, ScriptedRequest};

use self::site::scripted::{ScriptedSite, answer, head, send};

/// How the length of an answer is known.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

fn sound_answer(attempt: &str, framing: Framing) -> String {
    let body = "id: 0\ndata: token\n\n";
    let length = body.len();
    let (field, body) = match framing {
        Framing::Length => (format!("content-length: {length}\r\n"), body.to_owned()),
        Framing::Chunks => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ),
        Framing::Connection => (String::new(), body.to_owned()),
    };
    let fields =
        format!("response-seal: seal\r\ncontent-type: text/event-stream\r\n{field}\r\n{body}");
    head("200 OK", attempt, &fields)
}

/// Number of bytes that an answer can be cut off to while it is not complete.
fn torn_lengths(attempt: &str, framing: Framing) -> std::ops::Range<usize> {
    let answer = sound_answer(attempt, framing);
    let head_bytes = answer.find("\r\n\r\n").expect("a head") + 4;
    match framing {
        Framing::Length | Framing::Chunks => 0..answer.len(),
        // Once its head is complete, such an answer ends with the connection.
        Framing::Connection => 0..head_bytes,
    }
}

/// Sends requests to `path` whose answers are cut off, and counts what callers see.
async fn call_torn(path: &str, framing: Framing, is_kept: bool, end: &AnswerStep) {
    let end = end.clone();
    let script = move |request: &ScriptedRequest| {
        let Some(cut) = request.attempt.strip_prefix("torn-") else {
            return vec![answer(&request.attempt)];
        };
        let cut: usize = cut.parse().expect("a length");
        let mut text = sound_answer(&request.attempt, framing);
        text.truncate(cut);
        vec![
            send(&text),
            AnswerStep::Pause(Duration::from_millis(2)),
            end.clone(),
        ]
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let mut seen = BTreeMap::new();
    for cut in torn_lengths("torn-100", framing) {
        if is_kept {
            // Leaves a connection to the server in the pool.
            let kept = site.call("/once/x", &format!("kept-{cut}")).await;
            assert_eq!(kept.status.as_u16(), 200);
        }
        let attempt = format!("torn-{cut:03}");
        let answer = site.call(path, &attempt).await;
        let looks_complete = answer.status.is_success() && answer.complete;
        assert!(
            !looks_complete,
            "{path}, {framing:?}, cut to {cut}: {answer:?}"
        );
        *seen.entry(answer.status.as_u16()).or_insert(0_u32) += 1;
    }
    assert!(!seen.contains_key(&200) || path != "/once/x", "{seen:?}");
}

async fn call_torn_in_all_ways(path: &str) {
    let in_framing = async |framing| {
        for is_kept in [false, true] {
            for end in [AnswerStep::Close, AnswerStep::Reset] {
                call_torn(path, framing, is_kept, &end).await;
            }
        }
    };
    tokio::join!(
        in_framing(Framing::Length),
        in_framing(Framing::Chunks),
        in_framing(Framing::Connection)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_answer_to_a_call_does_not_look_complete() {
    call_torn_in_all_ways("/once/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_answer_to_a_repeatable_call_does_not_look_complete() {
    call_torn_in_all_ways("/safe/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_stream_does_not_look_complete() {
    call_torn_in_all_ways("/stream/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_resumable_stream_does_not_look_complete() {
    call_torn_in_all_ways("/resume/x").await;
}
