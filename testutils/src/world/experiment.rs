//! Seeded experiments: a deployment under load, with and without faults.

use std::{collections::BTreeSet, time::Duration};

use serde::Serialize;

use super::{
    DeploymentPlan, LoadGenerator, RequestId, World,
    baseline::{self, BaselineFigures, BaselineRouter},
    figures::{self, RunFigures},
};

/// Time for caches to fill before anything is counted.
const WARM_UP: Duration = Duration::from_secs(200);
/// Time counted.
const MEASURED: Duration = Duration::from_secs(120);
/// Part of the measured time before a fault, and between its begin and end.
const THIRD: Duration = Duration::from_secs(40);
/// Time for the last requests to end.
const COOL_DOWN: Duration = Duration::from_secs(25);

/// What happens during an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPlan {
    /// Nothing fails.
    Well,
    /// An instance dies; the list says so ten seconds later.
    InstanceLost,
    /// A data centre leaves and returns.
    DataCentreOut,
    /// Two engines restart empty and cold, one after the other.
    EnginesRestart,
}

/// All fault plans.
pub const FAULT_PLANS: [FaultPlan; 4] = [
    FaultPlan::Well,
    FaultPlan::InstanceLost,
    FaultPlan::DataCentreOut,
    FaultPlan::EnginesRestart,
];

/// Figures of one experiment and of its baselines.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentResult {
    /// What happened.
    pub fault: FaultPlan,
    /// Seed of load and faults.
    pub seed: u64,
    /// The system's figures.
    pub figures: RunFigures,
    /// Wrongful refusals of a static split of the rates, as a part of the requests inside.
    pub static_split: f64,
    /// Figures of the simple routers.
    pub baselines: Vec<(BaselineRouter, BaselineFigures)>,
}

/// Runs one experiment.
pub fn run(plan: &DeploymentPlan, fault: FaultPlan, seed: u64) -> ExperimentResult {
    let mut world = plan.start(seed);
    let mut load = LoadGenerator::new(plan);
    load.send(&mut world, WARM_UP, |_| {});
    let sent = measure(&mut world, plan, &mut load, fault);
    world.run(COOL_DOWN);
    let routers = [
        BaselineRouter::Random,
        BaselineRouter::LeastLoad,
        BaselineRouter::Rendezvous,
    ];
    ExperimentResult {
        fault,
        seed,
        figures: figures::collect(&world, plan, &sent, MEASURED),
        static_split: figures::static_split_wrongful(&world, plan, &sent, MEASURED),
        baselines: routers
            .into_iter()
            .map(|router| (router, baseline::run(&world, plan, &sent, router)))
            .collect(),
    }
}

fn measure(
    world: &mut World,
    plan: &DeploymentPlan,
    load: &mut LoadGenerator,
    fault: FaultPlan,
) -> BTreeSet<RequestId> {
    let mut sent = load.send(world, THIRD, |_| {});
    match fault {
        FaultPlan::Well => {}
        FaultPlan::InstanceLost => {
            world.set_list_lag(Duration::from_secs(10));
            world.kill(1);
            let live: Vec<usize> = (0..plan.instances).filter(|node| *node != 1).collect();
            world.set_instance_list(&live, &[]);
            load.entries = live;
        }
        FaultPlan::DataCentreOut => set_data_centre(world, 1, false),
        FaultPlan::EnginesRestart => world.crash("e0"),
    }
    sent.extend(load.send(world, THIRD, |_| {}));
    match fault {
        FaultPlan::Well | FaultPlan::InstanceLost => {}
        FaultPlan::DataCentreOut => set_data_centre(world, 2, true),
        FaultPlan::EnginesRestart => world.crash("e1"),
    }
    sent.extend(load.send(world, THIRD, |_| {}));
    sent
}

fn set_data_centre(world: &mut World, base: u64, in_service: bool) {
    let change = serde_json::json!([{
        "op": "set_data_centre", "data_centre": "d1", "in_service": in_service,
    }]);
    world.publish(base, &change);
}
