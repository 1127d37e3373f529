//! Calls between the gateway's instances, and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use super::{
    claims::{MemberClaims, WantedClaims},
    members::AgedRecord,
    replica::CatalogPage,
    server_scheduler::{GrantRelease, GrantReply, GrantRequest},
};

/// Membership and state of the catalog, as seen by one side of a gossip exchange.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Records of live members.
    pub records: Vec<AgedRecord>,
    /// In an answer, claims that the caller lacks according to its records.
    pub claims: Vec<MemberClaims>,
    /// In an answer, claims of which the caller has newer ones.
    pub wanted: Vec<WantedClaims>,
    /// Revision up to which the sender's replica of the catalog is complete.
    pub revision: u64,
    /// Revision of the newest change in the sender's replica.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// Time since the sender's replica was last known to be current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "board_age")]
    pub catalog_age: Duration,
}

impl GossipMessage {
    /// Whether members are mentioned in short form.
    pub fn has_digest(&self) -> bool {
        self.records
            .first()
            .is_some_and(|aged| aged.digest.is_some())
    }
}

/// A call to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Exchanges membership records.
    Gossip(GossipMessage),
    /// Exchanges claims after a gossip exchange.
    Claims {
        /// Claims that the peer wanted in its answer.
        claims: Vec<MemberClaims>,
        /// Claims of which the peer has newer ones.
        wanted: Vec<WantedClaims>,
    },
    /// Requests the changes of the catalog after a revision.
    #[serde(rename = "Board")]
    CatalogChanges {
        /// The revision.
        after: u64,
    },
    /// Asks the scheduler of a model server for a grant to send a request.
    Grant(GrantRequest),
    /// Releases grants.
    Releases(Vec<GrantRelease>),
    /// Asks for a loan of a team's quota.
    Borrow {
        /// The team.
        team: SmolStr,
        /// Requested units.
        wanted: f64,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To [`PeerCall::Gossip`].
    Gossip(GossipMessage),
    /// To [`PeerCall::CatalogChanges`].
    #[serde(rename = "Board")]
    CatalogChanges(CatalogPage),
    /// To [`PeerCall::Grant`].
    Grant(GrantReply),
    /// To [`PeerCall::Claims`]: the wanted claims.
    Claims(Vec<MemberClaims>),
    /// To [`PeerCall::Releases`].
    #[serde(rename = "Noted")]
    Acknowledged,
    /// To [`PeerCall::Borrow`]: units lent, which the lender has deducted from its own share.
    Lent(f64),
}

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The connection was refused: no process listens at the address.
    ConnectionRefused,
    /// There was no answer, or it could not be decoded.
    NoAnswer,
}
