//! Random valid event sequences, with a checker of the rules.

mod common;

use std::collections::BTreeMap;

use common::*;
use glenfall_balancer::*;

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) ^ (self.0 >> 7 & 0xffff)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

#[derive(Clone)]
struct SentAttempt {
    server: ServerId,
    at: Seconds,
    status: Option<Status>,
}

struct OpenRequest {
    class: ClassId,
    deadline: Seconds,
    sent: Vec<SentAttempt>,
    answered: bool,
}

/// Checks each action of a node against the rules.
#[derive(Default)]
struct Checker {
    requests: BTreeMap<RequestId, OpenRequest>,
    draining_since: BTreeMap<ServerId, Seconds>,
    accepted: Vec<Seconds>,
    retries: Vec<Seconds>,
    /// When each server last was sent an attempt or ended one.
    last_used: BTreeMap<ServerId, Seconds>,
    /// When idle connections to each server were last closed.
    last_closed: BTreeMap<ServerId, Seconds>,
}

impl Checker {
    fn check(&mut self, now: Seconds, settings: &Settings, action: &Action) -> Result<(), String> {
        match action {
            Action::Send { request, server, .. } => {
                let open_request = self.requests.get_mut(request).ok_or("send for an unknown request")?;
                if open_request.answered {
                    return Err("send after the final answer".into());
                }
                if self
                    .draining_since
                    .get(server)
                    .is_some_and(|&at| now > at + settings.guarantees.drain_grace)
                {
                    return Err("send to a draining server".into());
                }
                let ran: Vec<&SentAttempt> =
                    open_request.sent.iter().filter(|s| s.status.is_none_or(Status::may_have_run)).collect();
                let zone = |s: &ServerId| s.0.trim_end_matches(":80").bytes().last().unwrap() % 2;
                match open_request.class {
                    UNSAFE_CLASS if !ran.is_empty() => return Err("an unsafe request sent twice".into()),
                    KEYED_CLASS => {
                        for s in ran {
                            if now >= s.at + settings.classes[1].deduplication_window
                                || zone(&s.server) != zone(server)
                            {
                                return Err(
                                    "a keyed request sent outside its deduplication scope or window".into()
                                );
                            }
                        }
                    }
                    _ => {}
                }
                if let (Some(budget), Some(last)) =
                    (&settings.guarantees.retry_budget, open_request.sent.last())
                {
                    if last.status != Some(Status::NotCached) {
                        self.retries.push(now);
                        let within =
                            |times: &[Seconds]| times.iter().filter(|&&t| t > now - budget.window).count();
                        let allowed = budget.min_retries + budget.retry_ratio * within(&self.accepted) as f64;
                        if within(&self.retries) as f64 > allowed {
                            return Err("a retry beyond the budget".into());
                        }
                    }
                }
                self.last_used.insert(server.clone(), now);
                open_request.sent.push(SentAttempt { server: server.clone(), at: now, status: None });
            }
            Action::Refuse { request, .. } | Action::Fail(request) => {
                let open_request = self.requests.get_mut(request).ok_or("answer to an unknown request")?;
                if std::mem::replace(&mut open_request.answered, true) {
                    return Err("two final answers".into());
                }
                let ran = open_request.sent.iter().any(|s| s.status.is_none_or(Status::may_have_run));
                if matches!(action, Action::Refuse { .. }) && open_request.class != READ_CLASS && ran {
                    return Err("a refusal although the request may have run".into());
                }
            }
            Action::NotifyPeers(_) if !settings.limits.peer_messages => {
                return Err("a peer message although these are not allowed".into())
            }
            Action::CloseIdle(server) => {
                self.last_closed.insert(server.clone(), now);
            }
            _ => {}
        }
        Ok(())
    }

    /// Idle connections to a draining server must be closed within `close_on_drain` of the notice or the last use.
    fn check_drain_closes(&self, now: Seconds, settings: &Settings) -> Result<(), String> {
        let Some(within) = settings.guarantees.close_on_drain else { return Ok(()) };
        for (server, &since) in &self.draining_since {
            let due = since.max(self.last_used.get(server).copied().unwrap_or(0.0));
            if now > due + within && self.last_closed.get(server).is_none_or(|&at| at < due) {
                return Err(format!("connections to {server:?} left open"));
            }
        }
        Ok(())
    }

    fn check_deadlines(&self, now: Seconds, settings: &Settings) -> Result<(), String> {
        let is_late = |r: &OpenRequest| !r.answered && now > r.deadline + settings.guarantees.answer_grace;
        match self.requests.iter().find(|(_, r)| is_late(r)) {
            Some((id, _)) => Err(format!("{id:?} not answered in time")),
            None => Ok(()),
        }
    }
}

/// Runs a node with random events and returns the number of sends, or the first violation of a rule. `tamper` may
/// change the actions before they are checked.
fn run_random_events(seed: u64, steps: u32, tamper: impl Fn(&mut Vec<Action>)) -> Result<u32, String> {
    let mut rng = Rng(seed);
    let mut settings = settings();
    settings.limits.health_checks = seed.is_multiple_of(2);
    settings.limits.peer_messages = seed.is_multiple_of(5);
    if seed.is_multiple_of(3) {
        settings.cache = CacheMode::Aside { origin_kind: "origin".into() };
    }
    if seed % 4 < 2 {
        settings.guarantees.retry_budget =
            Some(RetryBudgetRule { window: 0.5, min_retries: 2.0, retry_ratio: 0.1 });
        settings.guarantees.close_on_drain = Some(0.2);
    }
    let mut balancer = Balancer::new(settings.clone(), seed).map_err(|e| e.to_string())?;
    let mut checker = Checker::default();
    let mut timers: Vec<(Seconds, TimerToken)> = Vec::new();
    let (mut now, mut next_id, mut sends) = (50.0, 0, 0);
    let mut roster: Vec<RosterEntry> = (1..=8).map(entry).collect();
    roster.push(origin());
    let mut events = vec![Event::Roster(RosterUpdate::Complete(roster.clone()))];
    for _ in 0..steps {
        now += rng.below(8) as f64 * 0.001;
        timers.retain(|&(at, token)| {
            let due = at <= now;
            if due {
                events.push(Event::Timer(token));
            }
            !due
        });
        // A host ends all attempts by the client's deadline.
        let attempts_in_flight: Vec<(RequestId, usize, bool)> = checker
            .requests
            .iter()
            .flat_map(|(&id, r)| {
                let is_expired = now >= r.deadline;
                r.sent
                    .iter()
                    .enumerate()
                    .filter(|(_, s)| s.status.is_none())
                    .map(move |(i, _)| (id, i, is_expired))
            })
            .collect();
        for (id, index, is_expired) in attempts_in_flight {
            if !is_expired && rng.below(40) > 0 {
                continue;
            }
            const STATUSES: [Status; 10] = [
                Status::Success,
                Status::Success,
                Status::Error,
                Status::Overloaded,
                Status::TimedOut,
                Status::Unreachable,
                Status::Broken,
                Status::NotCached,
                Status::Malformed,
                Status::Unknown,
            ];
            let status = if is_expired { Status::TimedOut } else { STATUSES[rng.below(10) as usize] };
            let open_request = checker.requests.get_mut(&id).unwrap();
            let elapsed = now - open_request.sent[index].at;
            open_request.sent[index].status = Some(status);
            checker.last_used.insert(open_request.sent[index].server.clone(), now);
            let finished = open_request.answered || status == Status::Success;
            let attempt = AttemptId(index as u32);
            // Some answers carry a load report, of a queue or of an idle server.
            let load = (rng.below(2) == 0)
                .then(|| Load { in_flight: rng.below(40) as f64, served_per_second: rng.below(100) as f64 });
            events.push(Event::Outcome(Outcome {
                request: id,
                attempt,
                status,
                elapsed,
                finished,
                cache_status: None,
                load,
            }));
        }
        match rng.below(10) {
            0..=5 => {
                let class = [READ_CLASS, READ_CLASS, KEYED_CLASS, UNSAFE_CLASS][rng.below(4) as usize];
                let remaining = 0.05 + rng.below(100) as f64 * 0.01;
                next_id += 1;
                let sent = Vec::new();
                let open_request = OpenRequest { class, deadline: now + remaining, sent, answered: false };
                checker.requests.insert(RequestId(next_id), open_request);
                checker.accepted.push(now);
                let write = class != READ_CLASS;
                let key = rng.below(50);
                events.push(Event::Request(NewRequest {
                    class: Some(class),
                    time_left: remaining,
                    write,
                    ..read(next_id, key)
                }));
            }
            6 => {
                let index = rng.below(roster.len() as u64) as usize;
                let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
                let state = states[rng.below(3) as usize];
                roster[index].state = state;
                if state == ServerState::Ready {
                    roster[index].started = Some(now);
                    checker.draining_since.remove(&roster[index].server);
                } else {
                    checker.draining_since.entry(roster[index].server.clone()).or_insert(now);
                }
                events.push(Event::Roster(RosterUpdate::Delta(vec![roster[index].clone()])));
            }
            7 if rng.below(4) == 0 && next_id > 0 => {
                let id = RequestId(1 + rng.below(next_id));
                events.push(Event::RequestCancelled(id));
            }
            8 => events.push(Event::HealthChecked { server: id(1 + rng.below(8)), status: Status::Success }),
            9 if settings.limits.peer_messages => {
                // A failing server, an overloaded server, or an invalid message.
                let tag: &[u8] = [&b""[..], b"~", b"~~", b"\xff"][rng.below(4) as usize];
                let bytes = [tag, id(1 + rng.below(8)).0.as_bytes()].concat();
                events.push(Event::Message { from: 1, bytes });
            }
            _ => {}
        }
        for event in events.drain(..) {
            // A request ends when the node gets the event, not when the batch is created.
            if let Event::RequestCancelled(id) | Event::Outcome(Outcome { request: id, finished: true, .. }) =
                event
            {
                checker.requests.get_mut(&id).unwrap().answered = true;
            }
            let mut actions = Vec::new();
            balancer.handle(now, event, &mut actions);
            tamper(&mut actions);
            for action in actions {
                checker.check(now, &settings, &action)?;
                match action {
                    Action::SetTimer { token, after } => timers.push((now + after.max(0.001), token)),
                    Action::Send { .. } => sends += 1,
                    _ => {}
                }
            }
        }
        checker.check_deadlines(now, &settings)?;
        checker.check_drain_closes(now, &settings)?;
    }
    Ok(sends)
}

#[test]
fn rules_hold_in_random_runs() {
    for seed in 1..=16 {
        let sends = run_random_events(seed, 2000, |_| {})
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        assert!(sends > 50, "seed {seed}: {sends} sends");
    }
}

#[test]
fn the_checker_catches_planted_violations() {
    let duplicate_sends = |actions: &mut Vec<Action>| {
        let sends: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        actions.extend(sends);
    };
    assert!(run_random_events(1, 3000, duplicate_sends).unwrap_err().contains("unsafe request sent twice"));
    let drop_failures = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::Fail(_)));
    assert!(run_random_events(1, 6000, drop_failures).unwrap_err().contains("not answered in time"));
    let refuse_instead_of_failing = |actions: &mut Vec<Action>| {
        for action in actions.iter_mut() {
            if let Action::Fail(request) = action {
                *action = Action::Refuse { request: *request, retry_after: None };
            }
        }
    };
    assert!(run_random_events(1, 6000, refuse_instead_of_failing)
        .unwrap_err()
        .contains("although the request may have run"));
    let drop_closes = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::CloseIdle(_)));
    assert!(run_random_events(4, 3000, drop_closes).unwrap_err().contains("left open"));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let trace = |(): ()| {
        let log = std::cell::RefCell::new(String::new());
        run_random_events(5, 3000, |actions| log.borrow_mut().push_str(&format!("{actions:?}\n"))).unwrap();
        log.into_inner()
    };
    assert!(trace(()) == trace(()));
}
