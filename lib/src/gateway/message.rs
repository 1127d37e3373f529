//! Messages between the gateway's instances, each with its answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use super::{
    members::AgedRecord,
    replica::CatalogPage,
    server_scheduler::{GrantRelease, GrantReply, GrantRequest},
};

/// Members and the state of the publications, as one side of a gossip exchange sees them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Records of members alive.
    pub records: Vec<AgedRecord>,
    /// Whether the sender lacks the claims of a member.
    pub wants_claims: bool,
    /// Revision up to which the sender's board is complete.
    pub revision: u64,
    /// Revision of the newest change on the sender's board.
    pub changed: u64,
    /// Time since the board was known to be the newest.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub board_age: Duration,
}

/// A call to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Exchanges members.
    Gossip(GossipMessage),
    /// Pulls what is published after a revision.
    Board {
        /// The revision.
        after: u64,
    },
    /// Asks to send a request to a model server.
    Grant(GrantRequest),
    /// Tells that requests have ended.
    Releases(Vec<GrantRelease>),
    /// Asks for a part of a team's allowance.
    Borrow {
        /// The team.
        team: SmolStr,
        /// Units wanted.
        wanted: f64,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To [`PeerCall::Gossip`].
    Gossip(GossipMessage),
    /// To [`PeerCall::Board`].
    Board(CatalogPage),
    /// To [`PeerCall::Grant`].
    Grant(GrantReply),
    /// To [`PeerCall::Releases`].
    Noted,
    /// To [`PeerCall::Borrow`]: units that the sender no longer has.
    Lent(f64),
}

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// Nobody listens at its address.
    ConnectionRefused,
    /// It did not answer, or not in a way that can be read.
    NoAnswer,
}
