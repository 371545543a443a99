//! What a broker reports on its link.

use std::time::Duration;

use gingerkeel_domain::feed::ChargeTotals;
use gingerkeel_protocol::{SubscriberMessage, encode_document};
use local_sync::oneshot;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::{Link, LinkError, send};
use crate::engine::EngineMessage;
use crate::route_reports::{CrashReport, LinkUsage, SlowLeaves};

/// Time for which a report of slow leaves may wait for a link: the ages in it are off by the wait.
const SLOW_LEAVES_LIFE: Duration = Duration::from_millis(500);

/// Time that the engine has to tell its totals; it ends with the process.
const ENGINE_LIMIT: Duration = Duration::from_millis(500);

/// Time between two reports of charges and of overload: what a killed broker may not have reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Link {
    /// Sends what changed, or once more what has no receipt yet: a resend counts nothing twice.
    pub(super) async fn report_charges(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<(), LinkError> {
        self.reports_due = self.clock.now().after(REPORT_INTERVAL);
        let Some(totals) = self.charge_totals().await else {
            return Ok(());
        };
        let Some(report) = self.charges.report(&totals) else {
            if let Some(last) = self.last_report.take() {
                // The process may have given up waiting.
                let _ = last.recorded.send(());
            }
            return Ok(());
        };
        let counters = encode_document(&report.totals)?.into();
        let (sequence, run) = (report.sequence, report.run);
        send(writer, &SubscriberMessage::Charges { sequence, run, counters }).await
    }

    /// Sends what was seen of slow leaves, unless it has waited for a link too long to be of use.
    pub(super) async fn report_slow_leaves(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
        report: &SlowLeaves,
    ) -> Result<(), LinkError> {
        if self.clock.now().since(report.at) > SLOW_LEAVES_LIFE {
            return Ok(());
        }
        let observations = encode_document(&report.observations)?.into();
        send(writer, &SubscriberMessage::SlowLeaves { observations }).await
    }

    /// Sends what was found of a request, or asks for a trial of it, at once: each try may cost leaves.
    pub(super) async fn report_crash(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
        found: CrashReport,
    ) -> Result<(), LinkError> {
        let trial = found.trial;
        let Some(finding) = found.current(self.clock.now()) else {
            return Ok(());
        };
        let message = match trial {
            None => {
                let findings = encode_document(&vec![finding])?.into();
                SubscriberMessage::CrashFindings { findings }
            }
            Some(ticket) => {
                let finding = encode_document(&finding)?.into();
                SubscriberMessage::AskTrial { ticket, finding }
            }
        };
        send(writer, &message).await
    }

    /// Sends what tenants used, unless it was meant for a link that is lost.
    pub(super) async fn report_usage(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
        usage: &LinkUsage,
    ) -> Result<(), LinkError> {
        if usage.link != self.number {
            return Ok(());
        }
        let report = encode_document(&usage.report)?.into();
        send(writer, &SubscriberMessage::Usage { report }).await
    }

    /// Sends what there is to say of overload.
    pub(super) async fn report_overload(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<(), LinkError> {
        if self.last_report.is_some() {
            return Ok(());
        }
        let (reply, receiver) = oneshot::channel();
        self.send_engine(EngineMessage::ReadOverload { reply });
        let Ok(Ok(measured)) = timeout(ENGINE_LIMIT, receiver).await else {
            return Ok(());
        };
        for report in self.overload.reports(measured) {
            let report = encode_document(&report)?.into();
            send(writer, &SubscriberMessage::Overload { report }).await?;
        }
        Ok(())
    }

    /// The totals of the process; none while the engine ends.
    async fn charge_totals(&self) -> Option<ChargeTotals> {
        if let Some(last) = &self.last_report {
            return Some(last.totals.clone());
        }
        let (reply, receiver) = oneshot::channel();
        self.send_engine(EngineMessage::ReadCharges { reply });
        timeout(ENGINE_LIMIT, receiver).await.ok()?.ok()
    }
}
