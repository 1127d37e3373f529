//! Links of limited bandwidth between the instances of a simulation.

use std::{collections::BTreeMap, time::Duration};

use wasabistall_lib::clock::ClockTime;

/// Interval at which the bandwidth is divided anew among the transfers.
pub(crate) const LINK_STEP: Duration = Duration::from_millis(5);

/// Number of a transfer.
pub(crate) type TransferNumber = u64;

struct LinkTransfer {
    /// Sending instance; `None` for the store, whose link is not limited.
    from: Option<usize>,
    to: usize,
    remaining_bytes: f64,
}

/// The links of all instances. Transfers that use a link at the same time share its bandwidth.
pub(crate) struct LinkTable {
    /// Bandwidth of each instance's link in each direction.
    bytes_per_s: Vec<f64>,
    transfers: BTreeMap<TransferNumber, LinkTransfer>,
    next_transfer: TransferNumber,
    stepped_at: ClockTime,
}

impl LinkTable {
    pub(crate) fn new(bytes_per_s: Vec<f64>) -> LinkTable {
        LinkTable {
            bytes_per_s,
            transfers: BTreeMap::new(),
            next_transfer: 0,
            stepped_at: ClockTime::ZERO,
        }
    }

    pub(crate) fn begin(&mut self, from: Option<usize>, to: usize, bytes: usize) -> TransferNumber {
        self.next_transfer += 1;
        let transfer = LinkTransfer {
            from,
            to,
            remaining_bytes: bytes as f64,
        };
        self.transfers.insert(self.next_transfer, transfer);
        self.next_transfer
    }

    pub(crate) fn abort(&mut self, transfer: TransferNumber) {
        self.transfers.remove(&transfer);
    }

    /// Moves bytes for the time since the last step, and returns the transfers that are complete.
    pub(crate) fn step(&mut self, now: ClockTime) -> Vec<TransferNumber> {
        let elapsed = now.since(self.stepped_at).min(LINK_STEP).as_secs_f64();
        self.stepped_at = now;
        let mut sending = vec![0.0_f64; self.bytes_per_s.len()];
        let mut receiving = sending.clone();
        for transfer in self.transfers.values() {
            if let Some(from) = transfer.from {
                sending[from] += 1.0;
            }
            receiving[transfer.to] += 1.0;
        }
        for transfer in self.transfers.values_mut() {
            let in_rate = self.bytes_per_s[transfer.to] / receiving[transfer.to];
            let out_rate = transfer
                .from
                .map_or(f64::INFINITY, |from| self.bytes_per_s[from] / sending[from]);
            transfer.remaining_bytes -= in_rate.min(out_rate) * elapsed;
        }
        let complete: Vec<TransferNumber> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.remaining_bytes <= 0.0)
            .map(|(number, _)| *number)
            .collect();
        for number in &complete {
            self.transfers.remove(number);
        }
        complete
    }
}
