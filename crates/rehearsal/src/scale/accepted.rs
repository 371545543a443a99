//! When changes were accepted, by the logs of the control processes.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use crate::clock::Microseconds;

/// Marks a line that tells of an accepted change.
const ACCEPTED_EVENT: &str = "event=change_accepted";
/// Microseconds of a second.
const SECOND: u64 = 1_000_000;

/// Moments at which revisions were first accepted anywhere.
#[derive(Debug, Default)]
pub struct AcceptedTimes {
    first: BTreeMap<u64, Microseconds>,
}

impl AcceptedTimes {
    /// Reads the logs of so many control processes in a folder; a log that is missing tells
    /// nothing.
    pub fn read(folder: &Path, controls: u32) -> Self {
        let mut times = Self::default();
        for control in 0..controls {
            let log = fs::read_to_string(folder.join(format!("control-{control}.log")));
            for line in log.unwrap_or_default().lines() {
                times.add(line);
            }
        }
        times
    }

    /// When a revision was accepted, if a log tells it.
    pub fn of(&self, revision: u64) -> Option<Microseconds> {
        self.first.get(&revision).copied()
    }

    /// Takes a line of a log into account.
    pub fn add(&mut self, line: &str) {
        if !line.contains(ACCEPTED_EVENT) {
            return;
        }
        let revision = field(line, "revision=").and_then(|text| text.parse().ok());
        let at = field(line, "ts=").and_then(moment);
        if let (Some(revision), Some(at)) = (revision, at) {
            let first = self.first.entry(revision).or_insert(at);
            *first = at.min(*first);
        }
    }
}

fn field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    line.split(' ').find_map(|part| part.strip_prefix(name))
}

/// Microseconds since 1970 of a text as `2026-01-02T03:04:05.678901234Z`.
fn moment(text: &str) -> Option<Microseconds> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<u64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|part| part.parse::<u64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    let seconds = (days_since_1970(year, month, day)? * 24 + hour) * 3600 + minute * 60 + second;
    let micros = format!("{fraction:0<6}");
    Some(seconds * SECOND + micros.get(..6)?.parse::<u64>().ok()?)
}

/// Days from 1970 to a day of the Gregorian calendar, counted in years that begin in March.
fn days_since_1970(year: u64, month: u64, day: u64) -> Option<u64> {
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year / 4 - year / 100 + year / 400;
    let of_year = (153 * month + 2) / 5 + day - 1;
    (year * 365 + leap_days + of_year).checked_sub(719_468)
}
