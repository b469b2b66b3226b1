use crate::clock::Instant;
use crate::peer::{Digest, Member, MemberSummary};
use crate::store::{ListedInstance, ListedState};

/// How long after the last update the low bits of a counter still show which value is newer.
const COUNTER_WINDOW_MS: u64 = 30_000;
/// Counter increments that count as newer. The other half of the range counts as older.
const MAX_NEWER_STEPS: u8 = 127;

/// A member as known to this instance.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub member: Member,
    pub key: u32,
    /// When the member's heartbeat counter last increased. `None` until its first heartbeat.
    pub heard_at: Option<Instant>,
    /// When this instance learned of the incarnation or that it is leaving. Peers are told for some
    /// seconds.
    pub changed_at: Option<Instant>,
    /// Heartbeat counter at which the load was measured.
    load_counter: u64,
    /// Whether the platform's instance list has contained this incarnation.
    pub was_listed: bool,
    /// Time of the first of the latest consecutive reads of the list that did not contain this
    /// incarnation.
    pub unlisted_since: Option<Instant>,
}

impl KnownMember {
    pub fn from_record(member: &Member, now: Instant) -> KnownMember {
        KnownMember {
            member: member.clone(),
            key: Digest::key(&member.instance, member.incarnation),
            heard_at: Some(now),
            changed_at: Some(now),
            load_counter: member.heartbeat_counter,
            was_listed: false,
            unlisted_since: None,
        }
    }

    pub fn from_list_entry(entry: &ListedInstance) -> KnownMember {
        KnownMember {
            member: member_from_list_entry(entry),
            key: Digest::key(&entry.instance, entry.incarnation),
            heard_at: None,
            changed_at: None,
            load_counter: 0,
            was_listed: true,
            unlisted_since: None,
        }
    }

    pub fn heard_within(&self, now: Instant, limit_ms: u64) -> bool {
        self.heard_at.is_some_and(|heard| now.ms_since(heard) < limit_ms)
    }

    pub fn changed_within(&self, now: Instant, limit_ms: u64) -> bool {
        self.changed_at.is_some_and(|changed| now.ms_since(changed) < limit_ms)
    }

    /// Merges a record of the same incarnation.
    pub fn update(&mut self, member: &Member, now: Instant) {
        // An incarnation that is leaving never returns, so this is accepted even with an older
        // counter.
        if member.is_leaving && !self.member.is_leaving {
            self.member.is_leaving = true;
            self.changed_at = Some(now);
        }
        if member.heartbeat_counter > self.load_counter {
            self.load_counter = member.heartbeat_counter;
            self.member.load_permille = member.load_permille;
        }
        if member.heartbeat_counter > self.member.heartbeat_counter {
            self.member.heartbeat_counter = member.heartbeat_counter;
            self.heard_at = Some(now);
        }
    }

    /// Merges the low bits of the incarnation's heartbeat counter.
    pub fn update_counter(&mut self, counter: u8, now: Instant) {
        let steps = counter.wrapping_sub(self.member.heartbeat_counter as u8);
        let is_counter_stale = !self.heard_within(now, COUNTER_WINDOW_MS);
        if is_counter_stale || (1..=MAX_NEWER_STEPS).contains(&steps) {
            self.member.heartbeat_counter += u64::from(steps);
            self.heard_at = Some(now);
        }
    }

    pub fn update_from_summary(&mut self, summary: &MemberSummary, now: Instant) {
        self.update_counter(summary.counter, now);
        let behind = (self.member.heartbeat_counter as u8).wrapping_sub(summary.counter);
        let age = u64::from(behind) + u64::from(summary.load_age);
        let measured = self.member.heartbeat_counter.saturating_sub(age);
        if summary.load_age < u8::MAX && behind <= MAX_NEWER_STEPS && measured > self.load_counter {
            self.load_counter = measured;
            self.member.load_permille = u32::from(summary.load) * Digest::LOAD_STEP_PERMILLE;
        }
    }

    pub fn summary(&self) -> MemberSummary {
        let load_age = self.member.heartbeat_counter.saturating_sub(self.load_counter);
        MemberSummary {
            key: self.key,
            counter: self.member.heartbeat_counter as u8,
            load_age: load_age.min(u64::from(u8::MAX)) as u8,
            load: quantize_load(self.member.load_permille),
        }
    }
}

pub(super) fn quantize_load(load_permille: u32) -> u8 {
    (load_permille / Digest::LOAD_STEP_PERMILLE).min(u32::from(u8::MAX)) as u8
}

fn member_from_list_entry(entry: &ListedInstance) -> Member {
    Member {
        instance: entry.instance.clone(),
        incarnation: entry.incarnation,
        peer_address: entry.peer_address.clone(),
        http_address: entry.http_address.clone(),
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        is_leaving: entry.state == ListedState::Leaving,
        heartbeat_counter: 0,
        load_permille: 0,
    }
}
