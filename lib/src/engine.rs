//! What the system tells and hears from model engines.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::{AdapterKey, ServerKey};

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load an adapter version into a free slot.
    Load,
    /// Free the slot of an adapter version.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub server: ServerKey,
    /// What to do.
    pub kind: OrderKind,
    /// The adapter.
    pub adapter: AdapterKey,
    /// Its version.
    pub version: u32,
    /// Fencing number; an engine that enforces it refuses smaller ones than it has seen.
    pub fence: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out.
    Done,
    /// Refused for its fencing number.
    Fenced,
    /// Refused or failed for another reason.
    Failed,
    /// No answer came; the order may have been carried out.
    Lost,
}

/// An adapter in a slot, as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The adapter.
    pub adapter: SmolStr,
    /// Its version.
    pub version: u32,
    /// Requests running on it.
    pub active: u32,
}

/// An engine's or service's load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes with every restart of the server.
    pub epoch: u64,
    /// Age of the sample, in milliseconds.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Largest fencing number seen.
    #[serde(default)]
    pub fence: u64,
    /// Adapters in slots.
    #[serde(default)]
    pub slots: Vec<SlotReport>,
}
