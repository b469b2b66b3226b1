use std::collections::VecDeque;
use std::rc::Rc;

use super::demand::Demand;
use super::draw::{DrawAnswer, DrawRequest, Grant, Refund};
use super::holder_time::HolderTime;
use super::local_grants::{LocalGrant, LocalGrants};
use super::organisation_pool::Waiter;
use super::report::{Part, Report, ReportState};
use crate::clock::Instant;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Tokens of one organisation at this instance, and the draws that replenish them.
pub(super) struct Allowance {
    grants: LocalGrants,
    spent: Tokens,
    returned: Tokens,
    report: Rc<Report>,
    refunds: Vec<Part>,
    pub waiters: VecDeque<Waiter>,
    demand: Demand,
    sequence: u64,
    sent: Option<SentDraw>,
    pub is_returning: bool,
    pub is_failing: bool,
    /// When a draw was last not answered.
    pub failed_at: Instant,
    pub retry_after_ms: u64,
    drawn_at: Instant,
    /// No draw for waiting requests, or repeat of a failed draw, before this time.
    next_draw_at: Instant,
    next_ahead_at: Instant,
    used_at: Instant,
}

/// A draw that is repeated unchanged until it is answered.
struct SentDraw {
    request: DrawRequest,
    report: Rc<Report>,
}

/// What the organisation's task does next.
pub(super) enum Step {
    /// Send the draw, or repeat the one that was not answered.
    Draw,
    WaitUntil(Instant),
    Idle,
}

impl Allowance {
    const RETRY_MS: u64 = 50;
    /// Upper bound of the wait between draws of an instance that is short of tokens.
    const POLL_MS: u64 = 100;
    const AHEAD_INTERVAL_MS: u64 = 20;
    /// Spent tokens are reported after this time at the latest, since the bucket does not refill
    /// while they count as outstanding.
    const REPORT_MS: u64 = 200;
    const IDLE_MS: u64 = 5_000;
    /// An unanswered draw is given up after this time without use of the organisation.
    const ABANDON_MS: u64 = 30_000;

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
            next_ahead_at: Instant::default(),
            used_at: now,
        }
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn note_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand.note(tokens, now);
        self.used_at = now;
    }

    /// Whether a draw has gone unanswered for so long that its settlement is worth nothing.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        let is_unused = now.ms_since(self.used_at) > Allowance::ABANDON_MS;
        self.is_failing && is_unused && self.waiters.is_empty()
    }

    /// Whether the holder knows everything there is to settle.
    pub fn is_settled(&self) -> bool {
        let unsettled = self.spent + self.returned + self.grants.left();
        self.sent.is_none() && self.refunds.is_empty() && unsettled == Tokens(0)
    }

    fn expire(&mut self, now: Instant) {
        self.returned += self.grants.expire(now);
    }

    /// Spends `tokens` if there are enough, from the grants that end first.
    pub fn take(&mut self, tokens: Tokens, now: Instant) -> Option<Vec<Part>> {
        self.expire(now);
        let pieces = self.grants.take(tokens)?;
        Some(pieces.into_iter().map(|piece| self.spend(piece)).collect())
    }

    fn spend(&mut self, piece: LocalGrant) -> Part {
        let LocalGrant { granted_at, deadline, left: tokens } = piece;
        let mut report = self.report.clone();
        if self.grants.is_current(granted_at) {
            self.spent += tokens;
        } else {
            report = Rc::default();
            report.set(ReportState::Void);
        }
        Part { granted_at, deadline, tokens, report }
    }

    /// Gives back what a request did not use, from its newest grants first.
    pub fn refund(&mut self, parts: Vec<Part>, unused: Tokens) {
        let mut rest = unused;
        for mut part in parts.into_iter().rev() {
            part.tokens = part.tokens.min(rest);
            rest -= part.tokens;
            if part.tokens == Tokens(0) {
                continue;
            }
            match part.report.state() {
                ReportState::Open => self.put_back(&part),
                ReportState::Void => {}
                _ => self.refunds.push(part),
            }
        }
    }

    /// Undoes a spending that the holder has not been told yet.
    fn put_back(&mut self, part: &Part) {
        self.spent -= part.tokens;
        if !self.grants.put_back(part.granted_at, part.tokens) {
            self.returned += part.tokens;
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
        match self.due(now) {
            Some(at) if at <= now => Step::Draw,
            Some(at) => Step::WaitUntil(at),
            None => Step::Idle,
        }
    }

    /// Time of the next draw or of the next change of state.
    fn due(&mut self, now: Instant) -> Option<Instant> {
        let waiting = (!self.waiters.is_empty()).then_some(self.next_draw_at);
        let refunds = (!self.refunds.is_empty()).then_some(now);
        let unreported = self.spent + self.returned > Tokens(0);
        let report = unreported.then(|| self.drawn_at.plus_ms(Allowance::REPORT_MS));
        let ahead = self.ahead(now);
        let is_low = self.grants.left().0 < ahead.0 / 2;
        let ahead = is_low.then_some(self.next_ahead_at);
        let expiring = self.grants.first_returnable().map(|deadline| {
            if self.is_returning { now } else { before(deadline, LocalGrants::LAST_RETURN_MS) }
        });
        let expired = self.grants.first_deadline();
        let idle = self.used_at.plus_ms(Allowance::IDLE_MS);
        let idle = (idle > now).then_some(idle);
        [waiting, refunds, report, ahead, expiring, expired, idle].into_iter().flatten().min()
    }

    fn ahead(&mut self, now: Instant) -> Tokens {
        if self.is_returning { Tokens(0) } else { self.demand.ahead(now) }
    }

    /// The draw to send. One that was not answered is repeated unchanged, because the holder may
    /// have counted its settlement. A new one settles everything known.
    pub fn request(
        &mut self,
        organisation: &OrganisationId,
        (instance, incarnation): (&InstanceId, Incarnation),
        now: Instant,
    ) -> DrawRequest {
        if let Some(sent) = &self.sent {
            return sent.request.clone();
        }
        // Tokens held by requests that wait in line are of no use here, and the holder may have to
        // give them to the first in line elsewhere.
        let returns_all = self.is_returning || !self.waiters.is_empty();
        self.returned += self.grants.give_back(returns_all, now);
        let waiting: Tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        let first = self.waiters.front().map_or(Tokens(0), |waiter| waiter.tokens);
        let need_tokens = first - self.grants.left();
        let wanted = waiting + self.ahead(now);
        self.sequence += 1;
        let request = DrawRequest {
            organisation: organisation.clone(),
            instance: instance.clone(),
            incarnation,
            need_tokens,
            want_tokens: wanted - self.grants.left() - need_tokens,
            spent_tokens: std::mem::take(&mut self.spent),
            returned_tokens: std::mem::take(&mut self.returned),
            refunds: self.refunds.drain(..).filter_map(|part| refund_of(&part)).collect(),
            sequence: self.sequence,
        };
        self.report.set(ReportState::Sent);
        let report = std::mem::take(&mut self.report);
        self.sent = Some(SentDraw { request: request.clone(), report });
        request
    }

    pub fn note_failure(&mut self, now: Instant) {
        self.is_failing = true;
        self.failed_at = now;
        self.next_draw_at = now.plus_ms(Allowance::RETRY_MS);
    }

    /// Takes in the answer to a call that was made at `sent_at`.
    pub fn apply(&mut self, answer: &DrawAnswer, sent_at: Instant, now: Instant) {
        match answer {
            DrawAnswer::NotHolder(_) => return self.note_failure(now),
            DrawAnswer::UnknownOrganisation => {
                // The holder keeps no account of this draw, so later settlements must not name
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
        let asked = self.sent.as_ref().map(|sent| &sent.request);
        let asked = asked.map_or(Tokens(0), |request| request.need_tokens + request.want_tokens);
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
        self.next_draw_at = now.plus_ms(grant.retry_after_ms.min(Allowance::POLL_MS));
        let is_short = grant.tokens < asked;
        let ahead_ms = if is_short { Allowance::POLL_MS } else { Allowance::AHEAD_INTERVAL_MS };
        self.next_ahead_at = now.plus_ms(ahead_ms);
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

fn refund_of(part: &Part) -> Option<Refund> {
    let granted_at = part.refund_since()?.to_wire();
    Some(Refund { granted_at, tokens: part.tokens })
}

fn before(deadline: Instant, ms: u64) -> Instant {
    Instant::from_ms(deadline.as_ms().saturating_sub(ms))
}
