//! Replacement of the route configuration, and proposals of directory changes.

use std::sync::Arc;

use gingerkeel_domain::cluster::CommandBody;
use gingerkeel_domain::directory::DirectoryReading;
use gingerkeel_domain::routes::AcceptedRoutes;
use tracing::info;

use super::pending_routes::RoutesReply;
use super::{ClusterMessage, ClusterTask};
use crate::directory_polling::RefreshRequest;

impl ClusterTask {
    /// Proposes a replacement of the route configuration. A superseded one is acknowledged at once,
    /// since the state holds only accepted versions.
    pub(super) fn replace_routes(&mut self, routes: Arc<AcceptedRoutes>, reply: RoutesReply) {
        let held = self.state.routes().version();
        if self.state.routes().current().is_some() && routes.configuration.version <= held {
            // The operator may have disconnected.
            let _ = reply.send(Ok(held));
            return;
        }
        self.pending_routes.add(routes.clone(), reply);
        self.propose_routes(routes);
    }

    fn propose_routes(&self, routes: Arc<AcceptedRoutes>) {
        let replication = self.replication.clone();
        let messages = self.own_messages.clone();
        monoio::spawn(async move {
            let proposed = replication.propose(CommandBody::ReplaceRoutes(routes.clone())).await;
            let Err(error) = proposed else {
                return;
            };
            // This task lives as long as the process.
            let _ = messages.send(ClusterMessage::RoutesNotProposed { routes, error });
        });
    }

    /// Handles an applied replacement: acknowledges it, and has the directory read at once if a
    /// route names an unlisted leaf.
    pub(super) fn routes_replaced(&mut self) {
        self.pending_routes.accepted(self.state.routes().version());
        let routes = self.state.routes().current();
        if routes.is_some_and(|routes| routes.names_unlisted_service(self.state.directory())) {
            // Without an external directory there is no receiver.
            let _ = self.senders.read_directory.send(RefreshRequest);
        }
    }

    /// Retries replacements without an outcome.
    pub(super) fn propose_routes_again(&mut self) {
        for routes in self.pending_routes.tick() {
            self.propose_routes(routes);
        }
    }

    /// Handles a reading of the external directory: proposes its difference to the replicated one.
    pub(super) fn directory_read(&mut self, reading: DirectoryReading) {
        let (now, known) = (self.clock.now(), self.state.directory());
        let mut listed = self.listed_leaves.read(now, known, reading);
        self.state.routes().clear_unlimited_cold_starts(&mut listed);
        let Some(delta) = self.state.directory().delta_to(&listed) else {
            return;
        };
        let (changed, gone) = (delta.changed.len(), delta.gone.len());
        info!(event = "directory_differs", base = delta.base.0, changed, gone);
        let replication = self.replication.clone();
        monoio::spawn(async move {
            if let Err(error) = replication.propose(CommandBody::ReportDirectory(delta)).await {
                info!(event = "directory_not_proposed", %error);
            }
        });
    }
}
