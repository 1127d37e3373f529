//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Number of line ends, LF or CR LF, after an event.
const EVENT_LINE_ENDS: usize = 2;
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// The stream contains an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    /// Number of pending bytes that contain no end of an event.
    searched: usize,
    /// End of these bytes.
    tail: EventTail,
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
        while let Some(byte) = self.pending.get(self.searched) {
            let was_within = self.tail.is_within_event();
            self.tail.push(&[*byte]);
            self.searched += 1;
            if was_within && !self.tail.is_within_event() {
                let end = std::mem::take(&mut self.searched);
                self.tail = EventTail::default();
                return Some(self.pending.split_to(end).freeze());
            }
        }
        None
    }

    /// Number of bytes that are buffered.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Removes everything that is buffered.
    pub(crate) fn take(&mut self) -> Bytes {
        std::mem::take(self).pending.freeze()
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
            line_ends: EVENT_LINE_ENDS,
        }
    }
}

impl EventTail {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.line_ends = (self.line_ends + 1).min(EVENT_LINE_ENDS),
                b'\r' => {}
                _ => self.line_ends = 0,
            }
        }
    }

    /// Whether the stream ends within an event.
    pub(crate) fn is_within_event(self) -> bool {
        self.line_ends < EVENT_LINE_ENDS
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
