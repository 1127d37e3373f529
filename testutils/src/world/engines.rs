//! Requests, orders and polls at the simulated engines.

use std::net::SocketAddr;

use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    config::ServerKey,
    engine::{EngineOrder, OrderKind, OrderOutcome},
    error::RunState,
    event::{DispatchOrder, Event},
};

use super::{
    EngineSlot, FULL_SPEED_LOADS, LOAD_TIME, LoadedSlot, RequestId, RunningRequest, World,
    WorldEngine, WorldEvent,
};

impl World {
    pub(super) fn poll_load(&mut self, node: usize, server: ServerKey, _address: SocketAddr) {
        let incarnation = self.nodes[node].incarnation;
        let Some(reducer) = self.reducer(node) else {
            return;
        };
        let name = reducer.config().servers[server].name.clone();
        let started = self.nodes[node].started;
        let requested_at = ClockTime::from_micros(self.now.as_micros() - started.as_micros());
        let report = self.engines.get(&name).map(WorldEngine::report);
        let event = Event::LoadReported {
            server,
            requested_at,
            report,
        };
        let delay = self.delay();
        self.schedule(delay, WorldEvent::Deliver(node, incarnation, event));
    }

    pub(super) fn start_request(&mut self, id: RequestId, order: &DispatchOrder, attempt: u32) {
        if !self.is_running(id.node, id.incarnation) {
            return;
        }
        let size = self.sizes[&id];
        let slot = order.model.split_once(':').and_then(|(_, adapter)| {
            let (name, version) = adapter.split_once('@')?;
            Some((SmolStr::new(name), version.parse().ok()?))
        });
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        if engine.running >= engine.capacity() {
            self.crash(&order.server);
            self.fail_request(id, RunState::Unknown);
            return;
        }
        if let Some(name) = &slot {
            match engine.slots.get_mut(name) {
                Some(state) if state.ready => state.active += 1,
                _ => {
                    self.fail_request(id, RunState::NotRun);
                    return;
                }
            }
        }
        engine.running += 1;
        engine.counts.started += 1;
        let epoch = engine.epoch;
        let time = engine.service_time(size.prompt_tokens, size.output_tokens);
        if let Some(history) = self.histories.get_mut(&id) {
            history.runs += 1;
        }
        self.running.insert(
            (id, attempt),
            RunningRequest {
                server: order.server.clone(),
                epoch,
                slot,
                output_tokens: size.output_tokens,
                prompt_tokens: size.prompt_tokens,
            },
        );
        self.schedule(time, WorldEvent::Finish(id, attempt));
    }

    /// Crashes an engine; its running requests fail.
    pub fn crash(&mut self, server: &str) {
        self.engine(server).crash();
        let failed: Vec<(RequestId, u32)> = self
            .running
            .iter()
            .filter(|(_, running)| running.server == server)
            .map(|(key, _)| *key)
            .collect();
        for key in failed {
            self.running.remove(&key);
            self.fail_request(key.0, RunState::Unknown);
        }
    }

    pub(super) fn fail_request(&mut self, id: RequestId, run: RunState) {
        let event = Event::ResponseFailed {
            request: id.number,
            run,
            output_tokens: 0,
        };
        let delay = self.delay();
        self.schedule(delay, WorldEvent::Deliver(id.node, id.incarnation, event));
    }

    /// Removes a request from its engine; `None` when it is not running.
    pub(super) fn remove_from_engine(
        &mut self,
        id: RequestId,
        attempt: u32,
        finished: bool,
    ) -> Option<RunningRequest> {
        let running = self.running.remove(&(id, attempt))?;
        let engine = self.engines.get_mut(&running.server)?;
        if engine.epoch == running.epoch {
            engine.running = engine.running.saturating_sub(1);
            engine.served += usize::from(finished);
            if let Some(name) = &running.slot
                && let Some(slot) = engine.slots.get_mut(name)
            {
                slot.active = slot.active.saturating_sub(1);
            }
        }
        Some(running)
    }

    pub(super) fn finish_request(&mut self, id: RequestId, attempt: u32) {
        let Some(running) = self.remove_from_engine(id, attempt, true) else {
            return;
        };
        if let Some(history) = self.histories.get_mut(&id) {
            history.answered = Some(self.now);
        }
        let event = Event::ResponseFinished {
            request: id.number,
            prompt_tokens: Some(running.prompt_tokens),
            output_tokens: running.output_tokens,
        };
        let delay = self.delay();
        self.schedule(delay, WorldEvent::Deliver(id.node, id.incarnation, event));
    }

    pub(super) fn report_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: EngineOrder,
        outcome: OrderOutcome,
    ) {
        let delay = self.delay();
        let event = Event::OrderDone(order, outcome);
        self.schedule(delay, WorldEvent::Deliver(node, incarnation, event));
    }

    pub(super) fn execute_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: EngineOrder,
        adapter: &SmolStr,
    ) {
        let Some(reducer) = self.reducer(node) else {
            return;
        };
        let config = reducer.config();
        let record = &config.servers[order.server];
        let region = config.data_centres[record.data_centre].region;
        let region = config.regions[region].name.clone();
        let server = record.name.clone();
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        engine.fence = engine.fence.max(order.fence);
        let name = (adapter.clone(), order.version);
        if order.kind == OrderKind::Unload {
            if engine
                .slots
                .remove(&name)
                .is_some_and(|slot| slot.active > 0)
            {
                engine.counts.unloads_in_use += 1;
            }
            self.report_order(node, incarnation, order, OrderOutcome::Done);
            return;
        }
        let full = engine.slots.len() >= engine.max_slots || engine.slots.contains_key(&name);
        if full || !self.take_store_load(&region) {
            self.report_order(node, incarnation, order, OrderOutcome::Failed);
            return;
        }
        let engine = self.engine(&server);
        engine.slots.insert(name.clone(), EngineSlot::default());
        let loaded = LoadedSlot {
            epoch: engine.epoch,
            server,
            slot: name,
        };
        self.loads += 1;
        self.max_concurrent_loads = self.max_concurrent_loads.max(self.loads);
        let slowdown = self.loads.div_ceil(FULL_SPEED_LOADS);
        let time = LOAD_TIME * u32::try_from(slowdown).unwrap_or(1);
        self.schedule(time, WorldEvent::Loaded(node, incarnation, order, loaded));
    }

    /// Takes one load from the rate limit of a region's store; returns whether it is allowed.
    pub(super) fn take_store_load(&mut self, region: &str) -> bool {
        let now = self.now;
        let Some((rate, level, refilled)) = self.stores.get_mut(region) else {
            return true;
        };
        // The store allows a burst of one second's loads, plus a tolerance of a fifth of that.
        let max_level = *rate * 1_200_000;
        *level = (*level + *rate * (now.as_micros() - refilled.as_micros())).min(max_level);
        *refilled = now;
        if *level < 1_000_000 {
            self.store_refusals += 1;
            return false;
        }
        *level -= 1_000_000;
        true
    }

    pub(super) fn finish_load(
        &mut self,
        node: usize,
        incarnation: u64,
        order: EngineOrder,
        loaded: &LoadedSlot,
    ) {
        self.loads -= 1;
        let engine = self.engine(&loaded.server);
        let outcome = match engine.slots.get_mut(&loaded.slot) {
            Some(slot) if engine.epoch == loaded.epoch => {
                slot.ready = true;
                engine.counts.loads += 1;
                OrderOutcome::Done
            }
            _ => OrderOutcome::Failed,
        };
        self.report_order(node, incarnation, order, outcome);
    }
}
