//! Calls between the gateway's instances, and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer, ser::SerializeMap};
use serde_with::{DurationMilliSeconds, ser::SerializeAsWrap, serde_as};
use smol_str::SmolStr;

use super::{
    availability::ProcessHash,
    claims::{MemberClaims, WantedClaims},
    crash_log::CrashNews,
    members::AgedRecord,
    replica::CatalogPage,
    revision::StoreRevision,
    server_scheduler::{GrantRelease, GrantReply, GrantRequest},
    server_status::StatusList,
};

/// Membership and state of the catalog, as seen by one side of a gossip exchange.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GossipMessage {
    /// Records of live members.
    pub records: Vec<AgedRecord>,
    /// In an answer, claims that the caller lacks according to its records.
    pub claims: Vec<MemberClaims>,
    /// In an answer, claims of which the caller has newer ones.
    pub wanted: Vec<WantedClaims>,
    /// Number of the revision up to which the sender's replica of the catalog is complete.
    pub revision: u64,
    /// Number of the revision of the newest change in the sender's replica.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// Time since the sender's replica was last known to be current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "board_age")]
    pub catalog_age: Duration,
    /// Era of both revisions.
    #[serde(default)]
    pub era: u64,
    /// Processes of servers that recently announced that they leave.
    #[serde(default)]
    pub leaving: Vec<ProcessHash>,
    /// Time that the sender expects a load from the weight store to take.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub load_time: Option<Duration>,
    /// Capacity of model servers.
    #[serde(default)]
    pub statuses: StatusList,
    /// Crashes of servers and what may have caused them.
    #[serde(default)]
    pub crashes: CrashNews,
}

impl GossipMessage {
    /// Revision up to which the sender's replica of the catalog is complete.
    pub fn complete_to(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }

    /// Revision of the newest change in the sender's replica.
    pub fn newest_change(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.last_change)
    }
}

// With field names, builds that do not know the era ignore it.
impl Serialize for GossipMessage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let age = SerializeAsWrap::<_, DurationMilliSeconds<u64>>::new(&self.catalog_age);
        let has_statuses = !self.statuses.is_empty();
        let has_crashes = !self.crashes.is_empty();
        let optional = [has_statuses, self.load_time.is_some(), has_crashes];
        let optional = optional
            .into_iter()
            .filter(|is_present| *is_present)
            .count();
        let mut map = serializer.serialize_map(Some(8 + optional))?;
        map.serialize_entry("records", &self.records)?;
        map.serialize_entry("claims", &self.claims)?;
        map.serialize_entry("wanted", &self.wanted)?;
        map.serialize_entry("revision", &self.revision)?;
        map.serialize_entry("changed", &self.last_change)?;
        map.serialize_entry("board_age", &age)?;
        map.serialize_entry("era", &self.era)?;
        map.serialize_entry("leaving", &self.leaving)?;
        if let Some(load_time) = &self.load_time {
            let load_time = SerializeAsWrap::<_, DurationMilliSeconds<u64>>::new(load_time);
            map.serialize_entry("load_time", &load_time)?;
        }
        if has_statuses {
            map.serialize_entry("statuses", &self.statuses)?;
        }
        if has_crashes {
            map.serialize_entry("crashes", &self.crashes)?;
        }
        map.end()
    }
}

/// A request for the changes of the catalog after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ChangesQuery {
    /// Number of the revision.
    pub after: u64,
    /// Its era.
    #[serde(default)]
    pub era: u64,
}

impl ChangesQuery {
    /// Requests the changes after `revision`.
    pub const fn new(revision: StoreRevision) -> ChangesQuery {
        ChangesQuery {
            after: revision.number,
            era: revision.era,
        }
    }

    /// The revision.
    pub const fn revision(self) -> StoreRevision {
        StoreRevision::new(self.era, self.after)
    }
}

// With field names, builds that do not know the era ignore it.
impl Serialize for ChangesQuery {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(2))?;
        map.serialize_entry("after", &self.after)?;
        map.serialize_entry("era", &self.era)?;
        map.end()
    }
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
    CatalogChanges(ChangesQuery),
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
