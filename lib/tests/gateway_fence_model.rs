//! Fencing tokens in all short sequences of orders, takeovers, restarts and losses of state.

mod gateway;

use std::time::Duration;

use gateway::engine::{FakeEngine, LEASE, engine_config, grant_request};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::server_scheduler::{LoadLimiter, ServerOrder, ServerOrderOutcome, ServerScheduler},
};

const ADAPTER_SLOTS: usize = 16;
const UNIX_MILLIS: u64 = 1_770_000_000_000;
/// Number of actions in a sequence.
const LENGTH: u32 = 7;
/// Largest difference between wall clocks.
const CLOCK_SKEW_MILLIS: u64 = 20_000;
const STEP: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FenceAction {
    /// The holder gives an order.
    Order,
    /// The same, and the answer is lost.
    LoseAnswer,
    /// The server restarts with an order of the holder on the way, which its new process gets.
    Restart,
    /// Another instance takes over. It knows the tokens of the one before.
    TakeOver,
    /// All instances lose their state, and another one takes over.
    LoseState,
}

const ACTIONS: [FenceAction; 5] = [
    FenceAction::Order,
    FenceAction::LoseAnswer,
    FenceAction::Restart,
    FenceAction::TakeOver,
    FenceAction::LoseState,
];

/// One server and the instance that holds its lease.
struct FenceModel {
    now: ClockTime,
    engine: FakeEngine,
    holder: ServerScheduler,
    /// Number of holders so far. The clocks of every other one are behind.
    holders: u64,
    requests: u64,
    /// Holder and token of each accepted order.
    accepted: Vec<(u64, u64)>,
}

impl FenceModel {
    fn new() -> FenceModel {
        let now = ClockTime::from_millis(1_000);
        let engine = FakeEngine::new(ADAPTER_SLOTS);
        let config = engine_config(ADAPTER_SLOTS);
        let holder = ServerScheduler::new(now, LEASE, &config, &engine.report().models);
        FenceModel {
            now,
            engine,
            holder,
            holders: 0,
            requests: 0,
            accepted: Vec::new(),
        }
    }

    /// Reads reports until the lease is held.
    fn acquire(&mut self) {
        for _ in 0..20 {
            self.now = self.now.after(STEP);
            self.engine.advance(self.now);
            if self.holder.begin_report_read(self.now) {
                self.holder
                    .observe_report(self.now, Some(&self.engine.report()));
            }
            if self.holder.is_active() {
                return;
            }
        }
        panic!("the lease is not acquired");
    }

    fn send(&mut self) -> ServerOrder {
        let config = engine_config(ADAPTER_SLOTS);
        let mut load_limiter = LoadLimiter::new(1.0);
        load_limiter.set_server_count(8);
        self.requests += 1;
        let request = grant_request(self.requests, &format!("a{}", self.requests));
        self.holder
            .decide(self.now, &config, &request, &mut load_limiter);
        let skew = CLOCK_SKEW_MILLIS * (self.holders % 2);
        let unix_millis = UNIX_MILLIS + self.now.as_micros() / 1_000 - skew;
        let order = self.holder.next_order(self.now, &config, unix_millis);
        order.expect("an order")
    }

    fn arrive(&mut self, order: &ServerOrder) -> ServerOrderOutcome {
        let outcome = self.engine.order(self.now, order);
        if matches!(
            outcome,
            ServerOrderOutcome::Done | ServerOrderOutcome::Accepted
        ) {
            self.accepted.push((self.holders, order.fence));
        }
        outcome
    }

    fn replace_holder(&mut self, fence: u64) {
        let config = engine_config(ADAPTER_SLOTS);
        let models = self.engine.report().models;
        self.holder = ServerScheduler::new(self.now, LEASE, &config, &models);
        self.holder.raise_fence(fence);
        self.holders += 1;
    }

    fn perform(&mut self, action: FenceAction) {
        match action {
            FenceAction::Order => {
                self.acquire();
                let order = self.send();
                let outcome = self.arrive(&order);
                self.holder.order_ended(self.now, outcome);
            }
            FenceAction::LoseAnswer => {
                self.acquire();
                let order = self.send();
                self.arrive(&order);
                self.holder.order_ended(self.now, ServerOrderOutcome::Lost);
            }
            FenceAction::Restart => {
                self.acquire();
                let order = self.send();
                self.engine.restart();
                let outcome = self.arrive(&order);
                self.holder.order_ended(self.now, outcome);
                let models = self.engine.report().models;
                self.holder
                    .server_restarted(self.now, self.engine.started, &models);
            }
            FenceAction::TakeOver => {
                let fence = self.holder.last_fence();
                self.replace_holder(fence);
            }
            FenceAction::LoseState => self.replace_holder(0),
        }
    }
}

/// All sequences of actions of the same length.
fn sequences() -> impl Iterator<Item = Vec<FenceAction>> {
    let count = ACTIONS.len().pow(LENGTH);
    (0..count).map(|number| {
        (0..LENGTH)
            .map(|position| ACTIONS[number / ACTIONS.len().pow(position) % ACTIONS.len()])
            .collect()
    })
}

/// Guards against tokens that fall, or that two holders share, whatever is restarted or lost.
#[test]
fn tokens_increase_in_all_short_sequences() {
    for sequence in sequences() {
        let mut model = FenceModel::new();
        for action in &sequence {
            model.perform(*action);
        }
        for (first, second) in model.accepted.iter().zip(model.accepted.iter().skip(1)) {
            let is_raised = second.1 > first.1 || second.1 == first.1 && second.0 == first.0;
            assert!(is_raised, "{sequence:?}: {:?}", model.accepted);
        }
    }
}
