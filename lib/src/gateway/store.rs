//! Reads the platform's store, and applies changes of the catalog to the gateway's state.
//!
//! A few instances watch the store and the others get changes from them. An instance whose replica
//! no peer has confirmed recently reads the store itself.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    GatewayReducer,
    catalog::{PublishedChange, PublishedItem},
    event::{GatewayEffect, StoreError, StoreRead},
    log_event,
    members::MemberPhase,
    replica::CatalogPage,
    routes::RouteIndex,
};
use crate::{clock::ClockTime, rendezvous};

/// Number of instances that watch the store at the same time.
const STORE_READERS: usize = 3;
/// How long a watch waits for a change; also bounds how long a dead reader goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(900);
/// Minimum time between two reads; changes in between come with the next one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Age of the replica above which any instance reads the store itself.
const MAX_CATALOG_AGE: Duration = Duration::from_millis(1_700);
/// Added to that age for each instance that comes earlier in the order of readers, except the first
/// [`PROMPT_RANKS`]. In a large fleet, the news of the first reads arrive before the others read.
const RANK_DELAY: Duration = Duration::from_millis(20);
const PROMPT_RANKS: usize = 8;
/// Maximum of this addition.
const MAX_RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after the first failed read; doubles with each further failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// After an outage of this length, the store may have dropped entries of servers that are still
/// running.
const LONG_OUTAGE: Duration = Duration::from_millis(1_000);
/// Time for such servers to register again.
const REGISTER_TIME: Duration = Duration::from_millis(2_300);
/// Delay between snapshot reads during that time.
const REGISTER_READ_INTERVAL: Duration = Duration::from_millis(700);

/// State of this instance's reads of the store.
#[derive(Debug, Default)]
pub(super) struct StoreReader {
    reading: bool,
    failures: u32,
    next_read: ClockTime,
    needs_snapshot: bool,
    unavailable_since: Option<ClockTime>,
    /// Removals are ignored until then, because servers may not have registered again yet.
    ignore_removals_until: Option<ClockTime>,
}

impl StoreReader {
    /// Makes the next read due immediately.
    pub(super) fn read_now(&mut self, now: ClockTime) {
        self.next_read = now;
        self.failures = 0;
    }
}

impl GatewayReducer {
    /// Time since the replica was last known to be current; an hour if it never was.
    pub(super) fn catalog_age(&self, now: ClockTime) -> Duration {
        self.catalog_confirmed
            .map_or(Duration::from_secs(3_600), |time| now.since(time))
    }

    /// Records a peer's confirmation that the replica was current `age` ago.
    pub(super) fn confirm_catalog(&mut self, now: ClockTime, age: Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let confirmed = ClockTime::from_micros(now.as_micros().saturating_sub(micros));
        if now.as_micros() >= micros {
            self.catalog_confirmed = self.catalog_confirmed.max(Some(confirmed));
        }
    }

    /// Number of instances that come before this one in the order of readers.
    fn store_reader_rank(&self, now: ClockTime) -> usize {
        let local = &self.options.instance;
        let weight = |name: &str| rendezvous::weight("store-reader", name);
        self.members
            .alive(now)
            .filter(|record| record.phase != MemberPhase::Leaving)
            .filter(|record| weight(&record.name) > weight(local))
            .count()
    }

    pub(super) fn read_store(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if self.store.reading || now < self.store.next_read {
            return;
        }
        // Changes that are on their way from a peer would arrive later beside a read of the store.
        let rank = self.store_reader_rank(now);
        let later_ranks = u32::try_from(rank.saturating_sub(PROMPT_RANKS)).unwrap_or(u32::MAX);
        let max_age = MAX_CATALOG_AGE + RANK_DELAY.saturating_mul(later_ranks).min(MAX_RANK_DELAY);
        let is_outdated = self.catalog_age(now) > max_age && !self.catalog_fetcher.is_fetching(now);
        let is_needed = self.catalog.revision() == 0 || is_outdated;
        if !is_needed && rank >= STORE_READERS {
            return;
        }
        let needs_snapshot = self.catalog.revision() == 0
            || self.store.needs_snapshot
            || self.store.ignore_removals_until.is_some();
        self.store.reading = true;
        let read = if needs_snapshot {
            StoreRead::Snapshot
        } else {
            StoreRead::Watch {
                after: self.catalog.revision(),
                wait: WATCH_WAIT,
            }
        };
        effects.push(GatewayEffect::ReadStore(read));
    }

    pub(super) fn store_answered(
        &mut self,
        now: ClockTime,
        answer: Result<CatalogPage, StoreError>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.store.reading = false;
        match answer {
            Ok(page) => self.store_page_read(now, page, effects),
            Err(StoreError::HistoryGone) => {
                log_event(effects, "store_history_gone", "", "");
                self.store.needs_snapshot = true;
                self.store.next_read = now;
            }
            Err(StoreError::Unavailable) => self.store_failed(now, effects),
        }
        self.read_store(now, effects);
    }

    fn store_failed(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if self.store.unavailable_since.is_none() {
            self.store.unavailable_since = Some(now);
            let detail = format!("board_age_ms={}", self.catalog_age(now).as_millis());
            log_event(effects, "store_lost", "", &detail);
        }
        self.store.failures += 1;
        let backoff = MIN_BACKOFF * 2_u32.saturating_pow((self.store.failures - 1).min(8));
        self.store.next_read = now.after(backoff.min(MAX_BACKOFF));
    }

    fn store_page_read(
        &mut self,
        now: ClockTime,
        mut page: CatalogPage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.store.failures = 0;
        self.store.next_read = now.after(MIN_READ_INTERVAL);
        if let Some(since) = self.store.unavailable_since.take() {
            let outage = now.since(since);
            let detail = format!("outage_ms={}", outage.as_millis());
            log_event(effects, "store_regained", "", &detail);
            if outage >= LONG_OUTAGE && self.catalog.revision() > 0 {
                self.store.ignore_removals_until = Some(now.after(REGISTER_TIME));
            }
        }
        if page.is_snapshot {
            self.store.needs_snapshot = false;
        }
        if let Some(until) = self.store.ignore_removals_until {
            if now < until {
                page.is_snapshot = false;
                page.revision = 0;
                page.changes.retain(|change| change.item.is_some());
                self.store.next_read = now.after(REGISTER_READ_INTERVAL);
            } else if page.is_snapshot {
                self.store.ignore_removals_until = None;
            }
        }
        self.catalog_confirmed = Some(now);
        self.apply_page(now, "store", page, effects);
    }

    /// Applies changes received from the store or a peer.
    pub(super) fn apply_page(
        &mut self,
        now: ClockTime,
        source: &str,
        page: CatalogPage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let revision = self.catalog.revision();
        let detail = format!(
            "source={source} revision={} known={revision} changes={}",
            page.revision,
            page.changes.len()
        );
        let applied = self.catalog.apply(page);
        if self.catalog.revision() == revision && applied.is_empty() {
            log_event(effects, "catalog_unchanged", "", &detail);
        }
        for change in &applied {
            self.apply_change(now, change, effects);
        }
        if !applied.is_empty() {
            self.sync_schedulers(now, effects);
        }
        if self.catalog.revision() > revision && !applied.is_empty() {
            self.spread_change(now, effects);
        }
    }

    fn apply_change(
        &mut self,
        now: ClockTime,
        change: &PublishedChange,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match &change.item {
            Some(PublishedItem::Config(config)) => {
                let detail = format!("version={} revision={}", config.version, change.revision);
                log_event(effects, "config_applied", "", &detail);
                self.routes = Some(RouteIndex::new(config.clone()));
                if !self.is_leaving() {
                    self.members.local_mut().phase = MemberPhase::Ready;
                }
                self.refuse_withdrawn(now, effects);
            }
            Some(PublishedItem::Evacuation(data_centre)) => {
                log_event(effects, "data_centre_out", "", data_centre);
                self.servers.close_data_centre(data_centre);
            }
            Some(PublishedItem::AdapterVersion {
                model,
                adapter,
                version,
            }) => {
                let known = self
                    .adapter_versions
                    .entry((model.clone(), adapter.clone()))
                    .or_default();
                *known = (*known).max(*version);
            }
            Some(PublishedItem::Server(record)) => {
                let (key, is_new) = self.servers.apply_record(now, record.clone());
                if is_new {
                    let detail = format!("server={} started={}", record.id, record.started);
                    log_event(effects, "server_listed", "", &detail);
                    effects.push(GatewayEffect::CloseConnections(record.id.clone()));
                    self.confirm_crash(now, key, effects);
                }
                self.server_published(now, key, is_new);
            }
            None => self.apply_removal(now, &change.key, effects),
        }
    }

    fn apply_removal(&mut self, now: ClockTime, key: &SmolStr, effects: &mut Vec<GatewayEffect>) {
        // The key of an evacuation ends in the data centre's name, that of a server in its id.
        let Some(name) = key.rsplit('/').next() else {
            return;
        };
        let data_centre = SmolStr::new(name);
        let cold_time = self
            .config()
            .and_then(|config| {
                config
                    .services
                    .iter()
                    .map(|service| service.cold_time)
                    .max()
            })
            .unwrap_or_default();
        self.servers
            .reopen_data_centre(now, &data_centre, cold_time);
        if let Some(server) = self.servers.key(name) {
            log_event(effects, "server_withdrawn", "", name);
            self.servers.withdraw(name);
            effects.push(GatewayEffect::CloseConnections(name.into()));
            self.confirm_crash(now, server, effects);
        }
    }
}
