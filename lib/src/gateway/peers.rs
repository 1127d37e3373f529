//! Exchange with the gateway's other instances.

use std::{net::SocketAddr, time::Duration};

use super::{
    CallPurpose, GatewayReducer,
    engines::OwnerView,
    event::GatewayEffect,
    log_event,
    members::ServerClaim,
    message::{GossipMessage, PeerAnswer, PeerCall, PeerError},
};
use crate::clock::ClockTime;

/// Shortest time between two rounds that spread a change.
const RUMOR_INTERVAL: Duration = Duration::from_millis(40);

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

    /// One round of exchange with a few peers.
    pub(super) fn gossip(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.refresh_own_record(now);
        let peers = self.members.begin_round(now, &mut self.random);
        for peer in peers {
            let message = PeerCall::Gossip(self.gossip_message(now, false));
            self.call_peer(peer, message, CallPurpose::Gossip, effects);
        }
    }

    /// Tells peers early that something was published.
    pub(super) fn spread_rumor(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if now.since(self.last_rumor) < RUMOR_INTERVAL && self.last_rumor > ClockTime::ZERO {
            return;
        }
        self.last_rumor = now;
        self.gossip(now, effects);
    }

    fn refresh_own_record(&mut self, now: ClockTime) {
        let claims: Vec<ServerClaim> = self
            .schedulers
            .iter()
            .map(|(key, desk)| ServerClaim {
                server: self.servers.get(*key).record.id.clone(),
                started: self.servers.get(*key).record.started,
                active: desk.is_active(),
                fence: desk.last_fence(),
                models: desk.holdings(),
                recently_evicted: desk.recent_holdings(),
            })
            .collect();
        self.members.set_claims(now, claims);
        self.share_suspects(now);
    }

    pub(super) fn share_suspects(&mut self, now: ClockTime) {
        self.members.own_mut().suspects = self.suspects.crash_counts(now);
    }

    fn gossip_message(&mut self, now: ClockTime, whole: bool) -> GossipMessage {
        GossipMessage {
            records: self.members.records(now, whole, &mut self.random),
            wants_claims: self.members.lacks_claims(now),
            revision: self.catalog.revision(),
            changed: self.catalog.changed(),
            board_age: self.board_age(now),
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
                let answer = PeerAnswer::Gossip(self.gossip_message(now, message.wants_claims));
                self.take_gossip(now, sender, message, effects);
                answer
            }
            PeerCall::Board { after } => PeerAnswer::Board(self.catalog.page_after(after)),
            PeerCall::Grant(ask) => {
                PeerAnswer::Grant(self.handle_grant_request(now, &ask, effects))
            }
            PeerCall::Releases(releases) => {
                for release in &releases {
                    self.handle_grant_release(now, release, effects);
                }
                PeerAnswer::Noted
            }
            PeerCall::Borrow { team, wanted } => {
                PeerAnswer::Lent(self.lend_quota(now, &team, wanted))
            }
        };
        effects.push(GatewayEffect::AnswerPeer { call, answer });
    }

    fn take_gossip(
        &mut self,
        now: ClockTime,
        sender: Option<SocketAddr>,
        message: GossipMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.members.merge(now, message.records);
        self.view_claims(now);
        if message.changed > self.catalog.revision() {
            if let Some(peer) = sender {
                let after = self.catalog.revision();
                self.call_peer(peer, PeerCall::Board { after }, CallPurpose::Board, effects);
            }
        } else if message.revision >= self.catalog.revision() && message.revision > 0 {
            self.catalog.extend(message.revision);
            self.confirm_board(now, message.board_age);
        }
    }

    fn view_claims(&mut self, now: ClockTime) {
        let mut owners = std::collections::BTreeMap::new();
        for record in self.members.alive(now) {
            for claim in record.claims.iter().flat_map(|claims| claims.iter()) {
                let known = self.fencing_tokens.entry(claim.server.clone()).or_default();
                *known = (*known).max((claim.started, claim.fence));
                let view = OwnerView::new(now, record, claim);
                let known: Option<&OwnerView> = owners.get(&claim.server);
                if known.is_none_or(|known| view.outranks(known, &claim.server)) {
                    owners.insert(claim.server.clone(), view);
                }
            }
        }
        // What this instance learned from answers is newer than what travels by gossip.
        for (server, view) in &mut owners {
            if let Some(known) = self.owners.get(server)
                && known.name == view.name
            {
                view.prefill_until = view.prefill_until.max(known.prefill_until);
            }
        }
        self.owners = owners;
    }

    pub(super) fn note_member_changes(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
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
            self.view_claims(now);
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
            self.members.refuse(peer);
        }
        match (purpose, answer) {
            (CallPurpose::Gossip, Ok(PeerAnswer::Gossip(message))) => {
                self.take_gossip(now, Some(peer), message, effects);
            }
            (CallPurpose::Board, Ok(PeerAnswer::Board(page))) => {
                self.apply_page(now, page, effects);
            }
            (CallPurpose::Grant(request, server), Ok(PeerAnswer::Grant(reply))) => {
                self.grant_answered(now, request, server, Some(&reply), effects);
            }
            (CallPurpose::Grant(request, server), _) => {
                self.grant_answered(now, request, server, None, effects);
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
