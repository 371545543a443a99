//! Memory that the connections of clients hold, shared by the tasks of one thread.
//!
//! A task charges its [`MemoryShare`] before it holds bytes, and drops the [`MemoryCharge`] together
//! with them. A connection that has to give way to others is told by [`MemoryShare::evicted`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::memory::{
    Activity, ChargeOutcome, ConnectionNumber, MemoryAccount, MemoryLimits,
};
use gingerkeel_domain::time::Timestamp;
use monoio::time::sleep;
use quick_error::quick_error;
use tracing::warn;

use crate::{Clock, Latch};

/// Pause before bytes are asked for again that evicted connections still hold.
const EVICTION_PAUSE: Duration = Duration::from_millis(2);
/// Number of such pauses after which there is no room.
const EVICTION_PAUSES: u32 = 25;
/// Shortest time between two log lines about a shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// No room for more bytes of a message.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MemoryShortage {
        /// The memory for connections is used up by others.
        NoRoom {
            display("the memory for connections is used up: send the message again later, or raise memory_mb in the settings")
        }
    }
}

/// Use of the memory for connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes charged now.
    pub charged: u64,
    /// Maximum of the charges.
    pub limit: u64,
    /// Connections open now.
    pub open: usize,
    /// Connections closed since the start to make room for others.
    pub evicted: u64,
    /// Charges and connections refused since the start.
    pub refused: u64,
}

/// The account of a process's connections.
#[derive(Clone)]
pub struct ConnectionMemory {
    shared: Rc<Shared>,
}

struct Shared {
    /// Name in the log.
    name: &'static str,
    clock: Clock,
    account: RefCell<MemoryAccount>,
    /// Set when the connection is evicted.
    evictions: RefCell<BTreeMap<ConnectionNumber, Latch>>,
    evicted: Cell<u64>,
    refused: Cell<u64>,
    last_log: Cell<Option<Timestamp>>,
}

impl ConnectionMemory {
    /// Creates an account without connections; `name` identifies it in the log.
    pub fn new(name: &'static str, clock: Clock, limits: MemoryLimits) -> Self {
        let shared = Shared {
            name,
            clock,
            account: RefCell::new(MemoryAccount::new(limits)),
            evictions: RefCell::default(),
            evicted: Cell::default(),
            refused: Cell::default(),
            last_log: Cell::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Charges a new connection; none if there is no room for it.
    pub fn open(&self) -> Option<Rc<MemoryShare>> {
        let opened = self.shared.account.borrow_mut().open(self.shared.clock.now());
        self.shared.evict(&opened.evicted);
        let Some(number) = opened.number else {
            self.shared.count_refusal();
            return None;
        };
        let evicted = Latch::new();
        self.shared.evictions.borrow_mut().insert(number, evicted.clone());
        Some(Rc::new(MemoryShare { shared: self.shared.clone(), number, evicted }))
    }

    /// The use of the account.
    pub fn usage(&self) -> MemoryUsage {
        self.shared.usage()
    }
}

impl Shared {
    fn usage(&self) -> MemoryUsage {
        let account = self.account.borrow();
        MemoryUsage {
            charged: account.charged(),
            limit: account.limits().bytes,
            open: account.open_connections(),
            evicted: self.evicted.get(),
            refused: self.refused.get(),
        }
    }

    fn evict(&self, numbers: &[ConnectionNumber]) {
        if numbers.is_empty() {
            return;
        }
        let evictions = self.evictions.borrow();
        numbers.iter().filter_map(|number| evictions.get(number)).for_each(Latch::set);
        self.evicted.set(self.evicted.get() + numbers.len() as u64);
        self.log_shortage();
    }

    fn count_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
        self.log_shortage();
    }

    fn log_shortage(&self) {
        let now = self.clock.now();
        if self.last_log.get().is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return;
        }
        self.last_log.set(Some(now));
        let MemoryUsage { charged, limit, open, evicted, refused } = self.usage();
        warn!(
            event = "connection_memory_short",
            account = self.name,
            charged_bytes = charged,
            limit_bytes = limit,
            open,
            evicted,
            refused
        );
    }
}

/// What one connection holds; closed in the account when dropped.
pub struct MemoryShare {
    shared: Rc<Shared>,
    number: ConnectionNumber,
    evicted: Latch,
}

impl MemoryShare {
    /// Notes what the connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        let now = self.shared.clock.now();
        self.shared.account.borrow_mut().set_activity(now, self.number, activity);
    }

    /// Waits until the connection has to be closed to make room for others.
    pub async fn evicted(&self) {
        self.evicted.wait().await;
    }

    /// Whether there would be room for these bytes.
    pub fn could_charge(&self, bytes: u64) -> bool {
        let now = self.shared.clock.now();
        let could = self.shared.account.borrow().could_charge(now, self.number, bytes);
        if !could {
            self.shared.count_refusal();
        }
        could
    }

    async fn charge(&self, bytes: u64) -> Result<(), MemoryShortage> {
        for _ in 0..EVICTION_PAUSES {
            match self.try_charge(bytes) {
                ChargeOutcome::Granted => return Ok(()),
                ChargeOutcome::Wait => sleep(EVICTION_PAUSE).await,
                ChargeOutcome::Refused => break,
            }
        }
        self.shared.count_refusal();
        Err(MemoryShortage::NoRoom)
    }

    fn try_charge(&self, bytes: u64) -> ChargeOutcome {
        let now = self.shared.clock.now();
        let charge = self.shared.account.borrow_mut().charge(now, self.number, bytes);
        self.shared.evict(&charge.evicted);
        charge.outcome
    }

    fn release(&self, bytes: u64) {
        self.shared.account.borrow_mut().release(self.number, bytes);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.shared.account.borrow_mut().close(self.number);
        self.shared.evictions.borrow_mut().remove(&self.number);
    }
}

/// Bytes charged to a connection; released when dropped.
pub struct MemoryCharge {
    share: Rc<MemoryShare>,
    bytes: usize,
}

impl MemoryCharge {
    /// Charges nothing yet.
    pub fn none(share: &Rc<MemoryShare>) -> Self {
        Self { share: share.clone(), bytes: 0 }
    }

    /// Raises the charge to `bytes`, unless it is as high already. Cancel-safe.
    ///
    /// # Errors
    /// [`MemoryShortage::NoRoom`]; the charge stays as it was.
    pub async fn raise_to(&mut self, bytes: usize) -> Result<(), MemoryShortage> {
        if bytes > self.bytes {
            self.share.charge((bytes - self.bytes) as u64).await?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Lowers the charge to `bytes`, unless it is as low already.
    pub fn lower_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.share.release((self.bytes - bytes) as u64);
            self.bytes = bytes;
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.lower_to(0);
    }
}
