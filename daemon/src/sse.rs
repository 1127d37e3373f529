//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const EVENT_TERMINATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// The stream contains an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Appends bytes of the stream. Fails when more than [`MAX_EVENT_BYTES`] would be buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the next complete event and returns it with its terminator.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let end = self
            .pending
            .windows(EVENT_TERMINATOR.len())
            .position(|window| window == EVENT_TERMINATOR)?;
        Some(self.pending.split_to(end + EVENT_TERMINATOR.len()).freeze())
    }

    /// Whether part of an incomplete event is buffered.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Tracks whether the bytes of a stream so far end within an event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventTail {
    /// Number of line ends at the end of the stream, at most two.
    line_ends: usize,
}

impl Default for EventTail {
    fn default() -> EventTail {
        EventTail {
            line_ends: EVENT_TERMINATOR.len(),
        }
    }
}

impl EventTail {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.line_ends = (self.line_ends + 1).min(EVENT_TERMINATOR.len()),
                b'\r' => {}
                _ => self.line_ends = 0,
            }
        }
    }

    /// Whether the stream ends within an event.
    pub(crate) fn is_within_event(self) -> bool {
        self.line_ends < EVENT_TERMINATOR.len()
    }
}

/// The data of an event that has a single line; `None` for comments and other fields.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(DATA_PREFIX).map(<[u8]>::trim_ascii)
}

/// Whether the data marks the end of a completion stream.
pub(crate) fn is_done(data: &[u8]) -> bool {
    data == DONE
}
