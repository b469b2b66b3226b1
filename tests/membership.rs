//! Liveness spread by digests in a fleet of 370 instances.

mod support {
    pub mod membership_sim;
}

use almondroad::units::Incarnation;
use support::membership_sim::Fleet;

const SIZE: usize = 370;
const FIRST_RUN: Incarnation = Incarnation(1);
/// Seconds after which a member that is not heard is dead.
const DEAD_AFTER_S: usize = 5;
/// Seconds within which a change reaches all members.
const MAX_SPREAD_S: usize = 3;

async fn started() -> Fleet {
    let mut fleet = Fleet::listed(SIZE);
    for _ in 0..MAX_SPREAD_S {
        fleet.run_second().await;
    }
    fleet
}

/// Guards against digests that reach an instance too rarely, so that live members count as dead.
#[tokio::test(start_paused = true)]
async fn live_members_stay_live_everywhere() {
    let mut fleet = started().await;
    for second in 0..20 {
        fleet.run_second().await;
        let seen: usize = (0..SIZE).map(|number| fleet.live_view_count(number, FIRST_RUN)).sum();
        assert_eq!(seen, SIZE * (SIZE - 1), "in second {second}");
    }
}

/// Guards against liveness information that circulates after its member has died, and against dead
/// members that make the digests of others unreadable.
#[tokio::test(start_paused = true)]
async fn dead_members_are_noticed_everywhere() {
    let mut fleet = started().await;
    let dead: Vec<usize> = (0..SIZE).step_by(16).collect();
    dead.iter().for_each(|number| fleet.kill(*number));
    for second in 1..=20 {
        fleet.run_second().await;
        let seen: usize = dead.iter().map(|number| fleet.live_view_count(*number, FIRST_RUN)).sum();
        if second >= DEAD_AFTER_S + MAX_SPREAD_S {
            assert_eq!(seen, 0, "in second {second}");
        }
        let live = SIZE - dead.len();
        let alive = (0..SIZE).filter(|number| !dead.contains(number));
        let seen: usize = alive.map(|number| fleet.live_view_count(number, FIRST_RUN)).sum();
        assert_eq!(seen, live * (live - 1), "in second {second}");
    }
}

/// Guards against a new incarnation that is mistaken for the previous one or that spreads too
/// slowly.
#[tokio::test(start_paused = true)]
async fn a_restarted_instance_is_known_as_its_new_run() {
    let mut fleet = started().await;
    let second_run = Incarnation(2);
    fleet.kill(7);
    for _ in 0..DEAD_AFTER_S {
        fleet.run_second().await;
    }
    fleet.start(7, second_run, 300);
    for second in 1..=10 {
        fleet.run_second().await;
        if second >= MAX_SPREAD_S {
            assert_eq!(fleet.live_view_count(7, second_run), SIZE - 1, "in second {second}");
            assert_eq!(fleet.live_view_count(7, FIRST_RUN), 0, "in second {second}");
        }
    }
    let view = fleet.views[7].as_ref().unwrap();
    assert_eq!(view.live_peers().len(), SIZE - 1);
}
