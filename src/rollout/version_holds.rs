use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::clock::Instant;

/// Time for which a new version gets nothing unless an order names it. An order may reach an
/// instance later than the first endpoint of its version; orders are to be known within 3 s.
const HOLD_MS: u64 = 3_500;

/// Versions of a service's endpoints that may be used without an order.
#[derive(Clone, Debug, Default)]
pub struct VersionHolds {
    accepted: Vec<SmolStr>,
    held: Vec<(SmolStr, Instant)>,
    /// Versions of orders that have not succeeded. They are held without a time limit.
    rejected: Vec<SmolStr>,
}

impl VersionHolds {
    /// Applies the current number of endpoints of each version. The version of most endpoints is
    /// accepted first, and a version is accepted at once when none that was accepted is left.
    pub fn update(&mut self, endpoints: &BTreeMap<SmolStr, usize>, now: Instant) {
        self.held.retain(|(version, _)| endpoints.contains_key(version));
        let has_accepted = self.accepted.iter().any(|version| endpoints.contains_key(version));
        if !has_accepted {
            let largest = endpoints.iter().rev().max_by_key(|(_, count)| **count);
            let Some((version, _)) = largest else { return };
            self.accept(version.clone());
        }
        for version in endpoints.keys() {
            let is_known = self.accepted.contains(version)
                || self.rejected.contains(version)
                || self.held.iter().any(|(held, _)| held == version);
            if !is_known {
                self.held.push((version.clone(), now.plus_ms(HOLD_MS)));
            }
        }
    }

    /// Accepts versions that have been held for long enough without an order.
    pub fn expire(&mut self, now: Instant) {
        let due = self.held.iter().filter(|(_, until)| *until <= now);
        let due: Vec<SmolStr> = due.map(|(version, _)| version.clone()).collect();
        due.into_iter().for_each(|version| self.accept(version));
    }

    pub fn accept(&mut self, version: SmolStr) {
        self.held.retain(|(held, _)| *held != version);
        self.rejected.retain(|rejected| *rejected != version);
        if !self.accepted.contains(&version) {
            self.accepted.push(version);
        }
    }

    /// Holds a version without a time limit. If it was the only accepted one, which happens when the
    /// endpoints are known before the order, those that wait are accepted instead.
    pub fn reject(&mut self, version: SmolStr) {
        self.held.retain(|(held, _)| *held != version);
        self.accepted.retain(|accepted| *accepted != version);
        if self.accepted.is_empty() {
            let waiting = std::mem::take(&mut self.held);
            self.accepted.extend(waiting.into_iter().map(|(waiting, _)| waiting));
        }
        if !self.rejected.contains(&version) {
            self.rejected.push(version);
        }
    }

    /// Versions that get no requests.
    pub fn held(&self) -> impl Iterator<Item = &SmolStr> {
        self.held.iter().map(|(version, _)| version).chain(&self.rejected)
    }
}
