//! The processes of one size: real control processes and broker, hollow brokers behind relays.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::SizePlan;
use crate::error::RehearsalError;
use crate::fleet::{
    AnswerTopology, Binaries, ClassTopology, HollowTopology, ManagedProcess, PolicyTopology,
    ServiceTopology, Topology, ZoneTopology,
};
use crate::hollow_brokers::HollowBrokersSettings;

/// Control processes that vote, at most; the others are learners.
pub const VOTERS: usize = 5;

/// Processes of hollow brokers and the logs that they write.
pub struct HollowProcesses {
    /// The processes.
    pub processes: Vec<ManagedProcess>,
    /// Their logs.
    pub logs: Vec<PathBuf>,
}

/// Starts the processes of hollow brokers, which follow any of the control processes.
///
/// # Errors
/// A [`RehearsalError`] when one cannot be started.
pub fn start_hollow(
    plan: &SizePlan,
    controls: &[SocketAddr],
    folder: &Path,
) -> Result<HollowProcesses, RehearsalError> {
    let mut started = HollowProcesses { processes: Vec::new(), logs: Vec::new() };
    for first in (0..plan.brokers()).step_by(plan.per_process as usize) {
        let log = folder.join(format!("applied-{first}.jsonl"));
        let settings = HollowBrokersSettings {
            first,
            brokers: plan.per_process.min(plan.brokers() - first),
            prefix: "hollow".into(),
            control: controls.to_vec(),
            log: log.clone(),
        };
        started.processes.push(start_process(&settings, folder)?);
        started.logs.push(log);
    }
    Ok(started)
}

fn start_process(
    settings: &HollowBrokersSettings,
    folder: &Path,
) -> Result<ManagedProcess, RehearsalError> {
    let name = format!("hollow-brokers-{}", settings.first);
    let file = folder.join(format!("{name}.toml"));
    let text = toml::to_string(settings).expect("settings can be written as TOML");
    std::fs::write(&file, text).map_err(|error| RehearsalError::resource(file.display(), error))?;
    let arguments = ["hollow-brokers", "--settings", &file.to_string_lossy()];
    let program = Binaries::find()?.rehearsal();
    ManagedProcess::start(&name, &program, &arguments, &folder.join(format!("{name}.log")))
}

/// Control processes, one real broker over two real leaves, and a catalog of the planned size.
pub fn topology(plan: &SizePlan) -> Topology {
    let class = ClassTopology {
        name: "only".into(),
        queue: 64,
        price: 1,
        deadline_ms: 2000,
        answer: AnswerTopology::Full,
        rate: 1.0,
        not_repeatable_share: 0.0,
        obedient_share: 0.0,
    };
    let service = ServiceTopology {
        name: "real".into(),
        brokers: 1,
        leaves: 2,
        shards: 1,
        replicas: 2,
        slots: 5,
        connections: 75,
        service_ms: 5.0,
        concurrency: 64,
        classes: vec![class],
    };
    let zone = |name: &str| ZoneTopology { name: name.into(), region: "home".into() };
    Topology {
        controls: plan.controls as usize,
        voters: Some((plan.controls as usize).min(VOTERS)),
        relay_peers: true,
        zones: vec![zone("north"), zone("south")],
        leaf_processes: 2,
        zone_delay_ms: 0.0,
        region_delay_ms: 0.0,
        client_delay_ms: 0.0,
        journal: false,
        policy: PolicyTopology::Standard,
        connections_per_leaf: None,
        seed: 1,
        hollow: Some(HollowTopology { leaves: plan.leaves, shards: plan.shards }),
        services: vec![service],
    }
}
