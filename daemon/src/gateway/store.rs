//! Reads of the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    header::{HOST, HeaderValue},
};
use wasabistall_lib::gateway::{
    event::{GatewayEvent, StoreError, StoreRead},
    replica::CatalogPage,
};
use wasabistall_platform::store::{decode_era, decode_page, join_pages, store_path};

use super::{
    connections::{self, ExchangeLimits},
    core::GatewayCore,
    transfers::CatalogTransfer,
};

/// Largest response, in bytes; the store itself limits a page to about one megabyte of items.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of pages in one full read.
const MAX_PAGES: usize = 64;

/// Reads from the store and reports the result to the reducer.
pub(super) async fn read_store(core: Arc<GatewayCore>, address: SocketAddr, read: StoreRead) {
    let result = read_pages(&core, address, read).await;
    core.handle_event(GatewayEvent::StoreAnswered(result));
}

async fn read_pages(
    core: &GatewayCore,
    address: SocketAddr,
    read: StoreRead,
) -> Result<CatalogPage, StoreError> {
    let mut pages = Vec::new();
    let mut after_key = None;
    for _ in 0..MAX_PAGES {
        let path = store_path(read, after_key.as_deref());
        let page = read_page(core, address, read, &path).await?;
        for (key, error) in &page.malformed {
            tracing::warn!(event = "value_unreadable", %key, %error);
        }
        after_key.clone_from(&page.continue_after);
        pages.push(page);
        if after_key.is_none() {
            break;
        }
    }
    join_pages(read, pages)
}

async fn read_page(
    core: &GatewayCore,
    address: SocketAddr,
    read: StoreRead,
    path: &str,
) -> Result<wasabistall_platform::store::StorePage, StoreError> {
    let request = store_request(address, path).ok_or(StoreError::Unavailable)?;
    let limits = ExchangeLimits {
        timeouts: read.timeouts(),
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let started = Instant::now();
    let response = connections::call(&core.peers, &address, address, request, limits).await;
    let transfer = CatalogTransfer::new("store", &response, started.elapsed());
    transfer.record(&core.metrics);
    let response = response.map_err(|_| StoreError::Unavailable)?;
    let era = decode_era(&response.headers).map_err(|error| {
        tracing::warn!(event = "store_answer_unreadable", %error);
        StoreError::Unavailable
    })?;
    core.record_store_era(era, response.status);
    match response.status {
        StatusCode::OK => decode_page(era, &response.body).map_err(|error| {
            tracing::warn!(event = "store_answer_unreadable", %error);
            StoreError::Unavailable
        }),
        StatusCode::GONE => Err(StoreError::HistoryGone),
        status => {
            tracing::debug!(%status, "the store refused the read");
            Err(StoreError::Unavailable)
        }
    }
}

fn store_request(address: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
