//! Orders sent to model engines, and the load reports that backend servers return.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::{AdapterKey, ServerKey};

/// Operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load an adapter version into a free slot.
    Load,
    /// Free the slot of an adapter version.
    Unload,
}

/// An order to a model engine to load or unload an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine's backend server.
    pub server: ServerKey,
    /// The requested operation.
    pub kind: OrderKind,
    /// The adapter.
    pub adapter: AdapterKey,
    /// The adapter's version.
    pub version: u32,
    /// Fencing token. An engine that enforces fencing rejects orders with a smaller token than the
    /// largest it has seen.
    pub fence: u64,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carried out the order.
    Done,
    /// The engine rejected the fencing token.
    Fenced,
    /// The order was rejected or failed for another reason.
    Failed,
    /// No response arrived; the engine may have carried out the order.
    Lost,
}

/// An adapter loaded into a slot, as reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Name of the adapter.
    pub adapter: SmolStr,
    /// The adapter's version.
    pub version: u32,
    /// Requests running on the adapter.
    pub active: u32,
}

/// Load report of a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifies the server process; changes with every restart.
    pub epoch: u64,
    /// Age of the sample, in milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Largest fencing token seen by the server.
    #[serde(default)]
    pub fence: u64,
    /// Adapters loaded into slots.
    #[serde(default)]
    pub slots: Vec<SlotReport>,
}
