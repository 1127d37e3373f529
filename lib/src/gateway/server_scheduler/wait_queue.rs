//! Order in which waiting requests are served.
//!
//! Requests that can still meet their objective go first, by priority, then by how little their team
//! was served recently, then by the time left to the objective. The queue knows nothing of what the
//! requests wait for: its user says which of them could be served now.

use std::{cmp::Ordering, time::Duration};

use smol_str::SmolStr;

use crate::clock::ClockTime;

/// Maximum number of requests that wait at one server. It bounds the time of a decision and the
/// number of calls that are kept open.
pub const MAX_WAITING: usize = 256;
/// A request that has waited for this long goes ahead of all others.
const STARVATION_TIME: Duration = Duration::from_secs(2);
/// Time after which tokens that a team was served count half.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Usage is stored relative to an epoch, so that it can be compared without decaying each value. The
/// epoch moves after this many half-lives, long before the values exceed the range of a double.
const EPOCH_HALF_LIVES: f64 = 64.0;
/// Tokens below which a team's usage is forgotten.
const MIN_USAGE: f64 = 1.0;

/// What the order of a request depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitTerms {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team; requests without one count as one team.
    pub team: Option<SmolStr>,
    /// Time by which the first event must be there.
    pub objective_at: ClockTime,
    /// Expected time from sending the request to its first event.
    pub service_time: Duration,
    /// Time since which the request has been waiting, also elsewhere.
    pub waiting_since: ClockTime,
}

/// Identifies a waiting request within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket(u64);

#[derive(Clone, Debug)]
struct WaitEntry<T> {
    ticket: WaitTicket,
    team: usize,
    terms: WaitTerms,
    item: T,
}

/// Tokens that a team was served recently.
#[derive(Clone, Debug)]
struct TeamUsage {
    team: Option<SmolStr>,
    /// Decayed tokens, relative to the epoch.
    scaled_tokens: f64,
    /// Number of waiting requests.
    waiting: usize,
}

/// Requests that wait for one server.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    /// In order of arrival.
    entries: Vec<WaitEntry<T>>,
    teams: Vec<TeamUsage>,
    epoch: ClockTime,
    next_ticket: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> WaitQueue<T> {
        WaitQueue {
            entries: Vec::new(),
            teams: Vec::new(),
            epoch: ClockTime::ZERO,
            next_ticket: 0,
        }
    }
}

/// Groups of requests, the first of which goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WaitGroup {
    Starving,
    InTime,
    Late,
}

impl<T> WaitQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the item if [`MAX_WAITING`] requests wait already.
    pub fn push(&mut self, terms: WaitTerms, item: T) -> Result<WaitTicket, T> {
        if self.entries.len() >= MAX_WAITING {
            return Err(item);
        }
        let team = self.team_index(&terms.team);
        self.teams[team].waiting += 1;
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.entries.push(WaitEntry {
            ticket,
            team,
            terms,
            item,
        });
        Ok(ticket)
    }

    /// Returns the first request in order for which `is_eligible` is true.
    pub fn first(
        &self,
        now: ClockTime,
        mut is_eligible: impl FnMut(&T) -> bool,
    ) -> Option<WaitTicket> {
        let mut first: Option<(WaitGroup, &WaitEntry<T>)> = None;
        for entry in &self.entries {
            let group = entry.group(now);
            let is_ahead = first.is_none_or(|(first_group, first)| {
                group
                    .cmp(&first_group)
                    .then_with(|| self.compare(group, entry, first))
                    .is_lt()
            });
            if is_ahead && is_eligible(&entry.item) {
                first = Some((group, entry));
            }
        }
        first.map(|(_, entry)| entry.ticket)
    }

    /// Compares two requests of the same group.
    fn compare(&self, group: WaitGroup, left: &WaitEntry<T>, right: &WaitEntry<T>) -> Ordering {
        if group == WaitGroup::Starving {
            return left.terms.waiting_since.cmp(&right.terms.waiting_since);
        }
        let tokens = |entry: &WaitEntry<T>| self.teams[entry.team].scaled_tokens;
        (left.terms.priority.cmp(&right.terms.priority))
            .then_with(|| tokens(left).total_cmp(&tokens(right)))
            .then_with(|| left.terms.objective_at.cmp(&right.terms.objective_at))
            .then_with(|| left.ticket.cmp(&right.ticket))
    }

    /// The item of a waiting request.
    pub fn get(&self, ticket: WaitTicket) -> Option<&T> {
        let position = self.position(ticket)?;
        Some(&self.entries[position].item)
    }

    /// The item of a waiting request, to be changed.
    pub fn get_mut(&mut self, ticket: WaitTicket) -> Option<&mut T> {
        let position = self.position(ticket)?;
        Some(&mut self.entries[position].item)
    }

    /// Removes a request. Returns its item and the number of requests that arrived before it and
    /// still wait.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<(T, usize)> {
        let position = self.position(ticket)?;
        let entry = self.entries.remove(position);
        self.teams[entry.team].waiting -= 1;
        Some((entry.item, position))
    }

    /// Finds the first request to arrive whose item matches.
    pub fn find(&self, mut matches: impl FnMut(&T) -> bool) -> Option<WaitTicket> {
        let entry = self.entries.iter().find(|entry| matches(&entry.item))?;
        Some(entry.ticket)
    }

    /// All waiting requests, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (WaitTicket, &WaitTerms, &T)> {
        self.entries
            .iter()
            .map(|entry| (entry.ticket, &entry.terms, &entry.item))
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<T> {
        for team in &mut self.teams {
            team.waiting = 0;
        }
        self.entries.drain(..).map(|entry| entry.item).collect()
    }

    /// Records that a team was served `tokens`, whether its request waited or not.
    pub fn record_served(&mut self, now: ClockTime, team: &Option<SmolStr>, tokens: u64) {
        let mut half_lives = self.half_lives(now);
        if half_lives > EPOCH_HALF_LIVES {
            for usage in &mut self.teams {
                usage.scaled_tokens *= (-half_lives).exp2();
            }
            self.epoch = now;
            half_lives = 0.0;
        }
        let team = self.team_index(team);
        self.teams[team].scaled_tokens += tokens as f64 * half_lives.exp2();
        self.forget_idle_teams(half_lives);
    }

    /// Tokens that a team was served recently.
    pub fn recent_tokens(&self, now: ClockTime, team: &Option<SmolStr>) -> f64 {
        let usage = self.teams.iter().find(|usage| usage.team == *team);
        usage.map_or(0.0, |usage| {
            usage.scaled_tokens * (-self.half_lives(now)).exp2()
        })
    }

    fn half_lives(&self, now: ClockTime) -> f64 {
        now.since(self.epoch).as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64()
    }

    fn team_index(&mut self, team: &Option<SmolStr>) -> usize {
        if let Some(index) = self.teams.iter().position(|usage| usage.team == *team) {
            return index;
        }
        self.teams.push(TeamUsage {
            team: team.clone(),
            scaled_tokens: 0.0,
            waiting: 0,
        });
        self.teams.len() - 1
    }

    /// Forgets a team at the end of the list that is idle. Entries refer to teams by position, so
    /// others stay until those after them are gone.
    fn forget_idle_teams(&mut self, half_lives: f64) {
        let min_tokens = MIN_USAGE * half_lives.exp2();
        while let Some(last) = self.teams.last()
            && last.waiting == 0
            && last.scaled_tokens < min_tokens
        {
            self.teams.pop();
        }
    }

    fn position(&self, ticket: WaitTicket) -> Option<usize> {
        let tickets = |entry: &WaitEntry<T>| entry.ticket;
        self.entries.binary_search_by_key(&ticket, tickets).ok()
    }
}

impl<T> WaitEntry<T> {
    fn group(&self, now: ClockTime) -> WaitGroup {
        if now.since(self.terms.waiting_since) >= STARVATION_TIME {
            WaitGroup::Starving
        } else if now.after(self.terms.service_time) <= self.terms.objective_at {
            WaitGroup::InTime
        } else {
            WaitGroup::Late
        }
    }
}
