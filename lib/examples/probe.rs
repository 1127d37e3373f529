//! Runs Dial Works without faults and prints each refusal of a team other than the first.
//!
//! The last line of each seed counts requests, refusals and refusals within the rate, by team and
//! reserved tokens.

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
        let mut counts = std::collections::BTreeMap::new();
        for (id, history) in world.histories() {
            if !sent.contains(id) {
                continue;
            }
            let count = counts
                .entry((history.team, history.tokens))
                .or_insert((0, 0, 0, 0));
            count.0 += 1;
            if let Some((refused_at, kind, _)) = history.refused {
                count.1 += 1;
                if history.within_rate {
                    count.2 += 1;
                }
                if history.team > 0 {
                    println!(
                        "{seed} team {} tok {} node {} {kind:?} after {:?} within {}",
                        history.team,
                        history.tokens,
                        id.node,
                        refused_at.since(history.arrived),
                        history.within_rate
                    );
                }
            }
        }
        println!("{counts:?}");
    }
}
