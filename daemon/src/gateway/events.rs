//! Events of a stream that another server may continue.

use bytes::Bytes;
use smol_str::SmolStr;

use crate::sse::{EventBuffer, EventTooLong};

/// Cuts a stream into whole events and keeps the id of the last one.
#[derive(Default)]
pub(super) struct ResumeBuffer {
    pending: EventBuffer,
    last_id: Option<SmolStr>,
}

impl ResumeBuffer {
    /// Adds bytes of the stream and returns the events that are whole, in one piece.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.push(bytes)?;
        let mut whole = Vec::new();
        while let Some(event) = self.pending.next_event() {
            if let Some(id) = event_id(&event) {
                self.last_id = Some(id);
            }
            whole.extend_from_slice(&event);
        }
        Ok(whole.into())
    }

    /// Id of the last whole event.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an unfinished event are left.
    pub(super) fn has_partial_event(&self) -> bool {
        self.pending.has_partial_event()
    }

    /// Drops an unfinished event: another server sends it anew.
    pub(super) fn drop_rest(&mut self) {
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
