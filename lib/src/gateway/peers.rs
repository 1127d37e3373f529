//! Messages to and from the other instances of the gateway.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    CallPurpose, GatewayReducer,
    claims::{MemberClaims, ServerClaim},
    engines::OwnerView,
    event::GatewayEffect,
    log_event,
    message::{GossipMessage, PeerAnswer, PeerCall, PeerError},
    server_scheduler::GrantCaller,
};
use crate::clock::ClockTime;

/// Minimum time between two gossip rounds that are triggered by changes.
const MIN_SPREAD_INTERVAL: Duration = Duration::from_millis(40);

impl GatewayReducer {
    pub(super) fn call_peer(
        &mut self,
        peer: SocketAddr,
        message: PeerCall,
        purpose: CallPurpose,
        effects: &mut Vec<GatewayEffect>,
    ) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, purpose);
        effects.push(GatewayEffect::CallPeer {
            call,
            peer,
            message,
        });
        call
    }

    /// Runs one gossip round with a few peers.
    pub(super) fn gossip(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.refresh_own_record();
        self.begin_crash_round(now, effects);
        let peers = self.members.begin_round(now, &mut self.random);
        for peer in peers {
            let has_digest = self.members.may_send_digest(now, peer);
            self.call_gossip(now, peer, has_digest, effects);
        }
    }

    fn call_gossip(
        &mut self,
        now: ClockTime,
        peer: SocketAddr,
        has_digest: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let message = self.gossip_message(now, has_digest, None);
        let has_digest = message.has_digest();
        let message = PeerCall::Gossip(message);
        self.call_peer(peer, message, CallPurpose::Gossip { has_digest }, effects);
    }

    /// Runs an extra gossip round after a change of the catalog.
    pub(super) fn spread_change(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if now.since(self.last_spread) < MIN_SPREAD_INTERVAL && self.last_spread > ClockTime::ZERO {
            return;
        }
        self.last_spread = now;
        self.gossip(now, effects);
    }

    fn refresh_own_record(&mut self) {
        let claims: Vec<ServerClaim> = self
            .schedulers
            .iter()
            .map(|(key, scheduler)| {
                let record = &self.servers.get(*key).record;
                ServerClaim {
                    server: record.id.clone(),
                    started: scheduler.order_lease().known_start(record.started),
                    active: scheduler.is_active(),
                    fence: scheduler.last_fence(),
                    models: scheduler.holdings(),
                    recently_evicted: scheduler.recent_holdings(),
                }
            })
            .collect();
        // The instance may schedule the server again later.
        for claim in &claims {
            record_fence(&mut self.fencing_tokens, claim);
        }
        self.members.set_claims(claims);
    }

    /// Builds a call, or the answer to a call.
    fn gossip_message(
        &mut self,
        now: ClockTime,
        has_digest: bool,
        call: Option<&GossipMessage>,
    ) -> GossipMessage {
        let received = call.map_or(&[][..], |call| &call.records);
        let known_crashes = call.map(|call| call.crashes.digest);
        let records = if has_digest {
            self.members.records(now, &mut self.random)
        } else {
            self.members.whole_records(now, &mut self.random)
        };
        GossipMessage {
            records,
            claims: self.members.claims_newer_than(received),
            wanted: self.members.claims_older_than(received),
            revision: self.catalog.revision().number,
            last_change: self.catalog.last_change().number,
            catalog_age: self.catalog_age(now),
            era: self.catalog.revision().era,
            leaving: self.servers.shared_leaving(now),
            load_time: Some(self.load_limiter.load_time()),
            statuses: self.gossip_statuses(now),
            crashes: self.suspects.news(now, known_crashes, &mut self.random),
        }
    }

    pub(super) fn peer_called(
        &mut self,
        now: ClockTime,
        call: u64,
        message: PeerCall,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let answer = match message {
            PeerCall::Gossip(message) => {
                let sender = message.records.first().map(|aged| aged.record.peer_address);
                let answer = self.gossip_message(now, message.has_digest(), Some(&message));
                let answer = PeerAnswer::Gossip(answer);
                self.gossip_received(now, sender, &message, effects);
                answer
            }
            PeerCall::Claims { claims, wanted } => {
                self.claims_received(now, &claims);
                PeerAnswer::Claims(self.members.claims_of(&wanted))
            }
            PeerCall::CatalogChanges(query) => {
                PeerAnswer::CatalogChanges(self.catalog.changes_after(query.revision()))
            }
            PeerCall::Grant(request) => {
                let caller = GrantCaller::Peer { call };
                self.receive_grant_request(now, caller, request, effects);
                return;
            }
            PeerCall::Releases(releases) => {
                for release in &releases {
                    self.handle_grant_release(now, release, effects);
                }
                PeerAnswer::Acknowledged
            }
            PeerCall::Borrow { team, wanted } => {
                PeerAnswer::Lent(self.lend_quota(now, &team, wanted))
            }
        };
        effects.push(GatewayEffect::AnswerPeer { call, answer });
    }

    fn gossip_received(
        &mut self,
        now: ClockTime,
        sender: Option<SocketAddr>,
        message: &GossipMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.members.merge(now, &message.records);
        self.claims_received(now, &message.claims);
        self.leaving_heard(now, &message.leaving, effects);
        if let Some(load_time) = message.load_time {
            self.load_limiter.merge_load_time(load_time);
        }
        self.gossip_statuses_received(now, &message.statuses);
        self.crashes_heard(now, &message.crashes, effects);
        let known = self.catalog.revision();
        if !self.trusts_peer_era(now, message.era) {
            return;
        }
        if message.newest_change() > known {
            // The answer of a peer that is not complete itself would not complete this replica.
            let is_complete = message.complete_to() >= message.newest_change();
            let has_news = is_complete || message.newest_change() > self.catalog.last_change();
            if let Some(peer) = sender
                && has_news
            {
                self.change_announced(now, peer, message.newest_change(), effects);
            }
        } else if message.complete_to() >= known && message.revision > 0 {
            self.catalog.confirm(message.complete_to());
            self.confirm_catalog(now, message.catalog_age);
        }
    }

    fn claims_received(&mut self, now: ClockTime, claims: &[MemberClaims]) {
        if self.members.merge_claims(claims) {
            self.update_owners(now);
        }
    }

    /// Handles the answer to a gossip call: sends the claims that the peer wanted, and asks for those
    /// that it has newer.
    fn gossip_answered(
        &mut self,
        now: ClockTime,
        peer: SocketAddr,
        message: &GossipMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.gossip_received(now, Some(peer), message, effects);
        let claims = self.members.claims_of(&message.wanted);
        let wanted = self.members.claims_older_than(&message.records);
        if !claims.is_empty() || !wanted.is_empty() {
            let message = PeerCall::Claims { claims, wanted };
            self.call_peer(peer, message, CallPurpose::Claims, effects);
        }
    }

    /// Sends whole records to a peer that may be of a version that does not decode digests.
    fn digest_unanswered(
        &mut self,
        now: ClockTime,
        peer: SocketAddr,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.members.digest_unanswered(now, peer) {
            self.call_gossip(now, peer, false, effects);
        }
    }

    fn update_owners(&mut self, now: ClockTime) {
        let mut owners = BTreeMap::new();
        for record in self.members.alive(now) {
            for claim in self.members.claims(record) {
                record_fence(&mut self.fencing_tokens, claim);
                let view = OwnerView::new(now, record, claim);
                let known: Option<&OwnerView> = owners.get(&claim.server);
                if known.is_none_or(|known| view.outranks(known, &claim.server)) {
                    owners.insert(claim.server.clone(), view);
                }
            }
        }
        // The backlog from a scheduler's own reply is newer than anything received by gossip.
        for (server, view) in &mut owners {
            if let Some(known) = self.owners.get(server)
                && known.name == view.name
            {
                view.prefill_until = view.prefill_until.max(known.prefill_until);
                view.backlog_known_at = known.backlog_known_at;
            }
        }
        self.owners = owners;
    }

    pub(super) fn check_members(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let changes = self.members.changes(now);
        for change in &changes {
            let event = if change.alive {
                "member_alive"
            } else {
                "member_gone"
            };
            log_event(effects, event, "", &change.name);
        }
        if !changes.is_empty() {
            self.update_owners(now);
        }
    }

    pub(super) fn peer_answered(
        &mut self,
        now: ClockTime,
        call: u64,
        peer: SocketAddr,
        answer: Result<PeerAnswer, PeerError>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if answer == Err(PeerError::ConnectionRefused) {
            self.members.mark_refused(now, peer);
        }
        match (purpose, answer) {
            (CallPurpose::Gossip { .. }, Ok(PeerAnswer::Gossip(message))) => {
                self.gossip_answered(now, peer, &message, effects);
            }
            (CallPurpose::Gossip { has_digest: true }, Err(PeerError::NoAnswer)) => {
                self.digest_unanswered(now, peer, effects);
            }
            (CallPurpose::Claims, Ok(PeerAnswer::Claims(claims))) => {
                self.claims_received(now, &claims);
            }
            (CallPurpose::Catalog, Ok(PeerAnswer::CatalogChanges(page)))
                if self.trusts_peer_era(now, page.era) =>
            {
                self.apply_page(now, "peer", page, effects);
                self.fetch_ended(now, effects);
            }
            (CallPurpose::Catalog, _) => self.fetch_ended(now, effects),
            (
                CallPurpose::Grant {
                    request,
                    grant,
                    server,
                },
                answer,
            ) => {
                let reply = match &answer {
                    Ok(PeerAnswer::Grant(reply)) => Some(reply),
                    _ => None,
                };
                if let Some(reply) = reply {
                    self.reply_statuses_received(now, reply);
                }
                self.grant_answered(now, request, grant, server, reply, effects);
            }
            (CallPurpose::Borrow(request), Ok(PeerAnswer::Lent(lent))) => {
                self.quota_lent(now, request, lent, effects);
            }
            (CallPurpose::Borrow(request), _) => self.quota_lent(now, request, 0.0, effects),
            _ => {}
        }
    }

    pub(super) fn flush_releases(&mut self, effects: &mut Vec<GatewayEffect>) {
        for (peer, releases) in std::mem::take(&mut self.releases) {
            let message = PeerCall::Releases(releases);
            self.call_peer(peer, message, CallPurpose::Releases, effects);
        }
    }
}

/// Raises the largest known fencing token of a server to that of a claim.
fn record_fence(fencing_tokens: &mut BTreeMap<SmolStr, (u64, u64)>, claim: &ServerClaim) {
    let known = fencing_tokens.entry(claim.server.clone()).or_default();
    *known = (*known).max((claim.started, claim.fence));
}
