//! From text to statements.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use gingerkeel_domain::catalog::{
    AnswerPolicy, CallerAccount, Change, ClassPolicy, Leaf, LeafState, Placement,
};
use gingerkeel_domain::identifiers::{
    CallerName, ClassName, IndexVersion, LeafId, RegionName, ServiceName, ShardId, ZoneName,
};
use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;

use crate::{Statement, StatementError, Subject};

/// The grammar, as shown by `gingerkeel --help`.
pub const GRAMMAR: &str = include_str!("grammar.pest");

/// Longest text that is parsed, in bytes.
const TEXT_LIMIT: usize = 256 * 1024;
/// What the names of keyword rules start with.
const KEYWORD_PREFIX: &str = "kw_";

#[allow(missing_docs)]
mod grammar {
    /// The parser that the grammar generates.
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}

use grammar::{Grammar, Rule};

/// Parses a text of statements separated by `;`.
///
/// # Errors
/// A [`StatementError`] with the line and column of the fault.
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

/// A rule as operators know it: a keyword in capitals, anything else in words.
fn rule_name(rule: Rule) -> String {
    let name = format!("{rule:?}");
    match name.strip_prefix(KEYWORD_PREFIX) {
        Some(keyword) => keyword.to_ascii_uppercase(),
        None => name.replace('_', " "),
    }
}

fn is_keyword(rule: Rule) -> bool {
    format!("{rule:?}").starts_with(KEYWORD_PREFIX)
}

fn statement(pair: Pair<'_, Rule>) -> Result<Statement, StatementError> {
    let rule = pair.as_rule();
    let fields: Vec<_> = pair.into_inner().filter(|pair| !is_keyword(pair.as_rule())).collect();
    let mut fields = Fields { pairs: fields.into_iter() };
    let change = match rule {
        Rule::show => return Ok(Statement::Show(fields.subject())),
        Rule::drain_leaf => {
            Change::SetLeafState { leaf: fields.leaf()?, state: LeafState::Draining }
        }
        Rule::resume_leaf => {
            Change::SetLeafState { leaf: fields.leaf()?, state: LeafState::Active }
        }
        Rule::remove_leaf => Change::RemoveLeaf(fields.leaf()?),
        Rule::add_leaf => Change::AddLeaf(fields.new_leaf()?),
        Rule::define_service => {
            Change::DefineService { service: fields.service(), concurrency: fields.number()? }
        }
        Rule::define_class => fields.class()?,
        Rule::define_caller => Change::DefineCaller {
            caller: CallerName::new(fields.text()),
            account: CallerAccount { budget_per_second: fields.number()?, burst: fields.number()? },
        },
        Rule::assign_shard => {
            let shard = ShardId(fields.number()?);
            let service = fields.service();
            Change::AssignShard { service, shard, leaves: fields.remaining_leaves()? }
        }
        Rule::repartition => {
            Change::Repartition { service: fields.service(), shards: fields.number()? }
        }
        Rule::publish => {
            let version = IndexVersion(fields.number()?);
            Change::PublishVersion { service: fields.service(), version }
        }
        other => unreachable!("{other:?} is not a statement of the grammar"),
    };
    Ok(Statement::Change(change))
}

/// The fields of a statement, in the order of the grammar.
struct Fields<'text> {
    pairs: std::vec::IntoIter<Pair<'text, Rule>>,
}

impl<'text> Fields<'text> {
    fn next(&mut self) -> Pair<'text, Rule> {
        self.pairs.next().expect("the grammar yields every field")
    }

    fn text(&mut self) -> &'text str {
        self.next().as_str()
    }

    fn number<T: FromStr>(&mut self) -> Result<T, StatementError> {
        number(&self.next())
    }

    fn leaf(&mut self) -> Result<LeafId, StatementError> {
        Ok(LeafId(self.number()?))
    }

    fn service(&mut self) -> ServiceName {
        ServiceName::new(self.text())
    }

    fn remaining_leaves(&mut self) -> Result<Vec<LeafId>, StatementError> {
        self.pairs.by_ref().map(|pair| Ok(LeafId(number(&pair)?))).collect()
    }

    fn subject(&mut self) -> Subject {
        match self.text().to_ascii_uppercase().as_str() {
            "SERVICES" => Subject::Services,
            "LEAVES" => Subject::Leaves,
            "CALLERS" => Subject::Callers,
            "BROKERS" => Subject::Brokers,
            _ => Subject::Status,
        }
    }

    fn new_leaf(&mut self) -> Result<Leaf, StatementError> {
        Ok(Leaf {
            id: self.leaf()?,
            address: self.address()?,
            placement: Placement {
                region: RegionName::new(self.text()),
                zone: ZoneName::new(self.text()),
            },
            slots: self.number()?,
            connection_limit: self.number()?,
            state: LeafState::Active,
        })
    }

    fn address(&mut self) -> Result<SocketAddr, StatementError> {
        let pair = self.next();
        let (line, column) = pair.line_col();
        let text = pair.as_str();
        text.parse().map_err(|_| StatementError::BadAddress(line, column, text.to_owned()))
    }

    fn class(&mut self) -> Result<Change, StatementError> {
        let name = ClassName::new(self.text());
        let service = self.service();
        let policy = ClassPolicy {
            name,
            priority: self.number()?,
            queue_limit: self.number()?,
            price: self.number()?,
            default_deadline: self.span()?,
            answer_policy: self.answer_policy()?,
        };
        Ok(Change::DefineClass { service, policy })
    }

    fn span(&mut self) -> Result<Duration, StatementError> {
        span(&self.next())
    }

    fn answer_policy(&mut self) -> Result<AnswerPolicy, StatementError> {
        let policy = self.next().into_inner().next().expect("a policy has one form");
        match policy.as_rule() {
            Rule::partial => {
                let last = policy.into_inner().last().expect("a span follows");
                let soft_deadline = span(&last)?;
                Ok(AnswerPolicy::Partial { soft_deadline })
            }
            _ => Ok(AnswerPolicy::Full),
        }
    }
}

fn number<T: FromStr>(pair: &Pair<'_, Rule>) -> Result<T, StatementError> {
    let (line, column) = pair.line_col();
    let text = pair.as_str();
    text.parse().map_err(|_| StatementError::OutOfRange(line, column, text.to_owned()))
}

fn span(pair: &Pair<'_, Rule>) -> Result<Duration, StatementError> {
    let (line, column) = pair.line_col();
    let text = pair.as_str().to_ascii_lowercase();
    let (digits, seconds) = match text.strip_suffix("ms") {
        Some(digits) => (digits, false),
        None => (text.trim_end_matches('s'), true),
    };
    let out_of_range = || StatementError::OutOfRange(line, column, text.clone());
    let count: u32 = digits.parse().map_err(|_| out_of_range())?;
    let count = u64::from(count);
    Ok(if seconds { Duration::from_secs(count) } else { Duration::from_millis(count) })
}
