//! A real gateway process with a server that answers an upload at once and resets the connection while
//! the rest of it is still being sent.

mod site;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use wasabistall_testutils::scripted::{AnswerStep, BodyReading, ScriptedRequest};

use self::site::scripted::{MAX_BODY_BYTES, ScriptedSite, head, send};

/// Times between the bytes of an answer and the reset, in milliseconds. The gateway meets the reset in a
/// write or in a read.
const RESET_DELAYS: [u64; 8] = [0, 0, 1, 2, 5, 10, 20, 50];
static UPLOAD: [u8; MAX_BODY_BYTES - 100_000] = [b'x'; MAX_BODY_BYTES - 100_000];

/// An answer whose body ends with its connection, if at all.
fn unfinished_answer(attempt: &str, status: &str, body: &str) -> String {
    let fields = format!("response-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n{body}");
    head(status, attempt, &fields)
}

/// Uploads to `path`, each of which is answered with `status` and `body` before the connection is reset.
/// Returns the answers as callers see them: status, whether complete, and whether sealed.
async fn upload_reset(
    path: &str,
    status: &'static str,
    body: String,
) -> BTreeSet<(u16, bool, bool)> {
    let script = move |request: &ScriptedRequest| {
        let delay = request.attempt.rsplit('-').next();
        let delay = delay.and_then(|text| text.parse().ok()).expect("a delay");
        vec![
            send(&unfinished_answer(&request.attempt, status, &body)),
            AnswerStep::Pause(Duration::from_millis(delay)),
            AnswerStep::Reset,
        ]
    };
    let site = ScriptedSite::start_reading(&["s-8"], Arc::new(script), BodyReading::Never).await;
    let mut answers = BTreeSet::new();
    for (number, delay) in RESET_DELAYS.iter().enumerate() {
        let attempt = format!("upload-{number}-{delay}");
        let answer = site.upload(path, &attempt, &UPLOAD).await;
        let arrivals = site.server.requests_of(&attempt);
        assert!(!arrivals.is_empty(), "{path}, {attempt}: {answer:?}");
        let is_sealed = answer.headers.contains_key("response-seal");
        answers.insert((answer.status.as_u16(), answer.complete, is_sealed));
    }
    answers
}

/// Guards against a part of a body that passes for the whole, because the write of the upload took the
/// error and the read saw a plain end.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete() {
    for path in ["/once/x", "/safe/x"] {
        let answers = upload_reset(path, "200 OK", "x".repeat(5_000)).await;
        let expected = BTreeSet::from([(502, true, false)]);
        assert_eq!(answers, expected, "{path}: status, complete, sealed");
    }
}

/// The same for streams, which may have begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_reset_during_an_upload_is_not_complete() {
    for path in ["/stream/x", "/resume/x"] {
        let events: String = (0..20)
            .map(|number| format!("id: {number}\ndata: token\n\n"))
            .collect();
        let answers = upload_reset(path, "200 OK", events).await;
        for (status, is_complete, _) in &answers {
            let looks_complete = *status < 300 && *is_complete;
            assert!(!looks_complete, "{path}: {answers:?}");
        }
    }
}

/// Guards against a status outside of the protocol that is passed on.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_status_000_is_a_failure_of_the_server() {
    for path in ["/once/x", "/safe/x", "/stream/x", "/resume/x"] {
        let answers = upload_reset(path, "000 Trouble", "x".repeat(5_000)).await;
        let expected = BTreeSet::from([(502, true, false)]);
        assert_eq!(answers, expected, "{path}: status, complete, sealed");
    }
}
