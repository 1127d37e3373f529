//! `wasabistall route`: explains the routing of gateways.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, WrapErr, eyre};
use hyper::StatusCode;
use serde::Deserialize;
use wasabistall_lib::gateway::route_explain::{
    AdmissionView, CandidateView, GrantView, Rejection, RouteDecision, RouteExplanation,
    SchedulerView, ServiceView,
};

use crate::{
    CommandOutcome,
    deployment::Deployment,
    flags,
    http::{HttpCall, fetch},
    output::{Output, table},
};

/// Body of the answer to a question that an instance cannot answer.
#[derive(Deserialize)]
struct ExplainFailure {
    error: String,
    hint: String,
}

pub(crate) async fn run(
    command: &flags::Route,
    deployment: impl FnOnce() -> Result<Deployment>,
    output: Output,
) -> Result<CommandOutcome> {
    let flags::RouteCmd::ExplainRoute(command) = &command.subcommand;
    let address = match command.address {
        Some(address) => address,
        None => find_address(command, &deployment()?)?,
    };
    let path = format!("/v1/routes/explain?{}", encode_query(command));
    let (status, body) = fetch(HttpCall::get(address, &path, "")).await?;
    if !status.is_success() {
        return Err(explain_failure(address, status, &body));
    }
    let explanation: RouteExplanation = serde_json::from_slice(&body).wrap_err_with(|| {
        format!("{address} returned an invalid response\n    hint: use the tool of its version")
    })?;
    output.print(&explanation, || describe(&explanation))?;
    Ok(if is_served(&explanation) {
        CommandOutcome::Success
    } else {
        CommandOutcome::Problems
    })
}

fn find_address(command: &flags::ExplainRoute, deployment: &Deployment) -> Result<SocketAddr> {
    let known = &deployment.operators;
    let found = match &command.instance {
        Some(instance) => known.get(instance),
        None => known.values().next(),
    };
    found.copied().ok_or_else(|| {
        let names: Vec<&str> = known.keys().map(|name| name.as_str()).collect();
        let wanted = command.instance.as_deref().unwrap_or("any instance");
        eyre!(
            "the deployment file does not list {wanted}\n    hint: use --address, or one of: {}",
            names.join(", ")
        )
    })
}

fn encode_query(command: &flags::ExplainRoute) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("host", &command.host);
    query.append_pair("path", &command.path);
    for (name, value) in [
        ("team", &command.team),
        ("model", &command.model),
        ("prompt_tokens", &command.prompt_tokens),
        ("output_tokens", &command.output_tokens),
    ] {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    query.finish()
}

fn explain_failure(address: SocketAddr, status: StatusCode, body: &[u8]) -> eyre::Report {
    match serde_json::from_slice::<ExplainFailure>(body) {
        Ok(failure) => eyre!("{}\n    hint: {}", failure.error, failure.hint),
        Err(_) => eyre!(
            "{address} returned {status}\n    hint: use the operators' address of a gateway of this \
             version"
        ),
    }
}

/// Whether no part of the route would reject the request.
fn is_served(explanation: &RouteExplanation) -> bool {
    let is_admitted = !matches!(explanation.admission, AdmissionView::Rejected(_));
    let is_routed = |service: &ServiceView| !matches!(service.decision, RouteDecision::Reject(_));
    is_admitted && !explanation.services.is_empty() && explanation.services.iter().all(is_routed)
}

fn describe(explanation: &RouteExplanation) -> String {
    let route = &explanation.route;
    let mut text = format!(
        "instance {} ({}), configuration {}, catalog {}\n\
         route {} ({}{}), priority {}, objective {} ms, timeout {} ms\n",
        explanation.instance,
        explanation.data_centre,
        explanation.config_version,
        describe_age(explanation.catalog_age),
        route.name,
        route.host,
        route.prefix,
        route.priority,
        route.objective.as_millis(),
        route.timeout.as_millis(),
    );
    if let Some(team) = &explanation.team {
        text.push_str(&format!("team {team}\n"));
    }
    if let Some(model) = &explanation.model {
        let version = explanation.min_version;
        let version = version.map_or(String::new(), |version| format!(", version {version}"));
        text.push_str(&format!("model {model}{version}\n"));
    }
    text.push_str(&format!(
        "admission: {}\n",
        describe_admission(&explanation.admission)
    ));
    for service in &explanation.services {
        text.push_str(&describe_service(service));
    }
    for note in &explanation.notes {
        text.push_str(&format!("note: {note}\n"));
    }
    text
}

fn describe_age(age: Option<Duration>) -> String {
    age.map_or("of unknown age".to_owned(), |age| {
        format!("{} ms old", age.as_millis())
    })
}

fn describe_rejection(rejection: &Rejection) -> String {
    let status = rejection.kind.response().status;
    let name = rejection.kind.name();
    match rejection.retry_after {
        Some(time) => format!("{status} {name}, Retry-After {} ms", time.as_millis()),
        None => format!("{status} {name}"),
    }
}

fn describe_admission(admission: &AdmissionView) -> String {
    match admission {
        AdmissionView::Admitted { cost } => format!("admitted, cost {cost}"),
        AdmissionView::Loan {
            cost,
            missing,
            lenders,
            otherwise,
        } => format!(
            "cost {cost}; {missing:.1} of it would be borrowed from up to {lenders} instances, \
             otherwise rejected: {}",
            describe_rejection(otherwise)
        ),
        AdmissionView::Rejected(rejection) => {
            format!("rejected: {}", describe_rejection(rejection))
        }
    }
}

fn describe_service(service: &ServiceView) -> String {
    let mut text = format!(
        "\nservice {}, {:.0} % of the requests: {}\n",
        service.service,
        service.share * 100.0,
        describe_decision(&service.decision)
    );
    if !service.candidates.is_empty() {
        let mut rows = vec![header(&service.candidates)];
        rows.extend(service.candidates.iter().map(describe_candidate));
        text.push_str(&table(&rows));
    }
    for excluded in &service.excluded {
        text.push_str(&format!(
            "excluded {}: {}\n",
            excluded.server, excluded.reason
        ));
    }
    text
}

fn describe_decision(decision: &RouteDecision) -> String {
    match decision {
        RouteDecision::Send { server, wait } if wait.is_zero() => format!("sent to {server}"),
        RouteDecision::Send { server, wait } => {
            format!("sent to {server} after {} ms", wait.as_millis())
        }
        RouteDecision::SendToAny => {
            "sent to one of these, with a preference for little load".to_owned()
        }
        RouteDecision::AskScheduler { server } => {
            format!("the scheduler of {server} would be asked")
        }
        RouteDecision::Wait {
            max_wait,
            otherwise,
        } => format!(
            "waits for a server for up to {} ms, then rejected: {}",
            max_wait.as_millis(),
            describe_rejection(otherwise)
        ),
        RouteDecision::Reject(rejection) => {
            format!("rejected: {}", describe_rejection(rejection))
        }
    }
}

fn header(candidates: &[CandidateView]) -> Vec<String> {
    let mut header = vec!["server", "data centre"];
    if candidates
        .iter()
        .any(|candidate| candidate.engine.is_some())
    {
        header.extend(["cost", "parts", "adapter", "backlog", "scheduler"]);
    }
    header.extend(["load", "failures"]);
    header.into_iter().map(str::to_owned).collect()
}

fn describe_candidate(candidate: &CandidateView) -> Vec<String> {
    let mut row = vec![
        candidate.server.to_string(),
        candidate.data_centre.to_string(),
    ];
    if let Some(engine) = &candidate.engine {
        let parts: Vec<String> = candidate
            .cost_parts
            .iter()
            .filter(|(_, cost)| **cost != 0.0)
            .map(|(name, cost)| format!("{name} {cost:.1}"))
            .collect();
        let residency = serde_json::to_value(engine.residency).unwrap_or_default();
        row.extend([
            candidate
                .cost
                .map_or("-".to_owned(), |cost| format!("{cost:.1}")),
            parts.join(" + "),
            residency.as_str().unwrap_or_default().to_owned(),
            format!("{} ms", engine.backlog.as_millis()),
            describe_scheduler(&engine.scheduler, candidate.grant),
        ]);
    }
    row.push(format!(
        "{:.1} of {} ({})",
        candidate.load,
        candidate.slots,
        candidate
            .load_age
            .map_or("no report".to_owned(), |age| describe_age(Some(age)))
    ));
    row.push(format!(
        "{:.2} ({} ms old)",
        candidate.failure_share,
        candidate.failures_age.as_millis()
    ));
    row
}

fn describe_scheduler(scheduler: &SchedulerView, grant: Option<GrantView>) -> String {
    let by = match scheduler {
        SchedulerView::Own => "this instance".to_owned(),
        SchedulerView::Peer {
            instance,
            heartbeat_age,
            backlog_age,
        } => format!(
            "{instance} (heartbeat {}, backlog {})",
            describe_age(*heartbeat_age),
            describe_age(*backlog_age)
        ),
        SchedulerView::None => "none".to_owned(),
    };
    match grant {
        Some(GrantView::Granted { wait }) => {
            format!("{by}: granted, wait {} ms", wait.as_millis())
        }
        Some(GrantView::Declined { reason }) => {
            let reason = serde_json::to_value(reason).unwrap_or_default();
            format!("{by}: declined, {}", reason.as_str().unwrap_or_default())
        }
        None => by,
    }
}
