//! Admission when leaves run short of capacity.

use gingerkeel_domain::forwarding::{Admitted, Ended, OverloadGate, OverloadGateSettings};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn ended(in_time: bool) -> Ended {
    if in_time { Ended::InTime } else { Ended::Late { parts: None } }
}

/// Leaves that work on `capacity` requests at once, each for 50 ms; callers ask `per_tick` times
/// each 10 ms for each of two ranks. A request that ends more than 100 ms after it came is late.
struct World {
    gate: OverloadGate,
    settings: OverloadGateSettings,
    queue: Vec<(u64, usize)>,
    running: Vec<(u64, u64, usize)>,
    capacity: usize,
    in_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

impl World {
    fn new(capacity: usize) -> Self {
        Self {
            gate: OverloadGate::default(),
            settings: OverloadGateSettings::default(),
            queue: Vec::new(),
            running: Vec::new(),
            capacity,
            in_time: [0; 2],
            late: [0; 2],
            refused: [0; 2],
        }
    }

    fn run(&mut self, from: u64, to: u64, per_tick: usize) {
        (self.in_time, self.late, self.refused) = Default::default();
        for now in (from..to).step_by(10) {
            let over = self.running.extract_if(.., |(_, end, _)| *end <= now);
            for (came, _, rank) in over.collect::<Vec<_>>() {
                let in_time = now - came <= 100;
                let counts = if in_time { &mut self.in_time } else { &mut self.late };
                counts[rank] += 1;
                self.gate.finish(at(now), &self.settings, ended(in_time));
            }
            for rank in (0..per_tick * 2).map(|number| number % 2) {
                match self.gate.admit(at(now), &self.settings, rank as u32) {
                    Admitted::Yes => self.queue.push((now, rank)),
                    Admitted::No(_) => self.refused[rank] += 1,
                }
            }
            while self.running.len() < self.capacity && !self.queue.is_empty() {
                let (came, rank) = self.queue.remove(0);
                self.running.push((came, now + 50, rank));
            }
        }
    }
}

#[test]
fn nothing_is_refused_while_capacity_suffices() {
    let mut world = World::new(20);
    world.run(0, 5_000, 1);
    assert_eq!((world.refused, world.late), ([0; 2], [0; 2]));
    assert!(!world.gate.is_limiting());
}

#[test]
fn at_twice_the_capacity_the_higher_rank_is_answered_in_time() {
    let mut world = World::new(20);
    world.run(0, 3_000, 4);
    world.run(3_000, 10_000, 4);
    // 2,800 of each rank came; 2,800 of both can be answered.
    assert!(world.in_time[0] > 1_800, "{:?}", world.in_time);
    assert!(world.in_time[0] > world.in_time[1], "{:?}", world.in_time);
    assert!(world.late[0] + world.late[1] < 500, "{:?}", world.late);
    assert!(world.refused[1] > world.refused[0], "{:?}", world.refused);
}

#[test]
fn once_it_is_over_everything_is_admitted_again() {
    let mut world = World::new(20);
    world.run(0, 4_000, 6);
    assert!(world.gate.is_limiting());
    world.run(4_000, 8_000, 1);
    world.run(8_000, 10_000, 1);
    assert_eq!(world.refused, [0; 2]);
    assert!(!world.gate.is_limiting());
}

#[test]
fn a_few_late_requests_limit_nothing() {
    let (mut gate, settings) = (OverloadGate::default(), OverloadGateSettings::default());
    for number in 0..1_000 {
        let now = at(number * 5);
        assert_eq!(gate.admit(now, &settings, 3), Admitted::Yes);
        gate.finish(now, &settings, ended(number % 8 != 0));
    }
    assert!(!gate.is_limiting());
}

/// Every request lacks two of ten parts at its target latency, or most of them.
#[rstest]
#[case::a_few_slow_shards(8, false)]
#[case::all_leaves_are_short(3, true)]
fn only_parts_that_are_late_everywhere_tell_of_a_lack_of_capacity(
    #[case] in_time: usize,
    #[case] limits: bool,
) {
    let (mut gate, settings) = (OverloadGate::default(), OverloadGateSettings::default());
    for number in 0..200 {
        let now = at(number * 10);
        if gate.admit(now, &settings, 1) == Admitted::Yes {
            gate.finish(now, &settings, Ended::Late { parts: Some((in_time, 10)) });
        }
    }
    assert_eq!(gate.is_limiting(), limits);
}

#[test]
fn requests_that_callers_gave_up_say_nothing_and_are_not_under_way() {
    let (mut gate, settings) = (OverloadGate::default(), OverloadGateSettings::default());
    for number in 0..1_000 {
        assert_eq!(gate.admit(at(number), &settings, 0), Admitted::Yes);
        gate.finish(at(number), &settings, Ended::GivenUp);
    }
    assert_eq!(gate.in_flight(), 0);
    assert!(!gate.is_limiting());
}

#[test]
fn the_longer_it_lasts_the_later_callers_come_back() {
    let mut world = World::new(2);
    world.run(0, 1_000, 6);
    let asked = |world: &mut World, now| loop {
        if let Admitted::No(after) = world.gate.admit(at(now), &world.settings, 5) {
            return after;
        }
    };
    let early = asked(&mut world, 1_000);
    let late = asked(&mut world, 60_000);
    assert!(early < late, "{early:?} {late:?}");
    assert_eq!(late, world.settings.retry_after[1]);
    assert!(early >= world.settings.retry_after[0]);
}
