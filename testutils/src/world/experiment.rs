//! Seeded experiments: a simulated deployment under load, with and without faults.

use std::{collections::BTreeSet, time::Duration};

use serde::Serialize;

use super::{
    DeploymentPlan, LoadGenerator, RequestId, World,
    baseline::{self, BaselineFigures, BaselineRouter},
    figures::{self, RunFigures},
};

/// Warm-up time before the measurement, in which the adapter slots fill.
const WARM_UP: Duration = Duration::from_secs(200);
/// Length of the measurement: three phases.
const MEASURED_TIME: Duration = Duration::from_secs(120);
/// Length of the phases before, during and after a fault.
const PHASE_TIME: Duration = Duration::from_secs(40);
/// Time after the measurement in which the last requests end; longer than their timeout.
const COOL_DOWN: Duration = Duration::from_secs(25);

/// The fault injected during an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPlan {
    /// No fault.
    #[serde(rename = "well")]
    NoFault,
    /// One instance is killed; the instance list shows it ten seconds later.
    InstanceLost,
    /// One data centre is taken out of service and put back.
    DataCentreOut,
    /// Two engines crash, one at the start and one at the end of the second phase.
    EnginesRestart,
}

/// All fault plans.
pub const FAULT_PLANS: [FaultPlan; 4] = [
    FaultPlan::NoFault,
    FaultPlan::InstanceLost,
    FaultPlan::DataCentreOut,
    FaultPlan::EnginesRestart,
];

/// Figures of one experiment and of its baselines.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentResult {
    /// The injected fault.
    pub fault: FaultPlan,
    /// Seed of the simulation.
    pub seed: u64,
    /// The system's figures.
    pub figures: RunFigures,
    /// Wrongful refusals if each rate were split evenly over the instances, as a fraction of the
    /// requests within the rate.
    pub static_split: f64,
    /// Figures of the baseline routers over the same arrivals.
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
        figures: figures::collect(&world, plan, &sent, MEASURED_TIME),
        static_split: figures::static_split_wrongful(&world, plan, &sent, MEASURED_TIME),
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
    let mut sent = load.send(world, PHASE_TIME, |_| {});
    match fault {
        FaultPlan::NoFault => {}
        FaultPlan::InstanceLost => {
            world.set_list_lag(Duration::from_secs(10));
            world.kill(1);
            let live: Vec<usize> = (0..plan.instances).filter(|node| *node != 1).collect();
            world.set_instance_list(&live, &[]);
            load.entry_nodes = live;
        }
        FaultPlan::DataCentreOut => set_data_centre(world, 1, false),
        FaultPlan::EnginesRestart => world.crash("e0"),
    }
    sent.extend(load.send(world, PHASE_TIME, |_| {}));
    match fault {
        FaultPlan::NoFault | FaultPlan::InstanceLost => {}
        FaultPlan::DataCentreOut => set_data_centre(world, 2, true),
        FaultPlan::EnginesRestart => world.crash("e1"),
    }
    sent.extend(load.send(world, PHASE_TIME, |_| {}));
    sent
}

fn set_data_centre(world: &mut World, base: u64, in_service: bool) {
    let change = serde_json::json!([{
        "op": "set_data_centre", "data_centre": "d1", "in_service": in_service,
    }]);
    world.publish(base, &change);
}
