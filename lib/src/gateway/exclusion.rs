//! Reasons why a server cannot be selected for a request.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Why a server cannot be selected for a request now.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ServerExclusion {
    /// It is no longer published.
    Unlisted,
    /// It is published as draining.
    Draining,
    /// Its process has announced that it leaves.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It refused a connection recently.
    ConnectionsRefused {
        /// Time until it is tried again; serialized in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "time_left_ms")]
        time_left: Duration,
    },
    /// It has turned this instance away for some time.
    Paused {
        /// Rest of that time; serialized in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "time_left_ms")]
        time_left: Duration,
    },
    /// Such a pause has ended, and the requests sent since have to be answered first.
    Returning,
    /// It is cold and has received this instance's share of requests.
    ColdLimit,
    /// It lacks the adapter and has recently declined to load another one.
    LoadPause {
        /// Time until it is asked again; serialized in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "time_left_ms")]
        time_left: Duration,
    },
    /// It lacks the model or adapter, and no instance may order it to load one now.
    MayNotLoad {
        /// Whether an instance schedules the server.
        is_scheduled: bool,
    },
    /// No instance schedules it, and it has the maximum number of this instance's requests.
    DirectLimit,
}

impl fmt::Display for ServerExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServerExclusion::Unlisted => f.write_str("no longer published"),
            ServerExclusion::Draining => f.write_str("draining"),
            ServerExclusion::Leaving => f.write_str("announced that it leaves"),
            ServerExclusion::Evacuated => f.write_str("its data centre is evacuated"),
            ServerExclusion::ConnectionsRefused { time_left } => {
                let time = time_left.as_millis();
                write!(f, "refused a connection; tried again in {time} ms")
            }
            ServerExclusion::Paused { time_left } => {
                let time = time_left.as_millis();
                write!(f, "turns this instance away for another {time} ms")
            }
            ServerExclusion::Returning => {
                f.write_str("few requests after a pause; earlier ones are not answered yet")
            }
            ServerExclusion::ColdLimit => {
                f.write_str("cold, and has received this instance's share of requests")
            }
            ServerExclusion::LoadPause { time_left } => {
                let time = time_left.as_millis();
                write!(f, "declined to load an adapter; asked again in {time} ms")
            }
            ServerExclusion::MayNotLoad { is_scheduled: true } => {
                f.write_str("lacks the model or adapter, and its scheduler may not give orders")
            }
            ServerExclusion::MayNotLoad {
                is_scheduled: false,
            } => f.write_str("lacks the model or adapter, and no instance schedules it"),
            ServerExclusion::DirectLimit => {
                f.write_str("not scheduled, and has the maximum of this instance's requests")
            }
        }
    }
}
