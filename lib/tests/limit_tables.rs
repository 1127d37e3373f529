//! Property test: shares and loans of one limit never exceed its rate and burst, whatever an
//! adversary does to the limit tables and the messages between them.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabistall_lib::{
    clock::ClockTime,
    config::{ConfigLog, ConfigState, InstanceKey},
    limits::{LimitAmount, LimitKey, LimitRate, LimitTable, LimitTotals, LoanAnswer, LoanRequest},
    member::PeerIncarnation,
};
use wasabistall_testutils::world::LimitObserver;

use self::common::{initial_changes, log_entry};

const TABLES: usize = 4;
/// Tables of the first configuration; the others are added during the run.
const FIRST_TABLES: usize = 2;
const RATE: LimitRate = LimitRate {
    tokens: 1_000,
    burst_tokens: 1_000,
    requests: 1_000_000,
    burst_requests: 1_000_000,
};

/// An action of the adversary. Times are in milliseconds.
#[derive(Clone, Debug)]
enum Action {
    Wait(u64),
    /// A table requests a loan from its next holder; the answer is delayed or lost.
    Borrow {
        table: usize,
        tokens: u64,
        delay: u64,
        lost: bool,
    },
    /// A table takes all of its allowance.
    Drain(usize),
    /// All tables take all of their allowance.
    DrainAll,
    Restart(usize),
    /// A table's process resumes and detects that it was paused.
    Resume(usize),
    /// A table catches up with the newest configuration.
    Configure(usize),
    /// An operator adds an instance, which moves shares.
    AddInstance,
    /// A table reports spent loans and returns loans that expire soon.
    Settle(usize),
    Disconnect(usize, usize),
    Reconnect,
}

fn arbitrary_action() -> impl Strategy<Value = Action> {
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
        1 => table.clone().prop_map(Action::Resume),
        2 => table.clone().prop_map(Action::Configure),
        1 => Just(Action::AddInstance),
        3 => (0..TABLES).prop_map(Action::Settle),
        1 => (table.clone(), table).prop_map(|(one, other)| Action::Disconnect(one, other)),
        1 => Just(Action::Reconnect),
    ]
}

struct TableNode {
    table: LimitTable,
    incarnation: u64,
    log: ConfigLog,
    last_update: ClockTime,
}

/// The answer to a loan request, not delivered yet.
struct PendingGrant {
    arrives_at: ClockTime,
    borrower: usize,
    borrower_incarnation: u64,
    holder: PeerIncarnation,
    number: u64,
    answer: LoanAnswer,
}

struct TableWorld {
    newest_log: ConfigLog,
    now: ClockTime,
    nodes: Vec<TableNode>,
    entries: Vec<wasabistall_lib::config::LogEntry>,
    grants: Vec<PendingGrant>,
    disconnected: BTreeSet<(usize, usize)>,
    observer: LimitObserver,
    ended_totals: LimitTotals,
    key: LimitKey,
}

impl TableWorld {
    fn new() -> TableWorld {
        let entries = vec![log_entry(1, 0, &initial_changes(FIRST_TABLES))];
        let mut log = ConfigLog::default();
        log.append(entries[0].clone());
        let key = LimitKey::Team(log.state().teams.key("elders").unwrap());
        let mut world = TableWorld {
            newest_log: log,
            now: ClockTime::from_millis(1),
            nodes: Vec::new(),
            entries,
            grants: Vec::new(),
            disconnected: BTreeSet::new(),
            observer: LimitObserver::new(RATE),
            ended_totals: LimitTotals::default(),
            key,
        };
        for node in 0..TABLES {
            world.nodes.push(TableNode {
                table: LimitTable::default(),
                incarnation: 1,
                log: ConfigLog::default(),
                last_update: world.now,
            });
            world.configure(node);
        }
        world.wait(5_000);
        world
    }

    fn instance(&self, node: usize) -> Option<InstanceKey> {
        let config = self.newest_log.state();
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
            self.exchange_sequences();
            self.deliver();
            for node in &mut self.nodes {
                node.table.update(self.now);
                node.last_update = self.now;
            }
        }
    }

    fn exchange_sequences(&mut self) {
        for from in 0..TABLES {
            let (incarnation, sequence) = (
                self.nodes[from].incarnation,
                self.nodes[from].log.sequence(),
            );
            let Some(instance) = self.instance(from) else {
                continue;
            };
            for to in (0..TABLES).filter(|to| *to != from) {
                if !self.disconnected.contains(&(from, to)) {
                    let peer = PeerIncarnation {
                        instance,
                        incarnation,
                    };
                    self.nodes[to].table.record_sequence(peer, sequence);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition(|grant| grant.arrives_at <= now);
        self.grants = later;
        let due: Vec<PendingGrant> = due;
        for grant in due {
            let node = &mut self.nodes[grant.borrower];
            if node.incarnation == grant.borrower_incarnation {
                node.table
                    .receive_loan(now, self.key, grant.holder, grant.number, grant.answer);
            }
        }
    }

    fn borrow(&mut self, node: usize, tokens: u64, delay: u64, lost: bool) {
        let (now, key) = (self.now, self.key);
        let missing = LimitAmount::from_units(tokens, 0);
        let Some(request) = self.nodes[node]
            .table
            .request_loan(now, key, missing, Duration::ZERO)
        else {
            return;
        };
        let Some(holder) = (0..TABLES).find(|other| self.instance(*other) == Some(request.holder))
        else {
            return;
        };
        if self.disconnected.contains(&(node, holder)) {
            return;
        }
        let Some(instance) = self.instance(node) else {
            return;
        };
        let borrower = PeerIncarnation {
            instance,
            incarnation: self.nodes[node].incarnation,
        };
        let request: LoanRequest = request;
        let lender = &mut self.nodes[holder];
        let incarnation = lender.incarnation;
        let answer =
            lender
                .table
                .lend(now, incarnation, borrower, key, &request, LimitAmount::ZERO);
        if !lost {
            self.grants.push(PendingGrant {
                arrives_at: now.after(Duration::from_millis(delay)),
                borrower: node,
                borrower_incarnation: borrower.incarnation,
                holder: PeerIncarnation {
                    instance: request.holder,
                    incarnation,
                },
                number: request.number,
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
            incarnation: self.nodes[node].incarnation,
        };
        for settlement in self.nodes[node].table.take_settlements(self.now) {
            let holder = (0..TABLES).find(|other| self.instance(*other) == Some(settlement.holder));
            if let Some(holder) =
                holder.filter(|holder| !self.disconnected.contains(&(node, *holder)))
            {
                let lender = &mut self.nodes[holder];
                let incarnation = lender.incarnation;
                lender
                    .table
                    .apply_settlement(self.now, incarnation, borrower, &settlement);
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
        let mut totals = self.ended_totals;
        for node in &self.nodes {
            let node_totals = node.table.totals(self.key);
            totals.taken = totals.taken.saturating_add(node_totals.taken);
        }
        self.observer.observe(self.now, totals);
    }

    fn restart(&mut self, node: usize) {
        let old = self.nodes[node].table.totals(self.key);
        self.ended_totals.taken = self.ended_totals.taken.saturating_add(old.taken);
        let target = &mut self.nodes[node];
        target.table = LimitTable::default();
        target.log = ConfigLog::default();
        target.incarnation += 1;
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
            Action::Resume(node) => self.nodes[node].table.suspend(self.now),
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
                let added = log_entry(base as u64 + 1, base as u64, &change);
                self.newest_log.append(added.clone());
                self.entries.push(added);
            }
            Action::Settle(node) => self.settle(node),
            Action::Disconnect(one, other) => {
                self.disconnected.extend([(one, other), (other, one)]);
            }
            Action::Reconnect => self.disconnected.clear(),
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
        actions in proptest::collection::vec(arbitrary_action(), 0..40),
    ) {
        prop_assert_eq!(overdraft(&actions), 0);
    }
}
