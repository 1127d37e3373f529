//! Messages between instances: sending, receiving, and spreading the configuration log.

use std::{sync::Arc, time::Duration};

use rand_chacha::rand_core::RngCore;
use smol_str::{SmolStr, format_smolstr};

use super::Reducer;
use crate::{
    clock::ClockTime,
    config::InstanceKey,
    event::Effect,
    limits::{LoanAnswer, LoanRequest, LoanSettlement},
    member::PeerIncarnation,
    message::{MAX_ENVELOPE_BYTES, PeerEnvelope, PeerMessage},
};

/// Interval at which an instance sends its configuration sequence to random peers.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers contacted per gossip round.
const GOSSIP_FANOUT: usize = 2;
/// Shortest time between two pulls of log entries.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest size of the log entries in one answer, in bytes.
const PULL_BYTES: usize = MAX_ENVELOPE_BYTES / 2;

impl Reducer {
    /// Sends a message to an instance, which may be this one.
    pub(super) fn send(
        &mut self,
        to: InstanceKey,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let record = &config.instances[to];
        if record.name == self.settings.instance {
            self.loopback.push_back(message);
            return;
        }
        effects.push(Effect::SendToPeer {
            to: record.name.clone(),
            address: record.peer_address,
            message,
        });
    }

    /// Sends a message to the scheduler of a pool, if there is one.
    pub(super) fn send_to_scheduler(
        &mut self,
        pool: &str,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let Some(key) = self.pools.key(pool) else {
            return;
        };
        let data_centre = self.pools.record(key).data_centre;
        if let Some(scheduler) = self.members.scheduler(&config, pool, data_centre) {
            self.send(scheduler, message, effects);
        }
    }

    pub(super) fn envelope_received(
        &mut self,
        now: ClockTime,
        envelope: PeerEnvelope,
        effects: &mut Vec<Effect>,
    ) {
        let PeerEnvelope {
            from,
            incarnation,
            config_sequence: sequence,
            leaving,
            messages,
            ..
        } = envelope;
        if from == self.settings.instance {
            self.superseded |= incarnation > self.settings.incarnation;
            return;
        }
        let known = self.peer_incarnations.get(&from).copied().unwrap_or(0);
        if incarnation < known {
            return;
        }
        if incarnation > known {
            self.peer_incarnations.insert(from.clone(), incarnation);
            self.discard_older_incarnations(now, &from, incarnation);
        }
        self.members.record_incarnation(&from, incarnation);
        if let Some(peer) = self.config().instances.key(&from) {
            self.limits.record_sequence(
                PeerIncarnation {
                    instance: peer,
                    incarnation,
                },
                sequence,
            );
        }
        if leaving && self.members.is_available(&from) {
            self.members.record_leaving(&from, incarnation);
            self.sync_pools(now, effects);
        }
        self.pull_if_behind(now, &from, sequence, effects);
        for message in messages {
            self.message_received(now, &from, incarnation, message, effects);
        }
    }

    fn discard_older_incarnations(&mut self, now: ClockTime, from: &str, incarnation: u64) {
        let Some(instance) = self.config().instances.key(from) else {
            return;
        };
        for scheduler in self.schedulers.values_mut() {
            scheduler.instance_restarted(now, instance, incarnation);
        }
    }

    fn pull_if_behind(
        &mut self,
        now: ClockTime,
        from: &str,
        sequence: u64,
        effects: &mut Vec<Effect>,
    ) {
        if sequence <= self.log.sequence() {
            return;
        }
        if self
            .last_pull
            .is_some_and(|last| now.since(last) < PULL_INTERVAL)
        {
            return;
        }
        let Some(peer) = self.config().instances.key(from) else {
            return;
        };
        self.last_pull = Some(now);
        let after = self.log.sequence();
        self.send(peer, PeerMessage::ConfigPull { after }, effects);
    }

    pub(super) fn message_received(
        &mut self,
        now: ClockTime,
        from: &SmolStr,
        incarnation: u64,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        let (peer, message) = match (self.config().instances.key(from), message) {
            (Some(peer), message) => (peer, message),
            // A process without configuration knows no instance yet; the envelope's signature was
            // already checked.
            (None, PeerMessage::ConfigEntries { entries }) => {
                self.log_read(now, entries.to_vec(), effects);
                return;
            }
            (None, _) => return,
        };
        let sender = PeerIncarnation {
            instance: peer,
            incarnation,
        };
        match message {
            PeerMessage::PermitRequest(permit_request) => {
                self.permit_requested(now, sender, &permit_request, effects);
            }
            PeerMessage::PermitCancel { request, pool } => {
                self.permit_cancelled(now, sender, request, &pool, effects);
            }
            PeerMessage::PermitRelease {
                request,
                pool,
                outcome,
            } => self.permit_released(now, sender, request, &pool, outcome, effects),
            PeerMessage::PermitRenew { pool, holdings } => {
                self.permits_renewed(now, sender, &pool, &holdings, effects);
            }
            PeerMessage::PermitGrant {
                request,
                pool,
                server,
            } => self.permit_granted(now, request, &pool, &server, effects),
            PeerMessage::PermitRefusal {
                request,
                pool,
                fault,
                retry_after,
            } => self.permit_refused(now, request, &pool, fault, retry_after, effects),
            PeerMessage::LimitAsk {
                limit,
                number,
                amount,
                minimum,
                waited,
                report,
            } => {
                let request = LoanRequest {
                    holder: peer,
                    number,
                    amount,
                    minimum,
                    waited,
                    report,
                };
                self.loan_requested(now, sender, &limit, &request, effects);
            }
            PeerMessage::LoanReport { limit, report } => {
                if let Some(key) = limit.resolve(&self.config()) {
                    let settlement = LoanSettlement {
                        key,
                        holder: peer,
                        report,
                    };
                    self.limits.apply_settlement(
                        now,
                        self.settings.incarnation,
                        sender,
                        &settlement,
                    );
                }
            }
            PeerMessage::LimitGrant {
                limit,
                number,
                amount,
                wait,
            } => {
                let answer = LoanAnswer {
                    amount,
                    retry_after: wait,
                };
                self.loan_received(now, sender, &limit, number, answer, effects);
            }
            PeerMessage::Hello => self.send(peer, PeerMessage::HelloAnswer, effects),
            PeerMessage::HelloAnswer => {}
            PeerMessage::ConfigPull { after } => self.config_pulled(peer, after, effects),
            PeerMessage::ConfigEntries { entries } => {
                self.log_read(now, entries.to_vec(), effects);
            }
        }
    }

    fn config_pulled(&mut self, peer: InstanceKey, after: u64, effects: &mut Vec<Effect>) {
        let Some(entries) = self.log.entries_after(after, PULL_BYTES) else {
            return;
        };
        if !entries.is_empty() {
            let entries = Arc::from(entries);
            self.send(peer, PeerMessage::ConfigEntries { entries }, effects);
        }
    }

    pub(super) fn envelope_undelivered(
        &mut self,
        now: ClockTime,
        instance: &str,
        _effects: &mut Vec<Effect>,
    ) {
        if let Some(key) = self.config().instances.key(instance) {
            self.scheduler_lost(now, key);
            self.limits.loan_request_failed(key);
        }
    }

    /// Sends the configuration sequence to a few random peers, so that every instance catches up.
    pub(super) fn gossip(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        if now.since(self.last_gossip) < GOSSIP_INTERVAL {
            return;
        }
        self.last_gossip = now;
        if !self.is_configured() {
            self.contact_seed_peers(effects);
            return;
        }
        let config = self.config();
        let mut peers: Vec<InstanceKey> = self
            .members
            .available(&config)
            .into_iter()
            .filter(|key| config.instances[*key].name != self.settings.instance)
            .collect();
        for _ in 0..GOSSIP_FANOUT.min(peers.len()) {
            let position = self.random.next_u64() as usize % peers.len();
            let peer = peers.swap_remove(position);
            let after = self.log.sequence();
            self.send(peer, PeerMessage::ConfigPull { after }, effects);
        }
    }

    /// Requests the configuration from the peers named in the settings.
    fn contact_seed_peers(&self, effects: &mut Vec<Effect>) {
        let after = self.log.sequence();
        for address in &self.settings.seed_peers {
            effects.push(Effect::SendToPeer {
                to: format_smolstr!("{address}"),
                address: *address,
                message: PeerMessage::ConfigPull { after },
            });
        }
    }

    /// Announces to all peers that this instance is shutting down.
    pub(super) fn announce_leaving(&mut self, effects: &mut Vec<Effect>) {
        self.send_to_all(&PeerMessage::Hello, effects);
    }

    /// Sends a message to every other configured instance.
    pub(super) fn send_to_all(&mut self, message: &PeerMessage, effects: &mut Vec<Effect>) {
        let config = self.config();
        for (peer, record) in config.live_instances() {
            if record.name != self.settings.instance {
                self.send(peer, message.clone(), effects);
            }
        }
    }
}
