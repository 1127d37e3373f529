//! A single instance whose clock, requests and effects a test controls.

use std::{sync::Arc, time::Duration};

use wasabistall_lib::{
    clock::ClockTime,
    error::ErrorKind,
    gateway::{
        FleetBounds, GatewayOptions, GatewayReducer,
        allowance::{ColdBounds, QuotaBounds, RetryBounds},
        availability::PauseBounds,
        catalog::{PublishedChange, PublishedItem},
        event::{
            AttemptEnd, AttemptStats, GatewayEffect, GatewayEvent, GatewayRefusal, GatewayRequest,
            ServerDispatch,
        },
        replica::CatalogPage,
    },
    key::KeyDigest,
};

use super::desk::{server, serving_config};

/// One instance in front of some servers.
pub(crate) struct InstanceHarness {
    pub(crate) reducer: GatewayReducer,
    pub(crate) now: ClockTime,
    pub(crate) revision: u64,
    pub(crate) number: u64,
    /// Deadline of requests.
    pub(crate) deadline: Option<Duration>,
}

impl InstanceHarness {
    pub(crate) fn new(servers: u8) -> InstanceHarness {
        let address = "10.1.0.1:7000".parse().unwrap();
        let mut harness = InstanceHarness {
            reducer: GatewayReducer::new(GatewayOptions {
                instance: "n-1".into(),
                incarnation: 1,
                seed: 7,
                data_centre: "dc-0".into(),
                caller_address: address,
                peer_address: address,
                seed_peers: Vec::new(),
                min_instances: 2,
                first_start: true,
                grace_period: Duration::from_secs(8),
                bounds: FleetBounds {
                    quota: QuotaBounds {
                        window: Duration::from_secs(8),
                        overage: 0.25,
                        slack: 0.0,
                    },
                    retry: RetryBounds {
                        window: Duration::from_secs(10),
                        ratio: 0.2,
                        slack: 8.0,
                    },
                    cold: ColdBounds {
                        overage: 1.5,
                        slack: 5.0,
                    },
                    order_lease: Duration::from_secs(3),
                },
                queue_hold: Duration::from_millis(300),
                pause_bounds: PauseBounds {
                    max: Duration::from_secs(120),
                    unreadable: Duration::from_secs(1),
                },
            }),
            now: ClockTime::from_millis(1),
            revision: 0,
            number: 0,
            deadline: Some(Duration::from_millis(3_000)),
        };
        harness.publish(
            "op/config",
            PublishedItem::Config(Arc::new(serving_config(1, &[b"key"]))),
        );
        for id in 1..=servers {
            harness.publish(
                &format!("servers/s-{id}"),
                PublishedItem::Server(server(id, false)),
            );
        }
        harness
    }

    pub(crate) fn handle(&mut self, event: GatewayEvent) -> Vec<GatewayEffect> {
        let mut effects = Vec::new();
        self.reducer.reduce(self.now, event, &mut effects);
        effects
    }

    pub(crate) fn publish(&mut self, key: &str, item: PublishedItem) -> Vec<GatewayEffect> {
        self.revision += 1;
        let page = CatalogPage {
            changes: vec![PublishedChange {
                key: key.into(),
                revision: self.revision,
                item: Some(item),
            }],
            is_snapshot: false,
            revision: self.revision,
            era: 0,
        };
        self.handle(GatewayEvent::StoreAnswered(Ok(page)))
    }

    pub(crate) fn remove(&mut self, key: &str) -> Vec<GatewayEffect> {
        self.revision += 1;
        let page = CatalogPage {
            changes: vec![PublishedChange {
                key: key.into(),
                revision: self.revision,
                item: None,
            }],
            is_snapshot: false,
            revision: self.revision,
            era: 0,
        };
        self.handle(GatewayEvent::StoreAnswered(Ok(page)))
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<GatewayEffect> {
        let mut effects = Vec::new();
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(20));
            effects.extend(self.handle(GatewayEvent::Tick));
        }
        effects
    }

    pub(crate) fn request_with(
        &mut self,
        path: &str,
        key: Option<&[u8]>,
        content: u64,
    ) -> Vec<GatewayEffect> {
        self.number += 1;
        self.handle(GatewayEvent::RequestArrived(GatewayRequest {
            number: self.number,
            attempt: "id".into(),
            host: "host".into(),
            path: path.into(),
            key: key.map(KeyDigest::of),
            model: None,
            tokens: None,
            prompt_parts: Vec::new(),
            deadline: self.deadline,
            content_hash: content,
        }))
    }

    pub(crate) fn request(&mut self, path: &str) -> Vec<GatewayEffect> {
        let content = self.number;
        self.request_with(path, Some(b"key"), content)
    }

    pub(crate) fn end(&mut self, end: AttemptEnd) -> Vec<GatewayEffect> {
        self.handle(GatewayEvent::AttemptEnded {
            request: self.number,
            end,
            stats: AttemptStats::default(),
        })
    }
}

pub(crate) fn dispatched(effects: &[GatewayEffect]) -> Option<&ServerDispatch> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    })
}

pub(crate) fn refused(effects: &[GatewayEffect]) -> Option<GatewayRefusal> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::Refuse(refusal) => Some(refusal.clone()),
        _ => None,
    })
}

pub(crate) fn refused_kind(effects: &[GatewayEffect]) -> Option<ErrorKind> {
    refused(effects).map(|refusal| refusal.kind)
}
