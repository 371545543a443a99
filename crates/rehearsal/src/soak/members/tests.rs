//! Each check of a soak of control machines fails for a doctored record, and rounds keep to what may be lost.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

use super::configuration::document;
use super::group_record::{
    ANSWER_LIMIT, APPLY_LIMIT, Acknowledgement, CONTACT, CallSeen, Disturbance, GroupRecord, Probe,
    RETURN_LIMIT, ReadSeen, STRETCH, fault_of_content,
};
use super::plan::{Group, SEEDS, Step, TimedStep, draw_round};

const MOMENT: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A record in which version 7 was acknowledged at `at`, and the moment at which it began.
fn acknowledged(at: Duration) -> (GroupRecord, Instant) {
    let began = Instant::now() + Duration::from_secs(60);
    let mut record = GroupRecord::default();
    record.acknowledgements.push(Acknowledgement { version: 7, at: began + at });
    (record, began)
}

fn disturb(record: &mut GroupRecord, began: Instant, ended: Option<Instant>) {
    record.disturbances.push(Disturbance { machine: 2, began, ended });
}

fn missing(sent: Instant) -> Probe {
    Probe { broker: 1, sent, version: 7, served: false }
}

#[rstest]
#[case::in_time(APPLY_LIMIT - MOMENT, None, false)]
#[case::late(APPLY_LIMIT, None, true)]
#[case::during_a_fault(APPLY_LIMIT, Some(Duration::ZERO), false)]
#[case::soon_after_a_fault(APPLY_LIMIT + CONTACT, Some(APPLY_LIMIT), false)]
#[case::long_after_a_fault(APPLY_LIMIT + CONTACT + MOMENT, Some(APPLY_LIMIT), true)]
#[case::later_than_any_fault_allows(APPLY_LIMIT + STRETCH, Some(APPLY_LIMIT + STRETCH), true)]
fn a_broker_that_serves_an_older_configuration_is_found(
    #[case] sent: Duration,
    #[case] fault_ended: Option<Duration>,
    #[case] is_fault: bool,
) {
    let (mut record, began) = acknowledged(Duration::ZERO);
    if let Some(ended) = fault_ended {
        disturb(&mut record, began, Some(began + ended));
    }
    let fault = record.fault_of_probe(&missing(began + sent));
    assert_eq!(fault.is_some(), is_fault, "{fault:?}");
    assert_eq!(record.fault_of_probe(&Probe { served: true, ..missing(began + sent) }), None);
}

#[test]
fn a_fault_that_lasts_stretches_the_time_of_a_broker() {
    let (mut record, began) = acknowledged(Duration::ZERO);
    disturb(&mut record, began, None);
    assert_eq!(record.fault_of_probe(&missing(began + APPLY_LIMIT + CONTACT)), None);
    assert!(record.fault_of_probe(&missing(began + APPLY_LIMIT + STRETCH)).is_some());
}

#[test]
fn a_broker_that_goes_back_is_found() {
    let (mut record, began) = acknowledged(Duration::ZERO);
    disturb(&mut record, began, None);
    let probe = missing(began + SECOND);
    assert_eq!(record.fault_of_probe(&probe), None);
    record.served.insert(0, 7);
    assert_eq!(record.fault_of_probe(&probe), None, "another broker served it");
    record.served.insert(1, 7);
    let fault = record.fault_of_probe(&probe).expect("a fault");
    assert!(fault.contains("served by it before"), "{fault}");
}

#[rstest]
#[case::in_time(ANSWER_LIMIT, true, false)]
#[case::late(ANSWER_LIMIT + MOMENT, true, true)]
#[case::never(ANSWER_LIMIT, false, true)]
fn a_call_that_waits_too_long_is_found(
    #[case] waited: Duration,
    #[case] answered: bool,
    #[case] is_fault: bool,
) {
    let (mut record, sent) = acknowledged(Duration::ZERO);
    let call = CallSeen { machine: 2, sent, ended: sent + waited, answered };
    assert_eq!(record.fault_of_call(&call).is_some(), is_fault);
    disturb(&mut record, sent - SECOND, Some(sent - MOMENT));
    assert_eq!(record.fault_of_call(&call).is_some(), is_fault, "the freeze was over before");
    disturb(&mut record, sent + SECOND, None);
    assert_eq!(record.fault_of_call(&call), None, "the machine is frozen");
    assert_eq!(record.fault_of_call(&CallSeen { machine: 3, ..call }).is_some(), is_fault);
}

#[test]
fn a_read_that_is_older_than_what_was_acknowledged_is_found() {
    let (record, began) = acknowledged(SECOND);
    let sent = began + SECOND;
    let read = ReadSeen { machine: 2, sent, ended: sent + MOMENT, version: 6 };
    assert!(record.fault_of_read(&read).is_some_and(|fault| fault.contains("gave 6 after 7")));
    assert_eq!(record.fault_of_read(&ReadSeen { version: 7, ..read }), None);
    assert_eq!(record.fault_of_read(&ReadSeen { sent: began, ..read }), None);
}

#[rstest]
#[case::in_time(2, Duration::ZERO, RETURN_LIMIT, 7, false)]
#[case::late(2, Duration::ZERO, RETURN_LIMIT + MOMENT, 7, true)]
#[case::older(2, SECOND, 2 * SECOND, 6, true)]
#[case::at_another_machine(3, SECOND, 2 * SECOND, 7, true)]
fn a_machine_that_does_not_come_back_is_found(
    #[case] machine: usize,
    #[case] sent: Duration,
    #[case] ended: Duration,
    #[case] version: u64,
    #[case] is_fault: bool,
) {
    let (mut record, calm_since) = acknowledged(Duration::ZERO);
    assert!(record.fault_of_return(2, calm_since).is_some(), "nothing was read");
    let before = calm_since - MOMENT;
    record.reads.push(ReadSeen { machine: 2, sent: before, ended: calm_since, version: 7 });
    assert!(record.fault_of_return(2, calm_since).is_some(), "it was read before");
    let (sent, ended) = (calm_since + sent, calm_since + ended);
    record.reads.push(ReadSeen { machine, sent, ended, version });
    assert_eq!(record.fault_of_return(2, calm_since).is_some(), is_fault);
}

#[test]
fn a_newest_configuration_that_is_missing_at_the_end_is_found() {
    let (mut record, _) = acknowledged(Duration::ZERO);
    assert!(record.fault_of_last_read(2, None).is_some_and(|fault| fault.contains("nothing")));
    assert!(record.fault_of_last_read(2, Some(6)).is_some());
    assert_eq!(record.fault_of_last_read(2, Some(7)), None);
    assert_eq!(record.fault_of_last_read(2, Some(8)), None, "one that was sent later");
    assert!(record.fault_of_last_look(1).is_some());
    record.served.insert(1, 6);
    assert!(record.fault_of_last_look(1).is_some());
    record.served.insert(1, 7);
    assert_eq!(record.fault_of_last_look(1), None);
}

#[test]
fn other_content_under_a_version_is_found() {
    let mut content = document(7);
    assert_eq!(fault_of_content(7, &content), None);
    content["routes"] = serde_json::json!([]);
    assert!(fault_of_content(7, &content).is_some());
    assert!(fault_of_content(7, &document(8)).is_some());
}

fn rounds() -> impl Iterator<Item = (Group, Vec<TimedStep>)> {
    let mut random = Pcg64::seed_from_u64(1);
    let group = Group { standing: vec![1, 3, 4, 6, 8], gone: vec![0, 2, 5, 7] };
    (0..2_000).map(move |_| (group.clone(), draw_round(&group, &mut random)))
}

/// The machines that a step takes from the group, for a while or for good.
fn victim_of(step: &Step) -> Option<usize> {
    match step {
        Step::Kill(machine) | Step::Freeze(machine) | Step::Stop(machine) => Some(*machine),
        _ => None,
    }
}

#[test]
fn a_round_takes_at_most_two_machines_and_gives_them_back() {
    for (group, steps) in rounds() {
        let victims: BTreeSet<usize> =
            steps.iter().filter_map(|timed| victim_of(&timed.step)).collect();
        assert!((1..=2).contains(&victims.len()), "{steps:?}");
        assert!(victims.iter().all(|victim| group.standing.contains(victim)), "{steps:?}");
        let returned = steps
            .iter()
            .filter(|timed| matches!(timed.step, Step::Run(_) | Step::StartSuccessor(_)));
        assert_eq!(returned.count(), victims.len(), "{steps:?}");
    }
}

#[test]
fn the_seeds_of_a_machine_name_one_that_runs_all_the_while() {
    for (group, steps) in rounds() {
        let victims: Vec<usize> = steps.iter().filter_map(|timed| victim_of(&timed.step)).collect();
        let is_unharmed = |seed: &usize| group.standing.contains(seed) && !victims.contains(seed);
        for timed in &steps {
            let (seeds, least) = match &timed.step {
                Step::StartSuccessor(seeds) => (seeds, SEEDS),
                Step::Reseed(_, seeds) => (seeds, SEEDS - 1),
                _ => continue,
            };
            assert!(seeds.iter().any(is_unharmed), "{steps:?}");
            let distinct: BTreeSet<usize> = seeds.iter().copied().collect();
            assert!(distinct.len() == seeds.len() && seeds.len() >= least, "{steps:?}");
        }
    }
}

#[test]
fn rounds_hold_each_fault_alone_and_beside_another_and_seeds_that_are_gone() {
    let single = |wanted: fn(&Step) -> bool| {
        rounds().any(|(_, steps)| steps.iter().any(|timed| wanted(&timed.step)))
    };
    assert!(single(|step| matches!(step, Step::Wipe(_))));
    assert!(single(|step| matches!(step, Step::Freeze(_))));
    assert!(single(|step| matches!(step, Step::Stop(_))));
    assert!(single(|step| matches!(step, Step::StartSuccessor(seeds) if seeds.contains(&0))));
    let overlapping = |steps: &[TimedStep]| {
        steps.iter().filter(|timed| matches!(timed.step, Step::StartSuccessor(_))).count() == 2
    };
    assert!(rounds().any(|(_, steps)| overlapping(&steps)));
    assert!(rounds().any(|(_, steps)| steps.len() == 2));
}
