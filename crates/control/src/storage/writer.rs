//! A thread that persists writes, so that a slow disk does not delay heartbeats.
//!
//! Writes that arrive during a sync are batched into the next one. The thread signals events by a
//! byte on a socket pair, which wakes the reactor of the replication task.

use std::collections::VecDeque;
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use gingerkeel_domain::consensus::{MemberId, Write, WriteNumber};

use super::error::StorageError;
use super::storage_folder::Storage;

/// Interval between retries on a full disk.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A message to the writer thread.
pub enum WriterMessage {
    /// Persist this write after all earlier ones.
    Persist(Write),
    /// Replace the identity of a folder that holds no log.
    ReplaceIdentity(MemberId),
}

/// An event from the writer thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// All writes up to this one are durable.
    Persisted(WriteNumber),
    /// The identity of the folder was replaced, durably.
    IdentityReplaced(MemberId),
    /// The identity of the folder could not be replaced.
    IdentityKept(StorageError),
    /// The disk is full; the writer retries until there is space.
    Full(StorageError),
    /// A write failed permanently; nothing is written until the process restarts.
    Failed(StorageError),
}

/// Handle of the writer thread.
pub struct Writer {
    /// Sends writes to the thread. Dropping the sender stops the thread, which unlocks the folder.
    pub messages: Sender<WriterMessage>,
    /// Events from the thread; to be drained after each wake-up.
    pub events: Receiver<WriterEvent>,
    /// Readable when events are queued.
    pub wakes: Option<UnixStream>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    /// An [`std::io::Error`] if the thread or the socket pair cannot be created.
    pub fn start(storage: Storage) -> std::io::Result<Self> {
        let (messages, receiver) = channel();
        let (sender, events) = channel();
        let (wakes, waker) = UnixStream::pair()?;
        waker.set_nonblocking(true)?;
        wakes.set_nonblocking(true)?;
        let thread = WriterThread { storage, messages: receiver, events: sender, waker };
        thread::Builder::new().name("storage".into()).spawn(move || thread.run())?;
        Ok(Self { messages, events, wakes: Some(wakes) })
    }
}

struct WriterThread {
    storage: Storage,
    messages: Receiver<WriterMessage>,
    events: Sender<WriterEvent>,
    waker: UnixStream,
}

impl WriterThread {
    fn run(mut self) {
        while let Ok(first) = self.messages.recv() {
            let mut batch = VecDeque::new();
            let waiting: Vec<WriterMessage> = self.messages.try_iter().collect();
            for message in std::iter::once(first).chain(waiting) {
                match message {
                    WriterMessage::Persist(write) => batch.push_back(write),
                    WriterMessage::ReplaceIdentity(member) => {
                        if !self.persist(std::mem::take(&mut batch)) {
                            return;
                        }
                        self.replace_identity(member);
                    }
                }
            }
            if !self.persist(batch) {
                return;
            }
        }
    }

    fn replace_identity(&mut self, member: MemberId) {
        let event = match self.storage.replace_identity(member) {
            Ok(()) => WriterEvent::IdentityReplaced(member),
            Err(error) => WriterEvent::IdentityKept(error),
        };
        self.report(event);
    }

    /// Persists a batch, retrying while the disk is full; false if the thread must stop.
    fn persist(&mut self, mut batch: VecDeque<Write>) -> bool {
        if batch.is_empty() {
            return true;
        }
        let last = batch.back().map_or(WriteNumber(0), |write| write.number);
        let mut reported = false;
        loop {
            match self.storage.persist(&mut batch) {
                Ok(()) => return self.report(WriterEvent::Persisted(last)),
                Err(error) if error.is_temporary() => {
                    if !reported && !self.report(WriterEvent::Full(error)) {
                        return false;
                    }
                    reported = true;
                    thread::sleep(FULL_DISK_RETRY_INTERVAL);
                }
                Err(error) => {
                    self.report(WriterEvent::Failed(error));
                    return false;
                }
            }
        }
    }

    /// Sends an event and wakes the task; false if the task has ended.
    fn report(&mut self, event: WriterEvent) -> bool {
        let sent = self.events.send(event).is_ok();
        // If the socket buffer is full, the other end is readable, which is all that is needed.
        let _ = self.waker.write(&[1]);
        sent
    }
}
