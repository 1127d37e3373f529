//! Why a patch is rejected.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// Why a patch was rejected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PatchFault {
    /// Position of the faulty change, counted from 0; `None` when the patch as a whole is at fault.
    pub change: Option<usize>,
    /// What is wrong.
    pub kind: FaultKind,
    /// The name concerned.
    pub name: SmolStr,
}

/// What is wrong with a patch or a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The patch is not valid JSON of a patch.
    Malformed,
    /// The patch was made against another version.
    OtherBase,
    /// The patch has no change.
    Empty,
    /// The patch has too many changes.
    TooManyChanges,
    /// The name is empty, too long or holds a character outside `a-z A-Z 0-9 . _ -`.
    BadName,
    /// The name is taken.
    Taken,
    /// The name is not known.
    Unknown,
    /// The value is out of range.
    OutOfRange,
    /// The change would change nothing.
    NoEffect,
}

impl fmt::Display for PatchFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(change) = self.change {
            write!(formatter, "changes[{change}]: ")?;
        }
        let text = match self.kind {
            FaultKind::Malformed => "not a valid patch",
            FaultKind::OtherBase => "made against another version; make it again on the newest",
            FaultKind::Empty => "has no change",
            FaultKind::TooManyChanges => "has too many changes; split it",
            FaultKind::BadName => "a name has 1 to 100 characters of a-z A-Z 0-9 . _ -",
            FaultKind::Taken => "the name is taken",
            FaultKind::Unknown => "no such name",
            FaultKind::OutOfRange => "the value is out of range",
            FaultKind::NoEffect => "the change would change nothing",
        };
        write!(formatter, "{text}")?;
        if !self.name.is_empty() {
            write!(formatter, " ({})", self.name)?;
        }
        Ok(())
    }
}

impl PatchFault {
    pub(super) fn whole(kind: FaultKind, name: SmolStr) -> PatchFault {
        PatchFault {
            change: None,
            kind,
            name,
        }
    }
}
