//! Claims in gossip: changes between revisions, and whole claims for those that cannot use them.

use std::{collections::BTreeSet, net::SocketAddr};

use insta::assert_debug_snapshot;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{LoadedAdapter, LoadedModel},
        claims::{MemberClaims, ServerClaim, WantedClaims},
        members::{GossipTable, MemberPhase, MemberRecord},
    },
};

/// Time after which processes send digests.
const SETTLED: ClockTime = ClockTime::from_millis(6_000);

/// Claims in a message, as versions before changes of claims decode them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PlainClaims {
    member: SmolStr,
    incarnation: u64,
    revision: u64,
    claims: Vec<ServerClaim>,
}

fn table(index: u8) -> GossipTable {
    let address = SocketAddr::from(([10, 1, 0, index], 8_229));
    let local = MemberRecord {
        name: format_smolstr!("n-{index}"),
        incarnation: 1_770_000_000_000,
        heartbeat: 1,
        phase: MemberPhase::Ready,
        data_centre: "dc-0".into(),
        caller_address: address,
        peer_address: address,
        suspects: Vec::new(),
        cleared: Vec::new(),
    };
    GossipTable::new(local, Vec::new(), 3)
}

fn model(adapters: &[(&str, u64)]) -> LoadedModel {
    LoadedModel {
        name: "base".into(),
        adapters: adapters
            .iter()
            .map(|(name, version)| LoadedAdapter {
                name: (*name).into(),
                version: *version,
            })
            .collect(),
    }
}

fn claim(server: &str, fence: u64, adapters: &[(&str, u64)], evicted: &[&str]) -> ServerClaim {
    let evicted: Vec<(&str, u64)> = evicted.iter().map(|name| (*name, 0)).collect();
    ServerClaim {
        server: server.into(),
        started: 1_770_000_000_000,
        active: true,
        fence,
        models: vec![model(adapters)],
        recently_evicted: vec![model(&evicted)],
    }
}

/// How claims were sent: `whole`, or the number of revisions for which there are changes.
fn forms(claims: &[MemberClaims]) -> Vec<String> {
    claims
        .iter()
        .map(|claims| match claims {
            MemberClaims::Whole(_) => "whole".into(),
            MemberClaims::Changes(changes) => format!("{} changes", changes.changes.len()),
        })
        .collect()
}

/// One gossip call to `called` with its answer; returns the forms of the claims that `caller` got.
fn exchange(caller: &mut GossipTable, called: &GossipTable) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let records = caller.records(SETTLED, &mut random);
    let answer = called.records(SETTLED, &mut random);
    let newer = called.claims_newer_than(&records);
    caller.merge(SETTLED, &answer);
    caller.merge_claims(&decoded(&newer));
    let wanted = caller.claims_older_than(&answer);
    let encoded = rmp_serde::to_vec(&wanted).unwrap();
    let wanted: Vec<WantedClaims> = rmp_serde::from_slice(&encoded).unwrap();
    let returned = called.claims_of(&wanted);
    caller.merge_claims(&decoded(&returned));
    forms(&newer).into_iter().chain(forms(&returned)).collect()
}

fn decoded(claims: &[MemberClaims]) -> Vec<MemberClaims> {
    rmp_serde::from_slice(&rmp_serde::to_vec(claims).unwrap()).unwrap()
}

fn names(models: &[LoadedModel]) -> Vec<String> {
    let adapters = models.iter().flat_map(|model| &model.adapters);
    adapters
        .map(|adapter| format!("{} {}", adapter.name, adapter.version))
        .collect()
}

fn view(table: &GossipTable, of: &GossipTable) -> Vec<String> {
    let claims = table.claims(of.local()).iter();
    claims
        .map(|claim| {
            format!(
                "{} {} loaded {:?} evicted {:?}",
                claim.server,
                claim.fence,
                names(&claim.models),
                names(&claim.recently_evicted)
            )
        })
        .collect()
}

/// What is no longer loaded counts as recently evicted, unless another version of it is loaded.
#[test]
fn changes_follow_whole_claims() {
    let (mut holder, mut peer) = (table(0), table(1));
    let first = [("a1", 1), ("a2", 1), ("a3", 1)];
    holder.set_claims(vec![claim("s-1", 10, &first, &["a9"])]);
    assert_eq!(exchange(&mut peer, &holder), ["whole"]);
    let second = [("a1", 1), ("a3", 2), ("a9", 1)];
    holder.set_claims(vec![claim("s-1", 11, &second, &["a2"])]);
    assert_eq!(exchange(&mut peer, &holder), ["1 changes"]);
    assert_debug_snapshot!(view(&peer, &holder), @r#"
    [
        "s-1 11 loaded [\"a1 1\", \"a3 2\", \"a9 1\"] evicted [\"a2 0\"]",
    ]
    "#);
    assert_eq!(exchange(&mut peer, &holder), Vec::<String>::new());
}

#[test]
fn a_change_of_recently_evicted_adapters_alone_is_not_sent() {
    let (mut holder, mut peer) = (table(0), table(1));
    holder.set_claims(vec![claim("s-1", 10, &[("a1", 1)], &["a9"])]);
    exchange(&mut peer, &holder);
    holder.set_claims(vec![claim("s-1", 10, &[("a1", 1)], &[])]);
    assert_eq!(exchange(&mut peer, &holder), Vec::<String>::new());
    let mut newcomer = table(2);
    assert_eq!(exchange(&mut newcomer, &holder), ["whole"]);
    assert_debug_snapshot!(view(&newcomer, &holder), @r#"
    [
        "s-1 10 loaded [\"a1 1\"] evicted []",
    ]
    "#);
}

#[test]
fn other_servers_and_old_revisions_get_whole_claims() {
    let (mut holder, mut peer) = (table(0), table(1));
    let set = |holder: &mut GossipTable, server: &str, fence| {
        holder.set_claims(vec![claim(server, fence, &[("a1", 1)], &[])]);
    };
    set(&mut holder, "s-1", 1);
    assert_eq!(exchange(&mut peer, &holder), ["whole"]);
    for fence in 2..18 {
        set(&mut holder, "s-1", fence);
    }
    assert_eq!(exchange(&mut peer, &holder), ["16 changes"]);
    for fence in 18..35 {
        set(&mut holder, "s-1", fence);
    }
    assert_eq!(exchange(&mut peer, &holder), ["whole"]);
    set(&mut holder, "s-2", 40);
    assert_eq!(exchange(&mut peer, &holder), ["whole"]);
    assert_debug_snapshot!(view(&peer, &holder), @r#"
    [
        "s-2 40 loaded [\"a1 1\"] evicted []",
    ]
    "#);
}

/// Bytes of the claims to one server with seven adapters, as sent to a newcomer and to a peer that
/// lacks a change of one adapter or of all.
#[test]
fn changes_are_a_fraction_of_whole_claims() {
    let name = |number: u64| format!("a{number:05}");
    let state = |fence: u64, first: u64, changed: u64| {
        let loaded = (first..first + 6).chain([changed]).map(name);
        let loaded: Vec<String> = loaded.collect();
        let loaded: Vec<(&str, u64)> = loaded.iter().map(|name| (name.as_str(), 1)).collect();
        let evicted: Vec<String> = (100..132).map(name).collect();
        let evicted: Vec<&str> = evicted.iter().map(String::as_str).collect();
        claim("i-0000000001", fence, &loaded, &evicted)
    };
    let (mut holder, mut peer) = (table(0), table(1));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sizes = Vec::new();
    let claims = [
        state(1_000_001, 0, 10),
        state(1_000_002, 0, 11),
        state(1_000_003, 20, 12),
    ];
    for claim in claims {
        holder.set_claims(vec![claim]);
        peer.merge(SETTLED, &holder.records(SETTLED, &mut random));
        let newer = holder.claims_newer_than(&peer.records(SETTLED, &mut random));
        sizes.push(rmp_serde::to_vec(&newer).unwrap().len());
        peer.merge_claims(&newer);
    }
    assert_debug_snapshot!(sizes, @r"
    [
        415,
        38,
        80,
    ]
    ");
}

/// In a rolling update, instances of the version before get claims that they can decode.
#[test]
fn peers_that_send_no_digest_get_whole_claims() {
    let (mut holder, mut peer) = (table(0), table(1));
    holder.set_claims(vec![claim("s-1", 10, &[("a1", 1)], &["a9"])]);
    exchange(&mut peer, &holder);
    holder.set_claims(vec![claim("s-1", 11, &[("a2", 1)], &["a1"])]);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut records = peer.whole_records(SETTLED, &mut random);
    let newer = holder.claims_newer_than(&records);
    assert_eq!(forms(&newer), ["whole"]);
    let encoded = rmp_serde::to_vec(&newer).unwrap();
    let plain: Vec<PlainClaims> = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(rmp_serde::to_vec(&plain).unwrap(), encoded);
    assert_eq!(decoded(&newer), newer);

    records = holder.whole_records(SETTLED, &mut random);
    let wanted = rmp_serde::to_vec(&peer.claims_older_than(&records)).unwrap();
    let names: Vec<SmolStr> = rmp_serde::from_slice(&wanted).unwrap();
    assert_eq!(names, ["n-0"]);
    let wanted: Vec<WantedClaims> = rmp_serde::from_slice(&wanted).unwrap();
    assert_eq!(forms(&holder.claims_of(&wanted)), ["whole"]);
}

/// Whatever is loaded and unloaded, and in whatever order instances hear of it, they end with the
/// adapters that the holder states.
#[test]
fn views_agree_after_any_changes() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut tables: Vec<GossipTable> = (0..4).map(table).collect();
        let mut stated = Vec::new();
        for step in 0..60_u64 {
            if random.random_bool(0.7) {
                stated = random_claims(&mut random, step);
                tables[0].set_claims(stated.clone());
            }
            let (caller, called) = (random.random_range(1..4), random.random_range(0..4));
            if caller != called {
                let mut table = tables.remove(caller);
                let called = if called > caller { called - 1 } else { called };
                exchange(&mut table, &tables[called]);
                tables.insert(caller, table);
            }
        }
        let (holder, peers) = tables.split_at_mut(1);
        for peer in peers {
            exchange(peer, &holder[0]);
            let views = peer.claims(holder[0].local());
            assert_eq!(views.len(), stated.len(), "seed {seed}");
            for (view, claim) in views.iter().zip(&stated) {
                assert_eq!(view.server, claim.server, "seed {seed}");
                let view_state = (view.active, view.fence, loaded_set(view));
                let state = (claim.active, claim.fence, loaded_set(claim));
                assert_eq!(view_state, state, "seed {seed}");
            }
        }
    }
}

fn random_claims(random: &mut ChaCha8Rng, step: u64) -> Vec<ServerClaim> {
    let count = if random.random_bool(0.1) { 1 } else { 2 };
    let servers = (0..count).map(|server| {
        let adapters = (0..8).filter(|_| random.random_bool(0.5));
        let adapters: Vec<(String, u64)> = adapters
            .map(|adapter| (format!("a{adapter}"), step / 20))
            .collect();
        let adapters: Vec<(&str, u64)> = adapters
            .iter()
            .map(|(name, version)| (name.as_str(), *version))
            .collect();
        claim(&format!("s-{server}"), step, &adapters, &[])
    });
    servers.collect()
}

fn loaded_set(claim: &ServerClaim) -> BTreeSet<(SmolStr, u64)> {
    let adapters = claim.models.iter().flat_map(|model| &model.adapters);
    adapters
        .map(|adapter| (adapter.name.clone(), adapter.version))
        .collect()
}
