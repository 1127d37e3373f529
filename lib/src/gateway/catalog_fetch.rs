//! Fetches changes of the catalog from peers.

use std::{net::SocketAddr, time::Duration};

use super::{
    CallPurpose, GatewayReducer,
    event::GatewayEffect,
    message::{ChangesQuery, PeerCall},
    revision::StoreRevision,
};
use crate::clock::ClockTime;

/// Time for which a fetch keeps the instance from reading the store, which would share its link.
const FETCH_PATIENCE: Duration = Duration::from_millis(1_500);

/// Fetches changes from one peer at a time. Large changes that are fetched from several peers at
/// once share the instance's link, and none of them may be complete in time.
#[derive(Debug, Default)]
pub(super) struct CatalogFetcher {
    fetching_since: Option<ClockTime>,
    /// Newest change that a peer has announced since the last fetch began, and that peer.
    announced: Option<(StoreRevision, SocketAddr)>,
}

impl CatalogFetcher {
    /// Whether changes are likely to arrive from a peer soon.
    pub(super) fn is_fetching(&self, now: ClockTime) -> bool {
        self.fetching_since
            .is_some_and(|since| now.since(since) < FETCH_PATIENCE)
    }
}

impl GatewayReducer {
    /// Handles the announcement that the catalog has changed up to `last_change`.
    pub(super) fn change_announced(
        &mut self,
        now: ClockTime,
        peer: SocketAddr,
        last_change: StoreRevision,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let announced = &mut self.catalog_fetcher.announced;
        if announced.is_none_or(|(known, _)| last_change >= known) {
            *announced = Some((last_change, peer));
        }
        self.fetch_changes(now, effects);
    }

    /// Fetches the announced changes, unless a fetch is in progress or they are known by now.
    fn fetch_changes(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if self.catalog_fetcher.fetching_since.is_some() {
            return;
        }
        let after = self.catalog.revision();
        let Some((last_change, peer)) = self.catalog_fetcher.announced.take() else {
            return;
        };
        if last_change <= after {
            return;
        }
        self.catalog_fetcher.fetching_since = Some(now);
        let message = PeerCall::CatalogChanges(ChangesQuery::new(after));
        self.call_peer(peer, message, CallPurpose::Catalog, effects);
    }

    /// Handles the end of a fetch. If it failed, the changes are fetched from the next peer that
    /// announces them.
    pub(super) fn fetch_ended(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.catalog_fetcher.fetching_since = None;
        self.fetch_changes(now, effects);
    }
}
