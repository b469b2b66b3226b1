use std::collections::VecDeque;
use std::rc::Rc;

use super::demand::Demand;
use super::draw::{DrawAnswer, DrawRequest, Grant, Refund};
use super::holder_time::HolderTime;
use super::local_grants::{LocalGrant, LocalGrants};
use super::organisation_allowance::Waiter;
use super::spend_report::{ChargePortion, ReportState, SpendReport};
use crate::clock::Instant;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Tokens granted to this instance for one organisation, and the state of the draws that request
/// more.
pub(super) struct Allowance {
    grants: LocalGrants,
    spent: Tokens,
    returned: Tokens,
    report: Rc<SpendReport>,
    refunds: Vec<ChargePortion>,
    pub waiters: VecDeque<Waiter>,
    demand: Demand,
    sequence: u64,
    sent: Option<SentDraw>,
    pub is_returning: bool,
    pub is_failing: bool,
    /// Time of the last failed draw.
    pub failed_at: Instant,
    pub retry_after_ms: u64,
    drawn_at: Instant,
    /// Earliest time of the next draw for waiting requests and of the next retry of a failed draw.
    next_draw_at: Instant,
    next_prefetch_at: Instant,
    used_at: Instant,
}

/// A draw in flight. It is resent unchanged until the holder answers.
struct SentDraw {
    request: DrawRequest,
    report: Rc<SpendReport>,
}

/// The next action of the organisation's draw task.
pub(super) enum Step {
    /// Send a new draw, or resend the unanswered one.
    Draw,
    WaitUntil(Instant),
    Idle,
}

impl Allowance {
    const RETRY_DELAY_MS: u64 = 50;
    /// Longest interval between draws while the instance is short of tokens.
    const MAX_DRAW_INTERVAL_MS: u64 = 100;
    const PREFETCH_INTERVAL_MS: u64 = 20;
    /// Spent tokens are reported within this time, because the bucket does not refill while they
    /// count as outstanding.
    const MAX_REPORT_DELAY_MS: u64 = 200;
    const IDLE_AFTER_MS: u64 = 5_000;
    /// An unanswered draw is dropped if the organisation has not been used for this time.
    const ABANDON_AFTER_MS: u64 = 30_000;

    pub fn new(sequence: u64, now: Instant) -> Allowance {
        Allowance {
            grants: LocalGrants::default(),
            spent: Tokens(0),
            returned: Tokens(0),
            report: Rc::default(),
            refunds: Vec::new(),
            waiters: VecDeque::new(),
            demand: Demand::new(now),
            sequence,
            sent: None,
            is_returning: false,
            is_failing: false,
            failed_at: Instant::default(),
            retry_after_ms: 0,
            drawn_at: Instant::default(),
            next_draw_at: Instant::default(),
            next_prefetch_at: Instant::default(),
            used_at: now,
        }
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn record_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand.record(tokens, now);
        self.used_at = now;
    }

    /// Whether the unanswered draw can be dropped, because the organisation has been unused for
    /// long.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        let is_unused = now.ms_since(self.used_at) > Allowance::ABANDON_AFTER_MS;
        self.is_failing && is_unused && self.waiters.is_empty()
    }

    /// Whether every spent, returned and refunded token has been reported to the holder.
    pub fn is_settled(&self) -> bool {
        let unsettled = self.spent + self.returned + self.grants.left();
        self.sent.is_none() && self.refunds.is_empty() && unsettled == Tokens(0)
    }

    fn expire(&mut self, now: Instant) {
        self.returned += self.grants.expire(now);
    }

    /// Spends `tokens` from the grants that expire first, or returns `None` if there are too few.
    pub fn take(&mut self, tokens: Tokens, now: Instant) -> Option<Vec<ChargePortion>> {
        self.expire(now);
        let pieces = self.grants.take(tokens)?;
        Some(pieces.into_iter().map(|piece| self.spend(piece)).collect())
    }

    fn spend(&mut self, piece: LocalGrant) -> ChargePortion {
        let LocalGrant { granted_at, deadline, left: tokens } = piece;
        let mut report = self.report.clone();
        if self.grants.is_current(granted_at) {
            self.spent += tokens;
        } else {
            report = Rc::default();
            report.set(ReportState::Void);
        }
        ChargePortion { granted_at, deadline, tokens, report }
    }

    /// Refunds the unused tokens of a request, newest grants first.
    pub fn refund(&mut self, portions: Vec<ChargePortion>, unused: Tokens) {
        let mut rest = unused;
        for mut portion in portions.into_iter().rev() {
            portion.tokens = portion.tokens.min(rest);
            rest -= portion.tokens;
            if portion.tokens == Tokens(0) {
                continue;
            }
            match portion.report.state() {
                ReportState::Open => self.undo_spend(&portion),
                ReportState::Void => {}
                _ => self.refunds.push(portion),
            }
        }
    }

    /// Reverts a spend that has not been reported to the holder.
    fn undo_spend(&mut self, portion: &ChargePortion) {
        self.spent -= portion.tokens;
        if !self.grants.restore(portion.granted_at, portion.tokens) {
            self.returned += portion.tokens;
        }
    }

    pub fn next_step(&mut self, now: Instant) -> Step {
        self.expire(now);
        self.waiters.retain(|waiter| !waiter.answer.is_closed());
        if self.sent.is_some() {
            return match self.next_draw_at {
                at if at <= now => Step::Draw,
                at => Step::WaitUntil(at),
            };
        }
        match self.next_event_at(now) {
            Some(at) if at <= now => Step::Draw,
            Some(at) => Step::WaitUntil(at),
            None => Step::Idle,
        }
    }

    /// Time of the next draw or state change, if any. A time in the past means that a draw is due
    /// now.
    fn next_event_at(&mut self, now: Instant) -> Option<Instant> {
        let waiting = (!self.waiters.is_empty()).then_some(self.next_draw_at);
        let refunds = (!self.refunds.is_empty()).then_some(now);
        let unreported = self.spent + self.returned > Tokens(0);
        let report = unreported.then(|| self.drawn_at.plus_ms(Allowance::MAX_REPORT_DELAY_MS));
        let prefetch = self.prefetch_tokens(now);
        let is_low = self.grants.left().0 < prefetch.0 / 2;
        let prefetch = is_low.then_some(self.next_prefetch_at);
        let expiring = self.grants.first_returnable_deadline().map(|deadline| {
            if self.is_returning {
                now
            } else {
                minus_ms(deadline, LocalGrants::FORCED_RETURN_WITHIN_MS)
            }
        });
        let expired = self.grants.first_deadline();
        let idle = self.used_at.plus_ms(Allowance::IDLE_AFTER_MS);
        let idle = (idle > now).then_some(idle);
        [waiting, refunds, report, prefetch, expiring, expired, idle].into_iter().flatten().min()
    }

    fn prefetch_tokens(&mut self, now: Instant) -> Tokens {
        if self.is_returning { Tokens(0) } else { self.demand.prefetch_tokens(now) }
    }

    /// Builds the next draw, which settles all spent, returned and refunded tokens. An unanswered
    /// draw is resent unchanged, because the holder may already have applied its settlement.
    pub fn request(
        &mut self,
        organisation: &OrganisationId,
        (instance, incarnation): (&InstanceId, Incarnation),
        now: Instant,
    ) -> DrawRequest {
        if let Some(sent) = &self.sent {
            return sent.request.clone();
        }
        // Tokens too few for the first waiting request are returned, because the holder may need
        // them for an earlier request on another instance.
        let returns_all = self.is_returning || !self.waiters.is_empty();
        self.returned += self.grants.take_returnable(returns_all, now);
        let waiting: Tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        let first = self.waiters.front().map_or(Tokens(0), |waiter| waiter.tokens);
        let need_tokens = first - self.grants.left();
        let wanted = waiting + self.prefetch_tokens(now);
        self.sequence += 1;
        let request = DrawRequest {
            organisation: organisation.clone(),
            instance: instance.clone(),
            incarnation,
            need_tokens,
            want_tokens: wanted - self.grants.left() - need_tokens,
            spent_tokens: std::mem::take(&mut self.spent),
            returned_tokens: std::mem::take(&mut self.returned),
            refunds: self.refunds.drain(..).filter_map(|portion| refund_of(&portion)).collect(),
            sequence: self.sequence,
        };
        self.report.set(ReportState::Sent);
        let report = std::mem::take(&mut self.report);
        self.sent = Some(SentDraw { request: request.clone(), report });
        request
    }

    pub fn record_failure(&mut self, now: Instant) {
        self.is_failing = true;
        self.failed_at = now;
        self.next_draw_at = now.plus_ms(Allowance::RETRY_DELAY_MS);
    }

    /// Applies the answer to a draw that was sent at `sent_at`.
    pub fn apply(&mut self, answer: &DrawAnswer, sent_at: Instant, now: Instant) {
        match answer {
            DrawAnswer::NotHolder(_) => return self.record_failure(now),
            DrawAnswer::UnknownOrganisation => {
                // The holder did not record this draw, so later settlements must not refer to
                // grants from before it.
                self.grants.clear();
                self.void_settlement();
            }
            DrawAnswer::Granted(grant) => self.apply_grant(grant, sent_at, now),
        }
        self.is_failing = false;
        self.drawn_at = now;
    }

    fn void_settlement(&mut self) {
        if let Some(sent) = self.sent.take() {
            sent.report.set(ReportState::Void);
        }
        self.report.set(ReportState::Void);
        self.report = Rc::default();
        (self.spent, self.returned) = (Tokens(0), Tokens(0));
        self.grants.set_holder(None);
    }

    fn apply_grant(&mut self, grant: &Grant, sent_at: Instant, now: Instant) {
        let at = HolderTime::from_wire(grant.granted_at);
        let requested = self.sent.as_ref().map(|sent| &sent.request);
        let requested =
            requested.map_or(Tokens(0), |request| request.need_tokens + request.want_tokens);
        if self.grants.is_current(at) {
            let acknowledged = ReportState::Acknowledged { at, received_at: now };
            if let Some(sent) = self.sent.take() {
                sent.report.set(acknowledged);
            }
        } else {
            self.void_settlement();
        }
        self.grants.set_holder(Some(at));
        self.retry_after_ms = grant.retry_after_ms;
        self.next_draw_at = now.plus_ms(grant.retry_after_ms.min(Allowance::MAX_DRAW_INTERVAL_MS));
        let is_short = grant.tokens < requested;
        let prefetch_delay_ms = if is_short {
            Allowance::MAX_DRAW_INTERVAL_MS
        } else {
            Allowance::PREFETCH_INTERVAL_MS
        };
        self.next_prefetch_at = now.plus_ms(prefetch_delay_ms);
        let deadline = sent_at.plus_ms(grant.time_to_live_ms);
        let left = grant.tokens;
        if left == Tokens(0) {
            return;
        }
        if deadline > now {
            self.grants.add(LocalGrant { granted_at: at, deadline, left });
        } else {
            self.returned += left;
        }
    }
}

fn refund_of(portion: &ChargePortion) -> Option<Refund> {
    let granted_at = portion.refund_time()?.to_wire();
    Some(Refund { granted_at, tokens: portion.tokens })
}

fn minus_ms(deadline: Instant, ms: u64) -> Instant {
    Instant::from_ms(deadline.as_ms().saturating_sub(ms))
}
