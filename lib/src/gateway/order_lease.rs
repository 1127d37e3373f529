//! Lease for giving orders to one model server.
//!
//! Servers don't check fencing tokens, and instances have no shared storage to write a lease to.
//! The lease therefore relies on the server's own count of accepted orders. An instance that takes
//! over a server reads the count, gives no order for the lease time, and reads it again. An
//! unchanged count proves that no other instance gave an order meanwhile. Each order is conditional
//! on the count, so if two instances believe that they hold the lease, the order of one of them
//! fails and that instance starts over. This also covers a paused process without relying on its
//! clock: if another instance gave an order during the pause, the next order of the paused process
//! fails.

use std::time::Duration;

use super::catalog::ServerReport;
use crate::clock::ClockTime;

/// Time by which reports lag behind the server, some hundred milliseconds. It is added to the lease
/// time, and a report that settles the outcome of an unanswered order is read only after it.
pub const REPORT_LAG: Duration = Duration::from_millis(400);
/// Time after which an order without a response does not arrive any more.
const ORDER_LIFETIME: Duration = Duration::from_millis(10_000);
/// Delay after a report that could not be read.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeasePhase {
    /// The server's count is not known.
    Unknown,
    /// The count has had this value since then.
    Observing { sequence: u64, since: ClockTime },
    /// Orders may be given, conditional on this count.
    Active { sequence: u64 },
    /// An order failed. It accounts for a count of at most `sequence`, or of `sequence + 1` if its
    /// outcome is unknown and no other instance can have given an order before `counted_until`.
    Unsettled {
        sequence: u64,
        counted_until: ClockTime,
    },
}

/// Lease for giving orders to one server, from the view of one instance.
#[derive(Clone, Debug)]
pub struct OrderLease {
    phase: LeasePhase,
    server_started: Option<u64>,
    lease_time: Duration,
    /// Time at which the next report is to be read.
    report_due_at: Option<ClockTime>,
    report_in_flight: bool,
    /// Time at which the newest report was requested.
    report_requested_at: ClockTime,
    /// Time at which the outcome of the newest order was known.
    last_order_at: ClockTime,
    /// Time at which the newest order was sent.
    order_sent_at: ClockTime,
    /// Time until which an order without a response may arrive.
    late_until: ClockTime,
    /// Time until which no other instance can have observed the count for the lease time, because an
    /// order of this one has changed it.
    exclusive_until: ClockTime,
    /// A report has shown an order of another instance.
    has_seen_other_order: bool,
}

impl OrderLease {
    /// Creates a lease that is not held yet.
    pub fn new(now: ClockTime, lease_time: Duration) -> OrderLease {
        OrderLease {
            phase: LeasePhase::Unknown,
            server_started: None,
            lease_time,
            report_due_at: Some(now),
            report_in_flight: false,
            report_requested_at: now,
            last_order_at: now,
            order_sent_at: ClockTime::ZERO,
            late_until: ClockTime::ZERO,
            exclusive_until: ClockTime::ZERO,
            has_seen_other_order: false,
        }
    }

    /// Whether orders may be given.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, LeasePhase::Active { .. })
    }

    /// Whether no other instance may give orders, as far as this one knows. While the outcome of an
    /// order is unknown, the lease is held but no order may be given.
    pub fn is_held(&self) -> bool {
        matches!(
            self.phase,
            LeasePhase::Active { .. } | LeasePhase::Unsettled { .. }
        )
    }

    /// Count of accepted orders that the next order is conditional on.
    pub fn expected(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Active { sequence } => Some(sequence),
            _ => None,
        }
    }

    /// Time at which the next report is to be read, unless one is being read.
    pub fn report_due_at(&self) -> Option<ClockTime> {
        if self.report_in_flight {
            None
        } else {
            self.report_due_at
        }
    }

    /// Whether a report is due. If so, the caller must read one.
    pub fn begin_report_read(&mut self, now: ClockTime) -> bool {
        if self.report_in_flight || self.report_due_at.is_none_or(|time| time > now) {
            return false;
        }
        self.report_in_flight = true;
        self.report_requested_at = now;
        true
    }

    /// Whether a report may have been sampled before the newest order that counts as accepted.
    ///
    /// One that was requested later than that, by more than reports lag behind, shows that an order
    /// was not counted.
    pub fn predates_orders(&self, report: &ServerReport) -> bool {
        match self.phase {
            LeasePhase::Active { sequence } | LeasePhase::Unsettled { sequence, .. } => {
                !self.is_restarted(report)
                    && report.sequence < sequence
                    && self.report_requested_at < self.last_order_at.after(REPORT_LAG)
            }
            LeasePhase::Unknown | LeasePhase::Observing { .. } => false,
        }
    }

    /// Start of the server's process according to the newest report, in Unix milliseconds.
    pub fn server_started(&self) -> Option<u64> {
        self.server_started
    }

    /// Start of the newest known process of the server. A report may tell of a restart before the
    /// store does, which lists the start `published`.
    pub fn known_start(&self, published: u64) -> u64 {
        self.server_started.unwrap_or(published)
    }

    /// Whether a report is from another process of the server than the report before.
    pub fn is_restarted(&self, report: &ServerReport) -> bool {
        self.server_started.is_some()
            && report.started.is_some()
            && self.server_started != report.started
    }

    /// Drops a report whose state is not needed, and schedules the next one.
    pub fn discard_report(&mut self, now: ClockTime) {
        self.report_in_flight = false;
        self.report_due_at = Some(now.after(REPORT_LAG));
    }

    /// Applies a report, or `None` if it could not be read.
    pub fn observe_report(&mut self, now: ClockTime, report: Option<&ServerReport>) {
        self.report_in_flight = false;
        let Some(report) = report else {
            self.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
            return;
        };
        let restarted = self.is_restarted(report);
        self.server_started = report.started.or(self.server_started);
        self.report_due_at = None;
        let sequence = report.sequence;
        self.phase = match self.phase {
            // A restarted server counts from zero. Before its first order no other instance has
            // given one.
            LeasePhase::Active { .. } | LeasePhase::Unsettled { .. }
                if restarted && sequence == 0 =>
            {
                LeasePhase::Active { sequence }
            }
            _ if restarted => self.start_observing(now, sequence),
            LeasePhase::Observing {
                sequence: seen,
                since,
            } if seen == sequence => {
                // Another lease has another token, and a late order would have a lower one.
                let active_at = since.after(self.quiet_time()).max(self.late_until);
                if now >= active_at {
                    self.exclusive_until = ClockTime::ZERO;
                    LeasePhase::Active { sequence }
                } else {
                    self.report_due_at = Some(active_at);
                    self.phase
                }
            }
            // The next order must be conditional on the count that belongs to the reported state.
            LeasePhase::Active { sequence: own } if sequence <= own => {
                LeasePhase::Active { sequence }
            }
            LeasePhase::Unsettled { sequence: own, .. } if sequence <= own => {
                LeasePhase::Active { sequence }
            }
            LeasePhase::Unsettled {
                sequence: own,
                counted_until,
            } if sequence == own + 1 && now < counted_until => {
                self.exclusive_until = self.order_sent_at.after(self.quiet_time());
                LeasePhase::Active { sequence }
            }
            LeasePhase::Unknown => self.start_observing(now, sequence),
            _ => {
                self.has_seen_other_order = true;
                self.start_observing(now, sequence)
            }
        };
    }

    /// Whether a report since the last call has shown an order of another instance.
    pub fn take_other_order(&mut self) -> bool {
        std::mem::take(&mut self.has_seen_other_order)
    }

    fn quiet_time(&self) -> Duration {
        self.lease_time + REPORT_LAG
    }

    fn start_observing(&mut self, now: ClockTime, sequence: u64) -> LeasePhase {
        self.report_due_at = Some(now.after(self.quiet_time()));
        LeasePhase::Observing {
            sequence,
            since: now,
        }
    }

    /// Records that an order was sent.
    pub fn record_sent(&mut self, now: ClockTime) {
        self.order_sent_at = now;
    }

    /// Records that the order was accepted.
    pub fn record_accepted(&mut self, now: ClockTime) {
        self.last_order_at = now;
        self.exclusive_until = self.order_sent_at.after(self.quiet_time());
        if let LeasePhase::Active { sequence } = self.phase {
            self.phase = LeasePhase::Active {
                sequence: sequence + 1,
            };
        }
    }

    /// Records that it is unknown whether the order was accepted.
    pub fn mark_unsettled(&mut self, now: ClockTime) {
        self.late_until = self.order_sent_at.after(ORDER_LIFETIME);
        self.unsettle(now, self.exclusive_until);
    }

    /// Records that the order was not accepted.
    pub fn mark_rejected(&mut self, now: ClockTime) {
        self.unsettle(now, ClockTime::ZERO);
    }

    fn unsettle(&mut self, now: ClockTime, counted_until: ClockTime) {
        self.last_order_at = now;
        if let LeasePhase::Active { sequence } = self.phase {
            self.phase = LeasePhase::Unsettled {
                sequence,
                counted_until,
            };
            self.report_due_at = Some(now.after(REPORT_LAG));
        }
    }

    /// Gives up the lease until it has been acquired again, after contact to the peers was lost or
    /// the process was paused.
    pub fn suspend(&mut self, now: ClockTime) {
        self.phase = LeasePhase::Unknown;
        self.report_due_at = Some(now);
    }

    /// Schedules a report without giving up the lease.
    pub fn request_report(&mut self, now: ClockTime) {
        if self.report_due_at.is_none() {
            self.report_due_at = Some(now.after(REPORT_LAG));
        }
    }
}
