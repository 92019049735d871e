//! The send budget of a try, in every combination of what shields and servers may do, in simulated time: a try reaches no
//! more servers than its route's `tries`, and ends without a good answer only where its sends are spent.

use std::collections::BTreeSet;

use glenfall::edge::read_plan::{AttemptEnd, NextStep, ReadPlan, Verdict, MAX_SHIELD_ATTEMPTS};
use glenfall::http::send_budget::{Allowance, SendBudget, SendReport, Usage, SENDS_HEADER};
use glenfall_http_client::send::{SendEvent, SendSequence, SendStage};
use hyper::header::{HeaderMap, HeaderValue};

/// Milliseconds of simulated time.
type Ms = u64;

const DEADLINE: Ms = 4000;
/// An answer that comes at once, and one that is late: after an edge has lost patience, before a server is given up.
const PROMPT: Ms = 20;
const LATE: Ms = 1400;
const CONNECT: Ms = 300;
/// As many servers as one try could be sent to if each of its senders chose others.
const SERVERS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerActs {
    Answers,
    AnswersLate,
    Fails,
    Resets,
    Hangs,
}

const SERVER_ACTS: [ServerActs; 5] =
    [ServerActs::Answers, ServerActs::AnswersLate, ServerActs::Fails, ServerActs::Resets, ServerActs::Hangs];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShieldActs {
    Well,
    /// Its answers are under way for long.
    AnswersLate,
    /// It reads nothing.
    Frozen,
    /// It fetches, and its answer is lost.
    AnswerLost,
    /// It fetches, and its connection is reset at once.
    Resets,
    Unreachable,
    /// It lacks the edge's version.
    Behind,
    HasCopy,
    /// Another try's fetch is under way there, which answers, or fails for want of sends.
    JoinsGood,
    JoinsShort,
}

const SHIELD_ACTS: [ShieldActs; 10] = [
    ShieldActs::Well,
    ShieldActs::AnswersLate,
    ShieldActs::Frozen,
    ShieldActs::AnswerLost,
    ShieldActs::Resets,
    ShieldActs::Unreachable,
    ShieldActs::Behind,
    ShieldActs::HasCopy,
    ShieldActs::JoinsGood,
    ShieldActs::JoinsShort,
];

/// A way to servers: it begins with one of its own, so that no two senders choose the same while they can.
struct Sender {
    next: usize,
}

struct World<'a> {
    shields: &'a [ShieldActs],
    servers: &'a [ServerActs; SERVERS],
    senders: Vec<Sender>,
    reached: BTreeSet<usize>,
    /// How often a server was sent the request. Two senders may choose the same one.
    sent: u32,
    /// A good answer was on its way to the edge, and due by the deadline.
    good_under_way: bool,
    /// Sends that were lent to shields from which no report came.
    unreported: u32,
}

/// How an ask ends for the edge, and when; `None` where it never does.
struct Due {
    at: Option<Ms>,
    end: AttemptEnd,
    good: bool,
}

impl<'a> World<'a> {
    fn new(shields: &'a [ShieldActs], servers: &'a [ServerActs; SERVERS]) -> Self {
        let senders = (0..=MAX_SHIELD_ATTEMPTS).map(|next| Sender { next }).collect();
        let reached = BTreeSet::new();
        World { shields, servers, senders, reached, sent: 0, good_under_way: false, unreported: 0 }
    }

    /// Sends to servers until one answers or the allowance is used. Returns when that ends, and whether well.
    fn fetch(&mut self, sender: usize, began: Ms, allowance: Allowance) -> (Ms, bool, SendReport) {
        let mut sends = SendSequence::new(allowance.sends, true);
        let (mut now, mut good) = (began, false);
        while sends.may_begin() && now < DEADLINE {
            let server = self.senders[sender].next % SERVERS;
            self.senders[sender].next += 1;
            self.reached.insert(server);
            self.sent += 1;
            let another = sends.another_may_follow() || allowance.reserved_sends > 0;
            let until = if another { now + (DEADLINE - now) / 2 } else { DEADLINE };
            let (at, event) = match self.servers[server] {
                ServerActs::Answers => (now + PROMPT, SendEvent::Success),
                ServerActs::AnswersLate => (now + LATE, SendEvent::Success),
                ServerActs::Fails => (now + PROMPT, SendEvent::Failure),
                ServerActs::Resets => (now + PROMPT, SendEvent::Broken),
                ServerActs::Hangs => (Ms::MAX, SendEvent::TimedOut),
            };
            let (at, event) = if at > until { (until, SendEvent::TimedOut) } else { (at, event) };
            now = at;
            good = event == SendEvent::Success;
            sends.record_end(SendStage::Answering, event, event == SendEvent::Failure);
        }
        (now, good, SendReport { used: sends.used(), exhausted: sends.is_exhausted() })
    }

    fn ask_shield(&mut self, shield: usize, now: Ms, allowance: Allowance) -> Due {
        let nothing_sent = |at, good, short| Due {
            at: Some(at),
            end: AttemptEnd::Answered(SendReport { used: 0, exhausted: short }),
            good,
        };
        let acts = self.shields[shield];
        match acts {
            ShieldActs::Unreachable => Due { at: Some(now + CONNECT), end: AttemptEnd::NotSent, good: false },
            ShieldActs::Behind => Due { at: Some(now + PROMPT), end: AttemptEnd::NotSent, good: false },
            ShieldActs::Frozen => Due { at: None, end: AttemptEnd::ResponseLost, good: false },
            ShieldActs::HasCopy => nothing_sent(now + PROMPT, true, false),
            ShieldActs::JoinsGood => nothing_sent(now + PROMPT, true, false),
            ShieldActs::JoinsShort => nothing_sent(now + PROMPT, false, true),
            _ if allowance.sends == 0 => nothing_sent(now + PROMPT, false, true),
            ShieldActs::Well | ShieldActs::AnswersLate => {
                let (at, good, report) = self.fetch(shield, now, allowance);
                let at = if acts == ShieldActs::Well { at } else { at + LATE };
                Due { at: Some(at), end: AttemptEnd::Answered(report), good }
            }
            ShieldActs::AnswerLost | ShieldActs::Resets => {
                self.fetch(shield, now, allowance);
                let at = (acts == ShieldActs::Resets).then_some(now + PROMPT);
                Due { at, end: AttemptEnd::ResponseLost, good: false }
            }
        }
    }

    fn ask_servers(&mut self, now: Ms, allowance: Allowance) -> Due {
        let (at, good, report) = self.fetch(MAX_SHIELD_ATTEMPTS, now, allowance);
        Due { at: Some(at), end: AttemptEnd::Answered(report), good }
    }

    /// Plays one read as an edge does; says whether it got a good answer by its deadline.
    fn play(&mut self, tries: u32) -> bool {
        let mut plan = ReadPlan::new(tries);
        let mut asks: Vec<(usize, Option<usize>, Due)> = Vec::new();
        let mut unresponsive: Vec<usize> = Vec::new();
        let (mut now, mut silent_at) = (0, None);
        loop {
            let shields_left = self.shields.len() - unresponsive.len();
            match plan.next(shields_left) {
                next @ NextStep::TryShield { allowance } => {
                    let shield = (0..self.shields.len()).find(|shield| !unresponsive.contains(shield));
                    let shield = shield.expect("one is left");
                    let number = plan.begin_attempt(next);
                    let beside = plan.can_hedge(shields_left - 1);
                    silent_at = beside.then(|| (shield, now + ((DEADLINE - now) / 4).max(200)));
                    let due = self.ask_shield(shield, now, allowance);
                    self.under_way(&due, allowance);
                    asks.push((number, Some(shield), due));
                }
                next @ NextStep::TryServers { allowance } => {
                    let number = plan.begin_attempt(next);
                    let due = self.ask_servers(now, allowance);
                    self.under_way(&due, allowance);
                    asks.push((number, None, due));
                }
                NextStep::GiveUp => return false,
                NextStep::Wait => {
                    let first =
                        (0..asks.len()).filter(|at| asks[*at].2.at.is_some()).min_by_key(|at| asks[*at].2.at);
                    let due = first.and_then(|first| asks[first].2.at).unwrap_or(Ms::MAX);
                    let silent = silent_at.map_or(Ms::MAX, |(_, at)| at);
                    now = due.min(silent);
                    if now > DEADLINE {
                        return false;
                    }
                    if due <= silent {
                        let (number, shield, due) = asks.remove(first.expect("it is due"));
                        if silent_at.is_some_and(|(silent, _)| Some(silent) == shield) {
                            silent_at = None;
                        }
                        if plan.end_attempt(number, due.end) == Verdict::Final {
                            return due.good;
                        }
                        if !matches!(due.end, AttemptEnd::Answered(_)) {
                            unresponsive.extend(shield.filter(|shield| !unresponsive.contains(shield)));
                        }
                    } else if let Some((shield, _)) = silent_at.take() {
                        plan.hedge_delay_passed();
                        unresponsive.push(shield);
                    }
                }
            }
        }
    }

    fn under_way(&mut self, due: &Due, allowance: Allowance) {
        self.good_under_way |= due.good && due.at.is_some_and(|at| at <= DEADLINE);
        if due.end == AttemptEnd::ResponseLost {
            self.unreported += allowance.sends;
        }
    }
}

/// All lists of a length whose members are of a set.
fn lists<T: Copy>(set: &[T], length: usize) -> Vec<Vec<T>> {
    (0..length).fold(vec![Vec::new()], |lists, _| {
        let longer = lists.iter().flat_map(|list| set.iter().map(|next| [&list[..], &[*next]].concat()));
        longer.collect()
    })
}

/// Plays every combination of so many shields.
fn play_all(shields: usize) {
    let server_lists: Vec<[ServerActs; SERVERS]> =
        lists(&SERVER_ACTS, SERVERS).into_iter().map(|list| list.try_into().expect("as many")).collect();
    for shields in lists(&SHIELD_ACTS, shields) {
        for servers in &server_lists {
            for tries in 1..=3 {
                play_one(&shields, servers, tries);
            }
        }
    }
}

fn play_one(shields: &[ShieldActs], servers: &[ServerActs; SERVERS], tries: u32) {
    let mut world = World::new(shields, servers);
    let good = world.play(tries);
    let case = || format!("{tries} tries, {shields:?}, {servers:?}");
    let reached = world.reached.len() as u32;
    assert!(reached <= tries, "{}: {reached} servers reached", case());
    assert!(world.sent <= tries, "{}: sent {} times", case(), world.sent);
    assert!(good || !world.good_under_way, "{}: a good answer was on its way", case());
    // A fetch whose answer was lost may have used less than it was lent.
    assert!(good || world.sent + world.unreported >= tries, "{}: sends were left over", case());
}

#[test]
fn a_try_reaches_no_more_servers_than_allowed_and_uses_what_it_may() {
    for shields in 0..=3 {
        play_all(shields);
    }
}

#[test]
fn with_a_second_send_a_dark_shield_does_not_end_a_try() {
    use ShieldActs::{AnswerLost, Behind, Frozen, Resets, Unreachable, Well};
    for first in [Frozen, AnswerLost, Resets, Unreachable, Behind] {
        for others in [&[Well][..], &[Unreachable, Well], &[Behind], &[]] {
            for tries in 2..=3 {
                let shields = [&[first], others].concat();
                let good = World::new(&shields, &[ServerActs::Answers; SERVERS]).play(tries);
                assert!(good, "{tries} tries, {shields:?}");
            }
        }
    }
}

#[test]
fn with_no_send_left_a_copy_still_answers() {
    use ShieldActs::{AnswerLost, Frozen, HasCopy, JoinsGood, Resets};
    for first in [Frozen, AnswerLost, Resets] {
        for second in [HasCopy, JoinsGood] {
            assert!(
                World::new(&[first, second], &[ServerActs::Hangs; SERVERS]).play(1),
                "{first:?}, {second:?}"
            );
        }
    }
}

#[test]
fn a_budget_takes_back_what_was_certainly_not_used_and_nothing_else() {
    let report = |used| Usage::Reported(SendReport { used, exhausted: true });
    for (usage, left) in [
        (Usage::Unused, 3),
        (Usage::Unknown, 1),
        (report(0), 3),
        (report(1), 2),
        (report(2), 1),
        // More than was lent: nothing comes back.
        (report(9), 1),
    ] {
        let mut budget = SendBudget::new(3);
        let loan = budget.lend(2);
        assert_eq!(budget.left(), 1);
        budget.repay(loan, usage);
        assert_eq!(budget.left(), left, "{usage:?}");
    }
    let mut budget = SendBudget::new(1);
    let _unsettled = budget.lend(5);
    assert_eq!((budget.left(), SendBudget::new(0).left()), (0, 1));
}

#[test]
fn allowances_and_reports_are_read_as_they_were_written() {
    let headers = |value: HeaderValue| HeaderMap::from_iter([(SENDS_HEADER, value)]);
    for sends in 0..=3 {
        for held_back in 0..=1 {
            let allowance = Allowance { sends, reserved_sends: held_back };
            assert_eq!(Allowance::from_request(&headers(allowance.encode()), 3), allowance);
        }
        for short in [false, true] {
            let report = SendReport { used: sends, exhausted: short };
            assert_eq!(SendReport::from_response(&headers(report.encode())), Some(report));
        }
    }
    let all = Allowance::all(2);
    assert_eq!(Allowance::from_request(&HeaderMap::new(), 2), all, "an edge of an earlier release");
    for value in ["allowed=7", "allowed=-1", "allowed=", "", "noise", "allowed=99999999999999"] {
        let read = Allowance::from_request(&headers(HeaderValue::from_static(value)), 2);
        assert_eq!(read, all, "never more than the route allows: {value}");
    }
    for value in ["used=", "used=-1", "short", ""] {
        assert_eq!(SendReport::from_response(&headers(HeaderValue::from_static(value))), None, "{value}");
    }
}
