//! Roll-outs: moves a service's traffic to endpoints of a new version while a bad version gets only
//! a small part of it. One instance at a time decides on the next step; the steps lie in the store
//! and only ever increase. Every instance keeps its own part of the allowance, counts the answers of
//! both versions and reports them to its peers. Answers the load of several dozen instances, each of
//! which alone sees too few answers to judge a version. No module here uses the network.

mod answer_counts;
mod exposure;
mod planner;
mod report;
mod rollouts;
mod service_rollout;
mod settings;
mod state;
mod verdict;
mod version_holds;

pub use answer_counts::{AnswerCounts, AnswerKind, StepCounts, VersionCounts};
pub use exposure::{Exposure, slack_part};
pub use planner::{PlanInput, next_state};
pub use report::RolloutReport;
pub use rollouts::{Rollouts, VersionChoice};
pub use service_rollout::{Rollout, RolloutOrder};
pub use settings::RolloutSettings;
pub use state::{RolloutPhase, RolloutState};
pub use verdict::{Judgement, Verdict, judge};
pub use version_holds::VersionHolds;
