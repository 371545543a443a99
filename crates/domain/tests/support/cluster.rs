//! Test harness around the replicated state.

use std::time::Duration;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{
    BrokerChange, ChangeOutcome, ChangeRefusal, ChangeRequest, ChargeReceipt, ChargeReport,
    ClusterState, Command, CommandBody, CommandId, CommandOutcome, ControlRenewal, LogIndex,
    WallTime,
};
use gingerkeel_domain::identifiers::{ControlName, Revision, ServiceName, SessionName};

pub const START: WallTime = WallTime(1_700_000_000_000);

/// A replicated state with its own log position and clock.
pub struct Cluster {
    pub state: ClusterState,
    pub index: u64,
    pub now: WallTime,
}

impl Cluster {
    pub fn new() -> Self {
        Self { state: ClusterState::default(), index: 0, now: START }
    }

    pub fn apply(&mut self, body: CommandBody) -> CommandOutcome {
        self.index += 1;
        self.state.apply(LogIndex(self.index), &Command { at: self.now, body })
    }

    pub fn request(&mut self, request: ChangeRequest) -> ChangeOutcome {
        match self.apply(CommandBody::Change(request)) {
            CommandOutcome::Change(outcome) => outcome,
            other => panic!("not the outcome of a change: {other:?}"),
        }
    }

    pub fn change(&mut self, session: &str, sequence: u64, change: Change) -> ChangeOutcome {
        self.request(request(session, sequence, None, change))
    }

    /// Advances the clock in steps small enough for the replicated time to keep up.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(Duration::from_secs(10)).min(end);
            self.apply(CommandBody::SetThreshold {
                service: ServiceName::new("none"),
                threshold: None,
            });
        }
    }

    pub fn renew(&mut self, control: &str, run: u64) {
        self.apply(CommandBody::RenewControl(ControlRenewal {
            control: ControlName::new(control),
            run,
            operators: "10.0.0.1:7001".parse().unwrap(),
            feed: "10.0.0.1:7002".parse().unwrap(),
        }));
    }

    pub fn report(&mut self, control: &str, change: BrokerChange) {
        let control = ControlName::new(control);
        self.apply(CommandBody::ReportBrokers { control, changes: vec![change] });
    }

    pub fn charge(&mut self, report: ChargeReport) -> ChargeReceipt {
        match self.apply(CommandBody::ReportCharges(vec![report])) {
            CommandOutcome::Charges(receipts) => receipts[0],
            other => panic!("not the outcome of charges: {other:?}"),
        }
    }
}

pub fn request(
    session: &str,
    sequence: u64,
    based_on: Option<u64>,
    change: Change,
) -> ChangeRequest {
    let id = CommandId { session: SessionName::new(session), sequence };
    ChangeRequest { id, based_on: based_on.map(Revision), change }
}

pub fn accepted(outcome: ChangeOutcome) -> u64 {
    match outcome {
        ChangeOutcome::Accepted { revision, .. } => revision.0,
        ChangeOutcome::Refused(refusal) => panic!("refused: {refusal}"),
    }
}

pub fn refusal(outcome: ChangeOutcome) -> ChangeRefusal {
    match outcome {
        ChangeOutcome::Refused(refusal) => refusal,
        accepted => panic!("accepted: {accepted:?}"),
    }
}
