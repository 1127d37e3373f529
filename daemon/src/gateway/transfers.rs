//! Log lines and metrics of transfers of the catalog, which can be large.

use std::time::Duration;

use super::{connections::ExchangeFailure, metrics::GatewayMetrics};
use crate::client::FullResponse;

/// A complete transfer of at least this many bytes is logged; incomplete ones always are.
const LOGGED_BYTES: usize = 64 * 1024;

/// A finished transfer of catalog data to this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct CatalogTransfer {
    /// `store` or `peer`.
    source: &'static str,
    failure: Option<ExchangeFailure>,
    bytes: usize,
    elapsed: Duration,
}

impl CatalogTransfer {
    pub(super) fn new(
        source: &'static str,
        response: &Result<FullResponse, ExchangeFailure>,
        elapsed: Duration,
    ) -> CatalogTransfer {
        CatalogTransfer {
            source,
            failure: response.as_ref().err().copied(),
            bytes: match response {
                Ok(response) => response.body.len(),
                Err(failure) => failure.received_bytes,
            },
            elapsed,
        }
    }

    /// Counts the transfer and logs it if it is large or incomplete.
    pub(super) fn record(self, metrics: &GatewayMetrics) {
        let is_complete = self.failure.is_none();
        metrics.record_catalog_transfer(self.source, is_complete, self.bytes);
        if is_complete && self.bytes < LOGGED_BYTES {
            return;
        }
        tracing::info!(
            event = "catalog_transfer",
            source = self.source,
            complete = is_complete,
            bytes = self.bytes,
            elapsed_ms = self.elapsed.as_millis(),
            fault = ?self.failure.map(|failure| failure.error),
        );
    }
}
