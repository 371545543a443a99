//! Relays between control processes, which count what each sends to the others.

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

    /// Bytes that a process sent to the others so far.
    pub fn bytes_from(&self, sender: usize) -> u64 {
        self.relays[sender].iter().flatten().map(|relay| relay.bytes().to_target).sum()
    }
}
