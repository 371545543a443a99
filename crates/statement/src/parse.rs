//! Parser: converts text to statements.

use gingerkeel_domain::catalog::{CallerAccount, Change, LeafState, MemberState};
use gingerkeel_domain::identifiers::{
    CallerName, IndexVersion, Revision, ServiceName, ShardId, ZoneName,
};
use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;

use crate::fields::Fields;
use crate::{Statement, StatementError, Subject};

/// The grammar, printed by `gingerkeel --help`.
pub const GRAMMAR: &str = include_str!("grammar.pest");

/// Maximum size of a text in bytes.
pub const TEXT_LIMIT: usize = 256 * 1024;
/// Name prefix of keyword rules in the grammar.
const KEYWORD_PREFIX: &str = "kw_";

#[allow(missing_docs)]
mod grammar {
    /// The parser that `pest` generates from the grammar.
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}

use grammar::Grammar;
pub(crate) use grammar::Rule;

/// Parses a text of statements separated by `;`.
///
/// # Errors
/// A [`StatementError`] with the line and column of the error, where it has one.
pub fn parse(text: &str) -> Result<Vec<Statement>, StatementError> {
    if text.len() > TEXT_LIMIT {
        return Err(StatementError::TooLong(text.len(), TEXT_LIMIT));
    }
    let mut parsed =
        Grammar::parse(Rule::statements, text).map_err(|error| syntax_error(&error))?;
    let root = parsed.next().expect("the grammar yields its root");
    root.into_inner().filter(|pair| pair.as_rule() != Rule::EOI).map(statement).collect()
}

fn syntax_error(error: &pest::error::Error<Rule>) -> StatementError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(place) | LineColLocation::Span(place, _) => place,
    };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let names: Vec<String> = positives.iter().map(|rule| rule_name(*rule)).collect();
            format!("expected {}", names.join(" or "))
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    StatementError::Syntax(line, column, expected)
}

/// Name of a rule in error messages: keywords in capitals, other rules with spaces.
fn rule_name(rule: Rule) -> String {
    let name = format!("{rule:?}");
    match name.strip_prefix(KEYWORD_PREFIX) {
        Some(keyword) => keyword.to_ascii_uppercase(),
        None => name.replace('_', " "),
    }
}

pub(crate) fn is_keyword(rule: Rule) -> bool {
    format!("{rule:?}").starts_with(KEYWORD_PREFIX)
}

fn statement(pair: Pair<'_, Rule>) -> Result<Statement, StatementError> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    if rule == Rule::show {
        let subject = parts.nth(1).expect("a subject follows SHOW");
        return Ok(Statement::Show(show_subject(subject)?));
    }
    let action = parts.next().expect("a change has an action");
    let based_on = match parts.next() {
        Some(revision) => Some(Revision(Fields::of(revision).number()?)),
        None => None,
    };
    Ok(Statement::Change { change: change(action)?, based_on })
}

fn show_subject(pair: Pair<'_, Rule>) -> Result<Subject, StatementError> {
    let rule = pair.as_rule();
    let mut fields = Fields::of(pair);
    Ok(match rule {
        Rule::kw_services => Subject::Services,
        Rule::kw_leaves => Subject::Leaves,
        Rule::kw_callers => Subject::Callers,
        Rule::kw_brokers => Subject::Brokers,
        Rule::kw_controls => Subject::Controls,
        Rule::kw_status => Subject::Status,
        Rule::kw_revision => Subject::Revision,
        Rule::kw_changes => Subject::Changes,
        Rule::kw_routes => Subject::Routes,
        Rule::kw_tenants => Subject::Tenants,
        Rule::kw_directory => Subject::Directory,
        Rule::kw_zones => Subject::Zones,
        Rule::kw_rollouts => Subject::Rollouts,
        Rule::refused_requests => Subject::RefusedRequests,
        Rule::classes => Subject::Classes(fields.optional_name()?.map(ServiceName::new)),
        Rule::shards => Subject::Shards(fields.optional_name()?.map(ServiceName::new)),
        Rule::versions => Subject::Versions(fields.optional_name()?.map(ServiceName::new)),
        Rule::charges => Subject::Charges(fields.optional_name()?.map(CallerName::new)),
        other => unreachable!("{other:?} is not a subject of the grammar"),
    })
}

fn change(pair: Pair<'_, Rule>) -> Result<Change, StatementError> {
    let rule = pair.as_rule();
    let mut fields = Fields::of(pair);
    Ok(match rule {
        Rule::drain_leaf => {
            Change::SetLeafState { leaf: fields.leaf()?, state: LeafState::Draining }
        }
        Rule::resume_leaf => {
            Change::SetLeafState { leaf: fields.leaf()?, state: LeafState::Active }
        }
        Rule::remove_leaf => Change::RemoveLeaf(fields.leaf()?),
        Rule::add_leaf => Change::AddLeaf(fields.new_leaf()?),
        Rule::define_service => {
            Change::DefineService { service: fields.service()?, concurrency: fields.number()? }
        }
        Rule::define_class => fields.class_definition()?,
        Rule::define_caller => Change::DefineCaller {
            caller: CallerName::new(fields.name()?),
            account: CallerAccount { budget_per_second: fields.number()?, burst: fields.number()? },
        },
        Rule::assign_shard => {
            let shard = ShardId(fields.number()?);
            let service = fields.service()?;
            Change::AssignShard { service, shard, leaves: fields.remaining_leaves()? }
        }
        Rule::repartition => {
            Change::Repartition { service: fields.service()?, shards: fields.number()? }
        }
        Rule::publish => {
            let version = IndexVersion(fields.number()?);
            Change::PublishVersion { service: fields.service()?, version }
        }
        Rule::remove_service => Change::RemoveService(fields.service()?),
        Rule::remove_class => {
            let class = fields.class()?;
            Change::RemoveClass { service: fields.service()?, class }
        }
        Rule::set_price => {
            let class = fields.class()?;
            Change::SetPrice { service: fields.service()?, class, price: fields.number()? }
        }
        Rule::roll_out => fields.rollout()?,
        Rule::release_request => Change::ReleaseRequest(fields.digest()?),
        Rule::remove_caller => Change::RemoveCaller(CallerName::new(fields.name()?)),
        _ => return member_change(rule, fields),
    })
}

/// Converts changes of brokers, control processes and zones.
fn member_change(rule: Rule, mut fields: Fields<'_>) -> Result<Change, StatementError> {
    Ok(match rule {
        Rule::add_broker => Change::AddBroker { broker: fields.broker()? },
        Rule::drain_broker => {
            Change::SetBrokerState { broker: fields.broker()?, state: MemberState::Draining }
        }
        Rule::resume_broker => {
            Change::SetBrokerState { broker: fields.broker()?, state: MemberState::Active }
        }
        Rule::remove_broker => Change::RemoveBroker(fields.broker()?),
        Rule::add_control => Change::AddControl(fields.new_control()?),
        Rule::drain_control => {
            Change::SetControlState { control: fields.control()?, state: MemberState::Draining }
        }
        Rule::resume_control => {
            Change::SetControlState { control: fields.control()?, state: MemberState::Active }
        }
        Rule::remove_control => Change::RemoveControl(fields.control()?),
        Rule::evacuate_zone => Change::EvacuateZone(ZoneName::new(fields.name()?)),
        Rule::restore_zone => Change::RestoreZone(ZoneName::new(fields.name()?)),
        other => unreachable!("{other:?} is not a change of the grammar"),
    })
}
