//! A weight store that limits the rate of loads and slows down under concurrent loads.

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

/// Configuration of a simulated weight store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreOptions {
    pub(crate) loads_per_second: u64,
    /// Number of concurrent loads that run at full speed.
    pub(crate) full_speed_loads: usize,
    /// Duration of one load at full speed.
    pub(crate) load_time: Duration,
}

impl Default for StoreOptions {
    fn default() -> StoreOptions {
        StoreOptions {
            loads_per_second: 2,
            full_speed_loads: 8,
            load_time: Duration::from_millis(250),
        }
    }
}

/// Counters, read by tests through `GET /admin/stats`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct StoreStats {
    loads: u64,
    refused: u64,
    most_in_flight: usize,
}

/// Faults to inject, set through `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StoreFaults {
    /// Number of upcoming loads that fail.
    fail_loads: u64,
}

struct StoreState {
    options: StoreOptions,
    started: Instant,
    bucket: Mutex<ShareBucket>,
    in_flight: AtomicUsize,
    stats: Mutex<StoreStats>,
    faults: Mutex<StoreFaults>,
}

/// Starts the weight store and returns its address.
pub(crate) async fn start(listen: SocketAddr, options: StoreOptions) -> Result<SocketAddr> {
    let burst = options.loads_per_second;
    let mut bucket = ShareBucket::empty(
        ClockTime::ZERO,
        options.loads_per_second,
        burst,
        SHARE_COUNT as u64,
    );
    bucket.refund(ClockTime::ZERO, burst * MICROS_PER_UNIT);
    let state = Arc::new(StoreState {
        options,
        started: Instant::now(),
        bucket: Mutex::new(bucket),
        in_flight: AtomicUsize::new(0),
        stats: Mutex::new(StoreStats::default()),
        faults: Mutex::new(StoreFaults::default()),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let state = state.clone();
        async move { state.handle(request).await }
    });
    http::serve(listen, endpoint).await
}

impl StoreState {
    async fn handle(&self, mut request: poem::Request) -> Response {
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

    /// Applies the rate limit and injected failures to a load.
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

    /// Runs one load, slower in proportion to the number in flight beyond `full_speed_loads`.
    async fn load(&self) -> Response {
        if let Err(status) = self.admit() {
            return http::empty(status);
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        {
            let mut stats = self.stats.lock().unwrap();
            stats.most_in_flight = stats.most_in_flight.max(in_flight);
        }
        let full_speed_loads = self.options.full_speed_loads;
        let slowdown = u32::try_from(in_flight.div_ceil(full_speed_loads)).unwrap_or(1);
        tokio::time::sleep(self.options.load_time * slowdown).await;
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        http::empty(StatusCode::OK)
    }
}
