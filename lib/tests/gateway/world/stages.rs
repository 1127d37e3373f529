//! Times of requests in the stages before they are sent.

use std::time::Duration;

use wasabistall_lib::gateway::{event::ServerDispatch, stages::StageTimes};

/// Stage times of all sends, in the order of the sends.
#[derive(Default)]
pub(crate) struct StageTable {
    pub(crate) sends: Vec<StageTimes>,
}

impl StageTable {
    /// Records the stages before a send. Those of the first send cover all of the time since the
    /// request arrived, and none of it twice.
    pub(super) fn record(&mut self, dispatch: &ServerDispatch) {
        let total: Duration = dispatch.stages.times.iter().map(|(_, time)| *time).sum();
        if let Some(waited) = dispatch.waited {
            assert_eq!(total, waited, "{:?}", dispatch.stages);
        }
        self.sends.push(dispatch.stages.clone());
    }
}
