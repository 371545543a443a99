//! Conversion of the fields of a parsed statement to typed values.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use gingerkeel_domain::catalog::{
    AnswerPolicy, Change, ClassPolicy, ControlMember, Leaf, LeafState, MemberState, Placement,
};
use gingerkeel_domain::crash_suspects::RequestDigest;
use gingerkeel_domain::identifiers::{
    BrokerName, ClassName, ControlName, LeafId, RegionName, ServiceName, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::rollout::{ExposureLimit, RolloutOrder};
use pest::iterators::Pair;

use crate::StatementError;
use crate::parse::{Rule, is_keyword};

/// Maximum length of a name in characters.
const NAME_LIMIT: usize = 64;

/// Iterator over the fields of a statement, in the order of the grammar.
pub struct Fields<'text> {
    pairs: std::vec::IntoIter<Pair<'text, Rule>>,
}

impl<'text> Fields<'text> {
    /// Collects the fields of a statement, skipping keywords.
    pub fn of(statement: Pair<'text, Rule>) -> Self {
        let fields = statement.into_inner().filter(|pair| !is_keyword(pair.as_rule()));
        Self { pairs: fields.collect::<Vec<_>>().into_iter() }
    }

    fn next(&mut self) -> Pair<'text, Rule> {
        self.pairs.next().expect("the grammar yields every field")
    }

    pub fn number<T: FromStr>(&mut self) -> Result<T, StatementError> {
        number(&self.next())
    }

    pub fn name(&mut self) -> Result<&'text str, StatementError> {
        name(&self.next())
    }

    pub fn optional_name(&mut self) -> Result<Option<&'text str>, StatementError> {
        self.pairs.next().map(|pair| name(&pair)).transpose()
    }

    pub fn leaf(&mut self) -> Result<LeafId, StatementError> {
        Ok(LeafId(self.number()?))
    }

    pub fn service(&mut self) -> Result<ServiceName, StatementError> {
        Ok(ServiceName::new(self.name()?))
    }

    pub fn class(&mut self) -> Result<ClassName, StatementError> {
        Ok(ClassName::new(self.name()?))
    }

    pub fn broker(&mut self) -> Result<BrokerName, StatementError> {
        Ok(BrokerName::new(self.name()?))
    }

    pub fn control(&mut self) -> Result<ControlName, StatementError> {
        Ok(ControlName::new(self.name()?))
    }

    pub fn remaining_leaves(&mut self) -> Result<Vec<LeafId>, StatementError> {
        self.pairs.by_ref().map(|pair| Ok(LeafId(number(&pair)?))).collect()
    }

    pub fn new_leaf(&mut self) -> Result<Leaf, StatementError> {
        Ok(Leaf {
            id: self.leaf()?,
            address: self.address()?,
            placement: self.placement()?,
            slots: self.number()?,
            connection_limit: self.number()?,
            state: LeafState::Active,
        })
    }

    pub fn new_control(&mut self) -> Result<ControlMember, StatementError> {
        Ok(ControlMember {
            name: self.control()?,
            address: self.address()?,
            placement: self.placement()?,
            state: MemberState::Active,
        })
    }

    pub fn class_definition(&mut self) -> Result<Change, StatementError> {
        let name = self.class()?;
        let service = self.service()?;
        let policy = ClassPolicy {
            name,
            priority: self.number()?,
            queue_limit: self.number()?,
            price: self.number()?,
            default_deadline: self.duration()?,
            answer_policy: self.answer_policy()?,
        };
        Ok(Change::DefineClass { service, policy })
    }

    /// A roll-out order. The control process that accepts it fills in the time and the exposure
    /// limit of its settings.
    pub fn rollout(&mut self) -> Result<Change, StatementError> {
        let target = SoftwareVersion::new(self.name()?);
        let service = self.service()?;
        let duration_ms = u64::try_from(self.duration()?.as_millis()).unwrap_or(u64::MAX);
        let limit = ExposureLimit::default();
        Ok(Change::BeginRollout(RolloutOrder {
            service,
            target,
            duration_ms,
            limit,
            ordered_at_ms: 0,
        }))
    }

    /// The digest of a request, as 16 hexadecimal digits.
    pub fn digest(&mut self) -> Result<RequestDigest, StatementError> {
        let pair = self.next();
        let (line, column) = pair.line_col();
        let text = pair.as_str();
        let digest = u64::from_str_radix(text, 16).map(RequestDigest);
        digest.map_err(|_| StatementError::OutOfRange(line, column, text.to_owned()))
    }

    fn placement(&mut self) -> Result<Placement, StatementError> {
        Ok(Placement { region: RegionName::new(self.name()?), zone: ZoneName::new(self.name()?) })
    }

    fn address(&mut self) -> Result<SocketAddr, StatementError> {
        let pair = self.next();
        let (line, column) = pair.line_col();
        let text = pair.as_str();
        text.parse().map_err(|_| StatementError::BadAddress(line, column, text.to_owned()))
    }

    fn duration(&mut self) -> Result<Duration, StatementError> {
        duration(&self.next())
    }

    fn answer_policy(&mut self) -> Result<AnswerPolicy, StatementError> {
        let policy = self.next().into_inner().next().expect("a policy has one form");
        match policy.as_rule() {
            Rule::partial => {
                let last = policy.into_inner().last().expect("a duration follows");
                let soft_deadline = duration(&last)?;
                Ok(AnswerPolicy::Partial { soft_deadline })
            }
            _ => Ok(AnswerPolicy::Full),
        }
    }
}

fn name<'text>(pair: &Pair<'text, Rule>) -> Result<&'text str, StatementError> {
    let text = pair.as_str();
    if text.len() > NAME_LIMIT {
        let (line, column) = pair.line_col();
        return Err(StatementError::NameTooLong(line, column, text.len(), NAME_LIMIT));
    }
    Ok(text)
}

fn number<T: FromStr>(pair: &Pair<'_, Rule>) -> Result<T, StatementError> {
    let (line, column) = pair.line_col();
    let text = pair.as_str();
    text.parse().map_err(|_| StatementError::OutOfRange(line, column, text.to_owned()))
}

fn duration(pair: &Pair<'_, Rule>) -> Result<Duration, StatementError> {
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
