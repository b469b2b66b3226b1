use crate::clock::Instant;
use crate::gateway::Node;
use crate::peer::{Heartbeat, HeartbeatSource};

impl HeartbeatSource for Node {
    fn next_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sender: self.membership.next_heartbeat_member(self.load_permille()),
            members: self.membership.gossip(Heartbeat::MAX_ENTRIES),
            holdings: self.leases.recent_holdings(Heartbeat::MAX_ENTRIES),
            confirmation: self.configuration.confirmation(),
            suspicions: self.suspects.recent(Heartbeat::MAX_ENTRIES),
        }
    }

    fn hear(&self, answer: &Heartbeat, sent_at: Instant) {
        self.membership.hear(answer);
        for holding in &answer.holdings {
            self.leases.learn(holding.clone());
        }
        for suspicion in &answer.suspicions {
            self.suspects.learn(*suspicion);
        }
        self.versions.note(&answer.sender.instance, answer.confirmation.version);
        self.configuration.learn_confirmation(answer.confirmation, sent_at);
    }
}
