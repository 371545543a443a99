//! Simulates a rollout over a fleet of brokers on a virtual clock: how many requests reach a
//! version, and its final stage, while brokers restart or are partitioned and control processes are
//! down. Mutants verify that the checks detect the faults they guard against.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_domain::cluster::{
    ChangeRequest, ClusterState, Command, CommandBody, CommandId, LogIndex, WallTime,
};
use gingerkeel_domain::forwarding::Distance;
use gingerkeel_domain::identifiers::{
    LeafIdentity, Revision, ServiceName, SessionName, SoftwareVersion,
};
use gingerkeel_domain::rollout::{
    Evidence, ExposureLimit, LatencyBucket, OutcomeCounts, Progress, Rollout, RolloutAdvance,
    RolloutOrder, RolloutReport, RolloutStage, RuleContext, Stratum, VersionRule, next_stage,
    rules,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const BROKERS: usize = 73;
/// Duration of the rollout in milliseconds.
const DURATION: u64 = 12_000;
/// End of a simulation in milliseconds.
const END: u64 = 18_000;
/// Step of the clock in milliseconds.
const STEP: u64 = 10;
/// Interval of broker reports and of control rounds in milliseconds.
const REPORT: u64 = 250;
/// Duration of a lease in milliseconds.
const LEASE: u64 = 4_000;
/// Bad answers after which connected brokers must stop sending to a version within `LAST`.
const KNOWN_BAD: u64 = 50;
const LAST: u64 = 5_000;

/// A failure during the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// Every tenth broker restarts, in turn each second.
    BrokersRestart,
    /// A third of the brokers are partitioned between these times.
    BrokersCutOff(u64, u64),
    /// Control is down between these times; reports sent meanwhile are lost.
    ControlDown(u64, u64),
}

/// A deliberate fault of the implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Brokers keep the first share that they received.
    OldShare,
    /// Control evaluates the answers of one broker only.
    OneBrokerJudged,
    /// Control never rolls a version back.
    NoRollBack,
    /// Brokers ignore the expiry of their lease.
    NoLease,
}

struct Broker {
    /// The applied rollout; none while no rollout is known.
    rollout: Option<Rollout>,
    fresh_until: u64,
    evidence: Evidence,
}

struct Simulation {
    random: Pcg64,
    /// Request rate per second.
    rate: f64,
    /// Fraction of the answers of the version that fail.
    fails: f64,
    /// Time from which on the version fails.
    from: u64,
    trouble: Trouble,
    mutant: Mutant,
    state: ClusterState,
    index: u64,
    brokers: Vec<Broker>,
    /// Catalogs in flight to brokers, with their arrival times.
    in_flight: VecDeque<(u64, Catalog)>,
    moved_since: Option<u64>,
    requests: u64,
    exposed: u64,
    bad: u64,
    known_bad_at: Option<u64>,
    /// Requests to the version after the deadline that follows from `KNOWN_BAD`.
    late: u64,
    /// Requests to present leaves after the rollout was completed.
    after_completion: u64,
}

impl Simulation {
    fn new(seed: u64, rate: f64, fails: f64, trouble: Trouble, mutant: Mutant) -> Self {
        let broker =
            |_| Broker { rollout: None, fresh_until: LEASE, evidence: Evidence::default() };
        let mut simulation = Self {
            random: Pcg64::seed_from_u64(seed),
            rate,
            fails,
            // The fault starts while some brokers are unreachable.
            from: if matches!(trouble, Trouble::BrokersCutOff(..)) { 2_000 } else { 0 },
            trouble,
            mutant,
            state: ClusterState::default(),
            index: 0,
            brokers: (0..BROKERS).map(broker).collect(),
            in_flight: VecDeque::new(),
            moved_since: None,
            requests: 0,
            exposed: 0,
            bad: 0,
            known_bad_at: None,
            late: 0,
            after_completion: 0,
        };
        let order = RolloutOrder {
            service: ServiceName::new("search"),
            target: SoftwareVersion::new("v2"),
            duration_ms: DURATION,
            limit: ExposureLimit::default(),
            ordered_at_ms: 0,
        };
        let id = CommandId { session: SessionName::new("operator"), sequence: 1 };
        let change = Change::BeginRollout(order);
        simulation.apply(0, CommandBody::Change(ChangeRequest { id, based_on: None, change }));
        simulation
    }

    fn draw(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn apply(&mut self, now: u64, body: CommandBody) {
        self.index += 1;
        self.state.apply(LogIndex(self.index), &Command { at: WallTime(now), body });
        self.in_flight.push_back((now + 40, self.state.catalog().clone()));
    }

    fn rollout(&self) -> Rollout {
        let newest = self.state.catalog().rollouts().get(&ServiceName::new("search"));
        newest.expect("a roll-out").clone()
    }

    fn is_cut_off(&self, now: u64, broker: usize) -> bool {
        matches!(self.trouble, Trouble::BrokersCutOff(from, to)
            if broker.is_multiple_of(3) && (from..to).contains(&now))
    }

    fn is_control_down(&self, now: u64) -> bool {
        matches!(self.trouble, Trouble::ControlDown(from, to) if (from..to).contains(&now))
    }

    fn run(&mut self) {
        for now in (0..END).step_by(STEP as usize) {
            self.deliver(now);
            self.restart_brokers(now);
            let mut due = self.rate * STEP as f64 / 1_000.0;
            while due > 0.0 {
                if self.draw() < due {
                    self.request(now);
                }
                due -= 1.0;
            }
            if now.is_multiple_of(REPORT) && !self.is_control_down(now) {
                self.control_round(now);
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some((at, _)) = self.in_flight.front()
            && *at <= now
        {
            let (_, catalog) = self.in_flight.pop_front().expect("one is due");
            for broker in 0..BROKERS {
                if !self.is_cut_off(now, broker) {
                    self.put_in_force(broker, &catalog);
                }
            }
        }
        // A restored link or a new process receives the accepted catalog.
        let newest = self.state.catalog().clone();
        for broker in 0..BROKERS {
            if self.is_cut_off(now, broker) || self.is_control_down(now) {
                continue;
            }
            if now.is_multiple_of(1_000) {
                self.put_in_force(broker, &newest);
                self.brokers[broker].fresh_until = now + LEASE;
            }
        }
    }

    fn put_in_force(&mut self, broker: usize, catalog: &Catalog) {
        let newest = catalog.rollouts().get(&ServiceName::new("search")).cloned();
        let held = &mut self.brokers[broker].rollout;
        if self.mutant == Mutant::OldShare && held.is_some() {
            return;
        }
        *held = newest;
    }

    fn restart_brokers(&mut self, now: u64) {
        if self.trouble == Trouble::BrokersRestart && now % 1_000 == 500 {
            let turn = (now / 1_000) as usize;
            let catalog = self.state.catalog().clone();
            for broker in (turn % 10..BROKERS).step_by(10) {
                self.brokers[broker].evidence = Evidence::default();
                self.put_in_force(broker, &catalog);
            }
        }
    }

    fn request(&mut self, now: u64) {
        // Most callers use a few of the brokers.
        let broker = ((self.draw() * self.draw()) * BROKERS as f64) as usize;
        let draw = self.draw();
        let fresh = now < self.brokers[broker].fresh_until || self.mutant == Mutant::NoLease;
        let context = RuleContext { is_first: true, draw, is_fresh: fresh };
        self.requests += 1;
        let Some(rollout) = self.brokers[broker].rollout.clone() else {
            return;
        };
        let to_target =
            matches!(rules(&rollout, &BTreeSet::new(), context).first, VersionRule::Only(_));
        let fails = to_target && now >= self.from && self.draw() < self.fails;
        if to_target {
            self.exposed += 1;
            self.bad += u64::from(fails);
            if self.bad >= KNOWN_BAD && self.known_bad_at.is_none() {
                self.known_bad_at = Some(now);
            }
            self.late += u64::from(self.known_bad_at.is_some_and(|at| now > at + LAST));
        } else if self.rollout().stage == RolloutStage::Completed {
            self.after_completion += 1;
        }
        let took = LatencyBucket::of(Duration::from_secs_f64(0.02 * (1.0 + self.draw())));
        let leaf = LeafIdentity::new(format!("leaf-{}", self.random.next_u64() % 3));
        let evidence = &mut self.brokers[broker].evidence;
        evidence.requests += 1;
        evidence.exposed += u64::from(to_target);
        let stratum = Stratum { route: "r".into(), distance: Distance::Zone };
        let tally = match to_target {
            true => evidence.target.entry(stratum).or_default().entry(leaf).or_default(),
            false => evidence.present.entry(stratum).or_default(),
        };
        count(tally, fails, took);
    }

    fn control_round(&mut self, now: u64) {
        let rollout = self.rollout();
        let mut sum = Evidence::default();
        for broker in 0..BROKERS {
            if self.is_cut_off(now, broker) {
                continue;
            }
            let evidence = std::mem::take(&mut self.brokers[broker].evidence);
            if self.mutant != Mutant::OneBrokerJudged || broker == BROKERS - 1 {
                sum.merge(&evidence);
            }
        }
        let service = ServiceName::new("search");
        if self.mutant != Mutant::NoRollBack {
            let report =
                RolloutReport { service: service.clone(), begun: rollout.begun, evidence: sum };
            self.apply(now, CommandBody::ReportRollouts(vec![report]));
        }
        self.advance(now, service);
    }

    fn advance(&mut self, now: u64, service: ServiceName) {
        let rollout = self.rollout();
        let everywhere = (0..BROKERS).all(|broker| {
            let held = self.brokers[broker].rollout.as_ref();
            self.is_cut_off(now, broker) || held.is_some_and(|held| held.stage == rollout.stage)
        });
        let moving = rollout.stage == RolloutStage::Moving;
        self.moved_since = match everywhere && moving {
            true => self.moved_since.or(Some(now)),
            false => None,
        };
        let progress = Progress {
            elapsed: Duration::from_millis(now),
            everywhere_for: self.moved_since.map(|since| Duration::from_millis(now - since)),
        };
        let none = Evidence::default();
        let evidence = self.state.rollout_evidence().of(&rollout).unwrap_or(&none);
        if let Some(stage) = next_stage(&rollout, evidence, progress) {
            let begun: Revision = rollout.begun;
            self.apply(now, CommandBody::AdvanceRollout(RolloutAdvance { service, begun, stage }));
        }
    }

    /// The violation in a simulation of a failing version, if any.
    fn fault_of_bad(&self) -> Option<String> {
        let limit = ExposureLimit::default();
        let allowed = self.requests * u64::from(limit.share.0) / 1_000_000 + u64::from(limit.slack);
        if !matches!(self.rollout().stage, RolloutStage::RolledBack(_)) {
            return Some(format!("{:?}", self.rollout().stage));
        }
        if self.exposed > allowed {
            return Some(format!("{} of {allowed} requests", self.exposed));
        }
        (self.late > 0).then(|| format!("{} requests after the fault was known", self.late))
    }

    /// The violation in a simulation of a healthy version, if any.
    fn fault_of_healthy(&self) -> Option<String> {
        let completed = self.rollout().stage == RolloutStage::Completed;
        if !completed {
            return Some(format!("{:?}", self.rollout().stage));
        }
        (self.after_completion > 0).then(|| format!("{} after the end", self.after_completion))
    }
}

fn count(tally: &mut OutcomeCounts, fails: bool, took: LatencyBucket) {
    match fails {
        true => tally.failed += 1,
        false => *tally.answered.entry(took).or_default() += 1,
    }
}

/// Violations in twenty simulations with different seeds.
fn faults_of_bad(rate: f64, fails: f64, trouble: Trouble, mutant: Mutant) -> Vec<String> {
    let simulation = |seed| {
        let mut simulation = Simulation::new(seed, rate, fails, trouble, mutant);
        simulation.run();
        simulation.fault_of_bad()
    };
    (0..20).filter_map(simulation).collect()
}

#[rstest]
fn a_failing_version_gets_bounded_requests_and_is_rolled_back(
    #[values(20.0, 100.0, 600.0)] rate: f64,
    #[values(0.4, 1.0)] fails: f64,
    #[values(
        Trouble::Nothing,
        Trouble::BrokersRestart,
        Trouble::BrokersCutOff(1_000, 9_000),
        Trouble::ControlDown(1_500, 4_500)
    )]
    trouble: Trouble,
) {
    assert_eq!(faults_of_bad(rate, fails, trouble, Mutant::None), Vec::<String>::new());
}

#[rstest]
fn a_healthy_version_is_completed_in_time(
    #[values(60.0, 100.0, 600.0)] rate: f64,
    #[values(Trouble::Nothing, Trouble::BrokersRestart, Trouble::ControlDown(1_500, 4_500))]
    trouble: Trouble,
) {
    let simulation = |seed| {
        let mut simulation = Simulation::new(seed, rate, 0.0, trouble, Mutant::None);
        simulation.run();
        simulation.fault_of_healthy()
    };
    let faults: Vec<String> = (0..20).filter_map(simulation).collect();
    assert_eq!(faults, Vec::<String>::new());
}

/// A mutant is detected if most simulations show its fault.
#[rstest]
#[case::brokers_with_an_old_share(Mutant::OldShare, Trouble::Nothing)]
#[case::judged_by_one_broker(Mutant::OneBrokerJudged, Trouble::Nothing)]
#[case::nothing_rolled_back(Mutant::NoRollBack, Trouble::Nothing)]
#[case::no_lease(Mutant::NoLease, Trouble::BrokersCutOff(1_000, 18_000))]
fn a_mutant_is_detected(#[case] mutant: Mutant, #[case] trouble: Trouble) {
    let faults = faults_of_bad(600.0, 1.0, trouble, mutant);
    println!("{mutant:?}: {} of 20, first {:?}", faults.len(), faults.first());
    assert!(faults.len() > 10, "{} of 20", faults.len());
}
