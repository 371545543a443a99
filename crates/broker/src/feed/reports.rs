//! Reports of a broker to the control process.

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

/// Maximum age of a report of slow leaves; the ages in it are off by the time that it waited.
const SLOW_LEAVES_MAX_AGE: Duration = Duration::from_millis(500);

/// Timeout for a reply of the engine, which gives none while it ends.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of the reports of charges and overload; a killed broker loses at most what it charged
/// in one interval.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Link {
    /// Sends changed totals, or resends unacknowledged ones; a resend counts nothing twice.
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
                // Fails if the process has stopped waiting.
                let _ = last.recorded.send(());
            }
            return Ok(());
        };
        let counters = encode_document(&report.totals)?.into();
        let (sequence, run) = (report.sequence, report.run);
        send(writer, &SubscriberMessage::Charges { sequence, run, counters }).await
    }

    /// Sends a report of slow leaves, unless it is older than [`SLOW_LEAVES_MAX_AGE`].
    pub(super) async fn report_slow_leaves(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
        report: &SlowLeaves,
    ) -> Result<(), LinkError> {
        if self.clock.now().since(report.at) > SLOW_LEAVES_MAX_AGE {
            return Ok(());
        }
        let observations = encode_document(&report.observations)?.into();
        send(writer, &SubscriberMessage::SlowLeaves { observations }).await
    }

    /// Sends a crash finding, or asks for a trial of the request. This is never delayed, since each
    /// attempt may crash leaves.
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

    /// Sends the usage of the tenants' quotas, unless the report was meant for an earlier link.
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

    /// Sends the overload reports that are due; none during a planned stop.
    pub(super) async fn report_overload(
        &mut self,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<(), LinkError> {
        if self.last_report.is_some() {
            return Ok(());
        }
        let (reply, receiver) = oneshot::channel();
        self.send_engine(EngineMessage::ReadOverload { reply });
        let Ok(Ok(measured)) = timeout(ENGINE_TIMEOUT, receiver).await else {
            return Ok(());
        };
        for report in self.overload.reports(measured) {
            let report = encode_document(&report)?.into();
            send(writer, &SubscriberMessage::Overload { report }).await?;
        }
        Ok(())
    }

    /// Totals of the process; none if the engine does not answer in time.
    async fn charge_totals(&self) -> Option<ChargeTotals> {
        if let Some(last) = &self.last_report {
            return Some(last.totals.clone());
        }
        let (reply, receiver) = oneshot::channel();
        self.send_engine(EngineMessage::ReadCharges { reply });
        timeout(ENGINE_TIMEOUT, receiver).await.ok()?.ok()
    }
}
