//! The send budget of a client request, for every combination of shield and server behavior, in simulated time: a
//! request reaches no more servers than its route's `tries`, and fails only when its sends are used up.

use std::collections::BTreeSet;

use glenfall::edge::read_plan::{AttemptEnd, NextStep, ReadPlan, Verdict, MAX_SHIELD_ATTEMPTS};
use glenfall::http::send_budget::{Allowance, SendBudget, SendReport, Usage, SENDS_HEADER};
use glenfall_http_client::send::{SendEvent, SendSequence, SendStage};
use hyper::header::{HeaderMap, HeaderValue};

/// Milliseconds of simulated time.
type Ms = u64;

const DEADLINE_MS: Ms = 4000;
/// Time to a fast response.
const FAST_RESPONSE_MS: Ms = 20;
/// Time to a slow response: longer than the hedge delay, shorter than the timeout of a server.
const SLOW_RESPONSE_MS: Ms = 1400;
/// Time until connecting to an unreachable shield fails.
const CONNECT_FAILURE_MS: Ms = 300;
/// The number of servers that one request could reach if each of its senders chose different ones.
const SERVER_COUNT: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerBehavior {
    Responds,
    RespondsLate,
    Fails,
    Resets,
    Hangs,
}

const SERVER_BEHAVIORS: [ServerBehavior; 5] = [
    ServerBehavior::Responds,
    ServerBehavior::RespondsLate,
    ServerBehavior::Fails,
    ServerBehavior::Resets,
    ServerBehavior::Hangs,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShieldBehavior {
    /// Fetches and responds.
    Normal,
    /// Fetches and responds after a long delay.
    RespondsLate,
    /// Reads nothing.
    Frozen,
    /// Fetches; its response is lost.
    LosesResponse,
    /// Fetches; its connection is reset early.
    Resets,
    Unreachable,
    /// Lacks the edge's version of the configuration.
    OutdatedConfig,
    HasStoredResponse,
    /// Joins another request's fetch, which succeeds.
    JoinsSuccessfulFetch,
    /// Joins another request's fetch, which fails because its sends are used up.
    JoinsExhaustedFetch,
}

const SHIELD_BEHAVIORS: [ShieldBehavior; 10] = [
    ShieldBehavior::Normal,
    ShieldBehavior::RespondsLate,
    ShieldBehavior::Frozen,
    ShieldBehavior::LosesResponse,
    ShieldBehavior::Resets,
    ShieldBehavior::Unreachable,
    ShieldBehavior::OutdatedConfig,
    ShieldBehavior::HasStoredResponse,
    ShieldBehavior::JoinsSuccessfulFetch,
    ShieldBehavior::JoinsExhaustedFetch,
];

/// A process that sends to servers in turn. Each sender starts at a different server, so that together they
/// reach as many servers as they can.
struct Sender {
    next_server: usize,
}

struct Simulation<'a> {
    shields: &'a [ShieldBehavior],
    servers: &'a [ServerBehavior; SERVER_COUNT],
    senders: Vec<Sender>,
    reached_servers: BTreeSet<usize>,
    /// How often the request was sent to any server; more than `reached_servers` when two senders choose the same one.
    send_count: u32,
    /// Whether a successful response was on its way to the edge and due by the deadline.
    success_in_flight: bool,
    /// Sends lent to shields that did not report their use.
    unreported_sends: u32,
}

/// The end of an attempt as the edge sees it.
struct AttemptOutcome {
    /// `None` when the attempt does not end by itself.
    ended_at: Option<Ms>,
    end: AttemptEnd,
    success: bool,
}

impl<'a> Simulation<'a> {
    fn new(shields: &'a [ShieldBehavior], servers: &'a [ServerBehavior; SERVER_COUNT]) -> Self {
        let senders = (0..=MAX_SHIELD_ATTEMPTS).map(|next_server| Sender { next_server }).collect();
        let reached_servers = BTreeSet::new();
        Simulation {
            shields,
            servers,
            senders,
            reached_servers,
            send_count: 0,
            success_in_flight: false,
            unreported_sends: 0,
        }
    }

    /// Sends to servers until one responds successfully or the allowance is used up. Returns the time at which that ends,
    /// whether it succeeded, and the report.
    fn fetch(&mut self, sender: usize, began: Ms, allowance: Allowance) -> (Ms, bool, SendReport) {
        let mut sends = SendSequence::new(allowance.sends, true);
        let (mut now, mut success) = (began, false);
        while sends.may_send() && now < DEADLINE_MS {
            let server = self.senders[sender].next_server % SERVER_COUNT;
            self.senders[sender].next_server += 1;
            self.reached_servers.insert(server);
            self.send_count += 1;
            let more_may_follow = sends.another_may_follow() || allowance.reserved_sends > 0;
            let timeout_at = if more_may_follow { now + (DEADLINE_MS - now) / 2 } else { DEADLINE_MS };
            let (ended_at, event) = match self.servers[server] {
                ServerBehavior::Responds => (now + FAST_RESPONSE_MS, SendEvent::Success),
                ServerBehavior::RespondsLate => (now + SLOW_RESPONSE_MS, SendEvent::Success),
                ServerBehavior::Fails => (now + FAST_RESPONSE_MS, SendEvent::Failure),
                ServerBehavior::Resets => (now + FAST_RESPONSE_MS, SendEvent::Broken),
                ServerBehavior::Hangs => (Ms::MAX, SendEvent::TimedOut),
            };
            let (ended_at, event) =
                if ended_at > timeout_at { (timeout_at, SendEvent::TimedOut) } else { (ended_at, event) };
            now = ended_at;
            success = event == SendEvent::Success;
            sends.record_end(SendStage::ResponseStarted, event, event == SendEvent::Failure);
        }
        (now, success, SendReport { used: sends.used(), exhausted: sends.is_exhausted() })
    }

    fn attempt_shield(&mut self, shield: usize, now: Ms, allowance: Allowance) -> AttemptOutcome {
        let nothing_sent = |ended_at, success, is_exhausted| AttemptOutcome {
            ended_at: Some(ended_at),
            end: AttemptEnd::Answered(SendReport { used: 0, exhausted: is_exhausted }),
            success,
        };
        let behavior = self.shields[shield];
        match behavior {
            ShieldBehavior::Unreachable => AttemptOutcome {
                ended_at: Some(now + CONNECT_FAILURE_MS),
                end: AttemptEnd::NotSent,
                success: false,
            },
            ShieldBehavior::OutdatedConfig => AttemptOutcome {
                ended_at: Some(now + FAST_RESPONSE_MS),
                end: AttemptEnd::NotSent,
                success: false,
            },
            ShieldBehavior::Frozen => {
                AttemptOutcome { ended_at: None, end: AttemptEnd::ResponseLost, success: false }
            }
            ShieldBehavior::HasStoredResponse => nothing_sent(now + FAST_RESPONSE_MS, true, false),
            ShieldBehavior::JoinsSuccessfulFetch => nothing_sent(now + FAST_RESPONSE_MS, true, false),
            ShieldBehavior::JoinsExhaustedFetch => nothing_sent(now + FAST_RESPONSE_MS, false, true),
            _ if allowance.sends == 0 => nothing_sent(now + FAST_RESPONSE_MS, false, true),
            ShieldBehavior::Normal | ShieldBehavior::RespondsLate => {
                let (ended_at, success, report) = self.fetch(shield, now, allowance);
                let ended_at =
                    if behavior == ShieldBehavior::Normal { ended_at } else { ended_at + SLOW_RESPONSE_MS };
                AttemptOutcome { ended_at: Some(ended_at), end: AttemptEnd::Answered(report), success }
            }
            ShieldBehavior::LosesResponse | ShieldBehavior::Resets => {
                self.fetch(shield, now, allowance);
                let ended_at = (behavior == ShieldBehavior::Resets).then_some(now + FAST_RESPONSE_MS);
                AttemptOutcome { ended_at, end: AttemptEnd::ResponseLost, success: false }
            }
        }
    }

    fn attempt_servers(&mut self, now: Ms, allowance: Allowance) -> AttemptOutcome {
        let (ended_at, success, report) = self.fetch(MAX_SHIELD_ATTEMPTS, now, allowance);
        AttemptOutcome { ended_at: Some(ended_at), end: AttemptEnd::Answered(report), success }
    }

    /// Simulates one read by an edge. Returns whether it got a successful response by the deadline.
    fn simulate_read(&mut self, tries: u32) -> bool {
        let mut plan = ReadPlan::new(tries);
        let mut attempts: Vec<(usize, Option<usize>, AttemptOutcome)> = Vec::new();
        let mut unresponsive: Vec<usize> = Vec::new();
        let (mut now, mut hedge_at) = (0, None);
        loop {
            let shields_left = self.shields.len() - unresponsive.len();
            match plan.next(shields_left) {
                step @ NextStep::TryShield { allowance } => {
                    let shield = (0..self.shields.len()).find(|shield| !unresponsive.contains(shield));
                    let shield = shield.expect("a shield that is not unresponsive");
                    let number = plan.begin_attempt(step);
                    let may_hedge = plan.can_hedge(shields_left - 1);
                    hedge_at = may_hedge.then(|| (shield, now + ((DEADLINE_MS - now) / 4).max(200)));
                    let outcome = self.attempt_shield(shield, now, allowance);
                    self.record_attempt(&outcome, allowance);
                    attempts.push((number, Some(shield), outcome));
                }
                step @ NextStep::TryServers { allowance } => {
                    let number = plan.begin_attempt(step);
                    let outcome = self.attempt_servers(now, allowance);
                    self.record_attempt(&outcome, allowance);
                    attempts.push((number, None, outcome));
                }
                NextStep::GiveUp => return false,
                NextStep::Wait => {
                    let first_to_end = (0..attempts.len())
                        .filter(|index| attempts[*index].2.ended_at.is_some())
                        .min_by_key(|index| attempts[*index].2.ended_at);
                    let next_end =
                        first_to_end.and_then(|index| attempts[index].2.ended_at).unwrap_or(Ms::MAX);
                    let hedge_time = hedge_at.map_or(Ms::MAX, |(_, hedge_time)| hedge_time);
                    now = next_end.min(hedge_time);
                    if now > DEADLINE_MS {
                        return false;
                    }
                    if next_end <= hedge_time {
                        let (number, shield, outcome) =
                            attempts.remove(first_to_end.expect("an attempt with an end"));
                        if hedge_at.is_some_and(|(hedged, _)| Some(hedged) == shield) {
                            hedge_at = None;
                        }
                        if plan.end_attempt(number, outcome.end) == Verdict::Final {
                            return outcome.success;
                        }
                        if !matches!(outcome.end, AttemptEnd::Answered(_)) {
                            unresponsive.extend(shield.filter(|shield| !unresponsive.contains(shield)));
                        }
                    } else if let Some((shield, _)) = hedge_at.take() {
                        plan.hedge_delay_passed();
                        unresponsive.push(shield);
                    }
                }
            }
        }
    }

    fn record_attempt(&mut self, outcome: &AttemptOutcome, allowance: Allowance) {
        self.success_in_flight |=
            outcome.success && outcome.ended_at.is_some_and(|ended_at| ended_at <= DEADLINE_MS);
        if outcome.end == AttemptEnd::ResponseLost {
            self.unreported_sends += allowance.sends;
        }
    }
}

/// All lists of this length with elements of the set.
fn lists<T: Copy>(set: &[T], length: usize) -> Vec<Vec<T>> {
    (0..length).fold(vec![Vec::new()], |lists, _| {
        let longer = lists.iter().flat_map(|list| set.iter().map(|next| [&list[..], &[*next]].concat()));
        longer.collect()
    })
}

/// Checks every combination of server behavior with this number of shields.
fn check_all_combinations(shield_count: usize) {
    let server_lists: Vec<[ServerBehavior; SERVER_COUNT]> = lists(&SERVER_BEHAVIORS, SERVER_COUNT)
        .into_iter()
        .map(|list| list.try_into().expect("one behavior per server"))
        .collect();
    for shields in lists(&SHIELD_BEHAVIORS, shield_count) {
        for servers in &server_lists {
            for tries in 1..=3 {
                check_combination(&shields, servers, tries);
            }
        }
    }
}

fn check_combination(shields: &[ShieldBehavior], servers: &[ServerBehavior; SERVER_COUNT], tries: u32) {
    let mut simulation = Simulation::new(shields, servers);
    let success = simulation.simulate_read(tries);
    let case = || format!("{tries} tries, {shields:?}, {servers:?}");
    let reached_count = simulation.reached_servers.len() as u32;
    assert!(reached_count <= tries, "{}: {reached_count} servers reached", case());
    assert!(simulation.send_count <= tries, "{}: sent {} times", case(), simulation.send_count);
    assert!(
        success || !simulation.success_in_flight,
        "{}: failed though a successful response was on its way",
        case()
    );
    // A fetch whose response was lost may have used fewer sends than it was lent.
    assert!(
        success || simulation.send_count + simulation.unreported_sends >= tries,
        "{}: failed with sends left over",
        case()
    );
}

#[test]
fn a_request_reaches_at_most_tries_servers_and_fails_only_without_sends_left() {
    for shield_count in 0..=3 {
        check_all_combinations(shield_count);
    }
}

#[test]
fn with_a_second_send_one_unresponsive_shield_does_not_fail_a_read() {
    use ShieldBehavior::{Frozen, LosesResponse, Normal, OutdatedConfig, Resets, Unreachable};
    for first in [Frozen, LosesResponse, Resets, Unreachable, OutdatedConfig] {
        for others in [&[Normal][..], &[Unreachable, Normal], &[OutdatedConfig], &[]] {
            for tries in 2..=3 {
                let shields = [&[first], others].concat();
                let success =
                    Simulation::new(&shields, &[ServerBehavior::Responds; SERVER_COUNT]).simulate_read(tries);
                assert!(success, "{tries} tries, {shields:?}");
            }
        }
    }
}

#[test]
fn with_no_send_left_a_stored_response_still_serves_a_read() {
    use ShieldBehavior::{Frozen, HasStoredResponse, JoinsSuccessfulFetch, LosesResponse, Resets};
    for first in [Frozen, LosesResponse, Resets] {
        for second in [HasStoredResponse, JoinsSuccessfulFetch] {
            assert!(
                Simulation::new(&[first, second], &[ServerBehavior::Hangs; SERVER_COUNT]).simulate_read(1),
                "{first:?}, {second:?}"
            );
        }
    }
}

#[test]
fn a_budget_regains_only_sends_that_were_certainly_not_used() {
    let report = |used| Usage::Reported(SendReport { used, exhausted: true });
    for (usage, expected_left) in [
        (Usage::Unused, 3),
        (Usage::Unknown, 1),
        (report(0), 3),
        (report(1), 2),
        (report(2), 1),
        // A report of more than was lent returns nothing.
        (report(9), 1),
    ] {
        let mut budget = SendBudget::new(3);
        let reservation = budget.reserve(2);
        assert_eq!(budget.left(), 1);
        budget.settle_reservation(reservation, usage);
        assert_eq!(budget.left(), expected_left, "{usage:?}");
    }
    let mut budget = SendBudget::new(1);
    let _unsettled = budget.reserve(5);
    assert_eq!((budget.left(), SendBudget::new(0).left()), (0, 1));
}

#[test]
fn allowances_and_reports_survive_encoding_and_decoding() {
    let headers = |value: HeaderValue| HeaderMap::from_iter([(SENDS_HEADER, value)]);
    for sends in 0..=3 {
        for reserved in 0..=1 {
            let allowance = Allowance { sends, reserved_sends: reserved };
            assert_eq!(Allowance::from_request(&headers(allowance.encode()), 3), allowance);
        }
        for is_exhausted in [false, true] {
            let report = SendReport { used: sends, exhausted: is_exhausted };
            assert_eq!(SendReport::from_response(&headers(report.encode())), Some(report));
        }
    }
    let full_allowance = Allowance::all(2);
    assert_eq!(
        Allowance::from_request(&HeaderMap::new(), 2),
        full_allowance,
        "edges of earlier releases send no allowance"
    );
    for value in ["allowed=7", "allowed=-1", "allowed=", "", "noise", "allowed=99999999999999"] {
        let decoded = Allowance::from_request(&headers(HeaderValue::from_static(value)), 2);
        assert_eq!(decoded, full_allowance, "never more than the route allows: {value}");
    }
    for value in ["used=", "used=-1", "short", ""] {
        assert_eq!(SendReport::from_response(&headers(HeaderValue::from_static(value))), None, "{value}");
    }
}
