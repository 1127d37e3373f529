//! A weight store that allows a number of loads a second and slows down when crowded.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use eyre::Result;
use hyper::{Method, StatusCode};
use poem::Response;
use serde::{Deserialize, Serialize};
use wasabistall_lib::{
    clock::ClockTime,
    limits::{MICROS_PER_UNIT, SHARE_COUNT, ShareBucket},
};

use crate::http;

/// How a store behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreShape {
    pub(crate) loads_per_second: u64,
    /// Loads that run at full speed together.
    pub(crate) full_speed: usize,
    /// Time of one load at full speed.
    pub(crate) load_time: Duration,
}

impl Default for StoreShape {
    fn default() -> StoreShape {
        StoreShape {
            loads_per_second: 2,
            full_speed: 8,
            load_time: Duration::from_millis(250),
        }
    }
}

/// Counts for tests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct StoreStats {
    loads: u64,
    refused: u64,
    most_in_flight: usize,
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StoreFaults {
    /// Loads that fail from now on.
    fail_loads: u64,
}

struct StoreState {
    shape: StoreShape,
    started: Instant,
    bucket: Mutex<ShareBucket>,
    in_flight: AtomicUsize,
    stats: Mutex<StoreStats>,
    faults: Mutex<StoreFaults>,
}

/// Starts a store; returns its address.
pub(crate) async fn start(listen: SocketAddr, shape: StoreShape) -> Result<SocketAddr> {
    let burst = shape.loads_per_second;
    let mut bucket = ShareBucket::empty(
        ClockTime::ZERO,
        shape.loads_per_second,
        burst,
        SHARE_COUNT as u64,
    );
    bucket.refund(ClockTime::ZERO, burst * MICROS_PER_UNIT);
    let state = Arc::new(StoreState {
        shape,
        started: Instant::now(),
        bucket: Mutex::new(bucket),
        in_flight: AtomicUsize::new(0),
        stats: Mutex::new(StoreStats::default()),
        faults: Mutex::new(StoreFaults::default()),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let state = state.clone();
        async move { state.answer(request).await }
    });
    http::serve(listen, endpoint).await
}

impl StoreState {
    async fn answer(&self, mut request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/stats") => {
                http::json(StatusCode::OK, &*self.stats.lock().unwrap())
            }
            (&Method::POST, "/admin/faults") => match http::read_json(&mut request).await {
                Some(faults) => {
                    *self.faults.lock().unwrap() = faults;
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => http::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, path) if path.starts_with("/v1/weights/") => self.load().await,
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    fn admit(&self) -> Result<(), StatusCode> {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let now = ClockTime::from_micros(micros);
        let mut stats = self.stats.lock().unwrap();
        if !self.bucket.lock().unwrap().try_take(now, MICROS_PER_UNIT) {
            stats.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        stats.loads += 1;
        let mut faults = self.faults.lock().unwrap();
        if faults.fail_loads > 0 {
            faults.fail_loads -= 1;
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        Ok(())
    }

    async fn load(&self) -> Response {
        if let Err(status) = self.admit() {
            return http::empty(status);
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        {
            let mut stats = self.stats.lock().unwrap();
            stats.most_in_flight = stats.most_in_flight.max(in_flight);
        }
        let full_speed = self.shape.full_speed;
        let crowd = u32::try_from(in_flight.div_ceil(full_speed)).unwrap_or(1);
        tokio::time::sleep(self.shape.load_time * crowd).await;
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        http::empty(StatusCode::OK)
    }
}
