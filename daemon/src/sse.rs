//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// The stream holds an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Collects bytes until an event is whole.
#[derive(Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event, with its end.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let end = self
            .pending
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.pending.split_to(end + EVENT_END.len()).freeze())
    }

    /// Whether bytes of an unfinished event are left.
    pub(crate) fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The data of an event of one line; `None` for comments and other fields.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(DATA_PREFIX).map(<[u8]>::trim_ascii)
}

/// Whether the data marks the end of a completion.
pub(crate) fn is_done(data: &[u8]) -> bool {
    data == DONE
}
