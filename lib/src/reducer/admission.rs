//! Admission checks of a request: API key, model, service and route.

use crate::{
    config::{ConfigState, CredentialKey, TeamKey},
    error::ErrorKind,
    event::{CallTarget, CallerRequest},
    key::HashedKey,
    pool::WorkTarget,
};

/// A request that passed all admission checks.
pub(super) struct AdmittedCall {
    pub(super) credential: Option<CredentialKey>,
    pub(super) team: Option<TeamKey>,
    pub(super) target: WorkTarget,
    pub(super) idempotent: bool,
}

/// Checks the API key, and the model or the service and route, of a request.
pub(super) fn admit_call(
    config: &ConfigState,
    request: &CallerRequest,
) -> Result<AdmittedCall, ErrorKind> {
    match &request.target {
        CallTarget::Model(model) => admit_model(config, request, model),
        CallTarget::Service {
            service,
            method,
            path,
        } => admit_service(config, request, service, method, path),
    }
}

fn admit_model(
    config: &ConfigState,
    request: &CallerRequest,
    model: &str,
) -> Result<AdmittedCall, ErrorKind> {
    let (base, adapter) = match model.split_once(':') {
        Some((base, adapter)) => (base, Some(adapter)),
        None => (model, None),
    };
    let base = config.bases.key(base);
    let Some(adapter) = adapter else {
        let open = base.is_some_and(|base| config.bases[base].open);
        let (credential, team) = if open {
            (None, None)
        } else {
            let (credential, team) = check_key(config, &request.key)?;
            (Some(credential), Some(team))
        };
        let base = base.ok_or(ErrorKind::UnknownModel)?;
        return Ok(AdmittedCall {
            credential,
            team,
            target: WorkTarget::Base(base),
            idempotent: true,
        });
    };
    let (credential, team) = check_key(config, &request.key)?;
    let adapter = config
        .adapters
        .key(adapter)
        .ok_or(ErrorKind::UnknownModel)?;
    let record = &config.adapters[adapter];
    if record.removed || Some(record.base) != base {
        return Err(ErrorKind::UnknownModel);
    }
    if record.team != team {
        return Err(ErrorKind::NotYourAdapter);
    }
    Ok(AdmittedCall {
        credential: Some(credential),
        team: Some(team),
        target: WorkTarget::Adapter {
            adapter,
            version: record.version,
        },
        idempotent: true,
    })
}

fn admit_service(
    config: &ConfigState,
    request: &CallerRequest,
    service: &str,
    method: &str,
    path: &str,
) -> Result<AdmittedCall, ErrorKind> {
    let service = config.services.key(service);
    let call = service.and_then(|service| {
        config.services[service]
            .calls
            .iter()
            .find(|call| call.method == method && path_matches(&call.path, path))
    });
    let (credential, team) = if call.is_some_and(|call| call.open) {
        (None, None)
    } else {
        let (credential, team) = check_key(config, &request.key)?;
        (Some(credential), Some(team))
    };
    let service = service.ok_or(ErrorKind::UnknownService)?;
    let call = call.ok_or(ErrorKind::UnknownRoute)?;
    let owner = config.services[service].team;
    if team.is_some() && owner.is_some() && owner != team {
        return Err(ErrorKind::NotYourAdapter);
    }
    Ok(AdmittedCall {
        credential,
        team,
        target: WorkTarget::Service(service),
        idempotent: call.idempotent,
    })
}

/// Whether `path` equals `prefix` or is below it; only complete path segments match.
fn path_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

fn check_key(
    config: &ConfigState,
    key: &Result<Option<HashedKey>, ()>,
) -> Result<(CredentialKey, TeamKey), ErrorKind> {
    let hashed = match key {
        Ok(Some(hashed)) => hashed,
        Ok(None) => return Err(ErrorKind::MissingKey),
        Err(()) => return Err(ErrorKind::InvalidKey),
    };
    let credential = config.keys.key(&hashed.id).ok_or(ErrorKind::InvalidKey)?;
    let record = &config.keys[credential];
    if !record.digest.matches(&hashed.digest) {
        return Err(ErrorKind::InvalidKey);
    }
    if record.withdrawn || config.teams[record.team].removed {
        return Err(ErrorKind::KeyWithdrawn);
    }
    Ok((credential, record.team))
}
