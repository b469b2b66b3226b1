//! Gossip about members: what heartbeats carry and how they are merged into the membership.

use rand::seq::SliceRandom;

use crate::clock::{Clock, Instant};
use crate::peer::known_member::{KnownMember, quantize_load};
use crate::peer::membership::{DEAD_AFTER_MS, SUSPECT_AFTER_MS};
use crate::peer::{Digest, Heartbeat, Member, MemberSummary, Membership};

/// How long peers are told of a new incarnation or a leaving member: 64 messages in a large fleet.
const CHANGE_SPREAD_MS: u64 = 4_000;
/// Records of changed members in each message.
const MAX_CHANGED_RECORDS: usize = 2;
/// Groups of counters in each message. With half the groups in each of 16 messages a second, every
/// member is reported eight times a second.
const GROUPS_PER_MESSAGE: u8 = 8;
/// Counters in each message, so that its size does not grow with the fleet. In fleets of more than
/// twice this number of members, a message carries fewer groups.
const MAX_COUNTERS: usize = 256;
/// Member summaries sent to a peer that requested all members.
const MAX_SUMMARIES: usize = 1024;
/// How long after its start an instance requests all members from its peers.
const STARTUP_MS: u64 = 3_000;
/// How long an unknown key is requested after it was last seen.
const UNKNOWN_KEY_TTL_MS: u64 = 3_000;

impl<C: Clock> Membership<C> {
    /// The record of this instance with its addresses, for peers that may not know it.
    pub fn full_record(&self, load_permille: u32) -> Member {
        let mut own = self.local_member.borrow_mut();
        own.heartbeat_counter = self.current_counter();
        own.load_permille = load_permille;
        own.clone()
    }

    /// The record of this instance without the fields that are fixed for its incarnation.
    pub fn brief_record(&self, load_permille: u32) -> Member {
        self.full_record(load_permille).brief()
    }

    /// Whether to request all members from a peer: this instance has just started, or this is a new
    /// connection and most of the listed fleet is no longer heard.
    pub fn needs_all_members(&self, is_first: bool) -> bool {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let listed = || known_members.values().filter(|known| known.unlisted_since.is_none());
        let live = listed().filter(|known| known.heard_within(now, DEAD_AFTER_MS)).count();
        now.ms_since(self.started_at) < STARTUP_MS || (is_first && live * 2 < listed().count())
    }

    /// Merges a heartbeat received directly from its sender.
    pub fn merge_heartbeat(&self, heartbeat: &Heartbeat) {
        self.merge_sender(&heartbeat.sender);
        for member in &heartbeat.members {
            self.merge_member(member, false);
        }
        self.merge_digest(&heartbeat.digest);
    }

    fn merge_sender(&self, sender: &Member) {
        if !sender.is_brief() {
            return self.merge_member(sender, true);
        }
        let now = self.clock.now();
        match self.known.borrow_mut().get_mut(&sender.instance) {
            Some(known) if known.member.incarnation == sender.incarnation => {
                known.update(sender, now);
            }
            _ => self.request_record(Digest::key(&sender.instance, sender.incarnation), now),
        }
    }

    fn merge_member(&self, member: &Member, is_direct: bool) {
        if member.instance == self.local_member.borrow().instance {
            return;
        }
        let now = self.clock.now();
        let mut known_members = self.known.borrow_mut();
        let Some(known) = known_members.get_mut(&member.instance) else {
            known_members.insert(member.instance.clone(), KnownMember::from_record(member, now));
            return;
        };
        if known.member.incarnation == member.incarnation {
            known.update(member, now);
        } else if is_direct || !known.heard_within(now, SUSPECT_AFTER_MS) {
            *known = KnownMember::from_record(member, now);
        }
    }

    fn merge_digest(&self, digest: &Digest) {
        let now = self.clock.now();
        let local_key = self.local_key;
        let mut known_members = self.known.borrow_mut();
        let mut entries: Vec<(u32, Option<&mut KnownMember>)> =
            known_members.values_mut().map(|known| (known.key, Some(known))).collect();
        entries.push((local_key, None));
        entries.sort_by_key(|(key, _)| (Digest::group_of(*key), *key));
        for summary in &digest.summaries {
            let order = (Digest::group_of(summary.key), summary.key);
            match entries.binary_search_by_key(&order, |(key, _)| (Digest::group_of(*key), *key)) {
                Ok(index) => {
                    if let Some(known) = &mut entries[index].1 {
                        known.update_from_summary(summary, now);
                    }
                }
                Err(_) => self.request_record(summary.key, now),
            }
        }
        for (group, hash, counters) in digest.groups() {
            let start = entries.partition_point(|(key, _)| Digest::group_of(*key) < group);
            let end = entries.partition_point(|(key, _)| Digest::group_of(*key) <= group);
            merge_group(&mut entries[start..end], hash, counters, now);
        }
    }

    fn request_record(&self, key: u32, now: Instant) {
        self.unknown_keys.borrow_mut().insert(key, now);
    }

    /// Keys reported by peers that this instance does not know, at most `max`. They are chosen at
    /// random, so that different ones are requested from different peers.
    pub fn wanted_keys(&self, max: usize) -> Vec<u32> {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let mut unknown_keys = self.unknown_keys.borrow_mut();
        unknown_keys.retain(|_, seen| now.ms_since(*seen) < UNKNOWN_KEY_TTL_MS);
        if !unknown_keys.is_empty() {
            unknown_keys.retain(|key, _| !known_members.values().any(|known| known.key == *key));
        }
        let mut keys: Vec<u32> = unknown_keys.keys().copied().collect();
        keys.shuffle(&mut rand::rng());
        keys.truncate(max);
        keys
    }

    /// Full records of recently changed members, in rotation, and of those whose keys the peer
    /// requested.
    pub fn records(&self, wanted: &[u32]) -> Vec<Member> {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let recently_heard =
            || known_members.values().filter(|known| known.heard_within(now, SUSPECT_AFTER_MS));
        let changed: Vec<&KnownMember> =
            recently_heard().filter(|known| known.changed_within(now, CHANGE_SPREAD_MS)).collect();
        let start = self.changed_cursor.get();
        self.changed_cursor.set(start.wrapping_add(MAX_CHANGED_RECORDS));
        let selected = (0..changed.len().min(MAX_CHANGED_RECORDS))
            .map(|i| changed[start.wrapping_add(i) % changed.len()])
            .map(|known| known.member.clone());
        let mut records: Vec<Member> = selected.collect();
        if !wanted.is_empty() {
            let requested = recently_heard().filter(|known| wanted.contains(&known.key));
            records
                .extend(requested.take(Heartbeat::MAX_ENTRIES).map(|known| known.member.clone()));
            if wanted.contains(&self.local_key) {
                records.push(self.local_member());
            }
        }
        records
    }

    /// The next part of the live members. If the peer requested all members, the digest lists their
    /// summaries.
    pub fn digest(&self, send_all: bool) -> Digest {
        let members = self.member_summaries();
        if send_all {
            let summaries = members.into_iter().take(MAX_SUMMARIES).collect();
            return Digest { summaries, ..Digest::default() };
        }
        let round = self.digest_round.get();
        self.digest_round.set(round.wrapping_add(1));
        let group = |number: u8| {
            let in_group = move |member: &&MemberSummary| Digest::group_of(member.key) == number;
            members.iter().filter(in_group)
        };
        // The odd strides cover all groups within 16 messages. The shift after every 16 messages
        // gives a peer different groups from those of the second before.
        let shift = round / 16;
        let first_group = ((round % 16 * 7 + shift % 16 * 5) % 16) as u8;
        let summary_group = ((round % 16 * 5 + shift % 16 * 3) % 16) as u8;
        let mut digest = Digest { first_group, ..Digest::default() };
        for index in 0..GROUPS_PER_MESSAGE {
            let number = (first_group + index) % Digest::GROUPS;
            let counters: Vec<u8> = group(number).map(|member| member.counter).collect();
            let is_full = digest.counters.len() + counters.len() > MAX_COUNTERS;
            let Ok(size) = u8::try_from(counters.len()) else { break };
            if is_full {
                break;
            }
            digest.group_hashes.push(Digest::group_hash(group(number).map(|member| member.key)));
            digest.group_sizes.push(size);
            digest.counters.extend(counters);
        }
        digest.summaries = group(summary_group).take(Heartbeat::MAX_ENTRIES).copied().collect();
        digest
    }

    /// Summaries of the live members and this instance, ordered by key.
    fn member_summaries(&self) -> Vec<MemberSummary> {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let live = known_members.values().filter(|known| known.heard_within(now, DEAD_AFTER_MS));
        let mut members: Vec<MemberSummary> = live.map(KnownMember::summary).collect();
        members.push(MemberSummary {
            key: self.local_key,
            counter: self.current_counter() as u8,
            load_age: 0,
            load: quantize_load(self.local_member.borrow().load_permille),
        });
        members.sort_by_key(|member| member.key);
        members
    }
}

/// Merges a group's counters if the same members of it are live here.
fn merge_group(
    entries: &mut [(u32, Option<&mut KnownMember>)],
    hash: u32,
    counters: &[u8],
    now: Instant,
) {
    let mut live: Vec<&mut (u32, Option<&mut KnownMember>)> = entries
        .iter_mut()
        .filter(|(_, known)| known.as_ref().is_none_or(|k| k.heard_within(now, DEAD_AFTER_MS)))
        .collect();
    let keys = live.iter().map(|(key, _)| *key);
    if live.len() != counters.len() || Digest::group_hash(keys) != hash {
        return;
    }
    for ((_, known), counter) in live.iter_mut().zip(counters) {
        if let Some(known) = known {
            known.update_counter(*counter, now);
        }
    }
}
