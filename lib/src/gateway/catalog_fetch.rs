//! Fetches changes of the catalog from peers.

use std::net::SocketAddr;

use super::{CallPurpose, GatewayReducer, event::GatewayEffect, message::PeerCall};

/// Fetches changes from one peer at a time. Large changes that are fetched from several peers at
/// once share the instance's link, and none of them may be complete in time.
#[derive(Debug, Default)]
pub(super) struct CatalogFetcher {
    is_fetching: bool,
    /// Newest change that a peer has announced since the last fetch began, and that peer.
    announced: Option<(u64, SocketAddr)>,
}

impl CatalogFetcher {
    /// Whether an answer of a peer is awaited.
    pub(super) fn is_fetching(&self) -> bool {
        self.is_fetching
    }
}

impl GatewayReducer {
    /// Handles the announcement that the catalog has changed up to `last_change`.
    pub(super) fn change_announced(
        &mut self,
        peer: SocketAddr,
        last_change: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let announced = &mut self.catalog_fetcher.announced;
        if announced.is_none_or(|(known, _)| last_change >= known) {
            *announced = Some((last_change, peer));
        }
        self.fetch_changes(effects);
    }

    /// Fetches the announced changes, unless a fetch is in progress or they are known by now.
    fn fetch_changes(&mut self, effects: &mut Vec<GatewayEffect>) {
        if self.catalog_fetcher.is_fetching {
            return;
        }
        let after = self.catalog.revision();
        let Some((last_change, peer)) = self.catalog_fetcher.announced.take() else {
            return;
        };
        if last_change <= after {
            return;
        }
        self.catalog_fetcher.is_fetching = true;
        let message = PeerCall::CatalogChanges { after };
        self.call_peer(peer, message, CallPurpose::Catalog, effects);
    }

    /// Handles the end of a fetch. If it failed, the changes are fetched from the next peer that
    /// announces them.
    pub(super) fn fetch_ended(&mut self, effects: &mut Vec<GatewayEffect>) {
        self.catalog_fetcher.is_fetching = false;
        self.fetch_changes(effects);
    }
}
