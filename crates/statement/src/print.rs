//! Printer: converts statements to text that `parse` accepts.

use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

use gingerkeel_domain::catalog::{
    AnswerPolicy, Change, ClassPolicy, ControlMember, Leaf, LeafState, MemberState,
};
use gingerkeel_domain::identifiers::{LeafId, ServiceName};

use crate::{Statement, Subject};

impl Display for Statement {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        match self {
            Self::Show(subject) => write!(out, "SHOW {subject}"),
            Self::Change { change, based_on } => {
                print_change(out, change)?;
                match based_on {
                    Some(revision) => write!(out, " AT REVISION {revision}"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl Display for Subject {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        match self {
            Self::Services => out.write_str("SERVICES"),
            Self::Classes(service) => print_of(out, "CLASSES", service.as_ref()),
            Self::Leaves => out.write_str("LEAVES"),
            Self::Callers => out.write_str("CALLERS"),
            Self::Brokers => out.write_str("BROKERS"),
            Self::Controls => out.write_str("CONTROLS"),
            Self::Charges(caller) => print_of(out, "CHARGES", caller.as_ref()),
            Self::Shards(service) => print_of(out, "SHARDS", service.as_ref()),
            Self::Versions(service) => print_of(out, "VERSIONS", service.as_ref()),
            Self::Status => out.write_str("STATUS"),
            Self::Revision => out.write_str("REVISION"),
            Self::Changes => out.write_str("CHANGES"),
            Self::Routes => out.write_str("ROUTES"),
            Self::Tenants => out.write_str("TENANTS"),
            Self::Directory => out.write_str("DIRECTORY"),
            Self::Zones => out.write_str("ZONES"),
            Self::Rollouts => out.write_str("ROLLOUTS"),
            Self::RefusedRequests => out.write_str("REFUSED REQUESTS"),
        }
    }
}

fn print_of(out: &mut Formatter<'_>, subject: &str, name: Option<&impl Display>) -> Result {
    match name {
        Some(name) => write!(out, "{subject} OF {name}"),
        None => out.write_str(subject),
    }
}

fn print_change(out: &mut Formatter<'_>, change: &Change) -> Result {
    match change {
        Change::AddLeaf(leaf) => print_leaf(out, leaf),
        Change::SetLeafState { leaf, state: LeafState::Active } => {
            write!(out, "RESUME LEAF {leaf}")
        }
        Change::SetLeafState { leaf, state: LeafState::Draining } => {
            write!(out, "DRAIN LEAF {leaf}")
        }
        Change::RemoveLeaf(leaf) => write!(out, "REMOVE LEAF {leaf}"),
        Change::DefineService { service, concurrency } => {
            write!(out, "DEFINE SERVICE {service} CONCURRENCY {concurrency}")
        }
        Change::DefineClass { service, policy } => print_class(out, service, policy),
        Change::AssignShard { service, shard, leaves } => {
            write!(out, "ASSIGN SHARD {shard} OF {service} TO LEAF ")?;
            print_list(out, leaves)
        }
        Change::Repartition { service, shards } => {
            write!(out, "REPARTITION {service} INTO {shards} SHARDS")
        }
        Change::PublishVersion { service, version } => {
            write!(out, "PUBLISH VERSION {version} OF {service}")
        }
        Change::DefineCaller { caller, account } => write!(
            out,
            "DEFINE CALLER {caller} BUDGET {} BURST {}",
            account.budget_per_second, account.burst
        ),
        Change::RemoveService(service) => write!(out, "REMOVE SERVICE {service}"),
        Change::RemoveClass { service, class } => {
            write!(out, "REMOVE CLASS {class} OF {service}")
        }
        Change::SetPrice { service, class, price } => {
            write!(out, "SET PRICE OF {class} OF {service} TO {price}")
        }
        Change::RemoveCaller(caller) => write!(out, "REMOVE CALLER {caller}"),
        Change::AddBroker { broker } => write!(out, "ADD BROKER {broker}"),
        Change::SetBrokerState { broker, state } => {
            write!(out, "{} BROKER {broker}", verb(*state))
        }
        Change::RemoveBroker(broker) => write!(out, "REMOVE BROKER {broker}"),
        Change::AddControl(control) => print_control(out, control),
        Change::SetControlState { control, state } => {
            write!(out, "{} CONTROL {control}", verb(*state))
        }
        Change::RemoveControl(control) => write!(out, "REMOVE CONTROL {control}"),
        Change::EvacuateZone(zone) => write!(out, "EVACUATE ZONE {zone}"),
        Change::RestoreZone(zone) => write!(out, "RESTORE ZONE {zone}"),
        Change::BeginRollout(order) => {
            let (target, service, within) = (&order.target, &order.service, order.duration_ms);
            write!(out, "ROLL OUT VERSION {target} OF {service} WITHIN {within}ms")
        }
        Change::ReleaseRequest(digest) => write!(out, "RELEASE REQUEST {digest}"),
        // Not an operator statement: control processes issue this change, so it prints as a
        // comment.
        Change::AdvanceRollout(step) => {
            write!(out, "-- roll-out of {} goes on: {}", step.service, step.stage.as_str())
        }
    }
}

fn verb(state: MemberState) -> &'static str {
    match state {
        MemberState::Active => "RESUME",
        MemberState::Draining => "DRAIN",
        MemberState::Removed => "REMOVE",
    }
}

fn print_leaf(out: &mut Formatter<'_>, leaf: &Leaf) -> Result {
    write!(
        out,
        "ADD LEAF {} AT {} REGION {} ZONE {} SLOTS {} CONNECTIONS {}",
        leaf.id,
        leaf.address,
        leaf.placement.region,
        leaf.placement.zone,
        leaf.slots,
        leaf.connection_limit
    )
}

fn print_control(out: &mut Formatter<'_>, control: &ControlMember) -> Result {
    write!(
        out,
        "ADD CONTROL {} AT {} REGION {} ZONE {}",
        control.name, control.address, control.placement.region, control.placement.zone
    )
}

fn print_class(out: &mut Formatter<'_>, service: &ServiceName, policy: &ClassPolicy) -> Result {
    write!(
        out,
        "DEFINE CLASS {} OF {service} PRIORITY {} QUEUE {} PRICE {} DEADLINE ",
        policy.name, policy.priority, policy.queue_limit, policy.price
    )?;
    print_duration(out, policy.default_deadline)?;
    match policy.answer_policy {
        AnswerPolicy::Full => out.write_str(" FULL"),
        AnswerPolicy::Partial { soft_deadline } => {
            out.write_str(" PARTIAL AFTER ")?;
            print_duration(out, soft_deadline)
        }
    }
}

fn print_duration(out: &mut Formatter<'_>, span: Duration) -> Result {
    write!(out, "{}ms", span.as_millis())
}

fn print_list(out: &mut Formatter<'_>, leaves: &[LeafId]) -> Result {
    for (index, leaf) in leaves.iter().enumerate() {
        let separator = if index == 0 { "" } else { ", " };
        write!(out, "{separator}{leaf}")?;
    }
    Ok(())
}
