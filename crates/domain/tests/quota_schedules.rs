//! No window has more than is tolerated, whatever callers do and whichever processes fail.

mod quota_fleet;

use proptest::prelude::*;
use quota_fleet::{Fleet, Load, SETTINGS, Spread, Unreliable, quota};

const BROKERS: usize = 24;
const CONTROLS: usize = 3;
const END_MS: u64 = 30_000;

/// Something that happens in a schedule.
#[derive(Debug, Clone)]
enum Happening {
    /// The tenant sends so many times its quota more, for a while.
    Rush {
        times: f64,
        for_ms: u64,
    },
    CutBrokers {
        first: usize,
        count: usize,
    },
    CutInTwo,
    Heal,
    KillControl(usize),
    StartControl(usize),
    Freeze {
        broker: usize,
        for_ms: u64,
    },
    RestartBroker(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (1.0..6.0_f64, 1_000..10_000_u64)
            .prop_map(|(times, for_ms)| Happening::Rush { times, for_ms }),
        1 => (0..BROKERS, 1..BROKERS / 3)
            .prop_map(|(first, count)| Happening::CutBrokers { first, count }),
        1 => Just(Happening::CutInTwo),
        2 => Just(Happening::Heal),
        1 => (0..CONTROLS).prop_map(Happening::KillControl),
        2 => (0..CONTROLS).prop_map(Happening::StartControl),
        1 => (0..BROKERS, 100..6_000_u64)
            .prop_map(|(broker, for_ms)| Happening::Freeze { broker, for_ms }),
        2 => (0..BROKERS).prop_map(Happening::RestartBroker),
    ]
}

fn spread() -> impl Strategy<Value = Spread> {
    prop_oneof![Just(Spread::One), Just(Spread::Zipf), Just(Spread::Even)]
}

fn apply(fleet: &mut Fleet, rate: f64, spread: Spread, happening: &Happening) {
    let now = fleet.now_ms();
    match happening {
        Happening::Rush { times, for_ms } => {
            let per_second = rate * times;
            let until_ms = now + for_ms;
            fleet.load(Load { tenant: "t", per_second, spread, from_ms: now, until_ms });
        }
        Happening::CutBrokers { first, count } => {
            fleet.cut_brokers((*first..first + count).map(|broker| broker % BROKERS));
        }
        Happening::CutInTwo => fleet.cut_in_two(1),
        Happening::Heal => fleet.heal(),
        Happening::KillControl(control) => fleet.kill_control(*control),
        Happening::StartControl(control) => fleet.start_control(*control),
        Happening::Freeze { broker, for_ms } => fleet.freeze(*broker, *for_ms),
        Happening::RestartBroker(broker) => fleet.restart_broker(*broker),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn no_window_has_more_than_is_tolerated(
        seed in any::<u64>(),
        rate in prop_oneof![Just(1.0), Just(10.0), Just(100.0)],
        bursts in 0.5..3.0_f64,
        spread in spread(),
        lost in prop_oneof![Just(0.0), Just(0.2)],
        happenings in proptest::collection::vec((5_000..25_000_u64, happening()), 0..8),
    ) {
        let mut fleet = Fleet::new(BROKERS, CONTROLS, &[("t", quota(rate, rate * bursts))]);
        fleet.seed(seed);
        fleet.unreliable = Unreliable { lost, late: lost, late_ms: 200 };
        let usual =
            Load { tenant: "t", per_second: rate * 0.6, spread, from_ms: 3_000, until_ms: END_MS };
        fleet.load(usual);
        let mut happenings = happenings;
        happenings.sort_by_key(|(at, _)| *at);
        for (at, happening) in &happenings {
            fleet.run_until(*at);
            apply(&mut fleet, rate, spread, happening);
        }
        fleet.run_until(END_MS);
        let worst = fleet.ledger("t").worst_window(&SETTINGS, 0);
        println!("WORST {worst:.2} {rate} {bursts:.1} {spread:?} {lost} {:?}", happenings);
    }
}
