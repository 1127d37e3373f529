//! Exchanges of the simulated instances with each other and the store over links of limited
//! bandwidth.

use std::time::Duration;

use rand::Rng;
use wasabistall_lib::gateway::{
    event::{GatewayEvent, StoreError},
    replica::CatalogPage,
};

use super::{GatewayWorld, NETWORK_DELAY, WorldAction};
use crate::gateway::link::{LINK_STEP, LinkTable, TransferNumber};

/// Size of a page of the store, which is JSON within base64, compared to the same in an
/// uncompressed message.
const STORE_SIZE_FACTOR: usize = 3;

/// Number of an exchange over links of limited bandwidth.
pub(crate) type ExchangeNumber = u64;

/// An exchange of an instance with a peer or the store, of which one message is being transferred.
pub(crate) struct LinkExchange {
    transfer: Option<TransferNumber>,
    /// What the transferred message does when it has arrived.
    arrival: Option<WorldAction>,
    /// Passed to the caller if the exchange is given up.
    failure: WorldAction,
}

impl GatewayWorld {
    pub(super) fn answer_read(
        &mut self,
        index: usize,
        incarnation: u64,
        answer: Result<CatalogPage, StoreError>,
        exchange: Option<ExchangeNumber>,
    ) {
        let size = answer.as_ref().map_or(0, |page| {
            let bytes = rmp_serde::to_vec(page).expect("pages always serialize");
            bytes.len() * STORE_SIZE_FACTOR
        });
        let event = GatewayEvent::StoreAnswered(answer);
        match exchange {
            Some(exchange) => {
                let arrival = WorldAction::Event(index, incarnation, event);
                self.transfer(exchange, None, index, size, arrival);
            }
            None => {
                let mut delay = NETWORK_DELAY * 4;
                if self.store.late_share > 0.0 && self.random.random_bool(self.store.late_share) {
                    delay += Duration::from_millis(self.random.random_range(100..1_500));
                }
                self.schedule(delay, index, incarnation, event);
            }
        }
    }

    /// Limits the bandwidth of each instance's link, in bytes per second.
    pub(crate) fn limit_links(&mut self, bytes_per_s: Vec<f64>) {
        self.links = Some(LinkTable::new(bytes_per_s));
        self.push(self.now.after(LINK_STEP), WorldAction::StepLinks);
    }

    pub(super) fn begin_exchange(
        &mut self,
        timeout: Duration,
        failure: WorldAction,
    ) -> ExchangeNumber {
        self.next_exchange += 1;
        let exchange = LinkExchange {
            transfer: None,
            arrival: None,
            failure,
        };
        self.exchanges.insert(self.next_exchange, exchange);
        let deadline = self.now.after(timeout);
        self.push(deadline, WorldAction::Timeout(self.next_exchange));
        self.next_exchange
    }

    /// Transfers a message of an exchange, unless that was given up.
    pub(super) fn transfer(
        &mut self,
        exchange: ExchangeNumber,
        from: Option<usize>,
        to: usize,
        bytes: usize,
        arrival: WorldAction,
    ) {
        if let (Some(exchange), Some(links)) = (self.exchanges.get_mut(&exchange), &mut self.links)
        {
            exchange.transfer = Some(links.begin(from, to, bytes));
            exchange.arrival = Some(arrival);
        }
    }

    /// Ends an exchange with its failure, unless it is complete.
    pub(super) fn give_up_exchange(&mut self, exchange: ExchangeNumber) {
        let Some(exchange) = self.exchanges.remove(&exchange) else {
            return;
        };
        if let (Some(links), Some(transfer)) = (&mut self.links, exchange.transfer) {
            links.abort(transfer);
        }
        self.run_action(exchange.failure);
    }

    pub(super) fn step_links(&mut self) {
        let Some(links) = &mut self.links else { return };
        let complete = links.step(self.now);
        self.push(self.now.after(LINK_STEP), WorldAction::StepLinks);
        for transfer in complete {
            let found = self
                .exchanges
                .iter_mut()
                .find(|(_, exchange)| exchange.transfer == Some(transfer));
            let Some((number, exchange)) = found else {
                continue;
            };
            let number = *number;
            let Some(arrival) = exchange.arrival.take() else {
                continue;
            };
            // An event is the end of its exchange.
            if matches!(arrival, WorldAction::Event(..)) {
                self.exchanges.remove(&number);
            }
            self.run_action(arrival);
        }
    }
}
