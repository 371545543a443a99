//! Whether leaves have room for what they are asked for, as one broker hears from them.
//!
//! A broker of a large fleet has one or two requests a second, too few to judge by how these end. But each
//! asks a leaf of many shards, and hears within milliseconds which of them are full. A part that a leaf refuses can
//! go to another one as long as the budget of retries covers it: leaves in general run short where they refuse more.
//! They do as well where most parts wait long behind others' work, before any leaf is full.

use std::time::Duration;

use crate::time::Timestamp;

/// Time over which answers are judged together: what leaves answer to one request comes within it.
const ROUND: Duration = Duration::from_millis(200);
/// Longest time over which answers are judged together: older ones tell nothing of the present.
const LONGEST_ROUND: Duration = Duration::from_secs(1);
/// Parts that a round needs to be judged.
const LEAST_PARTS: u32 = 8;

/// Share of slow parts from which on leaves in general run short: fewer are slow for reasons of their own.
const SLOW_SHARE: f64 = 0.5;
/// Part of the target latency from which on a part is slow: an answer takes as long as its slowest parts, several times
/// as long as most.
const SLOW_TARGET_SHARE: f64 = 0.5;
/// Factor of the limit where leaves are slow but take what they are asked for.
const SLOW_FACTOR: f64 = 0.8;

/// What became of the first attempt at a request, or at a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomFound {
    /// The leaf answered.
    Room,
    /// It answered late, or has not answered for long.
    LateRoom,
    /// It was full.
    NoRoom,
}

impl RoomFound {
    /// The leaf has answered after this time, or was given up after it.
    pub fn after(took: Duration, target: Duration) -> Self {
        if took > target.mul_f64(SLOW_TARGET_SHARE) { Self::LateRoom } else { Self::Room }
    }
}

/// What a round tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RoomVerdict {
    /// Leaves have room.
    Enough,
    /// They lack it.
    Lacking {
        /// Factor of the limit.
        factor: f64,
    },
}

/// What was heard of room.
#[derive(Debug, Default)]
pub(super) struct RoomWatch {
    began: Timestamp,
    found: u32,
    slow: u32,
    none: u32,
    lacking: bool,
}

impl RoomWatch {
    /// Whether leaves lacked room when it was judged last.
    pub(super) fn is_lacking(&self) -> bool {
        self.lacking
    }

    /// A part has found room or not, where retries cover this share of refusals; gives what the round tells that this ends.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        covered: f64,
        found: RoomFound,
    ) -> Option<RoomVerdict> {
        if now.since(self.began) > LONGEST_ROUND {
            *self = Self { began: now, ..Self::default() };
        }
        match found {
            RoomFound::Room => self.found += 1,
            RoomFound::LateRoom => self.slow += 1,
            RoomFound::NoRoom => self.none += 1,
        }
        let parts = self.found + self.slow + self.none;
        if parts < LEAST_PARTS || now.since(self.began) < ROUND {
            return None;
        }
        let share = |count: u32| f64::from(count) / f64::from(parts);
        let (refused, late) = (share(self.none), share(self.none + self.slow));
        let lacking = refused > covered;
        *self = Self { began: now, lacking, ..Self::default() };
        let factor = if lacking { 1.0 - refused / 2.0 } else { SLOW_FACTOR };
        let short = lacking || late > SLOW_SHARE;
        Some(if short { RoomVerdict::Lacking { factor } } else { RoomVerdict::Enough })
    }
}
