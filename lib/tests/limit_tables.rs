//! Shares and loans of one limit under an adversary that takes all it can get.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabistall_lib::{
    clock::ClockTime,
    config::{ConfigLog, ConfigState, InstanceKey},
    limits::{BorrowPlan, LimitAmount, LimitKey, LimitRate, LimitTable, LimitTotals, LoanAnswer},
    member::PeerIncarnation,
};
use wasabistall_testutils::world::LimitObserver;

use self::common::{entry, first_changes};

const TABLES: usize = 4;
/// Tables of the first configuration; the others are added while all run.
const FIRST_TABLES: usize = 2;
const RATE: LimitRate = LimitRate {
    tokens: 1_000,
    burst_tokens: 1_000,
    requests: 1_000_000,
    burst_requests: 1_000_000,
};

/// What the adversary does.
#[derive(Clone, Debug)]
enum Action {
    Wait(u64),
    /// A table asks its next holder; the answer takes a while or is lost.
    Borrow {
        table: usize,
        tokens: u64,
        delay: u64,
        lost: bool,
    },
    /// A table takes all it has.
    Drain(usize),
    /// All tables take all they have.
    DrainAll,
    Restart(usize),
    /// A table's process was paused and notices it.
    Wake(usize),
    /// A table applies the newest configuration.
    Configure(usize),
    /// An operator adds an instance, so that shares move.
    AddInstance,
    /// A table reports what it did with loans, and returns what expires soon.
    Settle(usize),
    Cut(usize, usize),
    Mend,
}

fn any_action() -> impl Strategy<Value = Action> {
    let table = 0..TABLES;
    let borrow = (
        table.clone(),
        1..2_000_u64,
        0..1_200_u64,
        prop::bool::weighted(0.1),
    )
        .prop_map(|(table, tokens, delay, lost)| Action::Borrow {
            table,
            tokens,
            delay,
            lost,
        });
    prop_oneof![
        4 => (1..1_200_u64).prop_map(Action::Wait),
        6 => borrow,
        2 => table.clone().prop_map(Action::Drain),
        2 => Just(Action::DrainAll),
        1 => table.clone().prop_map(Action::Restart),
        1 => table.clone().prop_map(Action::Wake),
        2 => table.clone().prop_map(Action::Configure),
        1 => Just(Action::AddInstance),
        3 => (0..TABLES).prop_map(Action::Settle),
        1 => (table.clone(), table).prop_map(|(one, other)| Action::Cut(one, other)),
        1 => Just(Action::Mend),
    ]
}

struct TableNode {
    table: LimitTable,
    life: u64,
    log: ConfigLog,
    last_update: ClockTime,
}

/// A grant on its way.
struct GrantOnWay {
    arrives: ClockTime,
    borrower: usize,
    borrower_life: u64,
    holder: PeerIncarnation,
    number: u64,
    answer: LoanAnswer,
}

struct TableWorld {
    newest: ConfigLog,
    now: ClockTime,
    nodes: Vec<TableNode>,
    entries: Vec<wasabistall_lib::config::LogEntry>,
    grants: Vec<GrantOnWay>,
    cut: BTreeSet<(usize, usize)>,
    observer: LimitObserver,
    dead: LimitTotals,
    key: LimitKey,
}

impl TableWorld {
    fn new() -> TableWorld {
        let entries = vec![entry(1, 0, &first_changes(FIRST_TABLES))];
        let mut log = ConfigLog::default();
        log.append(entries[0].clone());
        let key = LimitKey::Team(log.state().teams.key("elders").unwrap());
        let mut world = TableWorld {
            newest: log,
            now: ClockTime::from_millis(1),
            nodes: Vec::new(),
            entries,
            grants: Vec::new(),
            cut: BTreeSet::new(),
            observer: LimitObserver::new(RATE),
            dead: LimitTotals::default(),
            key,
        };
        for node in 0..TABLES {
            world.nodes.push(TableNode {
                table: LimitTable::default(),
                life: 1,
                log: ConfigLog::default(),
                last_update: world.now,
            });
            world.configure(node);
        }
        world.wait(5_000);
        world
    }

    fn instance(&self, node: usize) -> Option<InstanceKey> {
        let config = self.newest.state();
        config.instances.key(&format!("i{}", node + 1))
    }

    fn configure(&mut self, node: usize) {
        let (now, key) = (self.now, self.key);
        let target = &mut self.nodes[node];
        let skip = usize::try_from(target.log.sequence()).unwrap();
        for entry in self.entries.iter().skip(skip) {
            target.log.append(entry.clone());
            let config: Arc<ConfigState> = target.log.state().clone();
            let sequence = target.log.sequence();
            let own = config.instances.key(&format!("i{}", node + 1));
            let members = config.live_instances().map(|(member, _)| member).collect();
            target.table.configure(own, members, sequence);
            target
                .table
                .set_limit(now, key, "elders", RATE, &config, sequence);
        }
    }

    fn wait(&mut self, millis: u64) {
        let end = self.now.after(Duration::from_millis(millis));
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(50)).min(end);
            self.hear();
            self.deliver();
            for node in &mut self.nodes {
                node.table.update(self.now);
                node.last_update = self.now;
            }
        }
    }

    fn hear(&mut self) {
        for from in 0..TABLES {
            let (life, sequence) = (self.nodes[from].life, self.nodes[from].log.sequence());
            let Some(instance) = self.instance(from) else {
                continue;
            };
            for to in (0..TABLES).filter(|to| *to != from) {
                if !self.cut.contains(&(from, to)) {
                    let peer = PeerIncarnation {
                        instance,
                        incarnation: life,
                    };
                    self.nodes[to].table.heard(peer, sequence);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition(|grant| grant.arrives <= now);
        self.grants = later;
        let due: Vec<GrantOnWay> = due;
        for grant in due {
            let node = &mut self.nodes[grant.borrower];
            if node.life == grant.borrower_life {
                node.table
                    .granted(now, self.key, grant.holder, grant.number, grant.answer);
            }
        }
    }

    fn borrow(&mut self, node: usize, tokens: u64, delay: u64, lost: bool) {
        let (now, key) = (self.now, self.key);
        let missing = LimitAmount::from_units(tokens, 0);
        let Some(plan) = self.nodes[node]
            .table
            .borrow(now, key, missing, Duration::ZERO)
        else {
            return;
        };
        let Some(holder) = (0..TABLES).find(|other| self.instance(*other) == Some(plan.holder))
        else {
            return;
        };
        if self.cut.contains(&(node, holder)) {
            return;
        }
        let Some(instance) = self.instance(node) else {
            return;
        };
        let borrower = PeerIncarnation {
            instance,
            incarnation: self.nodes[node].life,
        };
        let plan: BorrowPlan = plan;
        let lender = &mut self.nodes[holder];
        let life = lender.life;
        let answer = lender
            .table
            .lend(now, life, borrower, key, &plan, LimitAmount::ZERO);
        if !lost {
            self.grants.push(GrantOnWay {
                arrives: now.after(Duration::from_millis(delay)),
                borrower: node,
                borrower_life: borrower.incarnation,
                holder: PeerIncarnation {
                    instance: plan.holder,
                    incarnation: life,
                },
                number: plan.number,
                answer,
            });
        }
    }

    fn settle(&mut self, node: usize) {
        let Some(instance) = self.instance(node) else {
            return;
        };
        let borrower = PeerIncarnation {
            instance,
            incarnation: self.nodes[node].life,
        };
        for settlement in self.nodes[node].table.settlements(self.now) {
            let holder = (0..TABLES).find(|other| self.instance(*other) == Some(settlement.holder));
            if let Some(holder) = holder.filter(|holder| !self.cut.contains(&(node, *holder))) {
                let lender = &mut self.nodes[holder];
                let life = lender.life;
                lender.table.settle(self.now, life, borrower, &settlement);
            }
        }
    }

    fn drain(&mut self, node: usize) {
        let mut tokens = 1 << 12;
        while tokens > 0 {
            let amount = LimitAmount::from_units(tokens, 0);
            if self.nodes[node]
                .table
                .take(self.now, self.key, amount)
                .is_err()
            {
                tokens /= 2;
            }
        }
        self.observe();
    }

    fn observe(&mut self) {
        let mut sums = self.dead;
        for node in &self.nodes {
            let totals = node.table.totals(self.key);
            sums.taken = sums.taken.saturating_add(totals.taken);
        }
        self.observer.observe(self.now, sums);
    }

    fn restart(&mut self, node: usize) {
        let old = self.nodes[node].table.totals(self.key);
        self.dead.taken = self.dead.taken.saturating_add(old.taken);
        let target = &mut self.nodes[node];
        target.table = LimitTable::default();
        target.log = ConfigLog::default();
        target.life += 1;
        self.configure(node);
    }

    fn act(&mut self, action: &Action) {
        match *action {
            Action::Wait(millis) => self.wait(millis),
            Action::Borrow {
                table,
                tokens,
                delay,
                lost,
            } => self.borrow(table, tokens, delay, lost),
            Action::Drain(node) => self.drain(node),
            Action::DrainAll => (0..TABLES).for_each(|node| self.drain(node)),
            Action::Restart(node) => self.restart(node),
            Action::Wake(node) => self.nodes[node].table.suspend(self.now),
            Action::Configure(node) => self.configure(node),
            Action::AddInstance => {
                let base = self.entries.len();
                let number = FIRST_TABLES + base;
                if number > TABLES {
                    return;
                }
                let change = serde_json::json!([{
                    "op": "add_instance", "instance": format!("i{number}"),
                    "data_centre": "dar-a",
                    "caller_address": "10.9.0.1:80", "peer_address": "10.9.0.1:81",
                }]);
                let added = entry(base as u64 + 1, base as u64, &change);
                self.newest.append(added.clone());
                self.entries.push(added);
            }
            Action::Settle(node) => self.settle(node),
            Action::Cut(one, other) => {
                self.cut.extend([(one, other), (other, one)]);
            }
            Action::Mend => self.cut.clear(),
        }
    }
}

fn overdraft(actions: &[Action]) -> u64 {
    let mut world = TableWorld::new();
    for action in actions {
        world.act(action);
    }
    world.act(&Action::DrainAll);
    world.observer.overdrawn.tokens
}

proptest! {
    #![proptest_config(Config {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5a57_1002),
        ..Config::default()
    })]

    #[test]
    fn greedy_tables_stay_within_rate_and_burst(
        actions in proptest::collection::vec(any_action(), 0..40),
    ) {
        prop_assert_eq!(overdraft(&actions), 0);
    }
}
