//! The account of memory.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::holding::{Activity, ConnectionNumber, Holding};
use crate::time::Timestamp;

/// Bytes in a megabyte.
const MEGABYTE: u32 = 1024 * 1024;
/// Share of a process's memory for the connections of its clients.
const MEMORY_SHARE: f64 = 0.5;
/// Share of a process's descriptors for the connections of its clients.
const CONNECTION_SHARE: f64 = 0.75;
/// Share of a process's memory for the feeds of brokers, and for its peers.
const PROCESS_MEMORY_SHARE: f64 = 0.125;
/// Share of a process's descriptors for the feeds of brokers, and for its peers.
const PROCESS_CONNECTION_SHARE: f64 = 0.4;
/// Memory of an open connection with small messages, in bytes: its task, a read buffer, and the
/// head of a message.
const CONNECTION_BYTES: u64 = 12 * 1024;
/// Memory of an open connection of an administrative interface, in bytes: its task, and a buffer
/// that may hold a head of 16 KiB.
const MESSAGE_CONNECTION_BYTES: u64 = 40 * 1024;
/// Maximum number of connections of an administrative interface.
const MESSAGE_CONNECTIONS: usize = 256;
/// Time for which a connection that receives or sends is not evicted in favour of others, so that
/// callers who send at once go on while the memory is short.
const PROTECTED_TIME: Duration = Duration::from_secs(1);
/// Bytes of a small message, beyond the fixed charge of its connection.
const SMALL_MESSAGE_BYTES: u64 = 32 * 1024;
/// Share of the account for what connections hold beyond [`SMALL_MESSAGE_BYTES`]; the rest is left to
/// small messages.
const LARGE_SHARE: f64 = 0.75;
/// Share of the account that is left to new connections: what others receive does not keep them out.
const OPENING_SHARE: f64 = 0.0625;
/// Connections beyond the limit while evicted ones are being closed.
const CLOSING_CONNECTIONS: usize = 64;

/// Limits of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum of all charges together, in bytes.
    pub bytes: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Bytes charged for an open connection, whatever it does.
    pub connection_bytes: u64,
}

impl MemoryLimits {
    /// Limits for the clients of a process with this memory, in MB, and this number of descriptors.
    /// The rest is left to its own state, and to its connections to other processes.
    pub fn of_process(memory_mb: u32, open_files: u32) -> Self {
        Self {
            bytes: (f64::from(memory_mb) * f64::from(MEGABYTE) * MEMORY_SHARE) as u64,
            connections: (f64::from(open_files) * CONNECTION_SHARE) as usize,
            connection_bytes: CONNECTION_BYTES,
        }
    }

    /// Limits for the connections that other processes of the system open: feeds, or peers.
    pub fn of_processes(memory_mb: u32, open_files: u32) -> Self {
        Self {
            bytes: (f64::from(memory_mb) * f64::from(MEGABYTE) * PROCESS_MEMORY_SHARE) as u64,
            connections: (f64::from(open_files) * PROCESS_CONNECTION_SHARE) as usize,
            connection_bytes: CONNECTION_BYTES,
        }
    }

    /// Limits for the clients of a process's administrative interfaces, which are few.
    pub fn of_interfaces(memory_mb: u32, open_files: u32) -> Self {
        let process = Self::of_process(memory_mb, open_files);
        Self {
            connections: process.connections.min(MESSAGE_CONNECTIONS),
            connection_bytes: MESSAGE_CONNECTION_BYTES,
            ..process
        }
    }
}

/// Limits for the checks of a process by its platform: readiness and metrics. They stay apart from
/// those of clients, so that a process that is short of memory can still be watched.
pub const CHECK_LIMITS: MemoryLimits = MemoryLimits {
    bytes: 8 * MEGABYTE as u64,
    connections: 64,
    connection_bytes: MESSAGE_CONNECTION_BYTES,
};

/// Outcome of opening a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// Number of the connection; none if there is no room for it.
    pub number: Option<ConnectionNumber>,
    /// Connections to close in its favour.
    pub evicted: Vec<ConnectionNumber>,
}

/// Whether bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The bytes are charged.
    Granted,
    /// Evicted connections still hold the bytes: ask again once some of them are closed.
    Wait,
    /// There is no room, and no connection that should give way.
    Refused,
}

/// Outcome of a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Whether the bytes may be held.
    pub outcome: ChargeOutcome,
    /// Connections to close in favour of this one.
    pub evicted: Vec<ConnectionNumber>,
}

/// Memory held for all connections together.
///
/// Bytes are charged before they are held. When they run short, connections give way that have
/// been receiving or sending for longer than a second, first those that hold most for
/// longest. If there are none, the large messages that began last give way to earlier ones and to
/// small messages.
#[derive(Debug)]
pub struct MemoryAccount {
    limits: MemoryLimits,
    connections: BTreeMap<ConnectionNumber, Holding>,
    next: u64,
    /// Sum of all charges.
    charged: u64,
    /// Sum of what each connection holds beyond a small message.
    large: u64,
    /// Sum of what evicted connections that are still open hold beyond their fixed charge. That one
    /// stays until the client has read its refusal.
    leaving: u64,
    /// Number of evicted connections that are still open.
    leaving_connections: usize,
}

impl MemoryAccount {
    /// Creates an account without connections.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next: 0,
            charged: 0,
            large: 0,
            leaving: 0,
            leaving_connections: 0,
        }
    }

    /// The limits.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Bytes charged for all connections.
    pub fn charged(&self) -> u64 {
        self.charged
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Charges a new connection, which is idle. At the limit of connections, the one that has been
    /// idle for longest gives way, or one that has been receiving or sending for too long.
    pub fn open(&mut self, now: Timestamp) -> Opened {
        let has_memory = self.charged + self.limits.connection_bytes <= self.limits.bytes;
        let evicted = match has_memory && self.staying_connections() < self.limits.connections {
            true => None,
            false => self.evict_idle().or_else(|| self.evict_overdue(now)),
        };
        let has_room = has_memory
            && self.staying_connections() < self.limits.connections
            && self.connections.len() < self.limits.connections + CLOSING_CONNECTIONS;
        let number = has_room.then(|| self.add(now));
        Opened { number, evicted: evicted.into_iter().collect() }
    }

    /// Number of connections that were not told to close.
    fn staying_connections(&self) -> usize {
        self.connections.len() - self.leaving_connections
    }

    fn add(&mut self, now: Timestamp) -> ConnectionNumber {
        let number = ConnectionNumber(self.next);
        self.next += 1;
        let holding = Holding { bytes: 0, activity: Activity::Idle, since: now, evicted: false };
        self.connections.insert(number, holding);
        self.set_bytes(number, self.limits.connection_bytes);
        number
    }

    /// Notes what a connection does from now on.
    pub fn set_activity(&mut self, now: Timestamp, number: ConnectionNumber, activity: Activity) {
        if let Some(holding) = self.connections.get_mut(&number) {
            holding.activity = activity;
            holding.since = now;
        }
    }

    /// Charges a connection for more bytes that it is about to hold.
    pub fn charge(&mut self, now: Timestamp, number: ConnectionNumber, bytes: u64) -> Charge {
        let refused = Charge { outcome: ChargeOutcome::Refused, evicted: Vec::new() };
        let Some(holding) = self.connections.get(&number).filter(|holding| !holding.evicted) else {
            return refused;
        };
        let after = holding.bytes + bytes;
        let shortage = self.shortage(holding, bytes);
        if shortage == 0 {
            self.set_bytes(number, after);
            return Charge { outcome: ChargeOutcome::Granted, evicted: Vec::new() };
        }
        let evicted = self.evict_for(now, shortage, number, after <= self.small_bytes());
        let outcome = match self.leaving >= shortage {
            true => ChargeOutcome::Wait,
            false => ChargeOutcome::Refused,
        };
        Charge { outcome, evicted }
    }

    /// Whether a connection could be charged for these bytes now, or after evictions.
    pub fn could_charge(&self, now: Timestamp, number: ConnectionNumber, bytes: u64) -> bool {
        let Some(holding) = self.connections.get(&number) else {
            return false;
        };
        let shortage = self.shortage(holding, bytes);
        let evictable = self.connections.iter().filter(|(other, holding)| {
            **other != number && holding.is_overdue(now, PROTECTED_TIME, self.small_bytes())
        });
        let fixed = self.limits.connection_bytes;
        let evictable: u64 = evictable.map(|(_, holding)| holding.beyond(fixed)).sum();
        shortage <= self.leaving + evictable
    }

    /// Bytes that have to be released before a connection can be charged for `bytes` more.
    fn shortage(&self, holding: &Holding, bytes: u64) -> u64 {
        let for_opening = (self.limits.bytes as f64 * OPENING_SHARE) as u64;
        let of_all = (self.charged + bytes + for_opening).saturating_sub(self.limits.bytes);
        let after = (holding.bytes + bytes).saturating_sub(self.small_bytes());
        let growth = after - holding.beyond(self.small_bytes());
        let limit = (self.limits.bytes as f64 * LARGE_SHARE) as u64;
        let of_large = if growth == 0 { 0 } else { (self.large + growth).saturating_sub(limit) };
        of_all.max(of_large)
    }

    /// Releases bytes of a connection.
    pub fn release(&mut self, number: ConnectionNumber, bytes: u64) {
        if let Some(holding) = self.connections.get(&number) {
            let after = holding.bytes.saturating_sub(bytes).max(self.limits.connection_bytes);
            self.set_bytes(number, after);
        }
    }

    /// Removes a connection that is closed, with all that it holds.
    pub fn close(&mut self, number: ConnectionNumber) {
        self.set_bytes(number, 0);
        if let Some(holding) = self.connections.remove(&number) {
            self.leaving_connections -= usize::from(holding.evicted);
        }
    }

    /// Bytes up to which a connection with a message counts as small.
    fn small_bytes(&self) -> u64 {
        self.limits.connection_bytes + SMALL_MESSAGE_BYTES
    }

    fn set_bytes(&mut self, number: ConnectionNumber, bytes: u64) {
        let small = self.small_bytes();
        let Some(holding) = self.connections.get_mut(&number) else {
            return;
        };
        let before = holding.clone();
        holding.bytes = bytes;
        self.charged = self.charged - before.bytes + bytes;
        self.large = self.large - before.beyond(small) + holding.beyond(small);
        if holding.evicted {
            let fixed = self.limits.connection_bytes;
            self.leaving = self.leaving - before.beyond(fixed) + holding.beyond(fixed);
        }
    }

    /// Evicts connections until `bytes` will be released, as far as any has to give way to the
    /// `beneficiary`.
    fn evict_for(
        &mut self,
        now: Timestamp,
        bytes: u64,
        beneficiary: ConnectionNumber,
        is_small: bool,
    ) -> Vec<ConnectionNumber> {
        let mut evicted = Vec::new();
        while self.leaving < bytes {
            let overdue = self.heaviest_overdue(now, Some(beneficiary));
            let Some(number) = overdue.or_else(|| self.last_large(beneficiary, is_small)) else {
                break;
            };
            evicted.push(self.evict(number));
        }
        evicted
    }

    fn evict_idle(&mut self) -> Option<ConnectionNumber> {
        let idle = self.connections.iter().filter(|(_, holding)| holding.is(Activity::Idle));
        let number = *idle.min_by_key(|(number, holding)| (holding.since, **number))?.0;
        Some(self.evict(number))
    }

    fn evict_overdue(&mut self, now: Timestamp) -> Option<ConnectionNumber> {
        self.heaviest_overdue(now, None).map(|number| self.evict(number))
    }

    fn evict(&mut self, number: ConnectionNumber) -> ConnectionNumber {
        if let Some(holding) = self.connections.get_mut(&number) {
            holding.evicted = true;
            self.leaving += holding.beyond(self.limits.connection_bytes);
            self.leaving_connections += 1;
        }
        number
    }

    /// The connection other than `spared` that holds most for longest beyond the protected time.
    fn heaviest_overdue(
        &self,
        now: Timestamp,
        spared: Option<ConnectionNumber>,
    ) -> Option<ConnectionNumber> {
        let overdue = self.connections.iter().filter(|(number, holding)| {
            Some(**number) != spared && holding.is_overdue(now, PROTECTED_TIME, self.small_bytes())
        });
        let heaviest =
            overdue.max_by_key(|(number, holding)| (holding.weight(now), Reverse(**number)));
        heaviest.map(|(number, _)| *number)
    }

    /// The connection whose large message began last, if later than that of the beneficiary or if
    /// the beneficiary is small.
    fn last_large(
        &self,
        beneficiary: ConnectionNumber,
        is_small: bool,
    ) -> Option<ConnectionNumber> {
        let own = self.connections.get(&beneficiary)?;
        let large = self.connections.iter().filter(|(number, holding)| {
            **number != beneficiary
                && holding.is(Activity::Receiving)
                && holding.beyond(self.small_bytes()) > 0
        });
        let (number, last) = large.max_by_key(|(number, holding)| (holding.since, **number))?;
        let began_later = (own.since, beneficiary) < (last.since, *number);
        (is_small || began_later).then_some(*number)
    }
}
