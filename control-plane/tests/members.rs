//! Losses as close on each other as the promise allows, at cores of three, five and seven voters. A machine counts as
//! lost while it does nothing, and for `sync` after its return; one that is removed, until its successor has had that
//! time. Machines are lost at once where that allows it, also in the middle of a change of voters, and with slow disks.
//! Never may those that are left be no majority, nor changes stop for long, nor anything acknowledged be lost.
//! A failing seed is named and replays exactly: `MEMBERS_SEED=n cargo test -p glenfall-control-plane --test members`;
//! `MEMBERS_RUNS=n` plays more.

use std::collections::BTreeMap;

use glenfall_control_plane::chain::{Chain, ChainSettings, JointConfig, NodeId};
use glenfall_control_plane::Millis;
use glenfall_control_plane_sim::{node, ClusterSize, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PLAYED: Millis = 40_000;
/// From the word to leave until a process is ended.
const GRACE: Millis = 5300;
/// Before the first loss: the core grows from its seeds.
const QUIET: Millis = 3000;
/// Changes go through at least so often, whatever is lost within the promise: for each machine that may be lost a
/// silence of a second and the view that follows, all behind each other; and the views of a change of voters.
const STOP: Millis = 1500;
const STOP_EACH: Millis = 1500;

/// A machine that counts as lost.
enum Loss {
    /// Its power goes until then, at times with its disk, and nothing is heard of it.
    Silent { until: Millis },
    /// It ends, and all notice; it starts again then.
    Killed { until: Millis },
    /// It stands still, and goes on where it was.
    Frozen { until: Millis },
    /// For good. Its successor starts then, empty.
    Removed { successor: u8, starts: Millis },
    /// It leaves in order, and goes when nobody counts on it any more, by then at the latest. It starts again after so
    /// long, or its successor has had its time already.
    Leaves { until: Millis, again: Option<Millis> },
    /// It is back, or its successor has started, since then.
    Back { since: Millis },
}

struct Played {
    /// From the start of each successor until the machine that was removed has lost its vote.
    seated: Vec<Millis>,
    /// The same from the return of a machine until it is in a chain again.
    back: Vec<Millis>,
    changes: u64,
    struck: u64,
}

struct Play {
    seed: u64,
    world: World,
    rng: ChaCha8Rng,
    losses: BTreeMap<u8, Loss>,
    /// Machines that were removed, and since when the successor of each runs.
    removed: BTreeMap<u8, Option<Millis>>,
    /// Successors that have no seat yet, and since when they run.
    waiting: BTreeMap<u8, Millis>,
    /// A machine votes whose successor has had its time since it was removed.
    overdue: bool,
    /// Machines that came back and are in no chain yet.
    returning: BTreeMap<u8, Millis>,
    /// The next machine to become a successor.
    next_spare: u8,
    /// Machines that are to be removed as planned, and when: their successors have had their time by then.
    planned: BTreeMap<u8, Millis>,
    told: Played,
}

impl Play {
    fn new(seed: u64, size: ClusterSize, terms: ChainSettings, slow: Millis) -> Self {
        let mut world = World::with_settings(seed, size, terms);
        for machine in &mut world.machines {
            machine.disk.sync_duration = slow / 2 + 1..slow.max(2) + 1;
        }
        Play {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            losses: BTreeMap::new(),
            removed: BTreeMap::new(),
            waiting: BTreeMap::new(),
            overdue: false,
            returning: BTreeMap::new(),
            next_spare: size.voters() + 1,
            planned: BTreeMap::new(),
            told: Played { seated: Vec::new(), back: Vec::new(), changes: 0, struck: 0 },
            world,
        }
    }

    fn runs(&self, n: u8) -> bool {
        let machine = &self.world.machines[usize::from(n) - 1];
        machine.chain.is_some() && machine.paused_until <= self.world.now
    }

    fn members_at(&self, n: u8) -> Option<JointConfig> {
        self.world.chain(n).map(|chain| chain.members().clone())
    }

    /// One more machine is lost: one that counts, or that stands by.
    fn strike(&mut self) {
        let now = self.world.now;
        let candidates: Vec<u8> =
            self.world.nodes().filter(|n| self.runs(*n) && !self.losses.contains_key(n)).collect();
        if candidates.is_empty() {
            return;
        }
        // Whoever is the head, or the proposer, is met more often.
        let n = if self.rng.random_bool(0.3) {
            candidates[0]
        } else {
            candidates[self.rng.random_range(0..candidates.len())]
        };
        let until = now + self.rng.random_range(200..5000);
        let wipe = self.rng.random_bool(0.4);
        let votes = self.members_at(n).is_some_and(|members| members.contains(node(n)));
        let spare = self.next_spare <= self.world.size.nodes() && !self.planned.contains_key(&n);
        let loss = match self.rng.random_range(0..11) {
            8 if spare && votes => {
                let successor = self.next_spare;
                self.next_spare += 1;
                self.world.power_on(successor);
                // Whoever is in its time of starting counts as a loss; the one that it follows does not.
                self.losses.insert(successor, Loss::Back { since: now });
                self.planned.insert(n, now + self.world.settings.sync);
                self.told.struck += 1;
                return;
            }
            9 | 10 => Loss::Leaves { until: now + GRACE, again: Some(self.rng.random_range(100..3000)) },
            0..=3 if spare && votes => {
                let successor = self.next_spare;
                self.next_spare += 1;
                let at_once = self.rng.random_bool(0.5);
                let starts = now + if at_once { 0 } else { self.rng.random_range(0..6000) };
                Loss::Removed { successor, starts }
            }
            0 | 4 => Loss::Silent { until },
            5 => Loss::Killed { until: now + self.rng.random_range(100..3000) },
            _ => Loss::Frozen { until },
        };
        self.told.struck += 1;
        match loss {
            Loss::Killed { .. } => self.world.kill(n),
            Loss::Silent { .. } => self.world.power_off(n, wipe),
            Loss::Removed { .. } => self.world.power_off(n, true),
            Loss::Leaves { .. } => self.world.with_chain(n, Chain::leave),
            Loss::Frozen { .. } | Loss::Back { .. } => self.world.pause(n, 2 * PLAYED),
        }
        if matches!(loss, Loss::Removed { .. }) {
            self.removed.insert(n, None);
        }
        self.losses.insert(n, loss);
    }

    /// One or two operators, each at a machine that runs, and a reader.
    fn operate(&mut self) {
        let running: Vec<u8> = self.world.nodes().filter(|n| self.runs(*n)).collect();
        for _ in 0..self.rng.random_range(1..=2) {
            let n = running[self.rng.random_range(0..running.len())];
            let raise = self.rng.random_range(1..9);
            self.world.change_once(n, raise);
        }
        let n = running[self.rng.random_range(0..running.len())];
        self.world.read(n);
    }

    /// What time brings to those that are lost.
    fn mend(&mut self) {
        let (now, sync) = (self.world.now, self.world.settings.sync);
        let lost: Vec<u8> = self.losses.keys().copied().collect();
        for n in lost {
            let back = match &self.losses[&n] {
                Loss::Silent { until } | Loss::Killed { until } if now >= *until => {
                    self.world.power_on(n);
                    true
                }
                Loss::Frozen { until } if now >= *until => {
                    self.world.pause(n, 0);
                    true
                }
                Loss::Removed { successor, starts } if now >= *starts => {
                    let successor = *successor;
                    self.world.machine(n).removed = true;
                    self.world.power_on(successor);
                    self.waiting.insert(successor, now);
                    self.removed.insert(n, Some(now));
                    // Until it has had its time it counts, in the place of the one before it.
                    self.losses.insert(successor, Loss::Back { since: now });
                    self.losses.remove(&n);
                    false
                }
                Loss::Leaves { until, again } => {
                    let (until, again) = (*until, *again);
                    if now < until && self.world.chain(n).is_some_and(Chain::is_needed) {
                        continue;
                    }
                    assert!(now < until, "seed {}: {n} is counted on when its time is over", self.seed);
                    self.world.kill(n);
                    match again {
                        Some(after) => self.losses.insert(n, Loss::Killed { until: now + after }),
                        None => {
                            self.world.machine(n).removed = true;
                            self.losses.remove(&n)
                        }
                    };
                    false
                }
                Loss::Back { since } if now >= since + sync => {
                    self.losses.remove(&n);
                    false
                }
                _ => false,
            };
            if back {
                self.planned.remove(&n);
                self.returning.insert(n, now);
                self.losses.insert(n, Loss::Back { since: now });
            }
        }
    }

    /// Those that are to be removed as planned leave, as soon as the promise allows.
    fn leave_as_planned(&mut self) {
        let now = self.world.now;
        let due = |(n, at): (&u8, &Millis)| (now >= *at && !self.losses.contains_key(n)).then_some(*n);
        let Some(n) = self.planned.iter().find_map(due) else { return };
        if self.losses.len() < usize::from(self.world.size.losses) {
            self.planned.remove(&n);
            self.world.with_chain(n, Chain::leave);
            self.losses.insert(n, Loss::Leaves { until: now + GRACE, again: None });
        }
    }

    /// Those that run and have a vote are a majority of whoever counts by the newest view that any of them accepted.
    fn check_majority(&self) {
        let running: Vec<u8> = self.world.nodes().filter(|n| self.runs(*n)).collect();
        let disk = |n: &u8| self.world.machines[usize::from(*n) - 1].disk.durable.as_ref();
        let newest = running.iter().filter_map(disk).max_by_key(|disk| disk.accepted);
        let Some(newest) = newest else { return };
        let votes = |id: &NodeId| {
            let n = id.octets()[3];
            running.contains(&n) && disk(&n).is_some_and(|disk| disk.votes)
        };
        assert!(
            newest.members.majority(votes),
            "seed {}: at {} no majority of {:?} is left\n{}",
            self.seed,
            self.world.now,
            newest.members,
            self.world.describe()
        );
    }

    fn note_seats(&mut self) {
        let now = self.world.now;
        let views: Vec<_> = self
            .world
            .nodes()
            .filter(|n| self.runs(*n))
            .filter_map(|n| self.world.chain(n)?.view())
            .collect();
        let Some(view) = views.into_iter().max_by_key(|view| view.number).cloned() else { return };
        let members = &view.members;
        // Whose seat it takes is the core's own affair, and a machine that came back may have been before it.
        let overdue = |(n, successor): (&u8, &Option<Millis>)| {
            members.contains(node(*n))
                && successor.is_some_and(|since| now >= since + self.world.settings.sync)
        };
        self.overdue = self.removed.iter().any(overdue);
        let takes =
            |successor: &u8| members.voters.contains(&node(*successor)) && members.outgoing.is_empty();
        self.waiting.retain(|successor, _| !takes(successor));
        let out = |n: &u8| !members.contains(node(*n)) && members.outgoing.is_empty();
        let seated = &mut self.told.seated;
        self.removed.retain(|n, successor| {
            seated.extend(successor.filter(|_| out(n)).map(|since| now - since));
            successor.is_none() || !out(n)
        });
        let back = &mut self.told.back;
        self.returning.retain(|n, since| {
            let in_chain = view.chain.contains(&node(*n));
            if in_chain {
                back.push(now - *since);
            }
            !in_chain && members.contains(node(*n))
        });
    }

    /// Within the time that makes losses of those that are new, or back, no losses any more.
    fn check_times(&self) {
        let (now, sync) = (self.world.now, self.world.settings.sync);
        for (n, since) in self.waiting.iter().filter(|_| self.overdue).chain(&self.returning) {
            assert!(
                now < since + sync,
                "seed {}: at {now} machine {n} has no place after {sync} ms\n{}",
                self.seed,
                self.world.describe()
            );
        }
    }

    fn run(mut self) -> Played {
        let size = self.world.size;
        let mut next = QUIET;
        let (mut done, mut done_at) = (0, 0);
        while self.world.now < PLAYED {
            if let Err(violation) = self.world.step() {
                panic!("seed {}: {violation}\n{}", self.seed, self.world.describe());
            }
            let now = self.world.now;
            self.mend();
            self.leave_as_planned();
            if now >= next && self.losses.len() < usize::from(size.losses) {
                self.strike();
                // The next one comes as soon as it may, or somewhere in the middle of the mending.
                next = now + if self.rng.random_bool(0.3) { 0 } else { self.rng.random_range(0..4000) };
            }
            if now.is_multiple_of(100) {
                self.operate();
            }
            if self.world.committed.len() > done {
                (done, done_at) = (self.world.committed.len(), now);
            }
            self.note_seats();
            self.check_times();
            if now > QUIET {
                self.check_majority();
                assert!(
                    now < done_at.max(QUIET) + STOP + STOP_EACH * Millis::from(size.losses),
                    "seed {}: no change since {done_at}, now {now}\n{}",
                    self.seed,
                    self.world.describe()
                );
            }
        }
        self.told.changes = self.world.coverage.changes;
        self.told
    }
}

/// Cores of three, five and seven voters, on quick and on slow disks, and what `syncS` they are told.
fn play(seed: u64) -> (u8, Millis, Played) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let losses = (seed % 3) as u8 + 1;
    let slow = [10, 25, 50][rng.random_range(0..3)];
    // For what is not promised on these disks see the table of worst cases.
    let sync = rng.random_range(4..=6) * 1000;
    let size = ClusterSize { losses, spare: 6 };
    let terms = ChainSettings { sync, ..size.settings() };
    (losses, sync, Play::new(seed, size, terms, slow).run())
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn a_loss_as_soon_as_the_promise_allows_leaves_a_majority_and_loses_nothing() {
    let mut longest: BTreeMap<(u8, Millis), (Vec<Millis>, Millis)> = BTreeMap::new();
    let mut note = |(losses, sync, played): (u8, Millis, Played)| {
        let entry = longest.entry((losses, sync)).or_default();
        entry.0.extend(&played.seated);
        entry.1 = played.back.iter().copied().max().unwrap_or(0).max(entry.1);
        (played.changes, played.struck)
    };
    if let Some(seed) = number("MEMBERS_SEED") {
        let (changes, struck) = note(play(seed));
        println!("seed {seed}: {changes} changes, {struck} losses, {longest:?}");
        return;
    }
    let runs = number("MEMBERS_RUNS").unwrap_or(1600);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let (mut changes, mut struck) = (0, 0);
    std::thread::scope(|scope| {
        let part = |first| {
            scope.spawn(move || (first..runs).step_by(threads as usize).map(play).collect::<Vec<_>>())
        };
        let parts: Vec<_> = (0..threads).map(part).collect();
        for part in parts {
            for played in part.join().expect("a schedule failed; see above") {
                let (c, s) = note(played);
                changes += c;
                struck += s;
            }
        }
    });
    println!("{changes} changes acknowledged, {struck} losses");
    for ((losses, sync), (mut seated, back)) in longest {
        seated.sort();
        let (seats, last) = (seated.len(), seated.last().copied().unwrap_or(0));
        let nearly = seated.get(seats * 99 / 100).copied().unwrap_or(0);
        let over = seated.iter().filter(|took| **took > sync).count();
        println!("losses {losses}, syncS {sync} ms: {seats} removed, 99 % without a vote after {nearly} ms, the last after {last}, {over} later than syncS; back after {back} ms at most");
    }
    assert!(changes > runs * 50 && struck > runs * 5, "{changes} changes, {struck} losses");
}

#[test]
fn a_machine_that_comes_back_displaces_no_healthy_member_of_the_chain() {
    for losses in 1..=3 {
        for seed in 0..30 {
            let size = ClusterSize { losses, spare: 0 };
            let mut world = World::new(seed, size);
            let until = |world: &mut World, end: Millis| {
                while world.now < end {
                    world.step().expect("no property is broken");
                }
            };
            until(&mut world, QUIET);
            assert!(world.in_one_view());
            // The first in order of address, which is the head.
            world.power_off(1, false);
            until(&mut world, 17_000);
            world.power_on(1);
            // One that is whole hears it later than the others do.
            let late = size.voters();
            world.partition(1, late, 400);
            while world.now < 20_000 {
                world.step().expect("no property is broken");
                for n in 2..=size.voters() {
                    let view = world.chain(n).and_then(|chain| chain.view().cloned()).expect("a view stands");
                    assert!(
                        view.chain.contains(&node(late)),
                        "seed {seed}: {late} is left out of {}",
                        view.name()
                    );
                }
            }
            assert!(world.in_one_view(), "seed {seed}: it is taken in");
        }
    }
}
