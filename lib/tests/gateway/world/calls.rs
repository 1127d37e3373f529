//! Calls between the simulated instances, which the called instance may answer later.

use std::{collections::BTreeMap, net::SocketAddr};

use wasabistall_lib::gateway::{
    encoding::encode_answer,
    event::GatewayEvent,
    message::{PeerAnswer, PeerCall, PeerError},
};

use super::{GatewayWorld, NETWORK_DELAY, WorldAction, exchanges::ExchangeNumber};

/// Number under which an instance knows a call of a peer.
type ReceivedCall = u64;

/// A call that was delivered and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldCall {
    /// Index and incarnation of the caller.
    pub(super) from: u64,
    /// Number of the call at the caller.
    pub(super) call: u64,
    pub(super) peer: SocketAddr,
    pub(super) exchange: Option<ExchangeNumber>,
}

/// Calls that are held by the called instances.
#[derive(Default)]
pub(crate) struct CallTable {
    next: ReceivedCall,
    held: BTreeMap<ReceivedCall, (usize, HeldCall)>,
}

impl GatewayWorld {
    pub(super) fn deliver_call(&mut self, index: usize, held: HeldCall, message: PeerCall) {
        if self.nodes[index].reducer.is_none() {
            self.return_answer(index, held, Err(PeerError::ConnectionRefused));
            return;
        }
        let timeout = message.timeouts().total;
        self.call_table.next += 1;
        let call = self.call_table.next;
        self.call_table.held.insert(call, (index, held));
        // A paused process does not answer, and its peers do not wait for it to go on.
        if self.now >= self.nodes[index].paused_until {
            let incarnation = self.nodes[index].incarnation;
            let event = GatewayEvent::PeerCalled { call, message };
            self.handle(index, incarnation, event);
        }
        // The link's exchange has a timeout of its own.
        if let Some((_, held)) = self.call_table.held.get(&call)
            && held.exchange.is_none()
        {
            self.push(self.now.after(timeout), WorldAction::AbandonCall(call));
        }
    }

    /// Ends a call that was not answered in time.
    pub(super) fn abandon_call(&mut self, call: ReceivedCall) {
        if let Some((index, held)) = self.call_table.held.remove(&call) {
            self.return_answer(index, held, Err(PeerError::NoAnswer));
        }
    }

    pub(super) fn answer_call(&mut self, call: ReceivedCall, answer: PeerAnswer) {
        if let Some((index, held)) = self.call_table.held.remove(&call) {
            self.return_answer(index, held, Ok(answer));
        }
    }

    /// Breaks the connections of the calls that an instance holds.
    pub(super) fn break_calls(&mut self, index: usize) {
        let broken: Vec<ReceivedCall> = self
            .call_table
            .held
            .iter()
            .filter(|(_, (holder, _))| *holder == index)
            .map(|(call, _)| *call)
            .collect();
        for call in broken {
            self.abandon_call(call);
        }
    }

    /// Lets the caller of a request disconnect.
    pub(crate) fn disconnect(&mut self, index: usize, request: u64) {
        let incarnation = self.nodes[index].incarnation;
        let event = GatewayEvent::CallerDisconnected(request);
        self.handle(index, incarnation, event);
    }

    fn return_answer(
        &mut self,
        index: usize,
        held: HeldCall,
        answer: Result<PeerAnswer, PeerError>,
    ) {
        let from_index = held.from as usize >> 32;
        let from_incarnation = held.from & 0xffff_ffff;
        if let Ok(PeerAnswer::CatalogChanges(page)) = &answer {
            let has_config = page.changes.iter().any(|change| change.key == "op/config");
            self.config_fetches += u64::from(has_config);
        }
        let size = answer.as_ref().map_or(0, |answer| {
            let encoded = encode_answer(answer).expect("answers always serialize");
            encoded.body.len()
        });
        let event = GatewayEvent::PeerAnswered {
            call: held.call,
            peer: held.peer,
            answer,
        };
        let action = WorldAction::Event(from_index, from_incarnation, event);
        match held.exchange {
            Some(exchange) => self.transfer(exchange, Some(index), from_index, size, action),
            None => self.push(self.now.after(NETWORK_DELAY), action),
        }
    }
}
