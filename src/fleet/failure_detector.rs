use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::seq::{IndexedRandom, SliceRandom};

use crate::clock::Instant;
use crate::fleet::rumour_queue::RumourQueue;
use crate::fleet::{Liveness, Members, Rumour};

/// Time for which a datagram from an instance itself refutes what others say of it.
const DIRECT_EVIDENCE_MS: u64 = 400;
/// Instances that are asked to probe one that has not answered.
const INDIRECT_PROBES: usize = 3;

/// Changes in the view of the fleet that rumours have caused.
#[derive(Debug, Default)]
pub struct RumourEffects {
    pub lost: Vec<Ipv4Addr>,
    /// Instances that had been declared lost and have refuted that.
    pub revived: Vec<Ipv4Addr>,
    /// This instance had been declared lost.
    pub has_refuted: bool,
}

impl RumourEffects {
    /// Whether others should learn of them at once.
    pub fn is_any(&self) -> bool {
        self.has_refuted || !self.lost.is_empty() || !self.revived.is_empty()
    }
}

/// Detects lost instances in a time that does not grow with the fleet, in the manner of SWIM: each
/// instance probes others in turn, directly and through others. A loss spreads as a rumour, which
/// the instance that it is about refutes if it hears of it.
#[derive(Debug)]
pub struct FailureDetector {
    own_address: Ipv4Addr,
    own_run: u64,
    /// Number of rumours about this run that have been refuted.
    own_refutation: u32,
    rumours: RumourQueue,
    /// Newest rumour about each instance.
    known: HashMap<Ipv4Addr, Rumour>,
    /// Instances that are still to be probed in this turn.
    turn: Vec<Ipv4Addr>,
}

impl FailureDetector {
    pub fn new(own_address: Ipv4Addr, own_run: u64) -> FailureDetector {
        FailureDetector {
            own_address,
            own_run,
            own_refutation: 0,
            rumours: RumourQueue::default(),
            known: HashMap::new(),
            turn: Vec::new(),
        }
    }

    /// Returns the next instance to probe. Each is probed once in a turn, in random order.
    pub fn next_target(&mut self, members: &Members) -> Option<Ipv4Addr> {
        if self.turn.is_empty() {
            self.turn = members.live().map(|(address, _)| *address).collect();
            self.turn.shuffle(&mut rand::rng());
        }
        while let Some(target) = self.turn.pop() {
            if members.is_live(target) {
                return Some(target);
            }
        }
        None
    }

    /// Returns instances that can probe `target` for this one.
    pub fn helpers(&self, target: Ipv4Addr, members: &Members) -> Vec<Ipv4Addr> {
        let live = members.live().map(|(address, _)| *address);
        let others: Vec<Ipv4Addr> = live.filter(|other| *other != target).collect();
        others.choose_multiple(&mut rand::rng(), INDIRECT_PROBES).copied().collect()
    }

    /// Rumours for the next datagram.
    pub fn take_rumours(&mut self, now: Instant) -> Vec<Rumour> {
        self.rumours.take(now)
    }

    /// Records that an instance has answered no probe, and begins to tell others. Returns false if
    /// it is not live in any case.
    pub fn declare_lost(&mut self, subject: Ipv4Addr, members: &Members, now: Instant) -> bool {
        let Some(run) = members.live_run(subject) else { return false };
        let refutation = self.refutation(subject, run);
        let rumour = Rumour { subject, run, refutation, liveness: Liveness::Lost };
        self.pass_on(rumour, members, now);
        true
    }

    /// Tells an instance from which a datagram has arrived that it is held to be lost, so that it can
    /// refute that.
    pub fn accuse(&mut self, address: Ipv4Addr, members: &Members, now: Instant) {
        if let Some(known) = self.known.get(&address)
            && known.liveness == Liveness::Lost
            && !members.is_live(address)
        {
            self.rumours.add(*known, members.live_count(), now);
        }
    }

    /// Applies what others say of instances.
    pub fn apply(&mut self, rumours: &[Rumour], members: &Members, now: Instant) -> RumourEffects {
        let mut effects = RumourEffects::default();
        for rumour in rumours {
            let subject = rumour.subject;
            if subject == self.own_address {
                effects.has_refuted |= self.refute(rumour, members, now);
                continue;
            }
            if members.run(subject) != Some(rumour.run) || !self.is_newer(rumour) {
                continue;
            }
            match rumour.liveness {
                Liveness::Alive => {
                    if !members.is_live(subject) {
                        effects.revived.push(subject);
                    }
                }
                Liveness::Lost => {
                    let is_heard = members.was_heard_within(subject, DIRECT_EVIDENCE_MS, now);
                    if is_heard || !members.is_live(subject) {
                        continue;
                    }
                    effects.lost.push(subject);
                }
            }
            self.pass_on(*rumour, members, now);
        }
        effects
    }

    fn is_newer(&self, rumour: &Rumour) -> bool {
        let known = self.known.get(&rumour.subject).filter(|known| known.run == rumour.run);
        known.is_none_or(|known| {
            (rumour.refutation, rumour.liveness) > (known.refutation, known.liveness)
        })
    }

    fn pass_on(&mut self, rumour: Rumour, members: &Members, now: Instant) {
        self.known.insert(rumour.subject, rumour);
        self.known.retain(|subject, _| members.run(*subject).is_some());
        self.rumours.add(rumour, members.live_count(), now);
    }

    /// Refutes that this instance is lost. Returns whether that was said of it and is not refuted yet.
    fn refute(&mut self, rumour: &Rumour, members: &Members, now: Instant) -> bool {
        let is_accused = rumour.liveness == Liveness::Lost && rumour.run == self.own_run;
        if !is_accused || rumour.refutation < self.own_refutation {
            return false;
        }
        self.own_refutation = rumour.refutation + 1;
        let refuted = Rumour {
            subject: self.own_address,
            run: self.own_run,
            refutation: self.own_refutation,
            liveness: Liveness::Alive,
        };
        self.rumours.add(refuted, members.live_count(), now);
        true
    }

    fn refutation(&self, address: Ipv4Addr, run: u64) -> u32 {
        let known = self.known.get(&address).filter(|known| known.run == run);
        known.map_or(0, |known| known.refutation)
    }
}
