//! Serves operators' calls about routes, zones and roll-outs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerkeel_domain::identifiers::{ServiceName, ZoneName};
use gingerkeel_domain::rollout::RolloutOrder;
use gingerkeel_domain::routes::AcceptedRoutes;
use gingerkeel_transport::{
    ConnectionMemory, HttpRequest, HttpResponse, Limits, RequestHandler, RequestHead,
    RequestServer, TransportError,
};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpListener;
use monoio::time::timeout;
use tracing::info;

use crate::cluster_task::ClusterMessage;
use crate::order_checks::OrderChecks;
use crate::ports::{RouteAnswer, RouteCall, RouteInterface};
use crate::rollout_orders::{self, RolloutOrderError};
use crate::waiting_calls::{CallKind, WaitingCall, WaitingCalls, info_with_group};
use crate::zone_orders::{ZoneOrder, ZoneOrderError, carry_out, check_zone};

/// Time limit for a call; after it the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that a call takes for each byte of its body: parsed, with the document that is kept, as an
/// entry of the log, and as messages to other control processes.
const CALL_MEMORY_FACTOR: usize = 8;

/// What serves a call.
struct Context {
    interface: Rc<dyn RouteInterface>,
    checks: Rc<OrderChecks>,
    waiting: WaitingCalls,
    cluster: Tx<ClusterMessage>,
}

/// Accepts operators' connections until the process ends.
pub async fn serve(
    listener: TcpListener,
    interface: Rc<dyn RouteInterface>,
    checks: Rc<OrderChecks>,
    waiting: WaitingCalls,
    cluster: Tx<ClusterMessage>,
    memory: ConnectionMemory,
) {
    let context = Context { interface, checks, waiting, cluster };
    RequestServer::new("routes", Limits::default(), memory).serve(listener, context).await;
}

impl RequestHandler for Context {
    fn takes_body(&self, head: &RequestHead) -> bool {
        self.interface.takes_body(&head.method, head.uri.path())
    }

    fn memory_factor(&self) -> usize {
        CALL_MEMORY_FACTOR
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        respond(&request, self).await
    }

    fn reject(&self, error: &TransportError) -> HttpResponse {
        self.interface.answer(match error {
            TransportError::OutOfMemory(_) => RouteAnswer::Unavailable(error.to_string()),
            _ => RouteAnswer::Invalid(error.to_string()),
        })
    }
}

async fn respond(request: &HttpRequest, context: &Context) -> HttpResponse {
    let interface = context.interface.as_ref();
    match interface.parse_call(request) {
        Ok(RouteCall::Unknown) => interface.answer(RouteAnswer::Unknown),
        Ok(call) => carry_out_or_refuse(call, context).await,
        Err(error) => {
            info!(event = "routes_refused", %error);
            interface.answer(RouteAnswer::Invalid(error.to_string()))
        }
    }
}

/// Kind of a call, and the version of the configuration that it carries.
fn kind_of(call: &RouteCall) -> (CallKind, Option<u64>) {
    match call {
        RouteCall::Replace(routes) => (CallKind::Routes, Some(routes.configuration.version.0)),
        RouteCall::Evacuate(_) | RouteCall::Restore(_) => (CallKind::Zone, None),
        RouteCall::BeginRollout { .. } => (CallKind::Rollout, None),
        RouteCall::Read | RouteCall::ReadRollout(_) | RouteCall::Unknown => (CallKind::Read, None),
    }
}

async fn carry_out_or_refuse(call: RouteCall, context: &Context) -> HttpResponse {
    let (kind, version) = kind_of(&call);
    let waiting = context.waiting.begin(kind, version);
    match waiting.carry_out(carry_out_call(call, context, &waiting)).await {
        Ok(response) => response,
        Err(error) => context.interface.answer(RouteAnswer::Unavailable(error.to_string())),
    }
}

async fn carry_out_call(call: RouteCall, context: &Context, waiting: &WaitingCall) -> HttpResponse {
    let Context { checks, cluster, .. } = context;
    let interface = context.interface.as_ref();
    match call {
        RouteCall::Replace(routes) => replace_routes(*routes, context, waiting).await,
        RouteCall::Evacuate(zone) => match check_zone(&zone, &checks.zones, cluster).await {
            Ok(()) => order_zone(ZoneOrder { zone, evacuate: true }, interface, cluster).await,
            Err(error) => answer_zone_error(&zone, &error, interface),
        },
        RouteCall::Restore(zone) => {
            order_zone(ZoneOrder { zone, evacuate: false }, interface, cluster).await
        }
        RouteCall::BeginRollout { service, target, within } => {
            let order = rollout_orders::order(service, target, within, checks.limit);
            begin_rollout(&order, interface, cluster).await
        }
        RouteCall::ReadRollout(service) => read_rollout(service, interface, cluster).await,
        RouteCall::Read => read_routes(interface, cluster).await,
        RouteCall::Unknown => interface.answer(RouteAnswer::Unknown),
    }
}

async fn replace_routes(
    routes: AcceptedRoutes,
    context: &Context,
    waiting: &WaitingCall,
) -> HttpResponse {
    let interface = context.interface.as_ref();
    let version = routes.configuration.version.0;
    let valid = routes.configuration.validate();
    if let Err(error) =
        valid.and_then(|()| context.checks.zones.check_regions(&routes.configuration))
    {
        info!(event = "routes_refused", version, %error);
        return interface.answer(RouteAnswer::Invalid(error.to_string()));
    }
    let (reply, receiver) = oneshot::channel();
    let message = ClusterMessage::ReplaceRoutes { routes: Arc::new(routes), reply };
    // The cluster task lives as long as the process.
    let _ = context.cluster.send(message);
    let error = match timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(Ok(accepted))) => {
            info!(event = "routes_acknowledged", version, accepted = accepted.0);
            return interface.answer(RouteAnswer::Accepted(accepted));
        }
        Ok(Ok(Err(error))) => error.to_string(),
        _ => "the outcome is unknown: send the configuration again".to_owned(),
    };
    log_unknown_outcome(version, &error, waiting).await;
    interface.answer(RouteAnswer::Unavailable(error))
}

async fn log_unknown_outcome(version: u64, error: &str, waiting: &WaitingCall) {
    let view = waiting.group().await;
    info_with_group!(
        view,
        event = "routes_outcome_unknown",
        version,
        error,
        waited_ms = waiting.waited_ms()
    );
}

async fn order_zone(
    order: ZoneOrder,
    interface: &dyn RouteInterface,
    cluster: &Tx<ClusterMessage>,
) -> HttpResponse {
    match carry_out(&order, cluster).await {
        Ok(()) => {
            info!(event = "zone_ordered", zone = %order.zone, evacuate = order.evacuate);
            interface.answer(RouteAnswer::ZoneOrdered)
        }
        Err(error) => answer_zone_error(&order.zone, &error, interface),
    }
}

fn answer_zone_error(
    zone: &ZoneName,
    error: &ZoneOrderError,
    interface: &dyn RouteInterface,
) -> HttpResponse {
    info!(event = "zone_order_not_acknowledged", %zone, %error);
    interface.answer(match error {
        ZoneOrderError::UnknownZone(_) => RouteAnswer::Invalid(error.to_string()),
        _ => RouteAnswer::Unavailable(error.to_string()),
    })
}

async fn begin_rollout(
    order: &RolloutOrder,
    interface: &dyn RouteInterface,
    cluster: &Tx<ClusterMessage>,
) -> HttpResponse {
    let (service, version) = (&order.service, &order.target);
    match rollout_orders::carry_out(order, cluster).await {
        Ok(()) => {
            let duration_ms = order.duration_ms;
            info!(event = "rollout_ordered", %service, %version, duration_ms);
            interface.answer(RouteAnswer::RolloutOrdered)
        }
        Err(error) => {
            info!(event = "rollout_order_not_acknowledged", %service, %version, %error);
            interface.answer(match error {
                RolloutOrderError::UnderWay(_) => RouteAnswer::Conflict(error.to_string()),
                RolloutOrderError::NoServiceYet(_) | RolloutOrderError::Unknown => {
                    RouteAnswer::Unavailable(error.to_string())
                }
                _ => RouteAnswer::Invalid(error.to_string()),
            })
        }
    }
}

async fn read_rollout(
    service: ServiceName,
    interface: &dyn RouteInterface,
    cluster: &Tx<ClusterMessage>,
) -> HttpResponse {
    match rollout_orders::read(service, cluster).await {
        Ok(Some(rollout)) => interface.answer(RouteAnswer::Rollout(&rollout)),
        Ok(None) => interface.answer(RouteAnswer::NoRollout),
        Err(error) => interface.answer(RouteAnswer::Unavailable(error.to_string())),
    }
}

async fn read_routes(interface: &dyn RouteInterface, cluster: &Tx<ClusterMessage>) -> HttpResponse {
    let (reply, receiver) = oneshot::channel();
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::ReadRoutes { reply });
    match timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(Ok(Some(routes)))) => interface.answer(RouteAnswer::Current(&routes)),
        Ok(Ok(Ok(None))) => interface.answer(RouteAnswer::Empty),
        Ok(Ok(Err(error))) => interface.answer(RouteAnswer::Unavailable(error.to_string())),
        _ => {
            let error = "no quorum confirmed the read in time: ask another control process";
            interface.answer(RouteAnswer::Unavailable(error.to_owned()))
        }
    }
}
