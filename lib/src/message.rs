//! Messages between instances.
//!
//! Names travel instead of keys, so that an instance with an older configuration rejects what it
//! does not know instead of mistaking it.

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

/// Version of the peer protocol; an instance refuses envelopes of any other.
pub const PEER_PROTOCOL: u16 = 1;
/// Longest envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 2 * 1024 * 1024;

/// What instances send each other, in one HTTP request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// [`PEER_PROTOCOL`] of the sender.
    pub protocol: u16,
    /// Name of the fleet; an instance refuses envelopes of any other.
    pub fleet: SmolStr,
    /// The sending instance.
    pub from: SmolStr,
    /// The sender's process life; a later life has a larger number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Position of the sender in the configuration log.
    #[serde(rename = "config")]
    pub config_sequence: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Its messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// What a request runs on, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NamedTarget {
    /// A base model.
    Base(SmolStr),
    /// An adapter and its version.
    Adapter(SmolStr, u32),
    /// A plain service.
    Service(SmolStr),
}

impl NamedTarget {
    /// Names a target.
    pub fn new(config: &ConfigState, target: WorkTarget) -> NamedTarget {
        let name = target.name(config).clone();
        match target {
            WorkTarget::Base(_) => NamedTarget::Base(name),
            WorkTarget::Adapter { version, .. } => NamedTarget::Adapter(name, version),
            WorkTarget::Service(_) => NamedTarget::Service(name),
        }
    }

    /// Finds the target; `None` when the configuration does not have it.
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
    /// A team's rate.
    Team(SmolStr),
    /// A region's adapter loads.
    Loads(SmolStr),
}

impl NamedLimit {
    /// Names a limit.
    pub fn new(config: &ConfigState, key: LimitKey) -> NamedLimit {
        match key {
            LimitKey::Team(team) => NamedLimit::Team(config.teams[team].name.clone()),
            LimitKey::Loads(region) => NamedLimit::Loads(config.regions[region].name.clone()),
        }
    }

    /// Finds the limit; `None` when the configuration does not have it.
    pub fn resolve(&self, config: &ConfigState) -> Option<LimitKey> {
        match self {
            NamedLimit::Team(name) => config.teams.key(name).map(LimitKey::Team),
            NamedLimit::Loads(name) => config.regions.key(name).map(LimitKey::Loads),
        }
    }
}

/// Asks a pool's scheduler for a permit to send one request to a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request in the sender's process life.
    pub request: u64,
    /// The pool asked.
    pub pool: SmolStr,
    /// The team the request runs for; `None` on open routes.
    pub team: Option<SmolStr>,
    /// What it runs on.
    pub target: NamedTarget,
    /// Prompt and reserved output tokens.
    pub tokens: u64,
    /// Time left until the caller's deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_left: Duration,
    /// Servers that already failed this request.
    pub avoid: Vec<SmolStr>,
    /// W3C `traceparent` of the request's span; empty when there is none.
    pub trace: SmolStr,
}

/// A request that a sender has on a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHolding {
    /// Number of the request in the sender's process life.
    pub request: u64,
    /// The server that runs it.
    pub server: SmolStr,
    /// What it runs on.
    pub target: NamedTarget,
}

/// Why a scheduler refused a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitError {
    /// The instance does not schedule this pool, as far as it knows.
    NotScheduler,
    /// The instance does not know the target, or is not ready yet.
    Behind,
    /// The request cannot be served here.
    Refused(ErrorKind),
}

/// How a permit was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The server answered.
    Answered,
    /// The server failed or was lost.
    Failed,
    /// The request was not sent, or the caller cancelled it.
    Unused,
}

/// One message between instances.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// To a scheduler: asks for a permit; repeated until answered.
    PermitRequest(PermitRequest),
    /// To a scheduler: the request no longer waits.
    PermitCancel {
        /// Number of the request.
        request: u64,
        /// The pool asked.
        pool: SmolStr,
    },
    /// To a scheduler: the request left the server.
    PermitRelease {
        /// Number of the request.
        request: u64,
        /// The pool asked.
        pool: SmolStr,
        /// How it went.
        #[serde(rename = "used")]
        outcome: PermitOutcome,
    },
    /// To a scheduler: the requests that the sender has on the pool's servers.
    PermitRenew {
        /// The pool.
        pool: SmolStr,
        /// All of them.
        holdings: Vec<PermitHolding>,
    },
    /// To an entry: the request may go to the server.
    PermitGrant {
        /// Number of the request.
        request: u64,
        /// The pool.
        pool: SmolStr,
        /// The server.
        server: SmolStr,
    },
    /// To an entry: the request gets no permit.
    PermitRefusal {
        /// Number of the request.
        request: u64,
        /// The pool.
        pool: SmolStr,
        /// Why.
        fault: PermitError,
        /// Delay before a retry, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// To a holder of a limit: asks for a loan.
    LimitAsk {
        /// The limit.
        limit: NamedLimit,
        /// Number of the ask.
        number: u64,
        /// How much.
        amount: LimitAmount,
        /// What the next request needs.
        #[serde(rename = "least")]
        minimum: LimitAmount,
        /// How long the next request has waited, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        waited: Duration,
        /// What was done with the holder's loans.
        report: LoanReport,
    },
    /// To a holder of a limit: what was done with its loans.
    LoanReport {
        /// The limit.
        limit: NamedLimit,
        /// What was done with them.
        report: LoanReport,
    },
    /// To a borrower: answers [`PeerMessage::LimitAsk`].
    LimitGrant {
        /// The limit.
        limit: NamedLimit,
        /// Number of the ask.
        number: u64,
        /// How much is lent.
        amount: LimitAmount,
        /// When nothing is lent, time until the holder expects to have enough, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
    },
    /// Shows the sender's configuration sequence, and asks for the receiver's.
    Hello,
    /// Answers [`PeerMessage::Hello`]; the envelope shows the configuration sequence.
    HelloAnswer,
    /// Asks for log entries.
    ConfigPull {
        /// Position of the asker.
        after: u64,
    },
    /// Answers [`PeerMessage::ConfigPull`].
    ConfigEntries {
        /// Entries in order.
        entries: Arc<[LogEntry]>,
    },
}

impl PeerMessage {
    /// Whether somebody waits for the message; others may wait a little for company.
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
