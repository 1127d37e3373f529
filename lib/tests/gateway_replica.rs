//! Replicas of the catalog that follow the store and each other.

use std::{collections::BTreeMap, net::Ipv4Addr, net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::gateway::{
    catalog::{PublishedChange, PublishedItem, ServerRecord},
    replica::{CatalogPage, CatalogReplica},
    revision::StoreRevision,
};

fn server(id: &str, slots: u32) -> PublishedItem {
    PublishedItem::Server(ServerRecord {
        id: id.into(),
        service: "plain".into(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 80)),
        data_centre: "dc-1".into(),
        slots,
        draining: false,
        cold_for: Duration::ZERO,
        sequence: 0,
        started: 1,
        models: Vec::new(),
    })
}

/// The store: per key, the revision of its newest write and the item.
#[derive(Default)]
struct StoreItems {
    items: BTreeMap<SmolStr, (u64, Option<PublishedItem>)>,
    revision: u64,
}

impl StoreItems {
    fn write(&mut self, key: &str, item: Option<PublishedItem>) {
        self.revision += 1;
        self.items.insert(key.into(), (self.revision, item));
    }

    fn page(&self, is_snapshot: bool, after: u64) -> CatalogPage {
        let changes = self
            .items
            .iter()
            .filter(|(_, (revision, item))| *revision > after && !(is_snapshot && item.is_none()))
            .map(|(key, (revision, item))| PublishedChange {
                key: key.clone(),
                revision: *revision,
                item: item.clone(),
            });
        CatalogPage {
            changes: changes.collect(),
            is_snapshot,
            revision: self.revision,
            era: 0,
        }
    }

    fn keys(&self) -> Vec<SmolStr> {
        let present = self.items.iter().filter(|(_, (_, item))| item.is_some());
        present.map(|(key, _)| key.clone()).collect()
    }
}

fn keys(replica: &CatalogReplica) -> Vec<SmolStr> {
    replica.items().map(|(key, _)| key.clone()).collect()
}

/// What gossip does between two replicas: the receiver fetches newer changes, or else takes over the
/// sender's confirmation.
fn follow(receiver: &mut CatalogReplica, sender: &CatalogReplica) {
    if sender.last_change() > receiver.revision() {
        receiver.apply(sender.changes_after(receiver.revision()));
    } else if sender.revision() >= receiver.revision() {
        receiver.confirm(sender.revision());
    }
}

/// Regression test: a replica that was built from a snapshot has no record of earlier removals. It
/// passed changes on without them and confirmed replicas that lacked them, so that these kept items
/// that had been removed.
#[test]
fn removals_before_a_snapshot_reach_replicas_that_know_the_item() {
    for has_later_change in [false, true] {
        let mut store = StoreItems::default();
        store.write("servers/a", Some(server("a", 1)));
        store.write("servers/b", Some(server("b", 1)));
        let mut old = CatalogReplica::default();
        old.apply(store.page(true, 0));
        store.write("servers/b", None);
        if has_later_change {
            store.write("servers/c", Some(server("c", 1)));
        }
        let mut new = CatalogReplica::default();
        new.apply(store.page(true, 0));
        follow(&mut old, &new);
        assert_eq!(old.revision(), StoreRevision::new(0, store.revision));
        assert_eq!(keys(&old), store.keys(), "later change: {has_later_change}");
    }
}

/// Regression test: an answer that was older than the receiver's own snapshot brought back an item
/// that had been removed before that snapshot.
#[test]
fn a_late_page_does_not_bring_removed_items_back() {
    let mut store = StoreItems::default();
    store.write("servers/a", Some(server("a", 1)));
    store.write("servers/b", Some(server("b", 1)));
    let late = store.page(true, 0);
    store.write("servers/b", None);
    let mut replica = CatalogReplica::default();
    replica.apply(store.page(true, 0));
    replica.apply(late);
    assert_eq!(keys(&replica), store.keys());
}

/// Replicas follow the store by snapshots and changes, and each other, in any order. Each that is
/// complete up to the store's revision has exactly the items of the store.
#[test]
fn complete_replicas_have_the_items_of_the_store() {
    let mut failures = Vec::new();
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut store = StoreItems::default();
        store.write("servers/first", Some(server("first", 1)));
        let mut replicas: Vec<CatalogReplica> = (0..4).map(|_| CatalogReplica::default()).collect();
        let mut late_pages: Vec<(usize, CatalogPage)> = Vec::new();
        for _ in 0..200 {
            let index = random.random_range(0..4);
            match random.random_range(0..20) {
                0..6 => {
                    let key = format_smolstr!("servers/{}", random.random_range(0..12));
                    let item = random.random_bool(0.5).then(|| server(&key, 1));
                    store.write(&key, item);
                }
                6 => {
                    replicas[index].apply(store.page(true, 0));
                }
                7 => {
                    replicas[index] = CatalogReplica::default();
                    late_pages.retain(|(receiver, _)| *receiver != index);
                }
                9 => {
                    let other = (index + random.random_range(1..4)) % 4;
                    let page = replicas[other].changes_after(replicas[index].revision());
                    late_pages.push((index, page));
                }
                10 if !late_pages.is_empty() => {
                    let late = random.random_range(0..late_pages.len());
                    let (receiver, page) = late_pages.swap_remove(late);
                    replicas[receiver].apply(page);
                }
                8 => {
                    let after = replicas[index].revision().number;
                    replicas[index].apply(store.page(after == 0, after));
                }
                _ => {
                    let other = (index + random.random_range(1..4)) % 4;
                    let mut receiver = std::mem::take(&mut replicas[index]);
                    follow(&mut receiver, &replicas[other]);
                    replicas[index] = receiver;
                }
            }
            for replica in &replicas {
                let is_complete = replica.revision().number == store.revision;
                if is_complete && keys(replica) != store.keys() {
                    failures.push(seed);
                }
            }
        }
    }
    failures.dedup();
    assert_eq!(failures, Vec::<u64>::new(), "seeds");
}
