//! Messages between instances.
//!
//! Messages refer to records by name rather than by table key, so that an instance with an older
//! configuration rejects an unknown record instead of confusing it with another.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::{
    config::{ConfigState, LogEntry},
    error::ErrorKind,
    limits::{LimitAmount, LimitKey, LoanReport},
    pool::WorkTarget,
};

/// Version of the peer protocol; an instance rejects envelopes of any other version.
pub const PEER_PROTOCOL: u16 = 1;
/// Maximum length of an encoded envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 2 * 1024 * 1024;

/// A batch of messages from one instance to another, sent in one HTTP request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender's [`PEER_PROTOCOL`].
    pub protocol: u16,
    /// Name of the sender's fleet; an instance rejects envelopes of any other fleet.
    pub fleet: SmolStr,
    /// Name of the sending instance.
    pub from: SmolStr,
    /// The sender's incarnation; a later one has a larger number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The sender's position in the configuration log.
    #[serde(rename = "config")]
    pub config_sequence: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// The model or service that a request runs on, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NamedTarget {
    /// A base model.
    Base(SmolStr),
    /// An adapter, with its version.
    Adapter(SmolStr, u32),
    /// A plain service.
    Service(SmolStr),
}

impl NamedTarget {
    /// Looks up the name of a target.
    pub fn new(config: &ConfigState, target: WorkTarget) -> NamedTarget {
        let name = target.name(config).clone();
        match target {
            WorkTarget::Base(_) => NamedTarget::Base(name),
            WorkTarget::Adapter { version, .. } => NamedTarget::Adapter(name, version),
            WorkTarget::Service(_) => NamedTarget::Service(name),
        }
    }

    /// Finds the target; returns `None` if it is not in the configuration.
    pub fn resolve(&self, config: &ConfigState) -> Option<WorkTarget> {
        match self {
            NamedTarget::Base(name) => config.bases.key(name).map(WorkTarget::Base),
            NamedTarget::Adapter(name, version) => {
                config
                    .adapters
                    .key(name)
                    .map(|adapter| WorkTarget::Adapter {
                        adapter,
                        version: *version,
                    })
            }
            NamedTarget::Service(name) => config.services.key(name).map(WorkTarget::Service),
        }
    }
}

/// A limit, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NamedLimit {
    /// The rate limit of a team.
    Team(SmolStr),
    /// The limit on adapter loads in a region.
    Loads(SmolStr),
}

impl NamedLimit {
    /// Looks up the name of a limit.
    pub fn new(config: &ConfigState, key: LimitKey) -> NamedLimit {
        match key {
            LimitKey::Team(team) => NamedLimit::Team(config.teams[team].name.clone()),
            LimitKey::Loads(region) => NamedLimit::Loads(config.regions[region].name.clone()),
        }
    }

    /// Finds the limit; returns `None` if it is not in the configuration.
    pub fn resolve(&self, config: &ConfigState) -> Option<LimitKey> {
        match self {
            NamedLimit::Team(name) => config.teams.key(name).map(LimitKey::Team),
            NamedLimit::Loads(name) => config.regions.key(name).map(LimitKey::Loads),
        }
    }
}

/// Request to a pool's scheduler for a permit to send one request to a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request, unique within the sender's incarnation.
    pub request: u64,
    /// Name of the pool.
    pub pool: SmolStr,
    /// The team that the request is made for; `None` on routes that need no key.
    pub team: Option<SmolStr>,
    /// The model or service that it runs on.
    pub target: NamedTarget,
    /// Number of prompt tokens plus reserved output tokens.
    pub tokens: u64,
    /// Time remaining until the caller's deadline; serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_left: Duration,
    /// Names of servers on which this request has already failed.
    pub avoid: Vec<SmolStr>,
    /// W3C `traceparent` of the request's span; empty if there is none.
    pub trace: SmolStr,
}

/// A permit in use: a request of the sender that is running on a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHolding {
    /// Number of the request, unique within the sender's incarnation.
    pub request: u64,
    /// Name of the server that runs it.
    pub server: SmolStr,
    /// The model or service that it runs on.
    pub target: NamedTarget,
}

/// Reason for refusing a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitError {
    /// The instance does not consider itself the scheduler of this pool.
    NotScheduler,
    /// The instance lacks the target in its configuration, or is not ready yet.
    Behind,
    /// The pool cannot serve the request.
    Refused(ErrorKind),
}

/// Outcome of a request that was granted a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The server responded.
    Answered,
    /// The server failed, or the connection to it was lost.
    Failed,
    /// The request was not sent, or was cancelled by the caller.
    Unused,
}

/// One message between instances.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// To a scheduler: requests a permit; resent until answered.
    PermitRequest(PermitRequest),
    /// To a scheduler: withdraws a permit request.
    PermitCancel {
        /// Number of the request.
        request: u64,
        /// Name of the pool.
        pool: SmolStr,
    },
    /// To a scheduler: returns a permit, as the request has left the server.
    PermitRelease {
        /// Number of the request.
        request: u64,
        /// Name of the pool.
        pool: SmolStr,
        /// Outcome of the request.
        #[serde(rename = "used")]
        outcome: PermitOutcome,
    },
    /// To a scheduler: lists the permits that the sender holds in the pool.
    PermitRenew {
        /// Name of the pool.
        pool: SmolStr,
        /// All of the sender's permits in the pool.
        holdings: Vec<PermitHolding>,
    },
    /// To the instance that received the request: grants a permit for a server.
    PermitGrant {
        /// Number of the request.
        request: u64,
        /// Name of the pool.
        pool: SmolStr,
        /// Name of the server.
        server: SmolStr,
    },
    /// To the instance that received the request: refuses a permit.
    PermitRefusal {
        /// Number of the request.
        request: u64,
        /// Name of the pool.
        pool: SmolStr,
        /// Reason for the refusal.
        fault: PermitError,
        /// Delay before a retry; serialized in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// To a holder of part of a limit: requests a loan.
    LimitAsk {
        /// The limit.
        limit: NamedLimit,
        /// Number of the loan request.
        number: u64,
        /// Requested amount.
        amount: LimitAmount,
        /// Smallest useful amount: what the next waiting request needs.
        #[serde(rename = "least")]
        minimum: LimitAmount,
        /// Time that the next request has waited; serialized in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        waited: Duration,
        /// How the holder's earlier loans were used.
        report: LoanReport,
    },
    /// To a holder of part of a limit: reports how its loans were used.
    LoanReport {
        /// The limit.
        limit: NamedLimit,
        /// Use of the loans.
        report: LoanReport,
    },
    /// To a borrower: answers [`PeerMessage::LimitAsk`].
    LimitGrant {
        /// The limit.
        limit: NamedLimit,
        /// Number of the loan request.
        number: u64,
        /// Granted amount; zero if nothing is lent.
        amount: LimitAmount,
        /// If nothing is lent, the time until the holder expects to have enough; serialized in
        /// milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
    },
    /// Probe that carries the sender's configuration sequence in the envelope and requests the
    /// receiver's.
    Hello,
    /// Answers [`PeerMessage::Hello`]; the envelope carries the configuration sequence.
    HelloAnswer,
    /// Requests entries of the configuration log.
    ConfigPull {
        /// Position of the sender; the entries after it are requested.
        after: u64,
    },
    /// Answers [`PeerMessage::ConfigPull`].
    ConfigEntries {
        /// Log entries, in order.
        entries: Arc<[LogEntry]>,
    },
}

impl PeerMessage {
    /// Whether the receiver or a caller is waiting for the message. Other messages may be delayed
    /// briefly, to be sent in one envelope.
    pub fn is_urgent(&self) -> bool {
        match self {
            PeerMessage::PermitRequest(_)
            | PeerMessage::PermitGrant { .. }
            | PeerMessage::PermitRefusal { .. }
            | PeerMessage::LimitAsk { .. }
            | PeerMessage::LimitGrant { .. }
            | PeerMessage::Hello
            | PeerMessage::HelloAnswer
            | PeerMessage::ConfigEntries { .. } => true,
            PeerMessage::PermitCancel { .. }
            | PeerMessage::PermitRelease { .. }
            | PeerMessage::PermitRenew { .. }
            | PeerMessage::LoanReport { .. }
            | PeerMessage::ConfigPull { .. } => false,
        }
    }
}
