use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::draw::DrawRequest;
use super::holder_time::HolderTime;
use crate::units::{Incarnation, InstanceId, Tokens};

pub(super) type Drawer = (InstanceId, Incarnation);

/// Place of a draw in its instance's sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// Follows the last answered draw, so its settlement refers to grants of this holder.
    Next,
    /// No predecessor is known. Its settlement may refer to another holder's grants.
    First,
    Repeated,
    Stale,
}

/// Grants that instances may still spend.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Outstanding {
    total: Tokens,
    #[serde(with = "pairs")]
    accounts: BTreeMap<Drawer, Account>,
    expiries: VecDeque<(HolderTime, Drawer)>,
    /// Grants that no settlement will name any more.
    unnamed: Vec<(HolderTime, Tokens)>,
    /// Latest time at which an idle account was dropped.
    forgotten_at: Option<HolderTime>,
}

/// Grants of one run of an instance and its last answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Account {
    pub sequence: u64,
    pub granted_at: HolderTime,
    pub tokens: Tokens,
    pub retry_after_ms: u64,
    grants: VecDeque<(HolderTime, Tokens)>,
    /// Left over from grants past their deadline, and not yet named by a settlement. A settlement
    /// takes from these first; otherwise one that is late would reduce grants that are live.
    expired: Tokens,
}

impl Outstanding {
    /// An idle account is kept this long, so that refunds of long requests are recognised.
    const ACCOUNT_IDLE_MS: u64 = 120_000;

    pub fn total(&self) -> Tokens {
        self.total
    }

    pub fn account(&self, drawer: &Drawer) -> Option<&Account> {
        self.accounts.get(drawer)
    }

    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.unnamed.is_empty()
    }

    pub fn place(&self, drawer: &Drawer, sequence: u64) -> Place {
        match self.accounts.get(drawer).map(|account| account.sequence) {
            None => Place::First,
            Some(last) if sequence == last => Place::Repeated,
            Some(last) if sequence < last => Place::Stale,
            Some(last) if sequence == last + 1 => Place::Next,
            Some(_) => Place::First,
        }
    }

    /// Whether a refund for a grant of that time cannot have been counted before. A dropped
    /// account no longer recognises a repeated draw.
    pub fn recognises(&self, drawer: &Drawer, granted_at: HolderTime) -> bool {
        self.accounts.contains_key(drawer) || self.forgotten_at.is_none_or(|at| granted_at > at)
    }

    pub fn add_unnamed(&mut self, deadline: HolderTime, tokens: Tokens) {
        self.unnamed.push((deadline, tokens));
        self.total += tokens;
    }

    /// Settles reported tokens, oldest grants first. Returns the tokens that go back to the level.
    pub fn settle(&mut self, drawer: &Drawer, spent: Tokens, returned: Tokens) -> Tokens {
        let Some(account) = self.accounts.get_mut(drawer) else { return Tokens(0) };
        let reported = spent + returned;
        let late = reported.min(account.expired);
        account.expired -= late;
        let mut rest = reported - late;
        let mut settled = Tokens(0);
        while rest > Tokens(0) {
            let Some((_, tokens)) = account.grants.front_mut() else { break };
            let part = rest.min(*tokens);
            *tokens -= part;
            rest -= part;
            settled += part;
            if *tokens == Tokens(0) {
                account.grants.pop_front();
            }
        }
        self.total -= settled;
        settled.min(returned)
    }

    /// Takes a grant that nobody named as settled into the account of its drawer.
    pub fn grant(&mut self, request: &DrawRequest, place: Place, given: Account, end: HolderTime) {
        let drawer = (request.instance.clone(), request.incarnation);
        if place == Place::First {
            self.drop_account(&drawer);
        }
        let account = self.accounts.entry(drawer.clone()).or_insert_with(|| given.clone());
        account.sequence = given.sequence;
        account.granted_at = given.granted_at;
        account.tokens = given.tokens;
        account.retry_after_ms = given.retry_after_ms;
        if given.tokens > Tokens(0) {
            account.grants.push_back((end, given.tokens));
            self.expiries.push_back((end, drawer));
            self.total += given.tokens;
        }
    }

    fn drop_account(&mut self, drawer: &Drawer) {
        if let Some(account) = self.accounts.remove(drawer) {
            self.unnamed.extend(account.grants);
        }
    }

    pub fn next_expiry(&self) -> Option<HolderTime> {
        let unnamed = self.unnamed.iter().map(|(deadline, _)| *deadline);
        self.expiries.front().map(|(deadline, _)| *deadline).into_iter().chain(unnamed).min()
    }

    pub fn expire(&mut self, now: HolderTime) {
        while let Some((_, drawer)) = self.expiries.pop_front_if(|(deadline, _)| *deadline <= now) {
            let Some(account) = self.accounts.get_mut(&drawer) else { continue };
            while let Some((_, tokens)) = account.grants.pop_front_if(|(end, _)| *end <= now) {
                account.expired += tokens;
                self.total -= tokens;
            }
        }
        for (_, tokens) in self.unnamed.extract_if(.., |(deadline, _)| *deadline <= now) {
            self.total -= tokens;
        }
    }

    pub fn forget_idle(&mut self, now: HolderTime) {
        let before = self.accounts.len();
        self.accounts.retain(|_, account| {
            !account.grants.is_empty()
                || now.ms_since(account.granted_at) < Outstanding::ACCOUNT_IDLE_MS
        });
        if self.accounts.len() < before {
            self.forgotten_at = Some(now);
        }
    }
}

impl Account {
    pub fn new(sequence: u64, at: HolderTime, tokens: Tokens, retry_after_ms: u64) -> Account {
        let grants = VecDeque::new();
        Account { sequence, granted_at: at, tokens, retry_after_ms, grants, expired: Tokens(0) }
    }
}

/// JSON has no maps with structured keys.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Account, Drawer};

    pub fn serialize<S: Serializer>(
        accounts: &BTreeMap<Drawer, Account>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(accounts)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Drawer, Account>, D::Error> {
        Ok(Vec::<(Drawer, Account)>::deserialize(deserializer)?.into_iter().collect())
    }
}
