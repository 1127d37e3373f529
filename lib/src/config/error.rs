//! Errors that reject a configuration patch.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// Reason for rejecting a patch.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PatchError {
    /// Position of the rejected change, counted from 0; `None` if the patch as a whole is rejected.
    pub change: Option<usize>,
    /// Kind of the error.
    pub kind: PatchErrorKind,
    /// The offending name or version; may be empty.
    pub name: SmolStr,
}

/// Kind of an error in a patch or one of its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PatchErrorKind {
    /// The text is not a patch in valid JSON.
    Malformed,
    /// The patch is based on another version than the current one.
    #[serde(rename = "other_base")]
    BaseMismatch,
    /// The patch has no changes.
    Empty,
    /// The patch has too many changes.
    TooManyChanges,
    /// The name is empty, too long or contains a character other than `a-z A-Z 0-9 . _ -`.
    #[serde(rename = "bad_name")]
    InvalidName,
    /// The name is already in use.
    #[serde(rename = "taken")]
    NameTaken,
    /// No such record exists.
    Unknown,
    /// The value is out of range.
    OutOfRange,
    /// The change has no effect.
    NoEffect,
}

impl fmt::Display for PatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(change) = self.change {
            write!(formatter, "changes[{change}]: ")?;
        }
        let text = match self.kind {
            PatchErrorKind::Malformed => "not a valid patch",
            PatchErrorKind::BaseMismatch => {
                "based on another version; recreate it on the current version"
            }
            PatchErrorKind::Empty => "has no changes",
            PatchErrorKind::TooManyChanges => "has too many changes; split it into several patches",
            PatchErrorKind::InvalidName => {
                "a name must have 1 to 100 characters of a-z A-Z 0-9 . _ -"
            }
            PatchErrorKind::NameTaken => "the name is already in use",
            PatchErrorKind::Unknown => "no such name",
            PatchErrorKind::OutOfRange => "the value is out of range",
            PatchErrorKind::NoEffect => "the change has no effect",
        };
        write!(formatter, "{text}")?;
        if !self.name.is_empty() {
            write!(formatter, " ({})", self.name)?;
        }
        Ok(())
    }
}

impl PatchError {
    pub(super) fn whole(kind: PatchErrorKind, name: SmolStr) -> PatchError {
        PatchError {
            change: None,
            kind,
            name,
        }
    }
}
