//! Messages between the instances that send requests and the scheduler of a model server.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::gateway::prompt::PromptPart;

/// Identifies a grant: the instance that asked and its number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// Name of the instance.
    #[serde(rename = "entry")]
    pub instance: SmolStr,
    /// Start of its process, in Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the request within the process.
    pub request: u64,
}

/// Asks to send a request to a model server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The grant.
    pub key: GrantKey,
    /// The server's id.
    pub server: SmolStr,
    /// Base model.
    pub model: SmolStr,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<SmolStr>,
    /// Oldest version of the adapter that will do.
    pub version: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// Shared parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// How long the request would wait for other prompts here before it goes elsewhere.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// How long the grant is held if nothing more is heard of it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Why a grant was declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// The instance does not schedule the server.
    NotScheduled,
    /// The adapter is missing and the instance may not give orders yet.
    NoRight,
    /// The base model is not in place.
    NoModel,
    /// All places hold adapters in use.
    NoPlace,
    /// Enough adapters are on their way.
    LoadsBusy,
    /// Slots or memory are used up.
    Full,
    /// Other prompts come first for longer than the request would wait.
    Busy,
}

/// Answer to a [`GrantRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The request may be sent after `wait`.
    Granted {
        /// Time until the adapter is in place.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
        /// Time until the server would begin with another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
        /// Prompt tokens that the server has to read.
        #[serde(rename = "unread")]
        uncached_tokens: u64,
    },
    /// The request must go elsewhere.
    Declined {
        /// Why.
        reason: DeclineReason,
        /// Time until the server would begin with another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
    },
}

/// Tells a desk what became of a request that it granted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRelease {
    /// The server's id.
    pub server: SmolStr,
    /// The grant.
    pub key: GrantKey,
    /// Time from sending to the first event, if one came.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub first_event: Option<Duration>,
    /// Whether the server said that it lacks the adapter.
    pub adapter_missing: bool,
    /// Whether the request has ended; otherwise its first event has come.
    pub ended: bool,
}
