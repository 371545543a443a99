//! The task that owns the catalog.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_protocol::{FeedMessage, encode_document};
use gingerkeel_statement::{Statement, StatementReplies, StatementReply, Subject, parse};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;
use tracing::{info, warn};

use crate::tables;

/// A message to the task that owns the catalog.
pub enum CatalogMessage {
    /// Carry out a text of statements.
    Execute {
        /// The text.
        text: String,
        /// Where the outcome goes.
        reply: oneshot::Sender<StatementReplies>,
    },
    /// A broker opened its feed.
    Subscribe {
        /// Name of the broker.
        broker: String,
        /// Where its messages go.
        feed: Tx<FeedMessage>,
    },
    /// A broker put a revision in force.
    Applied {
        /// Name of the broker.
        broker: String,
        /// The revision.
        revision: u64,
    },
}

/// A broker that follows the catalog.
pub struct Subscriber {
    /// The revision that it said to have in force.
    pub applied: u64,
    feed: Tx<FeedMessage>,
}

struct CatalogTask {
    catalog: Catalog,
    subscribers: BTreeMap<String, Subscriber>,
}

/// Starts the task and gives the channel to it.
pub fn start() -> Tx<CatalogMessage> {
    let (sender, receiver) = unbounded::channel();
    let task = CatalogTask { catalog: Catalog::default(), subscribers: BTreeMap::new() };
    monoio::spawn(task.run(receiver));
    sender
}

impl CatalogTask {
    async fn run(mut self, mut messages: Rx<CatalogMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                CatalogMessage::Execute { text, reply } => {
                    // The operator may have hung up; the statements are carried out all the same.
                    let _ = reply.send(self.execute(&text));
                }
                CatalogMessage::Subscribe { broker, feed } => self.subscribe(broker, feed),
                CatalogMessage::Applied { broker, revision } => {
                    if let Some(subscriber) = self.subscribers.get_mut(&broker) {
                        subscriber.applied = revision;
                    }
                }
            }
        }
    }

    fn execute(&mut self, text: &str) -> StatementReplies {
        let statements = match parse(text) {
            Ok(statements) => statements,
            Err(error) => return refused(error.to_string()),
        };
        let mut replies = StatementReplies::default();
        for statement in statements {
            replies.replies.push(self.execute_one(statement));
            if !replies.succeeded() {
                break;
            }
        }
        replies
    }

    fn execute_one(&mut self, statement: Statement) -> StatementReply {
        match statement {
            Statement::Show(Subject::Services) => tables::services(&self.catalog),
            Statement::Show(Subject::Leaves) => tables::leaves(&self.catalog),
            Statement::Show(Subject::Callers) => tables::callers(&self.catalog),
            Statement::Show(Subject::Brokers) => tables::brokers(&self.subscribers),
            Statement::Show(Subject::Status) => tables::status(&self.catalog, &self.subscribers),
            Statement::Change(change) => self.change(&change),
        }
    }

    fn change(&mut self, change: &Change) -> StatementReply {
        match self.catalog.apply(change) {
            Ok(revision) => {
                info!(event = "change_accepted", revision = revision.0);
                self.publish(revision.0, change);
                StatementReply::Accepted { revision: revision.0 }
            }
            Err(error) => StatementReply::Refused { error: error.to_string() },
        }
    }

    fn publish(&mut self, revision: u64, change: &Change) {
        let document = match encode_document(change) {
            Ok(document) => document,
            Err(error) => {
                warn!(event = "change_not_published", revision, %error);
                return;
            }
        };
        self.subscribers.retain(|_, subscriber| {
            let document = document.clone();
            subscriber.feed.send(FeedMessage::Change { revision, document }).is_ok()
        });
    }

    fn subscribe(&mut self, broker: String, feed: Tx<FeedMessage>) {
        match encode_document(&self.catalog) {
            Ok(document) => {
                if feed.send(FeedMessage::FullCatalog { document }).is_ok() {
                    info!(event = "broker_subscribed", broker);
                    self.subscribers.insert(broker, Subscriber { applied: 0, feed });
                }
            }
            Err(error) => warn!(event = "subscription_failed", broker, %error),
        }
    }
}

fn refused(error: String) -> StatementReplies {
    StatementReplies { replies: vec![StatementReply::Refused { error }] }
}
