//! Explanations of routing: that they match what happens to real requests, and change nothing.

mod gateway;

use std::{sync::Arc, time::Duration};

use gateway::{
    desk::{server, serving_config},
    instance::{InstanceHarness, dispatched, refused},
    world::GatewayWorld,
};
use insta::assert_snapshot;
use serde_json::Value;
use wasabistall_lib::gateway::{
    availability::{RetryAfter, ServerNotice},
    catalog::PublishedItem,
    event::{AttemptEnd, AttemptStats, GatewayEvent},
    route_explain::{
        AdmissionView, ExplainError, RouteDecision, RouteExplanation, RouteQuestion, ServiceView,
    },
    servers::ServerLoad,
};

fn question(parameters: &[(&str, &str)]) -> Result<RouteQuestion, ExplainError> {
    let parameters: Vec<(String, String)> = parameters
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    RouteQuestion::from_parameters(&parameters)
}

fn explain(
    harness: &InstanceHarness,
    parameters: &[(&str, &str)],
) -> Result<RouteExplanation, ExplainError> {
    harness
        .reducer
        .explain_route(harness.now, &question(parameters)?)
}

impl InstanceHarness {
    /// Explains a request of the team.
    fn explain(&self, path: &str) -> RouteExplanation {
        let parameters = [("host", "host"), ("path", path), ("team", "team")];
        explain(self, &parameters).expect("an explanation")
    }
}

fn describe(service: &ServiceView) -> String {
    let decision = serde_json::to_string(&service.decision).unwrap();
    let mut text = format!("{decision}\n");
    for candidate in &service.candidates {
        let cost = candidate.cost.map(|cost| format!("{cost:.1}"));
        text.push_str(&format!(
            "{} local={} cost={} load={:.1}/{} age={:?} failures={:.2} {}\n",
            candidate.server,
            candidate.is_local,
            cost.unwrap_or_default(),
            candidate.load,
            candidate.slots,
            candidate.load_age,
            candidate.failure_share,
            serde_json::to_string(&candidate.engine).unwrap(),
        ));
    }
    for excluded in &service.excluded {
        text.push_str(&format!("- {}: {}\n", excluded.server, excluded.reason));
    }
    text
}

/// Guards against servers that are missing, or excluded for another reason than real requests are.
#[test]
fn a_plain_service_is_explained_by_load_failures_and_location() {
    let mut harness = InstanceHarness::new(5);
    let mut local = server(4, false);
    local.data_centre = "dc-0".into();
    harness.publish("servers/s-4", PublishedItem::Server(local));
    harness.publish("servers/s-1", PublishedItem::Server(server(1, true)));
    harness.publish("op/evacuate/dc-2", PublishedItem::Evacuation("dc-2".into()));
    for end in [AttemptEnd::NotConnected, AttemptEnd::Failed] {
        harness.request("/once/x");
        harness.handle(GatewayEvent::AttemptEnded {
            request: harness.number,
            end,
            stats: AttemptStats {
                load: Some(ServerLoad {
                    running: 5,
                    waiting: 2,
                    slots: Some(6),
                    pace: None,
                }),
                ..AttemptStats::default()
            },
        });
    }
    harness.advance(Duration::from_millis(100));
    let explanation = harness.explain("/once/x");
    assert_snapshot!(describe(&explanation.services[0]), @r#"
    {"next":"send_to_any"}
    s-3 local=false cost= load=6.0/6 age=Some(100ms) failures=0.15 null
    s-5 local=false cost= load=7.0/6 age=None failures=0.00 null
    - s-1: draining
    - s-2: its data centre is evacuated
    - s-4: refused a connection; tried again in 150 ms
    "#);
}

/// Guards against an explanation that differs from what callers get, such as another retry delay.
#[test]
fn rejections_are_explained_as_callers_see_them() {
    let mut harness = InstanceHarness::new(1);
    let mut config = serving_config(2, &[b"key"]);
    (config.teams[0].rate, config.teams[0].burst) = (1.0, 4.0);
    harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
    let mut rejected = 0;
    for _ in 0..40 {
        let admission = harness.explain("/once/x").admission;
        let effects = harness.request("/once/x");
        let refusal = refused(&effects).map(|refusal| (refusal.kind, refusal.retry_after));
        let explained = match admission {
            AdmissionView::Rejected(rejection) => Some((rejection.kind, rejection.retry_after)),
            AdmissionView::Admitted { .. } | AdmissionView::Loan { .. } => None,
        };
        assert_eq!(explained, refusal);
        rejected += usize::from(refusal.is_some());
        harness.end(AttemptEnd::Completed { success: true });
        harness.advance(Duration::from_millis(100));
    }
    assert!((10..39).contains(&rejected), "{rejected} rejected");
}

/// The same for requests without a server: they wait, or are rejected immediately.
#[test]
fn requests_without_a_server_are_explained_as_callers_see_them() {
    let decision = |harness: &InstanceHarness| {
        let decision = &harness.explain("/safe/x").services[0].decision;
        serde_json::to_string(decision).unwrap()
    };
    let empty = InstanceHarness::new(0);
    let mut paused = InstanceHarness::new(1);
    let effects = paused.request("/safe/x");
    let dispatch = dispatched(&effects).expect("a dispatch");
    paused.handle(GatewayEvent::ServerNoticed {
        server: dispatch.server,
        started: dispatch.started,
        notice: ServerNotice {
            is_leaving: false,
            retry_after: Some(RetryAfter::Time(Duration::from_secs(4))),
        },
    });
    paused.end(AttemptEnd::Rejected { misdirected: false });
    let explained = paused.explain("/safe/x").services.remove(0).decision;
    let refusal = refused(&paused.request("/safe/x")).expect("a refusal");
    assert!(
        matches!(explained, RouteDecision::Reject(rejection)
            if (rejection.kind, rejection.retry_after) == (refusal.kind, refusal.retry_after)),
        "{explained:?} {refusal:?}"
    );
    assert_snapshot!(
        decision(&empty),
        @r#"{"next":"wait","max_wait_ms":750,"otherwise":{"kind":"no_server","retry_after_ms":400}}"#
    );
}

/// Guards against errors that do not say how to ask instead.
#[test]
fn questions_that_cannot_be_answered_get_a_hint() {
    let harness = InstanceHarness::new(1);
    let mut text = String::new();
    for parameters in [
        &[("path", "/once/x")][..],
        &[("host", "host"), ("host", "host"), ("path", "/once/x")],
        &[("host", "host"), ("path", "/once/x"), ("tokens", "3")],
        &[("host", "other"), ("path", "/once/x")],
        &[("host", "host"), ("path", "/nowhere")],
        &[("host", "host"), ("path", "/once/x"), ("team", "nobody")],
        &[("host", "host"), ("path", "/once/x"), ("model", "base/")],
        &[
            ("host", "host"),
            ("path", "/once/x"),
            ("prompt_tokens", "-1"),
        ],
    ] {
        let error = explain(&harness, parameters).expect_err("an error");
        text.push_str(&format!("{} {error}: {}\n", error.status(), error.hint()));
    }
    assert_snapshot!(text, @r#"
    400 parameter `host` is missing: give `host` and `path`, and any of team, model, prompt_tokens, output_tokens, each once
    400 parameter `host` is given more than once: give `host` and `path`, and any of team, model, prompt_tokens, output_tokens, each once
    400 unknown parameter "tokens": give `host` and `path`, and any of team, model, prompt_tokens, output_tokens, each once
    404 no route for path "/once/x" of host "other": hosts: host
    404 no route for path "/nowhere" of host "host": prefixes of this host: /safe/, /once/, /stream/
    404 unknown team "nobody": teams: team
    400 "base/" is not a model: write MODEL or MODEL/ADAPTER
    400 `prompt_tokens` is not a number of tokens: "-1": write a whole number of tokens, without a unit
    "#);
}

/// Guards against a question that spends quota, counts as a request to a cold server, or draws from
/// the random number generator.
#[test]
fn asking_changes_and_counts_nothing() {
    let run = |asks: bool| {
        let mut harness = InstanceHarness::new(4);
        let mut config = serving_config(2, &[b"key"]);
        config.services[0].cold_rate = 6.9;
        (config.teams[0].rate, config.teams[0].burst) = (20.0, 20.0);
        let mut effects = harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
        let mut cold = server(1, false);
        cold.cold_for = Duration::from_secs(3);
        effects.extend(harness.publish("servers/s-1", PublishedItem::Server(cold)));
        for round in 0..60 {
            for path in ["/once/x", "/safe/x", "/stream/x"] {
                if asks {
                    harness.explain(path);
                }
            }
            effects.extend(harness.request(["/once/x", "/safe/x"][round % 2]));
            effects.extend(harness.end(AttemptEnd::Completed {
                success: round % 5 > 0,
            }));
            effects.extend(harness.advance(Duration::from_millis(20)));
        }
        (effects, harness.reducer.stats())
    };
    assert_eq!(run(true), run(false));
}

impl GatewayWorld {
    fn explain(&self, index: usize, adapter: &str) -> RouteExplanation {
        let model = format!("base/{adapter}");
        let question = question(&[
            ("host", "host"),
            ("path", "/chat/x"),
            ("team", "team"),
            ("model", &model),
            ("prompt_tokens", "3000"),
        ]);
        self.reducer(index)
            .explain_route(self.local_time(index), &question.unwrap())
            .expect("an explanation")
    }
}

/// Guards against a choice in the explanation that differs from that of real requests.
#[test]
fn model_requests_go_to_the_explained_server() {
    let mut world = GatewayWorld::new(5, 3, 4);
    world.run(Duration::from_secs(10));
    let mut explained = Vec::new();
    let mut sent = Vec::new();
    for round in 0..40 {
        let adapter = format!("a{}", round % 7);
        let decision = world.explain(0, &adapter).services.remove(0).decision;
        explained.push(match decision {
            RouteDecision::Send { server, .. } | RouteDecision::AskScheduler { server } => server,
            other => panic!("{other:?}"),
        });
        let count = world.dispatches.len();
        world.request(0, &adapter, 3_000);
        world.run(Duration::from_millis(400));
        let (address, _) = world.dispatches[count];
        sent.push(format!(
            "s-{}",
            address.ip().to_string().split('.').next_back().unwrap()
        ));
    }
    assert_eq!(explained, sent);
    assert_snapshot!(describe(&world.explain(0, "a1").services[0]), @r#"
    {"next":"ask_scheduler","server":"s-0"}
    s-0 local=true cost=8.0 load=0.0/64 age=None failures=0.00 {"residency":"loaded","may_order":true,"backlog_ms":0,"scheduler":{"by":"peer","instance":"n-2","heartbeat_age_ms":399,"backlog_age_ms":798}}
    s-3 local=true cost=370.6 load=0.0/64 age=None failures=0.00 {"residency":"missing","may_order":true,"backlog_ms":0,"scheduler":{"by":"own"}}
    s-1 local=true cost=380.0 load=0.0/64 age=None failures=0.00 {"residency":"missing","may_order":true,"backlog_ms":0,"scheduler":{"by":"own"}}
    s-2 local=true cost=500.2 load=0.0/64 age=None failures=0.00 {"residency":"missing","may_order":true,"backlog_ms":0,"scheduler":{"by":"peer","instance":"n-1","heartbeat_age_ms":399,"backlog_age_ms":null}}
    "#);
}

/// Fails if the wire form of an explanation changes: older builds of the tool read it.
#[test]
fn the_wire_form_is_stable() {
    let mut world = GatewayWorld::new(6, 3, 1);
    world.run(Duration::from_secs(10));
    let explanation = world.explain(0, "a1");
    let text = serde_json::to_string(&explanation).unwrap();
    assert_eq!(
        serde_json::from_str::<RouteExplanation>(&text).unwrap(),
        explanation
    );
    let mut value = serde_json::to_value(&explanation).unwrap();
    clear_numbers(&mut value);
    assert_snapshot!(serde_json::to_string_pretty(&value).unwrap(), @r#"
    {
      "admission": {
        "cost": 0,
        "result": "admitted"
      },
      "catalog_age_ms": 0,
      "config_version": 0,
      "data_centre": "dc-0",
      "instance": "n-0",
      "min_version": null,
      "model": "base/a1",
      "notes": [
        "parts of the prompt that a server may have cached are not considered",
        "no server has or had this adapter; its name is not checked, since the configuration does not list adapters"
      ],
      "route": {
        "host": "host",
        "name": "r-1",
        "objective_ms": 0,
        "prefix": "/chat/",
        "priority": 0,
        "timeout_ms": 0
      },
      "services": [
        {
          "candidates": [
            {
              "cost": 0,
              "cost_parts": {
                "crossing": 0,
                "failures": 0,
                "mixing": 0,
                "rank": 0,
                "store_load": 0,
                "time": 0,
                "unscheduled": 0
              },
              "data_centre": "dc-0",
              "engine": {
                "backlog_ms": 0,
                "may_order": true,
                "residency": "missing",
                "scheduler": {
                  "backlog_age_ms": null,
                  "by": "peer",
                  "heartbeat_age_ms": 0,
                  "instance": "n-2"
                }
              },
              "failure_share": 0,
              "failures_age_ms": 0,
              "grant": null,
              "in_flight": 0,
              "is_local": true,
              "load": 0,
              "load_age_ms": null,
              "server": "s-0",
              "slots": 0
            }
          ],
          "decision": {
            "next": "ask_scheduler",
            "server": "s-0"
          },
          "excluded": [],
          "service": "models",
          "share": 0
        }
      ],
      "team": "team"
    }
    "#);
}

/// Sets all numbers to 0.
fn clear_numbers(value: &mut Value) {
    match value {
        Value::Number(number) => *number = 0.into(),
        Value::Array(values) => values.iter_mut().for_each(clear_numbers),
        Value::Object(fields) => fields.values_mut().for_each(clear_numbers),
        Value::Null | Value::Bool(_) | Value::String(_) => {}
    }
}
