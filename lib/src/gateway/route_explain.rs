//! Explains where a request would be routed now and why, without sending it.
//!
//! The explanation uses the code that routes real requests. It takes the state by shared reference,
//! so that asking changes and counts nothing.

use std::time::Duration;

use super::{
    GatewayReducer,
    admission::{build_record, request_cost, request_priority, request_timeout},
    catalog::{RouteConfig, TeamConfig},
    choice::{EngineChoice, EngineCost, RatedEngine},
    event::GatewayRequest,
    requests::{BACKLOG_TOLERANCE, DEFAULT_RETRY_DELAY, MAX_TRIED_SERVERS, RequestRecord},
    routes::RouteIndex,
    server_scheduler::GrantReply,
    servers::GatewayServerKey,
    shutdown::SHUTDOWN_RETRY_DELAY,
    suspects::SuspectCauses,
    teams::QuotaOutlook,
};
pub use super::{
    route_explanation::{
        AdapterResidency, AdmissionView, CandidateView, EngineInputs, ExcludedView, GrantView,
        Rejection, RouteDecision, RouteExplanation, RouteView, SchedulerView, ServiceView,
    },
    route_question::{ExplainError, RouteQuestion},
};
use crate::{clock::ClockTime, error::ErrorKind};

impl GatewayReducer {
    /// Explains where a request would be routed now.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance has no configuration yet, or if the configuration does not
    /// have the route, team or base model of the question.
    pub fn explain_route(
        &self,
        now: ClockTime,
        question: &RouteQuestion,
    ) -> Result<RouteExplanation, ExplainError> {
        let routes = self.routes.as_ref().ok_or(ExplainError::NotReady)?;
        let route = find_route(routes, question)?;
        let team = find_team(routes, question)?;
        self.check_model(routes, route, question)?;
        let request = build_request(question);
        let cost = request_cost(&request, team);
        let total_weight: f64 = route.targets.iter().map(|target| target.weight).sum();
        let services: Vec<ServiceView> = route
            .targets
            .iter()
            .filter(|target| target.weight > 0.0)
            .map(|target| {
                let record = build_record(
                    now,
                    request.clone(),
                    route,
                    team,
                    target.service.clone(),
                    (cost, SuspectCauses::default()),
                );
                self.explain_service(now, &record, target.weight / total_weight)
            })
            .collect();
        let mut notes = notes(routes, route, question);
        if is_adapter_unseen(&services, question) {
            notes.push(
                "no server has or had this adapter; its name is not checked, since the \
                 configuration does not list adapters"
                    .to_owned(),
            );
        }
        Ok(RouteExplanation {
            instance: self.options.instance.clone(),
            data_centre: self.options.data_centre.clone(),
            config_version: routes.config().version,
            catalog_age: self.catalog_confirmed.map(|time| now.since(time)),
            route: RouteView {
                name: route.name.clone(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                priority: request_priority(route, team),
                objective: route.objective,
                timeout: route.timeout,
            },
            team: team.map(|team| team.name.clone()),
            model: question
                .model
                .as_ref()
                .map(|model| model.to_string().into()),
            min_version: question
                .model
                .as_ref()
                .map(|model| self.min_version(model))
                .filter(|version| *version > 0),
            admission: self.explain_admission(now, route, team, &request, cost),
            services,
            notes,
        })
    }

    fn check_model(
        &self,
        routes: &RouteIndex,
        route: &RouteConfig,
        question: &RouteQuestion,
    ) -> Result<(), ExplainError> {
        let Some(wanted) = &question.model else {
            return Ok(());
        };
        let engines: Vec<_> = route
            .targets
            .iter()
            .filter_map(|target| routes.config().service(&target.service)?.engine.as_ref())
            .collect();
        let names = || engines.iter().flat_map(|engine| &engine.models);
        if engines.is_empty() || names().any(|model| model.name == wanted.model) {
            return Ok(());
        }
        Err(ExplainError::UnknownModel {
            model: wanted.model.clone(),
            known: names().map(|model| model.name.clone()).collect(),
        })
    }

    fn explain_admission(
        &self,
        now: ClockTime,
        route: &RouteConfig,
        team: Option<&TeamConfig>,
        request: &GatewayRequest,
        cost: f64,
    ) -> AdmissionView {
        if self.is_closed_to(now, route.retry, request_timeout(request, route)) {
            return AdmissionView::Rejected(Rejection {
                kind: ErrorKind::ShuttingDown,
                retry_after: Some(SHUTDOWN_RETRY_DELAY),
            });
        }
        let outlook = team.map_or(QuotaOutlook::Covered, |team| {
            self.quota_outlook(now, team, cost)
        });
        match outlook {
            QuotaOutlook::Covered => AdmissionView::Admitted { cost },
            QuotaOutlook::Exceeded {
                missing,
                lenders,
                retry_after,
            } => {
                let rejection = Rejection {
                    kind: ErrorKind::RateExceeded,
                    retry_after: Some(retry_after),
                };
                if lenders == 0 {
                    AdmissionView::Rejected(rejection)
                } else {
                    AdmissionView::Loan {
                        cost,
                        missing,
                        lenders,
                        otherwise: rejection,
                    }
                }
            }
        }
    }

    fn explain_service(&self, now: ClockTime, record: &RequestRecord, share: f64) -> ServiceView {
        let service = self
            .config()
            .and_then(|config| config.service(&record.service));
        let Some(service) = service else {
            // The configuration has no such service, so that no server is ever found.
            return ServiceView {
                service: record.service.clone(),
                share,
                decision: self.wait_or_reject(now, record),
                candidates: Vec::new(),
                excluded: Vec::new(),
            };
        };
        let cold_share = self.cold_share(now);
        let mut excluded = Vec::new();
        let mut open = Vec::new();
        for (key, server) in self.servers.listed_in_service(&service.name) {
            match self
                .servers
                .exclusion(now, key, service.cold_rate, &cold_share)
            {
                Some(reason) => excluded.push(ExcludedView {
                    server: server.record.id.clone(),
                    reason,
                }),
                None => open.push(key),
            }
        }
        let (candidates, decision) = match &service.engine {
            Some(_) if record.request.model.is_some() => {
                self.explain_engines(now, record, &mut excluded)
            }
            _ => self.explain_plain(now, record, &open),
        };
        ServiceView {
            service: service.name.clone(),
            share,
            decision,
            candidates,
            excluded,
        }
    }

    /// Explains the choice among the servers `open` of a service without model servers.
    fn explain_plain(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        open: &[GatewayServerKey],
    ) -> (Vec<CandidateView>, RouteDecision) {
        let mut candidates: Vec<CandidateView> = open
            .iter()
            .map(|key| self.candidate_view(now, *key, None))
            .collect();
        candidates.sort_by(|a, b| {
            let load_per_slot = |view: &CandidateView| view.load / f64::from(view.slots.max(1));
            load_per_slot(a).total_cmp(&load_per_slot(b))
        });
        let decision = if open.is_empty() {
            self.wait_or_reject(now, record)
        } else {
            RouteDecision::SendToAny
        };
        (candidates, decision)
    }

    fn explain_engines(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        excluded: &mut Vec<ExcludedView>,
    ) -> (Vec<CandidateView>, RouteDecision) {
        let mut rated: Vec<(GatewayServerKey, RatedEngine)> = Vec::new();
        for (key, rating) in self.rate_engines(now, record).unwrap_or_default() {
            match rating {
                Ok(engine) => rated.push((key, engine)),
                Err(reason) => excluded.push(ExcludedView {
                    server: self.servers.get(key).record.id.clone(),
                    reason,
                }),
            }
        }
        rated.sort_by(|(_, a), (_, b)| a.cost.total().total_cmp(&b.cost.total()));
        let mut decision = None;
        let mut candidates = Vec::new();
        for (position, (key, engine)) in rated.iter().enumerate() {
            let mut view = self.candidate_view(now, *key, Some(&engine.cost));
            view.engine = self.engine_inputs(now, *key, record);
            if position < MAX_TRIED_SERVERS && decision.is_none() {
                view.grant = self.expected_grant(now, record, engine.choice);
                decision = decide(&view, engine.choice);
            }
            candidates.push(view);
        }
        let decision = decision.unwrap_or_else(|| self.wait_or_reject(now, record));
        (candidates, decision)
    }

    fn candidate_view(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        cost: Option<&EngineCost>,
    ) -> CandidateView {
        let server = self.servers.get(key);
        let service_load = self.servers.service_load(&server.record.service);
        CandidateView {
            server: server.record.id.clone(),
            data_centre: server.record.data_centre.clone(),
            is_local: server.record.data_centre == self.options.data_centre,
            cost: cost.map(EngineCost::total),
            cost_parts: cost
                .map(|cost| cost.parts())
                .into_iter()
                .flatten()
                .map(|(name, cost)| (name.into(), cost))
                .collect(),
            slots: server.record.slots,
            in_flight: server.in_flight,
            load: f64::from(server.in_flight)
                + server
                    .load
                    .expected_others(now, server.record.slots, &service_load),
            load_age: server.load_age(now),
            failure_share: server.failure_share(now),
            failures_age: server.failures_age(now),
            engine: None,
            grant: None,
        }
    }

    fn engine_inputs(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        record: &RequestRecord,
    ) -> Option<EngineInputs> {
        let wanted = record.request.model.as_ref()?;
        let view = self.engine_view(now, key, wanted, self.min_version(wanted));
        let owner = self.owners.get(&self.servers.get(key).record.id);
        let scheduler = if self.schedulers.contains_key(&key) {
            SchedulerView::Own
        } else if let Some(owner) = owner {
            SchedulerView::Peer {
                instance: owner.name.clone(),
                heartbeat_age: self.members.heartbeat_age(now, &owner.name),
                backlog_age: owner.backlog_known_at.map(|time| now.since(time)),
            }
        } else {
            SchedulerView::None
        };
        Some(EngineInputs {
            residency: view.residency,
            may_order: view.active,
            backlog: view.backlog,
            scheduler,
        })
    }

    /// Reply of the server's scheduler to a grant request, if this instance is the scheduler. A copy
    /// of the scheduler decides.
    fn expected_grant(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        choice: EngineChoice,
    ) -> Option<GrantView> {
        let EngineChoice::Scheduled { server, backlog } = choice else {
            return None;
        };
        let mut scheduler = self.schedulers.get(&server)?.clone();
        let config = self.engine_config(server)?;
        let max_wait = backlog + BACKLOG_TOLERANCE;
        let request = self.grant_request_for(now, record, self.next_grant, server, max_wait)?;
        let mut load_limiter = self.load_limiter.clone();
        load_limiter.set_server_count(self.schedulers.len());
        Some(
            match scheduler.decide(now, &config, &request, &mut load_limiter) {
                GrantReply::Granted { wait, .. } => GrantView::Granted { wait },
                GrantReply::Declined { reason, .. } => GrantView::Declined { reason },
            },
        )
    }

    /// Decision on a request for which no server can be selected now.
    fn wait_or_reject(&self, now: ClockTime, record: &RequestRecord) -> RouteDecision {
        if let Some(reason) = self.unavailability(now, record) {
            return RouteDecision::Reject(Rejection {
                kind: reason.kind,
                retry_after: reason.retry_after,
            });
        }
        RouteDecision::Wait {
            max_wait: record.selection_deadline.since(now),
            otherwise: Rejection {
                kind: ErrorKind::NoServer,
                retry_after: Some(DEFAULT_RETRY_DELAY),
            },
        }
    }
}

/// What the explanation does not consider.
fn notes(routes: &RouteIndex, route: &RouteConfig, question: &RouteQuestion) -> Vec<String> {
    let mut notes = Vec::new();
    if question.team.is_none() && !route.public && !routes.config().teams.is_empty() {
        notes.push(
            "the route requires a key; quota and priority of a team are not considered".into(),
        );
    }
    let has_engine = |service: &str| {
        let service = routes.config().service(service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let targets = &route.targets;
    if question.model.is_some() {
        if targets.iter().any(|target| !has_engine(&target.service)) {
            notes.push("a service without model servers ignores the model".into());
        }
        notes.push("parts of the prompt that a server may have cached are not considered".into());
    } else if targets.iter().any(|target| has_engine(&target.service)) {
        notes
            .push("without a model, a model server is selected like one of a plain service".into());
    }
    notes
}

/// Whether the question names an adapter that none of the candidates has or had recently.
fn is_adapter_unseen(services: &[ServiceView], question: &RouteQuestion) -> bool {
    let wanted = question.model.as_ref();
    let mut engines = services
        .iter()
        .flat_map(|service| &service.candidates)
        .filter_map(|candidate| candidate.engine.as_ref())
        .peekable();
    wanted.is_some_and(|wanted| wanted.adapter.is_some())
        && engines.peek().is_some()
        && engines.all(|engine| engine.residency == AdapterResidency::Missing)
}

/// The decision if the server is the next one to try; `None` if its scheduler would decline.
fn decide(view: &CandidateView, choice: EngineChoice) -> Option<RouteDecision> {
    let server = view.server.clone();
    match (choice, view.grant) {
        (EngineChoice::Direct(_), _) => Some(RouteDecision::Send {
            server,
            wait: Duration::ZERO,
        }),
        (EngineChoice::Scheduled { .. }, Some(GrantView::Granted { wait })) => {
            Some(RouteDecision::Send { server, wait })
        }
        (EngineChoice::Scheduled { .. }, Some(GrantView::Declined { .. })) => None,
        (EngineChoice::Scheduled { .. }, None) => Some(RouteDecision::AskScheduler { server }),
    }
}

fn find_route<'r>(
    routes: &'r RouteIndex,
    question: &RouteQuestion,
) -> Result<&'r RouteConfig, ExplainError> {
    routes
        .route(&question.host, &question.path)
        .ok_or_else(|| ExplainError::UnknownRoute {
            host: question.host.clone(),
            path: question.path.clone(),
            known: routes
                .config()
                .routes
                .iter()
                .map(|route| (route.host.clone(), route.prefix.clone()))
                .collect(),
        })
}

fn find_team<'r>(
    routes: &'r RouteIndex,
    question: &RouteQuestion,
) -> Result<Option<&'r TeamConfig>, ExplainError> {
    let Some(name) = &question.team else {
        return Ok(None);
    };
    let teams = &routes.config().teams;
    let team = teams.iter().find(|team| team.name == *name);
    let unknown = || ExplainError::UnknownTeam {
        team: name.clone(),
        known: teams.iter().map(|team| team.name.clone()).collect(),
    };
    team.map(Some).ok_or_else(unknown)
}

fn build_request(question: &RouteQuestion) -> GatewayRequest {
    GatewayRequest {
        number: 0,
        attempt: "".into(),
        host: question.host.clone(),
        path: question.path.clone(),
        key: None,
        model: question.model.clone(),
        tokens: question.tokens,
        prompt_parts: Vec::new(),
        deadline: None,
        content_hash: 0,
    }
}
