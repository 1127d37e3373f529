//! Buffer for an event stream that can be resumed on another server.

use bytes::Bytes;
use smol_str::SmolStr;

use super::held::{BodyBudget, HeldBytes};
use crate::sse::{EventBuffer, EventTooLong};

/// Why the bytes of a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumeError {
    /// An event is too long for [`EventBuffer`].
    EventTooLong,
    /// The budget of the process has no room for the rest of an event.
    NoMemory,
    /// The stream of another server does not go on at the next event.
    NotContinued,
}

impl From<EventTooLong> for ResumeError {
    fn from(_: EventTooLong) -> ResumeError {
        ResumeError::EventTooLong
    }
}

/// Splits a stream into complete events and tracks the id of the last one.
pub(super) struct ResumeBuffer {
    pending: EventBuffer,
    /// Memory for what is pending.
    held: HeldBytes,
    last_id: Option<SmolStr>,
    /// Whether the ids seen so far, if any, do not grow by one each.
    has_gaps: bool,
    /// Whether the next event is the first of another server.
    continues: bool,
}

impl ResumeBuffer {
    /// Creates a buffer whose content counts against `budget`.
    pub(super) fn new(budget: &BodyBudget) -> ResumeBuffer {
        ResumeBuffer {
            pending: EventBuffer::default(),
            held: HeldBytes::new(budget),
            last_id: None,
            has_gaps: false,
            continues: false,
        }
    }

    /// Appends bytes of the stream and returns the events that are now complete, concatenated.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long or finds no memory, or the first event of a server that continues
    /// the stream does not follow the last one of the server before.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, ResumeError> {
        self.pending.push(bytes)?;
        let mut complete = Vec::new();
        while let Some(event) = self.pending.next_event() {
            self.track_event(&event)?;
            complete.extend_from_slice(&event);
        }
        if !self.held.resize(self.pending.len()) {
            return Err(ResumeError::NoMemory);
        }
        Ok(complete.into())
    }

    fn track_event(&mut self, event: &[u8]) -> Result<(), ResumeError> {
        let id = event_id(event);
        if self.continues && !is_comment(event) {
            if let Some(last) = &self.last_id
                && !id
                    .as_ref()
                    .is_some_and(|id| follows(last, id, self.has_gaps))
            {
                return Err(ResumeError::NotContinued);
            }
            self.continues = false;
        }
        if let Some(id) = id {
            self.has_gaps |= self
                .last_id
                .as_ref()
                .is_some_and(|last| !is_next(last, &id));
            self.last_id = Some(id);
        }
        Ok(())
    }

    /// Id of the last complete event that had one.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Removes what follows the last complete event.
    pub(super) fn take_pending(&mut self) -> Bytes {
        self.pending.take()
    }

    /// Prepares for the stream of another server, which sends an incomplete event again.
    pub(super) fn begin_continuation(&mut self) {
        self.pending = EventBuffer::default();
        self.continues = true;
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}

fn is_next(last: &str, id: &str) -> bool {
    number(last).and_then(|last| last.checked_add(1)) == number(id) && number(id).is_some()
}

/// Whether a stream whose last event had the id `last` can go on with the event `id`.
fn follows(last: &str, id: &str, has_gaps: bool) -> bool {
    match (number(last), number(id)) {
        (Some(last), Some(id)) if has_gaps => id > last,
        (Some(_), _) => is_next(last, id),
        (None, _) => id != last,
    }
}

fn is_comment(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .all(|line| line.trim_ascii().is_empty() || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<SmolStr> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id.trim_ascii()).ok())
        .map(SmolStr::new)
}
