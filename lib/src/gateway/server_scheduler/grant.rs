//! Messages between instances and the scheduler of a model server.

use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer, ser::SerializeMap};
use serde_with::{DurationMilliSeconds, ser::SerializeAsWrap, serde_as};
use smol_str::SmolStr;

use crate::gateway::{prompt::PromptPart, server_status::StatusList};

/// Number of a grant, unique within the requesting process.
pub type GrantNumber = u64;

/// Identifies a grant by the requesting instance and the number of the grant on it.
///
/// Each grant request of a caller's request has a number of its own, so that a release that arrives
/// late does not end the grant that followed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// Name of the requesting instance.
    #[serde(rename = "entry")]
    pub instance: SmolStr,
    /// Start time of its process, in Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the grant.
    #[serde(rename = "request")]
    pub number: GrantNumber,
}

/// Requests permission to send a request to a model server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GrantRequest {
    /// Identifies the grant.
    pub key: GrantKey,
    /// Id of the server.
    pub server: SmolStr,
    /// Base model.
    pub model: SmolStr,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<SmolStr>,
    /// Oldest acceptable version of the adapter.
    pub version: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Longest time that the request waits for other prompts at this server before it is sent
    /// elsewhere.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Time after which the scheduler drops the grant if it is not released.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Team.
    #[serde(default)]
    pub team: Option<SmolStr>,
    /// Time left until the request misses its objective; 0 if it has.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub objective_left: Duration,
    /// Maximum time for which the scheduler may queue the request; 0 if it must decide immediately.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub hold: Duration,
    /// The same while the server has no place for the request: neither a free adapter slot nor a
    /// request slot. Another server may have one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub place_hold: Duration,
    /// Time since the request arrived at the gateway.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub waited: Duration,
}

// With field names, builds that do not know the newer fields ignore them.
impl Serialize for GrantRequest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        type Millis<'d> = SerializeAsWrap<'d, Duration, DurationMilliSeconds<u64>>;
        let mut map = serializer.serialize_map(Some(16))?;
        map.serialize_entry("key", &self.key)?;
        map.serialize_entry("server", &self.server)?;
        map.serialize_entry("model", &self.model)?;
        map.serialize_entry("adapter", &self.adapter)?;
        map.serialize_entry("version", &self.version)?;
        map.serialize_entry("prompt_tokens", &self.prompt_tokens)?;
        map.serialize_entry("output_tokens", &self.output_tokens)?;
        map.serialize_entry("parts", &self.parts)?;
        map.serialize_entry("patience", &Millis::new(&self.max_wait))?;
        map.serialize_entry("lifetime", &Millis::new(&self.lifetime))?;
        map.serialize_entry("priority", &self.priority)?;
        map.serialize_entry("team", &self.team)?;
        map.serialize_entry("objective_left", &Millis::new(&self.objective_left))?;
        map.serialize_entry("hold", &Millis::new(&self.hold))?;
        map.serialize_entry("place_hold", &Millis::new(&self.place_hold))?;
        map.serialize_entry("waited", &Millis::new(&self.waited))?;
        map.end()
    }
}

impl GrantRequest {
    /// Maximum time for which the scheduler may queue the request after it could not grant it for
    /// `reason`.
    pub fn hold_for(&self, reason: DeclineReason) -> Duration {
        match reason {
            DeclineReason::LoadsBusy | DeclineReason::Busy => self.hold,
            DeclineReason::NoPlace | DeclineReason::Full => self.place_hold.min(self.hold),
            DeclineReason::NotScheduled
            | DeclineReason::NoRight
            | DeclineReason::NoModel
            | DeclineReason::Leaving => Duration::ZERO,
        }
    }
}

/// Why a grant was declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// The instance doesn't schedule the server.
    NotScheduled,
    /// The adapter is not loaded, and the instance doesn't hold the order lease.
    NoRight,
    /// The base model is not loaded.
    NoModel,
    /// All adapter slots are in use, or the adapter's own slot is being unloaded or still serves an
    /// older version.
    NoPlace,
    /// Too many adapters are loading, on the server or from the weight store.
    LoadsBusy,
    /// The server has no free request slot or not enough cache memory.
    Full,
    /// The request would wait for other prompts for longer than its `max_wait`.
    Busy,
    /// The server has announced that it leaves.
    Leaving,
}

/// Response to a [`GrantRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub enum GrantReply {
    /// The request may be sent after `wait`.
    Granted {
        /// Time until the adapter is loaded and the prompt may be sent.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
        /// Time until the server could start on another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
        /// Prompt tokens that are not in the server's prefix cache.
        #[serde(rename = "unread")]
        uncached_tokens: u64,
        /// Capacity of this server, then of others.
        #[serde(default)]
        statuses: StatusList,
    },
    /// The request must be sent to another server.
    Declined {
        /// Reason.
        reason: DeclineReason,
        /// Time until the server could start on another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
        /// Capacity of this server, then of others.
        #[serde(default)]
        statuses: StatusList,
    },
}

impl GrantReply {
    /// Declines a request for a server whose backlog is not known here.
    pub fn declined(reason: DeclineReason) -> GrantReply {
        GrantReply::Declined {
            reason,
            backlog: Duration::ZERO,
            statuses: StatusList::default(),
        }
    }
}

/// Fields of a [`GrantReply`].
struct ReplyFields<'r>(&'r GrantReply);

// With field names, builds that do not know `statuses` ignore it.
impl Serialize for ReplyFields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (GrantReply::Granted {
            backlog, statuses, ..
        }
        | GrantReply::Declined {
            backlog, statuses, ..
        }) = self.0;
        let millis = SerializeAsWrap::<_, DurationMilliSeconds<u64>>::new;
        let count = match self.0 {
            GrantReply::Granted { .. } => 4,
            GrantReply::Declined { .. } => 3,
        };
        let mut map = serializer.serialize_map(Some(count))?;
        match self.0 {
            GrantReply::Granted {
                wait,
                uncached_tokens,
                ..
            } => {
                map.serialize_entry("wait", &millis(wait))?;
                map.serialize_entry("unread", uncached_tokens)?;
            }
            GrantReply::Declined { reason, .. } => map.serialize_entry("reason", reason)?,
        }
        map.serialize_entry("backlog", &millis(backlog))?;
        map.serialize_entry("statuses", statuses)?;
        map.end()
    }
}

impl Serialize for GrantReply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (index, variant) = match self {
            GrantReply::Granted { .. } => (0, "Granted"),
            GrantReply::Declined { .. } => (1, "Declined"),
        };
        serializer.serialize_newtype_variant("GrantReply", index, variant, &ReplyFields(self))
    }
}

/// Reports the progress or the end of a granted request to the scheduler.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRelease {
    /// Id of the server.
    pub server: SmolStr,
    /// Identifies the grant.
    pub key: GrantKey,
    /// Time from sending the request to its first event, if there was one.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub first_event: Option<Duration>,
    /// Whether the server answered that the adapter is not loaded.
    pub adapter_missing: bool,
    /// Whether the request has ended. If not, this reports its first event.
    pub ended: bool,
    /// Whether a stream that was complete had a pause beyond its route's objective; `None` if the
    /// route has none or there was no complete stream.
    #[serde(default)]
    pub late_pause: Option<bool>,
}
