//! Tells callers which instances to connect to.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    GatewayReducer,
    members::{MemberPhase, MemberRecord},
};
use crate::{clock::ClockTime, rendezvous};

/// Minimum number of instances that a caller is told of, so that it can go on when it loses one.
const MIN_ADDRESSES: usize = 2;
/// Maximum number of instances that a caller is told of.
const MAX_ADDRESSES: usize = 64;

impl GatewayReducer {
    /// Caller addresses of ready instances, or of all live instances if none is ready.
    ///
    /// A caller that names its data centre gets the instances there. If these are less than half of
    /// an even share of all instances, as many as are missing are added from other data centres, and
    /// if there are none, all others.
    pub fn caller_addresses(&self, now: ClockTime, data_centre: Option<&str>) -> Vec<SocketAddr> {
        let members = self.members(now);
        let mut candidates: Vec<&MemberRecord> = members
            .iter()
            .copied()
            .filter(|record| record.phase == MemberPhase::Ready)
            .collect();
        if candidates.is_empty() {
            // An instance that may soon be ready is better than no address.
            candidates = members;
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for record in &candidates {
            *counts.entry(&record.data_centre).or_default() += 1;
        }
        let even_share = candidates.len().div_ceil(counts.len().max(1));
        // Each instance lists others in an order of its own, so that callers spread over the
        // instances if there are too many to list.
        candidates
            .sort_by_cached_key(|record| rendezvous::weight(&self.options.instance, &record.name));
        let (local, remote): (Vec<&MemberRecord>, Vec<&MemberRecord>) = candidates
            .iter()
            .partition(|record| data_centre.is_none_or(|name| record.data_centre == name));
        let wanted = match local.len() {
            0 => candidates.len(),
            count if count * 2 < even_share => even_share,
            count => count,
        };
        local
            .into_iter()
            .take(MAX_ADDRESSES)
            .chain(remote)
            .take(wanted.clamp(MIN_ADDRESSES, MAX_ADDRESSES))
            .map(|record| record.caller_address)
            .collect()
    }
}
