//! Changes of the settings file: new seeds are used at once, other changes need a restart.

use std::io;

use gingerkeel_domain::consensus::{LogIndex, NodeNumber};
use gingerkeel_settings::{ControlSettings, SettingsSource};
use gingerkeel_transport::FileWatch;
use tracing::info;

use crate::replication_client::ReplicationClient;

/// Spawns a task that reads the settings file again on each change or signal. A process whose seeds
/// are all gone can thus be told others without a restart.
///
/// # Errors
/// An [`io::Error`] if the file or the signal to reload it cannot be watched.
pub fn start(
    source: SettingsSource<ControlSettings>,
    in_force: &ControlSettings,
    replication: ReplicationClient,
) -> io::Result<()> {
    let watch = FileWatch::start(source.path())?;
    let mut in_force = in_force.clone();
    monoio::spawn(async move {
        let file = source.path().display().to_string();
        let take = move |settings: ControlSettings| {
            let seeds_changed = take_seeds(&settings, &mut in_force);
            let others_changed = settings != in_force;
            let (replication, file) = (replication.clone(), file.clone());
            monoio::spawn(async move {
                if seeds_changed {
                    replication.use_seeds(seed_nodes(&settings));
                }
                let forms = seeds_changed && forms_cluster(&settings, &replication).await;
                let restart_needed = others_changed || forms;
                info!(event = "settings_read", file, seeds_changed, restart_needed);
            });
        };
        watch.read_changes(|| source.read(), take).await;
    });
    Ok(())
}

/// Takes over the seeds; returns whether they differ.
fn take_seeds(settings: &ControlSettings, in_force: &mut ControlSettings) -> bool {
    let (Some(new), Some(current)) = (&settings.seeds, &mut in_force.seeds) else {
        return false;
    };
    let changed = new.seeds != current.seeds;
    current.seeds.clone_from(&new.seeds);
    changed
}

/// Whether the process may still form the cluster, which it does with the seeds that it started with:
/// others could form a second one.
async fn forms_cluster(settings: &ControlSettings, replication: &ReplicationClient) -> bool {
    let may_form = settings.seeds.as_ref().is_some_and(|seeds| seeds.form);
    let status = replication.status().await;
    may_form && status.is_some_and(|status| status.last == LogIndex(0))
}

fn seed_nodes(settings: &ControlSettings) -> Vec<NodeNumber> {
    let seeds = settings.seeds.iter().flat_map(|seeds| seeds.seed_numbers());
    seeds.map(NodeNumber).collect()
}
