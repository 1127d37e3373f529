//! Servers of the simulation that announce in their answers that they leave.

use std::{collections::BTreeSet, time::Duration};

use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        availability::{PauseBounds, RetryAfter, ServerNotice},
        event::GatewayEvent,
        servers::GatewayServerKey,
    },
};

use super::{GatewayWorld, NETWORK_DELAY};

/// Bounds on the time for which servers can turn instances away.
pub(super) const PAUSE_BOUNDS: PauseBounds = PauseBounds {
    max: Duration::from_secs(120),
    unreadable: Duration::from_secs(1),
};

/// What servers announce, and which requests reach them.
#[derive(Default)]
pub(crate) struct NoticeTable {
    /// Servers that announce in their answers that they leave.
    pub(crate) leaving: BTreeSet<usize>,
    /// Servers that the store lists as draining.
    pub(super) draining: BTreeSet<usize>,
    /// Times at which requests arrived at servers, each with the instance and the server.
    pub(crate) arrivals: Vec<(ClockTime, usize, usize)>,
}

impl GatewayWorld {
    /// Passes on the announcement in the head of a server's answer, if it has one.
    pub(super) fn announce_leaving(
        &mut self,
        index: usize,
        incarnation: u64,
        engine: usize,
        server: GatewayServerKey,
    ) {
        if self.notice_table.leaving.contains(&engine) {
            let event = GatewayEvent::ServerNoticed {
                server,
                started: self.engines[engine].started,
                notice: ServerNotice {
                    is_leaving: true,
                    retry_after: None,
                },
            };
            self.schedule(NETWORK_DELAY * 2, index, incarnation, event);
        }
    }

    /// Passes on to an instance that a server announces that it leaves.
    pub(crate) fn announce(&mut self, index: usize, engine: usize) {
        self.notice_table.leaving.insert(engine);
        if let Some(server) = self.server_key(engine) {
            let incarnation = self.nodes[index].incarnation;
            self.announce_leaving(index, incarnation, engine, server);
        }
    }

    /// Has a server turn an instance away for some time.
    pub(crate) fn turn_away(&mut self, index: usize, engine: usize, time: Duration) {
        let Some(server) = self.server_key(engine) else {
            return;
        };
        let event = GatewayEvent::ServerNoticed {
            server,
            started: self.engines[engine].started,
            notice: ServerNotice {
                is_leaving: false,
                retry_after: Some(RetryAfter::Time(time)),
            },
        };
        let incarnation = self.nodes[index].incarnation;
        self.schedule(NETWORK_DELAY, index, incarnation, event);
    }

    /// Publishes that a server is draining.
    pub(crate) fn drain_server(&mut self, engine: usize) {
        self.notice_table.draining.insert(engine);
        self.publish_server(engine);
    }

    /// Replaces the process of a server by a new one, which does not leave, and publishes it.
    pub(crate) fn restart_server(&mut self, engine: usize) {
        self.notice_table.leaving.remove(&engine);
        self.engines[engine].restart();
        self.publish_server(engine);
    }
}
