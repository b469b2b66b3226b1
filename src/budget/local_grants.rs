use std::collections::VecDeque;

use super::holder_time::HolderTime;
use crate::clock::Instant;
use crate::units::Tokens;

/// Grants that this instance may still spend, ordered by deadline, earliest first.
#[derive(Default)]
pub(super) struct LocalGrants {
    grants: VecDeque<LocalGrant>,
    /// Holder time of the last answer, which identifies the holder that settlements refer to.
    holder: Option<HolderTime>,
}

/// A grant and its unspent tokens.
#[derive(Clone, Copy)]
pub(super) struct LocalGrant {
    pub granted_at: HolderTime,
    pub deadline: Instant,
    pub left: Tokens,
}

const _: () = assert!(LocalGrants::FORCED_RETURN_WITHIN_MS < LocalGrants::RETURN_WITHIN_MS);

impl LocalGrants {
    /// Grants with less time left are returned with the next draw.
    const RETURN_WITHIN_MS: u64 = 500;
    /// Grants with less time left cause a draw that returns them. This must be less than
    /// `RETURN_WITHIN_MS`; otherwise draws that return nothing would be sent in a loop.
    pub const FORCED_RETURN_WITHIN_MS: u64 = 350;

    pub fn left(&self) -> Tokens {
        self.grants.iter().map(|grant| grant.left).sum()
    }

    pub fn add(&mut self, grant: LocalGrant) {
        self.grants.push_back(grant);
    }

    pub fn set_holder(&mut self, at: Option<HolderTime>) {
        self.holder = at;
    }

    /// Whether the grant came from the holder that answered last, or from one that handed its state
    /// over to it.
    pub fn is_current(&self, granted_at: HolderTime) -> bool {
        self.holder.is_some_and(|holder| holder.has_same_start(granted_at))
    }

    /// Drops expired grants and returns the unspent tokens to report to the holder.
    pub fn expire(&mut self, now: Instant) -> Tokens {
        let mut unspent = Tokens(0);
        while let Some(grant) = self.grants.pop_front_if(|grant| grant.deadline <= now) {
            if self.is_current(grant.granted_at) {
                unspent += grant.left;
            }
        }
        unspent
    }

    /// Takes `tokens` if there are enough. The `left` of each returned piece is the number of
    /// tokens taken from that grant.
    pub fn take(&mut self, tokens: Tokens) -> Option<Vec<LocalGrant>> {
        if self.left() < tokens {
            return None;
        }
        let mut rest = tokens;
        let mut pieces = Vec::new();
        for grant in self.grants.iter_mut().filter(|grant| grant.left > Tokens(0)) {
            let left = rest.min(grant.left);
            if left == Tokens(0) {
                break;
            }
            grant.left -= left;
            rest -= left;
            pieces.push(LocalGrant { left, ..*grant });
        }
        Some(pieces)
    }

    /// Puts tokens back into their grant. Returns false if the grant has been dropped.
    pub fn restore(&mut self, granted_at: HolderTime, tokens: Tokens) -> bool {
        let grant = self.grants.iter_mut().find(|grant| grant.granted_at == granted_at);
        grant.map(|grant| grant.left += tokens).is_some()
    }

    /// Removes the tokens to return to the holder: all of them, or those of grants that expire
    /// soon.
    pub fn take_returnable(&mut self, returns_all: bool, now: Instant) -> Tokens {
        let holder = self.holder;
        let mut returned = Tokens(0);
        for grant in &mut self.grants {
            let is_current = holder.is_some_and(|at| at.has_same_start(grant.granted_at));
            let ends_soon = grant.deadline.ms_since(now) < LocalGrants::RETURN_WITHIN_MS;
            if is_current && (returns_all || ends_soon) {
                returned += std::mem::take(&mut grant.left);
            }
        }
        returned
    }

    pub fn first_deadline(&self) -> Option<Instant> {
        self.grants.front().map(|grant| grant.deadline)
    }

    /// Deadline of the first grant with unspent tokens that can be returned.
    pub fn first_returnable_deadline(&self) -> Option<Instant> {
        let is_returnable =
            |grant: &&LocalGrant| grant.left > Tokens(0) && self.is_current(grant.granted_at);
        self.grants.iter().find(is_returnable).map(|grant| grant.deadline)
    }

    pub fn clear(&mut self) {
        self.grants.clear();
    }
}
