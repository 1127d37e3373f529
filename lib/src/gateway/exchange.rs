//! Time limits of exchanges with peers and the platform's store.

use std::time::Duration;

use super::{event::StoreRead, message::PeerCall};

/// Timeout of calls that a caller's request waits for; the request then proceeds without an answer.
pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the other calls to peers, whose messages are small.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a byte of the store's response, in addition to the requested wait.
const STORE_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a transfer of catalog data that makes progress. At 1 Mbit/s it is enough for a
/// configuration of the largest size that the platform stores.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limits of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeTimeouts {
    /// Time without a byte of the response.
    pub stall: Duration,
    /// Time until the end of the response.
    pub total: Duration,
}

impl ExchangeTimeouts {
    /// Limits of an exchange whose response is small.
    pub const fn of_short(timeout: Duration) -> ExchangeTimeouts {
        ExchangeTimeouts {
            stall: timeout,
            total: timeout,
        }
    }
}

impl PeerCall {
    /// Time limits of this call.
    pub fn timeouts(&self) -> ExchangeTimeouts {
        match self {
            PeerCall::Grant(request) => ExchangeTimeouts::of_short(GRANT_TIMEOUT + request.hold),
            PeerCall::Borrow { .. } => ExchangeTimeouts::of_short(GRANT_TIMEOUT),
            PeerCall::CatalogChanges(_) => ExchangeTimeouts {
                stall: CALL_TIMEOUT,
                total: TRANSFER_TIMEOUT,
            },
            PeerCall::Gossip(_) | PeerCall::Claims { .. } | PeerCall::Releases(_) => {
                ExchangeTimeouts::of_short(CALL_TIMEOUT)
            }
        }
    }
}

impl StoreRead {
    /// Time limits of this read.
    pub fn timeouts(self) -> ExchangeTimeouts {
        let wait = match self {
            StoreRead::Snapshot => Duration::ZERO,
            StoreRead::Watch { wait, .. } => wait,
        };
        ExchangeTimeouts {
            stall: wait + STORE_STALL_TIMEOUT,
            total: wait + TRANSFER_TIMEOUT,
        }
    }
}
