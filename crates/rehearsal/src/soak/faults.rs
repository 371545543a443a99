//! Faults from outside, drawn from a seed.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_pcg::Pcg64;
use tracing::info;

use super::fleet::{BROKERS, CONTROLS, SoakFleet};
use super::leaves::{LeafMode, StandInLeaf, TROUBLED_MODES};
use super::record::Record;
use crate::error::RehearsalError;
use crate::relay::{LinkFault, Relay};

/// Time for which all control processes have to have run before one loses its disk.
const QUIET_BEFORE_WIPE: Duration = Duration::from_secs(6);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillControl,
    FreezeControl,
    WipeControl,
    KillBroker,
    FreezeBroker,
    StopBroker,
    TroubleLeaves,
    KillAllControls,
    DisturbFeed,
    DisturbLeafLinks,
}

const FAULTS: [Fault; 10] = [
    Fault::KillControl,
    Fault::FreezeControl,
    Fault::WipeControl,
    Fault::KillBroker,
    Fault::FreezeBroker,
    Fault::StopBroker,
    Fault::TroubleLeaves,
    Fault::KillAllControls,
    Fault::DisturbFeed,
    Fault::DisturbLeafLinks,
];

/// Causes faults, one after the other, until `end`.
///
/// # Errors
/// A [`RehearsalError`] when a process cannot be started again.
pub fn cause(
    fleet: &mut SoakFleet,
    leaves: &[StandInLeaf],
    record: &Record,
    random: &mut Pcg64,
    end: Instant,
) -> Result<(), RehearsalError> {
    let mut controls_quiet_since = Instant::now();
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(200..1_200)));
        let mut fault = FAULTS[random.random_range(0..FAULTS.len())];
        if fault == Fault::WipeControl && controls_quiet_since.elapsed() < QUIET_BEFORE_WIPE {
            fault = Fault::TroubleLeaves;
        }
        let control = random.random_range(0..CONTROLS);
        let broker = random.random_range(0..BROKERS);
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        info!(event = "fault", ?fault, control, broker, lasts_ms = lasts.as_millis() as u64);
        match fault {
            Fault::KillControl => {
                fleet.controls[control].kill();
                sleep(lasts);
            }
            Fault::FreezeControl => {
                fleet.controls[control].freeze()?;
                sleep(lasts);
            }
            Fault::WipeControl => {
                fleet.controls[control].kill();
                fleet.controls[control].wipe();
                sleep(lasts);
            }
            Fault::KillAllControls => {
                fleet.controls.iter_mut().for_each(super::fleet::Node::kill);
                sleep(lasts / 4);
            }
            Fault::KillBroker => {
                fleet.brokers[broker].kill();
                sleep(lasts);
            }
            Fault::FreezeBroker => {
                fleet.brokers[broker].freeze()?;
                sleep(lasts);
            }
            Fault::StopBroker => {
                if !fleet.brokers[broker].stop()? {
                    record.violation(format!("broker-{broker} did not end its planned stop"));
                }
            }
            Fault::TroubleLeaves => trouble(leaves, random, lasts),
            Fault::DisturbFeed => {
                let links = fleet.feeds[broker].iter().filter(|_| random.random_bool(0.6));
                disturb(&links.collect::<Vec<_>>(), random, lasts);
            }
            Fault::DisturbLeafLinks => {
                let links = leaves.iter().filter(|_| random.random_bool(0.4));
                disturb(&links.map(|leaf| &leaf.link).collect::<Vec<_>>(), random, lasts);
            }
        }
        note_own_ends(fleet, record);
        fleet.run_all()?;
        let of_control = matches!(
            fault,
            Fault::KillControl | Fault::FreezeControl | Fault::WipeControl | Fault::KillAllControls
        );
        if of_control {
            controls_quiet_since = Instant::now();
        }
    }
    Ok(())
}

/// Some leaves do badly for a while.
fn trouble(leaves: &[StandInLeaf], random: &mut Pcg64, lasts: Duration) {
    let mode = TROUBLED_MODES[random.random_range(0..TROUBLED_MODES.len())];
    let troubled: Vec<&StandInLeaf> = leaves.iter().filter(|_| random.random_bool(0.3)).collect();
    info!(event = "leaves_troubled", ?mode, count = troubled.len());
    troubled.iter().for_each(|leaf| leaf.set_mode(mode));
    sleep(lasts);
    troubled.iter().for_each(|leaf| leaf.set_mode(LeafMode::Sound));
}

/// Some links do badly for a while.
fn disturb(links: &[&Relay], random: &mut Pcg64, lasts: Duration) {
    let faults = [
        LinkFault::Delayed(Duration::from_millis(random.random_range(1..80))),
        LinkFault::Silent,
        LinkFault::SilentToTarget,
        LinkFault::SilentFromTarget,
        LinkFault::Reset,
    ];
    let fault = faults[random.random_range(0..faults.len())];
    info!(event = "links_disturbed", ?fault, count = links.len());
    links.iter().for_each(|link| link.disturb(fault));
    sleep(lasts);
    links.iter().for_each(|link| link.heal());
}

/// A process that ended though nobody ended it has failed.
fn note_own_ends(fleet: &mut SoakFleet, record: &Record) {
    let nodes = fleet.controls.iter_mut().chain(&mut fleet.brokers);
    let ended = nodes.into_iter().filter_map(|node| node.ended_by_itself().then_some(()));
    for () in ended {
        record.violation("a process ended by itself".to_owned());
    }
}
