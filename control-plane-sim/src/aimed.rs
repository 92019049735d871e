//! Schedules aimed at moments that random ones seldom meet: a promise that is forgotten before it is counted, a read
//! that overtakes the word that its view stands, proposals that overtake one another, losses and partitions while the
//! voters change, reads at a node that is out of contact, and a loss of power at an acknowledgement.
//!
//! Their seeds are a space of their own: seed 1 here has nothing to do with seed 1 of [`Schedule::generate`].

use glenfall_control_plane::Millis;
use rand::seq::SliceRandom;
use rand::Rng;

use crate::generator::{Generator, WATCHED};
use crate::losses::SYNC;
use crate::{rng, Action, Content, Schedule, Size};

/// A view stands by then at the latest, where nothing goes wrong.
const FIRST_VIEW: Millis = 800;
/// Moments in one schedule.
const MOMENTS: usize = 2;
/// How long it takes the cluster to be whole again after a moment.
const RECOVERY: Millis = 1_800;
/// What a node waits before it proposes a view that is needed, when it is the first in turn.
const PROPOSES_AFTER: Millis = 60;

/// A kind of moment: it adds its events from a time on, and returns when the cluster should be whole again.
type Moment = fn(&mut Generator, Millis) -> Millis;

/// Kinds of moments, and the sizes of the clusters that they are played on: losses and machines that stand by.
const KINDS: [(Moment, &[(u8, u8)]); 8] = [
    (Generator::promise_forgotten, &[(1, 0), (1, 0), (1, 1)]),
    (Generator::read_overtakes_word_of_view, &[(1, 0), (1, 0), (2, 0)]),
    (Generator::proposals_overtake, &[(1, 0), (2, 0), (1, 1)]),
    (Generator::power_lost_while_voters_change, &[(1, 1), (1, 2), (2, 1), (2, 2)]),
    (Generator::sets_apart_while_voters_change, &[(1, 1), (1, 1), (1, 2), (2, 1)]),
    (Generator::disks_lost_while_voters_change, &[(1, 1), (1, 1), (1, 2), (2, 1)]),
    (Generator::reads_out_of_contact, &[(1, 0), (2, 0), (1, 1)]),
    (Generator::power_lost_at_acknowledgement, &[(1, 0), (2, 0)]),
];

impl Schedule {
    /// One of the kinds above.
    pub fn aimed(seed: u64) -> Schedule {
        let (moment, sizes) = KINDS[(seed % KINDS.len() as u64) as usize];
        let place = seed / KINDS.len() as u64 % sizes.len() as u64;
        let (losses, spare) = sizes[place as usize];
        let mut generator = Generator::new(seed, Size { losses, spare }, rng::AIMED_EVENTS);
        let spares: Vec<u8> = (generator.size.voters() + 1..=generator.size.nodes()).collect();
        generator.add(0, Action::PowerOn { nodes: spares });
        let mut at = FIRST_VIEW + generator.rng.random_range(0..400);
        generator.operate_until(FIRST_VIEW / 2, at);
        for _ in 0..MOMENTS {
            let next = moment(&mut generator, at) + generator.rng.random_range(0..500);
            generator.operate_until(at, next);
            at = next;
        }
        generator.finish(seed, at, WATCHED)
    }
}

impl Generator {
    /// Operators act at times, so that there is something to lose.
    fn operate_until(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.operate(at);
            at += self.rng.random_range(100..500);
        }
    }

    /// Changes, reads and sessions at these nodes, one after the other.
    fn ask_at(&mut self, nodes: &[u8], from: Millis, until: Millis, pause: std::ops::Range<Millis>) {
        let mut at = from;
        while at < until {
            let n = nodes[self.rng.random_range(0..nodes.len())];
            match self.rng.random_range(0..4) {
                0 if self.rng.random() => self.add(at, Action::ChangeOnce { at: n, raise: 1 }),
                0 => self.add(at, Action::Change { at: n, raise: 1, content: Content::Put, lost: 0 }),
                1 => self.add(at, Action::OpenSession { at: n }),
                _ => self.add(at, Action::Read { at: n }),
            }
            at += self.rng.random_range(pause.clone());
        }
    }

    /// The voters in any order.
    fn shuffled_voters(&mut self) -> Vec<u8> {
        let mut voters: Vec<u8> = (1..=self.size.voters()).collect();
        voters.shuffle(&mut self.rng);
        voters
    }

    /// A link is lost at once, and does not come up again for so long.
    fn cut_link(&mut self, at: Millis, a: u8, b: u8, lasts: Millis) {
        self.add(at, Action::ResetLink { a, b });
        self.add(at, Action::Partition { pairs: vec![(a, b)], lasts });
    }

    /// A proposer has the promise of another voter and waits for its own disk. Meanwhile the two lose contact, the other
    /// voter goes on in a newer view without the proposer, loses its disk with the promise, and is back in contact.
    fn promise_forgotten(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        let (proposer, forgets, third) = (voters[0], voters[1], voters[2]);
        let stalled = self.rng.random_range(300..750);
        self.add(at, Action::StallDisk { node: proposer, lasts: stalled });
        self.cut_link(at, proposer, third, 2_500);
        let promised = at + PROPOSES_AFTER + self.rng.random_range(20..150);
        let away = self.rng.random_range(100..400);
        self.cut_link(promised, proposer, forgets, away);
        self.ask_at(&[forgets, third], promised + 20, promised + away, 20..60);
        let wipe = Action::Wipe { nodes: vec![forgets] };
        if self.rng.random() {
            let armed = promised + self.rng.random_range(20..150);
            self.add(armed, Action::OnAcknowledged { then: Box::new(wipe) });
        } else {
            let lost = promised + self.rng.random_range(100..500);
            self.add(lost, wipe);
        }
        self.ask_at(&[proposer, forgets], promised + 200, promised + 1_300, 20..60);
        promised + 1_300 + RECOVERY
    }

    /// All processes start again, and know of nothing committed until a view stands. The word that it does is late at
    /// the tail, and a read is not; a link of the member before the tail is lost when it has accepted the view.
    fn read_overtakes_word_of_view(&mut self, at: Millis) -> Millis {
        let (tail, all) = (self.size.voters(), self.all_nodes());
        let before = tail - 1;
        let others: Vec<u8> = (1..before).collect();
        let crash = match self.rng.random() {
            true => Action::Kill { nodes: all.clone() },
            false => Action::PowerOff { nodes: all.clone() },
        };
        self.add(at, crash);
        self.add(at + 20, Action::PowerOn { nodes: all });
        let by = self.rng.random_range(40..180);
        let channels = others.iter().map(|other| (*other, tail)).collect();
        self.add(at + 20, Action::Delay { channels, by, lasts: 2_000 });
        let installed = at + 150 + 2 * by;
        for _ in 0..self.rng.random_range(1..=2) {
            let peer = match self.rng.random() {
                true => tail,
                false => others[self.rng.random_range(0..others.len())],
            };
            let lost = installed + self.rng.random_range(0..300);
            self.add(lost, Action::ResetLink { a: before, b: peer });
        }
        self.ask_at(&[1, 1, before], at + 150, at + 1_500, 10..50);
        at + 1_500 + RECOVERY
    }

    /// Messages are late on some links, and links are lost, so that promises and views of several proposals cross.
    fn proposals_overtake(&mut self, at: Millis) -> Millis {
        let lasts = self.rng.random_range(800..2_000);
        for _ in 0..self.rng.random_range(2..=4) {
            let voters = self.shuffled_voters();
            let by = self.rng.random_range(30..500);
            self.add(at, Action::Delay { channels: vec![(voters[0], voters[1])], by, lasts });
        }
        for _ in 0..self.rng.random_range(2..=4) {
            let voters = self.shuffled_voters();
            let lost = at + self.rng.random_range(0..lasts);
            let away = self.rng.random_range(20..600);
            self.cut_link(lost, voters[0], voters[1], away);
        }
        let (voters, stalled) = (self.shuffled_voters(), self.rng.random_range(50..550));
        self.add(at, Action::StallDisk { node: voters[0], lasts: stalled });
        if self.rng.random_ratio(1, 3) {
            let lost = at + self.rng.random_range(100..lasts);
            self.add(lost, Action::Wipe { nodes: vec![voters[1]] });
        }
        self.ask_at(&voters, at, at + lasts + 400, 20..80);
        at + lasts + RECOVERY
    }

    /// A voter is replaced, and in the middle of it all lose power, some of them with their disks.
    fn power_lost_while_voters_change(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        self.add(at, Action::RemoveVoter { at: voters[1], node: voters[0] });
        let mut lost = at;
        for _ in 0..self.rng.random_range(1..=2) {
            lost += self.rng.random_range(60..500);
            let mut all = self.all_nodes();
            all.shuffle(&mut self.rng);
            let wipe = Action::Wipe { nodes: all[..usize::from(self.size.losses)].to_vec() };
            let power = Action::PowerOff { nodes: all.clone() };
            let wipes_first: bool = self.rng.random();
            let (first, second) = if wipes_first { (wipe, power) } else { (power, wipe) };
            self.add(lost, first);
            self.add(lost, second);
            self.power_on_each(lost, &all);
        }
        self.ask_at(&voters, at, lost + 1_200, 20..80);
        lost + RECOVERY
    }

    fn power_on_each(&mut self, lost: Millis, nodes: &[u8]) {
        for node in nodes {
            let back = lost + self.rng.random_range(10..300);
            self.add(back, Action::PowerOn { nodes: vec![*node] });
        }
    }

    /// A node is asked for a change of voters, so that it proposes the views of it; what it sends to other voters is
    /// late. Returns when about it sends the first of them, which takes the new voter in, or the second, which counts
    /// both sets.
    fn replacement(&mut self, at: Millis, proposer: u8, removed: u8) -> Millis {
        let by = self.rng.random_range(40..150);
        let others = (1..=self.size.voters()).filter(|other| *other != proposer);
        let channels = others.map(|other| (proposer, other)).collect();
        self.add(at, Action::Delay { channels, by, lasts: 1_500 });
        self.add(at, Action::RemoveVoter { at: proposer, node: removed });
        // A promise comes before the first view; that has to stand, and another promise to come, before the second.
        let sent = match self.rng.random() {
            true => PROPOSES_AFTER + 30 + by,
            false => 2 * PROPOSES_AFTER + 30 + 3 * by,
        };
        at + sent + self.rng.random_range(0..2 * by)
    }

    /// A view of a change of voters reaches a majority of the new set only, which then is alone; so is a
    /// majority of the old set.
    fn sets_apart_while_voters_change(&mut self, at: Millis) -> Millis {
        let (voters, successor) = (self.shuffled_voters(), self.size.voters() + 1);
        let losses = usize::from(self.size.losses);
        let (first, second) = (&voters[..losses], &voters[losses..]);
        let sent = self.replacement(at, first[0], second[0]);
        let lasts = self.rng.random_range(1_500..2_500);
        for a in first.iter().chain([&successor]) {
            for b in second {
                self.cut_link(sent, *a, *b, lasts);
            }
        }
        let all = self.all_nodes();
        self.ask_at(&all, sent, sent + lasts, 20..60);
        sent + lasts + RECOVERY
    }

    /// As many machines as may be lost lose their disks while a view of a change of voters is under way, and
    /// the others lose power. All have been there for long enough to count.
    fn disks_lost_while_voters_change(&mut self, at: Millis) -> Millis {
        let (voters, losses) = (self.shuffled_voters(), usize::from(self.size.losses));
        let from = at + SYNC + RECOVERY;
        let sent = self.replacement(from, voters[0], voters[1]);
        // Not the one that is removed.
        let wiped = match self.rng.random() {
            true => voters[2..].iter().chain(&voters[..1]).take(losses).copied().collect(),
            false => voters[voters.len() - losses..].to_vec(),
        };
        self.add(sent, Action::WipeAfterRepair { nodes: wiped });
        let all = self.all_nodes();
        self.add(sent, Action::PowerOff { nodes: all.clone() });
        self.power_on_each(sent, &all);
        self.ask_at(&voters, from, sent + 1_200, 20..80);
        sent + RECOVERY
    }

    /// A node is out of contact, or does nothing, and does not know it, while the others go on; sessions open there.
    fn reads_out_of_contact(&mut self, at: Millis) -> Millis {
        // The head most often.
        let n = if self.rng.random() { 1 } else { self.any_node() };
        let others: Vec<u8> = self.all_nodes().into_iter().filter(|other| *other != n).collect();
        let lasts = self.rng.random_range(300..2_500);
        let to = others.iter().map(|other| (n, *other)).collect::<Vec<_>>();
        let from = others.iter().map(|other| (*other, n)).collect();
        match self.rng.random_range(0..5) {
            0 => self.add(at, Action::Partition { pairs: to, lasts }),
            1 => self.add(at, Action::PartitionOneWay { channels: to, lasts }),
            2 => self.add(at, Action::PartitionOneWay { channels: from, lasts }),
            3 => self.add(at, Action::Pause { nodes: vec![n], lasts }),
            _ => self.add(at, Action::Delay { channels: from, by: lasts / 4, lasts }),
        }
        if self.rng.random_ratio(1, 3) {
            let again = at + self.rng.random_range(0..lasts);
            self.add(again, Action::Kill { nodes: vec![n] });
            self.add(again + 20, Action::PowerOn { nodes: vec![n] });
        }
        self.ask_at(&others, at, at + lasts, 30..90);
        self.ask_at(&[n], at, at + lasts + 300, 20..60);
        at + lasts + RECOVERY
    }

    /// All lose power as soon as a change is acknowledged, while all disks but a few are slow; some disks are lost with
    /// it.
    fn power_lost_at_acknowledgement(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        let losses = usize::from(self.size.losses);
        let lasts = self.rng.random_range(100..500);
        for node in &voters[losses..] {
            self.add(at, Action::StallDisk { node: *node, lasts });
        }
        let all = self.all_nodes();
        let power = Action::PowerOff { nodes: all.clone() };
        self.add(at, Action::OnAcknowledged { then: Box::new(power) });
        if self.rng.random_ratio(3, 4) {
            let wipe = Action::Wipe { nodes: voters[..losses].to_vec() };
            self.add(at, Action::OnAcknowledged { then: Box::new(wipe) });
        }
        for node in all {
            let back = at + lasts + self.rng.random_range(300..900);
            self.add(back, Action::PowerOn { nodes: vec![node] });
        }
        self.ask_at(&voters, at, at + lasts, 20..80);
        at + lasts + RECOVERY
    }
}
