//! Reads of the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
use wasabistall_platform::store::{decode_page, join_pages, store_path};

use super::{core::GatewayCore, links};

/// Time for an answer beyond the wait that was asked for.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Longest answer, in bytes; the store's own limit is about one megabyte of items.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Most pages of one whole read.
const MAX_PAGES: usize = 64;

/// Reads from the store and tells the reducer what came of it.
pub(super) async fn read(core: Arc<GatewayCore>, address: SocketAddr, read: StoreRead) {
    let answer = read_pages(&core, address, read).await;
    core.tell(GatewayEvent::StoreAnswered(answer));
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
    Ok(join_pages(read, pages))
}

async fn read_page(
    core: &GatewayCore,
    address: SocketAddr,
    read: StoreRead,
    path: &str,
) -> Result<wasabistall_platform::store::StorePage, StoreError> {
    let wait = match read {
        StoreRead::Snapshot => Duration::ZERO,
        StoreRead::Watch { wait, .. } => wait,
    };
    let request = store_request(address, path).ok_or(StoreError::Unavailable)?;
    let called = links::call(
        &core.peers,
        &address,
        address,
        request,
        wait + ANSWER_TIME,
        MAX_RESPONSE_BYTES,
    );
    let answer = called.await.map_err(|fault| {
        tracing::debug!(?fault, "the store did not answer");
        StoreError::Unavailable
    })?;
    match answer.status {
        StatusCode::OK => decode_page(&answer.body).map_err(|error| {
            tracing::warn!(event = "store_answer_unreadable", %error);
            StoreError::Unavailable
        }),
        StatusCode::GONE => Err(StoreError::HistoryGone),
        status => {
            tracing::debug!(%status, "the store refused");
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
