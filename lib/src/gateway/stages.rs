//! Time that requests spend in each stage before they are sent.

use std::time::Duration;

use smol_str::SmolStr;

use super::requests::RequestPhase;
use crate::clock::ClockTime;

/// What a request waits for before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Its team's quota.
    Quota,
    /// A server that it can be sent to.
    Selection,
    /// A grant from the scheduler of a server.
    Grant,
    /// The server that granted it: until its adapter is loaded and it can start.
    Adapter,
}

impl RequestStage {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestStage::Quota => "quota",
            RequestStage::Selection => "selection",
            RequestStage::Grant => "grant",
            RequestStage::Adapter => "adapter",
        }
    }
}

/// Time that a request spent in each stage until a send or its refusal: since it arrived or, after
/// a send, since that attempt ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageTimes {
    /// Name of the request's route.
    pub route: SmolStr,
    /// The stages that the request entered, in the order of the first entry, each with the total
    /// time spent in it.
    pub times: Vec<(RequestStage, Duration)>,
}

/// Measures the stages of one request.
#[derive(Debug)]
pub(super) struct StageClock {
    current: Option<RequestStage>,
    entered: ClockTime,
    times: Vec<(RequestStage, Duration)>,
}

impl StageClock {
    pub(super) fn new(now: ClockTime) -> StageClock {
        StageClock {
            current: Some(RequestStage::Quota),
            entered: now,
            times: Vec::new(),
        }
    }

    /// Records that the request enters a phase.
    pub(super) fn enter(&mut self, now: ClockTime, phase: RequestPhase) {
        self.leave(now);
        self.current = match phase {
            RequestPhase::AwaitingQuota => Some(RequestStage::Quota),
            RequestPhase::Selecting => Some(RequestStage::Selection),
            RequestPhase::AwaitingGrant(_) => Some(RequestStage::Grant),
            RequestPhase::AwaitingAdapter(_) => Some(RequestStage::Adapter),
            RequestPhase::Sent(_) => None,
        };
        self.entered = now;
    }

    /// Returns the times since the last call, and starts anew.
    pub(super) fn take(&mut self, now: ClockTime, route: &SmolStr) -> StageTimes {
        self.leave(now);
        self.entered = now;
        StageTimes {
            route: route.clone(),
            times: std::mem::take(&mut self.times),
        }
    }

    /// Adds the time since the current stage was entered.
    fn leave(&mut self, now: ClockTime) {
        let Some(stage) = self.current else { return };
        let elapsed = now.since(self.entered);
        match self.times.iter_mut().find(|(known, _)| *known == stage) {
            Some((_, total)) => *total += elapsed,
            None => self.times.push((stage, elapsed)),
        }
    }
}
