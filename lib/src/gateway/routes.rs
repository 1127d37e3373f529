//! Finds the route of a request and the team of a key.

use std::{collections::HashMap, sync::Arc};

use smol_str::SmolStr;

use super::catalog::{RouteConfig, RouteTarget, ServingConfig, TeamConfig};
use crate::key::KeyDigest;

/// A configuration with indexes for fast lookups.
#[derive(Debug)]
pub struct RouteIndex {
    config: Arc<ServingConfig>,
    /// Positions of the routes of a host in the configuration, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    teams: HashMap<KeyDigest, usize>,
}

impl RouteIndex {
    /// Indexes a configuration.
    pub fn new(config: Arc<ServingConfig>) -> RouteIndex {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (position, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions
                .sort_by_key(|position| std::cmp::Reverse(config.routes[*position].prefix.len()));
        }
        let mut teams = HashMap::new();
        for (position, team) in config.teams.iter().enumerate() {
            for key in &team.keys {
                teams.insert(*key, position);
            }
        }
        RouteIndex {
            config,
            hosts,
            teams,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<ServingConfig> {
        &self.config
    }

    /// The route for `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let positions = self.hosts.get(host)?;
        positions
            .iter()
            .map(|position| &self.config.routes[*position])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The team to which the key belongs.
    pub fn team(&self, key: &KeyDigest) -> Option<&TeamConfig> {
        let position = *self.teams.get(key)?;
        Some(&self.config.teams[position])
    }
}

/// Picks a target by weight; `draw` is a random number from 0 (inclusive) to 1 (exclusive).
pub fn pick_target(targets: &[RouteTarget], draw: f64) -> Option<&RouteTarget> {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    let mut rest = draw * total;
    for target in targets {
        if rest < target.weight {
            return Some(target);
        }
        rest -= target.weight;
    }
    targets.iter().rfind(|target| target.weight > 0.0)
}
