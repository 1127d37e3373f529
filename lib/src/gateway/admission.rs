//! Admits or refuses callers' requests according to the current configuration.

use std::time::Duration;

use rand::Rng;
use smol_str::SmolStr;

use super::{
    GatewayReducer, TimerKind,
    catalog::{QuotaUnit, RouteConfig, TeamConfig},
    event::{GatewayEffect, GatewayRefusal, GatewayRequest, RequestNumber},
    log_event,
    requests::{DEFAULT_RETRY_DELAY, RequestPhase, RequestRecord},
    routes::{RouteIndex, pick_target},
    shutdown::SHUTDOWN_RETRY_DELAY,
    stages::{StageClock, StageTimes},
    suspects::{SuspectCauses, SuspectVerdict},
};
use crate::{clock::ClockTime, error::ErrorKind, key::KeyDigest};

/// Fraction of the route's objective for which a request waits for a server before it is refused.
const SELECTION_OBJECTIVE_FRACTION: f64 = 0.5;
/// Minimum of that wait, as a fraction of the request's timeout.
const SELECTION_TIMEOUT_FRACTION: f64 = 0.25;
/// Time that a request may take while no configuration is known.
const UNKNOWN_ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay of requests that crash servers.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The same while it is doubtful whether its causes crash servers; a trial takes about as long.
const DOUBT_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Least urgent priority that servers support.
const MAX_PRIORITY: u8 = 9;

/// Why a request was not admitted.
struct AdmissionRefusal {
    kind: ErrorKind,
    retry_after: Option<Duration>,
    attempt: SmolStr,
    detail: String,
}

impl GatewayReducer {
    pub(super) fn request_arrived(
        &mut self,
        now: ClockTime,
        request: GatewayRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.stats.requests += 1;
        let number = request.number;
        match self.admit(now, request) {
            Ok(record) => {
                if record.is_trial {
                    log_event(effects, "suspect_tried", &record.request.attempt, "");
                }
                self.set_timer(record.deadline, TimerKind::Deadline(number));
                self.requests.insert(number, record);
                self.take_quota(now, number, effects);
            }
            Err(refusal) => {
                let AdmissionRefusal {
                    kind,
                    retry_after,
                    attempt,
                    detail,
                } = refusal;
                self.stats.refusals += 1;
                log_event(effects, "request_refused", &attempt, &detail);
                effects.push(GatewayEffect::Refuse(GatewayRefusal {
                    request: number,
                    kind,
                    retry_after,
                    stages: StageTimes::default(),
                }));
            }
        }
    }

    fn admit(
        &mut self,
        now: ClockTime,
        request: GatewayRequest,
    ) -> Result<RequestRecord, AdmissionRefusal> {
        let attempt = request.attempt.clone();
        let refuse =
            |kind: ErrorKind, retry_after: Option<Duration>, detail: String| AdmissionRefusal {
                kind,
                retry_after,
                attempt: attempt.clone(),
                detail: format!("kind={kind:?} {detail}"),
            };
        let Some(routes) = &self.routes else {
            let detail = "no configuration yet".to_owned();
            return Err(refuse(
                ErrorKind::NotReady,
                Some(DEFAULT_RETRY_DELAY),
                detail,
            ));
        };
        let version = routes.config().version;
        let (route, team) = authorize(routes, &request.host, &request.path, request.key.as_ref())
            .map_err(|kind| refuse(kind, None, format!("config={version}")))?;
        let (route, team) = (route.clone(), team.cloned());
        if self.is_closed_to(now, route.retry, request_timeout(&request, &route)) {
            let detail = format!("route={}", route.name);
            let retry = Some(SHUTDOWN_RETRY_DELAY);
            return Err(refuse(ErrorKind::ShuttingDown, retry, detail));
        }
        let team_name = team.as_ref().map_or("", |team| team.name.as_str());
        let causes = SuspectCauses::new(&request, team_name);
        let verdict = self.judge_request(now, &causes);
        let retry_delay = match verdict {
            SuspectVerdict::Sound | SuspectVerdict::Trial => None,
            SuspectVerdict::Doubtful => Some(DOUBT_RETRY_DELAY),
            SuspectVerdict::Refused => Some(SUSPECT_RETRY_DELAY),
        };
        if retry_delay.is_some() {
            let detail = "crashed servers before".to_owned();
            return Err(refuse(ErrorKind::NoServer, retry_delay, detail));
        }
        let cost = request_cost(&request, team.as_ref());
        let record = self.new_record(now, request, &route, team.as_ref(), cost, causes);
        Ok(RequestRecord {
            is_trial: verdict == SuspectVerdict::Trial,
            ..record
        })
    }

    /// Checks what the head of a request decides, before its body is read; returns how long the
    /// request may take.
    ///
    /// # Errors
    ///
    /// Returns why the request would be refused whatever its body is.
    pub fn check_head(
        &self,
        host: &str,
        path: &str,
        key: Option<&KeyDigest>,
    ) -> Result<Duration, ErrorKind> {
        match &self.routes {
            Some(routes) => Ok(authorize(routes, host, path, key)?.0.timeout),
            None => Ok(UNKNOWN_ROUTE_TIMEOUT),
        }
    }

    fn new_record(
        &mut self,
        now: ClockTime,
        request: GatewayRequest,
        route: &RouteConfig,
        team: Option<&TeamConfig>,
        cost: f64,
        causes: SuspectCauses,
    ) -> RequestRecord {
        let draw = self.random.random_range(0.0..1.0);
        let service = pick_target(&route.targets, draw)
            .map(|target| target.service.clone())
            .unwrap_or_default();
        build_record(now, request, route, team, service, (cost, causes))
    }

    /// Refuses requests that have not been sent and that the current configuration no longer
    /// allows.
    pub(super) fn refuse_withdrawn(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let Some(routes) = &self.routes else { return };
        let withdrawn: Vec<(RequestNumber, ErrorKind)> = self
            .requests
            .iter()
            .filter(|(_, record)| !matches!(record.phase, RequestPhase::Sent(_)))
            .filter_map(|(number, record)| {
                let request = &record.request;
                let Some(route) = routes.route(&request.host, &request.path) else {
                    return Some((*number, ErrorKind::UnknownRoute));
                };
                let has_team = request.key.is_some_and(|key| routes.team(&key).is_some());
                let needs_team = !route.public && !routes.config().teams.is_empty();
                (needs_team && !has_team).then_some((*number, ErrorKind::KeyWithdrawn))
            })
            .collect();
        for (number, kind) in withdrawn {
            self.refuse(now, number, kind, effects);
        }
    }
}

/// Creates the record of a request that is routed to `service`.
pub(super) fn build_record(
    now: ClockTime,
    request: GatewayRequest,
    route: &RouteConfig,
    team: Option<&TeamConfig>,
    service: SmolStr,
    (cost, causes): (f64, SuspectCauses),
) -> RequestRecord {
    let timeout = request_timeout(&request, route);
    RequestRecord {
        service,
        route: route.name.clone(),
        retry: route.retry,
        objective: route.objective,
        pause_objective: route.pause_objective,
        max_attempts: route.max_attempts.max(1),
        priority: request_priority(route, team),
        team: team.map(|team| team.name.clone()),
        cost,
        arrived: now,
        deadline: now.after(timeout),
        selection_deadline: now.after(
            route
                .objective
                .mul_f64(SELECTION_OBJECTIVE_FRACTION)
                .max(timeout.mul_f64(SELECTION_TIMEOUT_FRACTION)),
        ),
        failed_selections: 0,
        phase: RequestPhase::AwaitingQuota,
        stages: StageClock::new(now),
        lenders: Vec::new(),
        grant: 0,
        has_grant: false,
        granted_version: 0,
        asked_at: now,
        was_queued: false,
        full_server: None,
        uncached_tokens: 0,
        busy_replies: 0,
        excluded: Vec::new(),
        late_server: None,
        sends: 0,
        runs: 0,
        sent_at: now,
        started_at: None,
        causes,
        is_trial: false,
        request,
    }
}

/// Finds the route of a request and the team of its key.
fn authorize<'r>(
    routes: &'r RouteIndex,
    host: &str,
    path: &str,
    key: Option<&KeyDigest>,
) -> Result<(&'r RouteConfig, Option<&'r TeamConfig>), ErrorKind> {
    let route = routes.route(host, path).ok_or(ErrorKind::UnknownRoute)?;
    let team = key.and_then(|key| routes.team(key));
    if !route.public && !routes.config().teams.is_empty() && team.is_none() {
        return Err(match key {
            Some(_) => ErrorKind::InvalidKey,
            None => ErrorKind::MissingKey,
        });
    }
    Ok((route, team))
}

/// Priority of a request; that of the team takes precedence.
pub(super) fn request_priority(route: &RouteConfig, team: Option<&TeamConfig>) -> u8 {
    let of_team = team.and_then(|team| team.priority);
    of_team.unwrap_or(route.priority).min(MAX_PRIORITY)
}

/// How long a request may take.
pub(super) fn request_timeout(request: &GatewayRequest, route: &RouteConfig) -> Duration {
    request.deadline.unwrap_or(route.timeout).min(route.timeout)
}

/// Cost of a request, in the unit of its team's limit.
pub(super) fn request_cost(request: &GatewayRequest, team: Option<&TeamConfig>) -> f64 {
    match team {
        Some(team) if team.unit == QuotaUnit::Tokens => match request.tokens {
            Some((prompt, output)) => prompt.saturating_add(output) as f64,
            None => team.default_request_tokens,
        },
        _ => 1.0,
    }
}
