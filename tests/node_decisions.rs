//! Tests of an instance's decisions that need no network: load balancing, queueing, rates, replicas
//! and membership.

mod node {
    mod balance;
    mod catalog;
    mod cold_turns;
    mod contention;
    mod contention_fleet;
    mod crashes;
    mod crashing_parts;
    mod endpoint_notices;
    mod event_splitter;
    mod failure_pattern;
    mod follower;
    mod labels;
    mod load_pattern;
    mod members;
    mod memory_account;
    mod memory_pattern;
    mod order_lease;
    mod pace;
    mod peer_pull;
    mod quota;
    mod quota_fleet;
    mod replica;
    mod retry_window;
    mod roles;
    mod rollout_decider;
    mod rollout_fleet;
    mod rollout_verdict;
    mod rollout_versions;
    mod send_count;
    pub mod support;
    mod wait_queue;
}
