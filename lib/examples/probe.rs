//! Probe.
use std::time::Duration;
use wasabistall_testutils::world::{DeploymentPlan, LoadGenerator};
fn main() {
    let plan = DeploymentPlan::dial_works();
    for seed in 1..=2 {
        let mut world = plan.start(seed);
        let load = LoadGenerator::new(&plan);
        load.send(&mut world, Duration::from_secs(200), |_| {});
        let sent = load.send(&mut world, Duration::from_secs(120), |_| {});
        world.run(Duration::from_secs(25));
        let mut m = std::collections::BTreeMap::new();
        for (id, h) in world.histories() {
            if !sent.contains(id) {
                continue;
            }
            let e = m.entry((h.team, h.tokens)).or_insert((0, 0, 0, 0));
            e.0 += 1;
            if let Some((t, k, _)) = h.refused {
                e.1 += 1;
                if h.within_rate {
                    e.2 += 1;
                }
                if h.team > 0 {
                    println!(
                        "{seed} team {} tok {} node {} {k:?} after {:?} within {}",
                        h.team,
                        h.tokens,
                        id.node,
                        t.since(h.arrived),
                        h.within_rate
                    );
                }
            }
        }
        println!("{m:?}");
    }
}
