//! The right to give orders to one model server.
//!
//! Servers do not check fencing tokens and nothing of ours can be written, so the server's own
//! count of accepted orders is the witness. An instance that takes a server over reads the count,
//! gives no order for the lease time, and reads it again: an unchanged count proves that nobody
//! ordered meanwhile. Each order is conditional on the count, so that of two instances that
//! believe to have the right, one gives an order in vain and starts over. A paused process needs
//! no clock for this: if somebody ordered while it stood still, its next order fails.

use std::time::Duration;

use super::catalog::ServerReport;
use crate::clock::ClockTime;

/// Reports lag behind the server by some hundred milliseconds; added to the lease time, and waited
/// before a report is read to find out about an order without an answer.
pub const REPORT_LAG: Duration = Duration::from_millis(400);
/// Pause after a report that could not be read.
const REPORT_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RightPhase {
    /// Nothing is known of the server's count.
    Unknown,
    /// The count stood at this value since then.
    Observing { sequence: u64, since: ClockTime },
    /// May order, conditional on this count.
    Active { sequence: u64 },
    /// An order had no usable answer; at most `sequence + 1` is its doing.
    Unsettled { sequence: u64 },
}

/// The right to give orders to one server, as its claimant sees it.
#[derive(Clone, Debug)]
pub struct OrderRight {
    phase: RightPhase,
    started: Option<u64>,
    lease: Duration,
    /// When a report is to be read next.
    read_at: Option<ClockTime>,
    reading: bool,
}

impl OrderRight {
    /// A claim without any right yet.
    pub fn new(now: ClockTime, lease: Duration) -> OrderRight {
        OrderRight {
            phase: RightPhase::Unknown,
            started: None,
            lease,
            read_at: Some(now),
            reading: false,
        }
    }

    /// Whether orders may be given.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, RightPhase::Active { .. })
    }

    /// The count that the next order is conditional on.
    pub fn expected(&self) -> Option<u64> {
        match self.phase {
            RightPhase::Active { sequence } => Some(sequence),
            _ => None,
        }
    }

    /// When the next report is to be read.
    pub fn read_at(&self) -> Option<ClockTime> {
        if self.reading { None } else { self.read_at }
    }

    /// Whether a report is due; the caller then reads one.
    pub fn begin_reading(&mut self, now: ClockTime) -> bool {
        if self.reading || self.read_at.is_none_or(|time| time > now) {
            return false;
        }
        self.reading = true;
        true
    }

    /// Takes in a report, or that there was none.
    pub fn observe(&mut self, now: ClockTime, report: Option<&ServerReport>) {
        self.reading = false;
        let Some(report) = report else {
            self.read_at = Some(now.after(REPORT_RETRY));
            return;
        };
        let restarted =
            self.started.is_some() && report.started.is_some() && self.started != report.started;
        self.started = report.started.or(self.started);
        self.read_at = None;
        let sequence = report.sequence;
        self.phase = match self.phase {
            // A restarted server counts anew; before its first order nobody else has ordered.
            RightPhase::Active { .. } | RightPhase::Unsettled { .. }
                if restarted && sequence == 0 =>
            {
                RightPhase::Active { sequence }
            }
            _ if restarted => self.start_observing(now, sequence),
            RightPhase::Observing {
                sequence: seen,
                since,
            } if seen == sequence => {
                if now.since(since) >= self.quiet_time() {
                    RightPhase::Active { sequence }
                } else {
                    self.read_at = Some(since.after(self.quiet_time()));
                    self.phase
                }
            }
            RightPhase::Active { sequence: own } if sequence <= own => self.phase,
            RightPhase::Unsettled { sequence: own } if sequence <= own + 1 => {
                RightPhase::Active { sequence }
            }
            _ => self.start_observing(now, sequence),
        };
    }

    fn quiet_time(&self) -> Duration {
        self.lease + REPORT_LAG
    }

    fn start_observing(&mut self, now: ClockTime, sequence: u64) -> RightPhase {
        self.read_at = Some(now.after(self.quiet_time()));
        RightPhase::Observing {
            sequence,
            since: now,
        }
    }

    /// An order was accepted.
    pub fn accept(&mut self) {
        if let RightPhase::Active { sequence } = self.phase {
            self.phase = RightPhase::Active {
                sequence: sequence + 1,
            };
        }
    }

    /// An order had no answer, or one that does not tell whether it was accepted.
    pub fn unsettle(&mut self, now: ClockTime) {
        if let RightPhase::Active { sequence } = self.phase {
            self.phase = RightPhase::Unsettled { sequence };
            self.read_at = Some(now.after(REPORT_LAG));
        }
    }

    /// Gives the right up until it has been observed anew: contact to the peers was lost, or the
    /// process stood still.
    pub fn suspend(&mut self, now: ClockTime) {
        self.phase = RightPhase::Unknown;
        self.read_at = Some(now);
    }

    /// Asks for a report without giving anything up.
    pub fn refresh(&mut self, now: ClockTime) {
        if self.read_at.is_none() {
            self.read_at = Some(now.after(REPORT_LAG));
        }
    }
}
