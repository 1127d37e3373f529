//! Large configurations in a fleet whose instances have slow links.

mod gateway;

use std::{sync::Arc, time::Duration};

use gateway::world::{GatewayWorld, config};
use smol_str::format_smolstr;
use wasabistall_lib::gateway::catalog::{PublishedItem, RouteConfig, ServingConfig};

const INSTANCES: usize = 80;
/// Every tenth instance has a fast link.
const FAST_BYTES_PER_S: f64 = 25_000_000.0;
const SLOW_BYTES_PER_S: f64 = 1_250_000.0;
/// Time after which every instance has to apply an acknowledged configuration.
const APPLY_TIME: Duration = Duration::from_millis(3_000);

/// A configuration with `count` routes besides the first.
fn large_config(version: u64, count: usize) -> ServingConfig {
    let mut config = config(version, None);
    for number in 0..count {
        // Names as random as those of the platform, which do not compress well.
        let hash = twox_hash::XxHash3_64::oneshot(&number.to_le_bytes());
        let route = RouteConfig {
            name: format_smolstr!("r-{:07x}", hash & 0xfff_ffff),
            prefix: format_smolstr!("/{:08x}/", hash >> 32),
            ..config.routes[0].clone()
        };
        config.routes.push(route);
    }
    config
}

fn publish(world: &mut GatewayWorld, config: ServingConfig) {
    let item = PublishedItem::Config(Arc::new(config));
    world.publish("op/config", Some(item));
}

fn outdated(world: &GatewayWorld, version: u64) -> usize {
    (0..INSTANCES)
        .filter(|index| world.reducer(*index).config_version() < version)
        .count()
}

/// Most reads of the store for one change: the first reads inform the other instances.
const MAX_STORE_READS: u64 = INSTANCES as u64 / 2;

/// Regression test: instances fetched a large configuration from several peers and the store at the
/// same time. The copies shared the instance's link, each hit its timeout and was fetched again, and
/// some instances never got the configuration.
#[test]
fn a_large_configuration_reaches_all_instances_over_slow_links() {
    let mut failures = Vec::new();
    for seed in 0..3 {
        let mut world = GatewayWorld::new(seed, INSTANCES, 4);
        world.run(Duration::from_secs(8));
        let links = (0..INSTANCES)
            .map(|index| {
                if index % 10 == 0 {
                    FAST_BYTES_PER_S
                } else {
                    SLOW_BYTES_PER_S
                }
            })
            .collect();
        world.limit_links(links);
        world.run(Duration::from_secs(2));
        for (version, routes) in [(17, 4_200), (20, 4_200)] {
            let reads = world.store_reads;
            publish(&mut world, large_config(version, routes));
            world.run(APPLY_TIME);
            let outdated = outdated(&world, version);
            let reads = world.store_reads - reads;
            println!("seed {seed}, version {version}: {outdated} outdated, {reads} reads");
            if outdated > 0 || reads > MAX_STORE_READS {
                failures.push((seed, version, outdated, reads));
            }
        }
    }
    assert_eq!(
        failures,
        [],
        "(seed, version, outdated instances, reads of the store)"
    );
}
