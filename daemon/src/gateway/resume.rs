//! Buffer for an event stream that can be resumed on another server.

use bytes::Bytes;
use smol_str::SmolStr;

use crate::sse::{EventBuffer, EventTooLong};

/// Splits a stream into complete events and tracks the id of the last one.
#[derive(Default)]
pub(super) struct ResumeBuffer {
    pending: EventBuffer,
    last_id: Option<SmolStr>,
}

impl ResumeBuffer {
    /// Appends bytes of the stream and returns the events that are now complete, concatenated.
    /// Fails when an event is too long for [`EventBuffer`].
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.push(bytes)?;
        let mut complete = Vec::new();
        while let Some(event) = self.pending.next_event() {
            if let Some(id) = event_id(&event) {
                self.last_id = Some(id);
            }
            complete.extend_from_slice(&event);
        }
        Ok(complete.into())
    }

    /// Id of the last complete event that had one.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards an incomplete event, which the next server sends again.
    pub(super) fn discard_partial_event(&mut self) {
        self.pending = EventBuffer::default();
    }
}

fn event_id(event: &[u8]) -> Option<SmolStr> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id.trim_ascii()).ok())
        .map(SmolStr::new)
}
