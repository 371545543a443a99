//! The state machine: words in the order in which they were accepted, each once.

use std::collections::BTreeSet;

use gingerkeel_control::replication::{StateMachineMessage, StateSnapshot};
use gingerkeel_domain::consensus::LogIndex;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;

/// Between the words of a snapshot.
const SEPARATOR: &str = "\n";

/// A message to the task of the words.
pub enum WordsMessage {
    /// From the log.
    Log(StateMachineMessage),
    /// Gives all words once the entry is applied.
    Read {
        /// The entry.
        index: LogIndex,
        /// Where the words go.
        reply: oneshot::Sender<Vec<String>>,
    },
}

#[derive(Default)]
struct Words {
    seen: BTreeSet<String>,
    order: Vec<String>,
    applied: LogIndex,
    waiting: Vec<WaitingRead>,
}

struct WaitingRead {
    index: LogIndex,
    reply: oneshot::Sender<Vec<String>>,
}

/// Starts the task; `log` is what the log tells.
pub fn run_words(mut log: Rx<StateMachineMessage>) -> Tx<WordsMessage> {
    let (sender, mut messages) = unbounded::channel();
    let forward = sender.clone();
    monoio::spawn(async move {
        while let Some(message) = log.recv().await {
            if forward.send(WordsMessage::Log(message)).is_err() {
                return;
            }
        }
    });
    monoio::spawn(async move {
        let mut words = Words::default();
        while let Some(message) = messages.recv().await {
            words.handle(message);
        }
    });
    sender
}

impl Words {
    fn handle(&mut self, message: WordsMessage) {
        match message {
            WordsMessage::Log(StateMachineMessage::Apply { index, command }) => {
                self.applied = index;
                self.add(String::from_utf8_lossy(&command).into_owned());
            }
            WordsMessage::Log(StateMachineMessage::Restore { index, snapshot }) => {
                let text = String::from_utf8_lossy(&snapshot).into_owned();
                self.order.clear();
                self.seen.clear();
                self.applied = index;
                text.split_terminator(SEPARATOR).for_each(|word| self.add(word.to_owned()));
            }
            WordsMessage::Log(StateMachineMessage::TakeSnapshot { reply }) => {
                let bytes = self.order.join(SEPARATOR).into_bytes();
                // The log may have ended with the process.
                let _ = reply.send(StateSnapshot { index: self.applied, bytes });
            }
            // Words have no quotas, no leaves, and count once they are accepted.
            WordsMessage::Log(
                StateMachineMessage::PeerUsageReceived(_)
                | StateMachineMessage::PeerWarningsReceived(_)
                | StateMachineMessage::Unconfirmed { .. },
            ) => {}
            WordsMessage::Read { index, reply } => self.waiting.push(WaitingRead { index, reply }),
        }
        self.answer_reads();
    }

    fn add(&mut self, word: String) {
        if self.seen.insert(word.clone()) {
            self.order.push(word);
        }
    }

    fn answer_reads(&mut self) {
        for read in std::mem::take(&mut self.waiting) {
            if read.index <= self.applied {
                // The asker may have given up.
                let _ = read.reply.send(self.order.clone());
            } else {
                self.waiting.push(read);
            }
        }
    }
}
