//! Reads the platform's store, and applies changes of the catalog to the gateway's state.
//!
//! A few instances watch the store and the others get changes from them. An instance whose replica
//! no peer has confirmed recently reads the store itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;

use super::{
    GatewayReducer,
    catalog::{PublishedChange, PublishedItem},
    event::{GatewayEffect, StoreError, StoreRead},
    log_event,
    members::MemberPhase,
    replica::{CatalogPage, PageOutcome},
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

/// Time after a restore of the store for which entries of servers that are known to have left are
/// ignored. By then the store drops the entries of servers that no longer write.
const LEFT_SERVER_DOUBT: Duration = Duration::from_secs(15);
/// The same for evacuations that are known to have ended, which the operator ends again sooner.
const EVACUATION_DOUBT: Duration = REGISTER_TIME;
/// Time for which all answers of the store have to be of an earlier era until they are believed.
const LOWER_ERA_PATIENCE: Duration = Duration::from_secs(10);

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
    /// Items of earlier eras are kept until then, because they may not have been written again yet.
    keep_earlier_eras_until: Option<ClockTime>,
    /// Era that skips others, and has to be confirmed by another answer.
    unconfirmed_era: Option<u64>,
    /// Since when all answers have been of an earlier era.
    outdated_since: Option<ClockTime>,
    /// Highest era that peers are believed until a time, after an era has turned out to be wrong.
    max_peer_era: Option<(u64, ClockTime)>,
}

/// Changes in the copy from which the store was restored that contradict what this instance knew
/// before: a server that has left is listed as ready, or an evacuation that ended is in force.
/// They are ignored until their writers have written the keys again, or until a time.
pub(super) type DoubtedChanges = BTreeMap<SmolStr, (ClockTime, PublishedChange)>;

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
        let is_needed = self.catalog.is_empty() || is_outdated;
        if !is_needed && rank >= STORE_READERS {
            return;
        }
        let needs_snapshot = self.catalog.is_empty()
            || self.store.needs_snapshot
            || self.store.ignore_removals_until.is_some();
        self.store.reading = true;
        let read = if needs_snapshot {
            StoreRead::Snapshot
        } else {
            StoreRead::Watch {
                after: self.catalog.revision().number,
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
                self.read_snapshot_now(now);
            }
            Err(StoreError::MixedEras) => {
                log_event(effects, "store_answer_ignored", "", "reason=mixed_eras");
                self.read_snapshot_now(now);
            }
            Err(StoreError::Unavailable) => self.store_failed(now, effects),
        }
        self.read_store(now, effects);
    }

    fn read_snapshot_now(&mut self, now: ClockTime) {
        self.store.needs_snapshot = true;
        self.store.next_read = now;
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
        if !self.check_era(now, &page, effects) {
            return;
        }
        let is_restored = page.era > self.catalog.revision().era && !self.catalog.is_empty();
        self.store.failures = 0;
        self.store.next_read = now.after(MIN_READ_INTERVAL);
        if let Some(since) = self.store.unavailable_since.take() {
            let outage = now.since(since);
            let detail = format!("outage_ms={}", outage.as_millis());
            log_event(effects, "store_regained", "", &detail);
            if outage >= LONG_OUTAGE && !self.catalog.is_empty() {
                self.store.ignore_removals_until = Some(now.after(REGISTER_TIME));
            }
        }
        if page.is_snapshot {
            self.store.needs_snapshot = false;
        }
        if let Some(until) = self.store.ignore_removals_until
            && !is_restored
        {
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

    /// Whether peers that are in this era are believed.
    pub(super) fn trusts_peer_era(&self, now: ClockTime, era: u64) -> bool {
        let limit = self.store.max_peer_era;
        limit.is_none_or(|(max, until)| era <= max || now >= until)
    }

    /// Whether an answer of the store is of the known era, or a snapshot of a later one.
    fn check_era(
        &mut self,
        now: ClockTime,
        page: &CatalogPage,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let known = self.catalog.revision();
        let ignore = |effects: &mut Vec<GatewayEffect>, reason: &str| {
            let revision = page.complete_to();
            let detail = format!("reason={reason} revision={revision} known={known}");
            log_event(effects, "store_answer_ignored", "", &detail);
        };
        if page.era < known.era {
            ignore(effects, "earlier_era");
            let since = *self.store.outdated_since.get_or_insert(now);
            if now.since(since) < LOWER_ERA_PATIENCE {
                self.store_failed(now, effects);
                return false;
            }
            self.lower_era(now, page.era, effects);
            return page.is_snapshot;
        }
        self.store.outdated_since = None;
        if page.era > known.era + 1 && self.store.unconfirmed_era != Some(page.era) {
            ignore(effects, "unconfirmed_era");
            self.store.unconfirmed_era = Some(page.era);
            self.read_snapshot_now(now);
            return false;
        }
        self.store.unconfirmed_era = None;
        if page.era > known.era && !page.is_snapshot {
            ignore(effects, "later_era");
            self.read_snapshot_now(now);
            return false;
        }
        true
    }

    /// Goes back to an earlier era, because the known one was wrong or the store was replaced by one
    /// that counts anew.
    fn lower_era(&mut self, now: ClockTime, era: u64, effects: &mut Vec<GatewayEffect>) {
        let detail = format!("era={era} known={}", self.catalog.revision());
        log_event(effects, "store_era_lowered", "", &detail);
        self.catalog.lower_era(era);
        self.store.outdated_since = None;
        self.store.max_peer_era = Some((era, now.after(LOWER_ERA_PATIENCE * 2)));
        self.read_snapshot_now(now);
    }

    /// Applies changes received from the store or a peer.
    pub(super) fn apply_page(
        &mut self,
        now: ClockTime,
        source: &str,
        page: CatalogPage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let known = self.catalog.revision();
        let revision = page.complete_to();
        let detail = format!(
            "source={source} revision={revision} known={known} changes={}",
            page.changes.len()
        );
        let has_changes = !page.changes.is_empty();
        let is_restored = revision.era > known.era && !self.catalog.is_empty();
        let doubted = if is_restored {
            self.contradicting_keys(&page)
        } else {
            BTreeSet::new()
        };
        let applied = match self.catalog.apply(page) {
            PageOutcome::Applied(applied) => applied,
            outcome @ (PageOutcome::Outdated | PageOutcome::Incomplete) => {
                let detail = format!("{detail} reason={outcome:?}");
                log_event(effects, "catalog_page_ignored", "", &detail);
                return;
            }
        };
        if is_restored {
            log_event(effects, "store_restored", "", &detail);
            self.store.keep_earlier_eras_until = Some(now.after(REGISTER_TIME));
            self.store.ignore_removals_until = self.store.keep_earlier_eras_until;
        } else if has_changes && applied.is_empty() {
            log_event(effects, "catalog_unchanged", "", &detail);
        }
        for change in &applied {
            if doubted.contains(&change.key) {
                log_event(effects, "item_doubted", "", &change.key);
                let time = match change.item {
                    Some(PublishedItem::Evacuation(_)) => EVACUATION_DOUBT,
                    _ => LEFT_SERVER_DOUBT,
                };
                let doubt = (now.after(time), change.clone());
                self.doubted_changes.insert(change.key.clone(), doubt);
            } else {
                self.doubted_changes.remove(&change.key);
                self.apply_change(now, change, effects);
            }
        }
        if !applied.is_empty() {
            self.sync_schedulers(now, effects);
        }
        if self.catalog.revision() > known && (is_restored || !applied.is_empty()) {
            self.spread_change(now, effects);
        }
    }

    /// Keys of items that contradict what is known from an earlier era.
    fn contradicting_keys(&self, page: &CatalogPage) -> BTreeSet<SmolStr> {
        let contradicts = |change: &&PublishedChange| match &change.item {
            Some(PublishedItem::Server(record)) => {
                !record.draining && self.servers.has_left(&record.id, record.started)
            }
            Some(PublishedItem::Evacuation(_)) => self.catalog.is_removed(&change.key),
            _ => false,
        };
        let changes = page.changes.iter().filter(contradicts);
        changes.map(|change| change.key.clone()).collect()
    }

    /// Believes the store, once its writers have had the time to correct it.
    pub(super) fn end_restore(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if let Some(until) = self.store.keep_earlier_eras_until
            && self.catalog_confirmed >= Some(until)
        {
            self.store.keep_earlier_eras_until = None;
            for change in self.catalog.remove_earlier_eras() {
                self.doubted_changes.remove(&change.key);
                self.apply_change(now, &change, effects);
            }
        }
        let due = self
            .doubted_changes
            .extract_if(.., |_, (until, _)| now >= *until);
        for (_, (_, change)) in due.collect::<Vec<_>>() {
            log_event(effects, "item_believed", "", &change.key);
            self.apply_change(now, &change, effects);
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
                self.check_published_count(now, record, effects);
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
