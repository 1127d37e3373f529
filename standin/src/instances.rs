//! An instance registry: a list of live and leaving instances, read with a configurable lag.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use eyre::Result;
use hyper::{Method, StatusCode};
use poem::Response;
use serde_json::Value;

use crate::http;

struct RegistryState {
    lag: Duration,
    /// Lists with the times at which they were written, oldest first. Entries can be of any form.
    lists: Mutex<VecDeque<(Instant, Vec<Value>)>>,
}

/// Starts the registry and returns its address.
pub(crate) async fn start(listen: SocketAddr, lag: Duration) -> Result<SocketAddr> {
    let state = Arc::new(RegistryState {
        lag,
        lists: Mutex::new(VecDeque::new()),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let state = state.clone();
        async move { state.handle(request).await }
    });
    http::serve(listen, endpoint).await
}

impl RegistryState {
    async fn handle(&self, mut request: poem::Request) -> Response {
        if request.uri().path() != "/v1/instances" {
            return http::empty(StatusCode::NOT_FOUND);
        }
        match *request.method() {
            Method::GET => http::json(StatusCode::OK, &self.read()),
            Method::PUT => match http::read_json(&mut request).await {
                Some(list) => {
                    self.lists.lock().unwrap().push_back((Instant::now(), list));
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => http::empty(StatusCode::BAD_REQUEST),
            },
            _ => http::empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Returns the newest list that is at least `lag` old, or the first one if none is.
    fn read(&self) -> Vec<Value> {
        let mut lists = self.lists.lock().unwrap();
        while lists
            .get(1)
            .is_some_and(|(written_at, _)| written_at.elapsed() >= self.lag)
        {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
