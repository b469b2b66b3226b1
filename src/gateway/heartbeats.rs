//! Builds and processes the heartbeats of this instance.

use crate::clock::Instant;
use crate::gateway::Node;
use crate::peer::{Heartbeat, HeartbeatSource, Member};

impl HeartbeatSource for Node {
    fn next_heartbeat(&self, is_first: bool) -> Heartbeat {
        let load_permille = self.load_permille();
        let sender = match is_first {
            true => self.membership.full_record(load_permille),
            false => self.membership.brief_record(load_permille),
        };
        Heartbeat {
            wanted: self.membership.wanted_keys(Heartbeat::MAX_ENTRIES),
            wants_all: self.membership.needs_all_members(is_first),
            ..self.build_heartbeat(sender, &[], false)
        }
    }

    fn receive_heartbeat(&self, answer: &Heartbeat, sent_at: Instant) {
        self.membership.merge_heartbeat(answer);
        for holding in &answer.holdings {
            self.leases.record_holding(holding.clone());
        }
        for suspicion in &answer.suspect_records {
            self.suspects.merge(*suspicion);
        }
        self.versions.record(&answer.sender.instance, answer.confirmation.version);
        self.configuration.learn_confirmation(answer.confirmation, sent_at);
    }
}

impl Node {
    /// Maximum holdings sent to an instance that asks for all. A full-size deployment has 172
    /// shards.
    const MAX_HOLDINGS_FOR_NEW_INSTANCE: usize = 512;

    /// Builds the response to a peer's heartbeat. A brief record is enough, since the peer has this
    /// instance's address.
    pub fn answer_heartbeat(&self, received: &Heartbeat) -> Heartbeat {
        let sender = self.membership.brief_record(self.load_permille());
        self.build_heartbeat(sender, &received.wanted, received.wants_all)
    }

    fn build_heartbeat(&self, sender: Member, wanted: &[u32], to_new_instance: bool) -> Heartbeat {
        let holdings = match to_new_instance {
            true => self.leases.known_holdings(Self::MAX_HOLDINGS_FOR_NEW_INSTANCE),
            false => self.leases.recent_holdings(Heartbeat::MAX_ENTRIES),
        };
        Heartbeat {
            sender,
            members: self.membership.records(wanted),
            digest: self.membership.digest(to_new_instance),
            wanted: Vec::new(),
            wants_all: false,
            holdings,
            confirmation: self.configuration.confirmation(),
            suspect_records: match to_new_instance {
                true => self.suspects.longest_lived(Heartbeat::MAX_ENTRIES),
                false => self.suspects.heartbeat_batch(Heartbeat::MAX_ENTRIES),
            },
        }
    }
}
