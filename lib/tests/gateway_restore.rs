//! A store that is restored from an older copy of itself, so that its revisions go back and are used
//! again.

mod gateway;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use gateway::world::{GatewayWorld, config};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::gateway::catalog::{PublishedItem, RouteConfig, ServerRecord, ServingConfig};

const INSTANCES: usize = 7;
/// Time after which an acknowledged configuration has to be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Time after its return in which everything lost is written to the store again.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// Time after the store's return from which on instances have to follow it.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn config_item(version: u64) -> PublishedItem {
    PublishedItem::Config(Arc::new(config(version, None)))
}

fn server(id: &str, data_centre: &str, draining: bool) -> PublishedItem {
    let number = id.bytes().fold(0_u8, u8::wrapping_add);
    PublishedItem::Server(ServerRecord {
        id: id.into(),
        service: "plain".into(),
        address: SocketAddr::from((Ipv4Addr::new(10, 8, 0, number), 80)),
        data_centre: data_centre.into(),
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        sequence: 0,
        started: 1,
        models: Vec::new(),
    })
}

/// What the operator and the servers want the store to have, and write again after a restore.
struct StoreWriters {
    items: BTreeMap<SmolStr, Option<PublishedItem>>,
    /// Writes that are due, by time in milliseconds.
    due: BTreeSet<(u64, SmolStr)>,
    version: u64,
    adapter_version: u64,
    next_server: u64,
}

impl StoreWriters {
    fn new(world: &mut GatewayWorld) -> StoreWriters {
        let mut writers = StoreWriters {
            items: BTreeMap::new(),
            due: BTreeSet::new(),
            version: 1,
            adapter_version: 0,
            next_server: 0,
        };
        writers.write(world, "op/config", Some(config_item(1)));
        for number in 0..4 {
            let id = format!("u-{number}");
            let item = server(&id, "dc-2", false);
            writers.write(world, &format!("servers/{id}"), Some(item));
        }
        for _ in 0..6 {
            writers.add_server(world);
        }
        writers
    }

    fn write(&mut self, world: &mut GatewayWorld, key: &str, item: Option<PublishedItem>) {
        self.items.insert(key.into(), item.clone());
        if !world.store.is_down {
            world.publish(key, item);
        }
    }

    fn add_server(&mut self, world: &mut GatewayWorld) {
        let id = format!("t-{:02}", self.next_server);
        self.next_server += 1;
        let item = server(&id, "dc-1", false);
        self.write(world, &format!("servers/{id}"), Some(item));
    }

    /// Ids of the servers in `dc-1` that are draining or gone.
    fn left(&self) -> BTreeSet<SmolStr> {
        let is_ready = |item: &Option<PublishedItem>| matches!(item, Some(PublishedItem::Server(record)) if !record.draining);
        let servers = self.items.iter().filter_map(|(key, item)| {
            let id = key.strip_prefix("servers/")?;
            (id.starts_with("t-") && !is_ready(item)).then(|| id.into())
        });
        servers.collect()
    }

    fn is_evacuated(&self) -> bool {
        matches!(self.items.get("op/evacuate/dc-2"), Some(Some(_)))
    }

    /// Writes something at random.
    fn act(&mut self, world: &mut GatewayWorld) {
        match world.random().random_range(0..8) {
            0 | 1 => {
                self.version += world.random().random_range(1..4);
                self.write(world, "op/config", Some(config_item(self.version)));
            }
            2 => self.add_server(world),
            3 | 4 => {
                let ready = format!("t-{:02}", world.random().random_range(0..self.next_server));
                let draining = world.random().random_bool(0.5);
                let item = draining.then(|| server(&ready, "dc-1", true));
                let key = format!("servers/{ready}");
                // A server that has left does not come back.
                if !matches!(self.items.get(key.as_str()), Some(None)) {
                    self.write(world, &key, item);
                }
            }
            5 => {
                let item = PublishedItem::Evacuation("dc-2".into());
                let item = (!self.is_evacuated()).then_some(item);
                self.write(world, "op/evacuate/dc-2", item);
            }
            _ => {
                self.adapter_version += 1;
                let item = PublishedItem::AdapterVersion {
                    model: "base".into(),
                    adapter: "a1".into(),
                    version: self.adapter_version,
                };
                self.write(world, "op/version/base.a1", Some(item));
            }
        }
    }

    /// Schedules the writes that the store has lost.
    fn store_restored(&mut self, world: &mut GatewayWorld) {
        let now = world.now.as_micros() / 1_000;
        for (key, item) in &self.items {
            if world.store.item(key) != item.as_ref() {
                let rewrite = REWRITE_TIME.as_millis() as u64 - 100;
                let time = now + world.random().random_range(50..rewrite);
                self.due.insert((time, key.clone()));
            }
        }
    }

    fn write_due(&mut self, world: &mut GatewayWorld) {
        let now = world.now.as_micros() / 1_000;
        while let Some((time, key)) = self.due.first().cloned()
            && time <= now
        {
            self.due.pop_first();
            let item = self.items[&key].clone();
            if !world.store.is_down && world.store.item(&key) != item.as_ref() {
                world.publish(&key, item);
            }
        }
    }

    fn run(&mut self, world: &mut GatewayWorld, time: Duration, observer: &mut FleetObserver) {
        let end = world.now.after(time);
        while world.now < end {
            world.run(millis(20));
            self.write_due(world);
            observer.observe(world, self);
        }
    }
}

/// What one process of an instance has known.
#[derive(Default)]
struct ProcessView {
    incarnation: u64,
    config_version: u64,
    adapter_version: u64,
    left: BTreeSet<SmolStr>,
    /// Whether the data centre was open since the last evacuation ended. If not, it may be closed by
    /// that one.
    was_open: bool,
    knows_evacuation: bool,
}

/// Checks that no process goes back behind what it has known.
#[derive(Default)]
struct FleetObserver {
    views: BTreeMap<usize, ProcessView>,
    violations: Vec<String>,
}

impl FleetObserver {
    fn observe(&mut self, world: &GatewayWorld, writers: &StoreWriters) {
        let left = writers.left();
        for index in 0..INSTANCES {
            if !world.is_up(index) {
                continue;
            }
            let view = self.views.entry(index).or_default();
            let incarnation = world.incarnation(index);
            if view.incarnation != incarnation {
                *view = ProcessView {
                    incarnation,
                    ..ProcessView::default()
                };
            }
            let reducer = world.reducer(index);
            let at = format!("{} instance {index}", world.now.as_micros() / 1_000);
            let version = reducer.config_version();
            if version < view.config_version {
                self.violations
                    .push(format!("{at}: configuration {version}"));
            }
            view.config_version = version;
            let version = reducer.adapter_version("base", "a1");
            if version < view.adapter_version {
                self.violations
                    .push(format!("{at}: adapter version {version}"));
            }
            view.adapter_version = version;
            for id in &left {
                let in_service = reducer.is_server_in_service(id);
                if in_service == Some(false) {
                    view.left.insert(id.clone());
                } else if view.left.remove(id) {
                    self.violations.push(format!("{at}: {id} is back"));
                }
            }
            let is_closed = reducer.is_server_in_service("u-0") == Some(false);
            if !writers.is_evacuated() {
                view.was_open = !is_closed;
                view.knows_evacuation = false;
            } else if is_closed {
                view.knows_evacuation |= view.was_open;
            } else {
                view.was_open = true;
                if std::mem::take(&mut view.knows_evacuation) {
                    self.violations.push(format!("{at}: evacuated, but open"));
                }
            }
        }
    }

    /// Checks that all instances have what the writers want.
    fn check_converged(&mut self, world: &GatewayWorld, writers: &StoreWriters) {
        let at = world.now.as_micros() / 1_000;
        for index in 0..INSTANCES {
            let reducer = world.reducer(index);
            let mut missing = Vec::new();
            if reducer.config_version() != writers.version {
                missing.push(format!("configuration {}", reducer.config_version()));
            }
            if reducer.adapter_version("base", "a1") != writers.adapter_version {
                missing.push("adapter version".to_owned());
            }
            for (key, item) in &writers.items {
                let Some(id) = key.strip_prefix("servers/") else {
                    continue;
                };
                let is_wanted = match item {
                    Some(PublishedItem::Server(record)) => {
                        let is_closed = record.data_centre == "dc-2" && writers.is_evacuated();
                        !record.draining && !is_closed
                    }
                    _ => false,
                };
                if reducer.is_server_in_service(id).unwrap_or(false) != is_wanted {
                    missing.push(format!("{id} wanted {is_wanted}"));
                }
            }
            if !missing.is_empty() {
                let missing = missing.join(", ");
                self.violations
                    .push(format!("{at} instance {index}: {missing}"));
            }
        }
    }
}

/// Takes the store down, restores it from a copy, and has everything lost written again.
fn restore_store(
    world: &mut GatewayWorld,
    writers: &mut StoreWriters,
    observer: &mut FleetObserver,
    age: Duration,
    outage: Duration,
) {
    world.store.is_down = true;
    writers.run(world, outage, observer);
    world.store.restore(world.now, age + outage);
    world.store.is_down = false;
    writers.store_restored(world);
}

fn config_versions(world: &GatewayWorld) -> Vec<u64> {
    (0..INSTANCES)
        .map(|index| world.reducer(index).config_version())
        .collect()
}

/// Regression test: after the store had come back from an older copy, instances that do not read it
/// themselves never applied another configuration, because its revision was below theirs.
#[test]
fn a_configuration_after_a_restore_reaches_all_instances() {
    let mut world = GatewayWorld::new(1, INSTANCES, 2);
    let mut writers = StoreWriters::new(&mut world);
    let mut observer = FleetObserver::default();
    writers.run(&mut world, millis(5_000), &mut observer);
    for version in [5, 9, 12] {
        writers.version = version;
        writers.write(&mut world, "op/config", Some(config_item(version)));
        writers.run(&mut world, millis(2_500), &mut observer);
    }
    restore_store(
        &mut world,
        &mut writers,
        &mut observer,
        millis(9_000),
        millis(2_000),
    );
    writers.run(&mut world, CONTACT_TIME, &mut observer);
    writers.version = 15;
    writers.write(&mut world, "op/config", Some(config_item(15)));
    writers.run(&mut world, APPLY_TIME, &mut observer);
    assert_eq!(config_versions(&world), [15; INSTANCES]);
    assert_eq!(observer.violations, Vec::<String>::new());
}

/// Regression test: a server that was known to have left got requests again, because the copy from
/// which the store was restored lists it as ready.
#[test]
fn a_server_known_to_leave_does_not_come_back_with_an_older_copy() {
    for seed in 0..8 {
        let draining = seed % 2 == 0;
        let mut world = GatewayWorld::new(seed, INSTANCES, 2);
        let mut writers = StoreWriters::new(&mut world);
        let mut observer = FleetObserver::default();
        writers.run(&mut world, millis(8_000), &mut observer);
        let item = draining.then(|| server("t-03", "dc-1", true));
        writers.write(&mut world, "servers/t-03", item);
        writers.run(&mut world, millis(1_500), &mut observer);
        restore_store(
            &mut world,
            &mut writers,
            &mut observer,
            millis(4_000),
            millis(2_000),
        );
        writers.run(&mut world, millis(6_000), &mut observer);
        observer.check_converged(&world, &writers);
        assert_eq!(
            observer.violations,
            Vec::<String>::new(),
            "seed {seed}, draining: {draining}"
        );
    }
}

/// A server that registered after the copy was made stays in service until it has registered again,
/// and a data centre that was evacuated since stays closed.
#[test]
fn items_of_the_lost_span_stay_until_they_are_written_again() {
    let mut world = GatewayWorld::new(3, INSTANCES, 2);
    let mut writers = StoreWriters::new(&mut world);
    let mut observer = FleetObserver::default();
    writers.run(&mut world, millis(8_000), &mut observer);
    writers.add_server(&mut world);
    let item = PublishedItem::Evacuation("dc-2".into());
    writers.write(&mut world, "op/evacuate/dc-2", Some(item));
    writers.run(&mut world, millis(1_500), &mut observer);
    restore_store(
        &mut world,
        &mut writers,
        &mut observer,
        millis(4_000),
        millis(500),
    );
    let end = world.now.after(CONTACT_TIME);
    while world.now < end {
        writers.run(&mut world, millis(20), &mut observer);
        for index in 0..INSTANCES {
            let in_service = world.reducer(index).is_server_in_service("t-06");
            assert_eq!(in_service, Some(true), "instance {index}");
        }
    }
    observer.check_converged(&world, &writers);
    assert_eq!(observer.violations, Vec::<String>::new());
}

/// Items of the lost span that nobody writes again are removed.
#[test]
fn items_of_the_lost_span_are_removed_if_they_are_not_written_again() {
    let mut world = GatewayWorld::new(4, INSTANCES, 2);
    let mut writers = StoreWriters::new(&mut world);
    let mut observer = FleetObserver::default();
    writers.run(&mut world, millis(8_000), &mut observer);
    let item = PublishedItem::Evacuation("dc-2".into());
    world.publish("op/evacuate/dc-2", Some(item));
    world.publish("servers/t-77", Some(server("t-77", "dc-1", false)));
    writers.run(&mut world, millis(1_500), &mut observer);
    assert_eq!(world.reducer(0).is_server_in_service("t-77"), Some(true));
    restore_store(
        &mut world,
        &mut writers,
        &mut observer,
        millis(4_000),
        millis(500),
    );
    writers.run(&mut world, millis(6_000), &mut observer);
    for index in 0..INSTANCES {
        let reducer = world.reducer(index);
        let in_service = ["t-77", "u-0"].map(|id| reducer.is_server_in_service(id));
        assert_eq!(in_service, [Some(false), Some(true)], "instance {index}");
    }
}

fn inject_fault(world: &mut GatewayWorld) {
    let index = world.random().random_range(0..INSTANCES);
    match world.random().random_range(0..24) {
        0 => world.kill(index),
        1 | 2 if !world.is_up(index) => world.start(index),
        3 => world.nodes[index].is_partitioned = true,
        4 | 5 => world.nodes[index].is_partitioned = false,
        6 => world.nodes[index].store_unavailable = true,
        7 | 8 => world.nodes[index].store_unavailable = false,
        9 => {
            let time = world.random().random_range(200..4_000);
            world.pause(index, millis(time));
        }
        _ => {}
    }
}

fn heal(world: &mut GatewayWorld) {
    for index in 0..INSTANCES {
        world.nodes[index].is_partitioned = false;
        world.nodes[index].store_unavailable = false;
        if !world.is_up(index) {
            world.start(index);
        }
    }
}

/// The store is restored at random moments from copies of random age, several times in a row, while
/// instances start, end, pause and are cut off, and answers of the store arrive late. No process goes
/// back behind what it has known, and all converge on what is written again.
#[test]
fn instances_follow_a_store_that_is_restored_at_random() {
    let mut failures = Vec::new();
    for seed in 0..60 {
        let mut world = GatewayWorld::new(seed, INSTANCES, 2);
        world.store.late_share = if seed % 2 == 0 { 0.1 } else { 0.0 };
        let mut writers = StoreWriters::new(&mut world);
        let mut observer = FleetObserver::default();
        writers.run(&mut world, millis(5_000), &mut observer);
        for _ in 0..world.random().random_range(1..4) {
            for _ in 0..world.random().random_range(2..14) {
                writers.act(&mut world);
                if seed % 3 > 0 {
                    inject_fault(&mut world);
                }
                let pause = world.random().random_range(50..1_200);
                writers.run(&mut world, millis(pause), &mut observer);
            }
            let age = millis(world.random().random_range(200..9_000));
            let outage = millis(world.random().random_range(100..2_500));
            restore_store(&mut world, &mut writers, &mut observer, age, outage);
            let pause = world.random().random_range(100..4_000);
            writers.run(&mut world, millis(pause), &mut observer);
        }
        heal(&mut world);
        writers.run(&mut world, REWRITE_TIME + CONTACT_TIME, &mut observer);
        writers.version += 2;
        let item = Some(config_item(writers.version));
        writers.write(&mut world, "op/config", item);
        writers.act(&mut world);
        writers.run(&mut world, millis(3_000), &mut observer);
        observer.check_converged(&world, &writers);
        if let Some(violation) = observer.violations.first() {
            failures.push((seed, observer.violations.len(), violation.clone()));
        }
    }
    assert_eq!(failures, [], "(seed, violations, first violation)");
}

/// Regression test: while removals were ignored after a restore, each gossip message of an instance
/// that had read the store made its peers fetch the changes since the restore once more.
#[test]
fn a_configuration_written_after_a_restore_is_fetched_a_few_times() {
    const FLEET: usize = 30;
    let mut world = GatewayWorld::new(6, FLEET, 2);
    world.run(millis(8_000));
    world.publish("op/config", Some(config_item(4)));
    world.run(millis(2_000));
    world.store.is_down = true;
    world.run(millis(2_000));
    world.store.restore(world.now, millis(5_000));
    world.store.is_down = false;
    world.run(millis(400));
    let fetches = world.config_fetches;
    world.publish("op/config", Some(config_item(4)));
    world.run(millis(4_000));
    let fetches = world.config_fetches - fetches;
    assert!(fetches <= 3 * FLEET as u64, "{fetches} fetches");
}

/// Configurations of a large fleet spread after a restore with few reads of the store.
#[test]
fn a_large_fleet_follows_a_restored_store() {
    const LARGE_FLEET: usize = 60;
    let mut large = config(2, None);
    for number in 0..400 {
        large.routes.push(RouteConfig {
            name: format_smolstr!("r-{number}"),
            prefix: format_smolstr!("/{number}/"),
            ..large.routes[0].clone()
        });
    }
    let with_version = |version| {
        let config = ServingConfig {
            version,
            ..large.clone()
        };
        Some(PublishedItem::Config(Arc::new(config)))
    };
    let mut world = GatewayWorld::new(5, LARGE_FLEET, 2);
    world.publish("op/config", with_version(2));
    world.run(millis(10_000));
    world.publish("op/config", with_version(5));
    world.run(millis(3_000));
    world.store.is_down = true;
    world.run(millis(2_000));
    world.store.restore(world.now, millis(8_000));
    world.store.is_down = false;
    let reads = world.store_reads;
    world.run(millis(1_000));
    world.publish("op/config", with_version(5));
    world.run(millis(2_000));
    world.publish("op/config", with_version(7));
    world.run(APPLY_TIME);
    let outdated = (0..LARGE_FLEET)
        .filter(|index| world.reducer(*index).config_version() < 7)
        .count();
    let reads = world.store_reads - reads;
    println!("{outdated} outdated, {reads} reads of the store");
    assert_eq!(outdated, 0);
    assert!(reads < 5 * LARGE_FLEET as u64, "{reads} reads of the store");
}
