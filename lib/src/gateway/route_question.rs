//! Questions about the routing of a request, and the errors of questions that cannot be answered.

use std::fmt;

use smol_str::SmolStr;

use super::event::ModelName;

/// Parameters of a question, in the order in which errors list them.
const PARAMETERS: [&str; 6] = [
    "host",
    "path",
    "team",
    "model",
    "prompt_tokens",
    "output_tokens",
];
/// Maximum number of known names that a hint lists.
const MAX_HINT_NAMES: usize = 8;

/// A request whose routing is to be explained.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuestion {
    /// Requested host, without a port.
    pub host: SmolStr,
    /// Path, without the query.
    pub path: SmolStr,
    /// Team whose key the request carries.
    pub team: Option<SmolStr>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Number of prompt tokens and maximum number of output tokens, if either is given.
    pub tokens: Option<(u64, u64)>,
}

impl RouteQuestion {
    /// Reads a question from the decoded parameters of a URL's query.
    ///
    /// # Errors
    ///
    /// Returns an error if a parameter is missing, unknown, given twice or malformed.
    pub fn from_parameters(parameters: &[(String, String)]) -> Result<RouteQuestion, ExplainError> {
        let mut values: [Option<&str>; PARAMETERS.len()] = [None; PARAMETERS.len()];
        for (name, value) in parameters {
            let Some(position) = PARAMETERS.iter().position(|known| known == name) else {
                return Err(ExplainError::UnknownParameter(name.into()));
            };
            if values[position].replace(value).is_some() {
                return Err(ExplainError::RepeatedParameter(PARAMETERS[position]));
            }
        }
        let [host, path, team, model, prompt, output] = values;
        let prompt = parse_count("prompt_tokens", prompt)?;
        let output = parse_count("output_tokens", output)?;
        let has_tokens = prompt.is_some() || output.is_some();
        Ok(RouteQuestion {
            host: host.ok_or(ExplainError::MissingParameter("host"))?.into(),
            path: path.ok_or(ExplainError::MissingParameter("path"))?.into(),
            team: team.map(SmolStr::from),
            model: model.map(parse_model).transpose()?,
            tokens: has_tokens.then(|| (prompt.unwrap_or(0), output.unwrap_or(0))),
        })
    }
}

fn parse_count(name: &'static str, value: Option<&str>) -> Result<Option<u64>, ExplainError> {
    let malformed = |value: &str| ExplainError::MalformedNumber {
        name,
        value: value.into(),
    };
    value
        .map(|value| value.parse().map_err(|_| malformed(value)))
        .transpose()
}

fn parse_model(value: &str) -> Result<ModelName, ExplainError> {
    let (model, adapter) = match value.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (value, None),
    };
    if model.is_empty() || adapter.is_some_and(str::is_empty) {
        return Err(ExplainError::MalformedModel(value.into()));
    }
    Ok(ModelName {
        model: model.into(),
        adapter: adapter.map(SmolStr::from),
    })
}

/// Why a question cannot be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainError {
    /// The instance has no configuration yet.
    NotReady,
    /// A required parameter is missing.
    MissingParameter(&'static str),
    /// A parameter is given more than once.
    RepeatedParameter(&'static str),
    /// A parameter does not exist.
    UnknownParameter(SmolStr),
    /// A number of tokens is not a whole number from 0 to 2^64 - 1.
    MalformedNumber {
        /// Name of the parameter.
        name: &'static str,
        /// Its value.
        value: SmolStr,
    },
    /// A model is not of the form `MODEL` or `MODEL/ADAPTER`.
    MalformedModel(SmolStr),
    /// No route matches.
    UnknownRoute {
        /// Requested host.
        host: SmolStr,
        /// Requested path.
        path: SmolStr,
        /// Hosts and prefixes of all routes.
        known: Vec<(SmolStr, SmolStr)>,
    },
    /// The configuration does not have the team.
    UnknownTeam {
        /// Requested team.
        team: SmolStr,
        /// All teams.
        known: Vec<SmolStr>,
    },
    /// No service of the route has the base model.
    UnknownModel {
        /// Requested base model.
        model: SmolStr,
        /// All base models of the route's services.
        known: Vec<SmolStr>,
    },
}

impl ExplainError {
    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ExplainError::NotReady => 503,
            ExplainError::MissingParameter(_)
            | ExplainError::RepeatedParameter(_)
            | ExplainError::UnknownParameter(_)
            | ExplainError::MalformedNumber { .. }
            | ExplainError::MalformedModel(_) => 400,
            ExplainError::UnknownRoute { .. }
            | ExplainError::UnknownTeam { .. }
            | ExplainError::UnknownModel { .. } => 404,
        }
    }

    /// What the operator can do about it.
    pub fn hint(&self) -> String {
        match self {
            ExplainError::NotReady => "retry in a second, or ask another instance".to_owned(),
            ExplainError::MissingParameter(_)
            | ExplainError::RepeatedParameter(_)
            | ExplainError::UnknownParameter(_) => {
                format!(
                    "give `host` and `path`, and any of {}, each once",
                    PARAMETERS[2..].join(", ")
                )
            }
            ExplainError::MalformedNumber { .. } => {
                "write a whole number of tokens, without a unit".to_owned()
            }
            ExplainError::MalformedModel(_) => "write MODEL or MODEL/ADAPTER".to_owned(),
            ExplainError::UnknownRoute { host, known, .. } => {
                let prefixes: Vec<&SmolStr> = known
                    .iter()
                    .filter(|(known_host, _)| known_host == host)
                    .map(|(_, prefix)| prefix)
                    .collect();
                if prefixes.is_empty() {
                    let mut hosts: Vec<&SmolStr> = known.iter().map(|(host, _)| host).collect();
                    hosts.sort_unstable();
                    hosts.dedup();
                    list_names("hosts", &hosts)
                } else {
                    list_names("prefixes of this host", &prefixes)
                }
            }
            ExplainError::UnknownTeam { known, .. } => {
                list_names("teams", &known.iter().collect::<Vec<_>>())
            }
            ExplainError::UnknownModel { known, .. } => list_names(
                "base models of this route",
                &known.iter().collect::<Vec<_>>(),
            ),
        }
    }
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExplainError::NotReady => f.write_str("the instance has no configuration yet"),
            ExplainError::MissingParameter(name) => write!(f, "parameter `{name}` is missing"),
            ExplainError::RepeatedParameter(name) => {
                write!(f, "parameter `{name}` is given more than once")
            }
            ExplainError::UnknownParameter(name) => write!(f, "unknown parameter {name:?}"),
            ExplainError::MalformedNumber { name, value } => {
                write!(f, "`{name}` is not a number of tokens: {value:?}")
            }
            ExplainError::MalformedModel(value) => write!(f, "{value:?} is not a model"),
            ExplainError::UnknownRoute { host, path, .. } => {
                write!(f, "no route for path {path:?} of host {host:?}")
            }
            ExplainError::UnknownTeam { team, .. } => write!(f, "unknown team {team:?}"),
            ExplainError::UnknownModel { model, .. } => {
                write!(f, "no service of the route has the base model {model:?}")
            }
        }
    }
}

impl std::error::Error for ExplainError {}

fn list_names(what: &str, names: &[&SmolStr]) -> String {
    if names.is_empty() {
        return format!("the configuration has no {what}");
    }
    let listed: Vec<&str> = names
        .iter()
        .take(MAX_HINT_NAMES)
        .map(|name| name.as_str())
        .collect();
    let more = names.len() - listed.len();
    let rest = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    format!("{what}: {}{rest}", listed.join(", "))
}
