//! What a heartbeat tells about members, and what is learnt from it.

use rand::seq::SliceRandom;

use crate::clock::{Clock, Instant};
use crate::peer::known::{Known, load_part};
use crate::peer::membership::{DEAD_AFTER_MS, SUSPECT_AFTER_MS};
use crate::peer::{Digest, Heartbeat, Member, MemberSummary, Membership};

/// Peers are told of a new run or a leaving member for this long: 64 messages of a large fleet.
const NEWS_MS: u64 = 4_000;
/// Records of changed members in each message.
const MAX_NEWS: usize = 2;
/// Groups of counters in each message. With half the groups in each of sixteen messages a second,
/// the fleet hears of each member eight times a second.
const GROUPS_PER_MESSAGE: u8 = 8;
/// Counters in each message, so that a message's size does not grow with the fleet. Above twice
/// this number of members, a message carries fewer groups.
const MAX_COUNTERS: usize = 256;
/// Members named when the peer asked for all of them.
const MAX_NAMED_TO_NEW: usize = 1024;
/// An instance asks its peers for all members in its first seconds.
const NEW_MS: u64 = 3_000;
/// An unknown key that was not seen again for this long is no longer asked for.
const UNKNOWN_MS: u64 = 3_000;

impl<C: Clock> Membership<C> {
    /// This instance with its addresses, for peers that may not know it.
    pub fn full_record(&self, load_permille: u32) -> Member {
        let mut own = self.local_member.borrow_mut();
        own.heartbeat_counter = self.counter();
        own.load_permille = load_permille;
        own.clone()
    }

    /// This instance without what does not change during a run.
    pub fn brief_record(&self, load_permille: u32) -> Member {
        self.full_record(load_permille).brief()
    }

    /// Whether to ask a peer for all members: this instance has just started or, on a new
    /// connection, has lost sight of most of the listed fleet.
    pub fn needs_all_members(&self, is_first: bool) -> bool {
        let now = self.clock.now();
        let all = self.known.borrow();
        let listed = || all.values().filter(|known| known.unlisted_since.is_none());
        let live = listed().filter(|known| known.heard_within(now, DEAD_AFTER_MS)).count();
        now.ms_since(self.started_at) < NEW_MS || (is_first && live * 2 < listed().count())
    }

    /// Takes in a heartbeat that its sender sent directly.
    pub fn merge_heartbeat(&self, heartbeat: &Heartbeat) {
        self.hear_sender(&heartbeat.sender);
        for member in &heartbeat.members {
            self.hear_member(member, false);
        }
        self.hear_digest(&heartbeat.digest);
    }

    fn hear_sender(&self, sender: &Member) {
        if !sender.is_brief() {
            return self.hear_member(sender, true);
        }
        let now = self.clock.now();
        match self.known.borrow_mut().get_mut(&sender.instance) {
            Some(known) if known.member.incarnation == sender.incarnation => {
                known.update(sender, now);
            }
            _ => self.want(Digest::key(&sender.instance, sender.incarnation), now),
        }
    }

    fn hear_member(&self, member: &Member, is_direct: bool) {
        if member.instance == self.local_member.borrow().instance {
            return;
        }
        let now = self.clock.now();
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(&member.instance) else {
            all.insert(member.instance.clone(), Known::heard(member, now));
            return;
        };
        if known.member.incarnation == member.incarnation {
            known.update(member, now);
        } else if is_direct || !known.heard_within(now, SUSPECT_AFTER_MS) {
            *known = Known::heard(member, now);
        }
    }

    fn hear_digest(&self, digest: &Digest) {
        let now = self.clock.now();
        let local_key = self.local_key;
        let mut all = self.known.borrow_mut();
        let mut entries: Vec<(u32, Option<&mut Known>)> =
            all.values_mut().map(|known| (known.key, Some(known))).collect();
        entries.push((local_key, None));
        entries.sort_by_key(|(key, _)| (Digest::group_of(*key), *key));
        for named in &digest.summaries {
            let order = (Digest::group_of(named.key), named.key);
            match entries.binary_search_by_key(&order, |(key, _)| (Digest::group_of(*key), *key)) {
                Ok(index) => {
                    if let Some(known) = &mut entries[index].1 {
                        known.note_named(named, now);
                    }
                }
                Err(_) => self.want(named.key, now),
            }
        }
        for (group, hash, counters) in digest.groups() {
            let start = entries.partition_point(|(key, _)| Digest::group_of(*key) < group);
            let end = entries.partition_point(|(key, _)| Digest::group_of(*key) <= group);
            read_group(&mut entries[start..end], hash, counters, now);
        }
    }

    fn want(&self, key: u32, now: Instant) {
        self.unknown.borrow_mut().insert(key, now);
    }

    /// Keys that peers named and this instance does not know, at most `max`, chosen at random so
    /// that several peers are asked for different ones.
    pub fn wanted_keys(&self, max: usize) -> Vec<u32> {
        let now = self.clock.now();
        let all = self.known.borrow();
        let mut unknown = self.unknown.borrow_mut();
        unknown.retain(|_, seen| now.ms_since(*seen) < UNKNOWN_MS);
        if !unknown.is_empty() {
            unknown.retain(|key, _| !all.values().any(|known| known.key == *key));
        }
        let mut keys: Vec<u32> = unknown.keys().copied().collect();
        keys.shuffle(&mut rand::rng());
        keys.truncate(max);
        keys
    }

    /// Full records of members that changed lately, in turn, and of those whose keys the peer
    /// asked for.
    pub fn records(&self, wanted: &[u32]) -> Vec<Member> {
        let now = self.clock.now();
        let all = self.known.borrow();
        let fresh = || all.values().filter(|known| known.heard_within(now, SUSPECT_AFTER_MS));
        let news: Vec<&Known> =
            fresh().filter(|known| known.changed_within(now, NEWS_MS)).collect();
        let start = self.news_cursor.get();
        self.news_cursor.set(start.wrapping_add(MAX_NEWS));
        let told = (0..news.len().min(MAX_NEWS))
            .map(|i| news[start.wrapping_add(i) % news.len()])
            .map(|known| known.member.clone());
        let mut records: Vec<Member> = told.collect();
        if !wanted.is_empty() {
            let asked = fresh().filter(|known| wanted.contains(&known.key));
            records.extend(asked.take(Heartbeat::MAX_ENTRIES).map(|known| known.member.clone()));
            if wanted.contains(&self.local_key) {
                records.push(self.local_member());
            }
        }
        records
    }

    /// The next part of the live members. A peer that asks for all of them gets them by name.
    pub fn digest(&self, to_new: bool) -> Digest {
        let members = self.named_members();
        if to_new {
            let summaries = members.into_iter().take(MAX_NAMED_TO_NEW).collect();
            return Digest { summaries, ..Digest::default() };
        }
        let round = self.digest_round.get();
        self.digest_round.set(round.wrapping_add(1));
        let group = |number: u8| {
            let of_group = move |member: &&MemberSummary| Digest::group_of(member.key) == number;
            members.iter().filter(of_group)
        };
        // The odd strides reach all groups within sixteen messages, and the shift after each
        // sixteen gives a peer other groups than it got a second ago.
        let shift = round / 16;
        let first_group = ((round % 16 * 7 + shift % 16 * 5) % 16) as u8;
        let named_group = ((round % 16 * 5 + shift % 16 * 3) % 16) as u8;
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
        digest.summaries = group(named_group).take(Heartbeat::MAX_ENTRIES).copied().collect();
        digest
    }

    /// The live members and this instance, in the order of keys.
    fn named_members(&self) -> Vec<MemberSummary> {
        let now = self.clock.now();
        let all = self.known.borrow();
        let live = all.values().filter(|known| known.heard_within(now, DEAD_AFTER_MS));
        let mut members: Vec<MemberSummary> = live.map(Known::named).collect();
        members.push(MemberSummary {
            key: self.local_key,
            counter: self.counter() as u8,
            load_age: 0,
            load: load_part(self.local_member.borrow().load_permille),
        });
        members.sort_by_key(|member| member.key);
        members
    }
}

/// Reads a group's counters if the live members of it are the same here.
fn read_group(entries: &mut [(u32, Option<&mut Known>)], hash: u32, counters: &[u8], now: Instant) {
    let mut live: Vec<&mut (u32, Option<&mut Known>)> = entries
        .iter_mut()
        .filter(|(_, known)| known.as_ref().is_none_or(|k| k.heard_within(now, DEAD_AFTER_MS)))
        .collect();
    let keys = live.iter().map(|(key, _)| *key);
    if live.len() != counters.len() || Digest::group_hash(keys) != hash {
        return;
    }
    for ((_, known), counter) in live.iter_mut().zip(counters) {
        if let Some(known) = known {
            known.note_counter(*counter, now);
        }
    }
}
