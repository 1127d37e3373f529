//! Bounds the memory that bodies of requests and responses may take in this process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Bytes of bodies that the process may hold at the same time.
#[derive(Clone, Debug)]
pub(super) struct BodyBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub(super) fn new(limit: usize) -> BodyBudget {
        BodyBudget {
            used: Arc::default(),
            limit,
        }
    }

    /// Bytes that are held now.
    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            })
            .is_ok()
    }
}

/// A body's share of the budget, which it returns when it is dropped.
///
/// A body is dropped together with the future that holds it, whenever its connection closes.
#[derive(Debug)]
pub(super) struct HeldBytes {
    budget: BodyBudget,
    bytes: usize,
}

impl HeldBytes {
    /// Creates a share of no bytes.
    pub(super) fn new(budget: &BodyBudget) -> HeldBytes {
        HeldBytes {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Changes the share to `bytes`; returns whether the budget has room for them.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        if let Some(missing) = bytes.checked_sub(self.bytes) {
            return self.grow(missing);
        }
        self.budget
            .used
            .fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    fn grow(&mut self, bytes: usize) -> bool {
        let is_reserved = self.budget.reserve(bytes);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// The budget of the process is used up.
    NoMemory,
    /// The connection broke.
    Broken,
}

/// A complete body and its share of the budget.
#[derive(Debug)]
pub(super) struct HeldBody {
    pub(super) bytes: Bytes,
    pub(super) held: HeldBytes,
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &BodyBudget,
) -> Result<HeldBody, BodyError> {
    let mut held = HeldBytes::new(budget);
    let mut first = Bytes::new();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            tracing::debug!(%error, "cannot read a body");
            BodyError::Broken
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.bytes + data.len() > limit {
            return Err(BodyError::TooLong);
        }
        if !held.grow(data.len()) {
            return Err(BodyError::NoMemory);
        }
        // Most bodies arrive in one piece, which is not copied.
        if held.bytes == data.len() {
            first = data;
        } else {
            if bytes.is_empty() {
                bytes.extend_from_slice(&std::mem::take(&mut first));
            }
            bytes.extend_from_slice(&data);
        }
    }
    let bytes = if bytes.is_empty() {
        first
    } else {
        bytes.freeze()
    };
    Ok(HeldBody { bytes, held })
}
