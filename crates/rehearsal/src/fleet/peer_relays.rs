//! Relays between control processes, by which each can be cut off from the others.

use std::net::SocketAddr;

use crate::error::RehearsalError;
use crate::relay::Relay;

/// A relay for each ordered pair of control processes.
pub struct PeerRelays {
    /// By the process that sends, then by the one that receives; none to itself.
    relays: Vec<Vec<Option<Relay>>>,
}

impl PeerRelays {
    /// Relays between the processes that listen at these addresses.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when no port is free.
    pub fn start(peers: &[SocketAddr]) -> Result<Self, RehearsalError> {
        let of_sender = |sender: usize| {
            let receivers = peers.iter().enumerate();
            receivers
                .map(|(receiver, address)| {
                    (receiver != sender).then(|| Relay::start(*address)).transpose()
                })
                .collect()
        };
        let relays = (0..peers.len()).map(of_sender).collect::<Result<_, _>>()?;
        Ok(Self { relays })
    }

    /// The addresses of all processes as one of them has to use them.
    pub fn addresses(&self, sender: usize, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let own = self.relays[sender].iter().zip(peers);
        own.map(|(relay, peer)| relay.as_ref().map_or(*peer, Relay::address)).collect()
    }

    /// Cuts a process off from all others, both ways, and tells nobody.
    pub fn cut(&self, process: usize) {
        self.of_process(process).for_each(Relay::cut);
    }

    /// Ends the cut of a process.
    pub fn heal(&self, process: usize) {
        self.of_process(process).for_each(Relay::heal);
    }

    /// The relays to and from a process.
    fn of_process(&self, process: usize) -> impl Iterator<Item = &Relay> {
        let to = self.relays.iter().filter_map(move |receivers| receivers[process].as_ref());
        self.relays[process].iter().flatten().chain(to)
    }
}
