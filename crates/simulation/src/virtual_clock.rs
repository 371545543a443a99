//! Discrete-event simulation of a single world on nexosim, on one thread.
//!
//! nexosim maintains the event queue and the time. The events are stored in a slab of the driver,
//! since event arguments of nexosim must be serializable.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use nexosim::model::{BuildContext, Context, Model, ProtoModel, schedulable};
use nexosim::ports::EventSource;
use nexosim::simulation::{ExecutionError, Mailbox, SimInit, SimulationError};
use nexosim::time::MonotonicTime;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use slab::Slab;

/// Minimum delay of an event, so that time always advances.
const MINIMUM_DELAY: Duration = Duration::from_micros(1);

quick_error! {
    /// Error of the simulation itself.
    #[derive(Debug)]
    pub enum ClockError {
        /// The simulation could not be set up.
        SetUp(error: SimulationError) {
            from()
            source(error)
            display("the simulation cannot be set up ({error}): report the seed")
        }
        /// An event could not be executed, for example because the world panicked.
        Execution(error: ExecutionError) {
            from()
            source(error)
            display("the simulation stopped ({error}): replay the seed with --seed")
        }
    }
}

/// State and behavior of a simulated system.
pub trait World: Send + 'static {
    /// Event type.
    type Event: Send + 'static;

    /// Handles one event and schedules further events.
    fn handle(&mut self, now: Timestamp, event: Self::Event, schedule: &mut Schedule<Self::Event>);
}

/// Events to schedule, with their delays from the current time.
#[derive(Debug)]
pub struct Schedule<E> {
    entries: Vec<(Duration, E)>,
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<E> Schedule<E> {
    /// Schedules an event after `delay`, or after one microsecond if `delay` is shorter.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.entries.push((delay.max(MINIMUM_DELAY), event));
    }
}

/// Runs `world` from time zero until `end`, with `start` as its initial events.
///
/// # Errors
/// Returns a [`ClockError`] if the world panics.
pub fn run<W: World>(world: W, start: Schedule<W::Event>, end: Duration) -> Result<W, ClockError> {
    let driver = Arc::new(Mutex::new(Driver { world, pending: Slab::new() }));
    let pulse = UnbuiltPulse { driver: driver.clone() };
    let mut bench = SimInit::with_num_threads(1);
    let mailbox = Mailbox::new();
    let source = EventSource::new().connect(Pulse::start, &mailbox).register(&mut bench);
    let mut simulation = bench.add_model(pulse, mailbox, "world").init(MonotonicTime::EPOCH)?;
    let keys = lock(&driver).store(start);
    for key in keys {
        simulation.process_event(&source, key)?;
    }
    simulation.step_until(end)?;
    drop(simulation);
    let driver = Arc::into_inner(driver).expect("the simulation has ended");
    Ok(driver.into_inner().unwrap_or_else(PoisonError::into_inner).world)
}

/// Serializable key of a stored event, with its delay in nanoseconds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Key {
    slot: usize,
    delay_nanoseconds: u64,
}

struct Driver<W: World> {
    world: W,
    pending: Slab<W::Event>,
}

impl<W: World> Driver<W> {
    fn store(&mut self, schedule: Schedule<W::Event>) -> Vec<Key> {
        schedule
            .entries
            .into_iter()
            .map(|(delay, event)| Key {
                slot: self.pending.insert(event),
                delay_nanoseconds: u64::try_from(delay.as_nanos()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}

/// Type-erased driver, so that the model needs no type parameter.
trait Step: Send {
    fn step(&self, now: Timestamp, slot: usize) -> Vec<Key>;
}

impl<W: World> Step for Mutex<Driver<W>> {
    fn step(&self, now: Timestamp, slot: usize) -> Vec<Key> {
        let mut driver = self.lock().unwrap_or_else(PoisonError::into_inner);
        let event = driver.pending.remove(slot);
        let mut schedule = Schedule::default();
        driver.world.handle(now, event, &mut schedule);
        driver.store(schedule)
    }
}

fn lock<W: World>(driver: &Mutex<Driver<W>>) -> std::sync::MutexGuard<'_, Driver<W>> {
    driver.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Environment {
    driver: Arc<dyn Step + Sync>,
}

/// Prototype of the model with its environment.
struct UnbuiltPulse {
    driver: Arc<dyn Step + Sync>,
}

impl ProtoModel for UnbuiltPulse {
    type Model = Pulse;

    fn build(self, _context: &mut BuildContext<Self>) -> (Pulse, Environment) {
        (Pulse, Environment { driver: self.driver })
    }
}

/// The only model of the simulation. All state is in its environment.
#[derive(Serialize, Deserialize)]
struct Pulse;

#[Model(type Env = Environment)]
impl Pulse {
    /// Schedules an initial event.
    fn start(&mut self, key: Key, context: &Context<Self>) {
        schedule_key(key, context);
    }

    #[nexosim(schedulable)]
    fn fire(&mut self, slot: usize, context: &Context<Self>, environment: &mut Environment) {
        let elapsed = context.time().duration_since(MonotonicTime::EPOCH);
        let now = Timestamp::ZERO.after(elapsed);
        for key in environment.driver.step(now, slot) {
            schedule_key(key, context);
        }
    }
}

fn schedule_key(key: Key, context: &Context<Pulse>) {
    let delay = Duration::from_nanos(key.delay_nanoseconds);
    context
        .schedule_event(delay, schedulable!(Pulse::fire), key.slot)
        .expect("the delay is not zero");
}
