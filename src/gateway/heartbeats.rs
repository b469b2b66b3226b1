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
            ..self.heartbeat_to(sender, &[], false)
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
        self.versions.note(&answer.sender.instance, answer.confirmation.version);
        self.configuration.learn_confirmation(answer.confirmation, sent_at);
    }
}

impl Node {
    /// Holders told to an instance that asks for all. There are 172 shards at full size.
    const MAX_HOLDINGS_TO_NEW: usize = 512;

    /// The answer to a peer's heartbeat. The peer knows this instance, since it has its address.
    pub fn answer_heartbeat(&self, asked: &Heartbeat) -> Heartbeat {
        let sender = self.membership.brief_record(self.load_permille());
        self.heartbeat_to(sender, &asked.wanted, asked.wants_all)
    }

    fn heartbeat_to(&self, sender: Member, wanted: &[u32], to_new: bool) -> Heartbeat {
        let holdings = match to_new {
            true => self.leases.known_holdings(Self::MAX_HOLDINGS_TO_NEW),
            false => self.leases.recent_holdings(Heartbeat::MAX_ENTRIES),
        };
        Heartbeat {
            sender,
            members: self.membership.records(wanted),
            digest: self.membership.digest(to_new),
            wanted: Vec::new(),
            wants_all: false,
            holdings,
            confirmation: self.configuration.confirmation(),
            suspect_records: match to_new {
                true => self.suspects.longest_lived(Heartbeat::MAX_ENTRIES),
                false => self.suspects.heartbeat_batch(Heartbeat::MAX_ENTRIES),
            },
        }
    }
}
