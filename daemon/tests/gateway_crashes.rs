//! A real gateway process with a server that crashes on some calls.

mod site;

use std::sync::Arc;

use wasabistall_testutils::scripted::{AnswerStep, ScriptedRequest};

use self::site::scripted::{ScriptedSite, answer};

const CALLS: usize = 8;

/// Regression test: calls were told apart by their path without the query, so that each answer to a sound
/// call cleared the call that crashed servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_servers_is_told_from_calls_with_another_query() {
    let script = |request: &ScriptedRequest| {
        if request.path.ends_with("?elder=13") {
            return vec![AnswerStep::Reset];
        }
        vec![answer(&request.attempt)]
    };
    let site = ScriptedSite::start(&["s-8"], Arc::new(script)).await;
    let (mut sound, mut arrivals) = (Vec::new(), Vec::new());
    for number in 0..CALLS {
        let path = format!("/once/slots?elder={}", 20 + number);
        let attempt = format!("sound-{number}");
        sound.push(site.call(&path, &attempt).await.status.as_u16());
        let attempt = format!("crash-{number}");
        site.call("/once/slots?elder=13", &attempt).await;
        let has_arrived = !site.server.requests_of(&attempt).is_empty();
        arrivals.push(has_arrived);
        if has_arrived {
            // The server is back under its id.
            site.site.platform.restart_server("s-8");
            let started = format!("started={}", number + 2);
            site.wait_logged("server_listed", &started).await;
        }
    }
    insta::assert_snapshot!(
        format!("sound calls: {sound:?}\ncrashing calls that arrived: {arrivals:?}"),
        @r"
    sound calls: [200, 200, 200, 200, 200, 200, 200, 200]
    crashing calls that arrived: [true, true, false, false, false, false, false, false]
    "
    );
}
