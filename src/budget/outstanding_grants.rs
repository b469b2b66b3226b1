use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::draw::DrawRequest;
use super::holder_time::HolderTime;
use crate::units::{Incarnation, InstanceId, Tokens};

/// An instance and its incarnation.
pub(super) type InstanceRun = (InstanceId, Incarnation);

/// How the sequence number of a draw relates to the last answered draw of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrawOrder {
    /// The number after the last answered draw, so its settlement refers to grants of this holder.
    Next,
    /// No earlier draw is known or numbers are missing, so its settlement may refer to grants of
    /// another holder.
    NoPredecessor,
    Repeated,
    Stale,
}

/// Unexpired and unsettled grants of all instances for one organisation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct OutstandingGrants {
    total: Tokens,
    #[serde(with = "pairs")]
    accounts: BTreeMap<InstanceRun, Account>,
    expiries: VecDeque<(HolderTime, InstanceRun)>,
    /// Grants that no settlement refers to any more. They are removed only when they expire.
    unnamed: Vec<(HolderTime, Tokens)>,
    /// Time at which an idle account was last dropped.
    forgotten_at: Option<HolderTime>,
}

/// Grants and last answer of one run (incarnation) of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Account {
    pub sequence: u64,
    pub granted_at: HolderTime,
    pub tokens: Tokens,
    pub retry_after_ms: u64,
    grants: VecDeque<(HolderTime, Tokens)>,
    /// Unsettled tokens of expired grants. A settlement is deducted from these first; otherwise a
    /// late settlement would reduce live grants.
    expired: Tokens,
}

impl OutstandingGrants {
    /// Idle accounts are kept for this time, so that refunds of long requests are accepted.
    const ACCOUNT_IDLE_MS: u64 = 120_000;

    pub fn total(&self) -> Tokens {
        self.total
    }

    pub fn account(&self, instance_run: &InstanceRun) -> Option<&Account> {
        self.accounts.get(instance_run)
    }

    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.unnamed.is_empty()
    }

    pub fn draw_order(&self, instance_run: &InstanceRun, sequence: u64) -> DrawOrder {
        match self.accounts.get(instance_run).map(|account| account.sequence) {
            None => DrawOrder::NoPredecessor,
            Some(last) if sequence == last => DrawOrder::Repeated,
            Some(last) if sequence < last => DrawOrder::Stale,
            Some(last) if sequence == last + 1 => DrawOrder::Next,
            Some(_) => DrawOrder::NoPredecessor,
        }
    }

    /// Whether a refund for a grant of that time is certain not to have been credited before. Once
    /// an account is dropped, repeated draws can no longer be detected.
    pub fn accepts_refund(&self, instance_run: &InstanceRun, granted_at: HolderTime) -> bool {
        self.accounts.contains_key(instance_run)
            || self.forgotten_at.is_none_or(|at| granted_at > at)
    }

    pub fn add_unnamed(&mut self, deadline: HolderTime, tokens: Tokens) {
        self.unnamed.push((deadline, tokens));
        self.total += tokens;
    }

    /// Settles reported tokens, oldest grants first. Returns the tokens to credit to the level.
    pub fn settle(
        &mut self,
        instance_run: &InstanceRun,
        spent: Tokens,
        returned: Tokens,
    ) -> Tokens {
        let Some(account) = self.accounts.get_mut(instance_run) else { return Tokens(0) };
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

    /// Adds a new grant to the account of its instance. A draw without a known predecessor starts a
    /// new account; the grants of the old one remain outstanding until they expire.
    pub fn record_grant(
        &mut self,
        request: &DrawRequest,
        order: DrawOrder,
        latest: Account,
        end: HolderTime,
    ) {
        let instance_run = (request.instance.clone(), request.incarnation);
        if order == DrawOrder::NoPredecessor {
            self.drop_account(&instance_run);
        }
        let account = self.accounts.entry(instance_run.clone()).or_insert_with(|| latest.clone());
        account.sequence = latest.sequence;
        account.granted_at = latest.granted_at;
        account.tokens = latest.tokens;
        account.retry_after_ms = latest.retry_after_ms;
        if latest.tokens > Tokens(0) {
            account.grants.push_back((end, latest.tokens));
            self.expiries.push_back((end, instance_run));
            self.total += latest.tokens;
        }
    }

    fn drop_account(&mut self, instance_run: &InstanceRun) {
        if let Some(account) = self.accounts.remove(instance_run) {
            self.unnamed.extend(account.grants);
        }
    }

    pub fn next_expiry(&self) -> Option<HolderTime> {
        let unnamed = self.unnamed.iter().map(|(deadline, _)| *deadline);
        self.expiries.front().map(|(deadline, _)| *deadline).into_iter().chain(unnamed).min()
    }

    pub fn expire(&mut self, now: HolderTime) {
        while let Some((_, instance_run)) =
            self.expiries.pop_front_if(|(deadline, _)| *deadline <= now)
        {
            let Some(account) = self.accounts.get_mut(&instance_run) else { continue };
            while let Some((_, tokens)) = account.grants.pop_front_if(|(end, _)| *end <= now) {
                account.expired += tokens;
                self.total -= tokens;
            }
        }
        for (_, tokens) in self.unnamed.extract_if(.., |(deadline, _)| *deadline <= now) {
            self.total -= tokens;
        }
    }

    pub fn drop_idle_accounts(&mut self, now: HolderTime) {
        let before = self.accounts.len();
        self.accounts.retain(|_, account| {
            !account.grants.is_empty()
                || now.ms_since(account.granted_at) < OutstandingGrants::ACCOUNT_IDLE_MS
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

/// Serialises the accounts as a list of pairs, because JSON map keys must be strings.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Account, InstanceRun};

    pub fn serialize<S: Serializer>(
        accounts: &BTreeMap<InstanceRun, Account>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(accounts)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<InstanceRun, Account>, D::Error> {
        Ok(Vec::<(InstanceRun, Account)>::deserialize(deserializer)?.into_iter().collect())
    }
}
