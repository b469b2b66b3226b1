//! Tests of single draws: a holder with scripted instances, and an instance with a scripted holder.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use almondroad::budget::{
    Allowances, BudgetError, Budgets, DrawAnswer, DrawClient, DrawError, DrawRequest,
    GRANT_MARGIN_MS, GRANT_TTL_MS, Grant, Refund,
};
use almondroad::clock::{Clock, Instant, TokioClock};
use almondroad::config::Rate;
use almondroad::units::{
    FencingToken, Incarnation, InstanceId, OrganisationId, ShardId, Tokens, TokensPerSecond,
};
use tokio::task::LocalSet;
use tokio::time::{advance, sleep};

const SHARD: ShardId = ShardId::Budget(0);
const HOLDER_RANGE_MS: u64 = 1 << 40;

fn organisation() -> OrganisationId {
    OrganisationId::new("gobabis")
}

fn holder<C: Clock>(clock: C, per_s: u64, burst: u64) -> Budgets<C> {
    let rate = Rate { rate_tokens_per_s: TokensPerSecond(per_s), burst_tokens: Tokens(burst) };
    let budgets = Budgets::new(clock, 1);
    budgets.set_rates(&BTreeMap::from([(organisation(), rate)]));
    budgets
}

/// A holder whose bucket is full.
async fn holder_with_full_bucket(per_s: u64, burst: u64) -> Budgets<TokioClock> {
    let clock = TokioClock::new();
    let budgets = holder(clock, per_s, burst);
    budgets.add_shard(&SHARD, FencingToken(1), clock.now());
    advance(Duration::from_secs(2_000)).await;
    budgets
}

fn draw(instance: &str, sequence: u64, need: u64, spent: u64) -> DrawRequest {
    DrawRequest {
        organisation: organisation(),
        instance: InstanceId::new(instance),
        incarnation: Incarnation(1),
        need_tokens: Tokens(need),
        want_tokens: Tokens(0),
        spent_tokens: Tokens(spent),
        returned_tokens: Tokens(0),
        refunds: Vec::new(),
        sequence,
    }
}

fn granted(budgets: &Budgets<TokioClock>, request: &DrawRequest) -> Grant {
    match budgets.draw(request, Instant::from_ms(u64::MAX)) {
        DrawAnswer::Granted(grant) => grant,
        other => panic!("{other:?}"),
    }
}

/// Guards against a new holder that grants while grants of the old one may still be spent.
#[tokio::test(start_paused = true)]
async fn a_new_holder_waits_for_old_grants() {
    let clock = TokioClock::new();
    let budgets = holder(clock, 1_000, 1_000);
    budgets.add_shard(&SHARD, FencingToken(2), clock.now());
    advance(Duration::from_millis(GRANT_TTL_MS + GRANT_MARGIN_MS)).await;
    assert_eq!(granted(&budgets, &draw("a", 1, 1, 0)).tokens, Tokens(0));
    advance(Duration::from_millis(100)).await;
    assert_eq!(granted(&budgets, &draw("a", 2, 101, 0)).tokens, Tokens(0));
    assert_eq!(granted(&budgets, &draw("a", 3, 100, 0)).tokens, Tokens(100));
}

/// Clock that advances by 10 s at each reading, as if the process had been paused.
#[derive(Clone)]
struct PausingClock(Rc<Cell<u64>>);

impl Clock for PausingClock {
    fn now(&self) -> Instant {
        Instant::from_ms(self.0.replace(self.0.get() + 10_000))
    }
}

/// Guards against a holder that is paused while it answers and sends the answer after its lease has
/// expired.
#[test]
fn a_draw_that_outlasts_the_lease_is_not_granted() {
    let budgets = holder(PausingClock(Rc::default()), 1_000, 100);
    budgets.add_shard(&SHARD, FencingToken(1), Instant::from_ms(0));
    let answer = budgets.draw(&draw("a", 1, 50, 0), Instant::from_ms(25_000));
    assert_eq!(answer, DrawAnswer::NotHolder(None));
}

/// Guards against a holder that grants after its lease has expired, and against a repeated or late
/// draw that is granted twice or restarts the time to live.
#[tokio::test(start_paused = true)]
async fn a_repeated_draw_gets_the_same_tokens() {
    let budgets = holder_with_full_bucket(1, 100).await;
    let ended = Instant::from_ms(0);
    assert_eq!(budgets.draw(&draw("c", 1, 100, 0), ended), DrawAnswer::NotHolder(None));
    let first = granted(&budgets, &draw("a", 1, 60, 0));
    advance(Duration::from_millis(300)).await;
    let again = granted(&budgets, &draw("a", 1, 60, 0));
    assert_eq!(again, Grant { time_to_live_ms: first.time_to_live_ms - 300, ..first });
    assert_eq!(granted(&budgets, &draw("b", 1, 40, 0)).tokens, Tokens(40));
    granted(&budgets, &draw("a", 2, 0, 0));
    assert_eq!(granted(&budgets, &draw("a", 1, 60, 0)).tokens, Tokens(0));
}

/// Guards against spending reports for expired grants, or out of sequence, that release live
/// grants.
#[tokio::test(start_paused = true)]
async fn only_reports_of_live_grants_make_room() {
    for (sequence, advance_ms) in [(3, 2_600), (9, 0)] {
        let budgets = holder_with_full_bucket(1_000, 100).await;
        granted(&budgets, &draw("a", 1, if advance_ms > 0 { 100 } else { 0 }, 0));
        advance(Duration::from_millis(advance_ms)).await;
        assert_eq!(granted(&budgets, &draw("a", 2, 100, 0)).tokens, Tokens(100));
        granted(&budgets, &draw("a", sequence, 0, 100));
        advance(Duration::from_millis(500)).await;
        assert_eq!(granted(&budgets, &draw("b", 1, 1, 0)).tokens, Tokens(0));
    }
}

/// Guards against refunds that name the time of another holder or are credited twice.
#[tokio::test(start_paused = true)]
async fn a_refund_counts_once_and_only_for_grants_of_this_holder() {
    let budgets = holder_with_full_bucket(1, 1_000).await;
    granted(&budgets, &draw("a", 1, 1_000, 0));
    let at = granted(&budgets, &draw("a", 2, 0, 1_000)).granted_at;
    advance(Duration::from_millis(10)).await;
    let refund = |sequence, granted_at| DrawRequest {
        refunds: vec![Refund { granted_at, tokens: Tokens(500) }],
        ..draw("a", sequence, 500, 0)
    };
    let other = [at.as_ms() - HOLDER_RANGE_MS, at.as_ms() + HOLDER_RANGE_MS];
    for (sequence, at_ms) in (3..).zip(other) {
        let answer = granted(&budgets, &refund(sequence, Instant::from_ms(at_ms)));
        assert_eq!(answer.tokens, Tokens(0));
    }
    assert_eq!(granted(&budgets, &refund(5, at)).tokens, Tokens(500));
    assert_eq!(granted(&budgets, &refund(5, at)).tokens, Tokens(500));
    assert_eq!(granted(&budgets, &draw("a", 6, 1, 500)).tokens, Tokens(0));
}

/// Guards against tokens of a handed-over state that are granted twice: by the old holder, or by a
/// later holder that kept a copy.
#[tokio::test(start_paused = true)]
async fn a_handed_over_state_counts_only_for_the_direct_successor() {
    let old = holder_with_full_bucket(1, 1_000).await;
    granted(&old, &draw("a", 1, 400, 0));
    let state = old.export(&SHARD).expect("a held shard");
    old.add_shard(&SHARD, FencingToken(1), Instant::from_ms(0));
    let no_deadline = Instant::from_ms(u64::MAX);
    assert_eq!(old.draw(&draw("a", 2, 1, 0), no_deadline), DrawAnswer::NotHolder(None));
    for (fencing, tokens) in [(2, 600), (3, 0)] {
        let clock = TokioClock::new();
        let next = holder(clock, 1, 1_000);
        next.import(&SHARD, &state).expect("an exported state");
        next.add_shard(&SHARD, FencingToken(fencing), clock.now());
        assert_eq!(granted(&next, &draw("b", 1, 600, 0)).tokens, Tokens(tokens));
        assert_eq!(granted(&next, &draw("c", 1, 100, 0)).tokens, Tokens(0));
    }
}

struct ScriptedInstance(Allowances<TokioClock, ScriptedClient>, TokioClock);

/// Guards against a successor that starts with an empty bucket because the old holder had dropped
/// the full one as idle, and against a shard that grants nothing after its handover was refused.
#[tokio::test(start_paused = true)]
async fn an_idle_bucket_is_full_after_a_handover() {
    let clock = TokioClock::new();
    let next = holder(clock, 1, 1_000);
    let old = holder_with_full_bucket(1, 1_000).await;
    let state = old.export(&SHARD).expect("a held shard");
    next.import(&SHARD, &state).expect("an exported state");
    next.add_shard(&SHARD, FencingToken(2), clock.now());
    assert_eq!(granted(&next, &draw("a", 1, 1_000, 0)).tokens, Tokens(1_000));
    old.cancel_export(&SHARD);
    assert_eq!(granted(&old, &draw("a", 1, 1_000, 0)).tokens, Tokens(1_000));
}

/// Guards against a request that is refused at the end of its queue time although its holder was
/// unreachable, and against one that waits longer than that for a holder that answers.
#[tokio::test(start_paused = true)]
async fn a_missing_holder_is_waited_for_beyond_the_queue_time() {
    for (holder_returns, refusal) in [(true, None), (false, Some(BudgetError::Unreachable))] {
        let client = ScriptedClient::default();
        let ScriptedInstance(allowances, clock) = client.instance();
        let (queue_deadline, holder_deadline) =
            (clock.now().plus_ms(2_000), clock.now().plus_ms(8_000));
        let organisation = organisation();
        let charge = allowances.charge_with_holder_deadline(
            &organisation,
            Tokens(100),
            (queue_deadline, holder_deadline),
        );
        let takeover = async {
            sleep(Duration::from_millis(4_000)).await;
            if holder_returns {
                client.answer(1, 0, 2, 0);
                client.answer(1, 100, 2, 1_500);
            }
        };
        let (charge, ()) =
            LocalSet::new().run_until(async { tokio::join!(charge, takeover) }).await;
        assert_eq!(charge.err(), refusal);
    }
    let client = ScriptedClient::default();
    (0..60).for_each(|i| client.answer(50, 0, 1, i * 50));
    let ScriptedInstance(allowances, clock) = client.instance();
    let deadlines = (clock.now().plus_ms(2_000), clock.now().plus_ms(8_000));
    let organisation = organisation();
    let charge = allowances.charge_with_holder_deadline(&organisation, Tokens(100), deadlines);
    let charge = LocalSet::new().run_until(charge).await;
    assert!(matches!(charge.err(), Some(BudgetError::Exhausted { .. })));
    assert!(clock.now() < deadlines.0.plus_ms(100));
}

/// Answers draws from a list of delays and answers, then fails.
#[derive(Clone, Default)]
struct ScriptedClient {
    answers: Rc<RefCell<VecDeque<(u64, Grant)>>>,
    requests: Rc<RefCell<Vec<DrawRequest>>>,
}

impl ScriptedClient {
    fn answer(&self, delay_ms: u64, tokens: u64, fencing: u64, at_ms: u64) {
        let grant = Grant {
            tokens: Tokens(tokens),
            granted_at: Instant::from_ms(fencing * HOLDER_RANGE_MS + at_ms),
            time_to_live_ms: 2_000,
            retry_after_ms: 0,
        };
        self.answers.borrow_mut().push_back((delay_ms, grant));
    }

    fn instance(&self) -> ScriptedInstance {
        let clock = TokioClock::new();
        let id = InstanceId::new("a");
        ScriptedInstance(Allowances::new(clock, self.clone(), id, Incarnation(1)), clock)
    }
}

impl DrawClient for ScriptedClient {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        self.requests.borrow_mut().push(request.clone());
        let answer = self.answers.borrow_mut().pop_front();
        let (delay_ms, grant) = answer.ok_or(DrawError::Unreachable)?;
        sleep(Duration::from_millis(delay_ms)).await;
        Ok(DrawAnswer::Granted(grant))
    }
}

async fn spend(allowances: &ScriptedInstance, tokens: u64) -> Option<BudgetError> {
    let deadline = allowances.1.now().plus_ms(450);
    let charge = allowances.0.charge(&organisation(), Tokens(tokens), deadline).await;
    charge.map(|charge| charge.settle(Tokens(tokens))).err()
}

/// Guards against a time to live that is measured from the answer instead of from sending the draw.
#[tokio::test(start_paused = true)]
async fn a_grant_ends_by_the_time_its_draw_was_sent() {
    let test = async {
        let client = ScriptedClient::default();
        client.answer(400, 100, 1, 0);
        let allowances = client.instance();
        let clock = allowances.1;
        let start = clock.now();
        assert_eq!(spend(&allowances, 10).await, None);
        sleep(start.plus_ms(1_990).remaining(clock.now())).await;
        assert_eq!(spend(&allowances, 10).await, None);
        sleep(Duration::from_millis(11)).await;
        assert_eq!(spend(&allowances, 10).await, Some(BudgetError::Unreachable));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against tokens granted by one holder that are reported as spent to its successor.
#[tokio::test(start_paused = true)]
async fn spending_is_reported_only_to_the_holder_that_granted() {
    let test = async {
        let client = ScriptedClient::default();
        client.answer(1, 100, 1, 0);
        client.answer(1, 0, 2, 0);
        client.answer(1, 0, 2, 5);
        let allowances = client.instance();
        assert_eq!(spend(&allowances, 10).await, None);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(spend(&allowances, 20).await, None);
        spend(&allowances, 500).await;
        let requests = client.requests.borrow();
        let reported: Vec<_> =
            requests.iter().map(|r| (r.spent_tokens, r.returned_tokens)).collect();
        assert_eq!(reported[1..3], [(Tokens(10), Tokens(0)), (Tokens(0), Tokens(0))]);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a refund that names a time at which the grant had already expired at the holder.
#[tokio::test(start_paused = true)]
async fn a_refund_names_the_grant_if_its_spending_was_reported_late() {
    for (outage_ms, named_ms) in [(0, 9_000), (3_000, 7)] {
        let test = async {
            let client = ScriptedClient::default();
            client.answer(1, 100, 1, 7);
            let ScriptedInstance(allowances, clock) = client.instance();
            let deadline = clock.now().plus_ms(450);
            let charge = allowances.charge(&organisation(), Tokens(100), deadline).await;
            let charge = charge.expect("granted");
            sleep(Duration::from_millis(outage_ms)).await;
            client.answer(1, 0, 1, 9_000);
            client.answer(1, 0, 1, 9_500);
            sleep(Duration::from_millis(400)).await;
            charge.settle(Tokens(40));
            sleep(Duration::from_millis(50)).await;
            let granted_at = Instant::from_ms(HOLDER_RANGE_MS + named_ms);
            let requests = client.requests.borrow();
            let refunds: Vec<_> = requests.iter().flat_map(|r| r.refunds.first()).take(1).collect();
            assert_eq!(refunds, [&Refund { granted_at, tokens: Tokens(60) }]);
        };
        LocalSet::new().run_until(test).await;
    }
}
