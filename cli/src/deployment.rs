//! Addresses of the platform and the instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;
use smol_str::SmolStr;

const DEPLOYMENT_VARIABLE: &str = "WASABISTALL_DEPLOYMENT";
const TOKEN_VARIABLE: &str = "WASABISTALL_TOKEN";

/// Addresses and operator token, read from a JSON file that may contain comments.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Deployment {
    /// Address of the configuration service.
    pub(crate) configuration: SocketAddr,
    /// Operator addresses by instance.
    pub(crate) operators: BTreeMap<SmolStr, SocketAddr>,
    /// Caller addresses by instance.
    #[serde(default)]
    pub(crate) callers: BTreeMap<SmolStr, SocketAddr>,
    /// Operator token; the environment variable takes precedence.
    #[serde(default)]
    operator_token: String,
}

impl Deployment {
    /// Loads the file at `path`, or at the path in `WASABISTALL_DEPLOYMENT`.
    pub(crate) fn load(path: Option<&Path>) -> Result<Deployment> {
        let variable = std::env::var_os(DEPLOYMENT_VARIABLE).map(PathBuf::from);
        let path = path.map(Path::to_owned).or(variable).ok_or_else(|| {
            eyre!(
                "no deployment given\n    hint: use --deployment FILE or set {DEPLOYMENT_VARIABLE}"
            )
        })?;
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let parsed = jsonc_parser::parse_to_serde_value::<Deployment>(
            &text,
            &jsonc_parser::ParseOptions::default(),
        );
        parsed.map_err(|error| eyre!("{} is not valid: {error}", path.display()))
    }

    /// Returns the bearer token for operator requests; empty if none is set.
    pub(crate) fn token(&self) -> String {
        std::env::var(TOKEN_VARIABLE).unwrap_or_else(|_| self.operator_token.clone())
    }
}
