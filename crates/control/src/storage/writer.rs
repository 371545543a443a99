//! A thread that persists writes, so that a slow disk does not hold up heartbeats.
//!
//! Writes that arrive while a sync runs are persisted together by the next one. The thread tells
//! the task of its work by a byte on a socket pair, which wakes the task's reactor.

use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use gingerkeel_domain::consensus::{Write, WriteNumber};

use super::error::StorageError;
use super::storage_folder::Storage;

/// Time between tries on a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);

/// A message to the writer.
pub enum WriterMessage {
    /// Persist this after all before.
    Persist(Write),
}

/// A message from the writer.
#[derive(Debug)]
pub enum WriterEvent {
    /// All writes up to this one are on the disk.
    Persisted(WriteNumber),
    /// The disk is full; the writer tries again until there is room.
    Full(StorageError),
    /// Nothing more is written; the process has to be started again.
    Failed(StorageError),
}

/// The task's end of the writer.
pub struct Writer {
    /// Writes to the thread. When it is dropped, the thread ends and gives the folder free.
    pub messages: Sender<WriterMessage>,
    /// Events from the thread; look after each wake.
    pub events: Receiver<WriterEvent>,
    /// Readable when there are events.
    pub wakes: Option<UnixStream>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    /// An [`std::io::Error`] when no thread or socket can be had.
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
        while let Ok(WriterMessage::Persist(first)) = self.messages.recv() {
            let waiting = self.messages.try_iter().map(|WriterMessage::Persist(write)| write);
            let batch: Vec<Write> = std::iter::once(first).chain(waiting).collect();
            if !self.persist(batch) {
                return;
            }
        }
    }

    /// Persists a batch, however long the disk is full; false when it fails for good.
    fn persist(&mut self, batch: Vec<Write>) -> bool {
        let last = batch.last().map_or(WriteNumber(0), |write| write.number);
        let mut told = false;
        loop {
            match self.storage.persist(batch.clone()) {
                Ok(()) => return self.tell(WriterEvent::Persisted(last)),
                Err(error) if error.is_temporary() => {
                    if !told && !self.tell(WriterEvent::Full(error)) {
                        return false;
                    }
                    told = true;
                    thread::sleep(FULL_DISK_PAUSE);
                }
                Err(error) => {
                    self.tell(WriterEvent::Failed(error));
                    return false;
                }
            }
        }
    }

    /// Tells the task; false when it is gone.
    fn tell(&mut self, event: WriterEvent) -> bool {
        let sent = self.events.send(event).is_ok();
        // A full socket is readable, which is all that is needed.
        let _ = self.waker.write(&[1]);
        sent
    }
}
